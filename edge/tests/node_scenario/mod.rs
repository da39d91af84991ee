//! Runs the steps of a scenario against the built node, with stand-ins for all that it talks to.

mod node;
mod notation;
mod stand_ins;

use crate::fault_injection::FaultInjector;
use crate::scenario_runner::Scenario;
use crate::step_arguments::StepError;
use node::{Node, Services};
use notation::{
    ClientStep, CounterStep, DiscoveryStep, EndpointChange, NodeStep, ServerStep, StartTime, Step,
};
use stand_ins::{
    connect_burst, Clients, FakeAppServers, FakeCounter, FakeDiscovery, ListeningServer,
    LoopbackHost,
};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What does not happen within this fails the scenario.
const TIMEOUT: Duration = Duration::from_secs(20);
/// How often it is looked whether something has happened.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// As long as sends may go on after a drain was told by the settings, and the slack of the rule.
const DRAIN_GRACE: Duration = Duration::from_millis(550);

/// The node under test and its stand-ins.
pub(crate) struct NodeScenario {
    host: LoopbackHost,
    node: Node,
    servers: FakeAppServers,
    clients: Clients,
    counter: FakeCounter,
    discovery: FakeDiscovery,
    /// The listeners of the counter and of discovery that the node's configuration names.
    service_listeners: Vec<ListeningServer>,
    /// The endpoint list that the node's configuration holds, where it is not to be the present one.
    pinned_endpoints: Option<String>,
    /// How the node's system calls fail.
    fault_injector: Option<FaultInjector>,
}

impl Scenario for NodeScenario {
    type Step = Step;
    type ParseError = StepError;

    fn new(name: &str) -> Self {
        NodeScenario {
            host: LoopbackHost::allocate(),
            node: Node::new(name),
            servers: FakeAppServers::new(),
            clients: Clients::default(),
            counter: FakeCounter::default(),
            discovery: FakeDiscovery::default(),
            service_listeners: Vec::new(),
            pinned_endpoints: None,
            fault_injector: None,
        }
    }

    fn parse_line(line: &str) -> Result<Vec<Step>, StepError> {
        notation::parse_line(line)
    }

    fn run_step(&mut self, step: &Step) {
        match step {
            Step::Node(step) => self.run_node_step(step),
            Step::Server(step) => self.run_server_step(step),
            Step::Client(step) => self.run_client_step(step),
            Step::Counter(step) => self.run_counter_step(step),
            Step::Discovery(step) => self.run_discovery_step(step),
            Step::Wait(span) => sleep(*span),
        }
    }
}

impl NodeScenario {
    fn run_node_step(&mut self, step: &NodeStep) {
        match step {
            NodeStep::Start => self.start_node(),
            NodeStep::ExpectReady => wait_until(|| self.node.answers_ping().then_some(())),
            NodeStep::Synchronize => self.node.expect_pong(),
            NodeStep::Pause => self.node.pause(),
            NodeStep::Resume => self.node.resume(),
            NodeStep::Reload => {
                self.write_configuration();
                self.node.signal("-HUP");
            }
            NodeStep::ReloadMalformed => {
                self.node.write_malformed_configuration();
                self.node.signal("-HUP");
            }
            NodeStep::MoveServices => self.move_services(),
            NodeStep::Terminate => self.node.signal("-TERM"),
            NodeStep::Kill { after } => {
                sleep(*after);
                self.node.signal("-KILL");
            }
            NodeStep::ExpectExit => {
                let status = self.node.wait_for_exit();
                assert!(status.success(), "{status}");
            }
            NodeStep::WaitDrainGrace => sleep(DRAIN_GRACE),
            NodeStep::ExpectLogged { text, is_there } => self.expect_logged(text, *is_there),
            _ => self.run_environment_step(step),
        }
    }

    /// Runs a step about the node's configuration or its system calls.
    fn run_environment_step(&mut self, step: &NodeStep) {
        match step {
            NodeStep::SetLimits(limits) => self.node.set_limits(*limits),
            NodeStep::SetDescriptorLimit { limit } => self.node.set_descriptor_limit(*limit),
            NodeStep::SetSetting { name, value } => self.node.change_setting(name, value),
            NodeStep::PinKnownEndpoints => {
                self.pinned_endpoints = Some(self.discovery.list_json());
            }
            NodeStep::InjectFaults => {
                self.fault_injector = Some(FaultInjector::create(&self.host.name()))
            }
            NodeStep::FailCalls {
                call,
                error_number,
                count,
            } => self
                .fault_injector()
                .fail_calls(*call, *error_number, *count),
            NodeStep::StepClock { seconds } => self.fault_injector().step_wall_clock(*seconds),
            NodeStep::LimitTransfers { bytes } => self.fault_injector().limit_transfers(*bytes),
            NodeStep::StallWrite { milliseconds } => {
                self.fault_injector().stall_writes(*milliseconds, 1)
            }
            other => unreachable!("{other:?} is run above"),
        }
    }

    fn fault_injector(&self) -> &FaultInjector {
        self.fault_injector
            .as_ref()
            .expect("'inject_faults' comes first")
    }

    fn start_node(&mut self) {
        self.write_configuration();
        let environment = self.fault_injector.as_ref().map(FaultInjector::environment);
        self.node.start(environment.unwrap_or_default());
    }

    /// Writes the configuration, with a counter and a discovery at addresses that it did not name before.
    fn write_configuration(&mut self) {
        let discovery = self.discovery.listen(&self.host);
        let counter = self.counter.listen(&self.host);
        let services = Services {
            discovery: discovery.address().to_string(),
            counter: counter.address().to_string(),
            known_endpoints: self.known_endpoints(),
        };
        self.node.write_configuration(&self.host, &services);
        self.service_listeners = vec![discovery, counter];
    }

    fn known_endpoints(&self) -> String {
        match &self.pinned_endpoints {
            Some(endpoints) => endpoints.clone(),
            None => self.discovery.list_json(),
        }
    }

    /// Moves the counter and discovery, and cuts the old ones off once the node has come to the new ones.
    fn move_services(&mut self) {
        for listener in &self.service_listeners {
            listener.close();
        }
        let mut old_connections = self.counter.take_connections();
        old_connections.append(&mut self.discovery.take_connections());
        self.write_configuration();
        self.node.signal("-HUP");
        wait_until(|| {
            let has_come = self.counter.has_connections() && self.discovery.has_connections();
            has_come.then_some(())
        });
        stand_ins::disconnect(&mut old_connections);
    }

    fn expect_logged(&self, text: &str, is_there: bool) {
        if is_there {
            let log = self.node.log();
            assert!(log.contains(text), "{log}");
            return;
        }
        wait_until(|| self.node.log().contains(text).then_some(()));
    }

    fn run_server_step(&mut self, step: &ServerStep) {
        let servers = &mut self.servers;
        match step {
            ServerStep::Start { servers: names } => {
                for name in names {
                    servers.start(name, &self.host, &self.discovery);
                }
            }
            ServerStep::StartFull { server } => {
                servers.start_full(server, &self.host, &self.discovery);
            }
            ServerStep::AcceptConnections { server } => servers.accept_connections(server),
            ServerStep::CloseListener { server } => servers.close_listener(server),
            ServerStep::ExpectConnecting { server } => {
                self.host.wait_for_connecting(&servers.address(server));
            }
            ServerStep::ExpectUnusedConnectionClosed { server } => {
                servers.expect_unused_connection_closed(server);
            }
            ServerStep::ExpectSameConnection { first, second } => {
                assert_eq!(servers.connection_of(first), servers.connection_of(second));
            }
            ServerStep::ExpectDifferentConnections { first, second } => {
                assert_ne!(servers.connection_of(first), servers.connection_of(second));
            }
            _ => self.run_request_step(step),
        }
    }

    /// Runs a step about a request that comes to an app server.
    fn run_request_step(&mut self, step: &ServerStep) {
        let servers = &mut self.servers;
        match step {
            ServerStep::ExpectRequest { server, request } => {
                servers.expect_request(server.as_deref(), request);
            }
            ServerStep::ExpectRequestNow { server, request } => {
                servers.expect_request_now(server, request);
            }
            ServerStep::ExpectNoRequest => servers.expect_no_request(),
            ServerStep::ExpectRemainingAtMost {
                request,
                milliseconds,
            } => {
                let remaining = servers.remaining_ms(request);
                assert!(remaining <= *milliseconds, "{remaining} ms are left");
            }
            ServerStep::Respond { request, reply } => {
                servers.send_bytes(request, &reply.to_resp());
            }
            ServerStep::SendBytes { request, bytes } => servers.send_bytes(request, bytes),
            ServerStep::Disconnect { request } => servers.disconnect(request),
            ServerStep::ExpectConnectionClosed { request } => {
                servers.expect_connection_closed(request);
            }
            other => unreachable!("{other:?} is run above"),
        }
    }

    fn run_client_step(&mut self, step: &ClientStep) {
        let clients = &mut self.clients;
        let node = self.node.address();
        match step {
            ClientStep::Connect { client } => {
                clients.connect(client, node);
            }
            ClientStep::ConnectBurst { count } => connect_burst(node, *count),
            ClientStep::Request { client, request } => clients.send_request(client, node, request),
            ClientStep::SendBytes { client, bytes } => {
                clients.send_bytes(client, node, bytes.as_bytes());
            }
            ClientStep::SendKib { client, kib } => {
                clients.send_bytes(client, node, &vec![b'x'; kib << 10]);
            }
            ClientStep::Receive {
                client,
                expected,
                is_there,
            } => {
                if *is_there {
                    clients.expect_something_received(client, node);
                }
                let received = clients.receive(client, node);
                assert!(expected.matches(&received), "got: {received:.60}");
            }
            ClientStep::ExpectNotReset { client } => clients.expect_not_reset(client, node),
            ClientStep::ShutDownSending { client } => clients.shut_down_sending(client, node),
            ClientStep::Disconnect { client } => clients.disconnect(client),
        }
    }

    fn run_counter_step(&mut self, step: &CounterStep) {
        match step {
            CounterStep::SetMode(mode) => self.counter.set_mode(*mode),
            CounterStep::Disconnect => self.counter.disconnect_all(),
            CounterStep::ExpectLeasesReleased => {
                wait_until(|| self.counter.newest_total_is_zero().then_some(()));
            }
        }
    }

    fn run_discovery_step(&mut self, step: &DiscoveryStep) {
        let discovery = &self.discovery;
        match step {
            DiscoveryStep::ChangeEndpoints(changes) => {
                for change in changes {
                    self.change_endpoint(change);
                }
            }
            DiscoveryStep::SetMode(mode) => discovery.set_mode(*mode),
            DiscoveryStep::Disconnect => discovery.disconnect_all(),
            DiscoveryStep::RejectCalls { count } => discovery.reject_next_calls(*count),
            DiscoveryStep::IgnoreCalls { count } => discovery.ignore_next_calls(*count),
            DiscoveryStep::IgnoreWatches { count } => discovery.ignore_next_watches(*count),
            DiscoveryStep::ScriptAnswer(answer) => discovery.script_answer(answer.clone()),
            DiscoveryStep::ExpectAbandonedCalls { count } => {
                wait_until(|| (discovery.abandoned_calls() >= *count).then_some(()));
            }
            DiscoveryStep::ExpectDeltaRequests { count } => {
                let request_lines = wait_until(|| {
                    let request_lines = discovery.request_lines();
                    (request_lines.len() >= *count).then_some(request_lines)
                });
                let is_for_whole_list = |line: &String| !line.contains("?after=");
                let whole_list = request_lines.into_iter().find(is_for_whole_list);
                assert_eq!(whole_list, None, "the whole list was asked for");
            }
        }
    }

    fn change_endpoint(&self, change: &EndpointChange) {
        let started_at = match change.started_at {
            StartTime::UnixMilliseconds(milliseconds) => u128::from(milliseconds),
            StartTime::Now => unix_milliseconds(),
        };
        let server = &change.server;
        let address = self.servers.address(server);
        self.discovery
            .enter(server, &address, change.state, started_at);
    }
}

fn unix_milliseconds() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.expect("a time after 1970").as_millis()
}

/// Looks again and again until there is something; panics where there is nothing in time.
fn wait_until<T>(mut look: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(start.elapsed() < TIMEOUT, "it did not happen in time");
        sleep(POLL_INTERVAL);
    }
}
