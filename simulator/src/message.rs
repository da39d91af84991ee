//! Decodes the lines of a batch: its start and end, starts and stops of instances, and events for instances.

use crate::error::LineError;
use crate::event::UndecodedEvent;
use crate::fields::Fields;
use serde_json::Value;
use std::rc::Rc;
use std::time::Duration;
use wellcrank::settings::Settings;

/// The number that identifies an instance. An instance is one gateway's controller.
pub(crate) type InstanceId = u64;

/// One line of the input.
pub(crate) enum Message<'a> {
    /// A batch starts, and the clock of all instances is set to `now`.
    BatchStart {
        /// The time on the simulator's wall clock.
        now: Duration,
    },
    /// The batch is complete, and the reply must be sent.
    BatchEnd,
    /// An instance starts, for the first time or after a restart.
    StartInstance {
        /// The instance that starts.
        instance: InstanceId,
        /// The settings of its deployment.
        settings: Rc<Settings>,
        /// The seed of its random numbers.
        seed: u64,
    },
    /// An instance was killed and loses all its state.
    StopInstance {
        /// The instance that was killed.
        instance: InstanceId,
    },
    /// An event for an instance. It is decoded only if the instance is running: for an instance that is not running,
    /// even an invalid event has no effect.
    Event {
        /// The instance that the event is for.
        instance: InstanceId,
        /// The event, not yet decoded.
        event: UndecodedEvent<'a>,
    },
    /// A line that names no instance and has no effect.
    Ignored,
}

impl<'a> Message<'a> {
    /// Decodes a line that was parsed as JSON.
    pub(crate) fn decode(line: &'a Value) -> Result<Message<'a>, LineError> {
        let fields = Fields::of_object(line)?;
        match fields.text("event_type")? {
            "frame" => Ok(Message::BatchStart {
                now: fields.duration("wall_ns")?,
            }),
            "eob" => Ok(Message::BatchEnd),
            event_type => decode_instance_message(event_type, fields),
        }
    }
}

fn decode_instance_message<'a>(
    event_type: &'a str,
    fields: Fields<'a>,
) -> Result<Message<'a>, LineError> {
    if fields.optional("i").is_none() {
        return Ok(Message::Ignored);
    }
    let instance = fields.unsigned("i")?;
    match event_type {
        "open_instance" => decode_start(instance, fields),
        "crash_now" => Ok(Message::StopInstance { instance }),
        _ => Ok(Message::Event {
            instance,
            event: UndecodedEvent::new(event_type, fields),
        }),
    }
}

fn decode_start<'a>(instance: InstanceId, fields: Fields) -> Result<Message<'a>, LineError> {
    let config = fields.required("config", "a JSON object", |value| {
        value.is_object().then_some(value)
    })?;
    let settings = wellcrank_settings::decode(config)?;
    Ok(Message::StartInstance {
        instance,
        settings: Rc::new(settings),
        seed: fields.unsigned("salt")?,
    })
}

#[cfg(test)]
mod tests;
