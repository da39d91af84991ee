//! Runs every scenario in `tests/scenarios` against the controller. A scenario is a text file of steps, one a line or
//! separated by `;`:
//!
//! ```text
//! use common                      reads the settings of common.set, one "name value" a line
//! set plans.p.rate 2              changes one setting
//! reconfigure                     the settings as they are by now apply from here on
//! at 0.5                          moves the clock to this second, firing timers on the way; the first time, starts
//!                                 the controller
//! wait                            moves the clock in steps of 10 ms until the controller does something
//! endpoints a b/7 c@0.4 d! e~k    discovery's whole list: an endpoint, one of cell 7, one started at 0.4 s, one that
//!                                 drains, one of machine type k
//! endpoints changed d-            discovery's news: d has been removed
//! request r1 ann p get 2.5 [3]    a request comes in: id, customer, plan, route, client timeout in seconds, units
//! reply H total 1                 the counter replies to the oldest open add on the number labelled H: total N, applied
//!                                 (but the total is unreadable), not_applied or unknown; before it, it replies to what
//!                                 was taken off the number
//! attempt r1 0 success [3]        an attempt ends, with the units settled: success server_error rejected timed_out
//!                                 connect_failed reset not_sent
//! disconnect r1                   the client of r1 has left
//! no_timer                        only the periodic timer is set
//! > add H +1                      the next action, all of which are expected in their order: add LABEL AMOUNT to a
//!                                 number on the counter, send REQUEST ENDPOINT [by SECOND], reject REQUEST
//!                                 RETRY_AFTER, fail REQUEST, cancel REQUEST ATTEMPT
//! ```
//!
//! A label is bound to the counter's number where it is first seen. `*` as an endpoint, an amount or a span stands for
//! any.

mod controller_scenario;
mod named_settings;
mod scenario_runner;
mod step_arguments;

#[test]
fn controller_does_what_every_scenario_expects() {
    scenario_runner::run_all::<controller_scenario::ControllerScenario>();
}
