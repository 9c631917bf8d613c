//! A stand-in for discovery, which answers polls over pipes.

use std::cell::{Cell, RefCell};
use std::future::pending;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use sableloom_discovery::{Dial, Stream};
use sableloom_exchange::LocalFuture;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::sync::{Mutex, Notify};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

const NOTIFIED_AFTER_SILENCE: Duration = Duration::from_secs(6);
const NOTIFIED_AFTER_WAIT: Duration = Duration::from_secs(2);
/// A poll continues the watch if it comes this soon after the last answer.
const CONTINUES_WITHIN: Duration = Duration::from_millis(200);

/// The fault of discovery.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Fault {
    None,
    /// It accepts polls and never answers them.
    Silent,
    /// It rejects polls, and has ended the open ones.
    Rejecting,
    /// It answers every poll with this, and then closes the connection or not.
    Answering {
        bytes: String,
        closes: bool,
    },
}

/// A stand-in for discovery: one service, or an agent.
pub(crate) struct DiscoveryStandIn {
    revision: Cell<u64>,
    draining: RefCell<Vec<(u64, String)>>,
    pub(crate) fault: RefCell<Fault>,
    /// Signals changes of the list, of the fault, and the end of all open polls.
    changed: Notify,
    /// How often the polls that were open went silent, or were reset.
    silences: Cell<u64>,
    resets: Cell<u64>,
    /// How many polls were made.
    pub(crate) polls: Cell<usize>,
    /// When the waits of the polls end.
    open_until: RefCell<Vec<Instant>>,
    /// How long one new poll is handled; one at a time.
    poll_time: Duration,
    turn: Mutex<()>,
}

impl DiscoveryStandIn {
    pub(crate) fn new(poll_time: Duration) -> Rc<Self> {
        Rc::new(Self {
            revision: Cell::new(1),
            draining: RefCell::default(),
            fault: RefCell::new(Fault::None),
            changed: Notify::new(),
            silences: Cell::new(0),
            resets: Cell::new(0),
            polls: Cell::new(0),
            open_until: RefCell::default(),
            poll_time,
            turn: Mutex::new(()),
        })
    }

    pub(crate) fn dial(self: &Rc<Self>) -> Dial {
        let service = self.clone();
        Rc::new(move |_| -> LocalFuture<io::Result<Box<dyn Stream>>> {
            let (ours, theirs) = duplex(1 << 20);
            spawn_local(service.clone().serve(theirs));
            Box::pin(async move { Ok(Box::new(ours) as Box<dyn Stream>) })
        })
    }

    pub(crate) fn drain(&self, id: &str) -> Instant {
        self.revision.set(self.revision.get() + 1);
        self.draining.borrow_mut().push((self.revision.get(), id.to_string()));
        self.changed.notify_waiters();
        Instant::now()
    }

    pub(crate) fn set_fault(&self, fault: Fault) {
        if fault != Fault::None {
            self.resets.set(self.resets.get() + 1);
        }
        *self.fault.borrow_mut() = fault;
        self.changed.notify_waiters();
    }

    pub(crate) fn reset(&self) {
        self.resets.set(self.resets.get() + 1);
        self.changed.notify_waiters();
    }

    /// All open polls go silent. Returns when what they miss counts as notified.
    pub(crate) fn go_silent(&self) -> Instant {
        self.silences.set(self.silences.get() + 1);
        let now = Instant::now();
        let open = self.open_until.borrow();
        let waits = open.iter().filter(|end| **end > now).max().copied().unwrap_or(now);
        (now + NOTIFIED_AFTER_SILENCE).max(waits + NOTIFIED_AFTER_WAIT)
    }

    async fn serve(self: Rc<Self>, mut pipe: DuplexStream) {
        let mut last_answer: Option<Instant> = None;
        while let Some(poll) = ReceivedPoll::read(&mut pipe).await {
            self.polls.set(self.polls.get() + 1);
            let open = OpenPoll { silences: self.silences.get(), resets: self.resets.get() };
            let fault = self.fault.borrow().clone();
            match fault {
                Fault::None => {}
                Fault::Silent => return pending().await,
                Fault::Rejecting => {
                    let _ = pipe.write_all(b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n").await;
                    continue;
                }
                Fault::Answering { bytes, closes } => {
                    let _ = pipe.write_all(bytes.as_bytes()).await;
                    if closes {
                        return;
                    }
                    continue;
                }
            }
            let continues = last_answer.is_some_and(|last| last.elapsed() <= CONTINUES_WITHIN);
            if !continues && !self.poll_time.is_zero() {
                let _turn = self.turn.lock().await;
                sleep(self.poll_time).await;
            }
            if self.wait_for_change(&poll, open).await == WaitEnd::Reset {
                return;
            }
            let answer = ok(&self.list(poll.after));
            if pipe.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            last_answer = Some(Instant::now());
        }
    }

    /// Waits until there is a change for a poll, or its wait ends. It never returns if the poll goes silent.
    async fn wait_for_change(&self, poll: &ReceivedPoll, open: OpenPoll) -> WaitEnd {
        let end = Instant::now() + poll.wait;
        self.open_until.borrow_mut().push(end);
        while poll.after == Some(self.revision.get()) && Instant::now() < end {
            let _ = timeout(end - Instant::now(), self.changed.notified()).await;
            if self.resets.get() != open.resets {
                return WaitEnd::Reset;
            }
            if self.silences.get() != open.silences {
                return pending().await;
            }
        }
        if self.silences.get() != open.silences {
            return pending().await;
        }
        WaitEnd::Answer
    }

    /// The changes after a revision, or the full list.
    fn list(&self, after: Option<u64>) -> String {
        let entries: Vec<_> = self
            .draining
            .borrow()
            .iter()
            .filter(|(revision, _)| after.is_none_or(|after| *revision > after))
            .map(|(_, id)| {
                format!(r#"{{"id":"{id}","host_port":"127.0.0.1:1","phase":"DRAINING"}}"#)
            })
            .collect();
        format!(
            r#"{{"revision":{},"complete":{},"members":[{}]}}"#,
            self.revision.get(),
            after.is_none(),
            entries.join(",")
        )
    }
}

/// How often polls went silent or were reset before this poll was open.
#[derive(Clone, Copy)]
struct OpenPoll {
    silences: u64,
    resets: u64,
}

#[derive(PartialEq)]
enum WaitEnd {
    Answer,
    Reset,
}

/// What a balancer asks for.
struct ReceivedPoll {
    after: Option<u64>,
    wait: Duration,
}

impl ReceivedPoll {
    /// Reads the next poll; `None` once the connection is closed.
    async fn read(pipe: &mut DuplexStream) -> Option<Self> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut bytes = [0; 1024];
            let Ok(n @ 1..) = pipe.read(&mut bytes).await else { return None };
            head.extend_from_slice(&bytes[..n]);
        }
        let text = String::from_utf8(head).expect("a head");
        let query = text.split(' ').nth(1).expect("a path").split('?').nth(1).unwrap_or("");
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, v)| v.parse::<u64>().expect("a number"))
        };
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        Some(Self { after: number("after"), wait })
    }
}

/// An answer with this body.
pub(crate) fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
