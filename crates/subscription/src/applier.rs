//! The interface through which a subscription applies configuration and logs.

use sableloom_distribution::{Rejection, Transaction};

/// Validates and applies configuration for the process that holds the subscription. Its methods run on the serving
/// thread, which serves no request until they return.
pub trait Applier {
    /// Validates a transaction, then puts all of its changes in force. An update that is a snapshot replaces every
    /// resource of its service.
    ///
    /// # Errors
    ///
    /// Returns the problems of the transaction, and puts none of its changes in force.
    fn apply(&self, transaction: &Transaction) -> Result<(), Vec<Rejection>>;

    /// Writes one line, without a line break at its end, to the log of the process.
    fn log(&self, line: &str);
}
