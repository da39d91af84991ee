//! The steps of a scenario, as `scenarios.rs` describes them.

use crate::step_arguments::{Arguments, StepError};

/// One step.
#[derive(Debug)]
pub(crate) enum Step {
    /// Begins a file of this name.
    File(String),
    /// A line of the file that was begun last.
    Line(String),
    /// Copies an experiment of this name.
    Experiment(String),
    /// Runs the command with these arguments to its end.
    Run(Vec<String>),
    /// Expects the exit code.
    Exit(i32),
    /// Expects the text in the output or the errors.
    Prints(String),
    /// Expects the text in neither.
    Lacks(String),
    /// Expects a text in a file.
    Contains {
        /// The file's name.
        file: String,
        /// The text.
        text: String,
    },
    /// Expects that there is no such file.
    Absent(String),
    /// Starts the command with these arguments.
    Start(Vec<String>),
    /// Waits until the output of the running command contains the text.
    WaitFor(String),
    /// Interrupts the running command and waits for its end.
    Interrupt,
    /// Expects that so many processes at least had been started, and that none is left.
    ChildrenEnded(usize),
    /// Sends so many requests through a recording proxy.
    Record(usize),
}

impl Step {
    /// Reads one line of a scenario. Texts keep the spaces that they begin with.
    pub(crate) fn parse(line: &str) -> Result<Step, StepError> {
        if let Some(content) = line.strip_prefix('|') {
            let content = content.strip_prefix(' ').unwrap_or(content);
            return Ok(Step::Line(content.to_string()));
        }
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        let mut arguments = Arguments::new(rest);
        let step = match word {
            "prints" => return Ok(Step::Prints(text(rest)?)),
            "lacks" => return Ok(Step::Lacks(text(rest)?)),
            "wait_for" => return Ok(Step::WaitFor(text(rest)?)),
            "contains" => {
                let (file, content) = rest.split_once(' ').ok_or(StepError::Missing("text"))?;
                return Ok(Step::Contains {
                    file: file.to_string(),
                    text: text(content)?,
                });
            }
            "file" => Step::File(arguments.word("file name")?.to_string()),
            "experiment" => Step::Experiment(arguments.word("experiment")?.to_string()),
            "run" => Step::Run(arguments.words().map(str::to_string).collect()),
            "exit" => Step::Exit(arguments.value("exit code")?),
            "absent" => Step::Absent(arguments.word("file name")?.to_string()),
            "start" => Step::Start(arguments.words().map(str::to_string).collect()),
            "interrupt" => Step::Interrupt,
            "children_ended" => Step::ChildrenEnded(arguments.value("number of processes")?),
            "record" => Step::Record(arguments.value("number of requests")?),
            unknown => return Err(StepError::UnknownStep(unknown.to_string())),
        };
        arguments.end()?;
        Ok(step)
    }
}

/// A text that a step needs.
fn text(rest: &str) -> Result<String, StepError> {
    if rest.is_empty() {
        return Err(StepError::Missing("text"));
    }
    Ok(rest.to_string())
}
