//! Recorded traffic: what clients requested and when, one line a request, compressed. The format is published
//! here.
//!
//! A file is zstd-compressed text (RFC 8878) of JSON lines. The first line is the header,
//! `{"format":"wellcrank-asked","version":1}`; each further line is one request in the order of time:
//! `{"at_ms":1520.25,"account":"00000000b4d65521","plan":"desk","route":"preview","units":2}`. `at_ms` counts from
//! the first moment of the recording. A reader refuses other formats and versions, and lines out of order.

use nanorand::{Rng, WyRand};
use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::time::Duration;

const FORMAT: &str = "wellcrank-asked";
const VERSION: u32 = 1;

/// Level of the compression: the library's default, at which writing keeps up with any laboratory run.
const COMPRESSION_LEVEL: i32 = 3;

/// Names of accounts have so many bits on the wire.
const ACCOUNT_BITS: u32 = 33;

/// The last time that a line may bear: a year, in milliseconds.
const MAX_TIME_MS: f64 = 86_400e3 * 365.0;

/// The most units that a line may bear.
const MAX_UNITS: f64 = 1e6;

/// Copies of a request come up to so many seconds after it.
const MAX_COPY_DELAY_SECONDS: f64 = 0.2;

/// One request of a recording.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedRequest {
    /// Since the first moment of the recording.
    pub at: Duration,
    /// The name of the account, of 33 bits.
    pub account: u64,
    /// The plan's name.
    pub plan: String,
    /// The route's name.
    pub route: String,
    /// The units that the client stated.
    pub units: f64,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct HeaderLine {
    format: String,
    version: u32,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RequestLine {
    at_ms: f64,
    account: String,
    plan: String,
    route: String,
    units: f64,
}

/// Why a recording can't be read.
#[derive(Debug, thiserror::Error)]
pub enum RecordingError {
    /// The text is not compressed as expected.
    #[error("the compression")]
    Decompress(#[source] io::Error),
    /// A line is not as the format has it.
    #[error("line {line}")]
    Line {
        /// The line's number, counted from 1.
        line: usize,
        /// What is wrong with it.
        #[source]
        source: InvalidLine,
    },
}

/// What is wrong with a line of a recording.
#[derive(Debug, thiserror::Error)]
pub enum InvalidLine {
    /// It can't be read, as in a file that was cut off.
    #[error(transparent)]
    Read(io::Error),
    /// It is no JSON, or has other fields.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The header is that of another format or version.
    #[error("expected {FORMAT} {VERSION}, found {format} {version}")]
    Format {
        /// The format that the header states.
        format: String,
        /// The version that it states.
        version: u32,
    },
    /// The account is no hexadecimal number of 33 bits.
    #[error("no account: '{0}'")]
    Account(String),
    /// The time or the units are negative, too large or no number.
    #[error("expected a time and units that are not negative")]
    Range,
    /// It is earlier than the line before.
    #[error("expected lines in the order of their time")]
    Order,
}

/// Writes a recording.
pub struct Recorder<W: Write> {
    encoder: zstd::stream::write::Encoder<'static, W>,
}

impl<W: Write> Recorder<W> {
    /// Begins a recording with its header.
    pub fn new(writer: W) -> io::Result<Recorder<W>> {
        let mut encoder = zstd::stream::write::Encoder::new(writer, COMPRESSION_LEVEL)?;
        let header = HeaderLine {
            format: FORMAT.into(),
            version: VERSION,
        };
        writeln!(encoder, "{}", serde_json::to_string(&header)?)?;
        Ok(Recorder { encoder })
    }

    /// Appends one request; its time is rounded to the microsecond.
    pub fn append(&mut self, request: &RecordedRequest) -> io::Result<()> {
        let line = RequestLine {
            at_ms: (request.at.as_secs_f64() * 1e6).round() / 1e3,
            account: format!("{:016x}", request.account),
            plan: request.plan.clone(),
            route: request.route.clone(),
            units: request.units,
        };
        writeln!(self.encoder, "{}", serde_json::to_string(&line)?)
    }

    /// Ends the recording; without this it can't be read to its end.
    pub fn finish(self) -> io::Result<()> {
        self.encoder.finish()?.flush()
    }
}

/// Reads a recording.
pub fn read(reader: impl Read) -> Result<Vec<RecordedRequest>, RecordingError> {
    let decoder = zstd::stream::read::Decoder::new(reader).map_err(RecordingError::Decompress)?;
    let mut requests: Vec<RecordedRequest> = Vec::new();
    for (index, text) in BufReader::new(decoder).lines().enumerate() {
        let last_time = requests.last().map(|last| last.at);
        match read_line(index, text, last_time) {
            Ok(request) => requests.extend(request),
            Err(source) => {
                let line = index + 1;
                return Err(RecordingError::Line { line, source });
            }
        }
    }
    Ok(requests)
}

/// Reads the line of an index; none for the header.
fn read_line(
    index: usize,
    text: io::Result<String>,
    last_time: Option<Duration>,
) -> Result<Option<RecordedRequest>, InvalidLine> {
    let text = text.map_err(InvalidLine::Read)?;
    if index == 0 {
        check_header(&text)?;
        return Ok(None);
    }
    let request = parse_request(&text)?;
    if last_time.is_some_and(|last_time| last_time > request.at) {
        return Err(InvalidLine::Order);
    }
    Ok(Some(request))
}

fn check_header(text: &str) -> Result<(), InvalidLine> {
    let HeaderLine { format, version } = serde_json::from_str(text)?;
    if format != FORMAT || version != VERSION {
        return Err(InvalidLine::Format { format, version });
    }
    Ok(())
}

fn parse_request(text: &str) -> Result<RecordedRequest, InvalidLine> {
    let line: RequestLine = serde_json::from_str(text)?;
    let Some(account) = parse_account(&line.account) else {
        return Err(InvalidLine::Account(line.account));
    };
    if !(0.0..=MAX_TIME_MS).contains(&line.at_ms) || !(0.0..=MAX_UNITS).contains(&line.units) {
        return Err(InvalidLine::Range);
    }
    Ok(RecordedRequest {
        at: Duration::from_secs_f64(line.at_ms / 1e3),
        account,
        plan: line.plan,
        route: line.route,
        units: line.units,
    })
}

/// An account's name, a hexadecimal number of 33 bits.
pub(crate) fn parse_account(text: &str) -> Option<u64> {
    let account = u64::from_str_radix(text, 16).ok()?;
    (account >> ACCOUNT_BITS == 0).then_some(account)
}

/// The same traffic times a factor: whole copies come from accounts of their own, a fraction by chance, each a
/// little apart in time, so that quotas stay as full as they were.
pub fn scale(requests: &[RecordedRequest], factor: f64, seed: u64) -> Vec<RecordedRequest> {
    let mut rng = WyRand::new_seed(seed ^ 0x5ca1e);
    let mut scaled = Vec::with_capacity((requests.len() as f64 * factor) as usize + 1);
    for request in requests {
        for copy in 0..copy_count(request.account, factor, seed) {
            let delay = if copy == 0 {
                0.0
            } else {
                rng.generate::<f64>() * MAX_COPY_DELAY_SECONDS
            };
            scaled.push(RecordedRequest {
                at: request.at + Duration::from_secs_f64(delay),
                account: (request.account ^ (copy << 20)) & ((1 << ACCOUNT_BITS) - 1),
                ..request.clone()
            });
        }
    }
    scaled.sort_by_key(|request| request.at);
    scaled
}

/// How often the requests of an account are played. A fraction is a share of the accounts, not of each one's
/// requests.
fn copy_count(account: u64, factor: f64, seed: u64) -> u64 {
    let drawn = WyRand::new_seed(account ^ seed).generate::<f64>();
    factor.floor() as u64 + u64::from(drawn < factor.fract())
}

#[cfg(test)]
mod tests;
