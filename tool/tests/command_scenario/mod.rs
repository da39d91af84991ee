//! The state of one scenario: its folder, the running command and the outcome of the last command that ended.

mod recording;
mod running_command;
mod step;

use crate::scenario_runner::Scenario;
use crate::step_arguments::StepError;
use running_command::RunningCommand;
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};
use step::Step;

/// The longest wait for an expected condition.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// The pause between two checks of an expected condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// When a file lacks an expected text, this number of its first characters is printed.
const MAX_PRINTED_CHARS: usize = 500;

/// The outcome of a command that has ended.
struct CommandOutcome {
    /// The exit code; none if a signal ended the command.
    exit_code: Option<i32>,
    /// Standard output, followed by standard error after a `run` step.
    output: String,
}

/// A scenario in progress, with its own folder and the commands that its steps have run or started.
pub(crate) struct CommandScenario {
    folder: PathBuf,
    /// The file that `|` lines are appended to.
    current_file: Option<PathBuf>,
    running: Option<RunningCommand>,
    outcome: Option<CommandOutcome>,
    /// Ids of the child processes of the interrupted command.
    children: Vec<u32>,
}

/// Calls `find` until it returns a value; panics with the text of `describe` after [`WAIT_LIMIT`].
fn wait_until<T>(mut find: impl FnMut() -> Option<T>, describe: impl Fn() -> String) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = find() {
            return found;
        }
        assert!(start.elapsed() < WAIT_LIMIT, "{}", describe());
        sleep(POLL_INTERVAL);
    }
}

/// Makes the command start with the default action for SIGINT. A shell that runs the tests in the background makes them
/// ignore SIGINT, and the command would inherit that until it installs its own handler.
#[allow(unsafe_code)]
fn reset_interrupt(command: &mut Command) {
    // SAFETY: between fork and exec only calls are allowed that are safe in a signal handler; signal(2) is one.
    unsafe {
        command.pre_exec(|| {
            libc::signal(libc::SIGINT, libc::SIG_DFL);
            Ok(())
        });
    }
}

impl CommandScenario {
    /// The built `wellcrank` command with these arguments, run in the scenario's folder.
    fn command(&self, arguments: &[String]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_wellcrank"));
        command
            .args(arguments)
            .current_dir(&self.folder)
            .stdin(Stdio::null());
        reset_interrupt(&mut command);
        command
    }

    fn write_line(&self, line: &str) {
        let path = self
            .current_file
            .as_ref()
            .expect("a 'file' step before '|'");
        let mut file = OpenOptions::new()
            .append(true)
            .open(path)
            .expect("the current file opens");
        writeln!(file, "{line}").expect("a line is appended");
    }

    fn copy_experiment(&self, name: &str) {
        let source = Path::new("../lab/experiments").join(name);
        fs::copy(source, self.folder.join(name)).expect("the experiment is copied");
    }

    fn run_to_end(&mut self, arguments: &[String]) {
        let process_output = self.command(arguments).output().expect("the command runs");
        let output = [process_output.stdout, process_output.stderr].concat();
        self.outcome = Some(CommandOutcome {
            exit_code: process_output.status.code(),
            output: String::from_utf8_lossy(&output).into_owned(),
        });
    }

    fn start(&mut self, arguments: &[String]) {
        self.running = Some(RunningCommand::start(self.command(arguments)));
    }

    fn running(&self) -> &RunningCommand {
        self.running
            .as_ref()
            .expect("a 'start' step before this one")
    }

    fn outcome(&self) -> &CommandOutcome {
        self.outcome
            .as_ref()
            .expect("a command that has ended before this step")
    }

    fn expect_exit(&self, code: i32) {
        let outcome = self.outcome();
        assert_eq!(outcome.exit_code, Some(code), "{}", outcome.output);
    }

    fn expect_printed(&self, text: &str, expected: bool) {
        let output = &self.outcome().output;
        assert_eq!(
            output.contains(text),
            expected,
            "whether {text:?} is in: {output}"
        );
    }

    fn expect_in_file(&self, name: &str, text: &str) {
        let content = fs::read_to_string(self.folder.join(name)).expect("the file is readable");
        let beginning: String = content.chars().take(MAX_PRINTED_CHARS).collect();
        assert!(content.contains(text), "{text:?} is not in: {beginning}");
    }

    fn interrupt(&mut self) {
        let mut command = self.running.take().expect("a 'start' step before this one");
        self.children = command.children();
        self.outcome = Some(command.interrupt());
    }

    fn expect_children_ended(&self, min_count: usize) {
        assert!(
            self.children.len() >= min_count,
            "expected at least {min_count} child processes, found {}",
            self.children.len()
        );
        let left: Vec<&u32> = self
            .children
            .iter()
            .filter(|id| Path::new(&format!("/proc/{id}")).exists())
            .collect();
        assert!(
            left.is_empty(),
            "child processes that are still running: {left:?}"
        );
    }
}

impl Scenario for CommandScenario {
    type Step = Step;
    type ParseError = StepError;

    fn new(_: &str) -> Self {
        static FOLDERS: AtomicU32 = AtomicU32::new(0);
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let name = format!("wellcrank-tool-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("the scenario's folder is created");
        CommandScenario {
            folder,
            current_file: None,
            running: None,
            outcome: None,
            children: Vec::new(),
        }
    }

    fn parse_line(line: &str) -> Result<Vec<Step>, StepError> {
        Ok(vec![Step::parse(line)?])
    }

    fn run_step(&mut self, step: &Step) {
        match step {
            Step::File(name) => {
                let path = self.folder.join(name);
                fs::write(&path, "").expect("an empty file is written");
                self.current_file = Some(path);
            }
            Step::Line(line) => self.write_line(line),
            Step::Experiment(name) => self.copy_experiment(name),
            Step::Run(arguments) => self.run_to_end(arguments),
            Step::Exit(code) => self.expect_exit(*code),
            Step::Prints(text) => self.expect_printed(text, true),
            Step::DoesNotPrint(text) => self.expect_printed(text, false),
            Step::Contains { file, text } => self.expect_in_file(file, text),
            Step::Absent(name) => {
                assert!(!self.folder.join(name).exists(), "{name} exists");
            }
            Step::Start(arguments) => self.start(arguments),
            Step::WaitFor(text) => self.running().wait_for(text),
            Step::Interrupt => self.interrupt(),
            Step::ChildrenEnded(min_count) => self.expect_children_ended(*min_count),
            Step::RecordRequests(count) => self.record_requests(*count),
        }
    }
}

impl Drop for CommandScenario {
    fn drop(&mut self) {
        // Kills a command that is still running before its folder is removed.
        self.running = None;
        let _ = fs::remove_dir_all(&self.folder);
    }
}
