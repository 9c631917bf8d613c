//! Why a rehearsal can't be played.

use std::io;
use std::time::Duration;

/// Why a rehearsal can't be played.
#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    /// No path is given for a program of the script.
    #[error("the script names the program {name:?}: say --binary {name}=PATH")]
    MissingBinary {
        /// Its name in the script.
        name: String,
    },
    /// The system grants too few descriptors for the script.
    #[error(
        "{balancers} balancers before {nodes} nodes need about {needed} descriptors here, and the system grants \
         {granted}: raise `ulimit -n`, or make the script smaller"
    )]
    TooFewDescriptors {
        /// Number of balancers.
        balancers: usize,
        /// Number of nodes.
        nodes: usize,
        /// Descriptors that are needed.
        needed: u64,
        /// Descriptors that the system grants at most.
        granted: u64,
    },
    /// A file, a socket, a thread or a process can't be had.
    #[error("{what}: {source}")]
    Io {
        /// What the system refused.
        what: String,
        /// Its reason.
        source: io::Error,
    },
    /// A balancer did not listen in time.
    #[error("{balancer} does not listen after {within:?}{log}")]
    NotListening {
        /// Its name.
        balancer: String,
        /// How long it had.
        within: Duration,
        /// The last lines of its log.
        log: String,
    },
    /// A balancer ended before all of them listened.
    #[error("{balancer} can't start: {how}")]
    EndedAtStart {
        /// Its name.
        balancer: String,
        /// How it ended.
        how: String,
    },
    /// A thread of the load generator panicked.
    #[error("a thread of clients has panicked")]
    ClientsPanicked,
}

impl PlayError {
    /// Names what the system refused.
    pub(crate) fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        move |source| Self::Io { what: what.into(), source }
    }
}
