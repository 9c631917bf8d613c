//! Which client connections hold a place, and which make room: decisions only.
//!
//! The caller tells what happens on its connections and carries out what it is answered with. The
//! module does no I/O and reads no clock; what it keeps is bounded by the places it was given.
//!
//! A place is worth what it will bring: requests a second, learnt from what connections of the same
//! kind and age did before ([`habit`](self) has the estimate). When places run short, the ones
//! that are worth least go first; while they do not, nothing is closed before its time.

mod habit;

use std::collections::BTreeSet;
use std::net::IpAddr;

use rustc_hash::FxHashMap;
use sableloom_types::{Span, Time};

use habit::{Ended, Habit, STRETCHES};

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
const HEADROOM_LEAST: f64 = 0.125;
const HEADROOM_MOST: f64 = 0.5;
/// A close told with an answer crosses no request; one on an idle connection may. So the one that
/// is being answered goes if it is worth no more than this many times the least.
const PREFER_ANSWERED: f64 = 1.25;
/// The least number of places that a want of descriptors brings the limit down to.
const LIMIT_LEAST: usize = 8;
/// While others close, a new connection has so long to say something: as long as closing takes.
const YOUNG: Span = Span(500_000);
/// Advice to those turned away is within these bounds.
const ADVICE_LEAST: Span = Span(50_000);
/// How much one busy period changes the mean.
const BUSY_GAIN: f64 = 0.05;

/// The module's handle for a connection; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// What the module is told at its start.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Most connections at once.
    pub places: usize,
    /// Most that clients with requests can hold, where their own side is bounded lower.
    pub asking: usize,
    /// From its first byte, and on a new connection from the start, a request has so long to be
    /// whole.
    pub take: Span,
    /// A connection on which nothing is asked for so long is closed.
    pub rest: Span,
    /// A client that takes nothing of an answer for so long is cut off.
    pub blocked: Span,
    /// A new client waits so long for a place when all are busy; then it and those behind it are
    /// turned away until there is one.
    pub patience: Span,
    /// The longest advice on when to come back.
    pub advice_most: Span,
}

/// The answer to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It has a place, under this handle.
    Admitted(ConnId),
    /// This one must make room. Close it and say [`Admission::closed`], or say what keeps it
    /// ([`Admission::unread`], [`Admission::blocked`]); then ask again.
    MakeRoom(ConnId),
    /// All places are busy: ask again when anything has changed, or at this time.
    Wait(Time),
    /// Places have been busy for too long: answer that it is harmless to come back, and when.
    TurnAway(Span),
}

/// Why a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// It has rested for as long as it may.
    Rested,
    /// Its request did not come whole in time.
    NotWhole,
    /// It takes nothing of its answer.
    Blocked,
    /// Its place is worth more to others.
    Room,
}

/// A connection that is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Release {
    /// Which.
    pub id: ConnId,
    /// Why.
    pub why: Why,
}

/// What becomes of a connection that is being answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Then {
    /// It may rest.
    Keep,
    /// Its answer says that it ends.
    Close,
    /// It may rest, and this other one is to be closed.
    Instead(ConnId),
}

/// The kinds of connections that wait for their client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Nothing has come yet.
    Fresh,
    /// Part of a request has come.
    Reading,
    /// At rest behind its first answer.
    Once,
    /// At rest behind a later one.
    Again,
}

const KINDS: [Kind; 4] = [Kind::Fresh, Kind::Reading, Kind::Once, Kind::Again];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waits(Kind),
    /// A request is taken, and its answer not given over.
    Busy,
    /// Its end is told.
    Closing,
}

#[derive(Clone, Copy, Debug)]
struct Conn {
    source: IpAddr,
    stage: Stage,
    since: Time,
    /// When its present request began to come.
    begun: Time,
    answers: u32,
    /// Since when its peer has taken nothing of what is written. Such a one can't make room: that
    /// would cut an answer.
    blocked: Option<Time>,
    /// Bytes of its client wait to be read: they may be a whole request.
    unread: bool,
}

/// What a connection is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing has come on it yet.
    Fresh,
    /// A request has begun to come.
    Reading,
    /// Between requests.
    Resting,
    /// A request is taken and its answer not yet given over.
    Busy,
    /// Its end is told to the client.
    Closing,
}

type Line = BTreeSet<(Time, ConnId)>;

/// Connections that could make room, the longest waiting first, by kind.
#[derive(Clone, Debug, Default)]
struct Spare {
    closing: Line,
    waits: [Line; KINDS.len()],
}

impl Spare {
    fn line(&mut self, stage: Stage) -> Option<&mut Line> {
        match stage {
            Stage::Closing => Some(&mut self.closing),
            Stage::Waits(kind) => Some(&mut self.waits[kind as usize]),
            Stage::Busy => None,
        }
    }

    /// The one whose place is worth least, and what it is worth. Within a stretch of age all are
    /// worth the same, and the longest waiting goes.
    fn least(
        &self,
        now: Time,
        habits: &[Habit; KINDS.len()],
        kinds: &[Kind],
    ) -> Option<(f64, ConnId)> {
        let mut least: Option<(f64, Time, ConnId)> = None;
        for kind in kinds {
            let line = &self.waits[*kind as usize];
            for stretch in 0..STRETCHES {
                let youngest = Time(now.0 - habit::begins(stretch).0);
                let oldest = match stretch + 1 {
                    STRETCHES => Time(i64::MIN),
                    next => Time(now.0 - habit::begins(next).0 + 1),
                };
                // One from before the caller's clock was set back counts as new.
                let youngest = if stretch == 0 { Time(i64::MAX) } else { youngest };
                let first = line.range((oldest, ConnId(0))..=(youngest, ConnId(u64::MAX))).next();
                if let Some(&(since, id)) = first {
                    let worth = habits[*kind as usize].worth(stretch);
                    if least.is_none_or(|(w, s, _)| (worth, since) < (w, s)) {
                        least = Some((worth, since, id));
                    }
                }
            }
        }
        least.map(|(worth, _, id)| (worth, id))
    }
}

#[derive(Clone, Debug, Default)]
struct Holder {
    count: usize,
    spare: Spare,
}

/// The decisions about client connections.
#[derive(Clone, Debug)]
pub struct Admission {
    bounds: Bounds,
    /// Places that may be used now: fewer than stated when descriptors ran short.
    limit: usize,
    conns: FxHashMap<ConnId, Conn>,
    next: u64,
    spare: Spare,
    holders: FxHashMap<IpAddr, Holder>,
    by_count: BTreeSet<(usize, IpAddr)>,
    busy: usize,
    habits: [Habit; KINDS.len()],
    /// First requests of connections since the last tick, and their rate a second.
    first: f64,
    rate: f64,
    ticked: Time,
    /// Since when all places are busy and someone waits.
    full_since: Option<Time>,
    busy_mean: f64,
}

impl Admission {
    /// A module with no connections.
    pub fn new(bounds: Bounds, now: Time) -> Self {
        let mut habits: [Habit; KINDS.len()] = Default::default();
        habits.iter_mut().for_each(|h| h.weigh(std::iter::empty()));
        Self {
            limit: bounds.places,
            bounds,
            conns: FxHashMap::default(),
            next: 0,
            spare: Spare::default(),
            holders: FxHashMap::default(),
            by_count: BTreeSet::new(),
            busy: 0,
            habits,
            first: 0.0,
            rate: 0.0,
            ticked: now,
            full_since: None,
            busy_mean: 0.0,
        }
    }

    /// Whether nothing is kept of any connection.
    pub fn is_empty(&self) -> bool {
        let lines = self.spare.waits.iter().chain([&self.spare.closing]);
        let listed: usize = lines.map(BTreeSet::len).sum();
        listed + self.conns.len() + self.holders.len() + self.by_count.len() + self.busy == 0
    }

    /// Connections that hold a place.
    pub fn held(&self) -> usize {
        self.conns.len()
    }

    /// Places that may be used now.
    pub fn limit(&self) -> usize {
        self.limit
    }

    // ------------------------------------------------------------ who gets in

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

    /// Who makes room: what is closing; else the least worth of a source that holds more than its
    /// even share, the new client's own if that is one; else the least worth of all.
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
        let advice = Span::of(self.busy_mean).max(ADVICE_LEAST);
        advice.min(self.bounds.advice_most)
    }

    /// The system has no descriptor for a new connection: fewer places are used for a while. What
    /// is returned makes room.
    pub fn no_descriptor(&mut self, now: Time) -> Vec<Release> {
        let held = self.conns.len();
        let fewer = held - (held / 16).max(1).min(held);
        self.limit = self.limit.min(fewer.max(LIMIT_LEAST));
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

    // ------------------------------------------------------------ what connections do

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
    pub fn answering(&mut self, now: Time, id: ConnId) -> Then {
        let Some(conn) = self.conns.get(&id) else { return Then::Close };
        let kind = rests(conn.answers + 1);
        // It is busy itself until it rests.
        let busy = self.busy - usize::from(conn.stage == Stage::Busy);
        if self.resting() < self.may_rest(busy) {
            return Then::Keep;
        }
        let own = self.habits[kind as usize].worth(0);
        match self.spare.least(now, &self.habits, &[Kind::Once, Kind::Again]) {
            Some((worth, other)) if own > worth * PREFER_ANSWERED => {
                self.closing(now, other, false);
                Then::Instead(other)
            }
            _ => Then::Close,
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
        let busy = now.since(conn.since).f();
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

    // ------------------------------------------------------------ time

    /// To be called every [`TICK`] or so. Tells which connections are to be closed; for each the
    /// caller says what is true of it instead, or closes it.
    pub fn tick(&mut self, now: Time) -> Vec<Release> {
        let passed = (now.since(self.ticked).f() / 1e6).max(0.0);
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

    fn resting(&self) -> usize {
        self.spare.waits[Kind::Once as usize].len() + self.spare.waits[Kind::Again as usize].len()
    }

    /// How many may rest: what is left of the places that clients can hold after those busy and
    /// those kept free for new clients.
    fn may_rest(&self, busy: usize) -> usize {
        let asking = self.bounds.asking.min(self.limit) as f64;
        let free = (self.rate * HEADROOM_S).clamp(asking * HEADROOM_LEAST, asking * HEADROOM_MOST);
        ((asking - free) as usize).saturating_sub(busy)
    }

    // ------------------------------------------------------------ books

    fn note(&mut self, kind: Kind, conn: Conn, now: Time, how: Ended) {
        self.habits[kind as usize].note(now.since(conn.since), how);
    }

    fn turn(&mut self, id: ConnId, stage: Stage, now: Time) {
        self.change(id, |conn| (conn.stage, conn.since) = (stage, now));
    }

    fn change(&mut self, id: ConnId, change: impl FnOnce(&mut Conn)) {
        let Some(mut conn) = self.conns.get(&id).copied() else { return };
        self.unlist(id, conn);
        change(&mut conn);
        self.conns.insert(id, conn);
        self.list(id, conn);
    }

    fn list(&mut self, id: ConnId, conn: Conn) {
        self.busy += usize::from(conn.stage == Stage::Busy);
        self.lines(conn, |line| {
            line.insert((conn.since, id));
        });
    }

    fn unlist(&mut self, id: ConnId, conn: Conn) {
        self.busy -= usize::from(conn.stage == Stage::Busy);
        self.lines(conn, |line| {
            line.remove(&(conn.since, id));
        });
    }

    /// The lines that a connection stands in: none while it can't make room.
    fn lines(&mut self, conn: Conn, act: impl Fn(&mut Line)) {
        let own = self.holders.get_mut(&conn.source).map(|holder| &mut holder.spare);
        for spare in [Some(&mut self.spare), own].into_iter().flatten() {
            if let Some(line) =
                spare.line(conn.stage).filter(|_| conn.blocked.is_none() && !conn.unread)
            {
                act(line);
            }
        }
    }

    fn count(&mut self, source: IpAddr, by: isize) {
        let holder = self.holders.entry(source).or_default();
        self.by_count.remove(&(holder.count, source));
        holder.count = holder.count.saturating_add_signed(by);
        match holder.count {
            0 => drop(self.holders.remove(&source)),
            count => drop(self.by_count.insert((count, source))),
        }
    }
}

fn rests(answers: u32) -> Kind {
    if answers > 1 { Kind::Again } else { Kind::Once }
}
