//! Who gets in: new connections, and who makes room for them.

use std::net::IpAddr;

use sableloom_types::{Span, Time};

use crate::Admission;
use crate::decisions::{Arrival, Release, Why};
use crate::spare::Spare;
use crate::state::{Conn, ConnId, KINDS, Kind, Stage};

/// The least number of places that a want of descriptors brings the limit down to.
const MIN_LIMIT: usize = 8;
/// While others close, a new connection has so long to say something: as long as closing takes.
const YOUNG: Span = Span(500_000);
/// Advice to those turned away is within these bounds.
const MIN_ADVICE: Span = Span(50_000);

impl Admission {
    /// A client has connected, and asks for a place.
    pub fn arrive(&mut self, now: Time, source: IpAddr) -> Arrival {
        if self.conns.len() < self.limit {
            self.full_since = None;
            return Arrival::Admitted(self.admit(now, source));
        }
        if let Some(victim) = self.victim(now, source) {
            return Arrival::MakeRoom(victim);
        }
        let since = *self.full_since.get_or_insert(now);
        let until = since.plus(self.bounds.patience);
        if now < until { Arrival::Wait(until) } else { Arrival::TurnAway(self.advice()) }
    }

    fn admit(&mut self, now: Time, source: IpAddr) -> ConnId {
        let id = ConnId(self.next);
        self.next += 1;
        let stage = Stage::Waits(Kind::Fresh);
        let conn = Conn {
            source,
            stage,
            since: now,
            begun: now,
            answers: 0,
            blocked: None,
            unread: false,
        };
        self.conns.insert(id, conn);
        self.count(source, 1);
        self.list(id, conn);
        id
    }

    /// Who makes room: what is closing; else the least valuable of a source that holds more than its
    /// even share, the new client's own if that is one; else the least valuable of all.
    fn victim(&self, now: Time, source: IpAddr) -> Option<ConnId> {
        let of = |spare: &Spare| {
            let closing = spare.closing.first().map(|(_, id)| *id);
            closing.or_else(|| spare.least(now, &self.habits, &KINDS).map(|(_, id)| id))
        };
        if let Some((_, id)) = self.spare.closing.first() {
            return Some(*id);
        }
        let own = self.holders.get(&source);
        let sources = self.holders.len() + usize::from(own.is_none());
        if sources > 1 {
            let even = (self.limit / sources).max(1);
            if let Some(own) = own.filter(|own| own.count >= even)
                && let Some(id) = of(&own.spare)
            {
                return Some(id);
            }
            for (count, greedy) in self.by_count.iter().rev() {
                if *count <= even {
                    break;
                }
                if let Some(id) = of(&self.holders[greedy].spare) {
                    return Some(id);
                }
            }
        }
        of(&self.spare)
    }

    fn advice(&self) -> Span {
        let advice = Span::from_micros_f64(self.busy_mean).max(MIN_ADVICE);
        advice.min(self.bounds.advice_most)
    }

    /// The system has no descriptor for a new connection: fewer places are used for a while. What
    /// is returned makes room.
    pub fn no_descriptor(&mut self, now: Time) -> Vec<Release> {
        let held = self.conns.len();
        let fewer = held - (held / 16).max(1).min(held);
        self.limit = self.limit.min(fewer.max(MIN_LIMIT));
        let mut releases = Vec::new();
        let winding_down = self.conns.values().any(|conn| conn.stage == Stage::Closing);
        for _ in self.limit..held {
            let Some((_, id)) = self.spare.least(now, &self.habits, &KINDS) else { break };
            // What closes gives its descriptor back only when it has wound down, and until then this
            // is asked again and again. Failure: all at rest were closed within that time, and after
            // them the one that had just come and not yet spoken.
            if winding_down && self.is_young(now, id) {
                break;
            }
            self.closing(now, id, false);
            releases.push(Release { id, why: Why::Room });
        }
        releases
    }

    fn is_young(&self, now: Time, id: ConnId) -> bool {
        self.conns.get(&id).is_some_and(|conn| {
            conn.stage == Stage::Waits(Kind::Fresh) && now.since(conn.since) < YOUNG
        })
    }
}
