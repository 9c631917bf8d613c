//! A stand-in for the discovery agent on a balancer's machine: it answers queries from its list, and holds
//! a long poll until the list changes.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::serve::{Answer, accept, serve};

/// Maximum duration of a long poll.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// How an agent misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FaultMode {
    /// Not at all.
    #[default]
    None,
    /// Its answers end in the middle of the list.
    TruncatedAnswers,
}

/// A server in a list.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Whether it drains.
    pub drains: bool,
    /// When it started, in Unix milliseconds; 0 for long ago.
    pub started_ms: i64,
}

/// An agent; it lives on the `LocalSet` that it was made on.
#[derive(Debug)]
pub struct Agent {
    revision: Cell<u64>,
    members: RefCell<Vec<Value>>,
    changed: Notify,
    fault_mode: Cell<FaultMode>,
}

fn entry(member: &Member) -> Value {
    let Member { id, address, zone, drains, started_ms } = member;
    let phase = if *drains { "DRAINING" } else { "SERVING" };
    json!({"id": id, "host_port": address.to_string(), "locality": zone, "flavor": "node",
           "cell": 0, "phase": phase, "size": 1.0, "up_since_ms": started_ms})
}

impl Agent {
    fn new(members: &[Member]) -> Rc<Self> {
        Rc::new(Self {
            revision: Cell::new(1),
            members: RefCell::new(members.iter().map(entry).collect()),
            changed: Notify::new(),
            fault_mode: Cell::default(),
        })
    }

    /// Starts an agent on a free loopback port, with this list.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn start(members: &[Member]) -> io::Result<(Rc<Self>, SocketAddr)> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let agent = Self::new(members);
        let own = agent.clone();
        spawn_local(accept(listener, Rc::new(move |request| own.clone().answer(request))));
        Ok((agent, address))
    }

    /// Replaces its list and answers the waiting polls.
    pub fn set(&self, members: &[Member]) {
        self.revision.set(self.revision.get() + 1);
        *self.members.borrow_mut() = members.iter().map(entry).collect();
        self.changed.notify_waiters();
    }

    /// Sets how it misbehaves from now on.
    pub fn set_fault_mode(&self, mode: FaultMode) {
        self.fault_mode.set(mode);
        // Waiting polls are answered in this mode.
        self.changed.notify_waiters();
    }

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Answer {
        if request.uri().path() != "/discovery/hosts" {
            let mut answer = Response::new(Full::default());
            *answer.status_mut() = StatusCode::NOT_FOUND;
            return answer;
        }
        let query = request.uri().query().unwrap_or_default();
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let after = number("after");
        if after == Some(self.revision.get()) {
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
            // After the time-out it answers without a change.
            let _ = timeout(wait.min(MAX_WAIT), self.changed.notified()).await;
        }
        let revision = self.revision.get();
        let known = after == Some(revision);
        let members = if known { Vec::new() } else { self.members.borrow().clone() };
        let list = json!({"revision": revision, "complete": !known, "members": members});
        let mut text = list.to_string();
        if self.fault_mode.get() == FaultMode::TruncatedAnswers {
            text.truncate(text.len() / 2);
        }
        Response::new(Full::from(text))
    }
}

/// Starts an agent that lists these servers, in one zone, on a thread of its own.
///
/// # Errors
///
/// If no port can be bound.
pub fn agent(servers: Vec<(String, SocketAddr)>) -> io::Result<SocketAddr> {
    let member = |(id, address): (String, SocketAddr)| {
        let zone = "a".to_string();
        Member { id, address, zone, drains: false, started_ms: 0 }
    };
    let members: Vec<Member> = servers.into_iter().map(member).collect();
    serve(move || {
        let agent = Agent::new(&members);
        move |request| agent.clone().answer(request)
    })
}
