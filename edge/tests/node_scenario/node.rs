//! The process of the node under test: its configuration, its log, and signals to it.

use super::stand_ins::LoopbackHost;
use super::{wait_until, TIMEOUT};
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

/// The settings of the node, before a scenario changes them.
const DEFAULT_SETTINGS: &str = include_str!("../scenarios/settings.json");
const DEFAULT_MEMORY_MB: usize = 192;
const DEFAULT_SOCKETS: usize = 1024;
/// A command that the node answers itself.
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
const PONG: &str = "+PONG";

/// Where the node finds the services that it talks to, and the endpoints that it knows at its start.
pub(crate) struct Services {
    /// The address of discovery.
    pub(crate) discovery: String,
    /// The address of the counter.
    pub(crate) counter: String,
    /// The endpoint list as JSON.
    pub(crate) known_endpoints: String,
}

/// What the node may use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResourceLimits {
    /// Memory in megabytes.
    pub(crate) memory_mb: usize,
    /// Sockets.
    pub(crate) sockets: usize,
}

/// The node under test. The process ends with this value.
pub(crate) struct Node {
    configuration_file: PathBuf,
    log_file: PathBuf,
    /// Chosen when the configuration is first written.
    address: Option<String>,
    limits: ResourceLimits,
    /// Settings that the scenario has changed: the path of each and its value.
    changed_settings: Vec<(String, serde_json::Value)>,
    /// The most descriptors that the system gives the process.
    descriptor_limit: Option<u32>,
    process: Option<Child>,
}

impl Node {
    /// The node of a scenario of that name, which has not been started.
    pub(crate) fn new(scenario: &str) -> Self {
        let process = std::process::id();
        let configuration_file =
            std::env::temp_dir().join(format!("wellcrank-{process}-{scenario}.json"));
        Node {
            log_file: configuration_file.with_extension("log"),
            configuration_file,
            address: None,
            limits: ResourceLimits {
                memory_mb: DEFAULT_MEMORY_MB,
                sockets: DEFAULT_SOCKETS,
            },
            changed_settings: Vec::new(),
            descriptor_limit: None,
            process: None,
        }
    }

    /// Changes what the node may use, as its configuration states it.
    pub(crate) fn set_limits(&mut self, limits: ResourceLimits) {
        self.limits = limits;
    }

    /// Changes how many descriptors the system gives the process.
    pub(crate) fn set_descriptor_limit(&mut self, limit: u32) {
        self.descriptor_limit = Some(limit);
    }

    /// Changes a setting in the configuration that is written next.
    pub(crate) fn change_setting(&mut self, name: &str, value: &serde_json::Value) {
        let path = format!("/{}", name.replace('.', "/"));
        self.changed_settings.push((path, value.clone()));
    }

    /// Writes the configuration.
    pub(crate) fn write_configuration(&mut self, host: &LoopbackHost, services: &Services) {
        let address = self.address.get_or_insert_with(|| host.free_address());
        let mut settings: serde_json::Value =
            serde_json::from_str(DEFAULT_SETTINGS).expect("settings");
        for (path, value) in &self.changed_settings {
            *settings.pointer_mut(path).expect("a setting") = value.clone();
        }
        let Services {
            discovery,
            counter,
            known_endpoints,
        } = services;
        let ResourceLimits { memory_mb, sockets } = self.limits;
        let configuration = format!(
            "{{\"name\":\"n0\",\"listen\":\"{address}\",\"discovery\":\"{discovery}\",\"seed\":\"7\",\
             \"counter\":\"{counter}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets}}},\
             \"known\":{known_endpoints},\"settings\":{settings}}}"
        );
        self.write_file(&configuration);
    }

    /// Writes a configuration that can't be read.
    pub(crate) fn write_malformed_configuration(&self) {
        self.write_file("{");
    }

    fn write_file(&self, text: &str) {
        fs::write(&self.configuration_file, text).expect("a file for the configuration");
    }

    /// Starts the process and waits until it accepts connections.
    pub(crate) fn start(&mut self, environment: Vec<(String, std::ffi::OsString)>) {
        let log = fs::File::create(&self.log_file).expect("a file for the log");
        let mut command = self.command();
        command
            .env("BALANCER_CONFIG", &self.configuration_file)
            .envs(environment)
            .stderr(Stdio::from(log));
        self.process = Some(command.spawn().expect("the node starts"));
        wait_until(|| TcpStream::connect(self.address()).ok());
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

    /// Where the node listens.
    pub(crate) fn address(&self) -> &str {
        self.address.as_deref().expect("a configuration is written")
    }

    /// Sends the process a signal.
    pub(crate) fn signal(&self, signal: &str) {
        let id = self.process_id().to_string();
        let status = Command::new("kill").args([signal, &id]).status();
        assert!(status.expect("kill").success());
    }

    fn process_id(&self) -> u32 {
        self.process.as_ref().expect("the node is started").id()
    }

    /// Stops the process where it is, until it is resumed.
    pub(crate) fn pause(&self) {
        self.signal("-STOP");
        let stat_file = format!("/proc/{}/stat", self.process_id());
        wait_until(|| {
            let stat = fs::read_to_string(&stat_file).unwrap();
            let state = stat.rsplit(')').next().unwrap().trim_start();
            state.starts_with('T').then_some(())
        });
    }

    /// Lets a paused process go on.
    pub(crate) fn resume(&self) {
        self.signal("-CONT");
    }

    /// Waits until the process has ended by itself.
    pub(crate) fn wait_for_exit(&mut self) -> ExitStatus {
        let process = self.process.as_mut().expect("the node is started");
        wait_until(|| process.try_wait().expect("the state of the process"))
    }

    /// What the node has logged so far.
    pub(crate) fn log(&self) -> String {
        fs::read_to_string(&self.log_file).expect("the log")
    }

    /// Panics where the node does not answer a ping. What happened before reaches the node no later than the ping.
    pub(crate) fn expect_pong(&self) {
        assert_eq!(self.ping(), PONG);
    }

    /// Whether the node says that it serves.
    pub(crate) fn answers_ping(&self) -> bool {
        self.ping() == PONG
    }

    /// The node's answer to a ping on a connection of its own.
    fn ping(&self) -> String {
        let mut connection = TcpStream::connect(self.address()).expect("the node accepts");
        connection.set_read_timeout(Some(TIMEOUT)).unwrap();
        connection.write_all(PING).unwrap();
        let mut answer = String::new();
        let count = BufReader::new(connection).read_line(&mut answer);
        assert!(count.expect("an answer") > 0, "the connection was closed");
        answer.trim_end().to_string()
    }
}

impl Drop for Node {
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
