//! Reloads the configuration on SIGHUP: its settings hold from now on, and discovery and the counter are followed to
//! where it says that they are. One that can't be used changes nothing.

use crate::config::{load_config, NodeConfig, RestartOnlyConfig};
use crate::counter::Counter;
use crate::discovery::DiscoveryFollower;
use crate::error_chain::ErrorChain;
use crate::notification::Notification;
use crate::reactor::Reactor;
use std::rc::Rc;
use wellcrank::settings::Settings;

/// Reads the configuration again and applies it; `started_with` is what this process was started with.
pub(crate) fn reload_config(
    reactor: &mut Reactor,
    counter: &mut Counter,
    discovery: &mut DiscoveryFollower,
    started_with: &RestartOnlyConfig,
) {
    let (config, settings) = match load_config() {
        Ok(loaded) => loaded,
        Err(error) => {
            slog::warn!(reactor.log, "configuration not reloaded, the old one stays";
                "reason" => %ErrorChain(&error));
            return;
        }
    };
    warn_of_restart_only_changes(reactor, &config, &settings, started_with);
    apply_settings(reactor, discovery, settings);
    slog::info!(reactor.log, "configuration reloaded"; "discovery" => %config.discovery, "counter" => ?config.counter);
    discovery.set_address(reactor, config.discovery);
    counter.set_address(reactor, config.counter);
}

/// Logs which changes take effect at the next start only.
fn warn_of_restart_only_changes(
    reactor: &Reactor,
    config: &NodeConfig,
    settings: &Settings,
    started_with: &RestartOnlyConfig,
) {
    let mut fields = started_with.differing_fields(&config.restart_only());
    if settings.limits.peer_messages != reactor.settings.limits.peer_messages {
        fields.push("settings.ceilings.peers");
    }
    if !fields.is_empty() {
        slog::warn!(reactor.log, "these fields take effect at the next start only"; "fields" => fields.join(", "));
    }
}

/// Has other settings hold; where they are as before, nothing changes.
fn apply_settings(reactor: &mut Reactor, discovery: &mut DiscoveryFollower, settings: Settings) {
    if settings == *reactor.settings {
        return;
    }
    reactor.replace_settings(Rc::new(settings));
    discovery.reconfigure(reactor);
    if let Some(shutdown) = &mut reactor.shutdown {
        shutdown.shorten(&reactor.settings);
    }
    // In its turn: what has arrived before keeps the terms that it was checked against.
    reactor.notify(Notification::Reconfigure(reactor.settings.clone()));
}
