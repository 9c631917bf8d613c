//! Attempts on the network: over a new or an idle connection, to the server and back.

use sableloom_emulator::{NodeRequest, Phase, noise};
use sableloom_types::{AttemptResult, LoadReport, Outcome, RequestId, ServerId, Span};

use super::{Attempt, Chooser, DELAY_ACROSS_ZONES, DELAY_WITHIN_ZONE, Event, World};
use crate::case::{MS, S};
use crate::tally::End;

/// A connection that is not established within this time fails.
const CONNECT_TIMEOUT: Span = Span(120 * MS);
/// How long an idle connection may be reused.
const KEEPALIVE: Span = Span(15 * S);

impl World {
    pub(super) fn send(&mut self, id: usize, server: usize, timeout: Span) {
        let attempt = self.attempts.len();
        let request_state = &mut self.requests[id];
        let (balancer, index) = (request_state.balancer, request_state.attempts.len());
        let zone = self.balancers[balancer].zone;
        request_state.attempts.push(attempt);
        let server_state = &self.servers[server];
        let (server_generation, there) = (server_state.generation, server_state.zone);
        let (up, fallen) = (server_state.up, server_state.node.phase() != Phase::Up);
        let fresh = self.case.connections.is_some() && !self.take_idle_connection(balancer, server);
        self.attempts.push(Attempt {
            request: id,
            index,
            server,
            server_generation,
            sent: self.now,
            ended: None,
            fresh,
        });
        self.tally.attempts += 1;
        self.tally.connections += usize::from(fresh);
        let delay = self.one_way_delay(zone, there);
        if !up || self.is_partitioned(zone, there) {
            self.schedule_after(
                CONNECT_TIMEOUT.as_micros_f64(),
                Event::AttemptEnds { attempt, outcome: Outcome::ConnectFailed },
            );
        } else if fallen {
            self.schedule_after(
                2.0 * delay,
                Event::AttemptEnds { attempt, outcome: Outcome::ConnectFailed },
            );
        } else {
            // A new connection takes a round trip before the request can be sent.
            self.schedule_after(
                if fresh { 3.0 * delay } else { delay },
                Event::AttemptArrives(attempt),
            );
        }
        self.schedule_after(timeout.as_micros_f64(), Event::AttemptTimeout(attempt));
    }

    /// Takes an idle connection, if there is one.
    pub(super) fn take_idle_connection(&mut self, balancer: usize, server: usize) -> bool {
        let (generation, now) = (self.servers[server].generation, self.now);
        let Some((of, idle)) = self.idle.get_mut(&(balancer, server)) else { return false };
        if *of != generation {
            idle.clear();
        }
        let before = idle.len();
        idle.retain(|since| now.since(*since) < KEEPALIVE);
        (idle.len()..before).for_each(|_| self.servers[server].node.disconnect());
        idle.pop().is_some()
    }

    /// Releases the connection of an attempt: it becomes idle, or it is closed.
    pub(super) fn release_connection(&mut self, attempt: usize, answered: bool) {
        if self.case.connections.is_none() {
            return;
        }
        let Attempt { request, server, server_generation, .. } = self.attempts[attempt];
        if self.servers[server].generation != server_generation {
            return;
        }
        if answered {
            let balancer = self.requests[request].balancer;
            let (of, idle) = self.idle.entry((balancer, server)).or_default();
            if *of != server_generation {
                idle.clear();
            }
            *of = server_generation;
            idle.push(self.now);
        } else {
            self.servers[server].node.disconnect();
        }
    }

    pub(super) fn is_partitioned(&self, a: u32, b: u32) -> bool {
        a != b && (self.partitioned_zones.contains(&a) || self.partitioned_zones.contains(&b))
    }

    pub(super) fn one_way_delay(&mut self, a: u32, b: u32) -> f64 {
        (if a == b { DELAY_WITHIN_ZONE } else { DELAY_ACROSS_ZONES })
            * (0.9 + 0.2 * self.rng.rand_float())
    }

    pub(super) fn attempt_arrives(&mut self, attempt: usize) {
        let Attempt { request, server, server_generation, fresh, ended, .. } =
            self.attempts[attempt];
        let zone = self.balancers[self.requests[request].balancer].zone;
        let server_state = &self.servers[server];
        if !server_state.up
            || server_state.generation != server_generation
            || self.is_partitioned(zone, server_state.zone)
        {
            // The server became unreachable while the request was on its way.
            let outcome = Outcome::Reset;
            return self.schedule_after(DELAY_WITHIN_ZONE, Event::AttemptEnds { attempt, outcome });
        }
        if fresh {
            let mut taken = false;
            self.with_node(server, |node, now, out| taken = node.connect(now, out));
            if !taken {
                let back = self.one_way_delay(zone, self.servers[server].zone);
                self.tally.connections_rejected += 1;
                self.attempts[attempt].server_generation = u32::MAX;
                return self.schedule_after(
                    back,
                    Event::AttemptEnds { attempt, outcome: Outcome::Rejected },
                );
            }
            if ended.is_some() {
                // Its balancer gave up before the request arrived.
                return self.with_node(server, |node, _, _| node.disconnect());
            }
        }
        let request_state = &self.requests[request];
        let (class, wait, work) = (request_state.class, request_state.wait, request_state.work);
        let work = work * noise(&mut self.rng, 0.3);
        let node_request = NodeRequest {
            id: request,
            attempt: attempt as u64,
            class,
            work,
            wait,
            key: None,
            effect: class == 1,
            draw: self.rng.rand_float(),
        };
        self.with_node(server, |node, now, out| node.arrive(now, node_request, out));
    }

    pub(super) fn attempt_ends(&mut self, attempt: usize, outcome: Outcome) {
        let a = &mut self.attempts[attempt];
        if a.ended.is_some() {
            return;
        }
        a.ended = Some(outcome);
        let Attempt { request, index, server, server_generation, sent, .. } = *a;
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Rejected => {
                self.release_connection(attempt, true)
            }
            Outcome::Timeout | Outcome::Cancelled
                if self.servers[server].generation == server_generation =>
            {
                self.leave(attempt)
            }
            _ => {}
        }
        let request_state = &self.requests[request];
        let over = request_state.end.is_some();
        *self.tally.outcomes.entry(format!("{outcome:?}")).or_default() += 1;
        if outcome == Outcome::Ok && !over {
            let in_time = self.now.since(request_state.first)
                <= self.settings.classes[request_state.class].latency_objective;
            self.finish_request(request, if in_time { End::Served } else { End::Late });
        }
        let request_state = &self.requests[request];
        let balancer = request_state.balancer;
        if self.chooser == Chooser::Sableloom {
            let answer = AttemptResult {
                request: RequestId(request as u64),
                attempt: index,
                server: ServerId(server as u32),
                outcome,
                latency: self.now.since(sent),
                ends_request: outcome == Outcome::Ok,
                report: LoadReport::default(),
            };
            self.notify(balancer, |m, now, out| m.attempt_ended(now, answer, out));
        } else if request_state.end.is_none() {
            let again = request_state.class == 0 || outcome.not_executed();
            if again { self.choose(request) } else { self.finish_request(request, End::Failed) }
        }
    }

    /// A balancer has given up an attempt and closed its connection.
    pub(super) fn leave(&mut self, attempt: usize) {
        self.release_connection(attempt, false);
        let server = self.attempts[attempt].server;
        self.with_node(server, |node, now, out| node.client_left(now, attempt as u64, out));
    }
}
