//! When to ask for the server list again after a call for it failed, told apart by what failed.
//!
//! *Nothing was heard* (silence, a refused, reset or never opened connection): asking again soon adds no load to a
//! service that hears nobody, and what it has at its return counts as told at once, so the first answer must be in
//! well within the grace for drains. *It said no* (an answer that is no list): a service that a fleet shares is
//! crowded, and asking again soon keeps it so.

use crate::backoff::Backoff;
use std::time::Duration;

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No whole answer came.
    Unheard,
    /// An answer came that is no list.
    Refused,
}

/// How late the answer to a watch may be after its wait, in connection time-outs; a whole list may take four times that.
const LATEST: u32 = 4;

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
        Recall { terms, unheard: 0, refused: 0 }
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

    /// How long a watch may wait for news: half the time within which the list is to be asked for.
    pub fn watch(&self) -> Duration {
        self.terms.within / 2
    }

    /// The least time between the beginnings of two calls: a quarter of the grace, so that the return of the service,
    /// one such time, a connection and the answer all fit in it.
    pub fn pace(&self) -> Duration {
        (self.terms.grace / 4).min(self.terms.connect).max(Duration::from_millis(10))
    }

    /// How long a connection may take to come up: what asks for it may be lost while the service is away, and the
    /// system asks again only after a second. No longer than half of the grace, unless that is less than a connection
    /// may need.
    pub fn coming_up(&self) -> Duration {
        self.terms.connect.min((self.terms.grace / 2).max(self.terms.connect / 2))
    }

    /// How long an answer may take beyond the wait that was asked for: twice as long after each failure, since the
    /// service may be slow, but within the time after which what a watch misses counts as told.
    pub fn answer_time(&self, whole: bool) -> Duration {
        let longest = if whole { LATEST * 4 } else { LATEST };
        self.terms.connect * (1u32 << self.failures().min(8)).min(longest)
    }

    /// A call that began `ago` failed; says how long to wait before the next, for a draw in [0, 1).
    pub fn failed(&mut self, how: Failure, ago: Duration, draw: f64) -> Duration {
        match (how, self.terms.sharing) {
            (Failure::Refused, Some(gateways)) => {
                self.refused = self.refused.saturating_add(1);
                let base = self.terms.connect.max(Duration::from_millis(10));
                // Twice the time within which the list is to be asked for: half of what the rules allow a service that
                // turns calls away.
                let longest = (self.terms.within * 2).max(base * 16);
                Backoff::shared(base, gateways, longest).wait(self.refused, draw)
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
        self.pace().mul_f64(0.5 + draw.clamp(0.0, 1.0) / 2.0).saturating_sub(ago)
    }
}

#[cfg(test)]
mod tests;
