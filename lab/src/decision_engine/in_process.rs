//! Runs the controllers of all gateways in this process.

use super::{DecisionEngine, DecisionEngineError, GatewayAction, GatewayEvent, IssuedAction};
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use wellcrank::control::AdmissionController;
use wellcrank::port::{
    AttemptNumber, CounterName, EndpointId, Port, RequestId, TimerToken, UnixTime, UpdateTiming,
};

type ActionLog = Rc<RefCell<Vec<IssuedAction>>>;

/// The port of one gateway. It appends the actions of the gateway's controller to a log that all gateways share.
struct LoggingPort {
    gateway: usize,
    log: ActionLog,
}

impl LoggingPort {
    fn record(&mut self, action: GatewayAction) {
        self.log.borrow_mut().push(IssuedAction {
            gateway: self.gateway,
            action,
        });
    }
}

impl Port for LoggingPort {
    fn send(
        &mut self,
        request: &RequestId,
        endpoint: &EndpointId,
        timeout: Duration,
        _send_by: Duration,
    ) {
        self.record(GatewayAction::Send {
            request: request.clone(),
            endpoint: endpoint.clone(),
            timeout,
        });
    }

    fn cancel(&mut self, request: &RequestId, attempt: AttemptNumber) {
        self.record(GatewayAction::Cancel {
            request: request.clone(),
            attempt,
        });
    }

    fn reject(&mut self, request: &RequestId, retry_after: Duration) {
        self.record(GatewayAction::Reject {
            request: request.clone(),
            retry_after,
        });
    }

    fn fail(&mut self, request: &RequestId) {
        self.record(GatewayAction::Fail {
            request: request.clone(),
        });
    }

    fn add_to_counter(&mut self, name: CounterName, amount: f64, ttl: Duration) {
        self.record(GatewayAction::AddToCounter { name, amount, ttl });
    }

    fn set_timer(&mut self, token: TimerToken, at: Duration) {
        self.record(GatewayAction::SetTimer { token, at });
    }

    fn send_to_peer(&mut self, peer: Option<u32>, body: &[u8]) {
        self.record(GatewayAction::SendToPeer {
            peer,
            body: body.to_vec(),
        });
    }

    // Simulated runs ignore the remaining actions: endpoint updates are delivered without a subscription, and the
    // controller sends no load probes.
    fn probe(&mut self, _endpoint: &EndpointId) {}
    fn subscribe(&mut self, _active: bool) {}
    fn refetch_endpoints(&mut self) {}
    fn close_idle_connections(&mut self, _endpoint: &EndpointId) {}
    fn log(&mut self, _text: &str) {}
}

/// The controllers of the running gateways, by gateway number, and the actions that they have issued.
#[derive(Default)]
pub struct InProcessEngine {
    controllers: BTreeMap<usize, AdmissionController>,
    log: ActionLog,
}

impl InProcessEngine {
    fn start(
        &mut self,
        now: Duration,
        gateway: usize,
        json: &Value,
        seed: u64,
    ) -> Result<(), DecisionEngineError> {
        let settings = match wellcrank_settings::decode(json) {
            Ok(settings) => settings,
            Err(source) => return Err(DecisionEngineError::Settings { gateway, source }),
        };
        let port = LoggingPort {
            gateway,
            log: self.log.clone(),
        };
        let controller = AdmissionController::new(Rc::new(settings), seed, now, Box::new(port));
        self.controllers.insert(gateway, controller);
        Ok(())
    }
}

impl DecisionEngine for InProcessEngine {
    fn deliver(
        &mut self,
        now: Duration,
        gateway: usize,
        event: GatewayEvent,
    ) -> Result<(), DecisionEngineError> {
        if let GatewayEvent::Start { settings, seed } = &event {
            return self.start(now, gateway, settings, *seed);
        }
        if let GatewayEvent::Kill = event {
            self.controllers.remove(&gateway);
            return Ok(());
        }
        let Some(controller) = self.controllers.get_mut(&gateway) else {
            return Ok(());
        };
        controller.set_time(now);
        match event {
            GatewayEvent::Start { .. } | GatewayEvent::Kill => (),
            GatewayEvent::EndpointUpdate(update) => {
                let timing = UpdateTiming {
                    unix_now: UnixTime(now),
                    since_last_update: None,
                };
                controller.on_endpoint_update(timing, update);
            }
            GatewayEvent::Request(request) => controller.on_request(request),
            GatewayEvent::AttemptEnd {
                request,
                attempt,
                result,
            } => controller.on_attempt_end(&request, attempt, result),
            GatewayEvent::CounterReply { name, reply } => controller.on_counter_reply(name, reply),
            GatewayEvent::ClientDisconnect(request) => controller.on_client_disconnect(&request),
            GatewayEvent::Timer(token) => controller.on_timer(token),
        }
        Ok(())
    }

    fn take_actions(&mut self) -> Result<Vec<IssuedAction>, DecisionEngineError> {
        Ok(std::mem::take(&mut *self.log.borrow_mut()))
    }
}
