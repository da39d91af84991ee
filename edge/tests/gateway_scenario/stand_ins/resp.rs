//! Reads lines, answers to clients and commands in RESP2 from a buffered connection, and formats commands.

use std::fmt::{self, Display};
use std::io::{BufRead, ErrorKind};

/// What was received on a connection.
#[derive(Debug, PartialEq)]
pub(crate) enum Received {
    /// A line without its line end.
    Line(String),
    /// The value of a bulk string.
    Value(String),
    /// The peer has closed the connection.
    Closed,
    /// The peer has reset the connection.
    Reset,
}

impl Display for Received {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Received::Line(line) => out.pad(line),
            Received::Value(value) => out.pad(&format!("${value}")),
            Received::Closed => out.pad("closed"),
            Received::Reset => out.pad("reset"),
        }
    }
}

/// Reads the next line or the end of the connection. Panics on any other error, such as the read timeout.
fn receive_line(input: &mut impl BufRead) -> Received {
    let mut line = String::new();
    match input.read_line(&mut line) {
        Ok(0) => Received::Closed,
        Ok(_) => Received::Line(line.trim_end().to_string()),
        Err(error) if error.kind() == ErrorKind::ConnectionReset => Received::Reset,
        Err(error) => panic!("expected a line or the end of the connection, found: {error}"),
    }
}

/// Reads the next line, bulk string or end of the connection. Panics on any other error, such as the read timeout.
pub(crate) fn receive(input: &mut impl BufRead) -> Received {
    match receive_line(input) {
        Received::Line(line) => match read_bulk_body(input, &line) {
            Some(value) => Received::Value(value),
            None => Received::Line(line),
        },
        end => end,
    }
}

/// Reads a line. Returns `None` if the connection has ended.
pub(crate) fn read_line(input: &mut impl BufRead) -> Option<String> {
    match receive_line(input) {
        Received::Line(line) => Some(line),
        _ => None,
    }
}

/// Reads a command. Returns `None` if the connection has ended or something else was received.
pub(crate) fn read_command(input: &mut impl BufRead) -> Option<Vec<String>> {
    let head = read_line(input)?;
    let count: usize = head.strip_prefix('*')?.parse().ok()?;
    (0..count).map(|_| read_bulk(input)).collect()
}

fn read_bulk(input: &mut impl BufRead) -> Option<String> {
    let head = read_line(input)?;
    read_bulk_body(input, &head)
}

/// Reads the rest of a bulk string whose first line is `head`. Returns `None` if that is not the first line of a bulk
/// string.
fn read_bulk_body(input: &mut impl BufRead, head: &str) -> Option<String> {
    let length: usize = head.strip_prefix('$')?.parse().ok()?;
    let mut value = vec![0; length + 2];
    input.read_exact(&mut value).ok()?;
    value.truncate(length);
    String::from_utf8(value).ok()
}

/// Returns a command as RESP2.
pub(crate) fn command(words: &[&str]) -> String {
    let mut text = format!("*{}\r\n", words.len());
    for word in words {
        text.push_str(&format!("${}\r\n{word}\r\n", word.len()));
    }
    text
}
