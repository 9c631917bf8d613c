//! The I/O of a member. Its UDP socket is bound to the member's address from before the process acts until the process
//! terminates, so that other members can prove the member absent after that.

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

/// The maximum number of datagrams that are received before the task yields, so that client requests are not delayed.
const MAX_DATAGRAMS_PER_TURN: usize = 64;

/// Receives the changes of a running member as they occur.
pub trait FleetObserver {
    /// Called with the first share when the member starts, and with each share that differs from the previous one.
    /// Datagrams that result from the same event are sent after this call.
    fn share_changed(&self, share: Share);
    /// Called with a line for the log, without a line break.
    fn log(&self, line: &str);
}

/// The options of [`RunningMember::start`].
pub struct RunOptions {
    /// The names and the timing of the member.
    pub settings: MemberSettings,
    /// The member's own address, to which its socket is bound.
    pub address: SocketAddr,
    /// The only address from which queries for the status are answered; with `None`, no query is answered.
    pub operator_address: Option<SocketAddr>,
    /// The operators' list of members. It may name the member itself, so that several members in one process can share
    /// a list.
    pub list: Arc<MemberList>,
    /// The incarnation of the process. It has to be greater than that of the member's previous process.
    pub process_incarnation: u32,
    /// The seed of the member's random numbers.
    pub seed: u64,
    /// The clock that all components of the process share.
    pub clock: Clock,
    /// The observer that is notified.
    pub observer: Rc<dyn FleetObserver>,
}

/// A member with its socket and the task that runs the protocol.
pub struct RunningMember {
    member: RefCell<FleetMember>,
    socket: UdpSocket,
    address: SocketAddr,
    settings: MemberSettings,
    clock: Clock,
    observer: Rc<dyn FleetObserver>,
    last_share: Cell<Share>,
    /// Notified when the time of the next wakeup may have changed.
    wakeup_changed: Notify,
    query_slots: QuerySlots,
    operator_address: Option<SocketAddr>,
    /// The status as of the operator's query for page 0. All pages are cut from it, so that they fit together.
    status_json: RefCell<Vec<u8>>,
    protocol_task: RefCell<Option<Task>>,
    traffic: Cell<Traffic>,
}

impl RunningMember {
    /// Binds the member's address and starts the protocol. To be called on a `LocalSet`, before the process acts.
    ///
    /// # Errors
    ///
    /// The socket's error if the address can't be bound, for instance because another process holds it or it is not an
    /// address of this machine.
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

    /// Returns the address to which the member's socket is bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the share as of the last event.
    pub fn share(&self) -> Share {
        self.last_share.get()
    }

    /// Replaces the operators' list of members. `others` are all members except this one.
    pub fn update_list(self: &Rc<Self>, others: &[ListedMember]) {
        let list = MemberList::new(others.iter().cloned());
        self.call_member(|member, now, output| member.update_list(now, list, output));
    }

    /// Sets the digest of the endpoint lists that this balancer has in force. It is sent to the other members.
    pub fn set_endpoints_digest(&self, digest: u32) {
        self.member.borrow_mut().set_endpoints_digest(digest);
    }

    /// Announces to other members that this member leaves on purpose, and stops the protocol. To be called when no
    /// request is left. The address stays bound.
    pub fn leave(self: &Rc<Self>) {
        self.call_member(|member, _, output| member.leave(output));
        self.protocol_task.borrow_mut().take();
    }

    /// Returns the counters of the datagrams that the member has sent and received since its start.
    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    /// Returns the digest of the member's view. It is equal at two members that agree on which members are reachable,
    /// and in which process incarnations.
    pub fn view_digest(&self) -> u32 {
        self.member.borrow().membership().digest()
    }

    /// Returns the status as of now, as it is shown to operators.
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

    /// Receives the datagrams that are in the socket's buffer, up to [`MAX_DATAGRAMS_PER_TURN`].
    fn receive_pending(self: &Rc<Self>) {
        // One byte more than the longest valid datagram, so that a longer one is detected although it is truncated.
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
                // The error may concern an earlier datagram, for instance one to an address that no process held. It
                // does not prevent further datagrams from being received.
                Err(error) if error.kind() != ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
        }
    }

    /// Passes an event to the state machine, and performs the actions that it returns.
    fn call_member(self: &Rc<Self>, event: impl FnOnce(&mut FleetMember, Time, &mut Output)) {
        let mut output = Output::default();
        let share = {
            let mut member = self.member.borrow_mut();
            event(&mut member, self.clock.now(), &mut output);
            member.share()
        };
        self.log_changes(&output.changes);
        self.publish_share(share);
        // Datagrams are sent after the share was published, because a member that receives an acknowledgement may act
        // on it at once.
        for (to, bytes) in &output.datagrams {
            // If the socket's buffer is full, the datagram is dropped, as the network may drop any datagram.
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

    /// Answers an operator's query for a page of the status. A new status is taken for page 0, and kept for the later
    /// pages.
    fn answer_operator(&self, to: SocketAddr, query: &[u8]) {
        let Some(page) = operator_query::requested_page(query) else { return };
        let mut status_json = self.status_json.borrow_mut();
        if page == 0 || status_json.is_empty() {
            *status_json = serde_json::to_vec(&self.status()).unwrap_or_default();
        }
        if let Some(answer) = operator_query::encode_answer(&status_json, page) {
            // If the socket's buffer is full, the answer is dropped. The operator's program repeats its query.
            let _ = self.socket.try_send_to(&answer, to);
        }
    }

    /// Queries a member's operating system whether any process holds the member's address, and passes a proof of
    /// absence to the state machine.
    async fn query_absence(self: Rc<Self>, key: Key, address: SocketAddr) {
        let Ok(_slot) = self.query_slots.acquire().await else {
            return self.update_traffic(|traffic| traffic.absence_queries_dropped += 1);
        };
        // The age of a proof counts from a time before the query is sent.
        let queried_at = self.clock.now();
        let count_sent = || self.update_traffic(|traffic| traffic.absence_queries += 1);
        if prove_absence(self.address.ip(), address, count_sent).await {
            self.call_member(|member, now, output| {
                member.proved_absent(now, key, queried_at, output)
            });
        }
    }
}
