//! Getters of network addresses.

use std::net::{IpAddr, SocketAddr};

use super::{Located, Table};

impl Table<'_> {
    /// An IP address with a port that must be set. Host names are not looked up.
    pub fn required_address(&self, name: &'static str) -> Option<Located<SocketAddr>> {
        let expected = "an IP address with a port, as \"127.0.0.1:8080\"";
        let located = self.required_string(name, expected)?;
        self.parse_address(located)
    }

    /// An IP address with a port. Host names are not looked up.
    pub fn address(&self, name: &'static str) -> Option<Located<SocketAddr>> {
        let located = self.string(name)?;
        self.parse_address(located)
    }

    fn parse_address(&self, located: Located<String>) -> Option<Located<SocketAddr>> {
        if let Ok(address) = located.value.parse::<SocketAddr>() {
            return Some(located.map(|_| address));
        }
        let help = "expected an IP address with a port, as \"127.0.0.1:8080\" or \"[::1]:8080\"";
        self.report(&located, address_problem(&located.value), Some(help.to_string()));
        None
    }
}

/// Why a text is no address with a port.
fn address_problem(text: &str) -> String {
    let host = text.rsplit_once(':').map_or(text, |(host, _)| host);
    let host = host.trim_matches(['[', ']']);
    match host.parse::<IpAddr>() {
        Ok(_) => format!("{text:?} has no port from 0 to 65535"),
        Err(_) if host.chars().any(|c| c.is_ascii_alphabetic()) && !host.contains(':') => {
            format!("{text:?} has a name, and names are not looked up")
        }
        Err(_) => format!("{text:?} is no address"),
    }
}
