//! The exchange of member tables: a process that has started pulls one whole, and members whose views go on to
//! differ pull what differs. One exchange at a time, page by page, within the budget of bytes.

use sableloom_types::{Span, Time};

use super::{Fleet, Out};
use crate::meter::HEADER_BYTES;
use crate::page::{self, Grouping};
use crate::wire::{Body, Key, MAX_PAGE, MOST, Page, Pull, Update};

/// A page is asked for while the last second had so few bytes that it fits below this.
const PULL_BELOW: usize = 4500;
/// A page is served while the last second had so few bytes that it fits below this. Without it a member whom many ask
/// at once would send past its budget.
const SERVE_BELOW: usize = 4500;
/// What a page is expected to have. One has more where all that it names is new, as in a first pull.
const EXPECTED_PAGE: usize = MAX_PAGE / 2;
/// A page that is shorter for want of room than this is not worth its headers.
const MIN_PAGE: usize = 256;
/// A page that did not come within so many periods is asked for again, of another member;
const ANSWER_PERIODS: i64 = 3;
/// so often in one exchange.
const MAX_TRIES: u32 = 4;
/// Views differ for so many periods before they are compared: what happens is mostly told by updates before.
const DIFFER_PERIODS: i64 = 10;
/// After an exchange that brought nothing the next one waits for so many periods, and twice as many after each
/// further one between which the view has not changed,
const MIN_PAUSE_PERIODS: i64 = 5;
/// up to so many: where lists differ, views differ for good.
const MAX_PAUSE_PERIODS: i64 = 160;
/// How long one that has no room for a page waits before it looks again.
const LOOK_AGAIN: Span = Span(100_000);

/// A pull that is under way.
#[derive(Clone, Debug)]
struct Exchange {
    with: Key,
    /// All before this key was compared.
    from: Key,
    salt: u32,
    grouping: Grouping,
    /// The request that is out.
    seq: Option<u32>,
    /// When the next page is asked for, or that request is over.
    due: Time,
    tries: u32,
    /// Who has answered since, and is asked next if the other does not.
    other: Option<Key>,
    learnt: bool,
}

/// When tables are compared.
#[derive(Clone, Debug)]
pub(super) struct Exchanges {
    current: Option<Exchange>,
    /// Since when views that were told differ from its own, and the last time that one did. One that is the same
    /// ends nothing: of two that lack the same member neither helps the other.
    differs: Option<(Time, Time)>,
    /// The next one begins then at the earliest,
    next: Time,
    /// as the last one brought nothing; without such a pause it begins at once.
    pause: Option<Span>,
    /// Its view's digest when that one ended.
    digest: u32,
    /// No table was pulled whole since the process has started.
    first: bool,
}

impl Exchanges {
    pub(super) fn new(now: Time) -> Self {
        Self { current: None, differs: None, next: now, pause: None, digest: 0, first: true }
    }

    /// When something is to be done.
    pub(super) fn due(&self) -> Option<Time> {
        self.current.as_ref().map(|exchange| exchange.due)
    }

    /// Whether a table is pulled.
    pub(super) fn is_under_way(&self) -> bool {
        self.current.is_some()
    }

    /// Keeps what is with these members.
    pub(super) fn retain(&mut self, known: impl Fn(Key) -> bool) {
        self.current = self.current.take().filter(|exchange| known(exchange.with));
    }
}

impl Fleet {
    /// A member has answered, and told its view's digest.
    pub(super) fn compare(&mut self, now: Time, with: Key, digest: u32, out: &mut Out) {
        if digest == self.digest() {
            return;
        }
        let patience = self.periods(DIFFER_PERIODS);
        let before = self.exchanges.differs.filter(|(_, last)| now < last.plus(patience));
        let since = before.map_or(now, |(since, _)| since);
        self.exchanges.differs = Some((since, now));
        if before.is_none() {
            let least = self.periods(MIN_PAUSE_PERIODS);
            self.exchanges.pause.get_or_insert(least);
        }
        if let Some(exchange) = self.exchanges.current.as_mut().filter(|e| e.with != with) {
            exchange.other = Some(with);
        }
        let Exchanges { current, next, pause, first, .. } = &self.exchanges;
        let waits = !first && pause.is_some() && now < since.plus(patience);
        if current.is_some() || now < *next || waits {
            return;
        }
        self.exchanges.current = Some(Exchange {
            with,
            from: 0,
            salt: self.rng.rand_u64() as u32,
            grouping: Grouping::for_members(self.table.len()),
            seq: None,
            due: now,
            tries: 0,
            other: None,
            learnt: false,
        });
        self.exchange(now, out);
    }

    /// Asks for the next page if there is room for it, or of another member if none came.
    pub(super) fn exchange(&mut self, now: Time, out: &mut Out) {
        let Some(mut exchange) = self.exchanges.current.take_if(|exchange| exchange.due <= now)
        else {
            return;
        };
        if exchange.seq.take().is_some() {
            exchange.tries += 1;
            if exchange.tries == MAX_TRIES {
                return self.end_exchange(now, exchange.learnt);
            }
            let other = exchange.other.take().filter(|other| self.peer(*other).is_some());
            exchange.with = other.unwrap_or(exchange.with);
        }
        let expected = MOST + EXPECTED_PAGE + 2 * HEADER_BYTES;
        exchange.due = now.plus(LOOK_AGAIN);
        if self.meter.room(now, PULL_BELOW) >= expected {
            let seq = self.next_seq();
            let Exchange { with, from, salt, grouping, .. } = exchange;
            let own = self.table.peers_from(from).filter(|peer| peer.key != with);
            let pull = page::request(seq, from, salt, grouping, own);
            self.say(with, Body::Pull(pull), out);
            exchange.seq = Some(seq);
            exchange.due = now.plus(self.periods(ANSWER_PERIODS));
        }
        self.exchanges.current = Some(exchange);
    }

    /// A member asks for a page. Without room for one it is not answered, and asks another.
    pub(super) fn serve(&mut self, now: Time, to: Key, pull: &Pull, out: &mut Out) {
        let most = self.meter.room(now, SERVE_BELOW).saturating_sub(HEADER_BYTES).min(MAX_PAGE);
        if most < MIN_PAGE {
            return;
        }
        let known = self.table.peers_from(pull.from).filter(|peer| peer.key != to);
        if let Some(page) = page::answer(pull, self.life, most, known) {
            self.say(to, Body::Page(page), out);
        }
    }

    /// A page has come. One that was not asked for, or not of this member, or comes again, counts for nothing; and
    /// none is a sign of life of those that it names.
    pub(super) fn page(&mut self, now: Time, from: Key, page: &Page, out: &mut Out) {
        let asked =
            |exchange: &mut Exchange| (exchange.with, exchange.seq) == (from, Some(page.seq));
        let Some(mut exchange) = self.exchanges.current.take_if(asked) else { return };
        let Some(entries) = page::read(page, exchange.from) else {
            // As if it had not come.
            exchange.due = now;
            self.exchanges.current = Some(exchange);
            return self.exchange(now, out);
        };
        let digest = self.digest();
        for page::Entry { of, life, incarnation, state } in entries {
            self.learn_unheard(now, Update { of, life, incarnation, state, by: from }, out);
        }
        exchange.learnt |= self.digest() != digest;
        exchange.seq = None;
        exchange.due = now;
        match page.until.checked_add(1) {
            Some(next) => exchange.from = next,
            None => {
                self.exchanges.first = false;
                return self.end_exchange(now, exchange.learnt);
            }
        }
        self.exchanges.current = Some(exchange);
        self.exchange(now, out);
    }

    fn periods(&self, count: i64) -> Span {
        Span(self.times.period.0 * count)
    }

    /// After one that brought something the next begins as soon as views are seen to differ.
    fn end_exchange(&mut self, now: Time, learnt: bool) {
        let (least, most) = (self.periods(MIN_PAUSE_PERIODS), self.periods(MAX_PAUSE_PERIODS));
        let digest = self.digest();
        let exchanges = &mut self.exchanges;
        if learnt || exchanges.first {
            exchanges.pause = None;
            return;
        }
        // Pauses are for lists that differ. While a view goes on changing there is more to learn elsewhere.
        let pause = exchanges.pause.filter(|_| exchanges.digest == digest).unwrap_or(least);
        exchanges.digest = digest;
        exchanges.next = now.plus(pause);
        exchanges.pause = Some(Span((pause.0 * 2).min(most.0)));
    }
}
