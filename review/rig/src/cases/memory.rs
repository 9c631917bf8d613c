//! Hundreds of clients each send half a request, and stay. The balancer has to stay within its memory limit: the
//! platform kills it above that.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::balancer::{Balancer, free_address};
use crate::client::{Client, End, Request};
use crate::discovery::{Discovery, Member};
use crate::record::Record;
use crate::settings::{Deployment, PERTH};
use crate::upstream::{Plan, Runs, Upstream};
use crate::{Stage, Verdict};

const MEMORY_MB: u64 = 48;
const SOCKETS: u64 = 672;
const NODES: usize = 4;
const CLIENTS: usize = 20;
/// Each client asks once in this time.
const PAUSE: Duration = Duration::from_millis(400);
const LENGTH: Duration = Duration::from_secs(20);
/// Clients that stop in the middle of a request, at once; the seconds at which they come.
const STOPPING: usize = 420;
const VOLLEYS_AT_S: [u64; 5] = [3, 6, 9, 12, 15];
/// Of each of their requests: the fields of the head, with long names, and the bytes of them all.
const FIELDS: usize = 92;
const HEAD_BYTES: usize = 31_900;
/// The length of the body, and what comes of it; of one client in four, and of the others.
const LONG_BODY: (usize, usize) = (65_536, 65_000);
const SHORT_BODY: (usize, usize) = (8_192, 8_100);

pub fn play(stage: &Stage) -> Result<Verdict, String> {
    let record = &stage.record;
    let runs: Runs = Arc::new(Mutex::new(HashMap::new()));
    let planner = Arc::new(|_: &str| Plan { work: Duration::from_millis(60), again_after: None });
    let members = (0..NODES)
        .map(|n| {
            let node = Upstream::start(&format!("node{n}"), record, &runs, planner.clone());
            Member { id: format!("s-{n}"), address: node.address, zone: "malaga", phase: "SERVING" }
        })
        .collect();
    let discovery = Discovery::start(members, record);
    let listen = free_address();
    let config = Deployment {
        name: "n0",
        listen,
        discovery: discovery.address(),
        known: &discovery.list(),
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        balancers: 1,
        classes: &PERTH,
    }
    .json();
    let mut balancer =
        Balancer::start(&stage.root, &stage.folder, "n0", listen, discovery.address(), &config)?;
    let start = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<[AtomicUsize; 3]> = Arc::default();
    for c in 0..CLIENTS {
        let (record, counts, stop) = (record.clone(), counts.clone(), stop.clone());
        thread::spawn(move || ask_evenly(c, listen, start, &record, &counts, &stop));
    }
    if stage.trouble {
        for at in VOLLEYS_AT_S {
            let record = record.clone();
            thread::spawn(move || {
                sleep((start + Duration::from_secs(at)).saturating_duration_since(Instant::now()));
                stop_in_the_middle(at, listen, &record);
            });
        }
    }
    // The platform: it looks at the memory of the process, and kills it above the limit.
    let mut most = 0;
    let mut over = false;
    while start.elapsed() < LENGTH && !over {
        if let Some(status) = balancer.ended() {
            record.say(format!("CRASH: the balancer ended by itself: {status}"));
            over = true;
            break;
        }
        let now = balancer.memory_kb();
        if now > most + 1024 {
            record.line(format!("the balancer's memory: {now} kB"));
            most = now;
        }
        most = most.max(now);
        if now > MEMORY_MB * 1024 {
            record.say(format!("OVER THE LIMIT: memory of {now} kB, the limit is {} kB; the platform kills the balancer", MEMORY_MB * 1024));
            balancer.kill();
            over = true;
        }
        sleep(Duration::from_millis(5));
    }
    // What it held, and what comes until the platform has started it again, gets no answer.
    sleep(Duration::from_secs(1));
    stop.store(true, Ordering::SeqCst);
    let [asked, served, unanswered] = &*counts;
    let (asked, served, unanswered) = (
        asked.load(Ordering::SeqCst),
        served.load(Ordering::SeqCst),
        unanswered.load(Ordering::SeqCst),
    );
    record.say(format!("most memory {most} kB of {} kB; {asked} requests of other clients, {served} served, {unanswered} without an answer", MEMORY_MB * 1024));
    if served * 2 < asked {
        return Err("under half of the requests were served".into());
    }
    Ok(if over { Verdict::Broken } else { Verdict::Held })
}

fn ask_evenly(
    c: usize,
    listen: SocketAddr,
    start: Instant,
    record: &Record,
    counts: &[AtomicUsize; 3],
    stop: &AtomicBool,
) {
    let mut client = Client::new(listen);
    let mut next = start + PAUSE.mul_f64(c as f64 / CLIENTS as f64);
    for n in 0.. {
        next += PAUSE;
        sleep(next.saturating_duration_since(Instant::now()));
        if stop.load(Ordering::SeqCst) || next >= start + LENGTH {
            return;
        }
        let redeem = (c + n) % 4 == 0;
        let request = Request {
            id: format!("h{c:02}-{n:04}"),
            class: if redeem { "redeem" } else { "balance" },
            post: redeem,
            key: format!("{:016x}", c * 1000 + n),
            expires_ms: 600,
            body: if redeem { b"points=100".to_vec() } else { Vec::new() },
        };
        let outcome = client.ask(&request, Duration::from_millis(1200));
        let (class, id, ms) = (request.class, &request.id, outcome.took.as_millis());
        counts[0].fetch_add(1, Ordering::SeqCst);
        let what = match outcome.end {
            End::Answered { status, .. } => {
                if status == 200 {
                    counts[1].fetch_add(1, Ordering::SeqCst);
                }
                status.to_string()
            }
            End::Broken(why) => {
                counts[2].fetch_add(1, Ordering::SeqCst);
                why
            }
            End::Silent => {
                counts[2].fetch_add(1, Ordering::SeqCst);
                "no answer".into()
            }
        };
        record.line(format!("client {c}: {class} {id}: {what} after {ms} ms"));
    }
}

/// Connects by hundreds, sends half a request on each connection, and reads what is answered.
fn stop_in_the_middle(volley: u64, listen: SocketAddr, record: &Record) {
    record.line(format!("{STOPPING} clients send half a request each, and stay"));
    let mut streams = Vec::new();
    for b in 0..STOPPING {
        let Ok(mut stream) = TcpStream::connect(listen) else { continue };
        let (length, sent) = if b % 4 == 0 { LONG_BODY } else { SHORT_BODY };
        let mut head = format!(
            "POST /redeem HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: bad-{volley}-{b:03}\r\nX-Qos: redeem\r\nX-Expires-In-Ms: 600\r\nContent-Length: {length}\r\n"
        );
        for field in 0..FIELDS {
            let rest = "n".repeat(HEAD_BYTES / FIELDS - 15);
            head.push_str(&format!("X-Note-{field:02}-{rest}: 1\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.resize(bytes.len() + sent, b'x');
        // What does not fit into the system's buffers is not sent: the client has stopped.
        let _ = stream.set_write_timeout(Some(Duration::from_millis(50)));
        let _ = stream.write_all(&bytes);
        streams.push((stream, Instant::now()));
    }
    let mut answers: HashMap<String, (usize, u128)> = HashMap::new();
    for (mut stream, since) in streams {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
        let mut answer = [0; 12];
        let n = stream.read(&mut answer).unwrap_or(0);
        let entry = answers.entry(String::from_utf8_lossy(&answer[..n]).into_owned()).or_default();
        entry.0 += 1;
        entry.1 = entry.1.max(since.elapsed().as_millis());
    }
    for (answer, (count, ms)) in answers {
        record.line(format!("{count} stopping clients got \"{answer}\", after {ms} ms at most"));
    }
}
