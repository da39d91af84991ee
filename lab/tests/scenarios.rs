//! Runs every scenario in `lab/tests/scenarios` in simulated time. A scenario is a text file of steps, one a line:
//!
//! ```text
//! experiment calm                    the file of that name in lab/experiments; else a default run of 10 s
//! set fleet.gateways 2               changes a field, by its name in a file; an element of a list by its name
//! fault servers-slow at 2 for 5 share 0.3 factor 4 route preview      adds a fault
//! override contracts.premiere.never_over_rate 0                       a setting of gateways in place of the true one
//! play 3 [DEFECT]                    plays that seed; a defect is injected into the program: loses-answers,
//!                                    duplicates-attempts, retries-unsafely, ignores-endpoint-updates,
//!                                    prefers-newest-server, undercounts-units
//! expect sound                       no rule was broken and nothing crashed
//! expect violation drains            this rule was broken, and no other one was
//! expect reproducible                another run with the same seed gives the same results to the byte
//! expect figure served above 0.5     a figure, or a count of the run such as 'requests'; 'above' or 'below'
//! parse TEXT                         reads this as an experiment ('\n' parts lines), which is refused ...
//! expect problem 2:1 unknown field   ... at this line and column with this text
//! ```
//!
//! The engine on loopback is played by the scenarios of the command, in `tool/tests`.

mod lab_scenario;
#[path = "../../tests/scenario_runner/mod.rs"]
mod scenario_runner;
#[path = "../../tests/step_arguments/mod.rs"]
mod step_arguments;

use lab_scenario::LabScenario;

#[test]
fn simulated_runs_do_what_every_scenario_expects() {
    scenario_runner::run_all::<LabScenario>();
}
