//! What connections do: the stages of one connection, from its first byte until it is closed.

use sableloom_types::Time;

use crate::Admission;
use crate::decisions::Disposition;
use crate::habit::Ended;
use crate::state::{ConnId, Kind, Phase, Stage, rests};

/// A close told with an answer crosses no request; one on an idle connection may. So the one that
/// is being answered goes if its value is no more than this many times the least.
const PREFER_ANSWERED: f64 = 1.25;
/// How much one busy period changes the mean.
const BUSY_GAIN: f64 = 0.05;

impl Admission {
    /// What a connection is about; `None` once it is closed.
    pub fn phase(&self, id: ConnId) -> Option<Phase> {
        self.conns.get(&id).map(|conn| match conn.stage {
            Stage::Waits(Kind::Fresh) => Phase::Fresh,
            Stage::Waits(Kind::Reading) => Phase::Reading,
            Stage::Waits(Kind::Once | Kind::Again) => Phase::Resting,
            Stage::Busy => Phase::Busy,
            Stage::Closing => Phase::Closing,
        })
    }

    /// When its present request began to come.
    pub fn begun(&self, id: ConnId) -> Option<Time> {
        self.conns.get(&id).map(|conn| conn.begun)
    }

    /// Bytes have come for it that are not read yet: it is spared until they are.
    pub fn unread(&mut self, now: Time, id: ConnId) {
        self.reprieve(now, id);
        self.change(id, |conn| conn.unread = true);
    }

    /// Bytes of a request were read.
    pub fn heard(&mut self, now: Time, id: ConnId) {
        let Some(conn) = self.conns.get(&id).copied() else { return };
        if conn.unread {
            self.change(id, |conn| conn.unread = false);
        }
        match conn.stage {
            Stage::Waits(Kind::Reading) | Stage::Busy => return,
            Stage::Waits(kind) => self.note(kind, conn, now, Ended::Happened),
            // A request crossed the close.
            Stage::Closing => {}
        }
        if conn.stage != Stage::Waits(Kind::Fresh) {
            self.begin(now, id);
        }
        self.turn(id, Stage::Waits(Kind::Reading), now);
    }

    fn begin(&mut self, now: Time, id: ConnId) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.begun = now;
        }
    }

    /// A request that was there before the last answer had left begins now.
    pub fn next_request(&mut self, now: Time, id: ConnId) {
        if self.conns.get(&id).is_some_and(|c| c.stage != Stage::Waits(Kind::Reading)) {
            self.heard(now, id);
        }
    }

    /// Its request is taken.
    pub fn taken(&mut self, now: Time, id: ConnId) {
        let Some(conn) = self.conns.get(&id).copied() else { return };
        if let Stage::Waits(kind) = conn.stage {
            self.note(kind, conn, now, Ended::Happened);
        }
        if conn.answers == 0 && conn.stage != Stage::Busy {
            self.first += 1.0;
        }
        self.change(id, |conn| conn.unread = false);
        self.turn(id, Stage::Busy, now);
    }

    /// Its answer is about to be written: may it rest behind it?
    pub fn answering(&mut self, now: Time, id: ConnId) -> Disposition {
        let Some(conn) = self.conns.get(&id) else { return Disposition::Close };
        let kind = rests(conn.answers + 1);
        // It is busy itself until it rests.
        let busy = self.busy - usize::from(conn.stage == Stage::Busy);
        if self.resting() < self.may_rest(busy) {
            return Disposition::Keep;
        }
        let own = self.habits[kind as usize].value(0);
        match self.spare.least(now, &self.habits, &[Kind::Once, Kind::Again]) {
            Some((value, other)) if own > value * PREFER_ANSWERED => {
                self.closing(now, other, false);
                Disposition::Instead(other)
            }
            _ => Disposition::Close,
        }
    }

    /// Its answer is given over to be written; the connection rests from here on, or ends.
    pub fn answered(&mut self, now: Time, id: ConnId, ends: bool) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if conn.stage != Stage::Busy {
            return;
        }
        conn.answers = conn.answers.saturating_add(1);
        let answers = conn.answers;
        let busy = now.since(conn.since).as_micros_f64();
        self.busy_mean += (busy - self.busy_mean) * BUSY_GAIN;
        let next = if ends { Stage::Closing } else { Stage::Waits(rests(answers)) };
        self.turn(id, next, now);
    }

    /// Its peer takes nothing of what is written. If it was to close, that is off: it was not told.
    pub fn blocked(&mut self, now: Time, id: ConnId) {
        self.reprieve(now, id);
        if self.conns.get(&id).is_some_and(|c| c.blocked.is_none()) {
            self.change(id, |conn| conn.blocked = Some(now));
        }
    }

    fn reprieve(&mut self, now: Time, id: ConnId) {
        if let Some(conn) = self.conns.get(&id).copied()
            && conn.stage == Stage::Closing
        {
            self.turn(id, Stage::Waits(rests(conn.answers)), now);
        }
    }

    /// What was written has left after all.
    pub fn unblocked(&mut self, id: ConnId) {
        if self.conns.get(&id).is_some_and(|c| c.blocked.is_some()) {
            self.change(id, |conn| conn.blocked = None);
        }
    }

    /// Its end is told to the client, or by it if `by_client`.
    pub fn closing(&mut self, now: Time, id: ConnId, by_client: bool) {
        let Some(conn) = self.conns.get(&id).copied() else { return };
        if let Stage::Waits(kind) = conn.stage {
            self.note(kind, conn, now, if by_client { Ended::Left } else { Ended::Cut });
        }
        self.turn(id, Stage::Closing, now);
    }

    /// It is closed, and its place is free.
    pub fn closed(&mut self, now: Time, id: ConnId) {
        self.closing(now, id, false);
        let Some(conn) = self.conns.get(&id).copied() else { return };
        self.unlist(id, conn);
        self.conns.remove(&id);
        self.count(conn.source, -1);
    }
}
