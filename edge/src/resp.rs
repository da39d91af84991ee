//! The wire protocol RESP2. Parses one command of a client or one reply of an endpoint from the front of a buffer, and
//! writes arrays and bulk strings.

use crate::client::MAX_IDLE;
use std::io::Write;
use std::ops::Range;
use thiserror::Error;

/// The maximum size of a bulk string, in bytes.
pub(crate) const MAX_VALUE_BYTES: usize = 64 * 1024;

/// The maximum number of words of a command.
const MAX_WORDS: usize = 16;

/// The end of a line and of a bulk string.
const LINE_END: &[u8] = b"\r\n";

/// The maximum length of a line, in bytes, including its CRLF.
const MAX_LINE_BYTES: usize = 1024;

/// The maximum size of one message, in bytes: room for its words, one of which is a body or a value.
pub(crate) const MAX_MESSAGE_BYTES: usize = MAX_VALUE_BYTES + MAX_WORDS * MAX_LINE_BYTES;

/// Why bytes are not a message that is accepted. Clients receive the text of an error in a command as the explanation
/// in an error line. It holds nothing of the client's input.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Error)]
pub(crate) enum ProtocolError {
    /// A line ends with LF without CR.
    #[error("line ends with LF alone: expected CRLF")]
    LineWithoutCrlf,
    /// A line exceeds `MAX_LINE_BYTES`.
    #[error(
        "line too long: expected at most {} bytes including CRLF",
        MAX_LINE_BYTES
    )]
    LineTooLong,
    /// The length of an array or of a bulk string is not a number, or exceeds its maximum.
    #[error(
        "invalid length: expected a whole number, at most {} for an array or {} for a bulk string",
        MAX_WORDS,
        MAX_VALUE_BYTES
    )]
    InvalidLength,
    /// An element of an array is not a bulk string.
    #[error("array element is not a bulk string: expected '$' as its first byte")]
    ExpectedBulkString,
    /// A command is not an array.
    #[error("command is not an array: expected '*' as its first byte")]
    ExpectedArray,
    /// A bulk string is not followed by CRLF.
    #[error(
        "bulk string of another length than stated: expected CRLF after the stated number of bytes"
    )]
    ValueWithoutCrlf,
    /// A word of a command is the null bulk string.
    #[error("null bulk string in a command: expected a length of at least 0")]
    NullInCommand,
    /// A command exceeds `MAX_MESSAGE_BYTES`.
    #[error("command too long: expected at most {} bytes", MAX_MESSAGE_BYTES)]
    CommandTooLong,
    /// The rest of an incomplete command has not arrived within `MAX_IDLE`.
    #[error("incomplete command: expected its remaining bytes within {} s", MAX_IDLE.as_secs())]
    CommandTooSlow,
    /// The rest of an incomplete command has not arrived before the gateway ends.
    #[error(
        "incomplete command: the gateway is shutting down, expected its remaining bytes sooner"
    )]
    CommandBeforeShutdown,
    /// The rest of an incomplete command has not arrived while other clients wait for a connection.
    #[error(
        "incomplete command: its connection is needed for others, expected its remaining bytes sooner"
    )]
    CommandEvicted,
    /// The rest of an incomplete command has not arrived while other large commands wait for memory.
    #[error(
        "incomplete command: its memory is needed for others, expected its remaining bytes sooner"
    )]
    CommandStalled,
    #[error("error line is not valid text: expected UTF-8")]
    ErrorNotUtf8,
    #[error("error line without a code: expected a first word of upper-case ASCII letters")]
    ErrorWithoutCode,
    #[error("wrong number of parts in the reply: expected 3 (value, usage and load)")]
    ReplyPartCount,
    #[error("null value in the reply: expected a bulk string")]
    ReplyWithoutValue,
    #[error("reply is neither an error line nor an array: expected '-' or '*' as its first byte")]
    NotAReply,
}

/// What was parsed and its end in the buffer, or `None` if the message is incomplete.
type Parsed<T> = Result<Option<(T, usize)>, ProtocolError>;

/// The positions of the words of a command in its bytes.
pub(crate) type Words = Vec<Range<usize>>;

/// An endpoint's reply. Its texts are not parsed further.
#[derive(Debug, PartialEq)]
pub(crate) enum Reply<'a> {
    /// The request was served.
    Value {
        /// The value for the client.
        value: &'a [u8],
        /// What the request used, as a list of names and values.
        usage: &'a str,
        /// The endpoint's load, as a list of names and values.
        load: &'a str,
    },
    /// The endpoint is busy and has rejected the request without running it.
    Busy {
        /// The endpoint's load, as a list of names and values.
        load: &'a str,
    },
    /// Any other error.
    Failed {
        /// The error line without its leading `-`.
        text: &'a str,
        /// The endpoint's load, as a list of names and values.
        load: &'a str,
    },
}

/// Parses the line at `start`. Returns it without its CRLF, and the start of the next line.
fn parse_line(bytes: &[u8], start: usize) -> Parsed<&[u8]> {
    let rest = &bytes[start.min(bytes.len())..];
    let newline = rest
        .iter()
        .take(MAX_LINE_BYTES)
        .position(|byte| *byte == b'\n');
    match newline {
        Some(end) if end > 0 && rest[end - 1] == b'\r' => {
            Ok(Some((&rest[..end - 1], start + end + 1)))
        }
        Some(_) => Err(ProtocolError::LineWithoutCrlf),
        None if rest.len() >= MAX_LINE_BYTES => Err(ProtocolError::LineTooLong),
        None => Ok(None),
    }
}

/// Parses a length of at most `max`.
fn parse_length(digits: &[u8], max: usize) -> Result<usize, ProtocolError> {
    std::str::from_utf8(digits)
        .ok()
        .and_then(|text| text.parse().ok())
        .filter(|length| *length <= max)
        .ok_or(ProtocolError::InvalidLength)
}

/// Parses the bulk string at `start`. Returns the position of its value, or `None` for the null bulk string, and the
/// start of what follows.
fn parse_bulk(bytes: &[u8], start: usize) -> Parsed<Option<Range<usize>>> {
    let Some((header, value_start)) = parse_line(bytes, start)? else {
        return Ok(None);
    };
    let Some((b'$', digits)) = header.split_first() else {
        return Err(ProtocolError::ExpectedBulkString);
    };
    if digits == b"-1" {
        return Ok(Some((None, value_start)));
    }
    let end = value_start + parse_length(digits, MAX_VALUE_BYTES)?;
    match bytes.get(end..end + 2) {
        None => Ok(None),
        Some(b"\r\n") => Ok(Some((Some(value_start..end), end + 2))),
        Some(_) => Err(ProtocolError::ValueWithoutCrlf),
    }
}

/// Parses a command: an array of bulk strings.
pub(crate) fn parse_command(bytes: &[u8]) -> Parsed<Words> {
    let Some((header, mut next)) = parse_line(bytes, 0)? else {
        return Ok(None);
    };
    let Some((b'*', digits)) = header.split_first() else {
        return Err(ProtocolError::ExpectedArray);
    };
    let count = parse_length(digits, MAX_WORDS)?;
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        match parse_bulk(bytes, next)? {
            Some((Some(word), end)) => {
                words.push(word);
                next = end;
            }
            Some((None, _)) => return Err(ProtocolError::NullInCommand),
            None => return Ok(None),
        }
    }
    Ok(Some((words, next)))
}

/// The number of bytes that are missing of an incomplete command; `None` as long as the length of its last word is not
/// known.
pub(crate) fn missing_bytes(bytes: &[u8]) -> Option<usize> {
    let (header, mut next) = parse_line(bytes, 0).ok()??;
    let count = parse_length(header.get(1..)?, MAX_WORDS).ok()?;
    for _ in 1..count {
        let (_, end) = parse_bulk(bytes, next).ok()??;
        next = end;
    }
    let (last_header, value_start) = parse_line(bytes, next).ok()??;
    let length = parse_length(last_header.get(1..)?, MAX_VALUE_BYTES).ok()?;
    (value_start + length + LINE_END.len()).checked_sub(bytes.len())
}

/// Parses an endpoint's reply: an error line, or an array of a value, the usage and a load report.
pub(crate) fn parse_reply(bytes: &[u8]) -> Parsed<Reply<'_>> {
    let Some((header, next)) = parse_line(bytes, 0)? else {
        return Ok(None);
    };
    match header.split_first() {
        Some((b'-', text)) => Ok(Some((parse_error_line(text)?, next))),
        Some((b'*', digits)) => parse_value_reply(bytes, digits, next),
        _ => Err(ProtocolError::NotAReply),
    }
}

/// Parses the text of an error line: a code in upper case, further words, and optionally a load report as its last
/// word.
fn parse_error_line(text: &[u8]) -> Result<Reply<'_>, ProtocolError> {
    let text = std::str::from_utf8(text).map_err(|_| ProtocolError::ErrorNotUtf8)?;
    let code = text.split(' ').next().unwrap_or("");
    if code.is_empty() || !code.bytes().all(|byte| byte.is_ascii_uppercase()) {
        return Err(ProtocolError::ErrorWithoutCode);
    }
    let load = text
        .rsplit(' ')
        .next()
        .filter(|word| word.contains('='))
        .unwrap_or("");
    if code == "BUSY" {
        Ok(Reply::Busy { load })
    } else {
        Ok(Reply::Failed { text, load })
    }
}

/// Parses the three parts, beginning at `start`, of a reply with a value. `digits` is the length in the array's header.
fn parse_value_reply<'a>(bytes: &'a [u8], digits: &[u8], start: usize) -> Parsed<Reply<'a>> {
    let mut parts = [None, None, None];
    if parse_length(digits, MAX_WORDS)? != parts.len() {
        return Err(ProtocolError::ReplyPartCount);
    }
    let mut next = start;
    for part in &mut parts {
        let Some((range, end)) = parse_bulk(bytes, next)? else {
            return Ok(None);
        };
        *part = range.map(|range| &bytes[range]);
        next = end;
    }
    let [value, usage, load] = parts;
    let reply = Reply::Value {
        value: value.ok_or(ProtocolError::ReplyWithoutValue)?,
        usage: text_or_empty(usage),
        load: text_or_empty(load),
    };
    Ok(Some((reply, next)))
}

/// A part as text; empty if it is null or not UTF-8.
fn text_or_empty(part: Option<&[u8]>) -> &str {
    std::str::from_utf8(part.unwrap_or_default()).unwrap_or("")
}

/// Writes the header of an array of `count` elements.
pub(crate) fn write_array_header(out: &mut Vec<u8>, count: usize) {
    let _ = write!(out, "*{count}\r\n");
}

/// Writes a bulk string.
pub(crate) fn write_bulk(out: &mut Vec<u8>, value: &[u8]) {
    let _ = write!(out, "${}\r\n", value.len());
    if value.len() > MAX_LINE_BYTES {
        // Growth by doubling could take twice the size of a long value.
        out.reserve_exact(value.len() + LINE_END.len());
    }
    out.extend_from_slice(value);
    out.extend_from_slice(LINE_END);
}

/// The names and values of a list such as `used=37,cost=4`. Items without `=` are skipped.
pub(crate) fn parse_pairs(list: &str) -> impl Iterator<Item = (&str, &str)> {
    list.split(',').filter_map(|pair| pair.split_once('='))
}

#[cfg(test)]
mod tests;
