//! Reloads the configuration on SIGHUP: applies the settings and the addresses of discovery and the counter. An invalid
//! configuration changes nothing.

use crate::config::{load_config, NodeConfig, RestartOnlyConfig};
use crate::counter::Counter;
use crate::discovery::DiscoveryFollower;
use crate::error_chain::ErrorChain;
use crate::notification::Notification;
use crate::reactor::Reactor;
use std::rc::Rc;
use wellcrank::settings::Settings;

/// Reads the configuration again and applies it. `started_with` holds the values of the fields that stay as they were when
/// the process started.
pub(crate) fn reload_config(
    reactor: &mut Reactor,
    counter: &mut Counter,
    discovery: &mut DiscoveryFollower,
    started_with: &RestartOnlyConfig,
) {
    let (config, settings) = match load_config() {
        Ok(loaded) => loaded,
        Err(error) => {
            slog::warn!(reactor.log, "configuration not reloaded, keeping the previous one";
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

/// Logs the changed fields that take effect only after a restart.
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

/// Replaces the settings if they differ from the current ones.
fn apply_settings(reactor: &mut Reactor, discovery: &mut DiscoveryFollower, settings: Settings) {
    if settings == *reactor.settings {
        return;
    }
    reactor.replace_settings(Rc::new(settings));
    discovery.reconfigure(reactor);
    if let Some(shutdown) = &mut reactor.shutdown {
        shutdown.shorten(&reactor.settings);
    }
    // Queued behind earlier notifications, so that requests received before the reload are handled with the settings that
    // they were checked against.
    reactor.notify(Notification::Reconfigure(reactor.settings.clone()));
}
