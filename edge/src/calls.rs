//! The open API calls: what a client asked, until when, how often it was sent on, and where the answer goes.

use crate::reactor::Serial;
use crate::resp::{self, Words};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wellcrank::port::*;
use wellcrank::settings::{Idempotency, Settings};

/// A client's command, checked once: its bytes, where its words stand, and what the decisions need of it.
#[derive(Debug)]
pub struct ApiCall {
    bytes: Box<[u8]>,
    words: Words,
    /// The client's own number for it.
    pub number: u64,
    pub customer: CustomerId,
    pub route: RouteName,
    pub plan: PlanName,
    pub wait: Duration,
    pub units: f64,
    pub first: u32,
    pub spread: u32,
}

/// The longest that a client may say it waits: state that nobody ends must end.
const LONGEST: f64 = 600_000.0;

/// The longest list of names and values.
const LIST: usize = 1024;

/// The most units that an API call may take, asked for or settled; a bound also where the settings state none.
pub fn most_units(settings: &Settings) -> f64 {
    Some(settings.counter.max_request_units)
        .filter(|top| *top > 0.0)
        .unwrap_or(1e6)
}

/// A number in 16 hex digits.
fn hex(word: &[u8]) -> Option<u64> {
    let digits = word.len() == 16 && word.iter().all(u8::is_ascii_hexdigit);
    std::str::from_utf8(word)
        .ok()
        .filter(|_| digits)
        .and_then(|text| u64::from_str_radix(text, 16).ok())
}

/// A number in plain decimal digits, from above zero on (or from zero) to the most.
fn within(value: &str, least: f64, most: f64) -> Result<f64, &'static str> {
    let plain = value.len() <= 16
        && value
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number = value
        .parse()
        .ok()
        .filter(|number: &f64| plain && (least..=most).contains(number));
    number.ok_or("a wrong number")
}

impl ApiCall {
    /// Whether a command is that of an API call, whatever else it says.
    pub fn is_named(bytes: &[u8], words: &Words) -> bool {
        let name = words.first().map_or(&[][..], |word| &bytes[word.clone()]);
        [&b"SVC.QUERY"[..], b"SVC.SUBMIT"]
            .iter()
            .any(|known| name.eq_ignore_ascii_case(known))
    }

    /// Checks the words of an API call, the one place where that is done: which route, whose, for how long.
    /// Says what is wrong.
    pub fn new(
        bytes: &[u8],
        words: Words,
        settings: &Settings,
        calls: &Calls,
    ) -> Result<ApiCall, &'static str> {
        let word = |place: usize| {
            words
                .get(place)
                .map_or(&[][..], |word| &bytes[word.clone()])
        };
        let query = word(0).eq_ignore_ascii_case(b"SVC.QUERY");
        if words.len() != if query { 4 } else { 5 } {
            return Err("wrong number of words");
        }
        let customer = hex(word(1))
            .filter(|number| number >> 33 == 0)
            .ok_or("no customer")?;
        let number = hex(word(2)).ok_or("no id")?;
        if calls.has(number) {
            return Err("the id of an open call");
        }
        let list = std::str::from_utf8(word(3)).unwrap_or_default();
        if list.len() > LIST || !list.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err("an unreadable list");
        }
        let gateways = settings.gateway_count();
        let (mut route, mut plan, mut key, mut wait) = ("", "", "", 0.0);
        let (mut units, mut first, mut spread) = (1.0, 0.0, 1.0);
        let mut seen = Vec::with_capacity(8);
        for pair in list.split(',') {
            let (name, value) = pair
                .split_once('=')
                .ok_or("not a list of names and values")?;
            if seen.contains(&name) {
                return Err("a name twice");
            }
            seen.push(name);
            match name {
                "c" => route = value,
                "t" => plan = value,
                "k" => key = value,
                "d" => wait = within(value, 1e-3, LONGEST)?,
                "units" => units = within(value, 1e-3, most_units(settings))?,
                "first" => first = within(value, 0.0, gateways - 1.0)?,
                "spread" => spread = within(value, 1.0, gateways)?,
                _ => (),
            }
        }
        let (route, plan): (RouteName, PlanName) = (route.into(), plan.into());
        match settings.routes.get(&route).map(|route| route.idempotency) {
            None => return Err("no such route"),
            Some(repeat) if query != (repeat == Idempotency::Idempotent) => {
                return Err("not the command for this route");
            }
            Some(Idempotency::Keyed) if key.is_empty() => return Err("no key"),
            _ => (),
        }
        if !settings.plans.contains_key(&plan) {
            return Err("no such plan");
        }
        if wait <= 0.0 {
            return Err("no time to answer");
        }
        if first.fract() + spread.fract() > 0.0 {
            return Err("no set of gateways");
        }
        let customer: CustomerId = format!("{customer:016x}").as_str().into();
        let (wait, first, spread) = (
            Duration::from_secs_f64(wait / 1000.0),
            first as u32,
            spread as u32,
        );
        let bytes = bytes.into();
        Ok(ApiCall {
            bytes,
            words,
            number,
            customer,
            route,
            plan,
            wait,
            units,
            first,
            spread,
        })
    }

    pub fn size(&self) -> usize {
        self.bytes.len()
    }

    /// Writes the command for an app server: as it came, but for how long the gateway will wait.
    pub fn put(&self, out: &mut Vec<u8>, wait: Duration) {
        resp::put_array(out, self.words.len());
        for (place, word) in self.words.iter().enumerate() {
            let word = &self.bytes[word.clone()];
            if place == 0 {
                resp::put_bulk(out, &word.to_ascii_uppercase());
                continue;
            }
            if place != 3 {
                resp::put_bulk(out, word);
                continue;
            }
            let list = std::str::from_utf8(word).unwrap_or_default();
            let start = if list.starts_with("d=") {
                Some(0)
            } else {
                list.find(",d=").map(|comma| comma + 1)
            };
            let start = start.expect("the time to wait was read from it");
            let end = list[start..]
                .find(',')
                .map_or(list.len(), |comma| start + comma);
            let terms = format!(
                "{}d={}{}",
                &list[..start],
                wait.as_millis().max(1),
                &list[end..]
            );
            resp::put_bulk(out, terms.as_bytes());
        }
    }
}

/// Where an answer goes: a connection of a client, and its place in the order there.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    pub key: usize,
    pub connection: Serial,
    pub number: u64,
}

pub struct Open {
    pub api_call: ApiCall,
    pub until: Duration,
    pub tries: u32,
    pub place: Place,
    /// The client has its answer; the decisions are to be told yet.
    pub answered: bool,
    /// The client has gone, or has ended its sending; the decisions are to be told yet.
    pub left: bool,
}

impl Open {
    /// Still owed its one final answer, by a client that has not ended its sending.
    pub fn wanted(&self) -> bool {
        !self.answered && !self.left
    }
}

#[derive(Default)]
pub struct Calls {
    open: BTreeMap<Serial, Open>,
    /// The clients' numbers of the open ones.
    numbers: BTreeSet<u64>,
}

pub fn id(serial: Serial) -> RequestId {
    serial.to_string().as_str().into()
}

fn serial(id: &RequestId) -> Serial {
    id.0.parse().unwrap_or_default()
}

impl Calls {
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether a client's number is that of an open API call.
    pub fn has(&self, number: u64) -> bool {
        self.numbers.contains(&number)
    }

    pub fn open(&mut self, serial: Serial, open: Open) {
        self.numbers.insert(open.api_call.number);
        self.open.insert(serial, open);
    }

    pub fn get(&mut self, call: &RequestId) -> Option<&mut Open> {
        self.open.get_mut(&serial(call))
    }

    /// Not answered yet, whether or not its client has ended its sending.
    pub fn is_owed(&self, call: &RequestId) -> bool {
        self.open
            .get(&serial(call))
            .is_some_and(|open| !open.answered)
    }

    /// Still owed its one final answer, and tries may be begun for it.
    pub fn is_open(&self, call: &RequestId) -> bool {
        self.open.get(&serial(call)).is_some_and(Open::wanted)
    }

    /// Its client has gone: from now on nothing is begun for it. Says which it is, if it was still owed an answer.
    pub fn left(&mut self, serial: Serial) -> Option<RequestId> {
        let open = self.open.get_mut(&serial).filter(|open| open.wanted())?;
        open.left = true;
        Some(id(serial))
    }

    /// All that are still owed theirs.
    pub fn unanswered(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.open
            .iter()
            .filter(|(_, open)| open.wanted())
            .map(|(serial, _)| id(*serial))
    }

    pub fn remove(&mut self, call: &RequestId) -> Option<Open> {
        let open = self.open.remove(&serial(call))?;
        self.numbers.remove(&open.api_call.number);
        Some(open)
    }
}
