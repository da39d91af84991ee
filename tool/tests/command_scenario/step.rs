//! The steps of a scenario, as `scenarios.rs` describes them.

use crate::step_arguments::{Arguments, StepError};

/// One step of a scenario.
#[derive(Debug)]
pub(crate) enum Step {
    /// Creates an empty file of this name.
    File(String),
    /// Appends a line to the file created last.
    Line(String),
    /// Copies the file of this name from `lab/experiments`.
    Experiment(String),
    /// Runs the command with these arguments to its end.
    Run(Vec<String>),
    /// Expects this exit code of the last command.
    Exit(i32),
    /// Expects the text in the standard output or standard error of the last command.
    Prints(String),
    /// Expects the text in neither of them.
    DoesNotPrint(String),
    /// Expects a text in a file.
    Contains {
        /// The file's name.
        file: String,
        /// The expected text.
        text: String,
    },
    /// Expects that there is no such file.
    Absent(String),
    /// Starts the command with these arguments and leaves it running.
    Start(Vec<String>),
    /// Waits until the standard output of the running command contains the text.
    WaitFor(String),
    /// Sends SIGINT to the running command and waits for its end.
    Interrupt,
    /// Expects that the interrupted command had at least this number of child processes, and that none is left.
    ChildrenEnded(usize),
    /// Starts a recording proxy and sends this number of requests through it.
    RecordRequests(usize),
}

impl Step {
    /// Parses one line of a scenario. Texts keep their leading spaces.
    pub(crate) fn parse(line: &str) -> Result<Step, StepError> {
        if let Some(content) = line.strip_prefix('|') {
            let content = content.strip_prefix(' ').unwrap_or(content);
            return Ok(Step::Line(content.to_string()));
        }
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        let mut arguments = Arguments::new(rest);
        let step = match word {
            "prints" => return Ok(Step::Prints(text(rest)?)),
            "does_not_print" => return Ok(Step::DoesNotPrint(text(rest)?)),
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
            "record_requests" => Step::RecordRequests(arguments.value("number of requests")?),
            unknown => return Err(StepError::UnknownStep(unknown.to_string())),
        };
        arguments.end()?;
        Ok(step)
    }
}

/// The required text of a step; an error if it is empty.
fn text(rest: &str) -> Result<String, StepError> {
    if rest.is_empty() {
        return Err(StepError::Missing("text"));
    }
    Ok(rest.to_string())
}
