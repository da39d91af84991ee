//! Runs drawn from seeds: a fleet, a load and faults. The draws and their order decide what a seed plays.

use nanorand::{Rng, WyRand};
use wellcrank_lab::experiment::Experiment;

/// All gateways get other addresses for discovery and counter.
const GATEWAYS_MOVE: &str = "kind = 'gateways-move'\nshare = 1.0";

/// Faults of a run: kind, share of servers or gateways, factor.
const FAULTS: [&str; 17] = [
    "kind = 'servers-silent'\nshare = 0.4",
    "kind = 'servers-crash'\nshare = 0.4",
    "kind = 'servers-slow'\nshare = 0.5\nfactor = 6.0",
    "kind = 'servers-failing'\nshare = 0.3\nfactor = 0.5",
    "kind = 'servers-replace'\nshare = 0.5",
    "kind = 'route-unanswered'\nshare = 0.5\nroute = 'issue-ref'",
    "kind = 'answers-spoilt'\nshare = 0.2",
    "kind = 'counter-silent'",
    "kind = 'counter-reset'\nempty = true",
    "kind = 'counter-slow'\nfactor = 40.0",
    "kind = 'list-late'\nfactor = 4.0",
    "kind = 'list-silent'",
    "kind = 'impatient'\nfactor = 0.1",
    "kind = 'heedless'\nshare = 1.0",
    "kind = 'surge'\nfactor = 3.0",
    "kind = 'bad-clients'\nfactor = 60",
    GATEWAYS_MOVE,
];

/// Faults in which processes start again. A new process can't tell a clock that is ahead from the true time, so they are
/// not drawn with such a clock.
const RESTARTS: [&str; 2] = [
    "kind = 'gateways-restart'\nshare = 1.0",
    "kind = 'gateways-kill'\nshare = 0.5",
];

/// More misbehaving clients than the node has descriptors for.
const CROWD: &str = "kind = 'bad-clients'\nfactor = 300";

/// Routes with short deadlines, so that the kill behind a SIGTERM comes soon, and a short window for repeats.
const SHORT_ROUTES: &str = "
[[routes]]
name = 'preview'
share = 0.4
repeat = 'idempotent'
work_ms = 30.0
latency_target = 0.3
client_timeout = 0.7
[[routes]]
name = 'submit-track'
share = 0.35
repeat = 'tokened'
memory = 0.6
work_ms = 30.0
latency_target = 0.3
client_timeout = 0.9
[[routes]]
name = 'issue-ref'
share = 0.25
repeat = 'non-idempotent'
work_ms = 20.0
latency_target = 0.2
client_timeout = 0.5
";

/// Faults that are drawn for each run, beside those that it always has.
const DRAWN_FAULTS: usize = 4;
/// Steps of the wall clock, in seconds.
const CLOCK_STEPS: [i64; 4] = [1, 3, 30, 3600];
/// Timeouts of connects to servers, in seconds.
const CONNECT_TIMEOUTS: [f64; 3] = [0.1, 0.25, 1.0];
/// Descriptors of a node, with a crowd of clients and without.
const CROWDED_SOCKETS: u32 = 128;
const SOCKETS: u32 = 512;

/// What one seed plays.
pub(crate) struct DrawnRun {
    /// Fleet, load and faults.
    pub(crate) experiment: Experiment,
    /// Seconds by which the nodes' wall clock is off now and then.
    pub(crate) clock_step: i64,
}

fn one_in(rng: &mut WyRand, count: u32) -> bool {
    rng.generate_range(0..count) == 0
}

fn pick<T: Copy>(rng: &mut WyRand, choices: &[T]) -> T {
    choices[rng.generate_range(0..choices.len())]
}

impl DrawnRun {
    /// Draws the run of a seed.
    pub(crate) fn new(seed: u64) -> Self {
        let mut rng = WyRand::new_seed(seed);
        let clock_is_ahead = one_in(&mut rng, 3);
        let step_size = pick(&mut rng, &CLOCK_STEPS);
        let mut faults: Vec<&str> = (0..DRAWN_FAULTS).map(|_| pick(&mut rng, &FAULTS)).collect();
        // Two in quick succession: a configuration that replaces one that has just been read.
        faults.extend([GATEWAYS_MOVE; 2]);
        if !clock_is_ahead {
            faults.push(pick(&mut rng, &RESTARTS));
        }
        let is_crowded = one_in(&mut rng, 4);
        if is_crowded {
            faults.push(CROWD);
        }
        let sockets = if is_crowded { CROWDED_SOCKETS } else { SOCKETS };
        let mut text = fleet_and_load(&mut rng, sockets);
        for fault in faults {
            text.push_str(&scheduled_fault(&mut rng, fault));
        }
        let experiment =
            Experiment::parse("soak", &text).unwrap_or_else(|error| panic!("{error}\n{text}"));
        DrawnRun {
            experiment,
            clock_step: if clock_is_ahead {
                step_size
            } else {
                -step_size
            },
        }
    }
}

fn fleet_and_load(rng: &mut WyRand, sockets: u32) -> String {
    let gateways = rng.generate_range(1..4u32);
    let connect_timeout = pick(rng, &CONNECT_TIMEOUTS);
    let mut text = format!(
        "title = 'soak'\nseconds = 9.0\n\
         [fleet]\ngateways = {gateways}\nservers = 8\nsockets = {sockets}\nmemory_mb = 48\n\
         connect_timeout = {connect_timeout}\n\
         [load]\ncalls = 50.0\npatience = 0.9\nspread = {gateways}\n"
    );
    if one_in(rng, 3) {
        text.push_str(SHORT_ROUTES);
    }
    text
}

/// The fault, at a time and for a time.
fn scheduled_fault(rng: &mut WyRand, fault: &str) -> String {
    let start = 0.5 + 5.0 * rng.generate::<f64>();
    let duration = 0.3 + 2.5 * rng.generate::<f64>();
    format!("[[troubles]]\nat = {start:.3}\nfor = {duration:.3}\n{fault}\n")
}
