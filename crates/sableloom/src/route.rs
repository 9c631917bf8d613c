//! `sableloom route`: the route, the pool and the servers that a request would meet, without running a balancer.

mod request;

use std::path::{Path, PathBuf};

use hyper::{HeaderMap, Method, StatusCode, header};
use sableloom_http1::{Dialect, class_of};
use sableloom_routes::{Mismatch, RequestHead, RouteTable};
use sableloom_site_config::{Pool, Site, Target};
use sableloom_toml_diagnostics::Problem;
use sableloom_types::EndpointStatus;

use crate::diagnostics::ProblemReport;
use crate::site_file::{load, read_lists};
use request::{Request, RequestError, parse_request};

/// Most servers that are listed.
const MAX_SERVERS_LISTED: usize = 20;

/// Which request to follow.
#[derive(clap::Args)]
pub(crate) struct RouteOptions {
    /// The site's configuration, in TOML
    file: PathBuf,
    /// The request: a method and a target, and header lines behind it, if any
    #[arg(long, value_name = "TEXT")]
    request: String,
    /// A header line, as "Host: shop.example"
    #[arg(long = "header", short = 'H', value_name = "LINE")]
    headers: Vec<String>,
}

/// Why the command can't tell the route of a request.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RouteError {
    /// The site or its files of servers are wrong.
    #[error("{0}")]
    Problems(ProblemReport),
    /// The site has no routes of its own.
    #[error("{file}: its routes come from control machines, not from the site")]
    RoutesFromControl {
        /// The site's file.
        file: String,
    },
    /// The request is malformed.
    #[error(transparent)]
    Request(#[from] RequestError),
    /// The balancer would answer the request before it looks for a route.
    #[error("the request is of no class: it is answered with {0}, before any route")]
    NoClass(StatusCode),
}

/// Prints where a request would go, and why.
pub(crate) fn route(options: &RouteOptions) -> Result<(), RouteError> {
    let (site, table) = load(&options.file).map_err(|wrong| problems_of(&options.file, &wrong))?;
    if site.control.is_some() {
        return Err(RouteError::RoutesFromControl { file: options.file.display().to_string() });
    }
    let request = parse_request(&options.request, &options.headers)?;
    let class = classify(&site, &request)?;
    let target = print_route(&site, &table, &request, class);
    match target {
        Target::Reject(status) => println!("refused: {status}"),
        Target::Pool(pool) => print_pool(&options.file, &site, &site.pools[pool])?,
    }
    Ok(())
}

fn problems_of(path: &Path, problems: &[Problem]) -> RouteError {
    RouteError::Problems(ProblemReport::new(path, problems))
}

/// The class of a request, as a listener of this site would find it.
fn classify(site: &Site, request: &Request) -> Result<usize, RouteError> {
    let settings = site.client_settings();
    let methods = site
        .classes
        .iter()
        .map(|class| class.methods.iter().filter_map(|m| m.parse().ok()).collect::<Vec<Method>>());
    let dialect = Dialect::Open(methods.collect());
    class_of(&settings, &dialect, &request.method, &request.uri, &request.headers)
        .map_err(RouteError::NoClass)
}

/// Prints the routes that do not match and the one that does, and returns its target.
fn print_route(site: &Site, table: &RouteTable, request: &Request, class: usize) -> Target {
    let Request { method, uri, headers } = request;
    let host = headers.get(header::HOST).map(|h| h.as_bytes()).unwrap_or_default();
    let has = |name: &str, value: Option<&str>| has_header(headers, name, value);
    let head = RequestHead {
        host,
        path: uri.path().as_bytes(),
        method: method.as_str().as_bytes(),
        class,
        has_header: &has,
    };
    let found = table.find(&head);
    let host = String::from_utf8_lossy(host);
    println!("request: {method} {}{}, class {}", host, uri.path(), site.classes[class].name);
    for (i, route) in site.routes.iter().enumerate().take(found.unwrap_or(site.routes.len())) {
        let why = describe_mismatch(table.mismatch(i, &head));
        println!("not:     `{}`, line {}: {why}", route.name, route.location.line);
    }
    match found.map(|i| &site.routes[i]) {
        Some(route) => {
            println!("route:   `{}`, line {}", route.name, route.location.line);
            route.target
        }
        None => {
            println!("route:   none fits; [otherwise]");
            site.fallback
        }
    }
}

fn has_header(headers: &HeaderMap, name: &str, value: Option<&str>) -> bool {
    let is = |v: &header::HeaderValue| value.is_none_or(|value| value.as_bytes() == v);
    headers.get_all(name).iter().any(is)
}

fn describe_mismatch(why: Option<Mismatch<'_>>) -> String {
    match why {
        Some(Mismatch::Host) => "another host".to_string(),
        Some(Mismatch::Path) => "another path".to_string(),
        Some(Mismatch::Method) => "another method".to_string(),
        Some(Mismatch::Class) => "another class".to_string(),
        Some(Mismatch::Header(h)) => match &h.value {
            Some(value) => format!("no header {}: {value}", h.name),
            None => format!("no header {}", h.name),
        },
        None => "it fits".to_string(),
    }
}

/// Prints a pool and its servers that take requests.
fn print_pool(path: &Path, site: &Site, pool: &Pool) -> Result<(), RouteError> {
    println!("pool:    {}", pool.name);
    let lists = read_lists(path, site, pool).map_err(|wrong| problems_of(path, &wrong))?;
    let entries = lists.endpoints();
    let serving = entries.iter().filter(|e| e.status == EndpointStatus::Live).count();
    println!("servers: {} of {} serve; the decision module chooses among", serving, entries.len());
    let live = entries.iter().filter(|e| e.status == EndpointStatus::Live);
    for entry in live.take(MAX_SERVERS_LISTED) {
        println!("  {} at {}, weight {}", entry.id, entry.address, entry.size);
    }
    if serving > MAX_SERVERS_LISTED {
        println!("  and {} more", serving - MAX_SERVERS_LISTED);
    }
    Ok(())
}
