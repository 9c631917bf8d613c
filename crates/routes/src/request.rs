//! What routes see of a request.

/// Longest host name (RFC 1035, section 2.3.4); a longer one matches no pattern of a host.
pub(crate) const MAX_HOST_BYTES: usize = 255;

/// What routes see of a request.
#[derive(Clone, Copy)]
pub struct RequestHead<'a> {
    /// The host that it is for, as its client wrote it.
    pub host: &'a [u8],
    /// Its path, without the query.
    pub path: &'a [u8],
    /// Its method.
    pub method: &'a [u8],
    /// Its class, by index.
    pub class: usize,
    /// Whether it has a header of this name, with this value if one is given.
    pub has_header: &'a dyn Fn(&str, Option<&str>) -> bool,
}

/// The name of a host without its port and its last dot; an IPv6 address keeps its brackets.
pub(crate) fn host_name(host: &[u8]) -> &[u8] {
    let name = match host.first() {
        // An IPv6 address has colons of its own.
        Some(b'[') => host.iter().position(|b| *b == b']').map_or(host, |end| &host[..=end]),
        _ => host.iter().position(|b| *b == b':').map_or(host, |port| &host[..port]),
    };
    name.strip_suffix(b".").unwrap_or(name)
}
