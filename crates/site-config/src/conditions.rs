//! Conditions of a route on a request, and the status of a route that rejects.

use std::net::Ipv6Addr;

use sableloom_routes::{HeaderCondition, HostPattern, PathPattern, Rule};
use sableloom_toml_diagnostics::{Located, Table, suggestion};

use crate::fields::header_name;

/// Methods of requests that can be forwarded (RFC 9110, section 9.3; RFC 5789). CONNECT and TRACE are for the
/// hop itself; the response to HEAD has a length without a body, which cannot be forwarded.
const METHODS: [&str; 6] = ["GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
/// Words for the rejections of a route, with their status of HTTP.
const REJECTIONS: [(&str, u16); 5] = [
    ("forbidden", 403),
    ("not-found", 404),
    ("gone", 410),
    ("misdirected", 421),
    ("unavailable", 503),
];

/// Reads the hosts, paths, methods and headers of a route. Its classes are left out: only a balancer's site
/// defines classes.
pub fn read_conditions(table: &Table<'_>) -> Rule {
    Rule {
        hosts: read_hosts(table),
        paths: read_paths(table.table("path")),
        methods: read_methods(table),
        headers: read_headers(table),
        classes: Vec::new(),
    }
}

/// Longest label of a host name (RFC 1035, section 2.3.4).
const MAX_LABEL_BYTES: usize = 63;
/// Longest host name (RFC 1035, section 2.3.4).
const MAX_HOST_BYTES: usize = 255;

/// Reads the rejection of a route that leads nowhere, as a status of HTTP.
pub fn read_rejection(table: &Table<'_>) -> Option<Located<u16>> {
    table.choice("refuse", &REJECTIONS)
}

pub(crate) fn read_methods(table: &Table<'_>) -> Vec<String> {
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

fn read_hosts(table: &Table<'_>) -> Vec<HostPattern> {
    let mut hosts = Vec::new();
    for text in table.strings("host") {
        match parse_host(&text.value) {
            Some(host) => hosts.push(host),
            None => {
                let message = format!("{:?} is no host name", text.value);
                let help =
                    "expected a name without a port, as \"shop.example\" or \"*.shop.example\"";
                table.report(&text, message, Some(help.to_string()));
            }
        }
    }
    hosts
}

fn parse_host(text: &str) -> Option<HostPattern> {
    let below = text.strip_prefix("*.");
    let name = below.unwrap_or(text);
    // RFC 1035, section 2.3.1; an IPv6 address in its brackets, RFC 3986, section 3.2.2.
    let bracketed = name.strip_prefix('[').and_then(|name| name.strip_suffix(']'));
    let fits = match bracketed {
        Some(address) => below.is_none() && address.parse::<Ipv6Addr>().is_ok(),
        None => name.len() <= MAX_HOST_BYTES && name.split('.').all(is_label),
    };
    let name = name.to_ascii_lowercase();
    fits.then(|| {
        if below.is_some() { HostPattern::Subdomains(name) } else { HostPattern::Exact(name) }
    })
}

fn is_label(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    (1..=MAX_LABEL_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

fn read_paths(table: Option<Table<'_>>) -> Vec<PathPattern> {
    let Some(table) = table else { return Vec::new() };
    let mut paths = Vec::new();
    type Pattern = fn(String) -> PathPattern;
    let kinds: [(&'static str, Pattern); 3] = [
        ("exact", PathPattern::Exact),
        ("prefix", PathPattern::Prefix),
        ("suffix", PathPattern::Suffix),
    ];
    for (kind, pattern) in kinds {
        for path in table.strings(kind) {
            let starts = kind == "suffix" || path.value.starts_with('/') || path.value == "*";
            let clean = path.value.bytes().all(|b| b.is_ascii_graphic() && !b"?#".contains(&b));
            if !starts || !clean || path.value.is_empty() {
                let message = format!("{:?} is no path as clients send it", path.value);
                let help = "it begins with \"/\", is percent-encoded and has no query";
                table.report(&path, message, Some(help.to_string()));
            }
            paths.push(pattern(path.value));
        }
    }
    if paths.is_empty() {
        table.report_missing("prefix", "exact, prefix or suffix");
    }
    table.finish();
    paths
}

fn read_headers(table: &Table<'_>) -> Vec<HeaderCondition> {
    let mut headers = Vec::new();
    for (name, value) in table.string_entries("header") {
        headers.extend(header_name(table, &name).map(|name| HeaderCondition { name, value }));
    }
    headers
}
