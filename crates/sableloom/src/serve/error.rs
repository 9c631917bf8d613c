//! Why a balancer can't start, or can't take over a part of its configuration.

use std::error::Error;
use std::io;
use std::net::SocketAddr;

use sableloom_toml_diagnostics::Problem;
use sableloom_types::PolicySettingsError;

use crate::site_file::lines_of;

/// Why `sableloom serve` failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ServeError {
    /// A signal can't be handled.
    #[error("{name}: {cause}")]
    Signal {
        /// The signal.
        name: &'static str,
        /// Why.
        cause: io::Error,
    },
    /// The site's file or a file that it names is wrong.
    #[error("{}", lines_of(.0))]
    Problems(Vec<Problem>),
    /// The limit of descriptors leaves too few connections to servers.
    #[error("{file}: field `limits.sockets`: {sockets} is under {least}, for so many pools")]
    TooFewSockets {
        /// The site's file.
        file: String,
        /// The limit.
        sockets: usize,
        /// The least that would do.
        least: usize,
    },
    /// A listener's address can't be listened on.
    #[error("{file}:{line}: field `listener[{index}].address`: {address}: {cause}")]
    Listen {
        /// The site's file.
        file: String,
        /// The line of the listener.
        line: usize,
        /// Which listener, from 0.
        index: usize,
        /// Its address.
        address: SocketAddr,
        /// Why.
        cause: io::Error,
    },
    /// A listener does not know its address.
    #[error("a listener: {0}")]
    ListenerAddress(io::Error),
    /// A class names a method that is none.
    #[error("no method {0:?}")]
    Method(String),
    /// A pool can't be started.
    #[error(transparent)]
    Pool(#[from] PoolError),
    /// The balancer can't take its place in the fleet.
    #[error("{file}:{line}: {cause}")]
    Fleet {
        /// The site's file.
        file: String,
        /// The line of the fleet's table.
        line: usize,
        /// Why.
        cause: Box<dyn Error>,
    },
}

/// Why a pool can't be started.
#[derive(Debug, thiserror::Error)]
#[error("pool {pool}: {cause}")]
pub(crate) struct PoolError {
    /// The pool.
    pub(super) pool: String,
    /// Why.
    pub(super) cause: PolicySettingsError,
}

/// There are more pools than connections to servers.
#[derive(Debug, thiserror::Error)]
#[error(
    "{pools} pools are more than the {upstreams} connections to servers that `limits.sockets` leaves"
)]
pub(super) struct TooManyPools {
    /// How many pools.
    pub(super) pools: usize,
    /// How many connections.
    pub(super) upstreams: usize,
}
