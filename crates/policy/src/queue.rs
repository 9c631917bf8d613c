//! The first-in, first-out queue of requests that wait for a free slot.

use std::collections::VecDeque;

use sableloom_types::RequestId;

/// The queued requests of one class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassQueue {
    queued: usize,
    /// Whether every live server is ejected for the class.
    ejected_everywhere: bool,
}

/// Requests in the order of their arrival; a request that is retried goes to the head. A request that has left the
/// queue may still have an entry, which dispatch removes with [`Self::remove_at`] when it reaches it.
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

    /// The number of queued requests.
    pub(crate) fn len(&self) -> usize {
        self.queued
    }

    /// The entries from the head, including those of requests that have left.
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

    /// Records that a request of this class is no longer queued.
    pub(crate) fn request_left(&mut self, class: usize) {
        self.queued -= 1;
        self.classes[class].queued -= 1;
    }

    /// Sets whether every live server is ejected for a class.
    pub(crate) fn set_ejected_everywhere(&mut self, class: usize, ejected: bool) {
        self.classes[class].ejected_everywhere = ejected;
    }

    /// The number of queued requests that compete with those of this class: all but the requests of other classes for
    /// which every server is ejected. When those requests counted as well, a class that all servers rejected filled the
    /// queue, and the other classes were rejected although servers were idle.
    pub(crate) fn competing_with(&self, class: usize) -> usize {
        let not_competing =
            |(index, queue): &(usize, &ClassQueue)| *index != class && queue.ejected_everywhere;
        let others = self.classes.iter().enumerate().filter(not_competing);
        self.queued - others.map(|(_, queue)| queue.queued).sum::<usize>()
    }
}
