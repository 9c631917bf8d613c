//! Some answers are followed by a second copy of themselves, some milliseconds late, when nothing else waits on the
//! connection. Each answer that a client gets has to be the one that was made for its request.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::balancer::{Balancer, free_address};
use crate::client::{Client, End, Request};
use crate::discovery::{Discovery, Member};
use crate::settings::{Deployment, PERTH};
use crate::upstream::{Plan, Runs, Upstream, body_for};
use crate::{Stage, Verdict, link};

/// Points nodes, all in a zone next to the balancer's.
const NODES: usize = 4;
/// Between data centres, one way: the middle of 0.7 to 1.3 ms.
const ONE_WAY: Duration = Duration::from_millis(1);
const CLIENTS: usize = 40;
/// All clients together.
const PER_SECOND: u64 = 240;
const LENGTH: Duration = Duration::from_secs(60);
/// One answer in so many is followed by a second copy.
const ONE_IN: u64 = 100;

/// A number that looks random, the same for the same text.
fn draw(text: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325u64;
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^= hash >> 29;
    hash = hash.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash ^ (hash >> 32)
}

pub fn play(stage: &Stage) -> Result<Verdict, String> {
    let record = &stage.record;
    let runs: Runs = Arc::new(Mutex::new(HashMap::new()));
    let trouble = stage.trouble;
    let planner = Arc::new(move |id: &str| Plan {
        // Work and waiting of a balance or a redemption, around the means of the site.
        work: Duration::from_micros(40_000 + draw(&format!("work {id}")) % 40_000),
        // 2 to 9 ms late.
        again_after: (trouble && draw(&format!("again {id}")) % ONE_IN == 0)
            .then(|| Duration::from_micros(2_000 + draw(&format!("late {id}")) % 7_000)),
    });
    let members = (0..NODES)
        .map(|n| {
            let node = Upstream::start(&format!("node{n}"), record, &runs, planner.clone());
            Member {
                id: format!("s-{n}"),
                address: link::open(node.address, ONE_WAY),
                zone: "osborne-park",
                phase: "SERVING",
            }
        })
        .collect();
    let discovery = Discovery::start(members, record);
    let listen = free_address();
    let config = Deployment {
        name: "n0",
        listen,
        discovery: discovery.address(),
        known: &discovery.list(),
        memory_mb: 128,
        sockets: 512,
        balancers: 1,
        classes: &PERTH,
    }
    .json();
    let mut balancer =
        Balancer::start(&stage.root, &stage.folder, "n0", listen, discovery.address(), &config)?;
    let counts: Arc<[AtomicUsize; 4]> = Arc::default();
    let end = Instant::now() + LENGTH;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|c| {
            let (record, counts) = (record.clone(), counts.clone());
            thread::spawn(move || {
                let mut client = Client::new(listen);
                let pause = Duration::from_micros(1_000_000 * CLIENTS as u64 / PER_SECOND);
                let mut next = Instant::now() + pause.mul_f64(c as f64 / CLIENTS as f64);
                for n in 0.. {
                    // Uneven, around the mean.
                    next += pause.mul_f64((draw(&format!("pause {c} {n}")) % 1000) as f64 / 500.0);
                    if next >= end {
                        return;
                    }
                    sleep(next.saturating_duration_since(Instant::now()));
                    let id = format!("{:016x}", draw(&format!("id {c} {n}")));
                    let redeem = draw(&format!("class {id}")) % 100 < 26;
                    let request = Request {
                        class: if redeem { "redeem" } else { "balance" },
                        post: redeem,
                        key: format!("{:016x}", draw(&format!("card {}", draw(&id) % 7500))),
                        expires_ms: 600,
                        body: if redeem { b"points=100".to_vec() } else { Vec::new() },
                        id,
                    };
                    let outcome = client.ask(&request, Duration::from_millis(1200));
                    let (class, id, ms) = (request.class, &request.id, outcome.took.as_secs_f64() * 1000.0);
                    counts[0].fetch_add(1, Ordering::SeqCst);
                    match outcome.end {
                        End::Answered { status: 200, body } if body == body_for(id).as_bytes() => {
                            counts[1].fetch_add(1, Ordering::SeqCst);
                            record.line(format!("client {c}: {class} {id}: 200 after {ms:.1} ms"));
                        }
                        End::Answered { status: 200, body } => {
                            counts[2].fetch_add(1, Ordering::SeqCst);
                            counts[3].fetch_add(usize::from(redeem), Ordering::SeqCst);
                            let body = String::from_utf8_lossy(&body).into_owned();
                            record.say(format!("FOREIGN ANSWER: client {c}: {class} {id}: 200 after {ms:.1} ms with \"{body}\""));
                        }
                        End::Answered { status, .. } => record.line(format!("client {c}: {class} {id}: {status} after {ms:.1} ms")),
                        End::Broken(why) => record.line(format!("client {c}: {class} {id}: {why} after {ms:.1} ms")),
                        End::Silent => record.line(format!("client {c}: {class} {id}: no answer after {ms:.1} ms")),
                    }
                }
            })
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client panicked")?;
    }
    if let Some(status) = balancer.ended() {
        return Err(format!("the balancer ended: {status}"));
    }
    let [asked, served, foreign, redeemed] = &*counts;
    let (asked, served, foreign) = (
        asked.load(Ordering::SeqCst),
        served.load(Ordering::SeqCst),
        foreign.load(Ordering::SeqCst),
    );
    let redeemed = redeemed.load(Ordering::SeqCst);
    record.say(format!("{asked} requests, {served} served with their own answers, {foreign} served with the answer to another request, {redeemed} of these redemptions"));
    if served * 2 < asked {
        return Err("under half of the requests were served".into());
    }
    Ok(if foreign > 0 { Verdict::Broken } else { Verdict::Held })
}
