//! Runs controllers through random events under random settings, some of which are missing or extreme, and checks the
//! rules that hold under all settings: the controller does not panic; each request gets exactly one final answer by its
//! deadline, and nothing is sent for it afterwards; no request has two attempts in flight at the same time; a request
//! that may have run is sent again or rejected only if its route permits that.

mod named_settings;
mod random_run;

use random_run::RandomRun;

/// The number of runs. Each has its own seed.
const RUNS: u64 = 1500;

#[test]
fn controller_keeps_its_rules_under_any_settings() {
    for seed in 0..RUNS {
        RandomRun::new(seed).run();
    }
}
