//! A balancer in front of one server, and the time that it takes to forward a request.

use std::path::Path;
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, channel};
use std::time::Instant;

use serde_json::Value;

use crate::LONG;
use crate::balancer::Balancer;
use crate::connection::{ok, read};
use crate::files::config;
use crate::peer::Peer;

/// Measures the time from a client's write to the arrival of the request at the server.
pub struct ForwardingProbe {
    /// The balancer that is measured.
    pub balancer: Balancer,
    arrivals: Receiver<Instant>,
    times_us: Vec<f64>,
}

impl ForwardingProbe {
    /// Starts a program whose configuration lists the one server so many times, changed by `adapt`.
    pub fn start(program: &Path, entries: usize, adapt: impl FnOnce(&mut Value)) -> Self {
        let (arrived, arrivals) = channel();
        let arrived = Mutex::new(arrived);
        let (upstream, _messages) = Peer::upstream(move |_, _, conn| {
            let _ = arrived.lock().expect("unpoisoned").send(Instant::now());
            conn.write(ok("x"));
            true
        });
        let mut config = config(&vec![upstream.address; entries]);
        adapt(&mut config);
        Self { balancer: Balancer::of(program, config), arrivals, times_us: Vec::new() }
    }

    /// Sends so many requests one after the other on a new connection; `round` makes their ids unique.
    pub fn measure(&mut self, round: usize, requests: usize) {
        let mut client = self.balancer.client();
        for i in 0..requests {
            let text = read(&format!("{round}-{i}"), "");
            let start = Instant::now();
            client.write(text);
            let arrival = self.arrivals.recv_timeout(LONG).expect("a request");
            self.times_us.push(arrival.duration_since(start).as_secs_f64() * 1e6);
            assert_eq!(client.message().expect("an answer").status(), 200);
        }
    }

    /// The time in microseconds that this share of the requests did not exceed.
    pub fn quantile_us(&mut self, share: f64) -> f64 {
        self.times_us.sort_by(f64::total_cmp);
        self.times_us[(self.times_us.len() as f64 * share) as usize]
    }
}
