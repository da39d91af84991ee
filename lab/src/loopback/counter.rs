//! The counter on loopback: lines of text, calls answered in their order on each connection.

use super::wire::{Turns, Wire};
use super::{Place, Stage};
use crate::events::CounterCallId;
use crate::world::counter::CounterResponse;
use std::time::Duration;

pub struct Line {
    pub wire: Wire,
    gateway: usize,
    pub door: usize,
    /// None: a ping.
    pub turns: Turns<Option<CounterCallId>>,
}

impl Line {
    pub fn new(wire: Wire, gateway: usize, door: usize) -> Line {
        Line {
            wire,
            gateway,
            door,
            turns: Turns::default(),
        }
    }
}

/// What a line asks.
#[derive(Debug, PartialEq)]
enum Asked {
    Ping,
    Add { name: u64, add: f64, keep: Duration },
    Nothing,
}

fn read(line: &str) -> Asked {
    let words: Vec<&str> = line.split_ascii_whitespace().collect();
    match words[..] {
        ["ping"] => Asked::Ping,
        ["incr", name, add, keep] => {
            match (name.parse(), add.parse::<f64>(), keep.parse::<u64>()) {
                (Ok(name), Ok(add), Ok(keep)) if add.abs() <= 1e9 && keep > 0 => Asked::Add {
                    name,
                    add,
                    keep: Duration::from_millis(keep),
                },
                _ => Asked::Nothing,
            }
        }
        _ => Asked::Nothing,
    }
}

impl Stage {
    pub(super) fn counter_ready(&mut self, key: usize) -> Result<(), String> {
        let Some(Place::Counter(line)) = self.places.get_mut(key) else {
            return Ok(());
        };
        let (open, gateway) = (line.wire.read(), line.gateway);
        let end = line
            .wire
            .input
            .iter()
            .rposition(|byte| *byte == b'\n')
            .map_or(0, |end| end + 1);
        let whole: Vec<u8> = line.wire.input.drain(..end).collect();
        let mut actions = Vec::new();
        for text in String::from_utf8_lossy(&whole).lines() {
            match read(text) {
                Asked::Ping => {
                    self.line_asked(key, None);
                    self.line_says(key, None, b"pong\r\n".to_vec());
                }
                Asked::Add { name, add, keep } => {
                    let id = self.world.on_counter_call(
                        self.now,
                        gateway,
                        name,
                        add,
                        keep,
                        &mut actions,
                    );
                    self.line_asked(key, Some(id));
                    self.counting.insert(id, key);
                }
                Asked::Nothing => {
                    self.line_asked(key, None);
                    self.line_says(key, None, b"error\r\n".to_vec());
                }
            }
        }
        self.carry(actions)?;
        if !open {
            return self.close(key);
        }
        Ok(())
    }

    fn line_asked(&mut self, key: usize, id: Option<CounterCallId>) {
        if let Some(Place::Counter(line)) = self.places.get_mut(key) {
            line.turns.asked(id);
        }
    }

    fn line_says(&mut self, key: usize, id: Option<CounterCallId>, said: Vec<u8>) {
        if let Some(Place::Counter(line)) = self.places.get_mut(key) {
            let out = line.turns.answered(id, said);
            line.wire.put(&out);
            self.written.push(key);
        }
    }

    pub(super) fn counted(
        &mut self,
        id: CounterCallId,
        says: CounterResponse,
    ) -> Result<(), String> {
        let Some(key) = self.counting.remove(&id) else {
            return Ok(());
        };
        match says {
            CounterResponse::Total(total) => {
                self.line_says(key, Some(id), format!("ok {total}\r\n").into_bytes())
            }
            CounterResponse::Busy => self.line_says(key, Some(id), b"busy\r\n".to_vec()),
            CounterResponse::Reset => return self.close(key),
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
