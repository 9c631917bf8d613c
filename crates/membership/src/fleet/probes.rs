//! What is done by time: probes, calls of those that are missing, and what being late tells.

use sableloom_types::{Span, Time};

use super::transitions::MAX_LOCAL_HEALTH;
use super::{CALLS_EACH, Fleet, Out, Probe, Relay};
use crate::book::Health;
use crate::wire::{Body, Key, MemberState, Update};

/// Members that are called at once when a list is new.
const GREETED: usize = 64;
/// The missing of a long list are called so many times less often: where all start at once, each call and its
/// answer take room from the pages by which most of them are found.
const LONG_LIST_CALLS: f64 = 0.25;
/// Members that nothing was ever heard of are called so many a period by a process that has started,
const CALLS_A_PERIOD: usize = 7;
/// and so many until the first has answered if its list is long.
const FIRST_CALLS_A_PERIOD: usize = 1;

impl Fleet {
    /// When it has to be called next.
    pub fn next(&self) -> Time {
        let probe = self.probe.map(|p| if p.asked.is_none() { p.ask_at } else { p.ends });
        let relays = self.relays.iter().map(|relay| relay.until);
        let news = Some(self.next_news).filter(|_| self.doubt > 0 && !self.news.is_empty());
        let doubt = self.table.first_suspicion();
        let exchange = self.exchanges.due();
        let first = probe.into_iter().chain(doubt).chain(relays).chain(news).chain(exchange).min();
        first.map_or(self.next_probe, |at| at.min(self.next_probe))
    }

    /// It is time.
    pub fn tick(&mut self, now: Time, out: &mut Out) {
        self.now = now;
        self.late(now, out);
        self.silent(now, out);
        self.probing(now, out);
        self.dying(now, out);
        self.exchange(now, out);
        self.place(out);
        self.due = Some(self.next());
    }

    /// One that is called late was stopped, or starved: what it waited for may have come and lie unread.
    pub(super) fn late(&mut self, now: Time, out: &mut Out) {
        let Some(due) = self.due else { return };
        let late = now.since(due).as_micros_f64();
        let periods = late / self.times.period.as_micros_f64();
        if periods < 0.5 || !self.times.has_local_health {
            return;
        }
        self.worsen_local_health(periods.ceil().min(f64::from(MAX_LOCAL_HEALTH)) as u32);
        // Once for each time that it was late.
        self.due = Some(now);
        // Whoever was probed is not to blame.
        self.probe = None;
        self.next_probe = self.next_probe.max(now);
        let (least, _) = self.doubts();
        let again = now.plus(Span::from_micros_f64(least));
        for i in self.table.suspects() {
            self.table.change(i, |peer| {
                if let Health::Suspect(suspicion) = &mut peer.health {
                    suspicion.until = suspicion.until.max(again);
                }
            });
        }
        // Others may have counted it out by now, and it knows of nothing since.
        if late > least && self.there() > 0 {
            self.table.await_all(Some(now));
            self.place(out);
        }
    }

    pub(super) fn silent(&mut self, now: Time, out: &mut Out) {
        let over: Vec<Relay> = self.relays.extract_if(.., |relay| relay.until <= now).collect();
        for relay in over {
            self.say(relay.back, Body::Silent { seq: relay.theirs }, out);
        }
    }

    pub(super) fn probing(&mut self, now: Time, out: &mut Out) {
        if let Some(probe) = self.probe {
            if probe.asked.is_none() && now >= probe.ask_at {
                self.ask_others(probe, out);
            }
            if now >= probe.ends {
                self.judge(now, out);
            }
        }
        // Doubt of oneself makes probes rare. News must not wait for them, or the objections of those that
        // are doubted, this one's own among them, come too late: at 30% loss there were seven times as many
        // false deaths as with no doubt of oneself.
        if now >= self.next_news {
            self.next_news = now.plus(self.times.period);
            if self.doubt > 0 && now < self.next_probe && !self.news.is_empty() {
                self.pass_around(1, out);
            }
        }
        if now >= self.next_probe {
            let patience = i64::from(1 + self.doubt);
            let period = Span(self.times.period.0 * patience);
            self.next_probe = now.plus(period);
            self.probe = self.next_of_round().map(|of| {
                let seq = self.next_seq();
                self.say(of, Body::Ping { seq }, out);
                let ask_at = now.plus(Span(self.times.answer.0 * patience));
                Probe { of, seq, ask_at, ends: self.next_probe, asked: None, silent: 0 }
            });
            self.call_the_missing(out);
        }
    }

    /// Each member once in a round, in an order drawn anew for each (SWIM, section 4.3): what is dead is
    /// found within a round at the latest.
    pub(super) fn next_of_round(&mut self) -> Option<Key> {
        for _ in 0..2 {
            while let Some(key) = self.round.pop() {
                if self.peer(key).is_some_and(|peer| peer.health.is_there()) {
                    return Some(key);
                }
            }
            let table = &self.table;
            self.round = table.places_there().map(|place| table.at(place).key).collect();
            for i in (1..self.round.len()).rev() {
                let j = self.rng.rand_range(0..i as u64 + 1) as usize;
                self.round.swap(i, j);
            }
        }
        None
    }

    /// One of those that are on the list and not there is called: it may be back, or the cut may be over. Nothing
    /// is made of it if it says nothing. Each member does so as seldom as to have each missing one called once a
    /// period by all together (Serf's reconnector draws the same lot): where each called one each period, a
    /// single missing one of 7,600 was sent 38,000 datagrams a second. A process that has started calls more of
    /// those that it never heard of, for as long as it takes to call each of them twice, or in a long list until
    /// the first has answered.
    pub(super) fn call_the_missing(&mut self, out: &mut Out) {
        let callers = self.there() + 1;
        let missing = self.table.len() - self.there();
        let chance = (missing as f64 / callers as f64).min(1.0);
        let chance = if self.calls_all() { chance } else { chance * LONG_LIST_CALLS };
        let draws = self.rng.rand_float() < chance;
        if draws && let Some(key) = self.table.any_missing(&mut self.rng) {
            self.call(key, out);
        }
        let unknown = self.table.unknown();
        let (left, a_period) = match self.calls_all() {
            // With few left they would be called by each of the others for as long as all were to be.
            true => (self.calls_left.min(CALLS_EACH * unknown), CALLS_A_PERIOD),
            false if self.there() == 0 => (self.calls_left, FIRST_CALLS_A_PERIOD),
            false => (0, 0),
        };
        let more = a_period.min(left).min(unknown);
        self.calls_left = left - more;
        for n in 0..more {
            let Some(key) = self.table.draw_unknown(n, &mut self.rng) else { break };
            self.call(key, out);
        }
    }

    /// Calls those that are not there, so many at once at most: who has just started is known to all that
    /// answer, and knows them, within one way there and back. Of a long list, which all take over at about the same
    /// time, nobody is called so.
    pub fn greet(&mut self, now: Time, out: &mut Out) {
        self.now = now;
        if !self.calls_all() {
            return;
        }
        for n in 0..GREETED {
            let Some(key) = self.table.draw_unknown(n, &mut self.rng) else { break };
            self.call(key, out);
        }
        for n in 0..GREETED.saturating_sub(self.table.unknown()) {
            let Some(key) = self.table.draw_gone(n, &mut self.rng) else { break };
            self.call(key, out);
        }
        self.due = Some(self.next().max(now));
    }

    /// Calls one member: it answers to this very process, whatever is known of it.
    pub fn call(&mut self, of: Key, out: &mut Out) {
        let seq = self.next_seq();
        self.say(of, Body::Ping { seq }, out);
    }

    pub(super) fn ask_others(&mut self, probe: Probe, out: &mut Out) {
        let (mut asked, mut drawn) = (0, 0);
        while asked < self.times.ask as u32 {
            let Some(other) = self.table.draw_there(drawn, &mut self.rng) else { break };
            drawn += 1;
            let alive = self.peer(other).is_some_and(|peer| peer.health == Health::Alive);
            if alive && other != probe.of {
                self.say(other, Body::Ask { seq: probe.seq, of: probe.of }, out);
                asked += 1;
            }
        }
        if let Some(probe) = &mut self.probe {
            probe.asked = Some(asked);
        }
    }

    /// The probe has ended with no answer.
    pub(super) fn judge(&mut self, now: Time, out: &mut Out) {
        let Some(probe) = self.probe.take() else { return };
        // Those asked say so if they heard nothing either. If they say nothing at all, it is more likely
        // this member that is not heard.
        if probe.asked.unwrap_or(0) > probe.silent {
            self.worsen_local_health(1);
        }
        let Some(peer) = self.peer(probe.of).filter(|peer| peer.health.is_there()) else { return };
        let (life, incarnation) = (peer.life, peer.incarnation);
        let doubted =
            Update { of: probe.of, life, incarnation, state: MemberState::Suspect, by: self.own };
        self.learn(now, doubted, out);
    }
}
