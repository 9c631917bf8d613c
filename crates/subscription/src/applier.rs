//! The process that subscribes, as the subscription sees it.

use sableloom_distribution::{Rejection, Transaction};

/// What configuration means to the process that subscribes to it.
pub trait Applier {
    /// Checks a transaction, then puts all of it in force. A service's update that is a snapshot replaces everything
    /// that is there of that service.
    ///
    /// # Errors
    ///
    /// Every problem of the transaction; nothing of it is in force then.
    fn apply(&self, transaction: &Transaction) -> Result<(), Vec<Rejection>>;

    /// Logs a line.
    fn log(&self, line: &str);
}
