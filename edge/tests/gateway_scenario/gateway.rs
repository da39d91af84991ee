//! The process of the gateway under test: its configuration, its log, and signals to it.

use super::stand_ins::LoopbackHost;
use super::{wait_until, TIMEOUT};
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

/// The settings of the gateway, before a scenario changes them.
const DEFAULT_SETTINGS: &str = include_str!("../scenarios/settings.json");
const DEFAULT_MEMORY_MIB: usize = 192;
const DEFAULT_SOCKETS: usize = 1024;
/// A command that the gateway answers itself.
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
/// The answer to [`PING`] of a gateway that is ready.
const PONG: &str = "+PONG";

/// The addresses of the services that the gateway uses.
pub(crate) struct ServiceAddresses {
    pub(crate) discovery: String,
    pub(crate) counter: String,
}

/// The resource limits in the gateway's configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResourceLimits {
    /// The memory limit in MiB.
    pub(crate) memory_mb: usize,
    /// The maximum number of file descriptors.
    pub(crate) sockets: usize,
}

/// The gateway under test. Dropping this value ends the process and removes its files.
pub(crate) struct GatewayProcess {
    configuration_file: PathBuf,
    log_file: PathBuf,
    /// The address on which the gateway listens. Set when the configuration is first written.
    address: Option<String>,
    limits: ResourceLimits,
    /// The settings that the scenario has changed: the JSON pointer of each and its value.
    changed_settings: Vec<(String, serde_json::Value)>,
    /// The number of descriptors that the system grants the process, if the scenario limits it.
    descriptor_limit: Option<u32>,
    process: Option<Child>,
}

impl GatewayProcess {
    /// Returns a gateway that is not started yet, for the scenario of this name.
    pub(crate) fn new(scenario: &str) -> Self {
        let process = std::process::id();
        let configuration_file =
            std::env::temp_dir().join(format!("wellcrank-{process}-{scenario}.json"));
        GatewayProcess {
            log_file: configuration_file.with_extension("log"),
            configuration_file,
            address: None,
            limits: ResourceLimits {
                memory_mb: DEFAULT_MEMORY_MIB,
                sockets: DEFAULT_SOCKETS,
            },
            changed_settings: Vec::new(),
            descriptor_limit: None,
            process: None,
        }
    }

    /// Sets the resource limits in the configuration that is written next.
    pub(crate) fn set_limits(&mut self, limits: ResourceLimits) {
        self.limits = limits;
    }

    /// Sets the number of descriptors that the system grants the process that is started next.
    pub(crate) fn set_descriptor_limit(&mut self, limit: u32) {
        self.descriptor_limit = Some(limit);
    }

    /// Changes a setting in all configurations that are written from now on. `name` is its path, such as
    /// `rules.ask_within_ns`.
    pub(crate) fn change_setting(&mut self, name: &str, value: &serde_json::Value) {
        let path = format!("/{}", name.replace('.', "/"));
        self.changed_settings.push((path, value.clone()));
    }

    /// Writes the configuration. `known_endpoints` is the endpoint list that the gateway starts with, as JSON.
    pub(crate) fn write_configuration(
        &mut self,
        host: &LoopbackHost,
        services: &ServiceAddresses,
        known_endpoints: &str,
    ) {
        let address = self.address.get_or_insert_with(|| host.free_address());
        let mut settings: serde_json::Value =
            serde_json::from_str(DEFAULT_SETTINGS).expect("expected JSON in settings.json");
        for (path, value) in &self.changed_settings {
            let setting = settings.pointer_mut(path);
            *setting.unwrap_or_else(|| panic!("expected a setting {path} in settings.json")) =
                value.clone();
        }
        let ServiceAddresses { discovery, counter } = services;
        let ResourceLimits { memory_mb, sockets } = self.limits;
        let configuration = format!(
            "{{\"name\":\"n0\",\"listen\":\"{address}\",\"discovery\":\"{discovery}\",\"seed\":\"7\",\
             \"counter\":\"{counter}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets}}},\
             \"known\":{known_endpoints},\"settings\":{settings}}}"
        );
        self.write_file(&configuration);
    }

    /// Writes a configuration that is not valid JSON.
    pub(crate) fn write_malformed_configuration(&self) {
        self.write_file("{");
    }

    fn write_file(&self, text: &str) {
        fs::write(&self.configuration_file, text)
            .expect("expected to write the configuration file");
    }

    /// Starts the process with additional environment variables and waits until it accepts connections.
    pub(crate) fn start(&mut self, environment: Vec<(String, std::ffi::OsString)>) {
        let log = fs::File::create(&self.log_file).expect("expected to create the log file");
        let mut command = self.command();
        command
            .env("BALANCER_CONFIG", &self.configuration_file)
            .envs(environment)
            .stderr(Stdio::from(log));
        self.process = Some(command.spawn().expect("expected the gateway to start"));
        wait_until("the gateway accepts connections", || {
            TcpStream::connect(self.address()).ok()
        });
    }

    fn command(&self) -> Command {
        let program = env!("CARGO_BIN_EXE_wellcrank-edge");
        let Some(limit) = self.descriptor_limit else {
            return Command::new(program);
        };
        let mut shell = Command::new("sh");
        shell.args(["-c", &format!("ulimit -n {limit}; exec {program}")]);
        shell
    }

    /// Returns the address on which the gateway listens.
    pub(crate) fn address(&self) -> &str {
        self.address
            .as_deref()
            .expect("expected a configuration to be written before")
    }

    /// Sends a signal, such as `-HUP`, to the process.
    pub(crate) fn signal(&self, signal: &str) {
        let id = self.process_id().to_string();
        let status = Command::new("kill").args([signal, &id]).status();
        let status = status.expect("expected the program kill to start");
        assert!(
            status.success(),
            "expected kill {signal} {id} to succeed, found {status}"
        );
    }

    fn process_id(&self) -> u32 {
        self.process
            .as_ref()
            .expect("expected the gateway to be started")
            .id()
    }

    /// Suspends the process and waits until it is suspended.
    pub(crate) fn pause(&self) {
        self.signal("-STOP");
        let stat_file = format!("/proc/{}/stat", self.process_id());
        wait_until("the process is suspended", || {
            let stat = fs::read_to_string(&stat_file).expect("expected the process in /proc");
            let state = stat.rsplit(')').next().unwrap_or("").trim_start();
            state.starts_with('T').then_some(())
        });
    }

    /// Resumes a suspended process.
    pub(crate) fn resume(&self) {
        self.signal("-CONT");
    }

    /// Panics if the process has ever held more anonymous memory than its limit. Memory for its program file does not count.
    pub(crate) fn expect_memory_within_limit(&self) {
        let file = format!("/proc/{}/status", self.process_id());
        let status = fs::read_to_string(file).expect("expected the process in /proc");
        let peak_kib = status_kib(&status, "VmHWM") - status_kib(&status, "RssFile");
        let limit_kib = self.limits.memory_mb << 10;
        assert!(
            peak_kib <= limit_kib,
            "expected at most {limit_kib} KiB of memory, found {peak_kib} KiB"
        );
    }

    /// Waits until the process has exited by itself.
    pub(crate) fn wait_for_exit(&mut self) -> ExitStatus {
        let process = self
            .process
            .as_mut()
            .expect("expected the gateway to be started");
        wait_until("the gateway exits", || {
            process
                .try_wait()
                .expect("expected the state of the process")
        })
    }

    /// Returns what the gateway has logged so far.
    pub(crate) fn log(&self) -> String {
        fs::read_to_string(&self.log_file).expect("expected a readable log file")
    }

    /// Sends a ping and panics if the answer is not `+PONG`. Events from before reach the gateway no later than
    /// the ping.
    pub(crate) fn expect_pong(&self) {
        let answer = self.ping();
        assert_eq!(answer, PONG, "expected the answer to PING");
    }

    /// Returns whether the gateway answers a ping with `+PONG`, which it does once it is ready.
    pub(crate) fn is_ready(&self) -> bool {
        self.ping() == PONG
    }

    /// Sends a ping on a new connection and returns the answer.
    fn ping(&self) -> String {
        let mut connection = TcpStream::connect(self.address())
            .expect("expected the gateway to accept a connection");
        connection
            .set_read_timeout(Some(TIMEOUT))
            .expect("expected to set the read timeout");
        connection
            .write_all(PING)
            .expect("expected the gateway to keep the connection open");
        let mut answer = String::new();
        let count = BufReader::new(connection).read_line(&mut answer);
        let count = count.expect("expected an answer to PING");
        assert!(
            count > 0,
            "expected an answer to PING, found a closed connection"
        );
        answer.trim_end().to_string()
    }
}

/// Returns a size in KiB from the text of `/proc/PID/status`.
fn status_kib(status: &str, name: &str) -> usize {
    let line = status
        .lines()
        .find(|line| line.starts_with(name))
        .unwrap_or_else(|| panic!("expected a line {name} in the status of a process"));
    let size = line.split_whitespace().nth(1);
    size.and_then(|size| size.parse().ok())
        .unwrap_or_else(|| panic!("expected a size in KiB, found: {line}"))
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
            let _ = fs::remove_file(&self.configuration_file);
            if std::env::var("KEEP_LOGS").is_err() {
                let _ = fs::remove_file(&self.log_file);
            }
        }
    }
}
