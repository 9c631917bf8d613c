//! What is said among members, and the part that follows: datagrams, answers of systems and time in;
//! datagrams, questions, changes and the part out.

use std::net::SocketAddr;
use std::sync::Arc;

use sableloom_capacity_share::{CapacityShare, Share, Timing};
use sableloom_membership::{
    Change, Key, MemberList, Membership, Output as MembershipOutput, Reachability,
    Timing as MembershipTiming,
};
use sableloom_types::{Span, Time};

use crate::pace::QuestionPace;

/// Whoever is found to be gone lets so many others be asked after, of those not heard since,
const ALSO: usize = 16;
/// and so many be looked at for that. Whom this leaves out is asked after by its turn.
const LOOKED_AT: usize = 256;
/// Members whose life is not certain that are looked at for questions at one event.
const MAX_UNSURE: usize = 64;

/// What a member is told at its start.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The fleet's name.
    pub fleet: String,
    /// Its own.
    pub own: String,
    /// Times of the talk.
    pub talk: MembershipTiming,
    /// Intervals of capacity shares.
    pub share: Timing,
}

/// What is to be done.
#[derive(Clone, Debug, Default)]
pub struct Out {
    /// Datagrams to send, and where.
    pub datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// Whether any process holds these addresses is to be asked of their systems.
    pub knocks: Vec<(Key, SocketAddr)>,
    /// Changes of the view, in their order.
    pub changes: Vec<Change>,
}

/// One that has just started looks again after so long whether it may ask.
const JUST_STARTED: Span = Span(500_000);

/// One member.
#[derive(Debug)]
pub struct Core {
    members: Membership,
    capacity_share: CapacityShare,
    share: Share,
    now: Time,
    pace: QuestionPace,
    /// Nobody of uncertain life can be asked after before, unless the view changes.
    questions_due: Time,
}

impl Core {
    /// A member whose process has just taken its address. `life` is greater than that of the process before.
    /// Whether the list names it itself makes no difference; members of one process may share it.
    pub fn new(setup: &Setup, life: u32, list: Arc<MemberList>, seed: u64, now: Time) -> Self {
        let Setup { fleet, own, talk, share } = setup;
        let members = Membership::new(fleet, own, life, list, *talk, seed, now);
        let mut capacity_share =
            CapacityShare::new(now, members.peers().map(|peer| peer.key), *share);
        capacity_share.start_queries_at(seed as Key);
        let pace = QuestionPace::new(now, seed);
        let share = capacity_share.share(now);
        Self { members, capacity_share, share, now, pace, questions_due: now }
    }

    /// It begins: all are called and, where nobody answers, their systems are asked.
    pub fn start(&mut self, now: Time, out: &mut Out) {
        // Those that have not spoken are called as long as it waits for them.
        self.talk(now, out, |_, _| {});
    }

    /// A datagram has come.
    pub fn datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8], out: &mut Out) {
        let whose = self.members.member_at(from);
        if let Some(key) = whose {
            self.capacity_share.heard(now, key);
        }
        self.talk(now, out, |members, said| members.receive(now, from, bytes, said));
        let counted = |key: &Key| {
            let peer = self.members.peer(*key)?;
            (peer.last_heard == Some(now)).then_some((peer.key, peer.list_length))
        };
        if let Some((key, listed)) = whose.as_ref().and_then(counted) {
            self.capacity_share.acknowledged(now, key, listed);
            self.share = self.capacity_share.share(now);
        }
    }

    /// A member's system has said that no process holds its address; it was asked at this time.
    pub fn refused(&mut self, now: Time, of: Key, asked: Time, out: &mut Out) {
        let news = self.capacity_share.proved_absent(of, asked);
        self.talk(now, out, |members, said| members.proved_absent(now, of, asked, said));
        if news {
            // Who is gone is seldom gone alone. Without this half of a fleet that died in one moment was
            // found out one by one, at the pace of probes that doubt of oneself had made slow.
            let members = &self.members;
            let heard = |key: &Key| members.peer(*key).and_then(|peer| peer.last_heard);
            let in_turn = self.capacity_share.query_order().take(LOOKED_AT);
            let silent = in_turn.filter(|key| heard(key).is_none_or(|heard| heard < asked));
            let silent: Vec<Key> = silent.collect();
            self.ask(now, ALSO, silent, out);
        }
    }

    /// It is time.
    pub fn tick(&mut self, now: Time, out: &mut Out) {
        self.talk(now, out, |members, said| members.tick(now, said));
    }

    /// The operators' list is this from now on.
    pub fn list(&mut self, now: Time, list: Arc<MemberList>, out: &mut Out) {
        let own = self.members.own();
        self.capacity_share
            .update_members(list.members().iter().map(|(key, _)| *key).filter(|key| *key != own));
        self.talk(now, out, |members, said| {
            members.update_list(now, list, said);
            members.greet(now, said);
        });
        self.share = self.capacity_share.share(now);
    }

    /// The digest of the lists of servers that are in force here from now on.
    pub fn serves(&mut self, servers: u32) {
        self.members.set_endpoints_digest(servers);
    }

    /// It leaves on purpose, with nothing left to do.
    pub fn leave(&mut self, out: &mut Out) {
        let now = self.now;
        self.talk(now, out, |members, said| members.leave(said));
    }

    fn talk(
        &mut self,
        now: Time,
        out: &mut Out,
        what: impl FnOnce(&mut Membership, &mut MembershipOutput),
    ) {
        self.now = now;
        let mut said = MembershipOutput::default();
        what(&mut self.members, &mut said);
        if said.changes.contains(&Change::DuplicateIdentity) {
            self.capacity_share.set_duplicate_identity();
        }
        self.capacity_share.set_resumed(self.members.reachability() == Reachability::Resumed);
        out.datagrams.append(&mut said.datagrams);
        if !said.changes.is_empty() {
            self.questions_due = now;
        }
        let doubted = self.doubted_by_itself(&said.changes);
        out.changes.append(&mut said.changes);
        let mut called = MembershipOutput::default();
        let calls = self.capacity_share.due_probes(now);
        calls.into_iter().for_each(|key| self.members.ping(key, &mut called));
        out.datagrams.append(&mut called.datagrams);
        if !doubted.is_empty() {
            self.put(now, usize::MAX, doubted, out);
        }
        if now >= self.questions_due {
            let unsure =
                self.members.unconfirmed_from(self.capacity_share.next_queried()).take(MAX_UNSURE);
            let unsure: Vec<Key> = unsure.collect();
            self.questions_due = self.ask(now, usize::MAX, unsure, out);
        }
        self.share = self.capacity_share.share(now);
    }

    /// Those whom this member is the first to doubt, as its own probe failed. It asks after them whatever the pace:
    /// others do when they hear of it.
    fn doubted_by_itself(&self, changes: &[Change]) -> Vec<Key> {
        let own = self.members.own();
        let doubted = changes.iter().filter_map(|change| match change {
            Change::Suspected { member, reported_by } if *reported_by == own => Some(*member),
            _ => None,
        });
        doubted.collect()
    }

    /// Asks the systems of so many of these, in their turn, whether any process holds their addresses. Before
    /// the time that it says none of them can be asked again.
    fn ask(&mut self, now: Time, most: usize, of: Vec<Key>, out: &mut Out) -> Time {
        if self.members.has_short_list() {
            return self.put(now, most, of, out);
        }
        if self.members.has_just_started() {
            return now.plus(JUST_STARTED);
        }
        let (unsure, there) = (self.members.count_unconfirmed(), self.members.count_reachable());
        let most = most.min(self.pace.left(now, unsure, there));
        let before = out.knocks.len();
        let again_at = self.put(now, most, of, out);
        self.pace.spend(out.knocks.len() - before);
        again_at
    }

    fn put(&mut self, now: Time, most: usize, of: Vec<Key>, out: &mut Out) -> Time {
        let asked = self.capacity_share.query_absence(now, most, of);
        self.members.count_absence_queries(now, asked.to.len());
        let members = &self.members;
        let at = asked.to.into_iter().filter_map(|key| Some((key, members.listed(key)?.address)));
        out.knocks.extend(at);
        asked.retry_at
    }

    /// When it has to be called next.
    pub fn next(&self) -> Time {
        self.members.next_wakeup().min(self.capacity_share.next_wakeup(self.now))
    }

    /// The part, as it was when it was last called. [`Share::fraction`] says what is left of it at a time.
    pub fn share(&self) -> Share {
        self.share
    }

    /// The members' talk.
    pub fn members(&self) -> &Membership {
        &self.members
    }

    /// What the part is made of.
    pub fn capacity_share(&self) -> &CapacityShare {
        &self.capacity_share
    }

    /// A member's name.
    pub fn name(&self, key: Key) -> &str {
        let other = self.members.listed(key).filter(|_| key != self.members.own());
        other.map_or("itself", |listed| &listed.name)
    }
}
