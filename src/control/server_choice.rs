//! Which server a try goes to: the part of the servers that is used, cold ones, load and losses.

use super::*;

const SERVER_PRIOR: f64 = 2.0; // tries by which a server's losses lean on the route's
const ROUTE_PRIOR: f64 = 5.0; // tries by which a route's losses lean on none
const LOSS_STEPS: f64 = 2.0; // in which servers drawn are ranked, to the route's losses
const LEAST_LOSS: f64 = 0.05; // so much more than the route loses is no reason to rank
const DRAWS: u32 = 12; // of servers, before the list is looked through
const DEPARTED_FOR: Duration = ms(600_000); // so long what a list left out may come back as it was
const LISTED_LATE: Duration = ms(6000); // by which a list tells a start late, at the most
const LOOKED_THROUGH: usize = 256; // of all servers, where none of the own ones is able
const COLD_SHARE: f64 = 0.4; // of its budget: permits of two windows may arrive half a window late

/// A span in seconds; one second where none is stated.
fn seconds_or_one(span: Duration) -> f64 {
    Some(span.as_secs_f64())
        .filter(|span| *span > 0.0)
        .unwrap_or(1.0)
}

impl AdmissionController {
    /// News of the server list: the whole of it, or changes only. A list tells a server's start late, by
    /// `LISTED_LATE` at the most: one that the last list did not tell is no older than that, whatever the
    /// wall clock says. Harm: one that is told later still is ramped for longer.
    pub fn on_endpoint_update(&mut self, time: UpdateTiming, update: EndpointUpdate) {
        let (whole, lines) = match update {
            EndpointUpdate::Snapshot(lines) => (true, lines),
            EndpointUpdate::Delta(lines) => (false, lines),
        };
        if whole {
            let told: BTreeSet<&EndpointId> = lines.iter().map(|line| &line.id).collect();
            let left_out = self
                .servers
                .keys()
                .filter(|id| !told.contains(id))
                .cloned()
                .collect::<Vec<_>>();
            left_out.into_iter().for_each(|id| self.depart(id));
        }
        for listed in lines {
            let id = listed.id.clone();
            if !whole {
                self.place_on_ring(
                    &id,
                    self.servers.contains_key(&id),
                    listed.state != EndpointState::Removed,
                );
            }
            if listed.state == EndpointState::Removed {
                self.depart(id);
                continue;
            }
            let server = match self.servers.remove(&id) {
                Some(known) if known.listed.started_at == listed.started_at => {
                    Server { listed, ..known }
                }
                known => {
                    let salt = subset::ring_position(&id.0)
                        ^ listed.started_at.map_or(0, |at| at.0.as_millis() as u64);
                    let ramp = SlowStartPermits::new(self.settings.gateway_index, salt, self.now);
                    // Its age is asked of the wall clock once; from then on it is a span.
                    let most = time
                        .since_last_update
                        .map_or(Duration::MAX, |since| since + LISTED_LATE);
                    let age = listed
                        .started_at
                        .map(|at| time.unix_now.0.saturating_sub(at.0).min(most));
                    let born = age.map(|age| self.now.saturating_sub(age));
                    let before = self
                        .departed
                        .remove(&id)
                        .filter(|before| before.started == listed.started_at);
                    let born = before.map_or(born, |before| before.born);
                    Server::fresh(listed, born, known.map_or(0, |known| known.open), ramp)
                }
            };
            self.servers.insert(id, server);
        }
        if whole {
            self.ids = self.servers.keys().cloned().collect();
            self.ids
                .sort_by_cached_key(|id| subset::ring_position(&id.0));
        }
        self.choose();
    }

    /// A server is no longer listed.
    fn depart(&mut self, id: EndpointId) {
        let Some(server) = self.servers.remove(&id) else {
            return;
        };
        let gone = Departed {
            started: server.listed.started_at,
            born: server.born,
            at: self.now,
        };
        self.departed.insert(id, gone);
    }

    /// What has departed for so long that it will have started anew is forgotten.
    pub(super) fn forget_departed(&mut self) {
        self.departed
            .retain(|_, departed| self.now < departed.at + DEPARTED_FOR);
    }

    /// A change of one server on the ring: thousands are not sorted anew for it.
    fn place_on_ring(&mut self, id: &EndpointId, was_there: bool, is_there: bool) {
        if was_there == is_there {
            return;
        }
        let key = |id: &EndpointId| (subset::ring_position(&id.0), id.clone());
        match self.ids.binary_search_by_key(&key(id), key) {
            Ok(place) => drop(self.ids.remove(place)),
            Err(place) => self.ids.insert(place, id.clone()),
        }
    }

    /// The servers that this gateway uses: all that it can keep connections to warm and learn of, or a part.
    /// Harm: what befalls many servers of one gateway's part befalls it more; the others are then drawn too.
    pub(super) fn choose(&mut self) {
        let (idle, open) = (
            self.settings.limits.idle_timeout.as_secs_f64(),
            self.fleet.open,
        );
        let each = (self.fleet.room / self.own.len().max(1) as f64).min(ROOM);
        let width = subset::SubsetSize {
            attempt_rate: self.fleet.pace,
            idle_timeout: idle,
            in_flight: open,
            in_flight_each: each,
        }
        .of(self.ids.len());
        let width = if idle > 0.0 { width } else { self.ids.len() };
        let (index, all) = (self.settings.gateway_index, self.gateways() as u32);
        let window = subset::members(self.ids.len(), index, all, width);
        self.own = window.map(|place| self.ids[place].clone()).collect();
        let warm = self
            .own
            .iter()
            .filter(|id| self.warmth(&self.servers[*id]) >= 1.0)
            .count();
        self.fleet.warm = warm as f64;
    }

    /// A call for the server list failed or the subscription broke: it is asked for again.
    pub fn on_discovery_failure(&mut self) {
        self.at(self.now + ms(500), Box::new(|c, ()| c.port.subscribe(true)));
    }

    /// How much of its full work a server can do by now, by its age.
    pub(super) fn warmth(&self, server: &Server) -> f64 {
        let Some(start) = server.born else { return 1.0 };
        let (from, span) = (
            self.settings.rules.slow_start_floor,
            self.settings
                .rules
                .slow_start_window
                .as_secs_f64()
                .max(1e-9),
        );
        (from + (1.0 - from) * self.now.saturating_sub(start).as_secs_f64() / span).min(1.0)
    }

    /// This gateway's share of what a cold server may be sent by all; none for a warm one, or without such a
    /// rule. A warm one bears what warm ones were seen to do, and one API call after another of the usual
    /// length at the least. Harm: before it has seen any, a gateway sends cold servers next to nothing.
    pub(super) fn share(&self, server: &Server) -> Option<SlowStartBudget> {
        let (warmth, over) = (self.warmth(server), self.settings.rules.overload_window);
        let multiple = self.settings.rules.overload_factor;
        if warmth >= 1.0 || multiple <= 0.0 || over.is_zero() {
            return None;
        }
        let users = self.gateways() * self.own.len() as f64 / self.ids.len().max(1) as f64;
        // A few answers say little: the latency targets stand beside them, each as one more answer.
        let target = |route| seconds_or_one(self.settings.route(route).latency_target);
        let each = self
            .usual
            .iter()
            .map(|(route, usual)| usual.with_prior(target(route)));
        let usual = each.sum::<f64>() / self.usual.len() as f64;
        let seen = self.fleet.done.0 / self.fleet.warm.max(1.0) * users;
        let bears = seen.max(1.0 / if usual > 0.0 { usual } else { 1.0 });
        Some(SlowStartBudget::share_of(
            bears * warmth * multiple * COLD_SHARE,
            users,
            over,
        ))
    }

    /// Room for one more: the gateway's own limit, and for a cold server its share of the rule's budget.
    pub(super) fn has_room(&self, server: &Server) -> bool {
        let fair = self.fleet.room / self.own.len().max(1) as f64 * self.warmth(server);
        let permitted = self
            .share(server)
            .is_none_or(|share| server.ramp.allows_one(self.now, share));
        permitted && f64::from(server.open) < fair.max(1.0)
    }

    /// The share of a route's tries that is lost anywhere.
    pub(super) fn route_loss(&self, route: &RouteName) -> f64 {
        self.losses
            .get(route)
            .map_or(0.0, |known| known.estimate(self.now, 0.0, ROUTE_PRIOR))
    }

    /// The share of the route's tries that this server is likely to lose. It is kept by route, as a server
    /// may leave one unanswered and serve the others, and leans on what the route loses anywhere: where many
    /// servers are struck, one that is not known yet is less trusted than one that answers.
    pub(super) fn loss(&self, server: &Server, route: &RouteName, anywhere: f64) -> f64 {
        let known = server.losses.get(route);
        known.map_or(anywhere, |known| {
            known.estimate(self.now, anywhere, SERVER_PRIOR)
        })
    }

    /// Load against ability; a loss costs all that a queue can cost and more.
    pub(super) fn cost(&self, server: &Server, loss: f64) -> f64 {
        let able = server.listed.weight.max(0.1) * self.warmth(server);
        let kind = self
            .kinds
            .get(&server.listed.machine_type)
            .copied()
            .unwrap_or(1.0);
        let load = (f64::from(server.open) + 1.0) * kind * server.pace / able;
        load / (1.0 - loss.min(0.95)).powi(3)
    }

    /// Draws two servers that are able, looking through the whole list only where a few draws find fewer, and
    /// takes the one the node's own counts favour. With nothing open at both, as in a gateway of many, they
    /// say little: it goes by chance, in proportion, else all gateways crowd what looks a little better.
    pub(super) fn draw(
        &self,
        rng: &mut WyRand,
        able: &dyn Fn(&Server) -> bool,
        last: Option<&EndpointId>,
        route: &RouteName,
    ) -> Option<EndpointId> {
        let (some, fits) = (!self.own.is_empty(), |id: &&EndpointId| {
            Some(*id) != last && able(&self.servers[*id])
        });
        let drawn = (0..DRAWS)
            .filter(|_| some)
            .map(|_| &self.own[rng.generate_range(0..self.own.len())]);
        let mut found: Vec<&EndpointId> = drawn.filter(fits).collect();
        found.dedup();
        if found.len() < 2 {
            found = self.own.iter().filter(fits).collect();
            // Cold servers are shared out among those whose part they are.
            let others = |id: &&EndpointId| self.warmth(&self.servers[*id]) >= 1.0 && fits(id);
            if found.is_empty() && self.ids.len() > LOOKED_THROUGH {
                // Of thousands a few hundred by chance are as good as all.
                let drawn =
                    (0..LOOKED_THROUGH).map(|_| &self.ids[rng.generate_range(0..self.ids.len())]);
                found = drawn.filter(others).collect();
            }
            found = if found.is_empty() {
                self.ids.iter().filter(others).collect()
            } else {
                found
            };
            rng.shuffle(&mut found);
        }
        let anywhere = self.route_loss(route);
        let loss = |id: &EndpointId| self.loss(&self.servers[id], route, anywhere);
        found.sort_by_cached_key(|id| (loss(id) / (anywhere + LEAST_LOSS) * LOSS_STEPS) as u32);
        found.truncate(2);
        let again = || last.filter(|id| self.servers.get(*id).is_some_and(able));
        let [one, two] = found[..] else {
            return found.pop().or_else(again).cloned();
        };
        let cost = |id: &EndpointId| self.cost(&self.servers[id], loss(id));
        let (first, second) = (cost(one), cost(two));
        let alike = self.servers[one].open + self.servers[two].open == 0;
        let chance = if alike { rng.generate::<f64>() } else { 0.5 };
        Some(
            if first * chance <= second * (1.0 - chance) {
                one
            } else {
                two
            }
            .clone(),
        )
    }
}
