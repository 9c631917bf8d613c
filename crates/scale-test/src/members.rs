//! Hollow members of a fleet: the shell and core of `sableloom-fleet` that `serve` runs, many on one loop.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Sub;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sableloom_capacity_share::{Share, ShareReason, Timing};
use sableloom_exchange::Clock;
use sableloom_fleet::{FleetObserver, MemberSettings, RunOptions, RunningMember, Traffic};
use sableloom_membership::{ListedMember, MemberList, Timing as MembershipTiming};
use serde::{Deserialize, Serialize};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::worst_second::{Reading, SecondWindow};

/// The fleet's name.
const FLEET: &str = "scale";
/// Addresses of one block of the loopback network that members use: 1 to 250 of its last byte.
const BLOCK: usize = 250;
/// The first block's second byte; 127.0.0.1 itself is not a member's.
const FIRST_BLOCK: usize = 1 << 8;

/// Members of a fleet that a worker is to start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberSet {
    /// The port that all members have, each at a loopback address of its own.
    pub port: u16,
    /// How many the fleet's list names.
    pub listed: usize,
    /// The first one's number on it.
    pub first: usize,
    /// How many to start.
    pub count: usize,
    /// Greater than that of any earlier process of these.
    pub life: u32,
    /// The starts are spread evenly over this time, in milliseconds.
    pub spread_ms: u64,
}

/// What a worker's members have sent and know, summed over them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MembersReport {
    /// How many were started.
    pub started: usize,
    /// How many of them have a share of the servers' capacity.
    pub sharing: usize,
    /// How many could not take their address.
    pub failed: usize,
    /// Datagrams sent, and their bytes without headers.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Questions to members' systems whether a process holds an address.
    pub probes_of_absence: u64,
    /// The views that they have, by digest, and how many have each; the most common first, 4 at most.
    pub views: Vec<(u32, usize)>,
    /// The time from a member's start to its share of capacity, the longest so far, in milliseconds.
    pub longest_to_share_ms: u64,
    /// The smallest and the greatest number of balancers that one shares with.
    pub share_of: Option<(u32, u32)>,
    /// Traffic of the member that had most in the second before this report.
    pub most_loaded: MemberLoad,
}

/// Bytes that a datagram's headers take: 8 of UDP and 20 of IPv4.
pub const HEADER_BYTES: f64 = 28.0;

/// Datagrams sent and received, and their bytes without headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberLoad {
    /// Datagrams.
    pub datagrams: f64,
    /// Their bytes without headers.
    pub bytes: f64,
}

impl MemberLoad {
    fn of(traffic: &Traffic) -> Self {
        Self {
            datagrams: (traffic.sent + traffic.received) as f64,
            bytes: (traffic.sent_bytes + traffic.received_bytes) as f64,
        }
    }

    /// Bytes with the headers of UDP and IP.
    pub fn bytes_with_headers(self) -> f64 {
        self.bytes + HEADER_BYTES * self.datagrams
    }

    /// The one with more bytes, headers counted.
    pub fn worse(self, other: Self) -> Self {
        if other.bytes_with_headers() > self.bytes_with_headers() { other } else { self }
    }
}

impl Sub for MemberLoad {
    type Output = Self;

    fn sub(self, before: Self) -> Self {
        Self { datagrams: self.datagrams - before.datagrams, bytes: self.bytes - before.bytes }
    }
}

impl Reading for MemberLoad {
    fn per_second(self, seconds: f64) -> Self {
        Self { datagrams: self.datagrams / seconds, bytes: self.bytes / seconds }
    }
}

/// A member's name.
pub fn name(number: usize) -> String {
    format!("balancer-{number}")
}

/// A member's address.
pub fn address(number: usize, port: u16) -> SocketAddr {
    let block = FIRST_BLOCK + number / BLOCK;
    let [high, low] = [(block >> 8) as u8, block as u8];
    SocketAddr::from((Ipv4Addr::new(127, high, low, (number % BLOCK + 1) as u8), port))
}

/// One member, and what it notified.
struct Hollow {
    running: Rc<RunningMember>,
    observer: Rc<Observer>,
    load: RefCell<SecondWindow<MemberLoad>>,
}

/// Notes when a member has its share.
struct Observer {
    started: Instant,
    to_share: Cell<Option<Duration>>,
}

impl FleetObserver for Observer {
    fn share_changed(&self, share: Share) {
        if share.balancers > 0 && self.to_share.get().is_none() {
            self.to_share.set(Some(self.started.elapsed()));
        }
    }

    fn log(&self, _: &str) {}
}

/// The members of a worker.
#[derive(Default)]
pub struct HollowMembers {
    members: RefCell<Vec<Hollow>>,
    failed: Cell<usize>,
}

impl HollowMembers {
    /// None yet.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Starts members, spread over their time. To be called on a `LocalSet`.
    pub fn start(self: &Rc<Self>, set: MemberSet) {
        let own = self.clone();
        spawn_local(async move {
            let listed = (0..set.listed).map(|number| ListedMember {
                name: name(number),
                address: address(number, set.port),
            });
            let list = MemberList::new(listed);
            let clock = Clock::new();
            let begun = Instant::now();
            for started in 0..set.count {
                let due = Duration::from_millis(set.spread_ms * started as u64 / set.count as u64);
                sleep(due.saturating_sub(begun.elapsed())).await;
                own.start_one(&set, &list, set.first + started, clock).await;
            }
        });
    }

    async fn start_one(
        &self,
        set: &MemberSet,
        list: &Arc<MemberList>,
        number: usize,
        clock: Clock,
    ) {
        let observer = Rc::new(Observer { started: Instant::now(), to_share: Cell::default() });
        let options = RunOptions {
            settings: MemberSettings {
                fleet_name: FLEET.to_string(),
                own_name: name(number),
                membership_timing: MembershipTiming::default(),
                share_timing: Timing::default(),
            },
            address: address(number, set.port),
            operator_address: None,
            list: list.clone(),
            process_incarnation: set.life,
            seed: number as u64 ^ u64::from(set.life) << 32,
            clock,
            observer: observer.clone(),
        };
        match RunningMember::start(options).await {
            Ok(running) => {
                let load = SecondWindow::new(observer.started, MemberLoad::default());
                let load = RefCell::new(load);
                self.members.borrow_mut().push(Hollow { running, observer, load });
            }
            Err(_) => self.failed.set(self.failed.get() + 1),
        }
    }

    /// Begins a stretch of time: traffic before it is in no second of it.
    pub fn begin_stretch(&self) {
        let now = Instant::now();
        for Hollow { running, load, .. } in self.members.borrow().iter() {
            load.replace(SecondWindow::new(now, MemberLoad::of(&running.traffic())));
        }
    }

    /// What they have sent and know.
    pub fn report(&self) -> MembersReport {
        let (members, now) = (self.members.borrow(), Instant::now());
        let mut report = MembersReport {
            started: members.len(),
            failed: self.failed.get(),
            ..MembersReport::default()
        };
        let mut views: Vec<(u32, usize)> = Vec::new();
        for Hollow { running, observer, load } in members.iter() {
            let traffic = running.traffic();
            report.add_traffic(traffic);
            let load = load.borrow_mut().rate(now, MemberLoad::of(&traffic));
            report.most_loaded = report.most_loaded.worse(load);
            report.add_share(running.share());
            let took = observer.to_share.get().unwrap_or_default().as_millis() as u64;
            report.longest_to_share_ms = report.longest_to_share_ms.max(took);
            let digest = running.view_digest();
            match views.iter_mut().find(|(view, _)| *view == digest) {
                Some((_, count)) => *count += 1,
                None => views.push((digest, 1)),
            }
        }
        views.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        views.truncate(4);
        report.views = views;
        report
    }
}

impl MembersReport {
    fn add_traffic(&mut self, traffic: Traffic) {
        self.sent += traffic.sent;
        self.sent_bytes += traffic.sent_bytes;
        self.received += traffic.received;
        self.received_bytes += traffic.received_bytes;
        self.probes_of_absence += traffic.absence_queries;
    }

    fn add_share(&mut self, share: Share) {
        if share.balancers == 0 {
            return;
        }
        self.sharing += usize::from(share.reason == ShareReason::Sharing);
        let (least, most) = self.share_of.unwrap_or((share.balancers, share.balancers));
        self.share_of = Some((least.min(share.balancers), most.max(share.balancers)));
    }

    /// Adds another worker's.
    pub fn add(&mut self, other: &Self) {
        self.started += other.started;
        self.sharing += other.sharing;
        self.failed += other.failed;
        self.sent += other.sent;
        self.sent_bytes += other.sent_bytes;
        self.received += other.received;
        self.received_bytes += other.received_bytes;
        self.probes_of_absence += other.probes_of_absence;
        self.longest_to_share_ms = self.longest_to_share_ms.max(other.longest_to_share_ms);
        self.most_loaded = self.most_loaded.worse(other.most_loaded);
        for (digest, count) in &other.views {
            match self.views.iter_mut().find(|(view, _)| view == digest) {
                Some((_, own)) => *own += count,
                None => self.views.push((*digest, *count)),
            }
        }
        if let Some((least, most)) = other.share_of {
            let (own_least, own_most) = self.share_of.unwrap_or((least, most));
            self.share_of = Some((least.min(own_least), most.max(own_most)));
        }
    }

    /// Traffic of all together.
    pub fn load(&self) -> MemberLoad {
        MemberLoad {
            datagrams: (self.sent + self.received) as f64,
            bytes: (self.sent_bytes + self.received_bytes) as f64,
        }
    }

    /// Whether so many run, have the same view and their shares. In a list in which all call all they share with exactly
    /// each other; in a longer one proofs of absence hold for few of the missing at one time.
    pub fn all_know(&self, members: usize) -> bool {
        let all = members as u32;
        let shares_are_exact = members > MembershipTiming::default().max_short_list
            || self.share_of == Some((all, all));
        self.started == members
            && self.agreeing() == members
            && self.sharing == members
            && shares_are_exact
    }

    /// How many agree on the view that most have.
    pub fn agreeing(&self) -> usize {
        self.views.iter().map(|(_, count)| *count).max().unwrap_or(0)
    }
}
