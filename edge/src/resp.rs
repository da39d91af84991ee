//! RESP2: parses one command of a client or one reply of an endpoint from the front of the bytes that have come, and
//! writes arrays and bulk strings.

use std::io::Write;
use std::ops::Range;
use thiserror::Error;

/// The most bytes that a value holds.
pub(crate) const MAX_VALUE: usize = 64 * 1024;

/// The most words that a command has.
const MAX_WORDS: usize = 16;

/// The most bytes of a line.
const MAX_LINE: usize = 1024;

/// The most bytes that one message can come to: its words, of which one is a body or a value.
pub(crate) const MAX_MESSAGE: usize = MAX_VALUE + MAX_WORDS * MAX_LINE;

/// Why bytes are no message of RESP2, or none that is taken. The texts are those of the error lines that clients get.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Error)]
pub(crate) enum ProtocolError {
    #[error("a line without CRLF")]
    LineWithoutCrlf,
    #[error("too long a line")]
    LineTooLong,
    #[error("not a length")]
    Length,
    #[error("expected '$'")]
    ExpectedBulkString,
    #[error("expected '*'")]
    ExpectedArray,
    #[error("a value without CRLF")]
    ValueWithoutCrlf,
    #[error("a null in a command")]
    NullInCommand,
    #[error("too long a command")]
    CommandTooLong,
    #[error("too slow a command")]
    CommandTooSlow,
    #[error("an error line that is not UTF-8")]
    ErrorNotUtf8,
    #[error("an error line without its word")]
    ErrorWithoutCode,
    #[error("not the parts of an answer")]
    ReplyParts,
    #[error("an answer without a value")]
    ReplyWithoutValue,
    #[error("no answer")]
    NotAReply,
}

/// What was parsed and how many bytes it took, or nothing yet.
type Parsed<T> = Result<Option<(T, usize)>, ProtocolError>;

/// Where the words of a command stand in the bytes.
pub(crate) type Words = Vec<Range<usize>>;

/// An endpoint's reply; texts as they came.
#[derive(Debug, PartialEq)]
pub(crate) enum Reply<'a> {
    /// The request was served.
    Value {
        /// What the client gets.
        value: &'a [u8],
        /// What it took, as a list of names and values.
        usage: &'a str,
        /// The endpoint's load, as a list of names and values.
        load: &'a str,
    },
    /// The endpoint is full and has not looked at the request.
    Busy {
        /// The endpoint's load, as a list of names and values.
        load: &'a str,
    },
    /// Any other error.
    Failed {
        /// The whole line without its mark.
        text: &'a str,
        /// The endpoint's load, as a list of names and values.
        load: &'a str,
    },
}

/// A line without its CRLF, and where the next one begins.
fn parse_line(bytes: &[u8], start: usize) -> Parsed<&[u8]> {
    let rest = &bytes[start.min(bytes.len())..];
    let newline = rest.iter().take(MAX_LINE).position(|byte| *byte == b'\n');
    match newline {
        Some(end) if end > 0 && rest[end - 1] == b'\r' => {
            Ok(Some((&rest[..end - 1], start + end + 1)))
        }
        Some(_) => Err(ProtocolError::LineWithoutCrlf),
        None if rest.len() >= MAX_LINE => Err(ProtocolError::LineTooLong),
        None => Ok(None),
    }
}

/// A length of `most` at the most.
fn parse_length(digits: &[u8], most: usize) -> Result<usize, ProtocolError> {
    std::str::from_utf8(digits)
        .ok()
        .and_then(|text| text.parse().ok())
        .filter(|length| *length <= most)
        .ok_or(ProtocolError::Length)
}

/// Where a bulk string at `start` stands; none where it is null.
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
    let end = value_start + parse_length(digits, MAX_VALUE)?;
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

/// Parses an endpoint's reply: an error line, or an array of a value, its usage and a load report.
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

/// An error line's text: a code in capitals, more words, and perhaps a load report as its last word.
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

/// The parts of an array that begin at `start`.
fn parse_value_reply<'a>(bytes: &'a [u8], digits: &[u8], start: usize) -> Parsed<Reply<'a>> {
    let mut parts = [None, None, None];
    if parse_length(digits, MAX_WORDS)? != parts.len() {
        return Err(ProtocolError::ReplyParts);
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

/// A part as text; empty where it is null or no text.
fn text_or_empty(part: Option<&[u8]>) -> &str {
    std::str::from_utf8(part.unwrap_or_default()).unwrap_or("")
}

/// Writes the header of an array of so many bulk strings.
pub(crate) fn write_array_header(out: &mut Vec<u8>, count: usize) {
    let _ = write!(out, "*{count}\r\n");
}

/// Writes a bulk string.
pub(crate) fn write_bulk(out: &mut Vec<u8>, value: &[u8]) {
    let _ = write!(out, "${}\r\n", value.len());
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// The names and values of a list such as `used=37,cost=4`.
pub(crate) fn parse_pairs(list: &str) -> impl Iterator<Item = (&str, &str)> {
    list.split(',').filter_map(|pair| pair.split_once('='))
}

#[cfg(test)]
mod tests;
