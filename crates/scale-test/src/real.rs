//! Real balancers: `serve` processes that subscribe to control machines, before servers that answer at once.

use std::fmt::Write as _;
use std::fs;
use std::io::{self, BufRead, BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use sableloom_testkit::{Peer, ok};

use crate::child::LoggedProcess;
use crate::source::{self, ChangeText};
use crate::traffic::Stream;
use crate::usage::Usage;

/// The service that all real balancers serve requests of.
const SERVICE: &str = "real";
/// Its servers.
const SERVERS: usize = 4;
/// What clients ask for.
const PATH: &str = "/real/card-1";
/// Requests a second at each balancer: 2.8 million over 7,600, rounded up.
pub const RATE: f64 = 370.0;
/// From one look whether a change is in force to the next.
const LOOK: Duration = Duration::from_millis(1);
/// How long one may look.
const PATIENCE: Duration = Duration::from_secs(10);
/// How long one look may wait for an answer: over three times the deadline of a request.
const ANSWER_WITHIN: Duration = Duration::from_secs(2);

/// The servers of the real service, on threads of this process.
#[derive(Debug)]
pub struct RealServers {
    addresses: Vec<SocketAddr>,
}

impl RealServers {
    /// Starts them.
    pub fn start() -> Self {
        let serve = || {
            Peer::upstream(|_, _, connection| {
                connection.write(ok("served"));
                true
            })
        };
        Self { addresses: (0..SERVERS).map(|_| serve().0.address).collect() }
    }

    /// Sets the real service.
    pub fn set(&self, change: &mut ChangeText) {
        change.set_pool(SERVICE, "[pool.cold]\ntime_ms = 0");
        for (number, address) in self.addresses.iter().enumerate() {
            change.set_server_at(
                SERVICE,
                &format!("{SERVICE}-{number}"),
                &address.to_string(),
                1.0,
            );
        }
        change.set_route(SERVICE, "all", 0, "/real/");
    }

    /// Requests past the balancers, as many as one of them takes.
    pub fn direct(&self) -> Stream {
        let path = PATH.to_string();
        Stream { targets: self.addresses.clone(), path, rate: RATE, direct: true }
    }
}

/// Real balancers that serve.
#[derive(Debug)]
pub struct RealBalancers {
    each: Vec<LoggedProcess>,
}

impl RealBalancers {
    /// Starts so many, each with a scope of its own beside the real service.
    ///
    /// # Errors
    ///
    /// If one can't be started or does not become ready.
    pub fn start(
        sableloom: &Path,
        folder: &Path,
        count: usize,
        machines: &[SocketAddr],
        services: usize,
        scope: usize,
    ) -> io::Result<Self> {
        let mut each = Vec::new();
        for number in 0..count {
            let site = folder.join(format!("real-{number}.site"));
            fs::write(&site, site_of(number, machines, services, scope))?;
            let mut command = Command::new(sableloom);
            command.arg("serve").arg("--config").arg(site);
            each.push(LoggedProcess::spawn(&mut command)?);
        }
        each.iter_mut().try_for_each(|process| process.await_ready(&["in force"]))?;
        Ok(Self { each })
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.each.len()
    }

    /// Requests through each.
    pub fn through(&self) -> Vec<Stream> {
        let stream = |process: &LoggedProcess| Stream {
            targets: vec![process.address],
            path: PATH.to_string(),
            rate: RATE,
            direct: false,
        };
        self.each.iter().map(stream).collect()
    }

    /// What they have used together.
    pub fn usage(&self) -> Usage {
        self.each.iter().map(LoggedProcess::usage).sum()
    }

    /// The most threads that one has.
    pub fn most_threads(&self) -> usize {
        self.each.iter().map(LoggedProcess::threads).max().unwrap_or(0)
    }

    /// How long after this moment each one serves what a marker's change has set; or what it answered last instead.
    pub fn await_marker(&self, marker: u64, since: Instant) -> Vec<Result<Duration, String>> {
        let looks = self.each.iter().enumerate().map(|(number, process)| {
            let address = process.address;
            let look = thread::spawn(move || serves_marker(address, marker, since));
            (number, look)
        });
        let looks: Vec<_> = looks.collect();
        let seen = looks.into_iter().map(|(number, look)| {
            let seen = look.join().unwrap_or_else(|_| Err("its look failed".to_string()));
            seen.map_err(|last| format!("real balancer {number}, change {marker}: {last}"))
        });
        seen.collect()
    }
}

/// Sets a route of the real service that leads nowhere else: who serves it has the change in force.
pub fn set_marker(change: &mut ChangeText, marker: u64) {
    change.set_route(SERVICE, "marker", 1, &marker_path(marker));
}

fn marker_path(marker: u64) -> String {
    format!("/marker-{marker}/")
}

fn serves_marker(address: SocketAddr, marker: u64, since: Instant) -> Result<Duration, String> {
    let path = format!("{}x", marker_path(marker));
    let mut last = "it was never asked".to_string();
    while since.elapsed() < PATIENCE {
        match ask_once(address, &path) {
            Ok(status) if status.starts_with("HTTP/1.1 200") => return Ok(since.elapsed()),
            Ok(status) => last = format!("last answer {status:?}"),
            Err(error) => last = format!("no answer: {error}"),
        }
        thread::sleep(LOOK);
    }
    Err(last)
}

/// The status line of the answer to one request, on a connection of its own.
fn ask_once(address: SocketAddr, path: &str) -> io::Result<String> {
    let mut connection = TcpStream::connect_timeout(&address, ANSWER_WITHIN)?;
    connection.set_read_timeout(Some(ANSWER_WITHIN))?;
    connection.set_nodelay(true)?;
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: scale.test\r\nConnection: close\r\nX-Expires-In-Ms: 600\r\n\r\n"
    );
    connection.write_all(request.as_bytes())?;
    let mut line = String::new();
    BufReader::new(connection).read_line(&mut line)?;
    Ok(line.trim().to_string())
}

fn site_of(number: usize, machines: &[SocketAddr], services: usize, scope: usize) -> String {
    let machines: Vec<String> = machines.iter().map(SocketAddr::to_string).collect();
    let scope = source::scope_of(number, services, scope).map(source::service);
    let scope: Vec<String> = scope.chain([SERVICE.to_string()]).collect();
    let mut site = String::from(
        "[limits]\nsockets = 4096\nmemory_mb = 512\n[[listener]]\naddress = \"127.0.0.1:0\"\n\
         [[class]]\nname = \"read\"\naim_ms = 150\ndeadline_ms = 600\neffect = \"safe\"\n\
         methods = [\"GET\"]\n",
    );
    let _ = write!(
        site,
        "[control]\nown = \"real-{number}\"\nmachines = {machines:?}\nservices = {scope:?}\n\
         state = \"real-{number}.state\"\n"
    );
    site
}
