//! Upstreams send a second copy of some good answers, some milliseconds late and only when nothing else waits on the
//! connection, while a few requests of one class need many times the usual work. As upstreams do, they turn a request
//! away whose time is over before a core is free for it. No redemption may run twice, and none that ran may be refused.

use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::common::{
    Balancer, Discovery, Member, Message, Random, Record, Result, answer, ms, read_message,
    request, serve, settings, sleep_until,
};

/// One way between data centres, in milliseconds: 0.7 to 1.3 in the brief.
const ONE_WAY_MS: f64 = 1.3;
/// Small upstreams: 2 cores of 0.68 to 0.92 of the yardstick.
const UPSTREAMS: usize = 8;
const CORES: usize = 2;
const SPEED: f64 = 0.8;
/// The work of a request in milliseconds on the yardstick (31 to 57 in the mean), spread evenly around its mean.
const WORK_MS: f64 = 45.0;
const WORK_SPREAD: (f64, f64) = (0.4, 1.6);
/// The time that a request waits on other systems, in milliseconds.
const IO_MS: (f64, f64) = (25.0, 45.0);
/// The heavy tail of the class balance: for 24 s of each 30 s (11 to 25 s), 2.5% of its requests (0.85 to 2.7%) need 20
/// times the work (8.4 to 27 times).
const TAIL_S: f64 = 24.0;
const TAIL_PERIOD_S: f64 = 30.0;
const TAIL_SHARE: f64 = 0.025;
const TAIL_FACTOR: f64 = 20.0;
/// The share of answers that is sent twice.
const SECOND_SHARE: f64 = 0.2;
/// How late a second copy is, in milliseconds.
const SECOND_LATE_MS: (f64, f64) = (5.0, 8.0);
const CLIENTS: usize = 48;
/// The mean pause of a client between two requests, in milliseconds.
const PAUSE_MS: f64 = 60.0;
/// The share of redemptions.
const REDEEM_SHARE: f64 = 0.26;
/// Requests have 600 ms; this share of those of the class balance has less left, as a client's retry has.
const SHORT_SHARE: f64 = 0.3;
const SHORT_MS: (f64, f64) = (130.0, 200.0);
const SECONDS: f64 = 100.0;

/// What was seen of one redemption.
#[derive(Default)]
struct Redemption {
    /// The upstreams that ran it.
    ran_at: Vec<String>,
    /// The status of its answer.
    status: u16,
}

#[derive(Default)]
struct Seen {
    redemptions: HashMap<String, Redemption>,
    second_copies: usize,
    turned_away: usize,
    served: usize,
    refused: usize,
    failed: usize,
    unanswered: usize,
    foreign: usize,
}

/// One upstream: its cores serve first come, first served.
struct Node {
    name: String,
    free_at: Mutex<Vec<Instant>>,
}

struct Connection {
    node: Arc<Node>,
    stream: TcpStream,
    buffer: Vec<u8>,
    random: Random,
    record: Arc<Record>,
    seen: Arc<Mutex<Seen>>,
    trouble: bool,
}

impl Connection {
    /// Serves one request; `None` at the end of the connection.
    fn serve_one(&mut self) -> Option<()> {
        let until = Instant::now() + ms(30_000.0);
        let request = read_message(&mut self.stream, &mut self.buffer, until)?;
        let name = self.node.name.clone();
        // What was read now arrives after the way.
        let arrived = Instant::now() + ms(ONE_WAY_MS);
        let id = request.field("x-trace-id").unwrap_or_default().to_string();
        let expires = request.field("x-expires-in-ms").and_then(|v| v.parse().ok()).unwrap_or(0.0);
        let over = arrived + ms(expires);
        let is_balance = request.second_word().starts_with("/balance");
        let in_tail = self.trouble && self.record.at() / 1000.0 % TAIL_PERIOD_S < TAIL_S;
        let is_heavy = is_balance && in_tail && self.random.part() < TAIL_SHARE;
        let factor = if is_heavy { TAIL_FACTOR } else { 1.0 };
        let work = factor * self.random.between(WORK_SPREAD.0, WORK_SPREAD.1) * WORK_MS / SPEED;
        let start = {
            let mut cores = self.node.free_at.lock().unwrap();
            let core = cores.iter_mut().min().expect("a core");
            let start = (*core).max(arrived);
            if start < over {
                *core = start + ms(work);
            }
            start
        };
        if start >= over {
            sleep_until(over);
            self.record.line(&format!("{name} turns {id} away: its time is over, it never ran"));
            self.seen.lock().unwrap().turned_away += 1;
            sleep_until(over + ms(ONE_WAY_MS));
            return self.stream.write_all(&answer(504, "X-Never-Ran: 1\r\n", b"")).ok();
        }
        sleep_until(start);
        self.record.line(&format!("{name} runs {id} {}", request.second_word()));
        if request.second_word().starts_with("/redeem") {
            let mut seen = self.seen.lock().unwrap();
            seen.redemptions.entry(id.clone()).or_default().ran_at.push(name.clone());
        }
        let io = self.random.between(IO_MS.0, IO_MS.1);
        sleep_until(start + ms(work + io));
        let bytes = answer(200, "", format!("{name} answers {id}").as_bytes());
        let answered = Instant::now();
        sleep_until(answered + ms(ONE_WAY_MS));
        self.stream.write_all(&bytes).ok()?;
        if self.trouble && self.random.part() < SECOND_SHARE {
            let late = self.random.between(SECOND_LATE_MS.0, SECOND_LATE_MS.1);
            // Nothing else waits on the connection: no byte has arrived by then, that is, none was read one way before.
            if self.is_quiet_until(answered + ms(late - ONE_WAY_MS))? {
                sleep_until(answered + ms(late + ONE_WAY_MS));
                self.record
                    .line(&format!("{name} sends the answer to {id} again, {late:.1} ms late"));
                self.seen.lock().unwrap().second_copies += 1;
                self.stream.write_all(&bytes).ok()?;
            }
        }
        Some(())
    }

    /// Whether no byte comes until this time; `None` at the end of the connection. Looks again and again, as the
    /// time-out of a read is not exact to a millisecond.
    fn is_quiet_until(&mut self, time: Instant) -> Option<bool> {
        self.stream.set_nonblocking(true).ok()?;
        let mut byte = [0];
        let quiet = loop {
            match self.stream.peek(&mut byte) {
                Ok(0) => break None,
                Ok(_) => break Some(false),
                Err(e) if e.kind() != io::ErrorKind::WouldBlock => break None,
                Err(_) if !self.buffer.is_empty() => break Some(false),
                Err(_) if Instant::now() >= time => break Some(true),
                Err(_) => thread::sleep(ms(0.1)),
            }
        };
        self.stream.set_nonblocking(false).ok()?;
        quiet
    }
}

pub fn run(root: &Path, folder: &Path, trouble: bool) -> Result<bool> {
    let record = Record::create(folder)?;
    let seen = Arc::new(Mutex::new(Seen::default()));
    let mut members = Vec::new();
    for number in 0..UPSTREAMS {
        let (record, seen) = (record.clone(), seen.clone());
        let name = format!("s-{number}");
        let cores = vec![Instant::now(); CORES];
        let node = Arc::new(Node { name: name.clone(), free_at: Mutex::new(cores) });
        let address = serve(move |stream| {
            let mut connection = Connection {
                node: node.clone(),
                stream,
                buffer: Vec::new(),
                random: Random::new(),
                record: record.clone(),
                seen: seen.clone(),
                trouble,
            };
            while connection.serve_one().is_some() {}
        })?;
        members.push(Member {
            id: name,
            address,
            zone: "osborne-park".into(),
            kind: "medium".into(),
            phase: "SERVING",
            up_since_ms: 0,
        });
    }
    let discovery = Discovery::start(members)?;
    let mut balancer = Balancer::start(root, "n0", discovery.address, &settings(1, 0))?;
    thread::sleep(ms(700.0));
    let end = Instant::now() + ms(SECONDS * 1000.0);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, seen, address) = (record.clone(), seen.clone(), balancer.address);
            thread::spawn(move || client(number, address, end, &record, &seen))
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client panicked")?;
    }
    thread::sleep(ms(1500.0));
    let seen = seen.lock().unwrap();
    let (mut twice, mut refused_after_run) = (0, 0);
    for (id, Redemption { ran_at, status }) in &seen.redemptions {
        if ran_at.len() > 1 {
            record.line(&format!("BROKEN: {id} ran at {}", ran_at.join(" and ")));
            twice += 1;
        }
        if [429, 503].contains(status) && !ran_at.is_empty() {
            record.line(&format!(
                "BROKEN: {id} was refused ({status}) and ran at {}",
                ran_at.join(" and ")
            ));
            refused_after_run += 1;
        }
    }
    let summary = format!(
        "SUMMARY redemptions that ran twice {twice}, that were refused and ran {refused_after_run}, of {}; second copies \
         {}, turned away {}; answers 200 {}, of these foreign {}; refused {}, failed {}, unanswered {}",
        seen.redemptions.len(),
        seen.second_copies,
        seen.turned_away,
        seen.served,
        seen.foreign,
        seen.refused,
        seen.failed,
        seen.unanswered
    );
    record.line(&summary);
    record.flush();
    println!("{summary}");
    if !balancer.runs() {
        return Err("the balancer ended".into());
    }
    if seen.served < 1000 || (trouble && seen.second_copies < 20) {
        return Err("too few answers for a result".into());
    }
    Ok(twice + refused_after_run == 0)
}

/// A client that keeps its connection and sends one request at a time.
fn client(number: usize, address: SocketAddr, end: Instant, record: &Record, seen: &Mutex<Seen>) {
    let mut random = Random::new();
    let mut connection: Option<TcpStream> = None;
    while Instant::now() < end {
        thread::sleep(ms(-PAUSE_MS * (1.0 - random.part()).ln()));
        let class = if random.part() < REDEEM_SHARE { "redeem" } else { "balance" };
        let (id, key) = (random.id(), random.id());
        // A connection that the balancer has closed between requests is not used again.
        let open = connection.take().filter(is_open);
        let Some(mut stream) = open.or_else(|| TcpStream::connect(address).ok()) else { continue };
        let _ = stream.set_nodelay(true);
        let short = class == "balance" && random.part() < SHORT_SHARE;
        let expires = if short { random.between(SHORT_MS.0, SHORT_MS.1) as u64 } else { 600 };
        if stream.write_all(&request(class, &id, &key, expires)).is_err() {
            continue;
        }
        record.line(&format!("client {number} sends {id} /{class}"));
        let answer: Option<Message> =
            read_message(&mut stream, &mut Vec::new(), Instant::now() + ms(1200.0));
        let mut seen = seen.lock().unwrap();
        let Some(answer) = answer else {
            record.line(&format!("client {number} has no answer to {id}"));
            seen.unanswered += 1;
            continue;
        };
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        record.line(&format!("client {number} gets {} to {id}: {body}", answer.status()));
        if class == "redeem" {
            seen.redemptions.entry(id.clone()).or_default().status = answer.status();
        }
        match answer.status() {
            200 => {
                seen.served += 1;
                seen.foreign += usize::from(!body.ends_with(&id));
            }
            429 | 503 => seen.refused += 1,
            _ => seen.failed += 1,
        }
        let closes = answer.field("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
        connection = (!closes).then_some(stream);
    }
}

fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let quiet = stream.set_nonblocking(true).is_ok()
        && matches!(stream.peek(&mut byte), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
    quiet && stream.set_nonblocking(false).is_ok()
}
