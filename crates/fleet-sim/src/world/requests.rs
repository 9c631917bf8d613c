//! Requests: their arrivals, the baselines that choose servers for them, their ends and retries.

use sableloom_emulator::{Phase, noise};
use sableloom_types::{EndpointStatus, Request, RequestId, Span, Time};

use super::{BalancerSlot, Chooser, DELAY_ACROSS_ZONES, Event, RequestState, World};
use crate::case::{Clients, MS};
use crate::settings::{SAFE_SHARE, WORK};
use crate::tally::End;

impl World {
    pub(super) fn arrive(&mut self, end: Time) {
        if self.now < end {
            let gap = -(self.rng.rand_float().max(1e-12)).ln() / (self.full_rate * self.load);
            self.schedule_after(gap, Event::Arrive);
        } else {
            return;
        }
        let class = usize::from(self.rng.rand_float() >= SAFE_SHARE);
        let balancer = self.pick_balancer(None);
        let work = WORK[class].0 * noise(&mut self.rng, 0.5);
        self.submit(balancer, class, work, self.now, 0);
    }

    /// Picks a balancer for a client by its traffic weight, within a zone if one is given.
    pub(super) fn pick_balancer(&mut self, zone: Option<u32>) -> usize {
        let weight = |f: &BalancerSlot| {
            if zone.is_none_or(|zone| zone == f.zone) { f.traffic_weight } else { 0.0 }
        };
        let mut draw = self.rng.rand_float() * self.balancers.iter().map(weight).sum::<f64>();
        let last = self.balancers.len() - 1;
        let balancer = (0..last).find(|&b| {
            draw -= weight(&self.balancers[b]);
            draw < 0.0
        });
        balancer.unwrap_or(last)
    }

    pub(super) fn submit(
        &mut self,
        balancer: usize,
        class: usize,
        work: f64,
        first: Time,
        time: u32,
    ) {
        let id = self.requests.len();
        let deadline = self.now.plus(self.settings.classes[class].deadline);
        self.requests.push(RequestState {
            balancer,
            class,
            arrived: self.now,
            work,
            wait: Span::from_micros_f64(WORK[class].1),
            attempts: Vec::new(),
            end: None,
            first,
            time,
        });
        match self.chooser {
            Chooser::Sableloom => {
                let request =
                    Request { id: RequestId(id as u64), class, tenant: 0, key: None, deadline };
                self.notify(balancer, |m, now, out| m.request_arrived(now, request, out));
            }
            _ => self.choose(id),
        }
    }

    /// For the baselines: sends the request to a server, or ends it.
    pub(super) fn choose(&mut self, id: usize) {
        let request_state = &self.requests[id];
        let aim_at = request_state
            .arrived
            .plus(self.settings.classes[request_state.class].latency_objective);
        let left = aim_at.since(self.now);
        if left.0 <= 0 || request_state.attempts.len() >= self.settings.limits.max_attempts {
            return self.finish_request(id, End::Failed);
        }
        let server = match self.chooser {
            Chooser::Random => {
                let list = self.balancers[request_state.balancer].server_list.clone();
                let live: Vec<_> =
                    list.iter().filter(|m| m.status == EndpointStatus::Live).collect();
                let draw = self.rng.rand_float() * live.len() as f64;
                live.get(draw as usize).map(|m| m.id.0 as usize)
            }
            _ => self.fastest_server(id, left),
        };
        match server {
            Some(server) => self.send(id, server, left),
            None => self.finish_request(id, End::Rejected),
        }
    }

    /// The server that would answer first, if that is in time.
    pub(super) fn fastest_server(&mut self, id: usize, left: Span) -> Option<usize> {
        let (now, request_state) = (self.now, &self.requests[id]);
        let zone = self.balancers[request_state.balancer].zone;
        let mut best: Option<(usize, f64)> = None;
        for (i, p) in self.servers.iter().enumerate() {
            let there = p.up && p.node.phase() == Phase::Up;
            let seen =
                p.status == EndpointStatus::Live && there && !self.is_partitioned(zone, p.zone);
            let fault = p.node.fault(request_state.class);
            if !seen || fault.failing > 0.2 {
                continue;
            }
            let speed = p.node.profile().capacity.speed * p.node.capacity_share(now) / fault.slower;
            let crowd =
                ((p.node.occupancy() + 1) as f64 / p.node.profile().capacity.cores).max(1.0);
            let takes = WORK[request_state.class].0 * crowd / speed
                + request_state.wait.as_micros_f64()
                + 2.0 * DELAY_ACROSS_ZONES;
            if best.is_none_or(|(_, t)| takes < t) {
                best = Some((i, takes));
            }
        }
        best.filter(|&(_, takes)| takes < left.as_micros_f64() * 0.9).map(|(i, _)| i)
    }

    pub(super) fn finish_request(&mut self, id: usize, end: End) {
        let request_state = &mut self.requests[id];
        if request_state.end.is_some() {
            self.tally.broken.push(format!("a second final answer for request {id}"));
            return;
        }
        request_state.end = Some(end);
        let (class, first, time) = (request_state.class, request_state.first, request_state.time);
        let Clients { retries, retry_after_ms } = self.case.clients;
        // A refusal promises that a retry is harmless; a failure does so only for safe requests.
        let harmless = end == End::Rejected || (end == End::Failed && class == 0);
        if harmless && time < retries {
            let (least, most) = (retry_after_ms.0 * MS, retry_after_ms.1 * MS);
            let wait = least as f64 + (most - least) as f64 * self.rng.rand_float();
            self.schedule_after(wait, Event::Retry(id));
            return;
        }
        let priority_weight = self.settings.classes[class].priority_weight;
        self.tally.count(first, class, priority_weight, end);
    }
}
