//! RESP2 for the emulated services. They use an independent library, so that they don't share the defects of the
//! gateway's own parser.

use redis_protocol::resp2::decode::decode;
use redis_protocol::resp2::encode;
use redis_protocol::resp2::types::{OwnedFrame, Resp2Frame};

/// The frames that were taken from a buffer.
pub(super) struct TakenFrames {
    /// The complete frames, in order.
    pub(super) frames: Vec<OwnedFrame>,
    /// Whether the bytes after these frames are not RESP2.
    pub(super) is_malformed: bool,
}

/// Removes all complete frames from the front of a buffer.
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

/// Encodes a frame.
pub(super) fn encode(frame: &OwnedFrame) -> Vec<u8> {
    let mut bytes = vec![0; frame.encode_len(false)];
    let length = encode::encode(&mut bytes, frame, false).unwrap_or(0);
    bytes.truncate(length);
    bytes
}

/// Makes a bulk string frame.
pub(super) fn bulk_string(bytes: impl Into<Vec<u8>>) -> OwnedFrame {
    OwnedFrame::BulkString(bytes.into())
}

#[cfg(test)]
mod tests;
