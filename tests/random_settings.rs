//! Runs a controller through random events under random settings, some of which are missing or absurd, and checks the
//! rules that hold under any: it does not panic, each request gets one final answer in time and nothing is sent for it
//! afterwards, no request has two attempts out at once, and what may have run is sent again or refused only as its
//! route permits.

mod named_settings;
mod random_run;

use random_run::RandomRun;

/// How many runs there are, each with a seed of its own.
const RUNS: u64 = 1500;

#[test]
fn controller_keeps_its_rules_under_any_settings() {
    for seed in 0..RUNS {
        RandomRun::new(seed).run();
    }
}
