//! The schedule of one balancer's polls.

use sableloom_types::{Span, Time};

use crate::backoff::Backoff;
use crate::notification::{
    MAX_CONTINUATION_GAP, NOTIFIED_AFTER_FAILURE, NOTIFIED_AFTER_MOVE, NOTIFIED_AFTER_SILENCE,
    NOTIFIED_AFTER_WAIT, ms,
};
use crate::poll::{PollOutcome, PollRequest};
use crate::poll_timing::PollTiming;
use crate::service_time::{FleetServiceTime, ServiceSpeed};

/// The wait of a poll that is to be answered as soon as its turn comes at the service. It is the shortest wait that
/// can be asked for. A poll with this wait counts as a poll without a wait.
const SHORTEST_WAIT: Span = ms(1);
/// The shortest wait of a poll that continues a watch.
const SHORTEST_LONG_WAIT: Span = ms(2);
/// A poll was answered quickly, as by a service without other polls queued before it, if its latency is less than the
/// hedge delay divided by this.
const QUICK_ANSWER_DIVISOR: i64 = 4;
/// An answer to a long poll is early if it arrives within this time. It is also the backoff after an early answer
/// without a change, and after each further early answer in a row.
const EARLY_ANSWER_LIMIT: Span = ms(100);
/// The pause in a watch before a new poll that measures the service: a poll that continued the watch would not be
/// queued.
const MEASUREMENT_GAP: Span = Span(MAX_CONTINUATION_GAP.0 * 5 / 4);
/// A wait that is shorter than its period divided by this is prolonged by a period.
const MIN_WAIT_DIVISOR: i64 = 20;

/// Whether the list of the balancer is in sync with discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncState {
    /// No answer has arrived yet, and none is overdue.
    Syncing,
    /// A long poll is open, and on time as far as can be known.
    Watching,
    /// A poll was silent or failed, or discovery has moved: changes will count as notified soon, and it is not known
    /// whether there are any. The servers of the last list are used, because a change that does not count as notified
    /// yet is not binding.
    Resyncing,
    /// The list is not in sync, and the time by which an answer was due has passed. The servers of the last list are
    /// still used: a discovery service that answers no poll is more often down than in possession of a drain that was
    /// not received. Rejecting every request while discovery is down would turn each outage of discovery into an
    /// outage of the whole service.
    Stale,
}

/// A poll that has not ended.
#[derive(Clone, Copy, Debug)]
struct InFlightPoll {
    request: PollRequest,
    started: Time,
    /// Whether the poll after this one measures the service, if this one is answered at the end of its wait.
    measure_after: bool,
}

/// Decides when one balancer polls discovery.
#[derive(Debug)]
pub struct PollSchedule {
    timing: PollTiming,
    /// Whether an answer has arrived since the last silence or failure, so that a long poll continues the watch.
    watch_open: bool,
    /// Whether the next poll asks for the full list, because the balancer has no version of it from which discovery
    /// could continue.
    needs_full_list: bool,
    in_flight: Option<InFlightPoll>,
    /// From when a change that was not received may count as notified; `None` while a watch is on time.
    notified_from: Option<Time>,
    /// When an answer is due; `None` while the list is in sync or no answer was expected yet.
    answer_due: Option<Time>,
    backoff: Backoff,
    /// The latency of the last poll without a wait.
    last_latency: Option<Span>,
    fleet_service_time: FleetServiceTime,
    /// Whether a long poll went silent or discovery has moved, and no answer has arrived since.
    urgent: bool,
    /// Whether the last poll had no wait and timed out.
    last_poll_timed_out: bool,
    /// Whether the last poll had no wait and was queued behind others.
    last_poll_was_queued: bool,
    /// The number of early answers in a row.
    early_answers: u32,
}

impl PollSchedule {
    /// Creates a schedule without a poll. `needs_full_list` is set if no version of the list is known; `seed`
    /// determines the backoffs.
    pub fn new(timing: PollTiming, seed: u64, needs_full_list: bool) -> Self {
        Self {
            timing,
            watch_open: false,
            needs_full_list,
            in_flight: None,
            notified_from: None,
            answer_due: None,
            backoff: Backoff::new(seed),
            last_latency: None,
            fleet_service_time: FleetServiceTime::default(),
            urgent: false,
            last_poll_timed_out: false,
            last_poll_was_queued: false,
            early_answers: 0,
        }
    }

    /// Schedules the first poll for this balancer's turn in a fleet that starts now. A list that is known from before
    /// may lack any change.
    pub fn start(&mut self, now: Time) {
        self.notified_from = Some(now);
        self.fleet_service_time.start_in_turn(now);
        self.backoff.set_until(now.plus(self.timing.start_delay));
    }

    /// The timing of the polls.
    pub fn timing(&self) -> &PollTiming {
        &self.timing
    }

    /// Whether the list is in sync.
    pub fn state(&self, now: Time) -> SyncState {
        match self.answer_due {
            Some(due) if now >= due => SyncState::Stale,
            Some(_) => SyncState::Resyncing,
            None if self.watch_open => SyncState::Watching,
            None => SyncState::Syncing,
        }
    }

    /// From when a change that the balancer has not received may count as notified, without any grace; `None` while no
    /// such change can be missing. Once a poll is abandoned, the shorter of the platform's limits applies, whatever its
    /// wait was.
    pub fn notified_from(&self) -> Option<Time> {
        self.notified_from
    }

    /// Reports that discovery has another address from now on, and that a poll that was in flight has been dropped.
    pub fn discovery_moved(&mut self, now: Time) {
        self.watch_open = false;
        self.needs_full_list = true;
        self.in_flight = None;
        self.backoff.set_until(now);
        self.backoff.reset_failures();
        self.last_latency = None;
        self.fleet_service_time.restart(now);
        self.urgent = true;
        self.last_poll_timed_out = false;
        self.early_answers = 0;
        self.notified_from = Some(now.plus(NOTIFIED_AFTER_MOVE));
        self.answer_due = Some(now.plus(NOTIFIED_AFTER_MOVE).plus(self.timing.drain_grace));
    }

    /// Makes the next poll ask for the full list.
    pub fn request_full_list(&mut self) {
        self.needs_full_list = true;
    }

    /// When the next poll is to be made; `now` if no backoff is left.
    pub fn next_poll_at(&self, now: Time) -> Time {
        self.backoff.until().max(now)
    }

    /// Starts the next poll and returns what the caller is to send.
    pub fn start_poll(&mut self, now: Time) -> PollRequest {
        let (request, measure_after) = match self.watch_open && !self.needs_full_list {
            true => self.long_poll(now),
            false => (self.immediate_poll(now), false),
        };
        self.in_flight = Some(InFlightPoll { request, started: now, measure_after });
        request
    }

    /// Returns a poll that waits for a change, and whether the service is to be measured at the end of its wait.
    fn long_poll(&self, now: Time) -> (PollRequest, bool) {
        let (wait, measure_after) = self.next_wait(now);
        let deadline = now.plus(wait).plus(self.timing.answer_slack);
        (PollRequest { wait: Some(wait), deadline, hedge_at: None }, measure_after)
    }

    fn next_wait(&self, now: Time) -> (Span, bool) {
        let long_wait = self.wait_to_own_phase(now, self.timing.wait);
        let wait = match self.fleet_service_time.speed(&self.timing) {
            ServiceSpeed::Unconfirmed(measure_at) => {
                return (measure_at.since(now).max(SHORTEST_LONG_WAIT), true);
            }
            ServiceSpeed::Fast => self.wait_to_own_phase(now, self.timing.short_wait),
            ServiceSpeed::Slow => long_wait,
        };
        // Measurements are spread over the longest period: a slow service can handle no more.
        let measure_after = self.fleet_service_time.measurement_is_due(now) && long_wait <= wait;
        (if measure_after { long_wait } else { wait }, measure_after)
    }

    /// Returns a poll that is answered when its turn comes at the service. With a long poll, a slow service could not
    /// be told from one without changes.
    fn immediate_poll(&self, now: Time) -> PollRequest {
        let timing = &self.timing;
        // A poll is hedged only at a service that has answered quickly, because each hedge lengthens the queue of a
        // slow service. It is not hedged after a move either, because all balancers move at once.
        let answers_quickly = self.last_latency.is_some_and(|latency| self.is_quick(latency));
        let has_room = timing.local_agent || self.fleet_service_time.has_room_for_hedges(timing);
        let hedged =
            answers_quickly && has_room && !self.needs_full_list && self.answer_due.is_some();
        let timeout = if self.last_poll_timed_out {
            timing.extended_poll_timeout
        } else {
            timing.poll_timeout
        };
        PollRequest {
            wait: (!self.needs_full_list).then_some(SHORTEST_WAIT),
            deadline: now.plus(timeout),
            hedge_at: hedged.then(|| now.plus(timing.hedge_delay)),
        }
    }

    /// Returns the wait that ends where this balancer's waits end in each of these periods.
    fn wait_to_own_phase(&self, now: Time, period: Span) -> Span {
        let period = period.0;
        let offset = (period as f64 * self.timing.phase) as i64;
        let passed = (now.0 - offset).rem_euclid(period);
        let left = period - passed;
        // After a poll that was queued, polls of other balancers are still queued. If this watch goes silent now,
        // that has to be detected only after they were handled. Where the period is the poll interval, the whole of it would leave no time for the poll after a silence,
        // because the balancer may count as one that does not watch.
        if self.last_poll_was_queued && left < period / 2 {
            return Span(period - period / MIN_WAIT_DIVISOR);
        }
        // Without the additional period, an answer that arrives just before the end of its wait would be followed by a
        // second poll that ends at the same time.
        let too_short = left * MIN_WAIT_DIVISOR < period;
        Span(if too_short { left + period } else { left })
    }

    /// Whether a poll with this latency was answered as by a service without other polls queued before it.
    fn is_quick(&self, latency: Span) -> bool {
        latency.0 * QUICK_ANSWER_DIVISOR < self.timing.hedge_delay.0
    }

    /// Reports how the poll in flight has ended.
    pub fn poll_ended(&mut self, now: Time, outcome: PollOutcome) {
        let Some(poll) = self.in_flight.take() else { return };
        if !matches!(outcome, PollOutcome::Answered { .. }) {
            self.record_unanswered(&poll);
        }
        match outcome {
            PollOutcome::Answered { changed } => self.handle_answer(now, poll, changed),
            PollOutcome::Silent => self.handle_silence(now, poll),
            PollOutcome::Failed => {
                self.watch_open = false;
                self.expect_answer(now.plus(NOTIFIED_AFTER_FAILURE));
                self.back_off(now);
            }
        }
    }

    fn handle_answer(&mut self, now: Time, poll: InFlightPoll, changed: bool) {
        self.watch_open = true;
        self.needs_full_list = false;
        self.notified_from = None;
        self.answer_due = None;
        self.urgent = false;
        self.last_poll_timed_out = false;
        self.backoff.reset_failures();
        let passed = now.since(poll.started);
        let wait = poll.request.wait.unwrap_or(Span(0));
        let is_long_poll = wait > SHORTEST_WAIT;
        let early = is_long_poll && passed < EARLY_ANSWER_LIMIT;
        self.early_answers = if early { self.early_answers + 1 } else { 0 };
        if is_long_poll {
            self.last_poll_was_queued = false;
        } else {
            self.handle_latency(now, passed, wait);
        }
        let asked_wait = whole_milliseconds(wait);
        if is_long_poll && passed >= asked_wait {
            self.fleet_service_time.observe_transfer(Span(passed.0 - asked_wait.0));
            if poll.measure_after {
                return self.pause_watch(now);
            }
        }
        // A service that keeps answering long polls early is polled again only after `EARLY_ANSWER_LIMIT`. That is less
        // than `MAX_CONTINUATION_GAP`, so that the watch continues. A single early answer with a change causes no
        // backoff.
        let needs_backoff = self.early_answers > u32::from(changed);
        self.backoff.set_until(if needs_backoff { now.plus(EARLY_ANSWER_LIMIT) } else { now });
    }

    /// Updates what is known of the service by an answer to a poll with no wait or the shortest one.
    fn handle_latency(&mut self, now: Time, latency: Span, wait: Span) {
        self.last_poll_was_queued = !self.is_quick(latency);
        self.last_latency = Some(latency);
        let beyond_wait = Span((latency.0 - wait.0).max(0));
        self.fleet_service_time.observe(now, beyond_wait, &self.timing);
    }

    /// Ends the watch, so that the next poll measures the service.
    fn pause_watch(&mut self, now: Time) {
        self.watch_open = false;
        self.backoff.set_until(now.plus(MEASUREMENT_GAP));
    }

    /// Records a poll that brought no list. It may have been silent since its start.
    fn record_unanswered(&mut self, poll: &InFlightPoll) {
        self.fleet_service_time.poll_failed();
        let notified = poll.started.plus(NOTIFIED_AFTER_FAILURE);
        self.notified_from =
            Some(self.notified_from.map_or(notified, |before| before.min(notified)));
    }

    fn handle_silence(&mut self, now: Time, poll: InFlightPoll) {
        // It is not known when the poll went silent, so the earliest possible time counts. The poll was abandoned by
        // this balancer, so the time limit after an abandoned poll, which is the shorter one, is kept wherever the
        // waits are short enough for it.
        let notified_after = match poll.request.wait {
            Some(wait) if wait > self.timing.longest_short_wait() => {
                NOTIFIED_AFTER_SILENCE.max(Span(wait.0 + NOTIFIED_AFTER_WAIT.0))
            }
            _ => NOTIFIED_AFTER_FAILURE,
        };
        self.expect_answer(poll.started.plus(notified_after));
        self.urgent = true;
        if std::mem::take(&mut self.watch_open) {
            self.backoff.set_until(now);
        } else {
            self.last_poll_timed_out = true;
            self.back_off(now);
        }
    }

    /// Sets when an answer is due, as changes that discovery has may count as notified from `notified` on. An earlier
    /// due time is kept.
    fn expect_answer(&mut self, notified: Time) {
        let due = notified.plus(self.timing.drain_grace);
        self.answer_due = Some(self.answer_due.map_or(due, |before| before.min(due)));
    }

    fn back_off(&mut self, now: Time) {
        let urgent = self.urgent && self.state(now) == SyncState::Resyncing;
        let timing = &self.timing;
        let max_backoff = if urgent { timing.max_urgent_backoff } else { timing.max_backoff };
        self.backoff.record_failure(now, max_backoff, urgent);
    }
}

/// The wait that discovery is asked for: in whole milliseconds, rounded down.
fn whole_milliseconds(wait: Span) -> Span {
    Span(wait.0 - wait.0 % ms(1).0)
}
