//! Runs every scenario in `edge/tests/scenarios` against the built gateway, with stand-ins for app servers, counter,
//! discovery and clients on free loopback ports. A scenario is a text file with one step per line. `#` starts a
//! comment. A step that waits until something happens fails if that takes longer than 20 s. A step that only
//! "expects" something, or needs it to have happened "already", does not wait for it.
//!
//! By convention, clients are named `client1`, app servers `app1`, and requests `r1`: the `r` is followed by the id of
//! the request in hex digits without leading zeros. `settings.json` holds the settings that every scenario starts with.
//! Its `classes` are the routes: 0 is `read` (idempotent), 1 `order` (idempotent by key) and 2 `payment`
//! (non-idempotent). Its `contracts` are the plans: 0 is `capped` (concurrency limit 2) and 1 `wide` (concurrency limit
//! 600).
//!
//! The gateway, its configuration and its process:
//!
//! ```text
//! limits memory_mb=64 sockets=40  sets the limits in the configuration (default: 192 MiB and 1024 sockets)
//! descriptor_limit 24             the system grants the gateway at most 24 descriptors
//! setting rules.ask_within_ns 1e9 changes a value in the settings that the gateway gets at its start and with 'reload'
//! pin_known_endpoints             the configuration gets the current endpoint list also if it is written later; by
//!                                 default it gets the list at that time
//! start_gateway                   starts the gateway, which knows the app servers entered so far
//! gateway_ready                   waits until the gateway answers PING with +PONG
//! synchronize                     sends PING and waits for +PONG: the gateway has processed all earlier events
//! pause_gateway                   suspends the process (SIGSTOP)
//! resume_gateway                  resumes it (SIGCONT); it handles at once all that has happened meanwhile
//! reload                          writes the configuration with the current settings and new addresses of the counter
//!                                 and discovery, and sends SIGHUP
//! reload_malformed_configuration  writes a configuration that is not valid JSON and sends SIGHUP
//! move_counter_and_discovery      as 'reload', but the old addresses of the counter and discovery accept no further
//!                                 connections, and the open connections there are broken once the gateway has
//!                                 connected to the new addresses
//! sigterm                         sends SIGTERM
//! sigkill [after_ms=1200]         sends SIGKILL after this delay (default: 3700 ms, the platform's shortest delay
//!                                 between SIGTERM and SIGKILL)
//! gateway_exited                  waits until the gateway has exited by itself, and expects success
//! logged TEXT                     waits until the gateway's log contains TEXT
//! logged_now TEXT                 the log already contains TEXT
//! memory_within_limit             the gateway has never held more anonymous memory than its limit
//! wait_drain_grace                waits for 550 ms: the drain grace and 50 ms of tolerance
//! wait_ms 300                     waits for 300 ms
//! inject_faults                   the gateway that is started next loads a library through which its system calls can
//!                                 be made to fail
//! fail_calls accept ECONNABORTED 3  the next 3 calls fail with this error; the calls are accept, socket, connect,
//!                                 register, wait, read and write
//! wall_clock_offset_seconds -3600 from now on the gateway's wall clock is an hour behind the machine's
//! limit_transfer_bytes 5          from now on each read and write transfers at most 5 bytes
//! stall_write_ms 150              the next write is delayed by 150 ms
//! ```
//!
//! App servers:
//!
//! ```text
//! start_servers app1 app2         starts app servers, each at a new address, and enters them into discovery's list;
//!                                 for one that is already started, this changes its address
//! start_server_with_full_queue app1  starts an app server to which no connection can be established
//! server_accepts_connections app1 from now on such a server accepts connections, including those in progress
//! server_refuses_connections app1 from now on the server refuses new connections
//! gateway_connecting_to app1      waits until the gateway is establishing a connection to the server
//! gateway_closes_unused_connection app1  waits until a connection to the server has ended without a command
//! server_receives app1 r1         waits until an app server receives request r1, and expects that it is app1 ('any':
//!                                 any app server)
//! server_receives_now app1 r1     app1 has already received r1
//! no_server_request               expects that no app server has received a request that no step has named
//! remaining_ms_at_most r1 900     expects that the latest command of r1 states a remaining time of at most 900 ms
//! server_responds r1 $value [cost=2]  responds to r1 with a value ('$x*9': x repeated 9 times) and an optional usage
//!                                 list, here 2 units, or with a line of one word
//! server_disconnects r1           the app server closes the connection on which it received r1
//! server_sends_bytes r1 BYTES     the app server writes BYTES to the connection on which it received r1
//! gateway_closes_connection r1    waits until the connection on which r1 was received has ended
//! same_connection r1 r2           expects that r1 and r2 were received on the same connection
//! different_connections r1 r2     expects that r1 and r2 were received on different connections
//! ```
//!
//! Clients, each of which connects when a step first names it:
//!
//! ```text
//! connect client1                 connects client1
//! flood 3 BYTES                   from now on 3 clients send BYTES again and again, without a pause, and read whatever
//!                                 they are sent
//! crowd 220 request=true repeat=900 partial_body_bytes=65000 BYTES  220 clients connect; then each sends a request of
//!                                 its own, 900 times BYTES and the beginning of a request with 65,000 bytes of its
//!                                 body, all at once, and reads whatever it is sent
//! background_clients_disconnect   the clients of floods and crowds close their connections
//! connect_burst 300               connects 300 clients at once and then disconnects them
//! request client1 r1 read capped timeout_ms=9000 [body_bytes=60000]  client1 sends request r1 on the route 'read' with
//!                                 the plan 'capped', and states how long it waits
//! send_bytes client1 *1\r\n$4\r\nPING\r\n  client1 sends these bytes
//! send_kib client1 200            client1 sends 200 KiB that are not a command
//! receive client1 -BUSY*          waits for the next answer to client1 and expects this one: a line, '$' and a value,
//!                                 'closed' or 'reset'; '*' at the end stands for any rest
//! receive_now client1 LINE        as 'receive', but the answer has already arrived
//! not_reset client1               expects that the connection of client1 was not reset
//! shut_down_sending client1       client1 shuts down its sending direction; it can still receive
//! disconnect client1              client1 closes its connection
//! ```
//!
//! The counter and discovery:
//!
//! ```text
//! counter replies                 from now on the counter adds and replies with the total (the mode at the start)
//! counter silent                  from now on it neither adds nor replies; calls wait until the mode changes
//! counter rejects                 from now on it rejects calls
//! counter malformed_once          it adds the amount of the next call and replies without a number, then 'replies'
//! counter disconnects             it closes its connections
//! leases_released                 waits until the counter's total for the newest name is zero: all leases of the newest
//!                                 period are released
//! update_endpoints app1=draining app2=removed app3=active,started=9ms  changes entries of discovery's list; a server
//!                                 started at this Unix time ('now': the present; default: 0)
//! discovery responds              from now on discovery responds to all calls, also to those that still wait (the mode
//!                                 at the start)
//! discovery silent                from now on it responds to no calls, not even to the watch that already waits
//! discovery closes_every_connection  closes its connections, and from now on each new one at once
//! discovery disconnects           closes its connections
//! discovery rejects_calls 4       closes its connections and rejects the next 4 calls with status 503
//! discovery ignores_calls 1       sends no response to the next call
//! discovery ignores_watches 1     sends no response to the next watch, which is a call that waits for changes
//! discovery sends_bytes BYTES     sends BYTES in place of the next response and closes the connection; several such
//!                                 steps apply to one call each
//! discovery sends_bytes_and_resets BYTES  the same, but resets the connection
//! discovery sends_endless_chunks  sends chunks of spaces in place of the next response until the gateway closes the
//!                                 connection
//! abandoned_discovery_calls 3     waits until the gateway has abandoned 3 calls, or discovery has closed 3
//!                                 connections, since the mode was set
//! only_delta_requests 6           waits until discovery has received 6 calls, and expects that none of them asked for
//!                                 the whole list
//! ```
//!
//! `repeat 20 STEPS` runs the steps, separated by `;`, 20 times. `{n}` in them stands for the number of the round, from
//! 0. In BYTES, `\r` and `\n` stand for CR and LF. If the environment variable `KEEP_LOGS` is set, the gateways' logs
//! are kept in the directory for temporary files.

#[path = "../../fault-injection/src/injector.rs"]
mod fault_injection;
mod gateway_scenario;
#[path = "../../tests/scenario_runner/mod.rs"]
mod scenario_runner;
#[path = "../../tests/step_arguments/mod.rs"]
mod step_arguments;

#[test]
fn gateway_meets_every_expectation_of_the_scenarios() {
    scenario_runner::run_all::<gateway_scenario::GatewayScenario>();
}
