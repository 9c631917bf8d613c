//! The bounds of a store.

/// The bounds of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// Changes in the log. Default 8,192: more than a day at 6,200 changes a day.
    pub log_entries: usize,
    /// Bytes of the log, by estimate. Default 32 MiB.
    pub log_bytes: usize,
    /// Numbers whose chain hash is kept, 8 bytes each, to detect that another log was read. Default 1,048,576: 169 days
    /// at 6,200 changes a day.
    pub chain_entries: usize,
    /// Services, empty ones included. Default 16,384: 6 times 2,500.
    pub services: usize,
    /// Bytes of one service. Default 3 MiB: less than a transaction may have.
    pub service_bytes: usize,
    /// Bytes of one change. Default 128 MiB: the whole of a fleet's configuration in one change.
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
