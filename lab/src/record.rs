//! Recorded traffic: what was asked and when, one line a call, compressed. The format is published here.
//!
//! A file is zstd-compressed text (RFC 8878) of JSON lines. The first line is the head,
//! `{"format":"wellcrank-asked","version":1}`; each further line is one API call in the order of its time:
//! `{"at_ms":1520.25,"account":"00000000b4d65521","plan":"desk","route":"preview","units":2}`. `at_ms` counts from
//! the first moment of the recording. A reader refuses other formats and versions, and lines out of order.

use nanorand::{Rng, WyRand};
use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub struct Recorded {
    pub at: Duration,
    pub account: u64,
    pub plan: String,
    pub route: String,
    pub units: f64,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Head {
    format: String,
    version: u32,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    at_ms: f64,
    account: String,
    plan: String,
    route: String,
    units: f64,
}

const FORMAT: &str = "wellcrank-asked";

pub struct Recorder<W: Write> {
    out: zstd::stream::write::Encoder<'static, W>,
}

impl<W: Write> Recorder<W> {
    pub fn new(to: W) -> io::Result<Recorder<W>> {
        let mut out = zstd::stream::write::Encoder::new(to, 3)?;
        let head = Head {
            format: FORMAT.into(),
            version: 1,
        };
        writeln!(out, "{}", serde_json::to_string(&head)?)?;
        Ok(Recorder { out })
    }

    pub fn note(&mut self, it: &Recorded) -> io::Result<()> {
        let line = Line {
            at_ms: (it.at.as_secs_f64() * 1e6).round() / 1e3,
            account: format!("{:016x}", it.account),
            plan: it.plan.clone(),
            route: it.route.clone(),
            units: it.units,
        };
        writeln!(self.out, "{}", serde_json::to_string(&line)?)
    }

    pub fn finish(self) -> io::Result<()> {
        self.out.finish()?.flush()
    }
}

/// Reads a whole file; what is wrong is told with its line.
pub fn read(from: impl Read) -> Result<Vec<Recorded>, String> {
    let text =
        BufReader::new(zstd::stream::read::Decoder::new(from).map_err(|error| error.to_string())?);
    let mut all: Vec<Recorded> = Vec::new();
    for (place, line) in text.lines().enumerate() {
        let wrong = |what: String| format!("line {}: {what}", place + 1);
        let line = line.map_err(|error| wrong(error.to_string()))?;
        if place == 0 {
            let head: Head =
                serde_json::from_str(&line).map_err(|error| wrong(error.to_string()))?;
            if (head.format.as_str(), head.version) != (FORMAT, 1) {
                let found = format!("{} {}", head.format, head.version);
                return Err(wrong(format!("expected {FORMAT} 1, found {found}")));
            }
            continue;
        }
        let line: Line = serde_json::from_str(&line).map_err(|error| wrong(error.to_string()))?;
        let account = u64::from_str_radix(&line.account, 16)
            .ok()
            .filter(|it| it >> 33 == 0);
        let account = account.ok_or_else(|| wrong(format!("no account: '{}'", line.account)))?;
        let fits = |value: f64, most: f64| value.is_finite() && (0.0..=most).contains(&value);
        if !fits(line.at_ms, 86_400e3 * 365.0) || !fits(line.units, 1e6) {
            return Err(wrong(
                "expected a time and units that are not negative".into(),
            ));
        }
        let at = Duration::from_secs_f64(line.at_ms / 1e3);
        if all.last().is_some_and(|last| last.at > at) {
            return Err(wrong("expected lines in the order of their time".into()));
        }
        all.push(Recorded {
            at,
            account,
            plan: line.plan,
            route: line.route,
            units: line.units,
        });
    }
    Ok(all)
}

/// The same traffic times a factor: whole copies come from accounts of their own, a fraction by chance, each a
/// little apart in time, so that quotas stay as full as they were.
pub fn scaled(all: &[Recorded], factor: f64, seed: u64) -> Vec<Recorded> {
    let mut rng = WyRand::new_seed(seed ^ 0x5ca1e);
    let mut out = Vec::with_capacity((all.len() as f64 * factor) as usize + 1);
    let (whole, rest) = (factor.floor() as u64, factor.fract());
    for it in all {
        // A fraction is a share of the accounts, not of each one's API calls.
        let drawn = WyRand::new_seed(it.account ^ seed).generate::<f64>();
        let copies = whole + u64::from(drawn < rest);
        for copy in 0..copies {
            let apart = if copy == 0 {
                0.0
            } else {
                rng.generate::<f64>() * 0.2
            };
            let account = (it.account ^ (copy << 20)) & ((1 << 33) - 1);
            out.push(Recorded {
                at: it.at + Duration::from_secs_f64(apart),
                account,
                ..it.clone()
            });
        }
    }
    out.sort_by_key(|it| it.at);
    out
}

#[cfg(test)]
mod tests;
