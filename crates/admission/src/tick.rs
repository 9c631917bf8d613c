//! What passes with time: rates, connections that have waited too long, room for new clients.

use sableloom_types::{Span, Time};

use crate::Admission;
use crate::decisions::{Release, Why};
use crate::state::{KINDS, Kind, Stage};

/// How often [`Admission::tick`] is to be called.
pub const TICK: Span = Span(250_000);
/// What was seen so long ago counts about a third: long enough to know rare kinds, short enough
/// that a new crowd is known within some seconds.
const MEMORY_S: f64 = 10.0;
/// How fast the rate of new clients follows.
const RATE_S: f64 = 1.0;
/// Places kept free for new clients: as many as come in this time,
const HEADROOM_S: f64 = 0.25;
/// within these shares of the places that clients can hold. Less than an eighth is used up by one
/// burst; more than half would close what honest clients keep open on a day with many new ones.
const MIN_HEADROOM_SHARE: f64 = 0.125;
const MAX_HEADROOM_SHARE: f64 = 0.5;

impl Admission {
    /// To be called every [`TICK`] or so. Tells which connections are to be closed; for each the
    /// caller says what is true of it instead, or closes it.
    pub fn tick(&mut self, now: Time) -> Vec<Release> {
        let passed = (now.since(self.ticked).as_micros_f64() / 1e6).max(0.0);
        self.ticked = now;
        if passed > 0.0 {
            let follow = 1.0 - (-passed / RATE_S).exp();
            self.rate += (self.first / passed - self.rate) * follow;
            self.first = 0.0;
        }
        for (kind, habit) in KINDS.iter().zip(&mut self.habits) {
            habit.fade((-passed / MEMORY_S).exp());
            let line = &self.spare.waits[*kind as usize];
            habit.weigh(line.iter().map(|(since, _)| now.since(*since)));
        }
        self.limit = (self.limit + 1).min(self.bounds.places);
        let mut releases = Vec::new();
        for (id, conn) in &self.conns {
            let waited = now.since(conn.since);
            let stuck = conn.blocked.is_some_and(|at| now.since(at) > self.bounds.blocked);
            let why = match conn.stage {
                // Also with a request taken: its answer could not be given.
                _ if stuck => Why::Blocked,
                _ if conn.blocked.is_some() => continue,
                Stage::Waits(Kind::Fresh | Kind::Reading)
                    if now.since(conn.begun) > self.bounds.take =>
                {
                    Why::NotWhole
                }
                // It is about to be read.
                Stage::Waits(Kind::Once | Kind::Again) if conn.unread => continue,
                Stage::Waits(Kind::Once | Kind::Again) if waited > self.bounds.rest => Why::Rested,
                _ => continue,
            };
            releases.push(Release { id: *id, why });
        }
        // Room that new clients are about to need.
        for _ in self.may_rest(self.busy)..self.resting() {
            let least = self.spare.least(now, &self.habits, &[Kind::Once, Kind::Again]);
            let Some((_, id)) = least else { break };
            self.closing(now, id, false);
            releases.push(Release { id, why: Why::Room });
        }
        releases.sort_by_key(|r| r.id);
        releases.dedup_by_key(|r| r.id);
        releases
    }

    /// How many rest now.
    pub(crate) fn resting(&self) -> usize {
        self.spare.waits[Kind::Once as usize].len() + self.spare.waits[Kind::Again as usize].len()
    }

    /// How many may rest: what is left of the places that clients can hold after those busy and
    /// those kept free for new clients.
    pub(crate) fn may_rest(&self, busy: usize) -> usize {
        let asking = self.bounds.asking.min(self.limit) as f64;
        let free = (self.rate * HEADROOM_S)
            .clamp(asking * MIN_HEADROOM_SHARE, asking * MAX_HEADROOM_SHARE);
        ((asking - free) as usize).saturating_sub(busy)
    }
}
