//! The processes of the gateways. Each is started with its own configuration file and is killed when the run or the
//! laboratory ends.

use super::GatewayProgram;
use crate::error::LabError;
use rustix::process::{kill_process, Pid, Signal};
use std::fs;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// The unit of processor time in `/proc/PID/stat` is a tick of 1/100 s.
const TICKS_PER_SECOND: f64 = 100.0;

/// The unit of memory in `/proc/PID/stat` is a page of this size.
const PAGE_BYTES: u64 = 4096;

/// The index of the user time in the fields of `/proc/PID/stat` after the program's name, counted from 0.
const USER_TICKS_FIELD: usize = 11;
/// The index of the system time in the same fields.
const SYSTEM_TICKS_FIELD: usize = 12;
/// The index of the resident memory in the same fields.
const RESIDENT_PAGES_FIELD: usize = 21;

/// The number of runs of this process so far. It makes the names of their folders unique.
static RUN_COUNT: AtomicU32 = AtomicU32::new(0);

/// A temporary folder for the files of one run. It is removed when the value is dropped.
pub(super) struct RunFolder(PathBuf);

impl RunFolder {
    pub(super) fn create() -> Result<RunFolder, LabError> {
        let run = RUN_COUNT.fetch_add(1, Ordering::SeqCst);
        let name = format!("wellcrank-lab-{}-{run}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).map_err(LabError::file(&path, "cannot be created"))?;
        Ok(RunFolder(path))
    }

    /// The path of a file in the folder.
    pub(super) fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for RunFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The current process of a gateway, and the resources that all its processes have used.
#[derive(Default)]
pub(super) struct GatewayProcess {
    child: Option<Child>,
    /// The processor time of all processes of the gateway, as of the last [`GatewayProcess::update_usage`].
    pub(super) cpu_seconds: f64,
    /// The maximum resident memory of any of the processes, as seen by [`GatewayProcess::update_usage`].
    pub(super) max_resident_bytes: u64,
    /// The processor time of the processes before the current one.
    earlier_cpu_seconds: f64,
}

impl GatewayProcess {
    /// Kills the current process, if there is one, and starts a new one. Its log is appended to `log_file`, or
    /// discarded if that is `None`.
    pub(super) fn start(
        &mut self,
        program: &GatewayProgram,
        config_file: &Path,
        log_file: Option<&Path>,
    ) -> Result<(), LabError> {
        self.kill();
        let log = match log_file {
            Some(path) => {
                let file = fs::OpenOptions::new().create(true).append(true).open(path);
                Stdio::from(file.map_err(LabError::file(path, "cannot be opened"))?)
            }
            None => Stdio::null(),
        };
        let mut command = Command::new(&program.path);
        command
            .args(&program.arguments)
            .envs(program.environment.iter().cloned())
            .env("BALANCER_CONFIG", config_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        end_with_laboratory(&mut command);
        let child = command
            .spawn()
            .map_err(LabError::file(&program.path, "cannot be started"))?;
        self.child = Some(child);
        Ok(())
    }

    pub(super) fn signal(&self, signal: Signal) {
        let pid = self
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns the exit status of the current process, once, if the process has ended by itself.
    pub(super) fn take_exit_status(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok().flatten()?;
        self.earlier_cpu_seconds = self.cpu_seconds;
        self.child = None;
        Some(status)
    }

    pub(super) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.earlier_cpu_seconds = self.cpu_seconds;
        }
    }

    /// Reads the resources that the current process has used so far.
    pub(super) fn update_usage(&mut self) {
        let Some(child) = &self.child else { return };
        let stat = fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
        // The name of the program is in parentheses and may contain spaces.
        let after_name = stat.rsplit(')').next().unwrap_or("");
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        if fields.len() <= RESIDENT_PAGES_FIELD {
            return;
        }
        let number = |index: usize| fields[index].parse::<u64>().unwrap_or(0);
        let ticks = number(USER_TICKS_FIELD) + number(SYSTEM_TICKS_FIELD);
        self.cpu_seconds = self.earlier_cpu_seconds + ticks as f64 / TICKS_PER_SECOND;
        let resident_bytes = number(RESIDENT_PAGES_FIELD) * PAGE_BYTES;
        self.max_resident_bytes = self.max_resident_bytes.max(resident_bytes);
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Makes the operating system kill the process when the laboratory's process ends. A laboratory that is killed with
/// SIGKILL can't kill its gateways itself.
#[allow(unsafe_code)]
fn end_with_laboratory(command: &mut Command) {
    // SAFETY: between fork and exec, only async-signal-safe functions may be called. The closure makes a single
    // system call.
    unsafe {
        command.pre_exec(|| {
            rustix::process::set_parent_process_death_signal(Some(Signal::KILL))?;
            Ok(())
        });
    }
}
