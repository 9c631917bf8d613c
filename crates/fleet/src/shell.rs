//! Carries a member's datagrams: one socket at its own address, held from before it acts until the process
//! ends, which is what lets others prove that it does not act once it is gone.

use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sableloom_capacity_share::{Share, ShareReason};
use sableloom_exchange::{Clock, Task};
use sableloom_membership::{
    ABSENCE_QUERY, Change, Key, ListedMember, MAX_PAGE, MemberList, Reachability,
};
use sableloom_types::Time;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout};

use crate::ask;
use crate::core::{Core, Out, Setup};
use crate::status::Status;

/// How long the answer to a question may take. It comes from the system of the one asked, if at all.
const ANSWERS_WITHIN: Duration = Duration::from_millis(400);
/// Questions to systems that are out at once, each with a descriptor of its own.
pub const QUESTIONS_OUT: usize = 32;
/// Questions that wait for one of those to end. One that finds no place is lost, as by the net: it is put again in
/// its turn. Without a bound they pile up where hundreds of members that live are asked after, as none of those answers.
const QUESTIONS_WAITING: usize = 4 * QUESTIONS_OUT;
/// Datagrams that are taken before the requests of clients have their turn.
const TURN: usize = 64;

/// Datagrams that a member has sent and received since its start, and their bytes without headers of the network.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams that the socket took.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams that came, whatever became of them.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
    /// Questions to other members' systems, of one byte each; not counted as sent.
    pub probes_of_absence: u64,
    /// Questions that were not sent, as too many others waited for a place.
    pub probes_dropped: u64,
}

/// What is told as it happens.
pub trait Told {
    /// The part has changed.
    fn share(&self, share: Share);
    /// Something for the log.
    fn line(&self, line: &str);
}

/// How to run.
pub struct Options {
    /// What the member is told.
    pub setup: Setup,
    /// Its own address, where it listens.
    pub address: SocketAddr,
    /// Whoever sends from there is shown what it knows.
    pub operator: Option<SocketAddr>,
    /// The operators' list. Members of one process share it; it may name the member itself.
    pub list: Arc<MemberList>,
    /// Greater than that of its process before.
    pub life: u32,
    /// What its random numbers are drawn from.
    pub seed: u64,
    /// The clock that all parts share.
    pub clock: Clock,
    /// Who is told.
    pub told: Rc<dyn Told>,
}

/// A member that talks.
pub struct Running {
    core: RefCell<Core>,
    socket: UdpSocket,
    address: SocketAddr,
    setup: Setup,
    clock: Clock,
    told: Rc<dyn Told>,
    last: RefCell<Share>,
    changed: Notify,
    questions: Semaphore,
    /// A place for each that is out or waits.
    questions_waiting: Semaphore,
    operator: Option<SocketAddr>,
    /// What the operator asks for page by page.
    shown: RefCell<Vec<u8>>,
    task: RefCell<Option<Task>>,
    traffic: Cell<Traffic>,
}

impl Running {
    /// Takes its address and begins to talk. To be called on a `LocalSet`, before the process acts.
    pub async fn start(options: Options) -> io::Result<Rc<Self>> {
        let Options { setup, address, operator, list, life, seed, clock, told } = options;
        let socket = UdpSocket::bind(address).await?;
        let core = Core::new(&setup, life, list, seed, clock.now());
        let share = core.share();
        told.share(share);
        let running = Rc::new(Self {
            core: RefCell::new(core),
            socket,
            address,
            setup,
            clock,
            told,
            last: RefCell::new(share),
            changed: Notify::new(),
            questions: Semaphore::new(QUESTIONS_OUT),
            questions_waiting: Semaphore::new(QUESTIONS_OUT + QUESTIONS_WAITING),
            operator,
            shown: RefCell::default(),
            task: RefCell::default(),
            traffic: Cell::default(),
        });
        running.call(|core, now, out| core.start(now, out));
        let own = running.clone();
        *running.task.borrow_mut() = Some(Task::spawn(async move { own.talk().await }));
        Ok(running)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its share now.
    pub fn share(&self) -> Share {
        *self.last.borrow()
    }

    /// The operators' list is this from now on, without itself.
    pub fn list(self: &Rc<Self>, others: &[ListedMember]) {
        let list = MemberList::new(others.iter().cloned());
        self.call(|core, now, out| core.list(now, list, out));
    }

    /// The digest of the lists of servers that are in force here from now on: others are told.
    pub fn serves(&self, servers: u32) {
        self.core.borrow_mut().serves(servers);
    }

    /// It leaves on purpose, with nothing left to do, and says nothing from then on. It goes on holding its
    /// address.
    pub fn leave(self: &Rc<Self>) {
        self.call(|core, _, out| core.leave(out));
        self.task.borrow_mut().take();
    }

    /// What it has sent and received.
    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    /// The digest of its view: the same at two members that agree on who is there, and in which lives.
    pub fn view_digest(&self) -> u32 {
        self.core.borrow().members().digest()
    }

    /// Its status.
    pub fn status(&self) -> Status {
        Status::of(&self.core.borrow(), &self.setup.fleet, &self.setup.own, self.clock.now())
    }

    async fn talk(self: Rc<Self>) {
        // One byte more than is allowed shows what is too long.
        let mut buffer = [0; MAX_PAGE + 1];
        loop {
            let next = self.clock.instant_of(self.core.borrow().next());
            tokio::select! {
                biased;
                ready = self.socket.readable() => {
                    if ready.is_err() {
                        continue;
                    }
                    for _ in 0..TURN {
                        match self.socket.try_recv_from(&mut buffer) {
                            Ok((n, from)) if Some(from) == self.operator => {
                                self.show(from, &buffer[..n]);
                            }
                            Ok((n, from)) => {
                                self.count(|traffic| {
                                    traffic.received += 1;
                                    traffic.received_bytes += n as u64;
                                });
                                self.call(|core, now, out| core.datagram(now, from, &buffer[..n], out));
                            }
                            // Of an earlier datagram that found nobody, say.
                            Err(e) if e.kind() != ErrorKind::WouldBlock => {}
                            Err(_) => break,
                        }
                    }
                    tokio::task::yield_now().await;
                }
                () = sleep_until(next) => self.call(|core, now, out| core.tick(now, out)),
                () = self.changed.notified() => {}
            }
        }
    }

    fn call(self: &Rc<Self>, what: impl FnOnce(&mut Core, Time, &mut Out)) {
        let mut out = Out::default();
        let share = {
            let mut core = self.core.borrow_mut();
            what(&mut core, self.clock.now(), &mut out);
            core.share()
        };
        self.say(&out.changes);
        let before = self.last.replace(share);
        if before != share {
            if (before.balancers, before.reason) != (share.balancers, share.reason) {
                self.told.line(&format!("part: {}", told(share)));
            }
            self.told.share(share);
        }
        // Only now: whoever is answered that it is known may act on that at once.
        for (to, bytes) in &out.datagrams {
            // A full socket loses it, as a net does.
            if self.socket.try_send_to(bytes, *to).is_ok() {
                self.count(|traffic| {
                    traffic.sent += 1;
                    traffic.sent_bytes += bytes.len() as u64;
                });
            }
        }
        for (key, at) in out.knocks {
            spawn_local(self.clone().knock(key, at));
        }
        self.changed.notify_one();
    }

    fn count(&self, add: impl FnOnce(&mut Traffic)) {
        let mut traffic = self.traffic.get();
        add(&mut traffic);
        self.traffic.set(traffic);
    }

    /// Shows the operator a page of the status, as it was when the first one was asked for.
    fn show(&self, to: SocketAddr, question: &[u8]) {
        let Some(page) = ask::asked(question) else { return };
        let mut shown = self.shown.borrow_mut();
        if page == 0 || shown.is_empty() {
            *shown = serde_json::to_vec(&self.status()).unwrap_or_default();
        }
        if let Some(answer) = ask::answer(&shown, page) {
            let _ = self.socket.try_send_to(&answer, to);
        }
    }

    /// Asks a member's system whether any process holds its address.
    async fn knock(self: Rc<Self>, key: Key, at: SocketAddr) {
        let Ok(_waits) = self.questions_waiting.try_acquire() else {
            return self.count(|traffic| traffic.probes_dropped += 1);
        };
        let Ok(_out) = self.questions.acquire().await else { return };
        // Before the question leaves.
        let asked = self.clock.now();
        let question = async {
            let socket = UdpSocket::bind(SocketAddr::new(self.address.ip(), 0)).await?;
            // Only a connected socket is told of the answer.
            socket.connect(at).await?;
            socket.send(&ABSENCE_QUERY).await?;
            self.count(|traffic| traffic.probes_of_absence += 1);
            let mut buffer = [0; 1];
            socket.recv(&mut buffer).await
        };
        if let Ok(Err(e)) = timeout(ANSWERS_WITHIN, question).await
            && e.kind() == ErrorKind::ConnectionRefused
        {
            self.call(|core, now, out| core.refused(now, key, asked, out));
        }
    }

    fn say(&self, changes: &[Change]) {
        let core = self.core.borrow();
        for change in changes {
            let name = |key: &Key| core.name(*key);
            self.told.line(&match change {
                Change::Joined { member, process_incarnation } => {
                    format!("{} is there, life {process_incarnation}", name(member))
                }
                Change::Suspected { member, reported_by } => {
                    format!("{} is doubted, by {}", name(member), name(reported_by))
                }
                Change::Refuted(key) => format!("{} has objected", name(key)),
                Change::Died { member, reported_by } => {
                    format!("{} counts as dead, by {}", name(member), name(reported_by))
                }
                Change::Left(key) => format!("{} has left", name(key)),
                Change::Reachability(Reachability::Complete) => "hears all".to_string(),
                Change::Reachability(Reachability::Partial { reachable, listed }) => {
                    format!("hears {reachable} of {listed}")
                }
                Change::Reachability(Reachability::Isolated) => "hears nobody".to_string(),
                Change::Reachability(Reachability::Resumed) => {
                    "did not run for a while; it believes nothing until it has heard".to_string()
                }
                Change::DuplicateIdentity => {
                    "ANOTHER PROCESS ACTS UNDER THIS NAME; each has half of a part".to_string()
                }
            });
        }
    }
}

fn told(share: Share) -> String {
    match (share.balancers, share.reason) {
        (0, ShareReason::Waiting(n)) => {
            format!("none until {n} others have spoken or their proofs are over")
        }
        (n, ShareReason::Resumed) => format!("1 of {n}, having woken"),
        (n, ShareReason::DuplicateIdentity) => format!("1 of {n}, beside a twin"),
        (n, _) => format!("1 of {n}"),
    }
}
