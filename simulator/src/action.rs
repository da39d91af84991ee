//! Encodes the controllers' commands as actions of the simulator's protocol and collects the reply to a batch.

use crate::message::InstanceId;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::io::{self, Write};
use std::rc::Rc;
use std::time::Duration;
use wellcrank::port::{AttemptNumber, CounterName, EndpointId, Port, RequestId, TimerToken};

/// The last line of each reply.
const END_OF_REPLY: &str = "{\"event_type\":\"finished\"}\n";

/// What is written for a duration whose nanoseconds don't fit into a `u64`: the largest signed 64-bit integer.
const MAX_NANOSECONDS: u64 = u64::MAX >> 1;

/// The reply to the current batch: the actions of all instances, one JSON object per line, in the order in which they
/// were taken. Clones share the same text.
#[derive(Clone, Default)]
pub(crate) struct Reply(Rc<RefCell<String>>);

impl Reply {
    fn push_line(&self, action: &Value) {
        let mut text = self.0.borrow_mut();
        text.push_str(&action.to_string());
        text.push('\n');
    }

    /// Writes the complete reply and its last line to `output`, and empties the reply.
    pub(crate) fn send(&self, output: &mut impl Write) -> io::Result<()> {
        let mut text = self.0.borrow_mut();
        text.push_str(END_OF_REPLY);
        output.write_all(text.as_bytes())?;
        output.flush()?;
        text.clear();
        Ok(())
    }
}

/// The port of one instance's controller. It appends the controller's actions to the reply.
pub(crate) struct ActionEncoder {
    instance: InstanceId,
    reply: Reply,
}

impl ActionEncoder {
    /// Returns a port whose actions carry the id of `instance`.
    pub(crate) fn new(instance: InstanceId, reply: Reply) -> Self {
        ActionEncoder { instance, reply }
    }

    fn push_action(&mut self, event_type: &str, mut action: Value) {
        action["event_type"] = event_type.into();
        action["i"] = self.instance.into();
        self.reply.push_line(&action);
    }
}

fn nanoseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(MAX_NANOSECONDS)
}

impl Port for ActionEncoder {
    fn send(
        &mut self,
        request: &RequestId,
        endpoint: &EndpointId,
        timeout: Duration,
        _send_by: Duration,
    ) {
        self.push_action(
            "transmit",
            json!({
                "txn": &*request.0,
                "server": &*endpoint.0,
                "timeout_ns": nanoseconds(timeout),
            }),
        );
    }

    fn cancel(&mut self, request: &RequestId, attempt: AttemptNumber) {
        self.push_action(
            "undo_send",
            json!({"txn": &*request.0, "attempt": attempt.0}),
        );
    }

    fn reject(&mut self, request: &RequestId, retry_after: Duration) {
        self.push_action(
            "turn_away",
            json!({"txn": &*request.0, "backoff_ns": nanoseconds(retry_after)}),
        );
    }

    fn fail(&mut self, request: &RequestId) {
        self.push_action("give_up", json!({"txn": &*request.0}));
    }

    fn add_to_counter(&mut self, name: CounterName, amount: f64, ttl: Duration) {
        self.push_action(
            "bump",
            json!({"name": name.0, "step": amount, "expire_in_ns": nanoseconds(ttl)}),
        );
    }

    fn set_timer(&mut self, token: TimerToken, at: Duration) {
        self.push_action(
            "defer",
            json!({"token": token.0, "due_at_ns": nanoseconds(at)}),
        );
    }

    fn probe(&mut self, endpoint: &EndpointId) {
        self.push_action("probe", json!({"server": &*endpoint.0}));
    }

    fn subscribe(&mut self, active: bool) {
        self.push_action("subscribe", json!({"active": active}));
    }

    fn refetch_endpoints(&mut self) {
        self.push_action("refresh", json!({}));
    }

    fn close_idle_connections(&mut self, endpoint: &EndpointId) {
        self.push_action("let_go", json!({"server": &*endpoint.0}));
    }

    fn send_to_peer(&mut self, peer: Option<u32>, body: &[u8]) {
        let recipient = peer.map_or(json!("all"), |gateway| json!(gateway));
        let hex: String = body.iter().map(|byte| format!("{byte:02x}")).collect();
        self.push_action("post", json!({"recipient": recipient, "body": hex}));
    }

    fn log(&mut self, text: &str) {
        self.push_action("say_log", json!({"reason_text": text}));
    }
}

#[cfg(test)]
mod tests;
