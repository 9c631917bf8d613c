//! The parts of a request that the conditions of routes test.

/// Maximum length of a host name in bytes (RFC 1035, section 2.3.4). A longer name matches no host pattern.
pub(crate) const MAX_HOST_BYTES: usize = 255;

/// The parts of a request that the conditions of routes test.
#[derive(Clone, Copy)]
pub struct RequestHead<'a> {
    /// Host as the client sent it, with the port if the client sent one.
    pub host: &'a [u8],
    /// Path as the client sent it, without the query.
    pub path: &'a [u8],
    /// Method, which is case-sensitive.
    pub method: &'a [u8],
    /// Index of the class of the request.
    pub class: usize,
    /// Returns whether the request has a header with this lower-case name. If a value is given, at least one line of
    /// the header must have this value.
    pub has_header: &'a dyn Fn(&str, Option<&str>) -> bool,
}

/// Returns a host without its port and its trailing dot. An IPv6 address keeps its brackets.
pub(crate) fn host_name(host: &[u8]) -> &[u8] {
    let name = match host.first() {
        // A colon between the brackets of an IPv6 address does not start the port.
        Some(b'[') => host.iter().position(|b| *b == b']').map_or(host, |end| &host[..=end]),
        _ => host.iter().position(|b| *b == b':').map_or(host, |port| &host[..port]),
    };
    name.strip_suffix(b".").unwrap_or(name)
}
