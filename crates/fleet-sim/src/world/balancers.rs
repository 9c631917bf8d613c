//! The balancers: each has a policy of its own and receives changes of the list with a delay. Its
//! actions are checked against the rules and carried out.

use std::rc::Rc;

use sableloom_policy::Balancer;
use sableloom_types::{
    Action, Endpoint, EndpointStatus, ListKind, Outcome, PolicySettings, ServerId, Time,
};

use super::{Attempt, Chooser, Event, Server, World};
use crate::case::MS;
use crate::tally::End;

impl World {
    pub(super) fn list(&self) -> Rc<Vec<Endpoint>> {
        let member = |(i, p): (usize, &Server)| Endpoint {
            id: ServerId(i as u32),
            name_hash: i as u64 * 7919,
            zone: p.zone,
            machine_type: p.kind,
            cell: 0,
            status: p.status,
            weight: 1.0,
            started: p.started,
        };
        let listed =
            self.servers.iter().enumerate().filter(|(_, p)| p.status != EndpointStatus::Gone);
        Rc::new(listed.map(member).collect())
    }

    pub(super) fn start_balancer(&mut self, balancer: usize, list: Rc<Vec<Endpoint>>) {
        let seed = self.rng.rand_u64();
        let front = &mut self.balancers[balancer];
        front.server_list = list.clone();
        if self.chooser != Chooser::Sableloom {
            return;
        }
        let settings = PolicySettings { zone: front.zone, ..self.settings.clone() };
        let mut policy = Balancer::new(settings, seed, self.now).expect("settings are sound");
        policy.start(self.now, &mut self.actions);
        policy.update_endpoints(self.now, ListKind::Full, &list, &mut self.actions);
        front.policy = Some(policy);
        self.apply_actions(balancer);
    }

    /// Sends the list to all balancers, to each with a delay of its own.
    pub(super) fn publish(&mut self) {
        let list = self.list();
        for balancer in 0..self.balancers.len() {
            let late = self.rng.rand_float() * self.case.late_ms as f64 * MS as f64;
            self.schedule_after(late, Event::ListArrives { balancer, list: list.clone() });
        }
    }

    pub(super) fn notify(
        &mut self,
        balancer: usize,
        what: impl FnOnce(&mut Balancer, Time, &mut Vec<Action>),
    ) {
        if let Some(policy) = self.balancers[balancer].policy.as_mut() {
            what(policy, self.now, &mut self.actions);
        }
        self.apply_actions(balancer);
    }

    pub(super) fn apply_actions(&mut self, balancer: usize) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Forward { request, server, timeout } => {
                    let id = request.0 as usize;
                    self.check_send(id, server.0 as usize);
                    self.send(id, server.0 as usize, timeout);
                }
                Action::Reject { request, .. } => {
                    let id = request.0 as usize;
                    if self.requests[id].class == 1 && self.may_have_run(id) {
                        self.tally.broken.push(format!("refused {id}, which may have run"));
                    }
                    self.finish_request(id, End::Rejected);
                }
                Action::Fail { request } => self.finish_request(request.0 as usize, End::Failed),
                Action::SetTimer { token, at } => {
                    let generation = self.balancers[balancer].generation;
                    self.schedule_at(at, Event::Timer { balancer, generation, token });
                }
                Action::Cancel { request, attempt } => {
                    let attempt = self.requests[request.0 as usize].attempts[attempt];
                    self.schedule_after(
                        0.0,
                        Event::AttemptEnds { attempt, outcome: Outcome::Cancelled },
                    );
                }
                Action::CheckHealth { .. } | Action::Subscribe => {}
            }
        }
    }

    pub(super) fn may_have_run(&self, id: usize) -> bool {
        let ran = |a: &usize| !self.attempts[*a].ended.is_some_and(Outcome::not_executed);
        self.requests[id].attempts.iter().any(ran)
    }

    pub(super) fn check_send(&mut self, id: usize, server: usize) {
        if self.requests[id].class == 1 && self.may_have_run(id) {
            self.tally.broken.push(format!("unsafe request {id} sent again"));
        }
        if self.requests[id].end.is_some() {
            self.tally.broken.push(format!("request {id} sent on after its end"));
        }
        let server_list = &self.balancers[self.requests[id].balancer].server_list;
        let live = |m: &Endpoint| m.id.0 as usize == server && m.status == EndpointStatus::Live;
        if !server_list.iter().any(live) {
            self.tally.broken.push(format!("server {server} got {id}, and was withdrawn"));
        }
    }

    pub(super) fn kill_balancer(&mut self, balancer: usize) {
        for id in 0..self.requests.len() {
            if self.requests[id].balancer == balancer && self.requests[id].end.is_none() {
                self.finish_request(id, End::Failed);
                for attempt in self.requests[id].attempts.clone() {
                    if self.attempts[attempt].ended.is_none() {
                        self.attempts[attempt].ended = Some(Outcome::Superseded);
                        let Attempt { server, server_generation, .. } = self.attempts[attempt];
                        if self.servers[server].generation == server_generation {
                            self.leave(attempt);
                        }
                    }
                }
            }
        }
        for server in 0..self.servers.len() {
            let Some((generation, idle)) = self.idle.remove(&(balancer, server)) else { continue };
            if generation == self.servers[server].generation {
                idle.iter().for_each(|_| self.servers[server].node.disconnect());
            }
        }
        self.balancers[balancer].generation += 1;
        let list = self.balancers[balancer].server_list.clone();
        self.start_balancer(balancer, list);
    }
}
