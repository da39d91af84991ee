//! Variants of an experiment, which are compared with each other.

use super::validation::Problem;
use super::Experiment;
use serde::{Deserialize, Serialize};
use toml::Value;

/// A variant of an experiment: changes of the experiment, of the gateways' settings or of the program.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Variant {
    /// The variant's name in results and reports.
    pub name: String,
    /// Fields of the experiment that have other values. Tables are merged field by field; a list of named elements
    /// takes a table from an element's name to its changes.
    #[serde(rename = "change")]
    pub changes: toml::Table,
    /// Settings of the gateways that differ from what the experiment emulates, by their names in the gateways'
    /// configuration.
    #[serde(rename = "told")]
    pub settings_overrides: toml::Table,
    /// Path of another build of the gateway program, for the loopback engine.
    #[serde(rename = "edge")]
    pub gateway_program: Option<String>,
    /// Path of another build's simulator program, for the simulated engine (`drill` in files of earlier versions).
    #[serde(rename = "simulator", alias = "drill")]
    pub simulator_program: Option<String>,
}

/// A variant whose changes don't lead to a valid experiment.
#[derive(Debug, thiserror::Error)]
#[error("variant '{variant}': {}", join_problems(problems))]
pub struct InvalidVariant {
    /// The variant's name.
    pub variant: String,
    /// The problems of the experiment that results from its changes.
    pub problems: Vec<Problem>,
}

fn join_problems(problems: &[Problem]) -> String {
    let texts: Vec<String> = problems.iter().map(Problem::to_string).collect();
    texts.join("; ")
}

impl Experiment {
    /// The variants, or one without changes if the experiment has none.
    pub fn variants_or_default(&self) -> Vec<Variant> {
        if self.variants.is_empty() {
            return vec![Variant {
                name: "as it is".into(),
                ..Variant::default()
            }];
        }
        self.variants.clone()
    }

    /// The experiment with a variant's changes applied.
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
        let mut merged = Value::try_from(self).map_err(|error| problem(error.to_string()))?;
        merge(&mut merged, &Value::Table(changes.clone())).map_err(problem)?;
        merged
            .try_into()
            .map_err(|error: toml::de::Error| problem(error.message().to_string()))
    }
}

/// Applies changes to a value: tables are merged field by field, lists of named tables by the elements' names, and
/// any other value is replaced.
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
    item.ok_or_else(|| format!("expected the name of an element of the list, found '{name}'"))
}
