//! Conditions of a route: what it asks of a request.

use sableloom_routes::{Header, Host, Path, Rule};
use sableloom_toml_diagnostics::{Located, Table, suggestion};

use crate::field::header_name;

/// Methods that can be carried (RFC 9110, section 9.3; RFC 5789). CONNECT and TRACE are for the
/// hop itself; the answer to HEAD has a length without a body, which is not carried.
const METHODS: [&str; 6] = ["GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
/// Refusals of a route, with their status of HTTP.
const REFUSALS: [(&str, u16); 5] = [
    ("forbidden", 403),
    ("not-found", 404),
    ("gone", 410),
    ("misdirected", 421),
    ("unavailable", 503),
];

/// Reads the hosts, paths, methods and headers of a route. Its classes are left out: whether a class
/// exists is known to a balancer's site only.
pub fn read_conditions(table: &Table<'_>) -> Rule {
    Rule {
        hosts: hosts(table),
        paths: paths(table.table("path")),
        methods: methods(table),
        headers: headers(table),
        classes: Vec::new(),
    }
}

/// Reads the refusal of a route that leads nowhere, as a status of HTTP.
pub fn read_refusal(table: &Table<'_>) -> Option<Located<u16>> {
    table.choice("refuse", &REFUSALS)
}

pub(crate) fn methods(table: &Table<'_>) -> Vec<String> {
    let mut methods = Vec::new();
    for method in table.strings("methods") {
        if !METHODS.contains(&method.value.as_str()) {
            let help = suggestion(&method.value.to_ascii_uppercase(), METHODS);
            table.report(&method, format!("{:?} is not carried", method.value), Some(help));
        }
        methods.push(method.value);
    }
    methods
}

fn hosts(table: &Table<'_>) -> Vec<Host> {
    let mut hosts = Vec::new();
    for host in table.strings("host") {
        let (under, name) = match host.value.strip_prefix("*.") {
            Some(name) => (true, name),
            None => (false, host.value.as_str()),
        };
        let part = |p: &str| {
            !p.is_empty()
                && p.len() <= 63
                && p.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
        };
        // RFC 1035, section 2.3.1; an IPv6 address in its brackets, RFC 3986, section 3.2.2.
        let six = name.strip_prefix('[').and_then(|n| n.strip_suffix(']'));
        let fits = match six {
            Some(address) => !under && address.parse::<std::net::Ipv6Addr>().is_ok(),
            None => name.len() <= 255 && name.split('.').all(part),
        };
        if !fits {
            let message = format!("{:?} is no host name", host.value);
            let help = "expected a name without a port, as \"shop.example\" or \"*.shop.example\"";
            table.report(&host, message, Some(help.to_string()));
            continue;
        }
        let name = name.to_ascii_lowercase();
        hosts.push(if under { Host::Under(name) } else { Host::Exact(name) });
    }
    hosts
}

fn paths(table: Option<Table<'_>>) -> Vec<Path> {
    let Some(table) = table else { return Vec::new() };
    let mut paths = Vec::new();
    type Make = fn(String) -> Path;
    let kinds: [(&'static str, Make); 3] =
        [("exact", Path::Exact), ("prefix", Path::Prefix), ("suffix", Path::Suffix)];
    for (kind, make) in kinds {
        for path in table.strings(kind) {
            let starts = kind == "suffix" || path.value.starts_with('/') || path.value == "*";
            let clean = path.value.bytes().all(|b| b.is_ascii_graphic() && !b"?#".contains(&b));
            if !starts || !clean || path.value.is_empty() {
                let message = format!("{:?} is no path as clients send it", path.value);
                let help = "it begins with \"/\", is percent-encoded and has no query";
                table.report(&path, message, Some(help.to_string()));
            }
            paths.push(make(path.value));
        }
    }
    if paths.is_empty() {
        table.report_missing("prefix", "exact, prefix or suffix");
    }
    table.finish();
    paths
}

fn headers(table: &Table<'_>) -> Vec<Header> {
    let mut headers = Vec::new();
    for (name, value) in table.string_entries("header") {
        headers.extend(header_name(table, &name).map(|name| Header { name, value }));
    }
    headers
}
