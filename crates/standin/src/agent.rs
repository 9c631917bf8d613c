//! A discovery agent on a balancer's own machine: it answers at once with what it has been told, and a
//! watch waits there for news.

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

/// The longest that a watch waits.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// What is wrong with an agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mood {
    /// Nothing.
    #[default]
    Well,
    /// Its answers break off in the midst of the list.
    Half,
}

/// A server in a list.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name.
    pub id: String,
    /// Where it is.
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
    mood: Cell<Mood>,
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
            mood: Cell::default(),
        })
    }

    /// Starts an agent on a free loopback port, with this list.
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

    /// It is told another list.
    pub fn set(&self, members: &[Member]) {
        self.revision.set(self.revision.get() + 1);
        *self.members.borrow_mut() = members.iter().map(entry).collect();
        self.changed.notify_waiters();
    }

    /// What is wrong with it from now on.
    pub fn mood(&self, mood: Mood) {
        self.mood.set(mood);
        // Those that wait are answered in this mood.
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
            // No news in its time is an answer as well.
            let _ = timeout(wait.min(WAIT_MAX), self.changed.notified()).await;
        }
        let revision = self.revision.get();
        let known = after == Some(revision);
        let members = if known { Vec::new() } else { self.members.borrow().clone() };
        let list = json!({"revision": revision, "complete": !known, "members": members});
        let mut text = list.to_string();
        if self.mood.get() == Mood::Half {
            text.truncate(text.len() / 2);
        }
        Response::new(Full::from(text))
    }
}

/// Starts an agent that names these servers, in one zone, on a thread of its own.
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
