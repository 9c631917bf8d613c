//! The script as data. Times are in microseconds, from the first arrival where they are points in time.

use sableloom_emulator::{Fault, NodeProfile};

use crate::link::LinkQuality;

/// A millisecond, in microseconds.
pub const MS: i64 = 1000;
/// A second, in microseconds.
pub const S: i64 = 1000 * MS;

/// Maximum number of balancers, and of nodes.
pub const MAX_PROCESSES: usize = 2048;
/// Maximum number of requests in a script: the records of all of them are held in memory.
pub const MAX_REQUESTS: f64 = 5e6;

/// A script.
#[derive(Clone, Debug)]
pub struct Script {
    /// Its name.
    pub name: String,
    /// Its purpose, in a sentence.
    pub about: String,
    /// How long requests arrive, in microseconds.
    pub length: i64,
    /// The balancers.
    pub fleet: Fleet,
    /// The nodes.
    pub nodes: Nodes,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The load.
    pub load: Load,
    /// The behaviour of clients.
    pub clients: Clients,
    /// Named sets of balancers and of nodes.
    pub groups: Vec<Group>,
    /// Overrides for some processes.
    pub processes: Vec<Process>,
    /// Faults and changes, with their times.
    pub events: Vec<Event>,
    /// Periods that the report shows separately.
    pub phases: Vec<Phase>,
    /// The expectations that decide the verdict.
    pub expect: Expect,
    /// Limits within which the machine has to keep up.
    pub machine: MachineLimits,
}

/// The source of the lists of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lists {
    /// `serve`, with a file of servers for each balancer.
    Files,
    /// The platform's mode, with a discovery agent for each balancer.
    Discovery,
}

/// The balancers.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Number of balancers that run.
    pub balancers: usize,
    /// Number of balancers that their configurations announce.
    pub announced: usize,
    /// The source of their lists of servers.
    pub lists: Lists,
    /// Zones, to which balancers and nodes are assigned in turn; empty for a fleet without zones.
    pub zones: Vec<String>,
    /// Limit of descriptors in their configurations.
    pub sockets: usize,
    /// Limit of memory in their configurations, in MB.
    pub memory_mb: usize,
    /// Whether their configurations name all of them as members of one fleet.
    pub members: bool,
}

/// The nodes.
#[derive(Clone, Debug)]
pub struct Nodes {
    /// Number of nodes.
    pub count: usize,
    /// The profile of each node.
    pub profiles: Vec<NodeProfile>,
    /// Whether all are cold at the start.
    pub cold: bool,
    /// Minimum and maximum delay until a change is in a balancer's list.
    pub list_late: (i64, i64),
}

/// Whether requests of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeating one does no harm.
    Idempotent,
    /// A repeated one takes effect twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of the requests.
    pub share: f64,
    /// Mean work, in microseconds of a core of speed 1.
    pub work: f64,
    /// Its coefficient of variation.
    pub spread: f64,
    /// Time that a request waits for other systems, in microseconds.
    pub wait: i64,
    /// Latency objective.
    pub aim: i64,
    /// Deadline after which clients give up.
    pub deadline: i64,
    /// Priority value of an answer in time.
    pub worth: f64,
    /// Whether it may be repeated.
    pub idempotency: Idempotency,
}

/// The load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests a second at the start.
    pub per_second: f64,
    /// Number of distinct keys; a few are far more popular than the rest.
    pub keys: usize,
    /// Traffic of the busiest balancer of a zone, in multiples of the mean.
    pub uneven: f64,
}

/// The behaviour of clients.
#[derive(Clone, Copy, Debug)]
pub struct Clients {
    /// Number of retries after a refusal, or after a failure of a request that is safe to repeat.
    pub again: u32,
    /// Minimum and maximum delay before a retry.
    pub after: (i64, i64),
    /// Whether a retry goes to another balancer, if there is one.
    pub elsewhere: bool,
    /// Share of clients that leave early.
    pub leave: f64,
    /// How long those wait before they leave.
    pub leave_after: i64,
    /// How long the front takes to detect the death of a balancer.
    pub notice: i64,
}

/// The role of the members of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Balancers.
    Balancer,
    /// Nodes.
    Node,
}

impl Role {
    /// The letter that the names of its members begin with.
    pub fn letter(self) -> char {
        match self {
            Role::Balancer => 'b',
            Role::Node => 'n',
        }
    }
}

/// How the members of a group are selected.
#[derive(Clone, Debug, PartialEq)]
pub enum Pick {
    /// All.
    All,
    /// A number of them.
    Count {
        /// How many.
        count: usize,
        /// Whether they are drawn from the seed, or the first ones.
        drawn: bool,
    },
    /// The members of a zone.
    Zone(usize),
    /// These members.
    Members(Vec<usize>),
}

/// A set of balancers or of nodes.
#[derive(Clone, Debug)]
pub struct Group {
    /// Its name.
    pub name: String,
    /// The role of its members.
    pub role: Role,
    /// How its members are selected.
    pub pick: Pick,
}

/// Overrides for the processes of a group.
#[derive(Clone, Debug)]
pub struct Process {
    /// Index of the group.
    pub group: usize,
    /// The name of its program, as `--binary NAME=PATH` gives it.
    pub binary: Option<String>,
    /// Limit of descriptors that the system enforces.
    pub descriptors: Option<u64>,
    /// Limit of its address space, in MB.
    pub memory_mb: Option<u64>,
    /// Number of balancers that its configuration announces.
    pub announced: Option<usize>,
}

/// The part of a balancer's stored state that survives a power loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetainedState {
    /// Everything that was written.
    All,
    /// Everything, but the newest file is truncated.
    Torn,
    /// Everything but the newest file.
    NewestMissing,
    /// An older copy of everything.
    Reverted,
    /// Nothing.
    Empty,
}

/// An action of the script on the members of a group, or on the load.
#[derive(Clone, Debug, PartialEq)]
pub enum EventAction {
    /// SIGKILL, and optionally a restart.
    Kill {
        /// Minimum and maximum time until the restart.
        back: Option<(i64, i64)>,
    },
    /// SIGTERM, and optionally a restart once it has ended and this time has passed.
    Term {
        /// Minimum and maximum time until the restart.
        back: Option<(i64, i64)>,
        /// The program to restart with.
        binary: Option<String>,
    },
    /// All are killed at once, and their stored state loses what was not synced.
    PowerLoss {
        /// What survives.
        retained: RetainedState,
        /// Minimum and maximum time until each restart.
        back: Option<(i64, i64)>,
    },
    /// A start.
    Start,
    /// SIGSTOP, and SIGCONT later.
    Freeze {
        /// Duration.
        time: i64,
    },
    /// SIGHUP.
    HangUp,
    /// An invalid configuration and SIGHUP; later a valid one and SIGHUP.
    BadSite {
        /// Duration.
        time: i64,
    },
    /// A second process with the same name and configuration.
    Twin,
    /// Its list of servers is not updated for a time.
    ListStale {
        /// Duration.
        time: i64,
    },
    /// Its list of servers is truncated for a time.
    ListBad {
        /// Duration.
        time: i64,
    },
    /// The delay of updates of its list from now on.
    ListLate {
        /// Minimum and maximum.
        late: (i64, i64),
    },
    /// The clock of the source of its list has an offset.
    Clock {
        /// The offset; positive if the clock is ahead.
        by: i64,
    },
    /// The wall clock that its process reads has an offset, from its next start on.
    WallClock {
        /// The offset; positive if the clock is ahead.
        by: i64,
    },
    /// The node is killed, and optionally restarted, cold.
    NodeKill {
        /// Minimum and maximum time until the restart.
        back: Option<(i64, i64)>,
    },
    /// The node starts, cold.
    NodeStart,
    /// The node makes no progress for a time.
    NodePause {
        /// Duration.
        time: i64,
    },
    /// A fault of the node, for one class or for all.
    NodeFault {
        /// The class; all if `None`.
        class: Option<usize>,
        /// The fault.
        fault: Fault,
        /// Duration; permanent if `None`.
        time: Option<i64>,
    },
    /// Neighbours on its machine leave the node a share of its cores.
    NodeNeighbours {
        /// The share.
        share: f64,
        /// Duration; permanent if `None`.
        time: Option<i64>,
    },
    /// The lists say that the node drains, and later that it serves again.
    NodeDrain {
        /// Duration; permanent if `None`.
        time: Option<i64>,
    },
    /// The lists no longer name the node, and later name it again.
    NodeRemove {
        /// Duration; permanent if `None`.
        time: Option<i64>,
    },
    /// The quality of the links between the balancers of the group and nodes.
    Link {
        /// The group of nodes.
        to: usize,
        /// Direction from the balancers.
        there: Option<LinkQuality>,
        /// Direction from the nodes.
        back: Option<LinkQuality>,
        /// Duration; permanent if `None`.
        time: Option<i64>,
    },
    /// The quality of the links between the balancers of the group and other balancers.
    Peers {
        /// The group of the others.
        to: usize,
        /// Direction from the group.
        there: Option<LinkQuality>,
        /// Direction from the others.
        back: Option<LinkQuality>,
        /// Duration; permanent if `None`.
        time: Option<i64>,
    },
    /// A gradual change of the load.
    Load {
        /// Requests a second at its end.
        per_second: f64,
        /// Its duration.
        over: i64,
    },
    /// Additional requests within a time.
    Storm {
        /// How many.
        count: usize,
        /// Their period.
        over: i64,
        /// Their class; drawn as usual if `None`.
        class: Option<usize>,
    },
    /// The share of the requests that come from a zone is multiplied.
    Shift {
        /// The zone.
        zone: usize,
        /// The factor.
        times: f64,
    },
}

/// A condition that a step waits for once it is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// A node holds a request with an effect that this balancer sent.
    EffectOut,
    /// This balancer has logged that it refused the file that was spoilt.
    Refused,
}

/// One event of the script.
#[derive(Clone, Debug)]
pub struct Event {
    /// Time of its first occurrence.
    pub at: i64,
    /// Number of occurrences, and the time between them.
    pub every: (u32, i64),
    /// The members follow one after the other over this period.
    pub spread: i64,
    /// The condition that it waits for.
    pub when: Option<Condition>,
    /// The condition that the end of its fault waits for once it is due.
    pub until: Option<Condition>,
    /// Index of the group; without meaning for changes of the load.
    pub group: usize,
    /// What happens.
    pub action: EventAction,
}

impl Event {
    /// The times of its occurrences.
    pub fn moments(&self) -> impl Iterator<Item = i64> + use<> {
        let (at, (times, apart)) = (self.at, self.every);
        (0..times).map(move |i| at + i64::from(i) * apart)
    }
}

/// A period of the run.
#[derive(Clone, Debug)]
pub struct Phase {
    /// Its name.
    pub name: String,
    /// Its start.
    pub from: i64,
    /// Its end.
    pub to: i64,
    /// Minimum share that must be served in time.
    pub served_least: Option<f64>,
    /// Maximum share that may be refused.
    pub refused_most: Option<f64>,
}

/// The expectations of a run; counts are maxima.
#[derive(Clone, Debug, PartialEq)]
pub struct Expect {
    /// Requests without an answer in time.
    pub lost: u64,
    /// Requests with an effect that ran more than once.
    pub doubled: u64,
    /// Requests that were refused although they had run.
    pub refused_ran: u64,
    /// Attempts that were sent after the final answer.
    pub after_end: u64,
    /// Attempts that were sent to a draining node after the grace period.
    pub drained: u64,
    /// Answers that no node made.
    pub invented: u64,
    /// Crashes of balancers.
    pub crashes: u64,
    /// Nodes that crashed from overload.
    pub falls: u64,
    /// Minimum share served in time.
    pub served_least: Option<f64>,
    /// Maximum time from the last fault until service has recovered.
    pub back_within: Option<i64>,
    /// The share of the service before the first fault that counts as recovered.
    pub back_to: f64,
    /// Maximum time from the last step until all running balancers agree on the membership and share the
    /// servers among themselves alone. The run continues after the last request until then.
    pub agree_within: Option<i64>,
    /// Maximum load of a cold node, in multiples of its capacity at that time.
    pub cold_peak_most: Option<f64>,
}

/// Limits within which the machine has to keep up for a run to count.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineLimits {
    /// Maximum of the 99th percentile of the delay with which requests are sent.
    pub late: i64,
    /// Maximum share of its time that a balancer may wait for a core.
    pub starved: f64,
    /// Maximum share of the nodes' timers that may be late.
    pub nodes_late: f64,
    /// How late an answer, a stop or a drain may be because of the machine.
    pub slack: i64,
}

impl Script {
    /// The zone of a member of either role.
    pub fn zone(&self, member: usize) -> usize {
        member % self.fleet.zones.len().max(1)
    }

    /// Number of members of a role.
    pub fn count(&self, role: Role) -> usize {
        match role {
            Role::Balancer => self.fleet.balancers,
            Role::Node => self.nodes.count,
        }
    }

    /// Mean work of a request, in microseconds of a core of speed 1.
    pub fn mean_work(&self) -> f64 {
        let all: f64 = self.classes.iter().map(|c| c.share).sum();
        self.classes.iter().map(|c| c.work * c.share).sum::<f64>() / all
    }
}
