//! Runs one controller for each running instance. A controller gets only the events for its own instance.

use crate::action::{ActionEncoder, Reply};
use crate::error::LineError;
use crate::event::{Event, UndecodedEvent};
use crate::message::InstanceId;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use wellcrank::control::AdmissionController;
use wellcrank::port::{UnixTime, UpdateTiming};
use wellcrank::settings::Settings;

/// The running instances of this process.
pub(crate) struct InstanceHost {
    controllers: BTreeMap<InstanceId, AdmissionController>,
    /// The time of the current batch on the simulator's wall clock.
    now: Duration,
    reply: Reply,
}

impl InstanceHost {
    /// Returns a host without instances. The instances that it starts append their actions to `reply`.
    pub(crate) fn new(reply: Reply) -> Self {
        InstanceHost {
            controllers: BTreeMap::new(),
            now: Duration::ZERO,
            reply,
        }
    }

    /// Sets the time for all instances.
    pub(crate) fn set_time(&mut self, now: Duration) {
        self.now = now;
    }

    /// Starts an instance. It keeps no state from before a restart.
    pub(crate) fn start(&mut self, instance: InstanceId, settings: Rc<Settings>, seed: u64) {
        let port = ActionEncoder::new(instance, self.reply.clone());
        let controller = AdmissionController::new(settings, seed, self.now, Box::new(port));
        self.controllers.insert(instance, controller);
    }

    /// Removes an instance and all its state.
    pub(crate) fn stop(&mut self, instance: InstanceId) {
        self.controllers.remove(&instance);
    }

    /// Passes an event to its instance. An event for an instance that is not running has no effect and is not decoded.
    pub(crate) fn deliver(
        &mut self,
        instance: InstanceId,
        event: UndecodedEvent,
    ) -> Result<(), LineError> {
        let Some(controller) = self.controllers.get_mut(&instance) else {
            return Ok(());
        };
        controller.set_time(self.now);
        match event.decode()? {
            Event::EndpointUpdate(update) => {
                let timing = UpdateTiming {
                    unix_now: UnixTime(self.now),
                    since_last_update: None,
                };
                controller.on_endpoint_update(timing, update);
            }
            Event::DiscoveryFailure => controller.on_discovery_failure(),
            Event::Request(request) => controller.on_request(request),
            Event::AttemptEnd {
                request,
                attempt,
                result,
            } => controller.on_attempt_end(&request, attempt, result),
            Event::ResponseStarted(request) => controller.on_response_started(&request),
            Event::ClientDisconnect(request) => controller.on_client_disconnect(&request),
            Event::Timer(token) => controller.on_timer(token),
            Event::CounterReply { name, reply } => controller.on_counter_reply(name, reply),
            Event::Ignored => (),
        }
        Ok(())
    }
}
