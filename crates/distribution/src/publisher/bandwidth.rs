//! Which session may send next while bandwidth is short: changes go before snapshots, each in order of arrival.

use std::collections::VecDeque;

use sableloom_types::Time;

use super::options::PublisherOptions;
use super::output::SessionId;
use super::token_bucket::TokenBucket;

/// The priority of a session's next frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Priority {
    /// A frame of a delta: before all snapshots.
    Delta,
    /// A frame of a snapshot.
    Snapshot,
}

/// The bandwidth limit, and the sessions that wait for it, each in one queue at most.
#[derive(Debug)]
pub(super) struct Bandwidth {
    bucket: TokenBucket,
    waiting_with_delta: VecDeque<SessionId>,
    waiting_with_snapshot: VecDeque<SessionId>,
}

impl Bandwidth {
    pub(super) fn new(options: &PublisherOptions) -> Self {
        Bandwidth {
            bucket: TokenBucket::new(options.bytes_per_second, options.burst_bytes),
            waiting_with_delta: VecDeque::new(),
            waiting_with_snapshot: VecDeque::new(),
        }
    }

    /// Whether there is any bandwidth left.
    pub(super) fn is_available(&mut self, now: Time) -> bool {
        self.bucket.is_ready(now)
    }

    /// Whether a session that does not wait may send now, given those that wait.
    pub(super) fn may_send(&mut self, now: Time, priority: Priority) -> bool {
        let is_first = match priority {
            Priority::Delta => self.waiting_with_delta.is_empty(),
            Priority::Snapshot => self.waiting() == 0,
        };
        is_first && self.bucket.is_ready(now)
    }

    /// Takes the bandwidth of a frame.
    pub(super) fn spend(&mut self, bytes: usize) {
        self.bucket.spend(bytes);
    }

    /// Queues a session until there is bandwidth.
    pub(super) fn enqueue(&mut self, session: SessionId, priority: Priority) {
        match priority {
            Priority::Delta => self.waiting_with_delta.push_back(session),
            Priority::Snapshot => self.waiting_with_snapshot.push_back(session),
        }
    }

    /// Removes the session that is served next from its queue.
    pub(super) fn next_waiting(&mut self) -> Option<SessionId> {
        self.waiting_with_delta.pop_front().or_else(|| self.waiting_with_snapshot.pop_front())
    }

    /// The number of sessions that wait.
    pub(super) fn waiting(&self) -> usize {
        self.waiting_with_delta.len() + self.waiting_with_snapshot.len()
    }

    /// When a session that waits can be served.
    pub(super) fn due(&self) -> Option<Time> {
        if self.waiting() == 0 { None } else { self.bucket.ready_at() }
    }
}
