//! Runs every scenario in `tool/tests/scenarios` with the built command, each in its own empty folder. A scenario is a
//! text file with one step per line; `#` begins a comment:
//!
//! ```text
//! file run.toml              creates an empty file in the scenario's folder
//! | title = "Title"          appends the text after '| ' as a line to the file created last
//! experiment calm.toml       copies a file from lab/experiments
//! run lab check run.toml     runs the command with these arguments to its end
//! exit 2                     expects this exit code of the last command
//! prints TEXT                expects the text in the standard output or standard error of the last command
//! does_not_print TEXT        expects the text in neither of them
//! contains page.html TEXT    expects the text in a file
//! absent FILE                expects that there is no such file
//! start lab up               starts the command with these arguments and leaves it running
//! wait_for TEXT              waits until the standard output of the running command contains the text
//! interrupt                  sends SIGINT to the running command, not to its child processes, and waits for its end
//! children_ended 3           expects that the interrupted command had at least 3 child processes and none is left
//! record_requests 3          starts 'lab record' in front of a gateway that rejects every request, sends 3 requests
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
