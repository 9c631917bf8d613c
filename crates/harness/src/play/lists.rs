//! The lists of servers that the balancers read: their content, and when each balancer gets a change.

use std::cmp::Reverse;
use std::time::{Duration, Instant, SystemTime};

use sableloom_rehearsal::{Drain, MS};
use sableloom_stand_ins::{FaultMode, Member};

use super::{Balancer, Play};
use crate::site::{DRAIN, Listed};

impl Play<'_> {
    pub(super) fn write_list(&mut self, b: usize) -> std::io::Result<()> {
        let now = self.now();
        let zones = &self.script.fleet.zones;
        let mut listed = Vec::new();
        for (n, truth) in self.registry.iter().enumerate() {
            let out = truth.drains || !truth.listed;
            let drain = self.drains.get(&(b, n)).copied();
            match (out, drain) {
                // A truncated file announces nothing.
                _ if self.balancers[b].list_truncated => {}
                (true, None) => {
                    self.drains.insert((b, n), now + DRAIN.as_micros() as i64);
                }
                (false, Some(from)) => {
                    self.drains.remove(&(b, n));
                    self.facts.drains.push(Drain { balancer: b, node: n, from, to: now });
                }
                _ => {}
            }
            if truth.listed {
                listed.push(Listed {
                    name: format!("n{}", n + 1),
                    address: self.links[b][n].address(),
                    zone: zones.get(self.script.zone(n)).cloned(),
                    started: truth.started,
                    drains: truth.drains,
                });
            }
        }
        let Balancer { folder, clock_offset, list_truncated, agent, .. } = &self.balancers[b];
        let Some((agent, _)) = agent else {
            return folder.list(&listed, *clock_offset, *list_truncated);
        };
        let unix = |at: SystemTime| at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let member = |node: &Listed| Member {
            id: node.name.clone(),
            address: node.address,
            zone: node.zone.clone().unwrap_or("a".to_string()),
            drains: node.drains,
            started_ms: node
                .started
                .map_or(0, |at| unix(at).as_millis() as i64 + clock_offset / MS),
        };
        agent.set_fault_mode(if *list_truncated {
            FaultMode::TruncatedAnswers
        } else {
            FaultMode::None
        });
        agent.set(&listed.iter().map(member).collect::<Vec<_>>());
        Ok(())
    }

    /// The registry has changed: schedules the update of each balancer's list.
    pub(super) fn publish(&mut self) {
        for b in 0..self.balancers.len() {
            let (least, most) = self.balancers[b].list_delay;
            let late = least + ((most - least) as f64 * self.rng.rand_float()) as i64;
            let due = Instant::now() + Duration::from_micros(late as u64);
            self.lists.push(Reverse((due, b)));
        }
    }

    pub(super) fn lists_due(&mut self) {
        while let Some(Reverse((due, b))) = self.lists.peek().copied() {
            if due > Instant::now() {
                return;
            }
            self.lists.pop();
            if !self.balancers[b].list_held_back {
                self.list_now(b);
            }
        }
    }

    pub(super) fn list_now(&mut self, b: usize) {
        if let Err(e) = self.write_list(b) {
            self.notes.push(format!("b{}: its list: {e}", b + 1));
        }
    }
}
