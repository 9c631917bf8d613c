//! Work that ends with its owner.

use tokio::task::{AbortHandle, spawn_local};

/// A task that lives no longer than its owner. A connection's driver may else keep it open for as
/// long as its peer says nothing.
#[derive(Debug)]
pub struct Task(AbortHandle);

impl Task {
    /// Begins the work on this thread.
    pub fn spawn<T: 'static>(work: impl Future<Output = T> + 'static) -> Self {
        Self(spawn_local(work).abort_handle())
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}
