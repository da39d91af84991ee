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
mod tests {
    use super::*;

    const MS: fn(u64) -> Duration = Duration::from_millis;

    fn terms(connect: u64, grace: u64, sharing: Option<f64>) -> Terms {
        Terms { connect: MS(connect), grace: MS(grace), within: MS(10_000), sharing }
    }

    #[test]
    fn after_silence_the_return_is_heard_within_the_grace_at_any_number_of_failures() {
        for (connect, grace) in [(250, 500), (250, 250), (50, 2000), (1000, 500), (2000, 2000)] {
            for sharing in [None, Some(3.0), Some(1024.0)] {
                for draw in [0.0, 0.5, 0.999] {
                    let mut recall = Recall::new(terms(connect, grace, sharing));
                    for failure in 0..200 {
                        // A connection that is refused or reset at once, one that never came up, one that fell silent.
                        let ago = [MS(0), recall.coming_up(), recall.watch()][failure % 3];
                        let wait = recall.failed(Failure::Unheard, ago, draw);
                        assert!(wait <= recall.pace(), "{connect} {grace} {failure}: {wait:?}");
                        assert!(wait + recall.coming_up() <= MS(grace).max(MS(connect)) * 3 / 4);
                    }
                }
            }
        }
    }

    #[test]
    fn silence_does_not_make_calls_crowd_one_another() {
        let mut recall = Recall::new(terms(250, 500, Some(300.0)));
        for _ in 0..100 {
            assert!(recall.failed(Failure::Unheard, MS(0), 0.0) >= recall.pace() / 2);
        }
    }

    #[test]
    fn a_shared_service_that_says_no_is_left_alone_for_longer_and_longer() {
        let mut recall = Recall::new(terms(250, 500, Some(100.0)));
        let waits: Vec<u64> =
            (0..5).map(|_| recall.failed(Failure::Refused, MS(0), 0.5).as_millis() as u64).collect();
        assert_eq!(waits, [2500, 5000, 10_000, 10_000, 10_000]);
        // Silence in between is no sign of room, nor does it make the next call wait.
        assert!(recall.failed(Failure::Unheard, MS(0), 0.5) < MS(125));
        assert_eq!(recall.failed(Failure::Refused, MS(0), 0.5), MS(10_000));
        recall.answered();
        assert_eq!(recall.failed(Failure::Refused, MS(0), 0.5), MS(2500));
    }

    #[test]
    fn an_agent_of_ones_own_that_says_no_is_asked_again_soon() {
        let mut recall = Recall::new(terms(250, 500, None));
        assert!((0..50).all(|_| recall.failed(Failure::Refused, MS(0), 0.9) <= recall.pace()));
    }

    #[test]
    fn a_silent_watch_is_given_up_within_two_seconds_after_its_wait() {
        let mut recall = Recall::new(terms(250, 500, None));
        for _ in 0..20 {
            assert!(recall.answer_time(false) <= MS(1000));
            assert!(recall.answer_time(true) <= MS(4000));
            recall.failed(Failure::Unheard, MS(0), 0.5);
        }
    }
}
