//! A scenario of the command: its folder, the last command that ended and the one that is running.

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

/// The longest wait for something that has to happen.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// How often it is looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// So much of a file is printed that lacks what was expected.
const PRINTED_PREFIX: usize = 500;

/// How a command has ended.
struct CommandOutcome {
    /// The exit code; none after a signal.
    exit_code: Option<i32>,
    /// Output and errors.
    output: String,
}

/// The state of one scenario.
pub(crate) struct CommandScenario {
    folder: PathBuf,
    /// The file that the next lines are written to.
    open_file: Option<PathBuf>,
    running: Option<RunningCommand>,
    outcome: Option<CommandOutcome>,
    /// Processes that the interrupted command had started.
    children: Vec<u32>,
}

/// Looks for something until it is there; panics with `describe` after [`WAIT_LIMIT`].
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

/// Has the command start with the system's own handling of SIGINT. A shell that runs the tests in the background has
/// them ignore it, and the command would too until it handles the signal itself.
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
    /// The built command with these arguments, in the scenario's folder.
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
        let path = self.open_file.as_ref().expect("'file' comes first");
        let mut file = OpenOptions::new()
            .append(true)
            .open(path)
            .expect("the file");
        writeln!(file, "{line}").expect("a line is written");
    }

    fn copy_experiment(&self, name: &str) {
        let source = Path::new("../lab/experiments").join(name);
        fs::copy(source, self.folder.join(name)).expect("an experiment");
    }

    fn run_to_end(&mut self, arguments: &[String]) {
        let ended = self.command(arguments).output().expect("the command runs");
        let output = [ended.stdout, ended.stderr].concat();
        self.outcome = Some(CommandOutcome {
            exit_code: ended.status.code(),
            output: String::from_utf8_lossy(&output).into_owned(),
        });
    }

    fn start(&mut self, arguments: &[String]) {
        self.running = Some(RunningCommand::start(self.command(arguments)));
    }

    fn running(&self) -> &RunningCommand {
        self.running.as_ref().expect("'start' comes first")
    }

    fn outcome(&self) -> &CommandOutcome {
        self.outcome.as_ref().expect("a command has ended")
    }

    fn expect_exit(&self, code: i32) {
        let outcome = self.outcome();
        assert_eq!(outcome.exit_code, Some(code), "{}", outcome.output);
    }

    fn expect_printed(&self, text: &str, expected: bool) {
        let output = &self.outcome().output;
        assert_eq!(output.contains(text), expected, "{text:?} in: {output}");
    }

    fn expect_in_file(&self, name: &str, text: &str) {
        let content = fs::read_to_string(self.folder.join(name)).expect("a file");
        let beginning: String = content.chars().take(PRINTED_PREFIX).collect();
        assert!(content.contains(text), "{text:?} is not in: {beginning}");
    }

    fn interrupt(&mut self) {
        let mut command = self.running.take().expect("'start' comes first");
        self.children = command.children();
        self.outcome = Some(command.interrupt());
    }

    fn expect_children_ended(&self, min_count: usize) {
        assert!(
            self.children.len() >= min_count,
            "it had started {} processes",
            self.children.len()
        );
        let left: Vec<&u32> = self
            .children
            .iter()
            .filter(|id| Path::new(&format!("/proc/{id}")).exists())
            .collect();
        assert!(left.is_empty(), "processes are left: {left:?}");
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
        fs::create_dir_all(&folder).expect("a folder");
        CommandScenario {
            folder,
            open_file: None,
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
                fs::write(&path, "").expect("a file is written");
                self.open_file = Some(path);
            }
            Step::Line(line) => self.write_line(line),
            Step::Experiment(name) => self.copy_experiment(name),
            Step::Run(arguments) => self.run_to_end(arguments),
            Step::Exit(code) => self.expect_exit(*code),
            Step::Prints(text) => self.expect_printed(text, true),
            Step::Lacks(text) => self.expect_printed(text, false),
            Step::Contains { file, text } => self.expect_in_file(file, text),
            Step::Absent(name) => assert!(!self.folder.join(name).exists()),
            Step::Start(arguments) => self.start(arguments),
            Step::WaitFor(text) => self.running().wait_for(text),
            Step::Interrupt => self.interrupt(),
            Step::ChildrenEnded(min_count) => self.expect_children_ended(*min_count),
            Step::Record(requests) => self.record(*requests),
        }
    }
}

impl Drop for CommandScenario {
    fn drop(&mut self) {
        // The command that is still running is ended before its folder goes.
        self.running = None;
        let _ = fs::remove_dir_all(&self.folder);
    }
}
