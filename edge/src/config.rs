//! The node's configuration: the JSON file that `BALANCER_CONFIG` names, read at the start and again on SIGHUP.

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

/// The environment variable that names the file.
const CONFIG_VARIABLE: &str = "BALANCER_CONFIG";

/// The file: who this gateway is, where others are, and the deployment's settings.
#[derive(Deserialize)]
pub(crate) struct NodeConfig {
    /// The gateway's name, which its log lines carry.
    pub(crate) name: String,
    /// Where clients connect.
    pub(crate) listen: SocketAddr,
    /// Where discovery is.
    pub(crate) discovery: SocketAddr,
    /// The seed of the random generators, a hexadecimal number.
    seed: String,
    /// What the process may hold.
    #[serde(default)]
    pub(crate) limits: Limits,
    /// Where datagrams of other gateways come in.
    pub(crate) peer_listen: Option<SocketAddr>,
    /// Where the other gateways take datagrams, by their numbers.
    #[serde(default)]
    pub(crate) peers: Vec<SocketAddr>,
    /// Where a datagram reaches all gateways.
    #[serde(rename = "peers_all")]
    pub(crate) peer_broadcast: Option<SocketAddr>,
    /// Where the shared counter is.
    pub(crate) counter: Option<SocketAddr>,
    /// The endpoint list as it was when the file was written.
    #[serde(rename = "known")]
    pub(crate) known_endpoints: Option<EndpointListMessage>,
    settings: Value,
}

/// What the process may hold; 0: not stated.
#[derive(Clone, Default, Deserialize, PartialEq)]
#[serde(default)]
pub(crate) struct Limits {
    /// Memory in MB (of 2^20 bytes).
    pub(crate) memory_mb: usize,
    /// Descriptors.
    pub(crate) sockets: usize,
}

/// The part of the configuration that takes effect at a start only.
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
    /// The environment variable is missing or no text.
    #[error("{CONFIG_VARIABLE} names no file")]
    Variable(#[source] VarError),
    /// The file can't be read.
    #[error("cannot read {path}")]
    Read {
        /// The file.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// The file is no JSON of the form of [`NodeConfig`].
    #[error("{path} is no configuration")]
    Parse {
        /// The file.
        path: String,
        /// What is wrong, with line and column.
        source: serde_json::Error,
    },
    /// The settings in the file are invalid.
    #[error("{path} holds invalid settings")]
    Settings {
        /// The file.
        path: String,
        /// What is wrong, with its place in the settings.
        source: SettingsError,
    },
    /// The seed is no hexadecimal number.
    #[error("seed {seed:?}")]
    Seed {
        /// What the file says.
        seed: String,
        /// Why that is no number.
        source: ParseIntError,
    },
}

impl NodeConfig {
    /// The part that takes effect at a start only.
    pub(crate) fn restart_only(&self) -> RestartOnlyConfig {
        RestartOnlyConfig {
            listen: self.listen,
            limits: self.limits.clone(),
            peer_listen: self.peer_listen,
            peers: self.peers.clone(),
            peer_broadcast: self.peer_broadcast,
        }
    }

    /// The seed as a number.
    pub(crate) fn parse_seed(&self) -> Result<u64, ConfigError> {
        u64::from_str_radix(&self.seed, 16).map_err(|source| ConfigError::Seed {
            seed: self.seed.clone(),
            source,
        })
    }
}

impl RestartOnlyConfig {
    /// The names in the file of the fields in which another configuration differs.
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

/// Reads the file that `BALANCER_CONFIG` names, and checks its settings.
pub(crate) fn load_config() -> Result<(NodeConfig, Settings), ConfigError> {
    let path = std::env::var(CONFIG_VARIABLE).map_err(ConfigError::Variable)?;
    match std::fs::read(&path) {
        Ok(text) => parse_config(&path, &text),
        Err(source) => Err(ConfigError::Read { path, source }),
    }
}

/// Parses the text of a configuration file; `path` is what errors name it by.
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
