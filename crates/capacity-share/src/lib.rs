//! How much of the servers is one balancer's own: the number of balancers that its decision module is told.
//!
//! The parts of all that act add up to one at most, whatever each believes of the others. With N on the
//! operators' list and F the set of those that are *proved* not to act, a balancer's part is 1 / (N - |F|).
//! No one that acts is in any F, so that N - |F| is at least the number A of those that act, at every one
//! of them, and A parts of at most 1/A add up to one at most.
//!
//! That no one that acts is in any F rests on two rules.
//! - Silence proves nothing. A proof is the answer of a member's own system that no process holds its address.
//!   It is as old as the question, and holds for one claim's time.
//! - A process holds its address from before it acts until it ends, and acts only once each other member
//!   has spoken to *this* process (and so knows of it, and believes no older proof), or is proved not to act
//!   itself, or a claim's time has passed since it took its address, so that every proof against it is over.
//!
//! No I/O, no clock: [docs/design/members.md] has the premises, and what they cost.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use sableloom_types::{Span, Time};

/// A member, by the hash of its name.
pub type Key = u32;

/// Calls at most between two calls of one member.
const CALLS: usize = 64;
/// The longest list whose members are all called by one that waits. A wait ends early only if all of them have
/// spoken; of more than this, not all can be called twice within it, and calls would be for nothing.
const MAX_CALLED: usize = 512;

/// Questions to others' systems in any second at most, where the list is longer than that: with their answers
/// they are a third of what a member may send and receive (8,192 bytes a second). A quarter of 1,900 members that
/// died had cost the rest 512 questions a second each.
const MAX_QUESTIONS_A_SECOND: usize = 32;
const SECOND: Span = Span(1_000_000);

/// How long things take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// How long a proof of absence holds, from the question on.
    pub claim: Span,
    /// How far apart two questions to one member are at least.
    pub again: Span,
    /// How far apart two calls of one that has not spoken are at least.
    pub call: Span,
    /// Questions within one claim's time at most, to all members together. Proofs that can't be renewed
    /// end; that makes the part smaller, which is safe.
    pub questions: usize,
    /// How far clocks may be off, as a share of the time.
    pub drift: f64,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            claim: Span(2_000_000),
            again: Span(500_000),
            call: Span(100_000),
            questions: 1024,
            drift: 0.1,
        }
    }
}

impl Times {
    /// How long one that starts waits for those that do not speak to it: past the end of every proof against
    /// it, by the slowest clock that holds one and the fastest that waits.
    pub fn wait(&self) -> Span {
        // Rounded up: a wait that is too short by the least bit is too short.
        Span((self.claim.as_micros_f64() * (1.0 + self.drift) / (1.0 - self.drift)).ceil() as i64)
    }
}

/// Why the part is as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// It has not yet a part: so many others might still hold proofs against it.
    Waits(usize),
    /// It shares with all of the list but those that are proved not to act.
    Shares,
    /// It did not run for a while, and has heard too few since: it shares with all of the list.
    Woken,
    /// Another process acts under its name: each has half of what one would have.
    Twin,
}

/// A balancer's part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// It shares the servers with so many, itself included; 0 for no part yet.
    pub balancers: u32,
    /// Until then at most, as proofs end,
    pub until: Option<Time>,
    /// and with so many from then on, unless something new is learnt.
    pub after: u32,
    /// Why.
    pub why: Why,
}

impl Part {
    /// The part as a share of all, at this time.
    pub fn share(&self, now: Time) -> f64 {
        let over = self.until.is_some_and(|until| now >= until);
        match if over { self.after } else { self.balancers } {
            0 => 0.0,
            n => 1.0 / f64::from(n),
        }
    }
}

/// Before all else: a proof of then holds no more, and what was done then may be done again.
const NEVER: Time = Time(i64::MIN);

#[derive(Clone, Copy, Debug)]
struct Other {
    key: Key,
    /// How many its list names, as it says.
    listed: u16,
    /// It can hold no proof against this process: it has spoken to it, and so believes none that is older;
    /// or it was not there at some time since this process took its address, and whoever has that name
    /// by now began with nothing.
    harmless: bool,
    /// When anything last came from it.
    sign: Time,
    /// Since when it is proved not to act.
    absent: Time,
    /// When it was last asked.
    asked: Time,
    /// When it was last called.
    called: Time,
}

impl Other {
    fn new(key: Key) -> Self {
        let [sign, absent, asked, called] = [NEVER; 4];
        Self { key, listed: 0, harmless: false, sign, absent, asked, called }
    }

    /// As one that might hold a proof against this process.
    fn uncertain(&self) -> Option<(Time, Key)> {
        (!self.harmless).then_some((self.called, self.key))
    }

    /// The proof that it does not act, whether or not that still holds.
    fn proof(&self) -> Option<(Time, Key)> {
        (self.absent != NEVER).then_some((self.absent, self.key))
    }
}

/// Questions that are to be put.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Questions {
    /// Whose systems are asked.
    pub to: Vec<Key>,
    /// Before this time none of those that were looked at can be asked again.
    pub again_at: Time,
}

/// Bytes that are kept of a member.
pub const BYTES_EACH: usize = size_of::<Other>();

/// One balancer's standing among the members of a list.
#[derive(Clone, Debug)]
pub struct Standing {
    times: Times,
    started: Time,
    /// In the order of their keys.
    others: Vec<Other>,
    /// How many might hold a proof against it,
    uncertain: usize,
    /// and those of them that are called, by when they last were.
    to_call: BTreeSet<(Time, Key)>,
    /// Those that are proved absent, by when they were asked, but for proofs that were over when last looked at.
    proofs: BTreeSet<(Time, Key)>,
    /// How many others say that their lists name so many.
    listed: BTreeMap<u16, usize>,
    woken: bool,
    twin: bool,
    /// When the last questions were asked, of one claim's time.
    questions: VecDeque<Time>,
    /// Calls since this time.
    calls: (Time, usize),
    /// Whom to ask next, of those that can be.
    next: Key,
}

impl Standing {
    /// One that has just taken its address. `others` are all on the list but itself.
    pub fn new(now: Time, others: impl IntoIterator<Item = Key>, times: Times) -> Self {
        let mut new = Self {
            times,
            started: now,
            others: Vec::new(),
            uncertain: 0,
            to_call: BTreeSet::new(),
            proofs: BTreeSet::new(),
            listed: BTreeMap::new(),
            woken: false,
            twin: false,
            questions: VecDeque::new(),
            calls: (NEVER, 0),
            next: 0,
        };
        new.list(others);
        new
    }

    /// The list names these others from now on. What is known of those that stay is kept.
    pub fn list(&mut self, others: impl IntoIterator<Item = Key>) {
        let before = std::mem::take(&mut self.others);
        let before: HashMap<Key, Other> = before.into_iter().map(|o| (o.key, o)).collect();
        let kept = |key: Key| before.get(&key).copied().unwrap_or(Other::new(key));
        self.others = others.into_iter().map(kept).collect();
        self.others.sort_unstable_by_key(|other| other.key);
        self.others.dedup_by_key(|other| other.key);
        self.index_all();
    }

    /// Draws up anew what is kept so that no question about all others goes over all of them.
    fn index_all(&mut self) {
        let uncertain = self.others.iter().filter_map(Other::uncertain);
        self.uncertain = uncertain.clone().count();
        self.to_call = if self.calls_all() { uncertain.collect() } else { BTreeSet::new() };
        self.proofs = self.others.iter().filter_map(Other::proof).collect();
        self.listed.clear();
        for other in &self.others {
            *self.listed.entry(other.listed).or_default() += 1;
        }
    }

    /// Whether the list is short enough for all to be called.
    fn calls_all(&self) -> bool {
        self.others.len() <= MAX_CALLED
    }

    fn place(&self, key: Key) -> Option<usize> {
        self.others.binary_search_by_key(&key, |other| other.key).ok()
    }

    /// Changes what is known of one, if it is on the list.
    fn change<R>(&mut self, of: Key, change: impl FnOnce(&mut Other) -> R) -> Option<R> {
        let place = self.place(of)?;
        let other = &mut self.others[place];
        let before = *other;
        let result = change(other);
        let after = *other;
        if before.uncertain() != after.uncertain() {
            self.uncertain += usize::from(!after.harmless);
            self.uncertain -= usize::from(!before.harmless);
            before.uncertain().map(|entry| self.to_call.remove(&entry));
            self.to_call.extend(after.uncertain().filter(|_| self.calls_all()));
        }
        if before.absent != after.absent {
            before.proof().map(|entry| self.proofs.remove(&entry));
            self.proofs.extend(after.proof());
        }
        if before.listed != after.listed {
            if let Some(count) = self.listed.get_mut(&before.listed) {
                *count -= 1;
                if *count == 0 {
                    self.listed.remove(&before.listed);
                }
            }
            *self.listed.entry(after.listed).or_default() += 1;
        }
        Some(result)
    }

    /// Whether a proof that was asked for at this time still holds.
    fn holds(&self, now: Time, asked: Time) -> bool {
        now < asked.plus(self.times.claim)
    }

    /// How many might hold a proof against it.
    fn waits(&self, now: Time) -> usize {
        let over = now >= self.started.plus(self.times.wait());
        if over { 0 } else { self.uncertain }
    }

    /// Something came from a member's address, whatever it was. That is no proof of anything, and only ever
    /// makes the part smaller.
    pub fn sign(&mut self, now: Time, of: Key) {
        self.change(of, |other| (other.sign, other.absent) = (now, NEVER));
    }

    /// A member has spoken to this very process, and said how many its list names.
    pub fn spoke(&mut self, now: Time, of: Key, listed: u16) {
        self.sign(now, of);
        self.change(of, |other| (other.harmless, other.listed) = (true, listed));
    }

    /// A member's system says that no process holds its address; it was asked at this time. Whether that is
    /// news: no proof of it held before.
    pub fn refused(&mut self, of: Key, asked: Time) -> bool {
        let started = self.started;
        let changed = self.change(of, |other| {
            let before = other.absent;
            other.harmless |= asked >= started;
            // What came since is from a process that has started since.
            if other.sign < asked {
                other.absent = before.max(asked);
                other.listed = 0;
            }
            (before, other.absent)
        });
        changed.is_some_and(|(before, after)| after != NEVER && !self.holds(asked, before))
    }

    /// It did not run for a while: nothing that it believed counts.
    pub fn woke(&mut self, woken: bool) {
        self.woken = woken;
        if woken {
            // Those whose proofs were over before are no longer among them, and hold nothing.
            let proofs = std::mem::take(&mut self.proofs);
            for (_, key) in proofs {
                if let Some(place) = self.place(key) {
                    self.others[place].absent = NEVER;
                }
            }
        }
    }

    /// The first questions come to this key or the next after it. Members that begin at the same one would all put
    /// their questions to the same few.
    pub fn first_asked(&mut self, key: Key) {
        self.next = key;
    }

    /// Another process acts under its name.
    pub fn twin(&mut self) {
        self.twin = true;
    }

    /// Whom the next questions come to first: where there are too many to ask, each has its turn.
    pub fn next_asked(&self) -> Key {
        self.next
    }

    /// The others in their order from that one on, and round.
    pub fn in_turn(&self) -> impl Iterator<Item = Key> {
        let first = self.others.partition_point(|other| other.key < self.next);
        let (before, from) = self.others.split_at(first);
        from.iter().chain(before).map(|other| other.key)
    }

    /// Whom to ask now whether anybody is there, of these in their turn, so many at most.
    pub fn ask(&mut self, now: Time, most: usize, of: impl IntoIterator<Item = Key>) -> Questions {
        let Times { claim, again, questions, .. } = self.times;
        while self.questions.front().is_some_and(|at| now.since(*at) >= claim) {
            self.questions.pop_front();
        }
        let mut asked = Questions { to: Vec::new(), again_at: now.plus(again) };
        let mut left = self.questions_left(now).min(most);
        for key in of {
            if self.questions.len() >= questions || left == 0 {
                break;
            }
            let Some(place) = self.place(key) else { continue };
            let other = &mut self.others[place];
            if now.since(other.asked) < again {
                asked.again_at = asked.again_at.min(other.asked.plus(again));
                continue;
            }
            other.asked = now;
            asked.to.push(key);
            left -= 1;
            self.questions.push_back(now);
            self.next = key.wrapping_add(1);
        }
        if self.questions.len() >= questions
            && let Some(first) = self.questions.front()
        {
            asked.again_at = asked.again_at.max(first.plus(claim));
        }
        asked
    }

    /// How many questions may be put now: in short lists all.
    fn questions_left(&self, now: Time) -> usize {
        if self.others.len() <= MAX_CALLED {
            return usize::MAX;
        }
        let of_this_second = self.questions.iter().rev().take_while(|at| now.since(**at) < SECOND);
        MAX_QUESTIONS_A_SECOND.saturating_sub(of_this_second.count())
    }

    /// Whom to call now: those that have not spoken to this process, as long as that matters.
    pub fn call(&mut self, now: Time) -> Vec<Key> {
        self.forget_proofs(now);
        if self.waits(now) == 0 {
            return Vec::new();
        }
        let again = self.times.call;
        if now.since(self.calls.0) >= again {
            self.calls = (now, 0);
        }
        let room = CALLS.saturating_sub(self.calls.1);
        let due = self.to_call.iter().take_while(|(called, _)| now.since(*called) >= again);
        let called: Vec<Key> = due.take(room).map(|(_, key)| *key).collect();
        self.calls.1 += called.len();
        for key in &called {
            self.change(*key, |other| other.called = now);
        }
        called
    }

    /// Lets go of proofs that are over.
    fn forget_proofs(&mut self, now: Time) {
        while let Some((asked, _)) = self.proofs.first()
            && !self.holds(now, *asked)
        {
            self.proofs.pop_first();
        }
    }

    /// How many are proved not to act.
    pub fn absent(&self, now: Time) -> usize {
        let over = self.proofs.iter().take_while(|(asked, _)| !self.holds(now, *asked));
        self.proofs.len() - over.count()
    }

    /// When the proofs that hold were asked for.
    fn proofs(&self, now: Time) -> impl Iterator<Item = Time> {
        // In their order, so that those that are over come first.
        let over = move |(asked, _): &&(Time, Key)| !self.holds(now, *asked);
        self.proofs.iter().skip_while(over).map(|(asked, _)| *asked)
    }

    /// The most that any list names, as far as is known: where lists differ, the greater number holds.
    pub fn listed(&self) -> u32 {
        let own = self.others.len() as u32 + 1;
        self.listed.last_key_value().map_or(own, |(listed, _)| own.max(u32::from(*listed)))
    }

    /// The part now.
    pub fn part(&self, now: Time) -> Part {
        let twins = if self.twin { 2 } else { 1 };
        let most = self.listed();
        let waits = self.waits(now);
        if waits > 0 {
            let until = Some(self.started.plus(self.times.wait()));
            return Part { balancers: 0, until, after: most * twins, why: Why::Waits(waits) };
        }
        let until = self.proofs(now).next().map(|asked| asked.plus(self.times.claim));
        let balancers = most.saturating_sub(self.absent(now) as u32).max(1) * twins;
        let why = match (self.twin, self.woken) {
            (true, _) => Why::Twin,
            (_, true) => Why::Woken,
            _ => Why::Shares,
        };
        Part { balancers, until, after: most * twins, why }
    }

    /// When the part may change by itself, or somebody may be asked again, if nothing happens before.
    pub fn next(&self, now: Time) -> Time {
        let ends = self.proofs(now).map(|asked| asked.plus(self.times.claim)).next();
        let wait = Some(self.started.plus(self.times.wait())).filter(|_| self.waits(now) > 0);
        let first = ends.into_iter().chain(wait).filter(|at| *at > now).min();
        let again = if wait.is_some() { self.times.call } else { self.times.again };
        let again = now.plus(again);
        first.map_or(again, |at| at.min(again))
    }
}

#[cfg(test)]
mod tests;
