//! A mirror that was stopped.

use tokio::sync::watch;

/// A mirror that makes no more copies, and may have some in flight.
#[derive(Clone, Debug)]
pub struct MirrorEnding {
    /// The pools that get its copies.
    pub(crate) pools: Vec<String>,
    /// Closed when its thread has ended, for whatever reason.
    pub(crate) alive: watch::Receiver<()>,
}

impl MirrorEnding {
    /// Whether its thread has ended.
    pub fn has_ended(&self) -> bool {
        self.alive.has_changed().is_err()
    }

    /// Whether it copied to one of these pools.
    pub fn copied_to_any_of<'p>(&self, mut pools: impl Iterator<Item = &'p str>) -> bool {
        pools.any(|pool| self.pools.iter().any(|own| own == pool))
    }

    /// Waits until its thread has ended.
    pub(crate) async fn ended(mut self) {
        while self.alive.changed().await.is_ok() {}
    }
}
