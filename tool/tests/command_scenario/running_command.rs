//! A running command, the output it has printed so far, and its child processes.

use super::{wait_until, CommandOutcome};
use std::fs;
use std::io::Read;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::spawn;

/// A started command. It is killed when the value is dropped.
pub(super) struct RunningCommand {
    child: Child,
    output: Arc<Mutex<String>>,
}

impl RunningCommand {
    pub(super) fn start(mut command: Command) -> Self {
        let mut child = command
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the command starts");
        let stdout = child.stdout.take().expect("the standard output is piped");
        let output = Arc::new(Mutex::new(String::new()));
        let collected = output.clone();
        spawn(move || collect_output(stdout, &collected));
        RunningCommand { child, output }
    }

    fn output(&self) -> String {
        self.output.lock().expect("the collected output").clone()
    }

    /// Waits until the output contains the text.
    pub(super) fn wait_for(&self, text: &str) {
        wait_until(
            || self.output().contains(text).then_some(()),
            || format!("{text:?} is not in: {}", self.output()),
        );
    }

    /// The ids of the command's child processes.
    pub(super) fn children(&self) -> Vec<u32> {
        let entries = fs::read_dir("/proc").expect("/proc is readable").flatten();
        entries
            .filter_map(|entry| entry.file_name().to_str()?.parse().ok())
            .filter(|id| parent(*id) == Some(self.child.id()))
            .collect()
    }

    /// Sends SIGINT to the command and waits for its end. The outcome holds the standard output only.
    pub(super) fn interrupt(&mut self) -> CommandOutcome {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-INT", &id]).status();
        assert!(sent.expect("kill runs").success(), "kill -INT {id} failed");
        let output = self.output.clone();
        let status = wait_until(
            || self.child.try_wait().expect("the command's state"),
            || {
                format!(
                    "the command did not end after SIGINT: {}",
                    output.lock().expect("the collected output")
                )
            },
        );
        CommandOutcome {
            exit_code: status.code(),
            output: self.output(),
        }
    }
}

impl Drop for RunningCommand {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn collect_output(mut stdout: ChildStdout, output: &Mutex<String>) {
    let mut bytes = [0; 4096];
    while let Ok(count @ 1..) = stdout.read(&mut bytes) {
        let text = String::from_utf8_lossy(&bytes[..count]);
        output.lock().expect("the collected output").push_str(&text);
    }
}

/// The id of a process's parent; none if the process does not exist.
fn parent(id: u32) -> Option<u32> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The program name is in parentheses and may contain spaces; the state and the parent id follow it.
    let after_name = stat.rsplit(')').next()?;
    after_name.split_whitespace().nth(1)?.parse().ok()
}
