//! Validates an experiment: every number is within its range, and names refer to things that exist.

use super::config::{Idempotency, MachineTypeConfig, PlanConfig, RouteConfig};
use super::fault::{Fault, FaultKind};
use super::Experiment;
use std::fmt;

/// Maximum length of the name of a route, plan, machine type or variant.
const MAX_NAME_BYTES: usize = 40;

/// Characters besides letters and digits that are allowed in a name that is sent over the wire.
const WIRE_NAME_PUNCTUATION: &str = "-_";

/// Characters besides letters and digits that are allowed in a variant's name, which is only displayed.
const VARIANT_NAME_PUNCTUATION: &str = "-_ ";

/// A problem of an experiment.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Problem {
    /// The field's path from the root of the file: names and indices, separated by dots.
    pub path: String,
    /// What is wrong and what was expected.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{}: {}", self.path, self.message)
    }
}

/// A value with the smallest and the largest that is allowed, both inclusive.
struct Bounded {
    value: f64,
    min: f64,
    max: f64,
}

fn bounded(value: f64, min: f64, max: f64) -> Bounded {
    Bounded { value, min, max }
}

/// A share, which ranges from 0 to 1.
fn share(value: f64) -> Bounded {
    bounded(value, 0.0, 1.0)
}

/// A count, compared as a floating-point number.
fn count(value: usize, min: f64, max: f64) -> Bounded {
    bounded(value as f64, min, max)
}

/// Finds all problems of an experiment.
pub(super) fn find_problems(experiment: &Experiment) -> Vec<Problem> {
    let mut validator = Validator {
        experiment,
        problems: Vec::new(),
    };
    validator.check_run();
    validator.check_fleet();
    validator.check_platform();
    validator.check_load();
    for (index, machine_type) in experiment.fleet.machine_types.iter().enumerate() {
        validator.check_machine_type(index, machine_type);
    }
    for (index, route) in experiment.routes.iter().enumerate() {
        validator.check_route(index, route);
    }
    for (index, plan) in experiment.plans.iter().enumerate() {
        validator.check_plan(index, plan);
    }
    for (index, fault) in experiment.faults.iter().enumerate() {
        validator.check_fault_ranges(index, fault);
    }
    validator.check_all_names();
    for (index, fault) in experiment.faults.iter().enumerate() {
        validator.check_fault_target(index, fault);
    }
    validator.problems
}

struct Validator<'a> {
    experiment: &'a Experiment,
    problems: Vec<Problem>,
}

impl Validator<'_> {
    fn add(&mut self, path: String, message: String) {
        self.problems.push(Problem { path, message });
    }

    /// Checks the ranges of a section's fields, which are given by their names in the file.
    fn check_fields<const N: usize>(&mut self, section: &str, fields: [(&str, Bounded); N]) {
        for (field, Bounded { value, min, max }) in fields {
            if !(min..=max).contains(&value) {
                let message = format!("expected {min} to {max}, found {value}");
                self.add(format!("{section}{field}"), message);
            }
        }
    }

    fn check_run(&mut self) {
        let Experiment {
            seconds,
            warm_up,
            seeds,
            ..
        } = self.experiment;
        let max_warm_up = (seconds - 1.0).max(0.0);
        self.check_fields(
            "",
            [
                ("seconds", bounded(*seconds, 1.0, 86_400.0)),
                ("warm_up", bounded(*warm_up, 0.0, max_warm_up)),
                ("seeds", count(seeds.len(), 1.0, 1000.0)),
            ],
        );
    }

    fn check_fleet(&mut self) {
        let fleet = &self.experiment.fleet;
        let max_attempts = f64::from(fleet.max_attempts);
        self.check_fields(
            "fleet.",
            [
                ("gateways", count(fleet.gateways, 1.0, 2000.0)),
                ("servers", count(fleet.servers, 1.0, 5000.0)),
                ("zones", count(fleet.zones, 1.0, 50.0)),
                ("cells", count(fleet.cells as usize, 1.0, 1000.0)),
                ("kinds", count(fleet.machine_types.len(), 1.0, 50.0)),
                ("queue", count(fleet.queue_capacity, 0.0, 1e6)),
                ("connections", count(fleet.max_connections, 1.0, 1e6)),
                ("handshake_ms", bounded(fleet.handshake_ms, 0.0, 1000.0)),
                ("idle_close", bounded(fleet.idle_timeout, 0.0, 3600.0)),
                ("cold_from", bounded(fleet.slow_start_capacity, 0.01, 1.0)),
                ("cold", bounded(fleet.slow_start, 0.0, 600.0)),
                ("fall_multiple", bounded(fleet.overload_factor, 1.0, 1e6)),
                ("overload_for", bounded(fleet.overload_for, 0.05, 60.0)),
                (
                    "report_every",
                    bounded(fleet.load_report_interval, 0.0, 60.0),
                ),
                ("max_tries", bounded(max_attempts, 1.0, 20.0)),
                ("drain_grace", bounded(fleet.drain_grace, 0.05, 60.0)),
                (
                    "connect_timeout",
                    bounded(fleet.connect_timeout, 0.01, 10.0),
                ),
                ("memory_mb", count(fleet.memory_mb, 4.0, 65_536.0)),
                ("sockets", count(fleet.sockets, 40.0, 65_536.0)),
            ],
        );
    }

    fn check_platform(&mut self) {
        let counter = &self.experiment.counter;
        self.check_fields(
            "counter.",
            [
                ("parts", count(counter.shards, 1.0, 64.0)),
                ("bears", bounded(counter.capacity, 1.0, 1e7)),
                ("latency_ms", bounded(counter.latency_ms, 0.0, 1000.0)),
                ("timeout_ms", bounded(counter.timeout_ms, 1.0, 60_000.0)),
                ("queue", count(counter.queue_capacity, 1.0, 1e7)),
            ],
        );
        let max_delay = self.experiment.discovery.max_delay;
        self.check_fields("discovery.", [("late", bounded(max_delay, 0.0, 60.0))]);
        let network = &self.experiment.network;
        let datagram_delay = network.datagram_max_delay_ms;
        self.check_fields(
            "network.",
            [
                ("near_ms", bounded(network.in_zone_delay_ms, 0.0, 1000.0)),
                ("far_ms", bounded(network.cross_zone_delay_ms, 0.0, 1000.0)),
                ("lost", share(network.datagram_loss)),
                ("peer_late_ms", bounded(datagram_delay, 0.0, 10_000.0)),
                ("peer_rate", bounded(network.datagram_rate, 0.0, 1e6)),
            ],
        );
    }

    fn check_load(&mut self) {
        let Experiment {
            routes,
            plans,
            load,
            fleet,
            ..
        } = self.experiment;
        self.check_fields(
            "",
            [
                ("routes", count(routes.len(), 1.0, 100.0)),
                ("plans", count(plans.len(), 1.0, 100.0)),
            ],
        );
        let gateways = fleet.gateways as f64;
        let max_retries = f64::from(load.max_retries);
        self.check_fields(
            "load.",
            [
                ("calls", bounded(load.request_rate, 0.0, 1e6)),
                ("use_usual", bounded(load.typical_utilization, 0.01, 1.0)),
                ("greedy_share", share(load.greedy_share)),
                ("greedy_factor", bounded(load.greedy_factor, 1.0, 100.0)),
                ("spread", count(load.gateways_per_account, 1.0, gateways)),
                ("shift_every", bounded(load.shift_interval, 0.0, 86_400.0)),
                ("units_top", bounded(f64::from(load.max_units), 1.0, 1000.0)),
                ("retries", bounded(max_retries, 0.0, 100.0)),
                ("retry_wait", bounded(load.retry_delay, 0.0, 600.0)),
                ("heeds", share(load.retry_after_compliance)),
                ("patience", bounded(load.patience, 0.05, 1.0)),
                (
                    "front_notices",
                    bounded(load.front_detection_delay, 0.0, 60.0),
                ),
                ("scale", bounded(load.replay_scale, 0.01, 1000.0)),
            ],
        );
    }

    fn check_machine_type(&mut self, index: usize, machine_type: &MachineTypeConfig) {
        self.check_fields(
            &format!("fleet.kinds.{index}."),
            [
                ("share", bounded(machine_type.share, 0.0, 1e6)),
                ("cores", count(machine_type.cores, 1.0, 1024.0)),
                ("speed", bounded(machine_type.speed, 0.01, 100.0)),
            ],
        );
    }

    fn check_route(&mut self, index: usize, route: &RouteConfig) {
        let min_window = if route.idempotency == Idempotency::Keyed {
            0.01
        } else {
            0.0
        };
        let timeout = route.client_timeout;
        self.check_fields(
            &format!("routes.{index}."),
            [
                ("share", bounded(route.share, 0.0, 1e6)),
                ("work_ms", bounded(route.work_ms, 0.0, 600_000.0)),
                ("client_timeout", bounded(timeout, 0.01, 600.0)),
                (
                    "latency_target",
                    bounded(route.latency_target, 0.001, timeout),
                ),
                ("billed_value", bounded(route.billed_value, 0.0, 1e6)),
                ("late_worth", share(route.late_value_ratio)),
                (
                    "memory",
                    bounded(route.deduplication_window, min_window, 3600.0),
                ),
            ],
        );
    }

    fn check_plan(&mut self, index: usize, plan: &PlanConfig) {
        let max_units = f64::from(self.experiment.load.max_units);
        let has_quota = plan.rate > 0.0;
        let has_ceiling = plan.ceiling_rate > 0.0;
        let min_burst = if has_quota { max_units } else { 0.0 };
        let min_ceiling_rate = if has_ceiling { plan.rate } else { 0.0 };
        let min_ceiling_burst = if has_ceiling { max_units } else { 0.0 };
        self.check_fields(
            &format!("plans.{index}."),
            [
                ("share", bounded(plan.share, 0.0, 1e6)),
                ("rate", bounded(plan.rate, 0.0, 1e9)),
                ("burst", bounded(plan.burst, min_burst, 1e9)),
                ("cap", bounded(plan.concurrency_limit, 0.0, 1e6)),
                ("price", bounded(plan.price, 0.0, 1e6)),
                ("over_cost", bounded(plan.over_quota_cost, 0.0, 100.0)),
                (
                    "ceiling_rate",
                    bounded(plan.ceiling_rate, min_ceiling_rate, 1e9),
                ),
                (
                    "ceiling_burst",
                    bounded(plan.ceiling_burst, min_ceiling_burst, 1e9),
                ),
                ("ceiling_slack", share(plan.ceiling_slack)),
            ],
        );
    }

    fn check_fault_ranges(&mut self, index: usize, fault: &Fault) {
        let run_seconds = self.experiment.seconds;
        let last_zone = self.experiment.fleet.zones as f64 - 1.0;
        self.check_fields(
            &format!("troubles.{index}."),
            [
                ("at", bounded(fault.starts_at, 0.0, run_seconds)),
                ("for", bounded(fault.duration, 0.0, run_seconds)),
                ("share", share(fault.share)),
                ("factor", bounded(fault.factor, 0.0, 1000.0)),
                ("zone", count(fault.zone, 0.0, last_zone)),
            ],
        );
    }

    fn check_all_names(&mut self) {
        let Experiment {
            routes,
            plans,
            fleet,
            variants,
            ..
        } = self.experiment;
        let routes = names(routes, |route| &route.name);
        let plans = names(plans, |plan| &plan.name);
        let machine_types = names(&fleet.machine_types, |machine_type| &machine_type.name);
        let variants = names(variants, |variant| &variant.name);
        self.check_names("routes", &routes, WIRE_NAME_PUNCTUATION);
        self.check_names("plans", &plans, WIRE_NAME_PUNCTUATION);
        self.check_names("fleet.kinds", &machine_types, WIRE_NAME_PUNCTUATION);
        self.check_names("variants", &variants, VARIANT_NAME_PUNCTUATION);
    }

    fn check_names(&mut self, list: &str, names: &[&str], punctuation: &str) {
        for (index, name) in names.iter().enumerate() {
            let path = format!("{list}.{index}.name");
            if !is_plain_name(name, punctuation) {
                let message = format!(
                    "expected 1 to {MAX_NAME_BYTES} letters, digits or any of '{punctuation}', found '{name}'"
                );
                self.add(path.clone(), message);
            }
            if names[..index].contains(name) {
                self.add(path, format!("expected unique names, found '{name}' again"));
            }
        }
    }

    /// Checks that the route and the plan of a fault exist, and that kinds that need one name it.
    fn check_fault_target(&mut self, index: usize, fault: &Fault) {
        let path = format!("troubles.{index}");
        let Experiment { routes, plans, .. } = self.experiment;
        let routes = names(routes, |route| &route.name);
        let plans = names(plans, |plan| &plan.name);
        self.check_known(&path, "route", fault.route.as_deref(), &routes);
        self.check_known(&path, "plan", fault.plan.as_deref(), &plans);
        if fault.kind == FaultKind::RouteUnanswered && fault.route.is_none() {
            let message = "the field 'route' is missing; expected the route to be left unanswered";
            self.add(path.clone(), message.to_string());
        }
        if fault.kind == FaultKind::PlanBurst && fault.plan.is_none() {
            let message = "the field 'plan' is missing; expected the plan whose load bursts";
            self.add(path, message.to_string());
        }
    }

    fn check_known(&mut self, path: &str, field: &str, name: Option<&str>, known: &[&str]) {
        let Some(name) = name.filter(|name| !known.contains(name)) else {
            return;
        };
        let message = format!(
            "no {field} is named '{name}'; there are {}",
            known.join(", ")
        );
        self.add(format!("{path}.{field}"), message);
    }
}

fn names<T>(items: &[T], name: impl Fn(&T) -> &String) -> Vec<&str> {
    items.iter().map(|item| name(item).as_str()).collect()
}

fn is_plain_name(name: &str, punctuation: &str) -> bool {
    let is_plain = |letter: char| letter.is_ascii_alphanumeric() || punctuation.contains(letter);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_plain)
}
