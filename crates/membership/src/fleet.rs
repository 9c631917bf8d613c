//! One member's part in the fleet: whom it probes, what it believes, and what it makes of being slow
//! itself.

mod exchange;
mod messages;
mod probes;
mod transitions;

use std::net::SocketAddr;
use std::sync::Arc;

use oorandom::Rand64;
use rustc_hash::FxHashMap;
use sableloom_types::{Span, Time};

use self::exchange::Exchanges;
use crate::book::{Health, Peer, Standing, View, part_of_digest};
use crate::dissemination::Dissemination;
use crate::list::{Listed, MemberList};
use crate::meter::{QUESTION_BYTES, TrafficMeter};
use crate::table::MemberTable;
use crate::wire::{Key, Refused, key_of};

/// In a list whose members are all called a process that has started calls each member that it never heard of so often;
const CALLS_EACH: usize = 2;
/// in a longer one it calls so many until the first has answered.
const FIRST_CALLS: usize = 32;
/// For so many periods a process with a long list asks after nobody: while many start at once, most of those that
/// it believes to be missing are there.
const START_PERIODS: i64 = 50;
/// How long things take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// From one probe to the next.
    pub period: Span,
    /// How long a probed member may take before others are asked.
    pub answer: Span,
    /// How many others are asked.
    pub ask: usize,
    /// The shortest doubt, in periods for each power of ten of the fleet's size.
    pub doubt_least: f64,
    /// The longest, in shortest ones.
    pub doubt_most: f64,
    /// How often news is passed on, for each doubling of the fleet's size.
    pub pass_on: f64,
    /// Whether it doubts itself when it is late, accused or unheard. Without that it is plain SWIM, which
    /// is there to be compared with.
    pub has_local_health: bool,
    /// The longest list whose members are all called by one that starts. In a longer one calls of all end no wait:
    /// one that starts pulls the table from the first that answers, and the systems of members that it never heard
    /// of are asked only after that, as a system says nothing if its member is there.
    pub all_called: usize,
}

impl Default for Times {
    /// Those of Lifeguard's evaluation (alpha 5, beta 6, K 3), with a period of 200 ms.
    fn default() -> Self {
        Self {
            period: Span(200_000),
            answer: Span(80_000),
            ask: 3,
            doubt_least: 5.0,
            doubt_most: 6.0,
            pass_on: 3.0,
            has_local_health: true,
            all_called: 512,
        }
    }
}

/// What has changed in the view. Members by their keys.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// It is there, in this life.
    Joined(Key, u32),
    /// It is doubted, by this one first.
    Doubted(Key, Key),
    /// It has objected.
    Cleared(Key),
    /// It counts as dead, by this one's word.
    Died(Key, Key),
    /// It has left.
    Left(Key),
    /// One's own place is another.
    Standing(Standing),
    /// Another process acts under one's own name.
    DuplicateIdentity,
}

/// What is to be done.
#[derive(Clone, Debug, Default)]
pub struct Out {
    /// Datagrams to send, and where.
    pub datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// Changes of the view, in their order.
    pub changes: Vec<Change>,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    of: Key,
    seq: u32,
    ask_at: Time,
    ends: Time,
    /// How many were asked, and how many said that they heard nothing either.
    asked: Option<u32>,
    silent: u32,
}

#[derive(Clone, Copy, Debug)]
struct Relay {
    of: Key,
    seq: u32,
    /// Who asked, and by which number.
    back: Key,
    theirs: u32,
    until: Time,
}

/// One member.
#[derive(Debug)]
pub struct Fleet {
    name: Key,
    own: Key,
    life: u32,
    incarnation: u32,
    nonce: u32,
    times: Times,
    table: MemberTable,
    rng: Rand64,
    /// Members in the order in which they are probed, and how far that is.
    round: Vec<Key>,
    probe: Option<Probe>,
    next_probe: Time,
    /// When it passes news on next, if it sends no probe before.
    next_news: Time,
    relays: Vec<Relay>,
    news: Dissemination,
    /// What it sends and receives, and when it was last called with a time.
    meter: TrafficMeter,
    now: Time,
    started: Time,
    exchanges: Exchanges,
    /// So many calls of members that nothing was ever heard of are left to a process that has started.
    calls_left: usize,
    /// How far it doubts itself.
    doubt: u32,
    /// When it is to be called again, as it has said.
    due: Option<Time>,
    leaving: bool,
    /// How often another life of its own name was later than its own.
    outdone: u32,
    seq: u32,
    number: u64,
    /// Of its lists of servers.
    servers: u32,
    standing: Standing,
    dropped: FxHashMap<u8, u64>,
}

impl Fleet {
    /// A member that has just started. `life` has to be greater than that of its process before, as the
    /// seconds of the day are; others correct one that is not. Whether the list names this member itself
    /// makes no difference.
    pub fn new(
        fleet: &str,
        own: &str,
        life: u32,
        list: Arc<MemberList>,
        times: Times,
        seed: u64,
        now: Time,
    ) -> Self {
        let mut rng = Rand64::new(u128::from(seed));
        // 0 says that a nonce is not known.
        let nonce = (rng.rand_u64() as u32).max(1);
        let mut new = Self {
            name: key_of(fleet),
            own: key_of(own),
            life,
            incarnation: 0,
            nonce,
            times,
            table: MemberTable::default(),
            rng,
            round: Vec::new(),
            probe: None,
            next_probe: now,
            next_news: now,
            relays: Vec::new(),
            news: Dissemination::default(),
            meter: TrafficMeter::new(now),
            now,
            started: now,
            exchanges: Exchanges::new(now),
            calls_left: 0,
            doubt: 0,
            due: None,
            leaving: false,
            outdone: 0,
            seq: 0,
            number: 0,
            servers: 0,
            standing: Standing::Whole,
            dropped: FxHashMap::default(),
        };
        new.list(now, list, &mut Out::default());
        new
    }

    /// The operators' list is this from now on. Who is no longer on it is forgotten, and whatever is said of
    /// it from then on is passed over.
    pub fn list(&mut self, now: Time, list: Arc<MemberList>, out: &mut Out) {
        self.now = now;
        let awaited_since = self.table.awaited().map(|(since, _)| since);
        let (old_list, peers) = std::mem::take(&mut self.table).into_parts();
        let own = self.own;
        let known = |(key, listed): &(Key, Listed)| {
            let before = old_list.place(*key).filter(|_| *key != own);
            let Some(before) = before else { return Peer::unknown(*key, now, own) };
            let mut peer = peers[before].clone();
            if old_list.members()[before].1.address != listed.address {
                // Whoever is there has yet to tell what it drew.
                peer.nonce = 0;
            }
            peer
        };
        self.table = MemberTable::new(list, own, known, awaited_since);
        let table = &self.table;
        let known = |key: Key| table.place(key).is_some();
        self.news.retain(|of| of == self.own || known(of));
        self.relays.retain(|relay| known(relay.of) && known(relay.back));
        self.probe = self.probe.take().filter(|probe| known(probe.of));
        self.exchanges.retain(known);
        self.calls_left = match self.calls_all() {
            true => CALLS_EACH * self.table.unknown(),
            false => FIRST_CALLS,
        };
        self.round.clear();
        self.changed(out);
    }

    /// Whether the list is short enough for all to be called.
    pub fn calls_all(&self) -> bool {
        self.table.len() <= self.times.all_called
    }

    /// Whether it has just started, with a list too long to call all.
    pub fn has_just_started(&self) -> bool {
        let starts = self.now < self.started.plus(Span(self.times.period.0 * START_PERIODS));
        starts && !self.calls_all()
    }

    fn peer(&self, key: Key) -> Option<&Peer> {
        self.table.peer(key)
    }

    fn there(&self) -> usize {
        self.table.there()
    }

    /// The view now.
    pub fn view(&self) -> View {
        let (number, digest, standing) = (self.number, self.digest(), self.standing);
        View { number, digest, standing, peers: self.peers().cloned().collect() }
    }

    /// Whose address this is.
    pub fn at(&self, address: SocketAddr) -> Option<Key> {
        self.table.place_at(address).map(|i| self.table.at(i).key)
    }

    /// The others, as they are known.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.table.peers()
    }

    /// How many updates it has still to pass on.
    pub fn updates(&self) -> usize {
        self.news.len()
    }

    /// Its own key.
    pub fn own(&self) -> Key {
        self.own
    }

    /// How many others there are on the list.
    pub fn count(&self) -> usize {
        self.table.len()
    }

    /// How many of them have left.
    pub fn count_left(&self) -> usize {
        self.table.left()
    }

    /// The name and address of one on the list.
    pub fn listed(&self, key: Key) -> Option<&Listed> {
        self.table.listed(key)
    }

    /// What is known of one of the others.
    pub fn known(&self, key: Key) -> Option<&Peer> {
        self.table.peer(key)
    }

    /// How many of the others are there, those that are doubted among them.
    pub fn count_there(&self) -> usize {
        self.table.there()
    }

    /// Those whose life is not certain, as they are missing or doubted, in the order of their keys from this
    /// one on, and round. Members of a long list that nothing was ever heard of are not among them as long as this
    /// process pulls a table.
    pub fn unsure_from(&self, key: Key) -> impl Iterator<Item = Key> {
        let awaits = self.exchanges.is_under_way() && !self.calls_all();
        let asked = move |key: &Key| {
            let unknown = || self.known(*key).is_some_and(|peer| peer.health == Health::Unknown);
            !awaits || !unknown()
        };
        self.table.unsure_from(key).filter(asked)
    }

    /// How many those are.
    pub fn count_unsure(&self) -> usize {
        self.table.unsure()
    }

    /// Its own place.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Which life it is in: others may have made it take a later one than it was given.
    pub fn life(&self) -> u32 {
        self.life
    }

    /// The digest of the lists of servers that are in force here from now on.
    pub fn serves(&mut self, servers: u32) {
        self.servers = servers;
    }

    /// The digest of its lists of servers, as it was told.
    pub fn servers(&self) -> u32 {
        self.servers
    }

    /// The view's number: one more with each change.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The view's digest.
    pub fn digest(&self) -> u32 {
        let own = if self.leaving { &Health::Left } else { &Health::Alive };
        self.table.digest() ^ part_of_digest(self.own, self.life, own)
    }

    /// How many datagrams were dropped for this reason.
    pub fn dropped(&self, why: Refused) -> u64 {
        self.dropped.get(&(why as u8)).copied().unwrap_or(0)
    }

    /// So many systems of members were asked whether any process holds an address: that counts as traffic.
    pub fn questioned(&mut self, now: Time, systems: usize) {
        self.meter.add(now, systems * QUESTION_BYTES);
    }

    /// How far it doubts itself, 0 to 8.
    pub fn doubt(&self) -> u32 {
        self.doubt
    }
}
