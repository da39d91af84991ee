//! Parses experiment files, and locates each problem by line and column.

use super::validation::Problem;
use super::Experiment;
use std::fmt;
use std::io;
use std::ops::Range;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// The path to which problems of variants are attributed: a variant's experiment has no position in the file.
const VARIANTS_PATH: &str = "variants";

/// Why an experiment can't be loaded from a file.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The file can't be read.
    #[error("{file}: cannot be read")]
    Read {
        /// The file's path.
        file: String,
        /// The operating system's error.
        #[source]
        source: io::Error,
    },
    /// The text is not a valid experiment.
    #[error("{}", join_lines(problems))]
    Invalid {
        /// All problems that were found, at least one.
        problems: Vec<LocatedProblem>,
    },
}

fn join_lines(problems: &[LocatedProblem]) -> String {
    let lines: Vec<String> = problems.iter().map(LocatedProblem::to_string).collect();
    lines.join("\n")
}

/// A problem of a file, with its position.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct LocatedProblem {
    /// The file's path.
    pub file: String,
    /// Where the problem is; none if that is not known.
    pub position: Option<Position>,
    /// What is wrong, preceded by the path of the field where it is known.
    pub message: String,
}

impl fmt::Display for LocatedProblem {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{}:", self.file)?;
        if let Some(Position { line, column }) = self.position {
            write!(out, "{line}:{column}:")?;
        }
        write!(out, " {}", self.message)
    }
}

/// A position in a text; line and column count from 1.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Position {
    /// The line's number.
    pub line: usize,
    /// The column's number, in bytes.
    pub column: usize,
}

impl Position {
    fn of_offset(text: &str, offset: usize) -> Position {
        let before = &text[..offset.min(text.len())];
        let line_start = before.rfind('\n').map_or(0, |end| end + 1);
        Position {
            line: before.matches('\n').count() + 1,
            column: before.len() - line_start + 1,
        }
    }
}

impl Experiment {
    /// Loads and validates a file.
    pub fn load(path: &str) -> Result<Experiment, ExperimentError> {
        let text = std::fs::read_to_string(path).map_err(|source| ExperimentError::Read {
            file: path.to_string(),
            source,
        })?;
        Experiment::parse(path, &text)
    }

    /// Parses and validates a file's text; `file` names the file in errors.
    pub fn parse(file: &str, text: &str) -> Result<Experiment, ExperimentError> {
        let located = |span: Option<Range<usize>>, message| LocatedProblem {
            file: file.to_string(),
            position: span.map(|span| Position::of_offset(text, span.start)),
            message,
        };
        let experiment: Experiment =
            toml::from_str(text).map_err(|error| ExperimentError::Invalid {
                problems: vec![located(error.span(), error.message().to_string())],
            })?;
        let mut problems = experiment.problems();
        add_variant_problems(&experiment, &mut problems);
        if problems.is_empty() {
            return Ok(experiment);
        }
        let problems = problems.into_iter().map(|problem| {
            let span = find_span(text, &problem.path);
            if problem.path == VARIANTS_PATH {
                located(span, problem.message)
            } else {
                located(span, problem.to_string())
            }
        });
        Err(ExperimentError::Invalid {
            problems: problems.collect(),
        })
    }
}

/// Adds the problems that arise only from the changes of a variant.
fn add_variant_problems(experiment: &Experiment, problems: &mut Vec<Problem>) {
    for variant in experiment.variants_or_default() {
        let Err(invalid) = experiment.with_variant(&variant) else {
            continue;
        };
        let known: Vec<String> = problems
            .iter()
            .map(|problem| problem.path.clone())
            .collect();
        for problem in invalid.problems {
            if !known.contains(&problem.path) {
                problems.push(Problem {
                    path: VARIANTS_PATH.to_string(),
                    message: format!("variant '{}': {problem}", variant.name),
                });
            }
        }
    }
}

/// The span of a field in the text, by its path from the root. A field that the text omits has the span of the
/// nearest table above it; none if the text has no such table.
fn find_span(text: &str, path: &str) -> Option<Range<usize>> {
    let (root, _) = DeTable::parse_recoverable(text);
    let mut value: Option<&Spanned<DeValue>> = None;
    for part in path.split('.') {
        let next = match (value.map(Spanned::get_ref), part.parse::<usize>()) {
            (None, _) => root.get_ref().get(part),
            (Some(DeValue::Table(table)), _) => table.get(part),
            (Some(DeValue::Array(items)), Ok(index)) => items.get(index),
            _ => None,
        };
        if next.is_none() {
            break;
        }
        value = next;
    }
    value.map(Spanned::span)
}
