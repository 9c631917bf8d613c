//! When discovery is called, how long a call is given, and what its silence means: the one place that
//! knows the clocks by which a change of the list counts as told. No I/O and no clock; the shell in
//! `discovery` makes the calls and says how they ended.
//!
//! A watch that has fallen silent looks like one that has no news. What it misses counts as told all the
//! same, so each call has an end by which its silence is known, and [`Times`] puts that end and all that
//! comes after it before the time that counts. `docs/design/discovery.md` has the sums.

use oorandom::Rand64;
use sableloom_types::{Span, Time};

const fn ms(ms: i64) -> Span {
    Span(ms * 1000)
}

/// What a silent watch misses counts as told so long after it fell silent (platform's page),
pub const TOLD_AFTER_SILENCE: Span = ms(6000);
/// or so long after the wait of the call is over, if that is later.
pub const TOLD_AFTER_WAIT: Span = ms(2000);
/// After a call that failed, was refused or given up, a change counts as told so long after discovery had
/// it and could be reached, whatever is allowed otherwise (users' fourth letter).
pub const TOLD_AFTER_FAILURE: Span = ms(6000);
/// What discovery has to tell counts as told so long after SIGHUP.
pub const TOLD_AFTER_MOVE: Span = ms(4000);
/// A new call carries the watch on if it comes this soon after the last answer.
pub const GOES_ON_WITHIN: Span = ms(200);
/// The grace of a drain where the settings state none.
const GRACE: Span = ms(1000);

/// What the settings tell of discovery, and which balancer of how many this one is.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// An agent on this machine that answers at once and at no cost; else one service for all
    /// balancers, which works through new calls in turn.
    pub pushed: bool,
    /// How often the list has to be asked for at least, where it must be.
    pub poll_interval: Span,
    /// How long after a drain was told a send to the server may still begin; zero if not stated.
    pub grace: Span,
    /// Number of this balancer, from 0, and how many there are.
    pub position: u32,
    /// Balancers in all.
    pub balancers: u32,
}

/// How long each step may take, reckoned from the settings.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// The longest that a watch asks discovery to wait: the period of its calls.
    pub wait: Span,
    /// The same at a service that is quick enough: short enough for silence to be found out, and answered,
    /// in the time that counts after a call that was given up.
    pub short_wait: Span,
    /// A service is quick enough that takes no longer for a call of each balancer.
    pub short_if: Span,
    /// The part of each period at which this balancer's own waits end.
    pub phase: f64,
    /// How long after its start this balancer calls first. A fleet that starts in one moment comes in the
    /// order of its numbers, so that each can tell from its own answer what all calls take together.
    pub stagger: Span,
    /// Balancers in all.
    pub balancers: f64,
    /// How long past its wait an answer may come. One that is due comes within a network's round trip and
    /// this process's own lateness.
    pub slack: Span,
    /// How long a call that waits for nothing may take: its turn at the service.
    pub timeout: Span,
    /// The same after one that took longer, or a service that always does would never be heard.
    pub long_timeout: Span,
    /// A call that is owed is hedged, made a second time beside the first, after this long.
    pub hedge: Span,
    /// How long a connection may take to come up.
    pub connect: Span,
    /// How long an answer that has begun may pause.
    pub pause: Span,
    /// Longest backoff between tries after a watch fell silent or discovery moved.
    pub urgent_backoff: Span,
    /// Longest backoff after the first failure otherwise; twice as long after each further one.
    pub backoff: Span,
    /// The grace of a drain.
    pub grace: Span,
}

/// Most doublings of the backoff.
const DOUBLINGS: u32 = 2;
/// Of the time in which silence has to be found out and answered, the wait takes this part; the rest is for
/// the answer.
const SHORT_OF_KNOWN: f64 = 0.72;
/// A service that takes this part of it for a call of each balancer can answer all of them in time though
/// they all find out in one short wait. Failure where it takes longer: the last of six, at 1.3 s for each,
/// was answered later than by long waits, which end further apart.
const QUICK_OF_KNOWN: f64 = 0.88;
/// A fleet that starts in one moment calls over this part of the time for asking.
const STAGGER_OF_EVERY: f64 = 0.05;
/// A service is quick that answered a call that waited for nothing in this part of the time after which
/// a second call would be made.
const QUICK: i64 = 4;
/// Backoff where answers come faster than a watch has reason to.
const UNHURRIED: Span = ms(100);

impl Times {
    /// The times that follow from these options.
    pub fn of(options: &Options) -> Self {
        let grace = if options.grace.0 > 0 { options.grace } else { GRACE };
        if options.pushed {
            // What the agent has counts as told at once, also what it gets while a call hangs that it
            // will never answer: wait, slack and a new call have to fit into the grace of a drain.
            let part = |of: f64, most: Span| {
                Span::from_micros_f64(grace.as_micros_f64() * of).min(most).max(ms(20))
            };
            return Self {
                wait: part(0.4, ms(400)),
                short_wait: part(0.4, ms(400)),
                short_if: Span(0),
                phase: 0.0,
                stagger: Span(0),
                balancers: 1.0,
                slack: part(0.25, ms(250)),
                timeout: part(0.25, ms(250)),
                long_timeout: part(0.25, ms(250)),
                hedge: part(0.1, ms(100)),
                connect: part(0.1, ms(100)),
                pause: part(0.25, ms(250)),
                urgent_backoff: part(0.05, ms(50)),
                backoff: part(0.05, ms(50)),
                grace,
            };
        }
        // The service bears one call of each balancer in the time that the settings give for asking, or
        // nobody could keep to it. So the ends of all waits are spread evenly over that time: when all
        // watches fall silent in one moment, the calls that find it out still come one by one. Failure:
        // all began in one moment, and called again in one moment, 1.5 s late, at a service that took
        // 0.35 s for each.
        let wait = options.poll_interval.max(ms(500)).min(ms(10_000));
        let of = f64::from(options.position % options.balancers.max(1));
        let mut times = Self {
            wait,
            short_wait: wait,
            short_if: Span(0),
            phase: of / f64::from(options.balancers.max(1)),
            stagger: Span(0),
            balancers: f64::from(options.balancers.max(1)),
            slack: ms(250),
            timeout: ms(5000),
            long_timeout: ms(10_000),
            hedge: Span(0),
            connect: ms(500),
            pause: ms(500),
            urgent_backoff: ms(250),
            // Not by the time for asking: what counts as told after a failure does not depend on it.
            // Failure: rests of up to four tenths of that time, and a service that came back meanwhile.
            backoff: Span::from_micros_f64(options.poll_interval.as_micros_f64() * 0.1)
                .min(ms(250)),
            grace,
        };
        let known = Span(TOLD_AFTER_FAILURE.0 + grace.0 - times.slack.0 - times.connect.0);
        times.short_wait = Span::from_micros_f64(known.as_micros_f64() * SHORT_OF_KNOWN).min(wait);
        times.short_if = Span::from_micros_f64(known.as_micros_f64() * QUICK_OF_KNOWN);
        times.stagger = Span::from_micros_f64(
            options.poll_interval.as_micros_f64().min(10e6) * STAGGER_OF_EVERY * times.phase,
        );
        // Late, as a service that is merely slow is made slower by it.
        times.hedge =
            Span::from_micros_f64(times.left_after_silence().as_micros_f64() * 0.65).min(ms(1500));
        times
    }

    /// What is left for the answer to a new call once a silent watch is known to be silent, until a send
    /// to a server that drains would break the rule.
    pub fn left_after_silence(&self) -> Span {
        let told = (TOLD_AFTER_SILENCE.0 - self.wait.0).max(TOLD_AFTER_WAIT.0);
        let after_short = TOLD_AFTER_FAILURE.0 - self.longest_short().0;
        Span(told.min(after_short) + self.grace.0 - self.slack.0 - self.connect.0)
    }

    /// The longest wait at a service that is quick enough: one may be a twentieth longer than its period.
    fn longest_short(&self) -> Span {
        Span(self.short_wait.0 * 21 / 20)
    }

    /// Where lists are pushed: what is left for the answer of an agent that has come back, if a call
    /// hangs that was made just before.
    pub fn left_after_return(&self) -> Span {
        let hangs =
            (self.wait.0 + self.slack.0).max(self.timeout.0 + (self.backoff.0 << DOUBLINGS));
        Span(self.grace.0 - hangs - self.connect.0)
    }
}

/// A call to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// How long discovery is asked to wait for news; `None` for the whole list at once.
    pub wait: Option<Span>,
    /// When its silence is known for silence.
    pub until: Time,
    /// When to hedge it: to make the same call beside it, on a connection of its own.
    pub hedge: Option<Time>,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// With an answer; whether there was news in it.
    Answered {
        /// Entries, or another version.
        news: bool,
    },
    /// Not a byte of an answer came by its end.
    Silent,
    /// It was turned away or broke, or what came made no sense.
    Failed,
}

/// What is known of the watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// What discovery has is asked for, or a backoff runs before that.
    Asking,
    /// A watch is open, and on time as far as can be known.
    Watching,
    /// A watch fell silent, a call failed, or discovery has moved: what there is counts as told soon, and it
    /// is not known whether there is any. The servers of the last list are used on: news that has not been
    /// told yet binds nobody.
    Owed,
    /// As `Owed`, and its time is over. The servers of the last list are still used: a service that
    /// answers nobody hides a drain less often than it is lost, and to refuse everything whenever
    /// discovery is lost would make each of its outages one of the whole service.
    Blind,
}

/// The calls of one balancer.
#[derive(Debug)]
pub struct Watch {
    times: Times,
    rng: Rand64,
    /// An answer has come since the last silence or failure: a waiting call carries the watch on.
    open: bool,
    /// The whole list is wanted, as versions known here mean nothing there.
    whole: bool,
    /// The call that is out, and when it was made.
    out: Option<(Call, Time)>,
    /// By when an answer has to be in.
    owed: Option<Time>,
    /// No call before this.
    backoff_until: Time,
    failures: u32,
    /// What the last call that waited for nothing took to be answered.
    took: Option<Span>,
    /// When it began to ask for its first answer, and whether it did so in its turn after a start.
    asks: Option<(Time, bool)>,
    /// What the service takes for a call of each balancer, as far as can be told; the longest, until
    /// anything can.
    all: Option<Span>,
    /// A watch fell silent or discovery has moved, and nothing has come since.
    pressing: bool,
    /// The last call waited for nothing and was not answered in its time.
    unheard: bool,
    /// The last call was such a one, and had to wait for its turn.
    waited: bool,
    /// Answers in a row that came at once.
    hasty: u32,
}

impl Watch {
    /// A watch that has made no call yet; `whole` if no version of the list is known.
    pub fn new(times: Times, seed: u64, whole: bool) -> Self {
        Self {
            times,
            rng: Rand64::new(u128::from(seed)),
            open: false,
            whole,
            out: None,
            owed: None,
            backoff_until: Time(i64::MIN),
            failures: 0,
            took: None,
            asks: None,
            all: None,
            pressing: false,
            unheard: false,
            waited: false,
            hasty: 0,
        }
    }

    /// The first call is to be made in this balancer's turn of a fleet that starts now.
    pub fn begin(&mut self, now: Time) {
        self.asks = Some((now, true));
        self.backoff_until = now.plus(self.times.stagger);
    }

    /// Its times.
    pub fn times(&self) -> &Times {
        &self.times
    }

    /// What is known of the watch now.
    pub fn state(&self, now: Time) -> State {
        match self.owed {
            Some(by) if now >= by => State::Blind,
            Some(_) => State::Owed,
            None if self.open => State::Watching,
            None => State::Asking,
        }
    }

    /// Discovery is elsewhere from now on; a call that is out has been dropped.
    pub fn moved(&mut self, now: Time) {
        self.open = false;
        self.whole = true;
        self.out = None;
        self.backoff_until = now;
        self.failures = 0;
        self.took = None;
        // All come over at once, in no order.
        self.asks = Some((now, false));
        self.all = None;
        self.pressing = true;
        self.unheard = false;
        self.hasty = 0;
        self.owed = Some(now.plus(TOLD_AFTER_MOVE).plus(self.times.grace));
    }

    /// The whole list is wanted with the next call.
    pub fn want_whole(&mut self) {
        self.whole = true;
    }

    /// When the next call is to be made.
    pub fn due(&self, now: Time) -> Time {
        self.backoff_until.max(now)
    }

    /// Makes the next call.
    pub fn call(&mut self, now: Time) -> Call {
        let t = &self.times;
        let call = if self.open && !self.whole {
            let wait = self.to_own_end(now);
            Call { wait: Some(wait), until: now.plus(wait).plus(t.slack), hedge: None }
        } else {
            // A call that waits would not tell a service that is slow from one that has no news. One
            // that waits for nothing is answered in its turn.
            // Only beside a service that has been quick: a slow one is late by its queue, which a second
            // call makes longer for all. Not after a move either: all balancers move at once.
            let quick = self.took.is_some_and(|took| self.is_quick(took)) && !self.whole;
            let hedge = self.owed.filter(|_| quick).map(|_| now.plus(t.hedge));
            let wait = (!self.whole).then_some(ms(1));
            let timeout = if self.unheard { t.long_timeout } else { t.timeout };
            Call { wait, until: now.plus(timeout), hedge }
        };
        self.out = Some((call, now));
        call
    }

    /// How long to wait so that the wait ends where this balancer's waits end in each period.
    fn to_own_end(&self, now: Time) -> Span {
        let period = self.period().0;
        let offset = (period as f64 * self.times.phase) as i64;
        let into = (now.0 - offset).rem_euclid(period);
        let left = period - into;
        // After a call that had to wait for its turn others still do. Should this watch fall silent now,
        // that has to be found out once they are through. Failure: of six balancers that began together
        // at a service that took 1.3 s for each, the first had to come again before the last had come
        // once. Longer than the period no call may wait: it may count as one that does not watch.
        if self.waited && left < period / 2 {
            return Span(period);
        }
        // An answer that came a moment early would ask twice for one end.
        Span(if left * 20 < period { left + period } else { left })
    }

    /// How far apart this balancer's waits end: as far as can be told of the service by now.
    fn period(&self) -> Span {
        let quick = self.all.is_some_and(|all| all <= self.times.short_if);
        if quick { self.times.short_wait } else { self.times.wait }
    }

    /// What an answer tells of the time that the service takes for a call of each balancer.
    fn reckon(&mut self, now: Time, took: Option<Span>) {
        let t = &self.times;
        match (self.asks.take(), self.all, took) {
            // So many of the fleet had theirs by then, where all began in one moment. One that begins alone
            // has its answer sooner, and may take a slow service for a quick one.
            (Some((began, true)), ..) => {
                let share = t.phase + 1.0 / t.balancers;
                self.all = Some(Span::from_micros_f64(now.since(began).as_micros_f64() / share));
            }
            // It may have been the first of all, or the last.
            (Some((_, false)), _, Some(took)) => {
                self.all = Some(Span::from_micros_f64(took.as_micros_f64() * t.balancers))
            }
            (None, Some(all), Some(took)) => self.all = Some(all.max(took)),
            _ => {}
        }
    }

    /// Whether a call was answered as by a service that has no others before it.
    fn is_quick(&self, took: Span) -> bool {
        took.0 * QUICK < self.times.hedge.0
    }

    /// The call that was out has ended.
    pub fn ended(&mut self, now: Time, how: Ended) {
        let Some((call, began)) = self.out.take() else { return };
        match how {
            Ended::Answered { news } => {
                self.open = true;
                self.whole = false;
                self.owed = None;
                self.pressing = false;
                self.unheard = false;
                self.failures = 0;
                let waits = call.wait.is_some_and(|wait| wait > ms(1));
                let took = (!waits).then(|| now.since(began));
                self.waited = took.is_some_and(|took| !self.is_quick(took));
                self.took = took.or(self.took);
                self.reckon(now, took);
                let early = now.since(began) < UNHURRIED;
                self.hasty = if waits && early { self.hasty + 1 } else { 0 };
                // A service that answers a waiting call at once, again and again, is asked no faster
                // than this; still soon enough for the watch to go on.
                let spins = self.hasty > u32::from(news);
                self.backoff_until = if spins { now.plus(UNHURRIED) } else { now };
            }
            Ended::Silent => {
                // Nobody can say when it fell silent: the earliest counts. It was given up here, so that
                // the shorter of the two clocks is kept wherever the waits are short enough for it.
                let after = match call.wait {
                    Some(wait) if wait > self.times.longest_short() => {
                        TOLD_AFTER_SILENCE.max(Span(wait.0 + TOLD_AFTER_WAIT.0))
                    }
                    _ => TOLD_AFTER_FAILURE,
                };
                self.owe(began.plus(after));
                self.pressing = true;
                if std::mem::take(&mut self.open) {
                    self.backoff_until = now;
                } else {
                    self.unheard = true;
                    self.fail(now);
                }
            }
            Ended::Failed => {
                self.open = false;
                self.owe(now.plus(TOLD_AFTER_FAILURE));
                self.fail(now);
            }
        }
    }

    /// What discovery has may count as told from then on.
    fn owe(&mut self, told: Time) {
        let by = told.plus(self.times.grace);
        self.owed = Some(self.owed.map_or(by, |before| before.min(by)));
    }

    fn fail(&mut self, now: Time) {
        let (t, lot) = (&self.times, self.rng.rand_float());
        let urgent = self.pressing && self.state(now) == State::Owed;
        let longest = if urgent {
            t.urgent_backoff.as_micros_f64()
        } else {
            t.backoff.as_micros_f64() * f64::from(1u32 << self.failures.min(DOUBLINGS))
        };
        self.failures = (self.failures + 1).min(DOUBLINGS);
        self.backoff_until = now.plus(Span::from_micros_f64(longest * (0.2 + 0.8 * lot)));
    }
}
