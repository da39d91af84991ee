//! When to ask for the server list again after a call for it failed, told apart by what failed.
//!
//! *Nothing was heard* (silence, a refused, reset or never opened connection): asking again soon adds no load to a
//! service that hears nobody, and what it has at its return counts as told at once, so the first answer must be in
//! well within the grace for drains. *It said no* (an answer that is no list): a service that a fleet shares is
//! crowded, and asking again soon keeps it so.

use crate::backoff::Backoff;
use crate::spread;
use std::time::Duration;

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No whole answer came.
    Unheard,
    /// An answer came that is no list.
    Refused,
}

/// After a call that failed, was refused or given up, a change counts as told so long after the service had it and could
/// be reached. Whatever the settings say, what a call may take, what it waits before the next and the next one's answer
/// fit into it.
pub const TOLD: Duration = Duration::from_secs(6);

/// The least that anything is waited for.
const LEAST: Duration = Duration::from_millis(100);

/// What the waits follow from.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// How long a connection may take to come up.
    pub connect: Duration,
    /// How long after a drain was told sends to the server may go on.
    pub grace: Duration,
    /// The list is to be asked for at least so often.
    pub within: Duration,
    /// How many gateways ask, where they ask one service that they share; none where each asks an agent of its own.
    pub sharing: Option<f64>,
}

/// The failures in a row, and the waits that follow from them.
#[derive(Clone, Copy, Debug)]
pub struct Recall {
    terms: Terms,
    unheard: u32,
    refused: u32,
}

impl Recall {
    pub fn new(terms: Terms) -> Recall {
        Recall {
            terms,
            unheard: 0,
            refused: 0,
        }
    }

    /// Other terms from now on; what has failed since the last list stays counted.
    pub fn change(&mut self, terms: Terms) {
        self.terms = terms;
    }

    /// Failures since the last list.
    pub fn failures(&self) -> u32 {
        self.unheard.saturating_add(self.refused)
    }

    /// Since the last list, nothing was heard at least once.
    pub fn silent(&self) -> bool {
        self.unheard > 0
    }

    /// Since the last list, an answer that is none came at least once.
    pub fn refused(&self) -> bool {
        self.refused > 0
    }

    /// A list has come.
    pub fn answered(&mut self) {
        (self.unheard, self.refused) = (0, 0);
    }

    /// How long a watch may wait for news: half the time within which the list is to be asked for, and half of that
    /// after which what a watch misses that fell silent at once counts as told.
    pub fn watch(&self) -> Duration {
        let half = Some(self.terms.within / 2).filter(|half| *half >= LEAST);
        half.unwrap_or(TOLD / 2).min(TOLD / 2)
    }

    /// The least time between the beginnings of two calls: a quarter of the grace, so that the return of the service,
    /// one such time, a connection and the answer all fit in it.
    pub fn pace(&self) -> Duration {
        (self.terms.grace / 4)
            .min(self.terms.connect)
            .clamp(Duration::from_millis(10), TOLD / 48)
    }

    /// How long a connection may take to come up: what asks for it may be lost while the service is away, and the
    /// system asks again only after a second. No longer than half of the grace, unless that is less than a connection
    /// may need.
    pub fn coming_up(&self) -> Duration {
        let fits = (self.terms.grace / 2).max(self.terms.connect / 2);
        self.terms.connect.min(fits).clamp(LEAST, TOLD / 12)
    }

    /// How long an answer may take beyond the wait that was asked for: twice as long after each failure, since the
    /// service may be slow, up to four times as long (a whole list: sixteen times). A crowded service that gateways
    /// share is left the time that it takes to turn a call away: one given up before that has cost it as much.
    pub fn answer_time(&self, whole: bool) -> Duration {
        let (longest, most) = if whole {
            (16, TOLD / 3)
        } else {
            (4, TOLD / 12)
        };
        let slow = self.terms.connect.min(TOLD) * (1u32 << self.failures().min(8)).min(longest);
        let least = if whole && self.terms.sharing.is_some() {
            most
        } else {
            LEAST
        };
        slow.clamp(least, most)
    }

    /// Whether a new connection's first call should ask for an answer at once, and only the next one wait: an agent of
    /// the gateway's own answers at no cost, and of a watch on it that is silent from the start nothing is known for as
    /// long as it waits. A shared service is spared the call.
    pub fn asks_at_once(&self) -> bool {
        self.terms.sharing.is_none()
    }

    /// How long a gateway that knows a list waits before its first call, by its number: where hundreds start together
    /// and call a service that they share at one moment, most are turned away, and keep it crowded.
    pub fn first(&self, gateway: u32) -> Duration {
        let span = self
            .terms
            .sharing
            .map_or(Duration::ZERO, |gateways| self.backoff(gateways).first);
        span.mul_f64(spread::place(gateway))
    }

    /// After a refusal: the wait for the next call, and the time in which a crowded service answers or turns away, a
    /// third of it, fit into the time after which what it has counts as told.
    fn backoff(&self, gateways: f64) -> Backoff {
        Backoff::shared(self.terms.connect.max(LEAST), gateways, TOLD * 2 / 3)
    }

    /// A call that began `ago` failed; says how long to wait before the next, for a draw in [0, 1).
    pub fn failed(&mut self, how: Failure, ago: Duration, draw: f64) -> Duration {
        match (how, self.terms.sharing) {
            (Failure::Refused, Some(gateways)) => {
                self.refused = self.refused.saturating_add(1);
                self.backoff(gateways).wait(self.refused, draw)
            }
            (Failure::Refused, None) => {
                self.refused = self.refused.saturating_add(1);
                self.soon(ago, draw)
            }
            (Failure::Unheard, _) => {
                self.unheard = self.unheard.saturating_add(1);
                self.soon(ago, draw)
            }
        }
    }

    /// At the pace, counted from the call that failed: at once after one that was waited for. The draw parts gateways
    /// that failed together.
    fn soon(&self, ago: Duration, draw: f64) -> Duration {
        self.pace()
            .mul_f64(0.5 + draw.clamp(0.0, 1.0) / 2.0)
            .saturating_sub(ago)
    }
}

#[cfg(test)]
mod tests;
