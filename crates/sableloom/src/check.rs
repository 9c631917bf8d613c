//! `sableloom check` and `sableloom route`: what a site's configuration says, without running it.

use std::collections::BTreeMap;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use hyper::{HeaderMap, Method, Uri, header};
use miette::{
    GraphicalReportHandler, GraphicalTheme, LabeledSpan, MietteDiagnostic, NamedSource, Report,
};
use sableloom_exchange::Clock;
use sableloom_http1::{Dialect, class_of};
use sableloom_routes::{Mismatch, RequestHead};
use sableloom_server_files::read_file;
use sableloom_server_list::{self as serverlist, Lists};
use sableloom_site_config::{Pool, Site, Target};
use sableloom_toml_diagnostics::Problem;
use sableloom_types::EndpointStatus;

use crate::site_file::{files, load};

/// What to check.
#[derive(clap::Args)]
pub struct CheckOptions {
    /// The site's configuration, in TOML
    file: PathBuf,
}

/// Which request to follow.
#[derive(clap::Args)]
pub struct RouteOptions {
    /// The site's configuration, in TOML
    file: PathBuf,
    /// The request: a method and a target, and header lines behind it, if any
    #[arg(long, value_name = "TEXT")]
    request: String,
    /// A header line, as "Host: shop.example"
    #[arg(long = "header", short = 'H', value_name = "LINE")]
    headers: Vec<String>,
}

/// Says all that is wrong.
pub fn check(options: &CheckOptions) -> Result<(), String> {
    let (site, _) = load(&options.file).map_err(|wrong| shown(&options.file, &wrong))?;
    let (mut problems, mut servers) = (Vec::new(), 0);
    for pool in site.every_pool() {
        match lists(&options.file, &site, pool) {
            Ok(lists) => servers += lists.held(),
            Err(wrong) => problems.extend(wrong),
        }
    }
    if !problems.is_empty() {
        return Err(shown(&options.file, &problems));
    }
    if let Some(fleet) = &site.fleet {
        let address = fleet.address().map(|a| a.to_string()).unwrap_or_default();
        println!(
            "fleet {}: {} of {} members, at {address}",
            fleet.name,
            fleet.own_name,
            fleet.members.len()
        );
    }
    if let Some(control) = &site.control {
        println!(
            "control: subscriber {}, {} control machines, {} services; pools and routes come from there",
            control.subscriber,
            control.machines.len(),
            control.services.len()
        );
    }
    println!(
        "{}: good; {} listeners, {} classes, {} pools with {servers} servers, {} routes, {} shadows; \
         hash {}",
        options.file.display(),
        site.listeners.len(),
        site.classes.len(),
        site.every_pool().count(),
        site.routes.len(),
        site.shadows.len(),
        site.hash
    );
    Ok(())
}

/// A pool's list as it would come into force now.
fn lists(path: &Path, site: &Site, pool: &Pool) -> Result<Lists, Vec<Problem>> {
    let files = files(path, site, pool);
    let mut lists = Lists::new(files.spec.clone());
    let named = files.spec.files.iter().zip(&files.paths);
    let readings: Vec<_> = named
        .map(|(name, path)| {
            let bytes = read_file(path).map_err(|e| vec![Problem::of_file(name, e.to_string())])?;
            serverlist::read(name, &bytes, &files.spec).map(Arc::new)
        })
        .collect();
    let offer = lists.offer(Clock::new().now(), &readings);
    match (offer.problems, offer.waits) {
        (problems, None) if problems.is_empty() => Ok(lists),
        (problems, Some(waits)) if problems.is_empty() => {
            Err(vec![Problem::of_file(&files.spec.files[0], waits)])
        }
        (problems, _) => Err(problems),
    }
}

/// Problems with the lines that they are about.
pub(crate) fn shown(path: &Path, problems: &[Problem]) -> String {
    let theme = match std::io::stderr().is_terminal() {
        true => GraphicalTheme::unicode(),
        false => GraphicalTheme::unicode_nocolor(),
    };
    let handler = GraphicalReportHandler::new_themed(theme).with_width(160);
    let folder = path.parent().unwrap_or(Path::new(""));
    let mut texts: BTreeMap<&str, Option<String>> = BTreeMap::new();
    let mut all = format!("{} problems\n", problems.len());
    for problem in problems {
        let text = texts.entry(&problem.file).or_insert_with(|| {
            let own = path.display().to_string() == problem.file;
            let at = if own { path.to_path_buf() } else { folder.join(&problem.file) };
            read_file(&at).ok().and_then(|bytes| String::from_utf8(bytes).ok())
        });
        let bare = Problem { help: None, ..problem.clone() };
        let mut diagnostic = MietteDiagnostic::new(bare.to_string());
        if let Some(help) = &problem.help {
            diagnostic = diagnostic.with_help(help.clone());
        }
        let label = LabeledSpan::at(problem.span.clone(), "here");
        let report = match text {
            Some(text) if !problem.span.is_empty() && problem.span.end <= text.len() => {
                let source = NamedSource::new(&problem.file, text.clone());
                Report::new(diagnostic.with_label(label)).with_source_code(source)
            }
            _ => Report::new(diagnostic),
        };
        if handler.render_report(&mut all, &*report).is_err() {
            all += &format!("{problem}\n");
        }
    }
    all.trim_end().to_string()
}

// ---------------------------------------------------------------- route

struct Request {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
}

/// A request as an operator writes it: its first line, perhaps without the version, and headers.
fn request(options: &RouteOptions) -> Result<Request, String> {
    let wrong = |what: String| format!("--request: {what}");
    // As shells hand them over, line ends may come as two letters.
    let text = options.request.replace("\\r", "").replace("\\n", "\n");
    let mut lines = text.lines();
    let mut words = lines.next().unwrap_or_default().split_whitespace();
    let (Some(method), Some(target)) = (words.next(), words.next()) else {
        return Err(wrong("expected a method and a target, as \"GET /balance/7\"".into()));
    };
    if let Some(version) = words.next().filter(|version| !version.starts_with("HTTP/")) {
        return Err(wrong(format!("{version:?} is no version of HTTP")));
    }
    let method = method.parse().map_err(|_| wrong(format!("{method:?} is no method")))?;
    let uri: Uri = target.parse().map_err(|e| wrong(format!("{target:?}: {e}")))?;
    let mut headers = HeaderMap::new();
    let given = options.headers.iter().map(String::as_str);
    for line in lines.filter(|line| !line.trim().is_empty()).chain(given) {
        let (name, value) =
            line.split_once(':').ok_or(format!("{line:?} is no header: it has no colon"))?;
        let name: header::HeaderName =
            name.trim().parse().map_err(|_| format!("{name:?} is no header's name"))?;
        let value = value.trim().parse().map_err(|_| format!("{line:?}: no header's value"))?;
        headers.append(name, value);
    }
    if let Some(host) = uri.authority().and_then(|a| a.as_str().parse().ok()) {
        headers.insert(header::HOST, host);
    }
    Ok(Request { method, uri, headers })
}

/// Tells where a request would go.
pub fn route(options: &RouteOptions) -> Result<(), String> {
    let (site, table) = load(&options.file).map_err(|wrong| shown(&options.file, &wrong))?;
    if site.control.is_some() {
        let file = options.file.display();
        return Err(format!("{file}: its routes come from control machines, not from the site"));
    }
    let Request { method, uri, headers } = request(options)?;
    let settings = site.client_settings();
    let methods = site
        .classes
        .iter()
        .map(|class| class.methods.iter().filter_map(|m| m.parse().ok()).collect::<Vec<Method>>());
    let dialect = Dialect::Open(methods.collect());
    let class = class_of(&settings, &dialect, &method, &uri, &headers).map_err(|status| {
        format!("the request is of no class: it is answered with {status}, before any route")
    })?;
    let host = headers.get(header::HOST).map(|h| h.as_bytes()).unwrap_or_default();
    let has = |name: &str, value: Option<&str>| {
        let is = |v: &header::HeaderValue| value.is_none_or(|value| value.as_bytes() == v);
        headers.get_all(name).iter().any(is)
    };
    let head = RequestHead {
        host,
        path: uri.path().as_bytes(),
        method: method.as_str().as_bytes(),
        class,
        header: &has,
    };
    let found = table.find(&head);
    let host = String::from_utf8_lossy(host);
    println!("request: {method} {}{}, class {}", host, uri.path(), site.classes[class].name);
    for (i, route) in site.routes.iter().enumerate().take(found.unwrap_or(site.routes.len())) {
        let why = match table.mismatch(i, &head) {
            Some(Mismatch::Host) => "another host".to_string(),
            Some(Mismatch::Path) => "another path".to_string(),
            Some(Mismatch::Method) => "another method".to_string(),
            Some(Mismatch::Class) => "another class".to_string(),
            Some(Mismatch::Header(h)) => match &h.value {
                Some(value) => format!("no header {}: {value}", h.name),
                None => format!("no header {}", h.name),
            },
            None => "it fits".to_string(),
        };
        println!("not:     `{}`, line {}: {why}", route.name, route.location.line);
    }
    let target = match found.map(|i| &site.routes[i]) {
        Some(route) => {
            println!("route:   `{}`, line {}", route.name, route.location.line);
            route.target
        }
        None => {
            println!("route:   none fits; [otherwise]");
            site.fallback
        }
    };
    let pool = match target {
        Target::Reject(status) => {
            println!("refused: {status}");
            return Ok(());
        }
        Target::Pool(pool) => &site.pools[pool],
    };
    println!("pool:    {}", pool.name);
    let lists = lists(&options.file, &site, pool).map_err(|wrong| shown(&options.file, &wrong))?;
    let entries = lists.entries();
    let serving = entries.iter().filter(|e| e.status == EndpointStatus::Live).count();
    println!("servers: {} of {} serve; the decision module chooses among", serving, entries.len());
    for entry in entries.iter().filter(|e| e.status == EndpointStatus::Live).take(20) {
        println!("  {} at {}, weight {}", entry.id, entry.address, entry.size);
    }
    if serving > 20 {
        println!("  and {} more", serving - 20);
    }
    Ok(())
}
