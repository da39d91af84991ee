//! The open API calls: what a client asked, until when, how often it was sent on, and where the answer goes.

use crate::resp::{self, Words};
use crate::turn::Serial;
use std::collections::BTreeMap;
use std::time::Duration;
use wellcrank::port::*;

/// A client's command, checked once: its bytes, where its words stand, and what the decisions need of it.
#[derive(Debug)]
pub struct Asked {
    bytes: Box<[u8]>,
    words: Words,
    pub customer: CustomerId,
    pub route: RouteName,
    pub plan: PlanName,
    pub wait: Duration,
    pub units: f64,
    pub first: u32,
    pub spread: u32,
}

impl Asked {
    /// Checks the words of an API call: which route, whose, for how long. Says what is wrong.
    pub fn new(bytes: &[u8], words: Words, facts: &Facts) -> Result<Asked, &'static str> {
        let word = |place: usize| words.get(place).map_or(&[][..], |word| &bytes[word.clone()]);
        let wanted = if word(0).eq_ignore_ascii_case(b"SVC.QUERY") { 4 } else { 5 };
        if words.len() != wanted {
            return Err("wrong number of words");
        }
        let text = |place| std::str::from_utf8(word(place)).map_err(|_| "not UTF-8");
        let customer = text(1)?;
        if customer.len() != 16 || !customer.bytes().all(|digit| digit.is_ascii_hexdigit()) {
            return Err("no customer");
        }
        if word(2).is_empty() {
            return Err("no id");
        }
        let (mut route, mut plan, mut wait) = ("", "", 0.0);
        let (mut units, mut first, mut spread) = (1.0, 0.0, 1.0);
        for (name, value) in resp::pairs(text(3)?) {
            let number = || {
                let number = value.parse().ok().filter(|number: &f64| (0.0..1e9).contains(number));
                number.ok_or("a wrong number")
            };
            match name {
                "c" => route = value,
                "t" => plan = value,
                "d" => wait = number()?,
                "units" => units = number()?,
                "first" => first = number()?,
                "spread" => spread = number()?,
                _ => (),
            }
        }
        let (route, plan): (RouteName, PlanName) = (route.into(), plan.into());
        if facts.said(&route, "repeat").is_empty() {
            return Err("no such route");
        }
        if !facts.has_plan(&plan) {
            return Err("no such plan");
        }
        if wait <= 0.0 {
            return Err("no time to answer");
        }
        let wait = Duration::from_secs_f64(wait / 1000.0);
        Ok(Asked {
            customer: customer.into(),
            route,
            plan,
            wait,
            units,
            first: first as u32,
            spread: spread as u32,
            bytes: bytes.into(),
            words,
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
            if place != 3 {
                resp::put_bulk(out, word);
                continue;
            }
            let list = std::str::from_utf8(word).unwrap_or_default();
            let start =
                if list.starts_with("d=") { Some(0) } else { list.find(",d=").map(|comma| comma + 1) };
            let start = start.expect("the time to wait was read from it");
            let end = list[start..].find(',').map_or(list.len(), |comma| start + comma);
            let terms = format!("{}d={}{}", &list[..start], wait.as_millis().max(1), &list[end..]);
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
    pub asked: Asked,
    pub until: Duration,
    pub tries: u32,
    pub place: Place,
    /// The client has its answer; the decisions are to be told yet.
    pub answered: bool,
}

#[derive(Default)]
pub struct Calls(BTreeMap<Serial, Open>);

pub fn id(serial: Serial) -> CallId {
    serial.to_string().as_str().into()
}

fn serial(id: &CallId) -> Serial {
    id.0.parse().unwrap_or_default()
}

impl Calls {
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn open(&mut self, serial: Serial, open: Open) {
        self.0.insert(serial, open);
    }

    pub fn get(&mut self, call: &CallId) -> Option<&mut Open> {
        self.0.get_mut(&serial(call))
    }

    /// Still owed its one final answer.
    pub fn is_open(&self, call: &CallId) -> bool {
        self.0.get(&serial(call)).is_some_and(|open| !open.answered)
    }

    pub fn remove(&mut self, call: &CallId) -> Option<Open> {
        self.0.remove(&serial(call))
    }
}
