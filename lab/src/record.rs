//! Recordings of traffic: which requests clients sent and when. This is the specification of the file format.
//!
//! A file is JSON Lines, compressed with zstd (RFC 8878). The first line is the header,
//! `{"format":"wellcrank-asked","version":1}`; each further line is one request, ordered by time:
//! `{"at_ms":1520.25,"account":"00000000b4d65521","plan":"desk","route":"preview","units":2}`. `at_ms` is in
//! milliseconds since the start of the recording, `account` a hexadecimal number of up to 33 bits. A reader refuses
//! other formats and versions, and lines out of order.

use nanorand::{Rng, WyRand};
use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::time::Duration;

const FORMAT: &str = "wellcrank-asked";
const VERSION: u32 = 1;

/// The zstd library's default, at which writing keeps up with any laboratory run.
const COMPRESSION_LEVEL: i32 = 3;

/// Size of an account's name on the wire.
const ACCOUNT_BITS: u32 = 33;

/// Largest time of a line: one year.
const MAX_TIME_MS: f64 = 86_400e3 * 365.0;

/// Largest number of units of a line.
const MAX_UNITS: f64 = 1e6;

/// Largest delay of a copy of a request after the original.
const MAX_COPY_DELAY_SECONDS: f64 = 0.2;

/// Keeps the random numbers of [`scale`] apart from others that are drawn with the same seed.
const SCALE_SEED_SALT: u64 = 0x5ca1e;

/// One request of a recording.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedRequest {
    /// Time since the start of the recording.
    pub at: Duration,
    /// The account's name, a number of up to 33 bits.
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
    /// The zstd decoder can't be created.
    #[error("cannot start the zstd decoder")]
    Decompress(#[source] io::Error),
    /// A line is invalid.
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
    /// The line can't be read, for example because the file is truncated or not compressed with zstd.
    #[error(transparent)]
    Read(io::Error),
    /// The line is not valid JSON, or its fields differ from the format's.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The header states another format or version.
    #[error("expected format {FORMAT} version {VERSION}, found format {format} version {version}")]
    Format {
        /// The format that the header states.
        format: String,
        /// The version that it states.
        version: u32,
    },
    /// The account's name is not a hexadecimal number, or has too many bits.
    #[error("expected an account of up to {ACCOUNT_BITS} bits in hexadecimal, found '{0}'")]
    Account(String),
    /// The time or the units are negative or too large.
    #[error(
        "expected at_ms from 0 to {MAX_TIME_MS} and units from 0 to {MAX_UNITS}, \
         found at_ms {at_ms} and units {units}"
    )]
    Range {
        /// The time of the line, in milliseconds.
        at_ms: f64,
        /// The units of the line.
        units: f64,
    },
    /// The request is earlier than that of the line before.
    #[error("expected lines in the order of time, found {at:?} after {previous:?}")]
    Order {
        /// The time of the request.
        at: Duration,
        /// The time of the request before.
        previous: Duration,
    },
}

/// Writes a recording.
pub struct Recorder<W: Write> {
    encoder: zstd::stream::write::Encoder<'static, W>,
}

impl<W: Write> Recorder<W> {
    /// Starts a recording by writing its header.
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

    /// Finishes the compressed stream; a recording without this is truncated.
    pub fn finish(self) -> io::Result<()> {
        self.encoder.finish()?.flush()
    }
}

/// Reads all requests of a recording.
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

/// Parses the line at an index, counted from 0; none for the header. `last_time` is the time of the request before.
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
    if let Some(previous) = last_time.filter(|last_time| *last_time > request.at) {
        let at = request.at;
        return Err(InvalidLine::Order { at, previous });
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
        let RequestLine { at_ms, units, .. } = line;
        return Err(InvalidLine::Range { at_ms, units });
    }
    Ok(RecordedRequest {
        at: Duration::from_secs_f64(line.at_ms / 1e3),
        account,
        plan: line.plan,
        route: line.route,
        units: line.units,
    })
}

/// Parses an account's name, a hexadecimal number of up to 33 bits.
pub(crate) fn parse_account(text: &str) -> Option<u64> {
    let account = u64::from_str_radix(text, 16).ok()?;
    (account >> ACCOUNT_BITS == 0).then_some(account)
}

/// Multiplies traffic by a factor. Each copy of a request comes from an account of its own and a little later than the
/// original, so that the factor does not change how far accounts use their quotas. The fraction of the factor applies
/// to accounts drawn at random with `seed`.
pub fn scale(requests: &[RecordedRequest], factor: f64, seed: u64) -> Vec<RecordedRequest> {
    let mut rng = WyRand::new_seed(seed ^ SCALE_SEED_SALT);
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

/// Number of copies of each request of an account, the original included. The fraction of the factor is the share of
/// accounts with one copy more, not a share of each account's requests.
fn copy_count(account: u64, factor: f64, seed: u64) -> u64 {
    let drawn = WyRand::new_seed(account ^ seed).generate::<f64>();
    factor.floor() as u64 + u64::from(drawn < factor.fract())
}

#[cfg(test)]
mod tests;
