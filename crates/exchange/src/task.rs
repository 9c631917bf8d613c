//! Tasks that are aborted when their owner is dropped.

use tokio::task::{AbortHandle, spawn_local};

/// A task that is aborted when this handle is dropped. Otherwise the task that drives a connection could keep the
/// connection open for as long as its peer sends nothing.
#[derive(Debug)]
pub struct Task(AbortHandle);

impl Task {
    /// Spawns a future on the current thread.
    pub fn spawn<T: 'static>(future: impl Future<Output = T> + 'static) -> Self {
        Self(spawn_local(future).abort_handle())
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}
