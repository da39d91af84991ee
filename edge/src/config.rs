//! The gateway's configuration: the JSON file that the environment variable `BALANCER_CONFIG` names. It is read at start-up
//! and again on SIGHUP.

use crate::discovery::EndpointListMessage;
use serde::Deserialize;
use serde_json::Value;
use std::env::VarError;
use std::io;
use std::net::SocketAddr;
use std::num::ParseIntError;
use thiserror::Error;
use wellcrank::settings::Settings;
use wellcrank_settings::SettingsError;

/// The environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "BALANCER_CONFIG";

/// The content of the configuration file: the gateway's name and addresses, and the deployment's settings.
#[derive(Deserialize)]
pub(crate) struct NodeConfig {
    /// The gateway's name, which its log lines contain.
    pub(crate) name: String,
    /// The address on which clients are accepted.
    pub(crate) listen: SocketAddr,
    /// The address of discovery.
    pub(crate) discovery: SocketAddr,
    /// The seed of the random number generators, as a hexadecimal number.
    seed: String,
    /// The limits of the process.
    #[serde(default)]
    pub(crate) limits: Limits,
    /// The address on which datagrams of other gateways are received.
    pub(crate) peer_listen: Option<SocketAddr>,
    /// The addresses to which datagrams for the other gateways are sent, by gateway index.
    #[serde(default)]
    pub(crate) peers: Vec<SocketAddr>,
    /// The address to which datagrams for all gateways are sent.
    #[serde(rename = "peers_all")]
    pub(crate) peer_broadcast: Option<SocketAddr>,
    /// The address of the shared counter.
    pub(crate) counter: Option<SocketAddr>,
    /// The endpoint list at the time when the file was written.
    #[serde(rename = "known")]
    pub(crate) known_endpoints: Option<EndpointListMessage>,
    settings: Value,
}

/// The limits of the process; 0 if not configured.
#[derive(Clone, Default, Deserialize, PartialEq)]
#[serde(default)]
pub(crate) struct Limits {
    /// The memory limit in MiB.
    pub(crate) memory_mb: usize,
    /// The maximum number of file descriptors.
    pub(crate) sockets: usize,
}

/// The fields of the configuration whose changes take effect only after a restart.
#[derive(Clone, PartialEq)]
pub(crate) struct RestartOnlyConfig {
    listen: SocketAddr,
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    peers: Vec<SocketAddr>,
    peer_broadcast: Option<SocketAddr>,
}

/// Why a configuration can't be used.
#[derive(Debug, Error)]
pub(crate) enum ConfigError {
    /// The environment variable is not set or is not Unicode.
    #[error("{CONFIG_VARIABLE} must be set to the path of the configuration file")]
    Variable(#[source] VarError),
    /// The file can't be read.
    #[error("cannot read the configuration file {path}")]
    Read {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file can't be deserialized as a [`NodeConfig`].
    #[error("{path} is not a valid configuration")]
    Parse {
        /// The path of the file.
        path: String,
        /// What is wrong, with line and column.
        source: serde_json::Error,
    },
    /// The settings in the file are invalid.
    #[error("{path} contains invalid settings")]
    Settings {
        /// The path of the file.
        path: String,
        /// What is wrong, with its place in the settings.
        source: SettingsError,
    },
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error("seed {seed:?} is not a hexadecimal number of at most 64 bits")]
    Seed {
        /// The seed in the file.
        seed: String,
        /// Why the seed can't be parsed.
        source: ParseIntError,
    },
}

impl NodeConfig {
    /// Returns the fields whose changes take effect only after a restart.
    pub(crate) fn restart_only(&self) -> RestartOnlyConfig {
        RestartOnlyConfig {
            listen: self.listen,
            limits: self.limits.clone(),
            peer_listen: self.peer_listen,
            peers: self.peers.clone(),
            peer_broadcast: self.peer_broadcast,
        }
    }

    /// Returns the seed as a number.
    pub(crate) fn parse_seed(&self) -> Result<u64, ConfigError> {
        u64::from_str_radix(&self.seed, 16).map_err(|source| ConfigError::Seed {
            seed: self.seed.clone(),
            source,
        })
    }
}

impl RestartOnlyConfig {
    /// Returns the names, as in the configuration file, of the fields whose values differ in `other`.
    pub(crate) fn differing_fields(&self, other: &RestartOnlyConfig) -> Vec<&'static str> {
        let fields = [
            ("listen", self.listen != other.listen),
            ("limits", self.limits != other.limits),
            ("peer_listen", self.peer_listen != other.peer_listen),
            ("peers", self.peers != other.peers),
            ("peers_all", self.peer_broadcast != other.peer_broadcast),
        ];
        fields
            .into_iter()
            .filter(|(_, differs)| *differs)
            .map(|(name, _)| name)
            .collect()
    }
}

/// Reads the configuration file that `BALANCER_CONFIG` names and validates its settings.
pub(crate) fn load_config() -> Result<(NodeConfig, Settings), ConfigError> {
    let path = std::env::var(CONFIG_VARIABLE).map_err(ConfigError::Variable)?;
    match std::fs::read(&path) {
        Ok(text) => parse_config(&path, &text),
        Err(source) => Err(ConfigError::Read { path, source }),
    }
}

/// Parses and validates the text of the configuration file at `path`, which is used only in errors.
fn parse_config(path: &str, text: &[u8]) -> Result<(NodeConfig, Settings), ConfigError> {
    let config: NodeConfig = serde_json::from_slice(text).map_err(|source| ConfigError::Parse {
        path: path.to_string(),
        source,
    })?;
    let settings =
        wellcrank_settings::decode(&config.settings).map_err(|source| ConfigError::Settings {
            path: path.to_string(),
            source,
        })?;
    Ok((config, settings))
}

#[cfg(test)]
mod tests;
