//! A balancer starts alone while discovery is crowded, so that its first call takes 0.3 s. Later its watch falls silent
//! once. Right after that an upstream is replaced by one of another cell at its address. Some answers are spoilt all the
//! while, so that keyed requests are sent again.

use std::collections::HashMap;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Message, Server};
use crate::platform::{Discovery, Member, Settings, list, write_config};
use crate::process::{Process, free_port};
use crate::record::Record;

const BALANCERS: u32 = 48;
/// The cells of the upstreams s-0, s-1, ... at the start.
const CELLS: [u32; 8] = [1, 1, 1, 2, 2, 2, 3, 3];
/// The upstream that is replaced, and the cell of the new one.
const REPLACED: usize = 1;
const NEW_CELL: u32 = 3;
const CLIENTS: usize = 24;
/// How long a request takes at an upstream.
const WORK: Duration = Duration::from_millis(30);
/// One answer to a redemption in this many is spoilt; the redemption has run.
const ONE_SPOILT_IN: u64 = 6;
/// How long an upstream's cell remembers a key: the window of the settings and more.
const REMEMBERED: f64 = 10.0;
/// How long discovery's calls take until their turn has come and they are worked through: the first one, in a crowd; the
/// next one; and the one after the silence, as the watches of others have fallen silent as well. Calls that go on a
/// watch take no time. 48 calls of 50 ms are 2.4 s.
const FIRST_CALL: f64 = 0.3;
const CALL: f64 = 0.05;
const CALL_AFTER_SILENCE: f64 = 1.0;
/// After a call that was given up a change counts as told so long after discovery had it. The grace for drains and the
/// slack of each time limit on sockets come on top.
const TOLD_AFTER: f64 = 6.0;
const GRACE: f64 = 1.0 + 0.05;

/// A request that an upstream got.
struct Got {
    at: f64,
    upstream: String,
    cell: u32,
    key: String,
    /// Whether it took effect: its cell did not remember the key.
    took_effect: bool,
}

/// All upstreams.
struct Upstreams {
    /// By upstream: its id and cell.
    names: Mutex<Vec<(String, u32)>>,
    /// By cell and key: when it was run.
    remembered: Mutex<HashMap<(u32, String), f64>>,
    got: Mutex<Vec<Got>>,
    answers: AtomicU64,
    record: Record,
}

impl Upstreams {
    fn answer(&self, index: usize, request: &Message) -> Vec<u8> {
        let id = request.fields.get("x-trace-id").cloned().unwrap_or_default();
        let key = request.fields.get("idempotency-key").cloned();
        let (upstream, cell) = self.names.lock().unwrap()[index].clone();
        let at = self.record.now();
        if let Some(key) = &key {
            let took_effect = {
                let mut remembered = self.remembered.lock().unwrap();
                let before = remembered.get(&(cell, key.clone())).copied();
                let took_effect = before.is_none_or(|before| at - before > REMEMBERED);
                remembered.entry((cell, key.clone())).or_insert(at);
                took_effect
            };
            self.record.line(format!(
                "{upstream} of cell {cell} gets {id}, key {key}, runs {took_effect}"
            ));
            let (upstream, key) = (upstream.clone(), key.clone());
            self.got.lock().unwrap().push(Got { at, upstream, cell, key, took_effect });
        }
        sleep(WORK);
        let number = self.answers.fetch_add(1, Ordering::Relaxed);
        if key.is_some() && number % ONE_SPOILT_IN == 0 {
            self.record.line(format!("{upstream} answers {id} with noise"));
            return (0..80u8).map(|i| i.wrapping_mul(37) | 0x80).collect();
        }
        let body = format!("answer to {id}");
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
    }
}

pub fn run(
    program: &str,
    folder: &Path,
    trouble: bool,
    record: &Record,
) -> Result<Vec<String>, String> {
    let names = CELLS.iter().enumerate().map(|(i, cell)| (format!("s-{i}"), *cell)).collect();
    let upstreams = Arc::new(Upstreams {
        names: Mutex::new(names),
        remembered: Mutex::default(),
        got: Mutex::default(),
        answers: AtomicU64::new(1),
        record: record.clone(),
    });
    let servers: Vec<Server> = (0..CELLS.len())
        .map(|i| {
            let shared = upstreams.clone();
            Server::start(move |request| shared.answer(i, request))
        })
        .collect();
    let member = |(i, server): (usize, &Server)| Member {
        id: format!("s-{i}"),
        port: server.port,
        phase: "SERVING",
        cell: CELLS[i],
        up_since_ms: 0,
    };
    let members: Vec<Member> = servers.iter().enumerate().map(member).collect();
    let known = list(1, true, &members);
    let discovery = Discovery::start(members, record, |call| match call.number {
        0 => FIRST_CALL,
        1 => CALL,
        _ => CALL_AFTER_SILENCE,
    });
    let listen = free_port();
    let config = folder.join("config.json");
    let settings = Settings {
        listen,
        discovery: discovery.port,
        balancers: BALANCERS,
        position: 0,
        known: &known,
    };
    write_config(&config, &settings)?;
    let environment = [("ROUTER_CONFIG", config.to_str().unwrap())];
    let balancer = Process::start(program, &[], &environment, folder, "balancer")?;
    let end = Instant::now() + Duration::from_secs(60);
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS).map(|i| client(i, listen, stop.clone(), record)).collect();
    // A watch that goes on with one before it, of nearly the full wait.
    let watch = loop {
        match discovery.open_watch(9.0) {
            Some(watch) if watch.number >= 2 => break Some(watch),
            _ if record.now() > 24.0 => break discovery.open_watch(0.0),
            _ => sleep(Duration::from_millis(5)),
        }
    };
    let watch = watch.ok_or("no watch is open")?;
    record.line(format!("a watch with a wait of {:.3} s", watch.wait.unwrap_or(0.0)));
    sleep(Duration::from_millis(200));
    if trouble {
        discovery.silence(&watch);
    }
    sleep(Duration::from_millis(200));
    // The process at the address ends, with its connections, and another one takes its place.
    let new = (format!("s-{}", CELLS.len()), NEW_CELL);
    upstreams.names.lock().unwrap()[REPLACED] = new.clone();
    servers[REPLACED].break_connections();
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let new = Member {
        id: new.0,
        port: servers[REPLACED].port,
        phase: "SERVING",
        cell: new.1,
        up_since_ms: now_ms,
    };
    let replaced = discovery.replace(&format!("s-{REPLACED}"), new);
    let told = loop {
        match discovery.told(2) {
            Some(told) => break told,
            None if Instant::now() > end => return Err("the change was never asked for".into()),
            None => sleep(Duration::from_millis(5)),
        }
    };
    sleep(Duration::from_secs(if trouble { 2 } else { 8 }));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());
    balancer.log().lines().for_each(|line| record.line(format!("log of the balancer: {line}")));
    let given_up = discovery.given_up();
    if trouble && given_up.is_none() {
        return Err("no call was given up".into());
    }
    // With the watch, the change was told when it was written.
    let from = match given_up {
        Some(given_up) => given_up.max(replaced + TOLD_AFTER + GRACE),
        None => told + GRACE,
    };
    record.line(format!(
        "the change was in the balancer's hands {:.3} s after it, the call given up {:.3} s after it",
        told - replaced,
        given_up.unwrap_or(told) - replaced,
    ));
    Ok(judge(&upstreams.got.lock().unwrap(), from, replaced, record))
}

/// The keys that took effect twice, by a request that was sent outside the group after `from`.
fn judge(got: &[Got], from: f64, replaced: f64, record: &Record) -> Vec<String> {
    let mut by_key: HashMap<&str, Vec<&Got>> = HashMap::new();
    got.iter().for_each(|got| by_key.entry(&got.key).or_default().push(got));
    let (mut all, mut counted) = (0, 0);
    for (key, got) in &by_key {
        let effects: Vec<_> = got.iter().filter(|got| got.took_effect).collect();
        let [first, .., last] = effects.as_slice() else { continue };
        all += usize::from(last.at > replaced);
        if last.at <= from {
            continue;
        }
        counted += 1;
        record.line(format!(
            "key {key} ran at {} of cell {} at {:.4} and at {} of cell {} at {:.4}",
            first.upstream, first.cell, first.at, last.upstream, last.cell, last.at
        ));
    }
    let sent_again = by_key.values().filter(|got| got.len() > 1).count();
    record.line(format!(
        "{} keys, {sent_again} of them sent again; {all} ran twice since the change, {counted} of them by a request sent \
         after the change counted as told (at {from:.3})",
        by_key.len()
    ));
    match counted {
        0 => Vec::new(),
        _ => vec![format!(
            "{counted} redemptions were sent outside their group and took effect twice"
        )],
    }
}

fn client(
    index: usize,
    port: u16,
    stop: Arc<AtomicBool>,
    record: &Record,
) -> thread::JoinHandle<()> {
    let record = record.clone();
    thread::spawn(move || {
        let mut connection = None;
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(40));
            let Some(mut open) = connection
                .take()
                .or_else(|| Connection::connect(port, Duration::from_secs(2)).ok())
            else {
                continue;
            };
            number += 1;
            let id = format!("{index:04x}{number:012x}");
            let request = format!(
                "POST /redeem HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {id}\r\nX-Qos: redeem\r\n\
                 X-Object: {:016x}\r\nX-Expires-In-Ms: 600\r\nIdempotency-Key: {id}{id}\r\nContent-Length: 2\r\n\r\nok",
                number * 7919 + index
            );
            let answer = open.stream.write_all(request.as_bytes()).and_then(|()| open.read());
            let Ok(answer) = answer else {
                record.line(format!("client: {id}: no answer"));
                continue;
            };
            record.line(format!("client: {id}: {}", answer.first_line));
            if answer.fields.get("connection").is_none_or(|value| value != "close") {
                connection = Some(open);
            }
        }
    })
}
