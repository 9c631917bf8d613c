//! The conditions of a route on a request.

use serde::{Deserialize, Serialize};

use crate::request::{MAX_HOST_BYTES, RequestHead, host_name};

/// A pattern of the host. Case and port do not matter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum HostPattern {
    /// This host.
    Exact(String),
    /// Any host below this one, at any depth, but not itself: `*.example` is `Subdomains("example")`.
    Subdomains(String),
}

impl HostPattern {
    /// Whether it matches a name that [`host_name`] returned.
    fn matches(&self, name: &[u8]) -> bool {
        match self {
            HostPattern::Exact(exact) => name.eq_ignore_ascii_case(exact.as_bytes()),
            HostPattern::Subdomains(parent) => {
                let dot = name.len().checked_sub(parent.len() + 1).filter(|dot| *dot > 0);
                dot.is_some_and(|dot| {
                    name[dot] == b'.' && name[dot + 1..].eq_ignore_ascii_case(parent.as_bytes())
                })
            }
        }
    }
}

/// A pattern of the path without its query, byte by byte as the client sent it: nothing is decoded.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PathPattern {
    /// This path.
    Exact(String),
    /// Any path that begins so.
    Prefix(String),
    /// Any path that ends so.
    Suffix(String),
}

impl PathPattern {
    fn matches(&self, path: &[u8]) -> bool {
        match self {
            PathPattern::Exact(text) => path == text.as_bytes(),
            PathPattern::Prefix(text) => path.starts_with(text.as_bytes()),
            PathPattern::Suffix(text) => path.ends_with(text.as_bytes()),
        }
    }
}

/// A condition on a header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderCondition {
    /// Its name, in lower case.
    pub name: String,
    /// The value that one of its lines must have; any value if none is given.
    pub value: Option<String>,
}

/// The conditions of a route. All kinds must hold. Of several patterns of one kind one must match, and a kind without
/// patterns holds for every request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rule {
    /// Hosts.
    pub hosts: Vec<HostPattern>,
    /// Paths.
    pub paths: Vec<PathPattern>,
    /// Methods.
    pub methods: Vec<String>,
    /// Headers, all of which must hold.
    pub headers: Vec<HeaderCondition>,
    /// Classes, by index.
    pub classes: Vec<usize>,
}

/// The condition that does not hold for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mismatch<'r> {
    /// It is for another host.
    Host,
    /// Its path is another.
    Path,
    /// Its method is another.
    Method,
    /// It lacks this header, or the value.
    Header(&'r HeaderCondition),
    /// It is of another class.
    Class,
}

impl Rule {
    /// Number of pairs of a host and a path pattern.
    pub(crate) fn pair_count(&self) -> usize {
        self.hosts.len().max(1) * self.paths.len().max(1)
    }

    /// The first condition that does not hold, each tried by itself.
    pub(crate) fn mismatch(&self, head: &RequestHead<'_>) -> Option<Mismatch<'_>> {
        let name = host_name(head.host);
        let too_long = name.len() > MAX_HOST_BYTES;
        let host_matches = || !too_long && self.hosts.iter().any(|host| host.matches(name));
        if !self.hosts.is_empty() && !host_matches() {
            return Some(Mismatch::Host);
        }
        if !self.paths.is_empty() && !self.paths.iter().any(|path| path.matches(head.path)) {
            return Some(Mismatch::Path);
        }
        self.unindexed_mismatch(head)
    }

    /// The first condition that does not hold among those on the method, the class and headers, which neither the
    /// table nor the index looks up.
    pub(crate) fn unindexed_mismatch(&self, head: &RequestHead<'_>) -> Option<Mismatch<'_>> {
        let is_method = |method: &String| method.as_bytes() == head.method;
        if !self.methods.is_empty() && !self.methods.iter().any(is_method) {
            return Some(Mismatch::Method);
        }
        if !self.classes.is_empty() && !self.classes.contains(&head.class) {
            return Some(Mismatch::Class);
        }
        let is_missing =
            |header: &&HeaderCondition| !(head.has_header)(&header.name, header.value.as_deref());
        self.headers.iter().find(is_missing).map(Mismatch::Header)
    }
}
