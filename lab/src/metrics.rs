//! What a run has brought: by second, in all, and as quantiles. Everything is serialised as it stands, so that
//! reports and comparisons read what was written.

use crate::events::RuleViolation;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// One second of a day. Values are billed values, times the plan's price.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// API calls as clients make them, and what became of them.
    pub asked: u64,
    pub proxied: u64,
    pub limited: u64,
    pub errored: u64,
    pub unanswered: u64,
    /// Nobody was there to take them.
    pub unreached: u64,
    /// First askings inside the quotas: value asked, and of it in time.
    pub value_asked: f64,
    pub value_in_time: f64,
    /// Units sent on, and those of them beyond quotas; the value that those cost.
    pub units: f64,
    pub beyond: f64,
    pub beyond_cost: f64,
    /// Refused while the customer's quota held the units and its cap a try; while half its burst was unused.
    pub limited_with_room: u64,
    pub limited_half_unused: u64,
    pub counter_calls: u64,
    pub tries: u64,
    pub connections: u64,
    pub datagrams: u64,
}

impl Second {
    fn add(&mut self, other: &Second) {
        self.asked += other.asked;
        self.proxied += other.proxied;
        self.limited += other.limited;
        self.errored += other.errored;
        self.unanswered += other.unanswered;
        self.unreached += other.unreached;
        self.value_asked += other.value_asked;
        self.value_in_time += other.value_in_time;
        self.units += other.units;
        self.beyond += other.beyond;
        self.beyond_cost += other.beyond_cost;
        self.limited_with_room += other.limited_with_room;
        self.limited_half_unused += other.limited_half_unused;
        self.counter_calls += other.counter_calls;
        self.tries += other.tries;
        self.connections += other.connections;
        self.datagrams += other.datagrams;
    }
}

/// Milliseconds at quantiles.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    pub count: u64,
    pub mean: f64,
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p999: f64,
    pub max: f64,
    /// Pairs of quantile and milliseconds, for plots.
    pub curve: Vec<(f64, f64)>,
}

/// How late the laboratory itself was: what it should have done, when it did it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lateness {
    pub worst_ms: f64,
    pub p99_ms: f64,
    /// So late that the figures say more of the laboratory than of the program.
    pub spoilt: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Results {
    pub experiment: String,
    pub variant: String,
    pub engine: String,
    pub seed: u64,
    pub seconds: f64,
    pub gateways: usize,
    pub servers: usize,
    /// All that was counted, and by second.
    pub all: Second,
    pub by_second: Vec<Second>,
    /// From the intended moment to the answer.
    pub proxied_ms: Quantiles,
    pub limited_ms: Quantiles,
    pub errored_ms: Quantiles,
    /// From the intended moment to the first try's arrival.
    pub first_try_ms: Quantiles,
    /// Share of its cores' time that each server was busy, by second.
    pub server_load: Vec<(String, Vec<f32>)>,
    pub broken: Vec<RuleViolation>,
    pub broken_count: u64,
    pub lateness: Lateness,
    /// Bad clients that were owed an error or a close and got neither in time, of all.
    pub bad_clients: (u64, u64),
    pub crashes: Vec<String>,
    /// Real time and processor time of the run and its gateways, in seconds; resident memory of gateways in MB.
    pub took: f64,
    pub gateway_cpu: f64,
    pub gateway_mb: f64,
}

impl Results {
    /// The figures that are compared, each with its name.
    pub fn figures(&self) -> Vec<(&'static str, f64)> {
        let all = &self.all;
        let per = |sum: f64, of: f64| if of > 0.0 { sum / of } else { 0.0 };
        let (asked, tries) = (all.asked as f64, all.tries as f64);
        vec![
            ("served", per(all.value_in_time, all.value_asked)),
            (
                "net",
                per(all.value_in_time - all.beyond_cost, all.value_asked),
            ),
            ("limited", per(all.limited as f64, asked)),
            (
                "limited with room",
                per(all.limited_with_room as f64, all.limited as f64),
            ),
            ("beyond quotas", per(all.beyond, all.units)),
            (
                "errored",
                per((all.errored + all.unanswered + all.unreached) as f64, asked),
            ),
            ("counter calls a try", per(all.counter_calls as f64, tries)),
            ("connections a try", per(all.connections as f64, tries)),
            ("tries a proxied call", per(tries, all.proxied as f64)),
            ("proxied p50 ms", self.proxied_ms.p50),
            ("proxied p99 ms", self.proxied_ms.p99),
            ("first try p99 ms", self.first_try_ms.p99),
        ]
    }

    /// Nothing broke a rule and nothing crashed.
    pub fn sound(&self) -> bool {
        self.broken_count == 0 && self.crashes.is_empty()
    }
}

/// Counts while a day is played.
pub struct MetricsRecorder {
    pub seconds: Vec<Second>,
    pub busy: BTreeMap<u32, Vec<f32>>,
    warm_up: Duration,
    length: Duration,
    proxied: Histogram<u64>,
    limited: Histogram<u64>,
    errored: Histogram<u64>,
    first_try: Histogram<u64>,
    late: Histogram<u64>,
}

fn histogram() -> Histogram<u64> {
    // Microseconds up to an hour, to three digits.
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("bounds that fit")
}

fn quantiles(of: &Histogram<u64>) -> Quantiles {
    let at = |quantile: f64| of.value_at_quantile(quantile) as f64 / 1e3;
    if of.is_empty() {
        return Quantiles::default();
    }
    let curve = (1..=60).map(|step| 1.0 - 10f64.powf(-f64::from(step) / 15.0));
    Quantiles {
        count: of.len(),
        mean: of.mean() / 1e3,
        p50: at(0.5),
        p90: at(0.9),
        p99: at(0.99),
        p999: at(0.999),
        max: of.max() as f64 / 1e3,
        curve: curve.map(|quantile| (quantile, at(quantile))).collect(),
    }
}

fn note(to: &mut Histogram<u64>, span: Duration) {
    to.saturating_record(span.as_micros() as u64);
}

impl MetricsRecorder {
    pub fn new(warm_up: Duration, length: Duration) -> MetricsRecorder {
        MetricsRecorder {
            seconds: vec![Second::default(); length.as_secs_f64().ceil() as usize],
            busy: BTreeMap::new(),
            warm_up,
            length,
            proxied: histogram(),
            limited: histogram(),
            errored: histogram(),
            first_try: histogram(),
            late: histogram(),
        }
    }

    /// The second that something belongs to; what comes after the day's end goes with its last one.
    pub fn second_at(&mut self, now: Duration) -> &mut Second {
        let place = (now.as_secs() as usize).min(self.seconds.len() - 1);
        &mut self.seconds[place]
    }

    pub fn proxied(&mut self, now: Duration, took: Duration) {
        self.second_at(now).proxied += 1;
        if now >= self.warm_up {
            note(&mut self.proxied, took);
        }
    }

    pub fn limited(&mut self, now: Duration, took: Duration) {
        self.second_at(now).limited += 1;
        note(&mut self.limited, took);
    }

    pub fn errored(&mut self, now: Duration, took: Duration) {
        self.second_at(now).errored += 1;
        note(&mut self.errored, took);
    }

    pub fn first_try(&mut self, now: Duration, took: Duration) {
        if now >= self.warm_up {
            note(&mut self.first_try, took);
        }
    }

    /// The laboratory did something so much later than it should have.
    pub fn record_lateness(&mut self, by: Duration) {
        note(&mut self.late, by);
    }

    pub fn lateness(&self) -> Lateness {
        if self.late.is_empty() {
            return Lateness::default();
        }
        let (worst, p99) = (
            self.late.max() as f64 / 1e3,
            self.late.value_at_quantile(0.99) as f64 / 1e3,
        );
        Lateness {
            worst_ms: worst,
            p99_ms: p99,
            spoilt: p99 > 5.0 || worst > 250.0,
        }
    }

    /// Adds up what came after the warm-up.
    pub fn results(&self) -> Results {
        let mut all = Second::default();
        let from = self.warm_up.as_secs() as usize;
        self.seconds[from.min(self.seconds.len())..]
            .iter()
            .for_each(|second| all.add(second));
        Results {
            seconds: self.length.as_secs_f64(),
            all,
            by_second: self.seconds.clone(),
            proxied_ms: quantiles(&self.proxied),
            limited_ms: quantiles(&self.limited),
            errored_ms: quantiles(&self.errored),
            first_try_ms: quantiles(&self.first_try),
            lateness: self.lateness(),
            ..Results::default()
        }
    }
}
