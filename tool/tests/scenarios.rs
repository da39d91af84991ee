//! Runs every scenario in `tool/tests/scenarios` with the built command, each in an empty folder of its own. A scenario
//! is a text file of steps, one a line:
//!
//! ```text
//! file run.toml            a file, of the lines that follow and begin with '|'
//! experiment calm.toml     copies a file of lab/experiments
//! run lab check run.toml   runs the command to its end
//! exit 2                   its exit code
//! prints TEXT              its output or its errors contain the text; 'lacks TEXT': neither does
//! contains page.html TEXT  a file contains the text
//! absent FILE              there is no such file
//! start lab up             starts the command and leaves it running
//! wait_for TEXT            waits until its output contains the text
//! interrupt                Ctrl-C, as a terminal sends it to the command alone; waits for its end
//! children_ended 3         of the processes that it had started, so many at least, none is left
//! record 3                 sends so many requests through 'lab record' to a gateway that rejects them
//! ```

mod command_scenario;
#[path = "../../tests/scenario_runner/mod.rs"]
mod scenario_runner;
#[path = "../../tests/step_arguments/mod.rs"]
mod step_arguments;

use command_scenario::CommandScenario;

#[test]
fn commands_do_what_their_scenarios_expect() {
    scenario_runner::run_all::<CommandScenario>();
}
