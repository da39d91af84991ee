//! Runs every scenario in `tests/scenarios` against the controller. A scenario is a text file of steps, one per line or
//! separated by `;`:
//!
//! ```text
//! use common                      apply the settings of common.set, which has one "name value" per line
//! set plans.basic.rate 2          change one setting
//! reconfigure                     give the current settings to the controller
//! at 0.5                          advance the clock to this second and fire the timers that are due; the first such
//!                                 step creates the controller
//! wait                            advance the clock in steps of 10 ms until the controller does something
//! endpoints a b/7 c@0.4 d! e~k    discovery sends the complete list: endpoint a, b in cell 7, c started at 0.4 s,
//!                                 d draining, e of machine type k
//! endpoints changed d-            discovery sends the changed entries: d is removed
//! request r1 ann basic get 2 [3]  a request arrives: id, customer, plan, route, client timeout in seconds, and units,
//!                                 which are 1 by default
//! reply ann_leases total 1        the counter replies to the oldest unanswered addition to the value with this label:
//!                                 total N, applied (the total is unreadable), not_applied or unknown. Subtractions
//!                                 before it are answered first.
//! attempt r1 0 success [3]        attempt 0 of r1 ends, optionally with its settled units: success, server_error,
//!                                 rejected, timed_out, connect_failed, reset or not_sent
//! disconnect r1                   the client of r1 disconnects
//! no_timer                        expect that no timer but the periodic one is set
//! > add ann_leases +1             expect the next action. Every action must be expected, in order: add LABEL AMOUNT
//!                                 (to a value on the counter), send REQUEST ENDPOINT [by SECOND], reject REQUEST
//!                                 RETRY_AFTER, fail REQUEST or cancel REQUEST ATTEMPT.
//! ```
//!
//! A label is bound to a value on the counter by the first `> add` that uses it. The labels name the customer and what is
//! counted; a number distinguishes later lease periods and quota windows. `*` stands for any endpoint, amount or
//! retry-after.

mod controller_scenario;
mod named_settings;
mod scenario_runner;
mod step_arguments;

#[test]
fn controller_does_what_every_scenario_expects() {
    scenario_runner::run_all::<controller_scenario::ControllerScenario>();
}
