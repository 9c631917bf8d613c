//! The order in which sessions send when the bandwidth limit is reached: deltas before snapshots, and within each in
//! order of arrival.

use std::collections::VecDeque;

use sableloom_types::Time;

use super::options::PublisherOptions;
use super::output::SessionId;
use super::token_bucket::TokenBucket;

/// The priority of a session's next frame for bandwidth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Priority {
    /// A frame of a transaction that consists of deltas; it is sent before any snapshot.
    Delta,
    /// A frame of a transaction that has a snapshot.
    Snapshot,
}

/// The bandwidth limit and the sessions that wait for bandwidth, each of which is in at most one queue.
#[derive(Debug)]
pub(super) struct Bandwidth {
    bucket: TokenBucket,
    waiting_with_delta: VecDeque<SessionId>,
    waiting_with_snapshot: VecDeque<SessionId>,
}

impl Bandwidth {
    /// Creates the limit with a full burst and no session waiting.
    pub(super) fn new(options: &PublisherOptions) -> Self {
        Bandwidth {
            bucket: TokenBucket::new(options.bytes_per_second, options.burst_bytes),
            waiting_with_delta: VecDeque::new(),
            waiting_with_snapshot: VecDeque::new(),
        }
    }

    /// Returns whether a frame may be sent within the bandwidth limit now.
    pub(super) fn is_available(&mut self, now: Time) -> bool {
        self.bucket.is_ready(now)
    }

    /// Returns whether a session that is not in a queue may send a frame now: there is bandwidth, and no session of the
    /// same or a higher priority is waiting.
    pub(super) fn may_send(&mut self, now: Time, priority: Priority) -> bool {
        let is_first = match priority {
            Priority::Delta => self.waiting_with_delta.is_empty(),
            Priority::Snapshot => self.waiting() == 0,
        };
        is_first && self.bucket.is_ready(now)
    }

    /// Deducts the bytes of a frame from the bandwidth.
    pub(super) fn spend(&mut self, bytes: usize) {
        self.bucket.spend(bytes);
    }

    /// Adds a session to the queue of its priority.
    pub(super) fn enqueue(&mut self, session: SessionId, priority: Priority) {
        match priority {
            Priority::Delta => self.waiting_with_delta.push_back(session),
            Priority::Snapshot => self.waiting_with_snapshot.push_back(session),
        }
    }

    /// Removes the session that sends next from its queue and returns it.
    pub(super) fn next_waiting(&mut self) -> Option<SessionId> {
        self.waiting_with_delta.pop_front().or_else(|| self.waiting_with_snapshot.pop_front())
    }

    /// Returns the number of waiting sessions.
    pub(super) fn waiting(&self) -> usize {
        self.waiting_with_delta.len() + self.waiting_with_snapshot.len()
    }

    /// Returns the time at which a waiting session can send, or `None` if no session waits.
    pub(super) fn due(&self) -> Option<Time> {
        if self.waiting() == 0 { None } else { self.bucket.ready_at() }
    }
}
