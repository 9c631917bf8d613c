//! Rate limits for absence queries. An absence query is a datagram that a member's operating system answers if no
//! process holds the member's address.

use std::collections::VecDeque;

use sableloom_types::{Span, Time};

use crate::member::Key;

/// The maximum number of absence queries in any second about a long list. With their answers, they use a third of what
/// a member may send and receive (8,192 bytes a second). Without this bound, the death of a quarter of 1,900 members
/// cost each of the others 512 queries a second.
const MAX_QUERIES_PER_SECOND: usize = 32;
const ONE_SECOND: Span = Span(1_000_000);

/// The absence queries to send now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AbsenceQueries {
    /// The members whose operating systems are queried.
    pub to: Vec<Key>,
    /// When the caller should request the next absence queries.
    pub retry_at: Time,
}

/// Limits absence queries by those that were sent within the last lease.
#[derive(Clone, Debug)]
pub(crate) struct QueryBudget {
    lease: Span,
    max_per_lease: usize,
    /// The times at which queries were sent, the oldest first.
    sent_at: VecDeque<Time>,
}

impl QueryBudget {
    pub(crate) fn new(lease: Span, max_per_lease: usize) -> Self {
        Self { lease, max_per_lease, sent_at: VecDeque::new() }
    }

    /// Removes queries that were sent at least one lease ago.
    pub(crate) fn expire(&mut self, now: Time) {
        while self.sent_at.front().is_some_and(|at| now.since(*at) >= self.lease) {
            self.sent_at.pop_front();
        }
    }

    /// Returns how many more queries may be sent in the current second. The rate is limited for long lists only.
    pub(crate) fn remaining_this_second(&self, now: Time, is_short_list: bool) -> usize {
        if is_short_list {
            return usize::MAX;
        }
        let sent_this_second =
            self.sent_at.iter().rev().take_while(|at| now.since(**at) < ONE_SECOND);
        MAX_QUERIES_PER_SECOND.saturating_sub(sent_this_second.count())
    }

    /// Returns whether the lease allows no further query.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.sent_at.len() >= self.max_per_lease
    }

    /// Records a query that is sent now.
    pub(crate) fn spend(&mut self, now: Time) {
        self.sent_at.push_back(now);
    }

    /// Returns when the oldest query stops counting against the budget; `None` if no query counts.
    pub(crate) fn next_release(&self) -> Option<Time> {
        self.sent_at.front().map(|first| first.plus(self.lease))
    }
}
