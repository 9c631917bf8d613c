//! How many absence queries may be sent: datagrams that a member's operating system answers if no process holds the
//! member's address.

use std::collections::VecDeque;

use sableloom_types::{Span, Time};

use crate::member::Key;

/// Absence queries in any second at most, in a long list: with their answers they are a third of what a member may
/// send and receive (8,192 bytes a second). Without this bound, a quarter of 1,900 members that died cost each of the
/// others 512 queries a second.
const MAX_QUERIES_PER_SECOND: usize = 32;
const ONE_SECOND: Span = Span(1_000_000);

/// Absence queries that are to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AbsenceQueries {
    /// The members whose systems are queried.
    pub to: Vec<Key>,
    /// Before this time none of the candidates can be queried again.
    pub retry_at: Time,
}

/// The queries of the last lease, by which the next ones are limited.
#[derive(Clone, Debug)]
pub(crate) struct QueryBudget {
    lease: Span,
    max_per_lease: usize,
    /// When each was sent, the oldest first.
    sent_at: VecDeque<Time>,
}

impl QueryBudget {
    pub(crate) fn new(lease: Span, max_per_lease: usize) -> Self {
        Self { lease, max_per_lease, sent_at: VecDeque::new() }
    }

    /// Forgets queries that were sent longer than a lease ago.
    pub(crate) fn expire(&mut self, now: Time) {
        while self.sent_at.front().is_some_and(|at| now.since(*at) >= self.lease) {
            self.sent_at.pop_front();
        }
    }

    /// How many queries this second leaves. They are paced in long lists only.
    pub(crate) fn remaining_this_second(&self, now: Time, is_short_list: bool) -> usize {
        if is_short_list {
            return usize::MAX;
        }
        let sent_this_second =
            self.sent_at.iter().rev().take_while(|at| now.since(**at) < ONE_SECOND);
        MAX_QUERIES_PER_SECOND.saturating_sub(sent_this_second.count())
    }

    /// Whether no further query may be sent within this lease.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.sent_at.len() >= self.max_per_lease
    }

    /// Counts a query.
    pub(crate) fn spend(&mut self, now: Time) {
        self.sent_at.push_back(now);
    }

    /// When the oldest query no longer counts.
    pub(crate) fn next_release(&self) -> Option<Time> {
        self.sent_at.front().map(|first| first.plus(self.lease))
    }
}
