//! Reads the input line by line and replies to each batch as soon as it is complete.

use crate::action::Reply;
use crate::error::{LineError, SimulatorError};
use crate::host::InstanceHost;
use crate::message::Message;
use serde_json::Value;
use std::io::{BufRead, Write};

/// Replies to batches until the input ends. An invalid line ends the loop with an error, without a reply to its batch.
pub(crate) fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), SimulatorError> {
    let reply = Reply::default();
    let mut host = InstanceHost::new(reply.clone());
    for (index, text) in input.lines().enumerate() {
        let line = index + 1;
        let text = text.map_err(SimulatorError::read_line(line))?;
        let progress =
            process_line(&text, &mut host).map_err(SimulatorError::invalid_line(line))?;
        if progress == BatchProgress::Complete {
            reply
                .send(&mut output)
                .map_err(SimulatorError::WriteReply)?;
        }
    }
    Ok(())
}

/// Whether a batch is complete after a line.
#[derive(PartialEq, Eq)]
enum BatchProgress {
    /// More lines follow before the reply.
    Incomplete,
    /// The line ended the batch, so the reply must be sent.
    Complete,
}

fn process_line(text: &str, host: &mut InstanceHost) -> Result<BatchProgress, LineError> {
    let line: Value = serde_json::from_str(text)?;
    match Message::decode(&line)? {
        Message::BatchStart { now } => host.set_time(now),
        Message::BatchEnd => return Ok(BatchProgress::Complete),
        Message::StartInstance {
            instance,
            settings,
            seed,
        } => host.start(instance, settings, seed),
        Message::StopInstance { instance } => host.stop(instance),
        Message::Event { instance, event } => host.deliver(instance, event)?,
        Message::Ignored => (),
    }
    Ok(BatchProgress::Incomplete)
}

#[cfg(test)]
mod tests;
