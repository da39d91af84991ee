//! RESP2: takes one command or one answer from the front of the bytes that have come, and writes answers.

use std::io::Write;
use std::ops::Range;

/// The most that a value holds, and the most words and digits that a command may have.
pub const VALUE: usize = 64 * 1024;
const WORDS: usize = 16;
const LINE: usize = 1024;
/// The most that one message can come to: its words, of which one is a body or a value.
pub const WHOLE: usize = VALUE + WORDS * LINE;

/// Bytes that are no RESP2; says why.
pub type Malformed = &'static str;
/// What was read and the bytes it took, or nothing yet.
type Read<T> = Result<Option<(T, usize)>, Malformed>;

/// Where the words of a command stand in the bytes.
pub type Words = Vec<Range<usize>>;

/// An app server's answer; texts as they came.
#[derive(Debug, PartialEq)]
pub enum Reply<'a> {
    Value {
        value: &'a [u8],
        figures: &'a str,
        load: &'a str,
    },
    Busy {
        load: &'a str,
    },
    Failed {
        text: &'a str,
        load: &'a str,
    },
}

/// A line without its CRLF, and where the next one begins.
fn line(bytes: &[u8], from: usize) -> Read<&[u8]> {
    let rest = &bytes[from.min(bytes.len())..];
    match rest.iter().take(LINE).position(|byte| *byte == b'\n') {
        Some(end) if end > 0 && rest[end - 1] == b'\r' => {
            Ok(Some((&rest[..end - 1], from + end + 1)))
        }
        Some(_) => Err("a line without CRLF"),
        None if rest.len() >= LINE => Err("too long a line"),
        None => Ok(None),
    }
}

fn whole(digits: &[u8], most: usize) -> Result<usize, Malformed> {
    let number = std::str::from_utf8(digits)
        .ok()
        .and_then(|text| text.parse().ok());
    number
        .filter(|number| *number <= most)
        .ok_or("not a length")
}

/// A bulk string at `from`; none where it is null.
fn bulk(bytes: &[u8], from: usize) -> Read<Option<Range<usize>>> {
    let Some((head, start)) = line(bytes, from)? else {
        return Ok(None);
    };
    let Some((b'$', digits)) = head.split_first() else {
        return Err("expected '$'");
    };
    if digits == b"-1" {
        return Ok(Some((None, start)));
    }
    let end = start + whole(digits, VALUE)?;
    match bytes.get(end..end + 2) {
        None => Ok(None),
        Some(b"\r\n") => Ok(Some((Some(start..end), end + 2))),
        Some(_) => Err("a value without CRLF"),
    }
}

/// Takes a command: an array of bulk strings.
pub fn command(bytes: &[u8]) -> Read<Words> {
    let Some((head, mut next)) = line(bytes, 0)? else {
        return Ok(None);
    };
    let Some((b'*', digits)) = head.split_first() else {
        return Err("expected '*'");
    };
    let count = whole(digits, WORDS)?;
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        match bulk(bytes, next)? {
            Some((Some(word), end)) => {
                words.push(word);
                next = end;
            }
            Some((None, _)) => return Err("a null in a command"),
            None => return Ok(None),
        }
    }
    Ok(Some((words, next)))
}

/// Takes an app server's answer.
pub fn reply<'a>(bytes: &'a [u8]) -> Read<Reply<'a>> {
    let Some((head, mut next)) = line(bytes, 0)? else {
        return Ok(None);
    };
    match head.split_first() {
        Some((b'-', text)) => {
            let text = std::str::from_utf8(text).map_err(|_| "an error line that is not UTF-8")?;
            let code = text.split(' ').next().unwrap_or("");
            if code.is_empty() || !code.bytes().all(|byte| byte.is_ascii_uppercase()) {
                return Err("an error line without its word");
            }
            let load = text
                .rsplit(' ')
                .next()
                .filter(|word| word.contains('='))
                .unwrap_or("");
            Ok(Some((
                if code == "BUSY" {
                    Reply::Busy { load }
                } else {
                    Reply::Failed { text, load }
                },
                next,
            )))
        }
        Some((b'*', digits)) => {
            let mut parts = [None, None, None];
            if whole(digits, WORDS)? != parts.len() {
                return Err("not the parts of an answer");
            }
            for part in &mut parts {
                let Some((kept, end)) = bulk(bytes, next)? else {
                    return Ok(None);
                };
                (*part, next) = (kept, end);
            }
            let [value, figures, load] = parts.map(|part| part.map(|part| &bytes[part]));
            let Some(value) = value else {
                return Err("an answer without a value");
            };
            let text = |part: Option<&'a [u8]>| {
                std::str::from_utf8(part.unwrap_or_default()).unwrap_or("")
            };
            Ok(Some((
                Reply::Value {
                    value,
                    figures: text(figures),
                    load: text(load),
                },
                next,
            )))
        }
        _ => Err("no answer"),
    }
}

/// Writes an array's head or a bulk string.
pub fn put_array(out: &mut Vec<u8>, count: usize) {
    let _ = write!(out, "*{count}\r\n");
}

pub fn put_bulk(out: &mut Vec<u8>, value: &[u8]) {
    let _ = write!(out, "${}\r\n", value.len());
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// The names and values of a list such as `used=37,cost=4`.
pub fn pairs(list: &str) -> impl Iterator<Item = (&str, &str)> {
    list.split(',').filter_map(|pair| pair.split_once('='))
}

#[cfg(test)]
mod tests;
