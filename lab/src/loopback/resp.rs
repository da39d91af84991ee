//! RESP2 as the stand-ins speak it, by a library of its own: they must not share the faults of the program's
//! parser.

use redis_protocol::resp2::decode::decode;
use redis_protocol::resp2::encode;
use redis_protocol::resp2::types::{OwnedFrame, Resp2Frame};

/// Frames taken off a buffer.
pub(super) struct TakenFrames {
    /// The whole frames, in their order.
    pub(super) frames: Vec<OwnedFrame>,
    /// What follows them is no RESP2.
    pub(super) is_malformed: bool,
}

/// Takes all whole frames off the front of a buffer.
pub(super) fn take_frames(input: &mut Vec<u8>) -> TakenFrames {
    let mut frames = Vec::new();
    let mut taken = 0;
    let mut is_malformed = false;
    while taken < input.len() {
        match decode(&input[taken..]) {
            Ok(Some((frame, length))) => {
                taken += length;
                frames.push(frame);
            }
            Ok(None) => break,
            Err(_) => {
                is_malformed = true;
                break;
            }
        }
    }
    input.drain(..taken);
    TakenFrames {
        frames,
        is_malformed,
    }
}

/// A frame's bytes.
pub(super) fn encode(frame: &OwnedFrame) -> Vec<u8> {
    let mut bytes = vec![0; frame.encode_len(false)];
    let length = encode::encode(&mut bytes, frame, false).unwrap_or(0);
    bytes.truncate(length);
    bytes
}

/// A bulk string.
pub(super) fn bulk_string(bytes: impl Into<Vec<u8>>) -> OwnedFrame {
    OwnedFrame::BulkString(bytes.into())
}

#[cfg(test)]
mod tests;
