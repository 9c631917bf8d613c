//! How many changes, chain hashes, services and bytes a store holds.

/// The limits of a store. [`crate::Store::append`] returns an error for a change that exceeds `services`,
/// `service_bytes` or `change_bytes`; the log and the chain hashes drop their oldest entries instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// The most changes in the log. Default 8,192: more than a day at 6,200 changes a day.
    pub log_entries: usize,
    /// The most bytes of the log, by estimate. Default 32 MiB.
    pub log_bytes: usize,
    /// The most chain hashes that are kept, one of 8 bytes for each change number. They detect that a subscriber has
    /// followed another log. Default 1,048,576: 169 days at 6,200 changes a day.
    pub chain_entries: usize,
    /// The most services, including those that have no resources any more. Default 16,384: over 6 times the 2,500
    /// services of a fleet.
    pub services: usize,
    /// The most bytes of one service, by estimate. Default 3 MiB: less than the limit of a transaction
    /// ([`crate::PublisherOptions::max_transaction_bytes`]).
    pub service_bytes: usize,
    /// The most bytes of one change file's changes, by estimate. Default 128 MiB: one change can hold the entire
    /// configuration of a fleet.
    pub change_bytes: usize,
}

impl Default for StoreLimits {
    fn default() -> Self {
        StoreLimits {
            log_entries: 8_192,
            log_bytes: 32 << 20,
            chain_entries: 1 << 20,
            services: 16_384,
            service_bytes: 3 << 20,
            change_bytes: 128 << 20,
        }
    }
}
