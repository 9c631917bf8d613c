//! Records what happens in a schedule: the executions at the servers, and the violations of the rules.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use tokio::time::Instant;

/// The records of one schedule, shared by the schedule and its transport.
#[derive(Default)]
pub(crate) struct Recorder {
    /// How often each request was executed.
    pub(crate) executions: RefCell<BTreeMap<Bytes, u32>>,
    /// When each keyed request was first executed.
    pub(crate) first_execution: RefCell<BTreeMap<Bytes, Instant>>,
    /// The addresses of the servers that accept requests.
    pub(crate) live_servers: RefCell<BTreeMap<Box<str>, SocketAddr>>,
    /// A description of each violation of a rule.
    pub(crate) violations: RefCell<Vec<String>>,
    /// How often each path of an attempt was taken, to check that all of them were.
    pub(crate) paths: RefCell<BTreeMap<&'static str, usize>>,
}

impl Recorder {
    pub(crate) fn count_path(&self, path: &'static str) {
        *self.paths.borrow_mut().entry(path).or_default() += 1;
    }

    pub(crate) fn record_violation(&self, what: String) {
        self.violations.borrow_mut().push(what);
    }
}
