//! The conditions of a route on a request.

use serde::{Deserialize, Serialize};

use crate::request::{MAX_HOST_BYTES, RequestHead, host_name};

/// Pattern for the host of a request. Case, port and trailing dot of the requested host are ignored.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum HostPattern {
    /// Matches only this host.
    Exact(String),
    /// Matches every host below this parent domain, at any depth, but not the parent domain: `*.example` is
    /// `Subdomains("example")`.
    Subdomains(String),
}

impl HostPattern {
    /// Whether the pattern matches a name that [`host_name`] returned.
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

/// Pattern for the path of a request without the query. The path is compared byte by byte as the client sent it;
/// percent-encoded bytes are not decoded.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PathPattern {
    /// Matches only this path.
    Exact(String),
    /// Matches every path that begins with this text.
    Prefix(String),
    /// Matches every path that ends with this text.
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

/// Condition that a request has a header, with a given value if there is one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderCondition {
    /// Name of the header, in lower case.
    pub name: String,
    /// Value that at least one line of the header must have; `None` accepts any value.
    pub value: Option<String>,
}

/// Conditions of a route on a request: on the host, path, method, headers and class. All five kinds of condition must
/// hold, and a kind with an empty list holds for every request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rule {
    /// Host patterns, one of which must match.
    pub hosts: Vec<HostPattern>,
    /// Path patterns, one of which must match.
    pub paths: Vec<PathPattern>,
    /// Methods, one of which must equal the method of the request, including case.
    pub methods: Vec<String>,
    /// Header conditions, all of which must hold.
    pub headers: Vec<HeaderCondition>,
    /// Indices of classes, one of which must be the class of the request.
    pub classes: Vec<usize>,
}

/// Condition of a rule that does not hold for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mismatch<'r> {
    /// No host pattern matches.
    Host,
    /// No path pattern matches.
    Path,
    /// The rule does not list the method.
    Method,
    /// The request has no such header, or no line of the header has the value.
    Header(&'r HeaderCondition),
    /// The rule does not list the class.
    Class,
}

impl Rule {
    /// Number of pairs of a host pattern and a path pattern. An empty list counts as one pattern, which matches
    /// everything.
    pub(crate) fn pair_count(&self) -> usize {
        self.hosts.len().max(1) * self.paths.len().max(1)
    }

    /// The first condition that does not hold, in the order host, path, method, class, headers. Every pattern is
    /// compared one by one.
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

    /// The first condition on the method, the class or a header that does not hold. Neither
    /// [`RouteTable`](crate::RouteTable) nor [`RouteIndex`](crate::RouteIndex) searches by these conditions, so that
    /// they are tested for each rule whose host and path patterns match.
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
