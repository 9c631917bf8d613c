//! The I/O of a member: one socket at its own address, held from before the process acts until it ends, which is what
//! lets others prove that it is absent once it has ended.

use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use sableloom_capacity_share::Share;
use sableloom_exchange::{Clock, Task};
use sableloom_membership::{Change, Key, ListedMember, MAX_PAGE_BYTES, MemberList};
use sableloom_types::Time;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

use crate::absence_query::{QuerySlots, prove_absence};
use crate::log_line::{ChangeLine, ShareLine};
use crate::member::{FleetMember, MemberSettings, Output};
use crate::operator_query;
use crate::status::Status;
use crate::traffic::Traffic;

/// Datagrams that are received before the requests of clients have their turn.
const MAX_DATAGRAMS_PER_TURN: usize = 64;

/// What is notified as it happens.
pub trait FleetObserver {
    /// The share has changed.
    fn share_changed(&self, share: Share);
    /// A line for the log.
    fn log(&self, line: &str);
}

/// How to run a member.
pub struct RunOptions {
    /// Its names and timing.
    pub settings: MemberSettings,
    /// Its own address, where it listens.
    pub address: SocketAddr,
    /// Queries of its status are answered if they come from this address.
    pub operator_address: Option<SocketAddr>,
    /// The operators' list. Members of one process share it; it may name the member itself.
    pub list: Arc<MemberList>,
    /// Greater than that of its process before.
    pub process_incarnation: u32,
    /// The seed of its random numbers.
    pub seed: u64,
    /// The clock that all parts of the process share.
    pub clock: Clock,
    /// The observer that is notified.
    pub observer: Rc<dyn FleetObserver>,
}

/// A member that runs.
pub struct RunningMember {
    member: RefCell<FleetMember>,
    socket: UdpSocket,
    address: SocketAddr,
    settings: MemberSettings,
    clock: Clock,
    observer: Rc<dyn FleetObserver>,
    last_share: Cell<Share>,
    /// The time of the next wakeup may have changed.
    wakeup_changed: Notify,
    query_slots: QuerySlots,
    operator_address: Option<SocketAddr>,
    /// The status that the operator queries page by page.
    status_json: RefCell<Vec<u8>>,
    protocol_task: RefCell<Option<Task>>,
    traffic: Cell<Traffic>,
}

impl RunningMember {
    /// Takes its address and starts the protocol. To be called on a `LocalSet`, before the process acts.
    ///
    /// # Errors
    ///
    /// The socket's error if the address can't be taken: another process holds it, or it is not this machine's.
    pub async fn start(options: RunOptions) -> io::Result<Rc<Self>> {
        let RunOptions { settings, address, operator_address, list, process_incarnation, .. } =
            options;
        let RunOptions { seed, clock, observer, .. } = options;
        let socket = UdpSocket::bind(address).await?;
        let member = FleetMember::new(&settings, process_incarnation, list, seed, clock.now());
        let share = member.share();
        observer.share_changed(share);
        let running = Rc::new(Self {
            member: RefCell::new(member),
            socket,
            address,
            settings,
            clock,
            observer,
            last_share: Cell::new(share),
            wakeup_changed: Notify::new(),
            query_slots: QuerySlots::new(),
            operator_address,
            status_json: RefCell::default(),
            protocol_task: RefCell::default(),
            traffic: Cell::default(),
        });
        running.call_member(|member, now, output| member.start(now, output));
        let this = running.clone();
        *running.protocol_task.borrow_mut() = Some(Task::spawn(async move { this.run().await }));
        Ok(running)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its share now.
    pub fn share(&self) -> Share {
        self.last_share.get()
    }

    /// Replaces the operators' list. `others` are all members but itself.
    pub fn update_list(self: &Rc<Self>, others: &[ListedMember]) {
        let list = MemberList::new(others.iter().cloned());
        self.call_member(|member, now, output| member.update_list(now, list, output));
    }

    /// Sets the digest of the endpoint lists that are in force here, which other members are shown.
    pub fn set_endpoints_digest(&self, digest: u32) {
        self.member.borrow_mut().set_endpoints_digest(digest);
    }

    /// Leaves on purpose, with no requests left, and says nothing from then on. It goes on holding its address.
    pub fn leave(self: &Rc<Self>) {
        self.call_member(|member, _, output| member.leave(output));
        self.protocol_task.borrow_mut().take();
    }

    /// What it has sent and received.
    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    /// The digest of its view: the same at two members that agree on which members are reachable, and in which process
    /// incarnations.
    pub fn view_digest(&self) -> u32 {
        self.member.borrow().membership().digest()
    }

    /// Its status.
    pub fn status(&self) -> Status {
        let (fleet_name, own_name) = (&self.settings.fleet_name, &self.settings.own_name);
        Status::of(&self.member.borrow(), fleet_name, own_name, self.clock.now())
    }

    async fn run(self: Rc<Self>) {
        loop {
            let wakeup = self.clock.instant_of(self.member.borrow().next_wakeup());
            tokio::select! {
                biased;
                ready = self.socket.readable() => {
                    if ready.is_ok() {
                        self.receive_pending();
                        tokio::task::yield_now().await;
                    }
                }
                () = sleep_until(wakeup) => self.call_member(|member, now, output| member.tick(now, output)),
                () = self.wakeup_changed.notified() => {}
            }
        }
    }

    /// Receives the datagrams that have come, up to a bound.
    fn receive_pending(self: &Rc<Self>) {
        // A datagram that fills one byte more than is allowed is recognized as too long.
        let mut buffer = [0; MAX_PAGE_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            match self.socket.try_recv_from(&mut buffer) {
                Ok((length, from)) if Some(from) == self.operator_address => {
                    self.answer_operator(from, &buffer[..length]);
                }
                Ok((length, from)) => {
                    self.update_traffic(|traffic| {
                        traffic.received += 1;
                        traffic.received_bytes += length as u64;
                    });
                    let bytes = &buffer[..length];
                    self.call_member(|member, now, output| {
                        member.receive(now, from, bytes, output)
                    });
                }
                // For example of an earlier datagram to an address that no process held.
                Err(error) if error.kind() != ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
        }
    }

    /// Calls the state machine, and carries out what it returns.
    fn call_member(self: &Rc<Self>, event: impl FnOnce(&mut FleetMember, Time, &mut Output)) {
        let mut output = Output::default();
        let share = {
            let mut member = self.member.borrow_mut();
            event(&mut member, self.clock.now(), &mut output);
            member.share()
        };
        self.log_changes(&output.changes);
        self.publish_share(share);
        // Only after that: a member that is acknowledged may act on that at once.
        for (to, bytes) in &output.datagrams {
            // A full socket loses the datagram, as a network does.
            if self.socket.try_send_to(bytes, *to).is_ok() {
                self.update_traffic(|traffic| {
                    traffic.sent += 1;
                    traffic.sent_bytes += bytes.len() as u64;
                });
            }
        }
        for (key, address) in output.absence_queries {
            spawn_local(self.clone().query_absence(key, address));
        }
        self.wakeup_changed.notify_one();
    }

    fn publish_share(&self, share: Share) {
        let previous = self.last_share.replace(share);
        if previous == share {
            return;
        }
        if (previous.balancers, previous.reason) != (share.balancers, share.reason) {
            self.observer.log(&ShareLine(share).to_string());
        }
        self.observer.share_changed(share);
    }

    fn log_changes(&self, changes: &[Change]) {
        let member = self.member.borrow();
        for change in changes {
            self.observer.log(&ChangeLine { member: &member, change }.to_string());
        }
    }

    fn update_traffic(&self, update: impl FnOnce(&mut Traffic)) {
        let mut traffic = self.traffic.get();
        update(&mut traffic);
        self.traffic.set(traffic);
    }

    /// Sends the operator a page of the status, as it was when the first page was requested.
    fn answer_operator(&self, to: SocketAddr, query: &[u8]) {
        let Some(page) = operator_query::requested_page(query) else { return };
        let mut status_json = self.status_json.borrow_mut();
        if page == 0 || status_json.is_empty() {
            *status_json = serde_json::to_vec(&self.status()).unwrap_or_default();
        }
        if let Some(answer) = operator_query::encode_answer(&status_json, page) {
            // A full socket loses the answer; the operator's program repeats its query.
            let _ = self.socket.try_send_to(&answer, to);
        }
    }

    /// Queries a member's system whether any process holds its address.
    async fn query_absence(self: Rc<Self>, key: Key, address: SocketAddr) {
        let Ok(_slot) = self.query_slots.acquire().await else {
            return self.update_traffic(|traffic| traffic.absence_queries_dropped += 1);
        };
        // A proof is as old as the time before its query leaves.
        let queried_at = self.clock.now();
        let count_sent = || self.update_traffic(|traffic| traffic.absence_queries += 1);
        if prove_absence(self.address.ip(), address, count_sent).await {
            self.call_member(|member, now, output| {
                member.proved_absent(now, key, queried_at, output)
            });
        }
    }
}
