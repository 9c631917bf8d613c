//! The cases: the size of the fleet, its load, and a script of changes.

use sableloom_emulator::NodeCapacity;

/// A millisecond, in microseconds.
pub const MS: i64 = 1000;
/// A second, in microseconds.
pub const S: i64 = 1000 * MS;

/// A change in the script of a case.
#[derive(Clone, Debug)]
pub enum Change {
    /// Sets the load, as a share of the capacity of all servers.
    Load(f64),
    /// Multiplies the traffic of the balancers of a zone.
    Shift {
        /// The zone.
        zone: u32,
        /// The factor.
        times: f64,
    },
    /// Makes some servers fail a share of the requests, and slower.
    Bad {
        /// Index of the first of them.
        first: usize,
        /// Distance between their indices.
        step: usize,
        /// Share of requests that fail.
        failing: f64,
        /// Factor on the work.
        slower: f64,
    },
    /// Makes servers of a kind slower for a class.
    KindSlow {
        /// The kind.
        kind: u32,
        /// The class.
        class: usize,
        /// Factor on the work.
        times: f64,
    },
    /// Kills a share of the balancers, which restart at once without their learned state.
    Kill {
        /// The share.
        share: f64,
    },
    /// Replaces servers one after the other by cold ones.
    Replace {
        /// Index of the first of them.
        from: usize,
        /// Index after the last of them.
        to: usize,
        /// Duration for all of them, in milliseconds.
        ms: i64,
    },
    /// Takes the servers of a zone down for a time; they return cold. The list names them throughout.
    ZoneGone {
        /// The zone.
        zone: u32,
        /// Duration in milliseconds.
        ms: i64,
    },
    /// Partitions a zone from the others for a time.
    ZoneCut {
        /// The zone.
        zone: u32,
        /// Duration in milliseconds.
        ms: i64,
    },
    /// Removes all servers of a kind from the list.
    KindGone {
        /// The kind.
        kind: u32,
    },
    /// Replaces the servers from an index on by cold ones of a new kind.
    KindNew {
        /// Index of the first of them.
        from: usize,
        /// Its kind.
        kind: u32,
        /// Their capacity.
        capacity: NodeCapacity,
    },
}

/// Retries of clients after a refusal, or after a failure of a request that is safe to repeat.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clients {
    /// Maximum number of retries, at any balancer of the zone.
    pub retries: u32,
    /// Minimum and maximum delay before a retry, in milliseconds.
    pub retry_after_ms: (i64, i64),
}

/// One case.
#[derive(Clone, Debug)]
pub struct Case {
    /// Its name, which `--case` accepts.
    pub name: &'static str,
    /// Number of balancers.
    pub balancers: usize,
    /// Number of servers.
    pub servers: usize,
    /// Number of zones that balancers and servers are distributed over.
    pub zones: usize,
    /// Whether servers are of different kinds, with capacities up to a factor of four; otherwise all are alike.
    pub kinds: bool,
    /// Load at the start, as a share of the capacity of all servers.
    pub load: f64,
    /// Duration of the arrivals, in seconds.
    pub seconds: i64,
    /// How many balancers have more traffic than the others, and by which factor.
    pub hot: (usize, f64),
    /// Maximum delay of a list update, in milliseconds.
    pub late_ms: i64,
    /// Share of its capacity that a server has right after a start.
    pub slow_start_initial_share: f64,
    /// Maximum number of connections of a server, each at the price of a handshake. If `None`, connections are
    /// unlimited and free.
    pub connections: Option<usize>,
    /// How clients retry.
    pub clients: Clients,
    /// Changes, with their times in milliseconds.
    pub script: Vec<(i64, Change)>,
}

/// The middle value of the operators' figures.
const CONNECTIONS: Option<usize> = Some(160);
/// Up to two retries, soon after.
const RETRYING_CLIENTS: Clients = Clients { retries: 2, retry_after_ms: (100, 400) };

/// The cases, for a fleet of this size.
pub fn cases(balancers: usize, servers: usize) -> Vec<Case> {
    let plain = plain(balancers, servers);
    let mut cases = vec![plain.clone()];
    cases.extend(load_cases(&plain));
    cases.extend(server_fault_cases(&plain));
    cases.extend(traffic_cases(&plain));
    cases.extend(restart_cases(&plain));
    cases.extend(zone_and_list_cases(&plain));
    cases.extend(kind_cases(&plain));
    cases.extend(retrying_client_cases(&plain));
    cases
}

/// Servers of several kinds, and no change.
fn plain(balancers: usize, servers: usize) -> Case {
    Case {
        name: "kinds",
        balancers,
        servers,
        zones: 3,
        kinds: true,
        load: 0.85,
        seconds: 8,
        hot: (0, 1.0),
        late_ms: 800,
        slow_start_initial_share: 0.2,
        connections: None,
        clients: Clients::default(),
        script: vec![],
    }
}

impl Case {
    /// This case under another name and with another script.
    fn with_script(&self, name: &'static str, script: Vec<(i64, Change)>) -> Self {
        Self { name, script, ..self.clone() }
    }

    /// Index after the first six in ten servers.
    fn six_in_ten(&self) -> usize {
        self.servers * 6 / 10
    }
}

fn load_cases(plain: &Case) -> Vec<Case> {
    let burst = vec![(3000, Change::Load(1.3)), (5000, Change::Load(0.85))];
    vec![
        Case { load: 0.55, ..plain.with_script("at-ease", vec![]) },
        Case { load: 1.3, ..plain.with_script("overload", vec![]) },
        plain.with_script("burst", burst),
    ]
}

fn traffic_cases(plain: &Case) -> Vec<Case> {
    let shift = vec![(3000, Change::Shift { zone: 1, times: 2.5 })];
    let hot = (plain.balancers / 20, 5.0);
    vec![
        Case { load: 0.7, hot, ..plain.with_script("hot-balancers", vec![]) },
        plain.with_script("zone-shift", shift),
    ]
}

fn server_fault_cases(plain: &Case) -> Vec<Case> {
    let one = Change::Bad { first: 5, step: plain.servers, failing: 0.9, slower: 1.0 };
    let eighth = Change::Bad { first: 3, step: 8, failing: 0.0, slower: 4.0 };
    let kind = Change::KindSlow { kind: 1, class: 1, times: 4.0 };
    vec![
        plain.with_script("one-bad", vec![(1000, one)]),
        plain.with_script("eighth-slow", vec![(2000, eighth)]),
        plain.with_script("kind-slow-for-class", vec![(2000, kind)]),
    ]
}

fn restart_cases(plain: &Case) -> Vec<Case> {
    let replaced = Change::Replace { from: 0, to: plain.six_in_ten(), ms: 7000 };
    let in_steps = Change::Replace { from: 0, to: plain.servers / 2, ms: 10_000 };
    vec![
        plain.with_script("seven-in-ten-killed", vec![(3000, Change::Kill { share: 0.7 })]),
        Case { seconds: 14, ..plain.with_script("six-in-ten-replaced", vec![(2000, replaced)]) },
        Case { seconds: 14, ..plain.with_script("half-in-steps", vec![(2000, in_steps)]) },
    ]
}

fn zone_and_list_cases(plain: &Case) -> Vec<Case> {
    let gone = Change::ZoneGone { zone: 2, ms: 5000 };
    let cut = Change::ZoneCut { zone: 0, ms: 6000 };
    let fifth = Change::Replace { from: 0, to: plain.servers / 5, ms: 500 };
    vec![
        Case { seconds: 14, ..plain.with_script("zone-gone", vec![(3000, gone)]) },
        Case { seconds: 12, ..plain.with_script("zone-cut", vec![(3000, cut)]) },
        Case { late_ms: 4000, ..plain.with_script("late-lists", vec![(2000, fifth)]) },
    ]
}

fn kind_cases(plain: &Case) -> Vec<Case> {
    let fast = NodeCapacity { cores: 4.0, speed: 2.5, slots: 48, queue_limit: 60 };
    let new = Change::KindNew { from: plain.servers * 3 / 4, kind: 7, capacity: fast };
    let gone = Change::KindGone { kind: 0 };
    vec![
        Case { load: 0.6, ..plain.with_script("kind-gone", vec![(3000, gone)]) },
        Case { load: 0.6, ..plain.with_script("kind-never-seen", vec![(3000, new)]) },
    ]
}

fn retrying_client_cases(plain: &Case) -> Vec<Case> {
    let replaced = Change::Replace { from: 0, to: plain.six_in_ten(), ms: 7000 };
    let gone = Change::ZoneGone { zone: 2, ms: 5000 };
    let retrying =
        Case { seconds: 14, connections: CONNECTIONS, clients: RETRYING_CLIENTS, ..plain.clone() };
    vec![
        retrying.with_script("join", vec![(2000, replaced)]),
        retrying.with_script("zone", vec![(3000, gone)]),
    ]
}
