//! Variants: what an experiment compares.

use super::validation::Problem;
use super::Experiment;
use serde::{Deserialize, Serialize};
use toml::Value;

/// One of the things that are compared.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Variant {
    /// Its name in results and reports.
    pub name: String,
    /// Other values in the experiment, laid over it table by table; lists of named things take a table from
    /// names to changes.
    #[serde(rename = "change")]
    pub changes: toml::Table,
    /// Settings that gateways are given in place of the true ones, in the words of their configuration.
    #[serde(rename = "told")]
    pub settings_overrides: toml::Table,
    /// The edge node of another build, on loopback.
    #[serde(rename = "edge")]
    pub gateway_program: Option<String>,
    /// The adapter to the simulator of another build, in simulated time (`drill` in older files).
    #[serde(rename = "simulator", alias = "drill")]
    pub simulator_program: Option<String>,
}

/// Why a variant can't be played.
#[derive(Debug, thiserror::Error)]
#[error("variant '{variant}': {}", join(problems))]
pub struct InvalidVariant {
    /// The variant's name.
    pub variant: String,
    /// What is wrong with the experiment that its changes lead to.
    pub problems: Vec<Problem>,
}

fn join(problems: &[Problem]) -> String {
    let texts: Vec<String> = problems.iter().map(Problem::to_string).collect();
    texts.join("; ")
}

impl Experiment {
    /// The variants, or the experiment as it is where it has none.
    pub fn variants_or_default(&self) -> Vec<Variant> {
        if self.variants.is_empty() {
            return vec![Variant {
                name: "as it is".into(),
                ..Variant::default()
            }];
        }
        self.variants.clone()
    }

    /// The experiment with a variant's changes laid over it.
    pub fn with_variant(&self, variant: &Variant) -> Result<Experiment, InvalidVariant> {
        if variant.changes.is_empty() {
            return Ok(self.clone());
        }
        let invalid = |problems| InvalidVariant {
            variant: variant.name.clone(),
            problems,
        };
        let changed = self
            .apply_changes(&variant.changes)
            .map_err(|problem| invalid(vec![problem]))?;
        let problems = changed.problems();
        if problems.is_empty() {
            Ok(changed)
        } else {
            Err(invalid(problems))
        }
    }

    fn apply_changes(&self, changes: &toml::Table) -> Result<Experiment, Problem> {
        let problem = |message: String| Problem {
            path: "change".to_string(),
            message,
        };
        let mut whole = Value::try_from(self).map_err(|error| problem(error.to_string()))?;
        merge(&mut whole, &Value::Table(changes.clone())).map_err(problem)?;
        whole
            .try_into()
            .map_err(|error: toml::de::Error| problem(error.message().to_string()))
    }
}

/// Lays one value over another: tables field by field, lists of named tables by name, all else in place.
fn merge(base: &mut Value, changes: &Value) -> Result<(), String> {
    match (base, changes) {
        (Value::Table(base), Value::Table(changes)) => {
            for (name, change) in changes {
                match base.get_mut(name) {
                    Some(value) => merge(value, change)?,
                    None => drop(base.insert(name.clone(), change.clone())),
                }
            }
            Ok(())
        }
        (Value::Array(items), Value::Table(changes)) => {
            for (name, change) in changes {
                let item = find_named(items, name)?;
                merge(item, change)?;
            }
            Ok(())
        }
        (base, change) => {
            *base = change.clone();
            Ok(())
        }
    }
}

fn find_named<'a>(items: &'a mut [Value], name: &str) -> Result<&'a mut Value, String> {
    let has_name = |item: &&mut Value| item.get("name").and_then(Value::as_str) == Some(name);
    let item = items.iter_mut().find(has_name);
    item.ok_or_else(|| format!("nothing is named '{name}'"))
}
