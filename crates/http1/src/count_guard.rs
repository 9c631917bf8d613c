//! Counts of what is under way.

use std::cell::Cell;
use std::rc::Rc;

/// Counts one more for as long as it lives.
pub(crate) struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    pub(crate) fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
