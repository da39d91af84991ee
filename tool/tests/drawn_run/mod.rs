//! Randomly drawn runs: a fleet, a load and faults. The draws and their order determine the run of a seed, so a changed
//! order gives every seed another run.

use nanorand::{Rng, WyRand};
use wellcrank_lab::experiment::Experiment;

/// Discovery and the counter move to new addresses for all gateways.
const GATEWAYS_MOVE: &str = "kind = 'gateways-move'\nshare = 1.0";

/// Faults that may be drawn, as fields of a `[[troubles]]` entry: the kind, with a share, a factor or other parameters.
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

/// Faults that restart gateway processes. A new process cannot distinguish a wall clock that is ahead from the true
/// time, so none of these is drawn for a run with such a clock.
const RESTART_FAULTS: [&str; 2] = [
    "kind = 'gateways-restart'\nshare = 1.0",
    "kind = 'gateways-kill'\nshare = 0.5",
];

/// More misbehaving clients than a gateway has sockets for, see [`FEW_SOCKETS`].
const TOO_MANY_CLIENTS: &str = "kind = 'bad-clients'\nfactor = 300";

/// Routes with short client timeouts, so that the kill soon follows the SIGTERM of a restart, and with a short
/// deduplication window.
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

/// Number of faults drawn from [`FAULTS`] for each run.
const DRAWN_FAULT_COUNT: usize = 4;
/// Sizes of the step of the wall clock, in seconds.
const CLOCK_STEPS_SECONDS: [i64; 4] = [1, 3, 30, 3600];
/// Timeouts for connecting to servers, in seconds.
const CONNECT_TIMEOUTS_SECONDS: [f64; 3] = [0.1, 0.25, 1.0];
/// Socket limit of a gateway in a run with [`TOO_MANY_CLIENTS`].
const FEW_SOCKETS: u32 = 128;
/// Socket limit of a gateway in every other run.
const MANY_SOCKETS: u32 = 512;

/// The experiment and the step of the wall clock that are drawn for one seed.
pub(crate) struct DrawnRun {
    /// Fleet, load and faults.
    pub(crate) experiment: Experiment,
    /// How far the wall clock of the gateways is stepped, in seconds; negative for a clock that is behind.
    pub(crate) clock_step_seconds: i64,
}

/// Returns true with a probability of one in `count`.
fn one_in(rng: &mut WyRand, count: u32) -> bool {
    rng.generate_range(0..count) == 0
}

/// Draws one of the choices, all with the same probability.
fn pick<T: Copy>(rng: &mut WyRand, choices: &[T]) -> T {
    choices[rng.generate_range(0..choices.len())]
}

impl DrawnRun {
    /// Draws the run of a seed.
    pub(crate) fn new(seed: u64) -> Self {
        let mut rng = WyRand::new_seed(seed);
        let clock_is_ahead = one_in(&mut rng, 3);
        let step_size_seconds = pick(&mut rng, &CLOCK_STEPS_SECONDS);
        let mut faults: Vec<&str> = (0..DRAWN_FAULT_COUNT)
            .map(|_| pick(&mut rng, &FAULTS))
            .collect();
        // Two moves may follow each other closely, so that a configuration replaces one that has just been read.
        faults.extend([GATEWAYS_MOVE; 2]);
        if !clock_is_ahead {
            faults.push(pick(&mut rng, &RESTART_FAULTS));
        }
        let has_too_many_clients = one_in(&mut rng, 4);
        if has_too_many_clients {
            faults.push(TOO_MANY_CLIENTS);
        }
        let sockets = if has_too_many_clients {
            FEW_SOCKETS
        } else {
            MANY_SOCKETS
        };
        let mut text = fleet_and_load(&mut rng, sockets);
        for fault in faults {
            text.push_str(&scheduled_fault(&mut rng, fault));
        }
        let experiment =
            Experiment::parse("soak", &text).unwrap_or_else(|error| panic!("{error}\n{text}"));
        DrawnRun {
            experiment,
            clock_step_seconds: if clock_is_ahead {
                step_size_seconds
            } else {
                -step_size_seconds
            },
        }
    }
}

/// The settings of the run, fleet and load, in the format of an experiment file.
fn fleet_and_load(rng: &mut WyRand, sockets: u32) -> String {
    let gateways = rng.generate_range(1..4u32);
    let connect_timeout = pick(rng, &CONNECT_TIMEOUTS_SECONDS);
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

/// A `[[troubles]]` entry for the fault with a random start and duration, both in seconds.
fn scheduled_fault(rng: &mut WyRand, fault: &str) -> String {
    let start_seconds = 0.5 + 5.0 * rng.generate::<f64>();
    let duration_seconds = 0.3 + 2.5 * rng.generate::<f64>();
    format!("[[troubles]]\nat = {start_seconds:.3}\nfor = {duration_seconds:.3}\n{fault}\n")
}
