//! The gateways' processes: started with a file of their own, signalled, and never left behind.

use super::GatewayProgram;
use rustix::process::{kill_process, Pid, Signal};
use std::fs;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// A folder for the files of one run, removed with it.
pub struct Folder(pub PathBuf);

static RUNS: AtomicU32 = AtomicU32::new(0);

impl Folder {
    pub fn new() -> Result<Folder, String> {
        let run = RUNS.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("wellcrank-lab-{}-{run}", std::process::id()));
        fs::create_dir_all(&path).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

pub struct Process {
    child: Option<Child>,
    /// Processor seconds and resident bytes, as last read and over all its lives.
    pub cpu: f64,
    pub resident: u64,
    lives_cpu: f64,
}

impl Process {
    pub fn none() -> Process {
        Process {
            child: None,
            cpu: 0.0,
            resident: 0,
            lives_cpu: 0.0,
        }
    }

    pub fn start(
        &mut self,
        program: &GatewayProgram,
        file: &Path,
        log: Option<&Path>,
    ) -> Result<(), String> {
        self.kill();
        let said = match log {
            Some(path) => {
                let open = fs::OpenOptions::new().create(true).append(true).open(path);
                Stdio::from(open.map_err(|error| format!("{}: {error}", path.display()))?)
            }
            None => Stdio::null(),
        };
        let mut command = Command::new(&program.path);
        command.args(&program.arguments);
        command.envs(program.environment.iter().cloned());
        command
            .env("BALANCER_CONFIG", file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(said);
        // A laboratory that is killed outright can't end its gateways: the system does. Set between fork and
        // exec, where only calls such as this one are allowed.
        #[allow(unsafe_code)]
        unsafe {
            command.pre_exec(|| {
                rustix::process::set_parent_process_death_signal(Some(Signal::KILL))?;
                Ok(())
            });
        }
        let child = command
            .spawn()
            .map_err(|error| format!("{}: {error}", program.path.display()))?;
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id() as i32))
        {
            let _ = kill_process(pid, signal);
        }
    }

    /// If it has ended by itself: how.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        let ended = self.child.as_mut()?.try_wait().ok().flatten()?;
        self.lives_cpu = self.cpu;
        self.child = None;
        Some(ended)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.lives_cpu = self.cpu;
        }
    }

    /// Reads what it has used so far; the system counts in ticks of a hundredth and pages of 4 KiB.
    pub fn look(&mut self) {
        let Some(child) = &self.child else { return };
        let stat = fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
        // The name may hold spaces and stands in parentheses.
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or("")
            .split_whitespace()
            .collect();
        let number = |at: usize| {
            fields
                .get(at)
                .and_then(|it| it.parse::<u64>().ok())
                .unwrap_or(0)
        };
        if fields.len() > 21 {
            self.cpu = self.lives_cpu + (number(11) + number(12)) as f64 / 100.0;
            self.resident = self.resident.max(number(21) * 4096);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
