//! What really happens in a schedule: the executions at the servers, and the rules that were violated.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use tokio::time::Instant;

#[derive(Default)]
pub(crate) struct World {
    /// How often each request was executed.
    pub(crate) executions: RefCell<BTreeMap<Bytes, u32>>,
    /// When each keyed request was first executed.
    pub(crate) first_execution: RefCell<BTreeMap<Bytes, Instant>>,
    /// The addresses of the servers that accept requests.
    pub(crate) live_servers: RefCell<BTreeMap<Box<str>, SocketAddr>>,
    pub(crate) violations: RefCell<Vec<String>>,
    /// How often each path of an attempt was taken, to know that all were.
    pub(crate) paths: RefCell<BTreeMap<&'static str, usize>>,
}

impl World {
    pub(crate) fn count_path(&self, path: &'static str) {
        *self.paths.borrow_mut().entry(path).or_default() += 1;
    }

    pub(crate) fn record_violation(&self, what: String) {
        self.violations.borrow_mut().push(what);
    }
}
