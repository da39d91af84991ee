//! Runs every scenario in `lab/tests/scenarios` in simulated time. A scenario is a text file with one step per line:
//!
//! ```text
//! experiment calm                    loads the file of that name in lab/experiments; without it, a default run of 10 s
//! set fleet.gateways 2               changes a field by its name in experiment files; list elements go by their names
//! fault servers-slow at 2 for 5 share 0.3 factor 4 route preview      adds a fault
//! override contracts.premiere.never_over_rate 0                       overrides a setting of the gateways
//! run 3 [DEFECT]                     runs the experiment with seed 3; injects a defect into the gateways: loses-answers,
//!                                    duplicates-attempts, retries-unsafely, ignores-endpoint-updates,
//!                                    prefers-newest-server, undercounts-units
//! expect sound                       no rule was broken and nothing crashed
//! expect violation drains            this rule was broken, and no other one
//! expect reproducible                another run with the same seed and defect gives the same results, byte for byte
//! expect figure served above 0.5     a figure, or a total count such as 'requests', is 'above' or 'below' a bound
//! parse TEXT                         parses an experiment ('\n' separates lines), which has to be refused ...
//! expect problem 2:1 unknown field   ... with this text at this line and column
//! ```
//!
//! The loopback engine is tested by the scenarios of the command, in `tool/tests`.

mod lab_scenario;
#[path = "../../tests/scenario_runner/mod.rs"]
mod scenario_runner;
#[path = "../../tests/step_arguments/mod.rs"]
mod step_arguments;

use lab_scenario::LabScenario;

#[test]
fn simulated_runs_meet_the_expectations_of_every_scenario() {
    scenario_runner::run_all::<LabScenario>();
}
