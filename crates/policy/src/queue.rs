//! The first-come queue of requests that wait for a free slot.

use std::collections::VecDeque;

use sableloom_types::RequestId;

/// What is queued of one class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassQueue {
    queued: usize,
    /// Every live server is ejected for the class.
    ejected_everywhere: bool,
}

/// Requests in the order of their arrival; one that is retried goes to the head. Requests that have left the queue
/// may still have an entry, which [`Self::remove_at`] removes when dispatch meets it.
#[derive(Debug)]
pub(crate) struct RequestQueue {
    order: VecDeque<RequestId>,
    queued: usize,
    classes: Vec<ClassQueue>,
}

impl RequestQueue {
    pub(crate) fn new(classes: usize) -> Self {
        Self { order: VecDeque::new(), queued: 0, classes: vec![ClassQueue::default(); classes] }
    }

    /// Requests that are queued.
    pub(crate) fn len(&self) -> usize {
        self.queued
    }

    /// Entries from the head, also those of requests that have left.
    pub(crate) fn entries(&self) -> impl Iterator<Item = RequestId> {
        self.order.iter().copied()
    }

    /// The entry at this position from the head.
    pub(crate) fn get(&self, position: usize) -> Option<RequestId> {
        self.order.get(position).copied()
    }

    /// Removes the entry at this position.
    pub(crate) fn remove_at(&mut self, position: usize) {
        self.order.remove(position);
    }

    /// Adds a new request at the tail.
    pub(crate) fn push(&mut self, id: RequestId, class: usize) {
        self.order.push_back(id);
        self.count_queued(class);
    }

    /// Adds a request that is to be retried at the head.
    pub(crate) fn push_retry(&mut self, id: RequestId, class: usize) {
        self.order.push_front(id);
        self.count_queued(class);
    }

    fn count_queued(&mut self, class: usize) {
        self.queued += 1;
        self.classes[class].queued += 1;
    }

    /// Counts a request of this class that is no longer queued.
    pub(crate) fn request_left(&mut self, class: usize) {
        self.queued -= 1;
        self.classes[class].queued -= 1;
    }

    /// Notes whether every live server is ejected for a class.
    pub(crate) fn set_ejected_everywhere(&mut self, class: usize, ejected: bool) {
        self.classes[class].ejected_everywhere = ejected;
    }

    /// Queued requests that compete with those of this class: all but the ones of other classes for which every
    /// server is ejected. Failure: one class that was rejected everywhere filled the queue, and the others were
    /// rejected beside idle servers.
    pub(crate) fn competing_with(&self, class: usize) -> usize {
        let not_competing =
            |(index, queue): &(usize, &ClassQueue)| *index != class && queue.ejected_everywhere;
        let others = self.classes.iter().enumerate().filter(not_competing);
        self.queued - others.map(|(_, queue)| queue.queued).sum::<usize>()
    }
}
