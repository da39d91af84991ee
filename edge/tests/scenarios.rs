//! Runs every scenario in `edge/tests/scenarios` against the built edge node, with stand-ins for app servers, counter,
//! discovery and clients on free loopback ports. A scenario is a text file of steps, one a line. A step that names an
//! expectation waits for it, unless it says that it looks at what is there already.
//!
//! The node, its configuration and its process:
//!
//! ```text
//! limits 64 40                    memory in MB and sockets in the configuration (else 192 and 1024)
//! descriptor_limit 24             the system gives the node no more descriptors than these
//! setting rules.ask_within_ns 1e9  a value in the settings that the node gets when it starts or with 'reload'
//! pin_known_endpoints             the configuration will hold the endpoint list as it is now (else as it is then)
//! start_node                      starts the node, which knows the app servers so far
//! node_ready                      in time, the node answers that it serves
//! synchronize                     the node has met all that happened before
//! pause_node; resume_node         the node stands still; it goes on, and meets at once all that has happened
//! reload                          the file holds the settings as they are by now, SIGHUP
//! reload_malformed                the file can't be read any more, SIGHUP
//! move_services                   the file names another counter and discovery, SIGHUP, the old ones are cut off
//! sigterm                         SIGTERM
//! sigkill [1200]                  SIGKILL, as many milliseconds after SIGTERM as the platform waits at the least
//!                                 (else 3700)
//! node_exited                     the node has ended by itself and well
//! logged TEXT                     the node's log holds this; 'logged_now TEXT': already
//! wait_drain_grace                waits as long as sends may go on after a drain was told, and the rule's slack
//! wait 300                        so many milliseconds pass
//! inject_faults                   the node will start with a library by which its system calls can be made to fail
//! fail_calls accept ECONNABORTED 3  its next three calls fail so: accept, socket, connect, register, wait, read, write
//! step_clock -3600                from now on its wall clock is so many seconds off
//! limit_transfers 5               from now on one read or write moves no more than so many bytes
//! stall_write 150                 its next write stands still for so many milliseconds before it goes
//! ```
//!
//! App servers:
//!
//! ```text
//! server a b                      app servers that listen, at a new address each time
//! server_refuses a                a refuses connections from now on
//! server_with_full_queue a        an app server to which no connection comes up
//! server_accepts a                connections to a come up from now on, also those that were asked for before
//! connecting_to a                 a connection of the node to a is coming up
//! unused_connection_closed a      a connection of the node to a has ended with no command on it
//! server_receives a r1            request r1 comes to the app server a ('*': to any)
//! server_receives_now a r1        it has come already
//! no_server_request               no request has come to an app server that no step has expected
//! remaining_time_at_most r1 900   the command with which r1 came says that no more than 900 ms are left
//! server_responds r1 $value [cost=2]  the app server answers r1 with a value ('$x*9': repeated), or a line of one word
//! server_disconnects r1           the app server ends the connection on which r1 came
//! server_sends_bytes r1 BYTES     the app server writes these bytes where r1 came
//! server_connection_closed r1     the node has ended the connection on which r1 came
//! same_connection r1 r2           they came on the same connection; 'different_connections r1 r2': they did not
//! ```
//!
//! Clients, each of which connects when a step first names it:
//!
//! ```text
//! connect c1                      client c1 connects
//! connect_burst 300               so many clients can connect at once, and leave again
//! request c1 r1 read capped 9000 [N]  client c1 sends request r1: route, plan, milliseconds to wait, size of a body
//! send_bytes c1 *1\r\n$4\r\nPING\r\n  client c1 sends these bytes
//! send_kib c1 200                 client c1 sends 200 KiB of no command
//! receive c1 -BUSY*               what c1 gets next: a line, '$' and a value, 'closed', 'reset'; '*' stands for any rest
//! receive_now c1 LINE             as 'receive', and it is there already
//! not_reset c1                    the connection of c1 was not reset
//! shut_down_sending c1            client c1 ends its sending, and goes on receiving
//! disconnect c1                   client c1 closes its connection
//! ```
//!
//! The counter and discovery:
//!
//! ```text
//! counter silent|rejects|malformed|answers  how it is from now on: 'malformed' adds and tells no number once
//! counter disconnects             it breaks its connections
//! leases_released                 in time, the leases counted in the newest period's name are all taken off again
//! endpoints changed a! b- c d@9   discovery tells: a drains, b is gone, c is there, d started anew at 9 ms of Unix time
//!                                 ('now': just now)
//! discovery silent|closes|answers  from now on it takes calls and says nothing, also to the watch that is out; ends
//!                                 each connection at once; answers again, also the calls that still wait
//! discovery disconnects           it breaks its connections
//! discovery rejects 4             it breaks its connections, and rejects the next four calls (503)
//! discovery ignores 1             it takes the next call and never answers it; 'ignores_watches': the next that waits
//! discovery sends BYTES           its next answer is these bytes, and it ends the connection (several: one each)
//! discovery sends_and_resets BYTES  the same, and it resets the connection
//! abandoned_discovery_calls 3     since it fell silent or closes, the node has given up so many calls or connections
//! delta_requests 6                six calls have come to discovery, none of them for the whole list
//! ```
//!
//! `repeat 20 STEPS` runs the steps, separated by `;`, so many times, with `%` the number of the time. In BYTES, `\r`
//! and `\n` stand for the ends of lines. `KEEP_LOGS` in the environment keeps the nodes' logs in the folder for
//! temporary files.

#[path = "../../fault-injection/src/injector.rs"]
mod fault_injection;
mod node_scenario;
#[path = "../../tests/scenario_runner/mod.rs"]
mod scenario_runner;
#[path = "../../tests/step_arguments/mod.rs"]
mod step_arguments;

#[test]
fn node_does_what_every_scenario_expects() {
    scenario_runner::run_all::<node_scenario::NodeScenario>();
}
