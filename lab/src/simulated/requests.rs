//! The client requests of a simulated run: their arrival at a gateway, and the final answers on their way back.

use super::defect::InjectedDefect;
use super::event::Event;
use super::gateway::OpenRequest;
use super::run::{SimulatedRun, CLOCK_ORIGIN};
use crate::decision_engine::GatewayEvent;
use crate::error::LabError;
use crate::events::{ClientOutcome, ClientRequestId};
use std::time::Duration;
use wellcrank::port::{Request, RequestId};

/// The units that the controller receives for each request under [`InjectedDefect::UndercountsUnits`].
const UNDERCOUNTED_UNITS: f64 = 0.001;

/// The id of a client's request at the controllers.
pub(super) fn request_id(request: ClientRequestId) -> RequestId {
    request.0.to_string().as_str().into()
}

/// The client's request with this id at the controllers. Returns `None` if the id is not a request number.
pub(super) fn client_request(request: &RequestId) -> Option<ClientRequestId> {
    request.0.parse().ok().map(ClientRequestId)
}

impl SimulatedRun<'_> {
    pub(super) fn on_request_arrival(
        &mut self,
        gateway: usize,
        request: ClientRequestId,
    ) -> Result<(), LabError> {
        if !self.gateways[gateway].is_running {
            self.world.on_request_not_accepted(self.now, request);
            return Ok(());
        }
        self.world.on_request_accepted(self.now, request);
        // The client sends a timeout, which the gateway counts from the arrival of the request.
        let asked = self.world.request(request);
        let deadline = self.now + asked.deadline.saturating_sub(asked.scheduled_at);
        let incoming = self.incoming_request(request, deadline);
        self.gateways[gateway]
            .requests
            .insert(request, OpenRequest::new(deadline));
        self.deliver(gateway, GatewayEvent::Request(incoming))
    }

    /// A client's request in the form that is delivered to its gateway's controller.
    fn incoming_request(&self, request: ClientRequestId, deadline: Duration) -> Request {
        let asked = self.world.request(request);
        let operation = self.world.operation(asked.operation);
        let account = self.world.account(operation.account);
        let experiment = &self.world.experiment;
        let units = if self.defect == Some(InjectedDefect::UndercountsUnits) {
            UNDERCOUNTED_UNITS
        } else {
            operation.units
        };
        Request {
            id: request_id(request),
            customer: format!("{:016x}", account.name).as_str().into(),
            plan: experiment.plans[account.plan].name.as_str().into(),
            route: experiment.routes[operation.route].name.as_str().into(),
            units,
            deadline: CLOCK_ORIGIN + deadline,
            first_gateway: account.first_gateway as u32,
            gateway_count: account.gateway_count as u32,
        }
    }

    pub(super) fn on_client_disconnect(
        &mut self,
        gateway: usize,
        request: ClientRequestId,
    ) -> Result<(), LabError> {
        if self.gateways[gateway].requests.remove(&request).is_none() {
            return Ok(());
        }
        let id = request_id(request);
        self.deliver(gateway, GatewayEvent::ClientDisconnect(id))
    }

    /// Sends the final answer to a request to its client. A second answer to the same request is dropped.
    pub(super) fn answer_request(
        &mut self,
        gateway: usize,
        request: &RequestId,
        outcome: ClientOutcome,
        retry_after: Option<Duration>,
    ) {
        let Some(request) = client_request(request) else {
            return;
        };
        if !self.gateways[gateway].mark_answered(request) {
            return;
        }
        self.final_answer_count += 1;
        if self.loses_answer() {
            return;
        }
        let answer = Event::FinalAnswer {
            request,
            outcome,
            retry_after,
        };
        self.schedule(self.now + self.world.in_zone_delay(), answer);
    }

    /// Whether the injected defect drops the most recently counted final answer.
    fn loses_answer(&self) -> bool {
        match self.defect {
            Some(InjectedDefect::LosesAnswers(interval)) => {
                self.final_answer_count.is_multiple_of(interval)
            }
            _ => false,
        }
    }
}
