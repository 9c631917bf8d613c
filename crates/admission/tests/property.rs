//! Runs thousands of random sequences of events, and compares admission with a simple model after each of them.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sableloom_admission::{Admission, Arrival, Bounds, ConnectionId, KeepAlive, ReleaseReason};
use sableloom_types::{Span, Time};

const MS: i64 = 1000;

fn bounds(max_connections: usize, max_client_connections: usize) -> Bounds {
    Bounds {
        max_connections,
        max_client_connections,
        request_timeout: Span(2400 * MS),
        idle_timeout: Span(2500 * MS),
        write_timeout: Span(3000 * MS),
        max_wait: Span(100 * MS),
        max_retry_after: Span(1000 * MS),
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive(u8),
    BytesRead(usize),
    RequestComplete(usize),
    Answer(usize),
    WriteBlocked(usize),
    BytesWaiting(usize),
    WriteResumed(usize),
    Closed {
        index: usize,
        by_client: bool,
    },
    /// The caller uses the id of a connection that is not open; an id that is open is skipped.
    StaleId(u64),
    OutOfDescriptors,
    AdvanceClock(i64),
    Tick,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0u8..4).prop_map(Step::Arrive),
        5 => (0usize..64).prop_map(Step::BytesRead),
        5 => (0usize..64).prop_map(Step::RequestComplete),
        5 => (0usize..64).prop_map(Step::Answer),
        1 => (0usize..64).prop_map(Step::WriteBlocked),
        1 => (0usize..64).prop_map(Step::WriteResumed),
        1 => (0usize..64).prop_map(Step::BytesWaiting),
        1 => (0usize..64, any::<bool>())
            .prop_map(|(index, by_client)| Step::Closed { index, by_client }),
        1 => (0u64..40).prop_map(Step::StaleId),
        1 => Just(Step::OutOfDescriptors),
        4 => (0i64..400 * MS).prop_map(Step::AdvanceClock),
        2 => Just(Step::Tick),
    ];
    prop::collection::vec(step, 1..200)
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ModelPhase {
    Waiting,
    Busy,
    Closing,
}

/// The state of a connection, as far as the decisions and the reported events determine it.
#[derive(Clone, Copy, Debug)]
struct ModelConnection {
    phase: ModelPhase,
    blocked: bool,
    unread: bool,
}

impl ModelConnection {
    fn is_evictable(&self) -> bool {
        self.phase != ModelPhase::Busy && !self.blocked && !self.unread
    }

    /// Applies the arrival of bytes, which cancels a close.
    fn cancel_close(&mut self) {
        if self.phase == ModelPhase::Closing {
            self.phase = ModelPhase::Waiting;
        }
    }
}

struct History {
    now: Time,
    admission: Admission,
    model: BTreeMap<ConnectionId, ModelConnection>,
    max_connections: usize,
}

impl History {
    fn new(max_connections: usize, max_client_connections: usize) -> Self {
        let now = Time(1_000_000_000);
        let admission = Admission::new(bounds(max_connections, max_client_connections), now);
        Self { now, admission, model: BTreeMap::new(), max_connections }
    }

    /// Returns an open connection, if there is one; `index` selects which.
    fn pick(&self, index: usize) -> Option<ConnectionId> {
        self.model.keys().nth(index % self.model.len().max(1)).copied()
    }

    fn model_of(&mut self, id: ConnectionId) -> &mut ModelConnection {
        self.model.get_mut(&id).expect("a connection that is open")
    }

    fn check_evictable(&self, id: ConnectionId) {
        let connection = self.model[&id];
        assert!(connection.phase != ModelPhase::Busy, "{id:?} has a complete request");
        assert!(!connection.blocked, "{id:?} has an answer that is being written");
        assert!(!connection.unread, "{id:?} may have a complete request unread");
    }

    fn arrive(&mut self, source: u8) {
        let source = IpAddr::V4(Ipv4Addr::new(127, 0, 0, source));
        let limit = self.admission.limit();
        // After a lack of descriptors, more connections may be open than there are slots.
        let any_evictable =
            self.model.values().any(ModelConnection::is_evictable) && self.model.len() <= limit;
        let mut rounds = 0;
        loop {
            rounds += 1;
            assert!(
                rounds <= self.max_connections + 2,
                "an arrival is decided in a bounded number of steps"
            );
            match self.admission.arrive(self.now, source) {
                Arrival::Admitted(id) => {
                    let connection = ModelConnection {
                        phase: ModelPhase::Waiting,
                        blocked: false,
                        unread: false,
                    };
                    assert!(self.model.insert(id, connection).is_none());
                    break;
                }
                Arrival::Evict(id) => {
                    self.check_evictable(id);
                    self.model.remove(&id);
                    self.admission.closed(self.now, id);
                }
                Arrival::Wait(until) => {
                    assert!(until > self.now && until <= self.now.plus(Span(100 * MS)));
                    assert!(!any_evictable, "a connection could have been evicted");
                    break;
                }
                Arrival::Reject(retry_after) => {
                    assert!(retry_after > Span(0) && retry_after <= Span(1000 * MS));
                    assert!(!any_evictable, "a connection could have been evicted");
                    break;
                }
            }
        }
        assert!(self.admission.connections() <= self.max_connections);
        assert!(self.admission.limit() == limit, "an arrival changes no bound");
    }

    fn answer(&mut self, id: ConnectionId) {
        if self.model_of(id).phase != ModelPhase::Busy {
            return;
        }
        let keep_alive = self.admission.before_answer(self.now, id);
        if let KeepAlive::CloseOther(other) = keep_alive {
            assert_ne!(other, id);
            self.check_evictable(other);
            self.model_of(other).phase = ModelPhase::Closing;
        }
        let closes = keep_alive == KeepAlive::Close;
        self.admission.answer_handed_over(self.now, id, closes);
        let phase = if closes { ModelPhase::Closing } else { ModelPhase::Waiting };
        self.model_of(id).phase = phase;
    }

    /// Applies a step of one connection.
    fn connection_step(&mut self, step: Step, id: ConnectionId) {
        let now = self.now;
        match step {
            Step::BytesRead(_) => {
                self.admission.bytes_read(now, id);
                self.model_of(id).cancel_close();
                self.model_of(id).unread = false;
            }
            Step::RequestComplete(_) => {
                self.admission.request_complete(now, id);
                self.model_of(id).phase = ModelPhase::Busy;
                self.model_of(id).unread = false;
            }
            Step::Answer(_) => self.answer(id),
            Step::WriteBlocked(_) => {
                self.admission.write_blocked(now, id);
                self.model_of(id).blocked = true;
            }
            Step::WriteResumed(_) => {
                self.admission.write_resumed(id);
                self.model_of(id).blocked = false;
            }
            Step::BytesWaiting(_) => {
                self.admission.bytes_waiting(now, id);
                self.model_of(id).cancel_close();
                self.model_of(id).unread = true;
            }
            Step::Closed { by_client, .. } => {
                if by_client {
                    self.admission.close_started(now, id, true);
                }
                self.admission.closed(now, id);
                self.model.remove(&id);
            }
            other => unreachable!("not a step of one connection: {other:?}"),
        }
    }

    fn use_stale_id(&mut self, id: ConnectionId) {
        if self.model.contains_key(&id) {
            return;
        }
        let (admission, now) = (&mut self.admission, self.now);
        admission.bytes_read(now, id);
        admission.request_complete(now, id);
        admission.write_blocked(now, id);
        admission.bytes_waiting(now, id);
        admission.write_resumed(id);
        admission.answer_handed_over(now, id, false);
        admission.close_started(now, id, true);
        admission.closed(now, id);
        assert_eq!(admission.before_answer(now, id), KeepAlive::Close);
    }

    fn run_out_of_descriptors(&mut self) {
        for release in self.admission.out_of_descriptors(self.now) {
            self.check_evictable(release.id);
            self.model_of(release.id).phase = ModelPhase::Closing;
        }
        let limit = self.admission.limit();
        assert!(limit >= 1 && limit <= self.max_connections);
    }

    fn tick(&mut self) {
        for release in self.admission.tick(self.now) {
            let connection = self.model[&release.id];
            match release.reason {
                ReleaseReason::WriteTimeout => {
                    assert!(connection.blocked, "its client accepts none of its answer");
                }
                // The request has exceeded its timeout, whatever is still unread.
                ReleaseReason::RequestTimeout => assert_ne!(connection.phase, ModelPhase::Busy),
                ReleaseReason::IdleTimeout | ReleaseReason::MakeRoom => {
                    self.check_evictable(release.id);
                }
            }
            self.model.remove(&release.id);
            self.admission.closed(self.now, release.id);
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Arrive(source) => self.arrive(source),
            Step::BytesRead(index)
            | Step::RequestComplete(index)
            | Step::Answer(index)
            | Step::WriteBlocked(index)
            | Step::WriteResumed(index)
            | Step::BytesWaiting(index)
            | Step::Closed { index, .. } => {
                if let Some(id) = self.pick(index) {
                    self.connection_step(step, id);
                }
            }
            Step::StaleId(id) => self.use_stale_id(ConnectionId(id)),
            Step::OutOfDescriptors => self.run_out_of_descriptors(),
            Step::AdvanceClock(us) => self.now = self.now.plus(Span(us)),
            Step::Tick => self.tick(),
        }
        assert_eq!(
            self.admission.connections(),
            self.model.len(),
            "no state of a closed connection is kept"
        );
        assert!(self.admission.connections() <= self.max_connections);
    }

    fn close_all(&mut self) {
        for id in self.model.keys() {
            self.admission.closed(self.now, *id);
        }
        assert!(self.admission.is_empty(), "{:?}", self.admission);
    }
}

/// A failure prints the steps that reproduce it.
#[test]
fn no_history_exceeds_a_bound_or_closes_a_connection_with_a_complete_request() {
    let config = Config { cases: 4000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let histories = (1usize..24, 1usize..24, steps());
    runner
        .run(&histories, |(max_connections, max_client_connections, steps)| {
            let mut history = History::new(max_connections, max_client_connections);
            steps.iter().for_each(|step| history.run(*step));
            history.close_all();
            Ok(())
        })
        .unwrap_or_else(|e| panic!("{e}"));
}
