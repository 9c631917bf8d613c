//! An operator's configuration: listeners, classes, pools, routes. Text in, a checked site or all
//! that is wrong out; no I/O.

mod change;
mod conditions;
mod control;
mod field;
mod fleet;
mod pool_settings;
mod read;
mod shadow;
mod tenants;

use std::net::SocketAddr;
use std::ops::Range;

use sableloom_routes::{Rule, Table, TableError};
use sableloom_shadow::{Bounds, Rules};
use sableloom_types::settings::{
    ClassSettings, DeploymentSettings, FamilyInfo, LoadReportSource, PolicyLimits, Prices,
    RegistryMode, Safety, Stats,
};
use sableloom_types::{DedupScope, Idempotency};
use serde::{Deserialize, Serialize};

pub use change::unchangeable;
pub use conditions::{read_conditions, read_refusal};
pub use control::Control;
pub use fleet::{Fleet, MAX_MEMBERS, Member, read_members};
pub use pool_settings::{ClassDefaults, PoolSettings};
pub use read::read;
pub use tenants::Tenants;

/// Where something stands in the file. Two things that differ only in this are the same.
#[derive(Clone, Debug, Default)]
pub struct Place {
    /// In bytes.
    pub span: Range<usize>,
    /// From 1.
    pub line: usize,
    /// The field.
    pub field: String,
}

impl PartialEq for Place {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

/// What the process may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Descriptors.
    pub sockets: usize,
    /// Memory.
    pub memory_mb: usize,
}

/// Where this balancer stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Locality {
    /// Names of the zones; none if they do not matter.
    pub zones: Vec<String>,
    /// The zone of this balancer, by index.
    pub zone: u32,
    /// What an attempt that crosses zones costs, as a share of an answer's worth.
    pub crossing: f64,
    /// Balancers that share the servers, this one included; with a fleet its members are counted instead.
    pub balancers: u32,
}

/// What a listener speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Protocol {
    /// HTTP/1.1 (RFC 9112).
    Http1,
}

/// Where clients come in.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// Where.
    pub address: SocketAddr,
    /// What it speaks.
    pub protocol: Protocol,
    /// Where it is written.
    pub place: Place,
}

/// A class of requests; times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// An answer within this time earns the full worth.
    pub aim_ms: f64,
    /// The longest a client waits; what a request has that names no time of its own.
    pub deadline_ms: f64,
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// For how long servers drop repeats of a keyed request.
    pub window_ms: f64,
    /// Methods that its requests may have.
    pub methods: Vec<String>,
    /// Worth of one request.
    pub priority_weight: f64,
    /// Share of the worth after the aim.
    pub late_priority_weight: f64,
    /// Where it is written.
    pub place: Place,
}

/// How new servers are started; times in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// A server starts at this share of its capacity or more.
    pub from: f64,
    /// And is warm no later than this.
    pub time_ms: f64,
    /// It falls over when sent more than this many times its present capacity
    pub multiple: f64,
    /// for this long.
    pub window_ms: f64,
}

/// A pool of servers; times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// What its servers speak.
    pub protocol: Protocol,
    /// The time within which its requests are to be answered: T_QoS.
    pub t_qos_ms: f64,
    /// A connection that is not up by then has failed.
    pub connect_timeout_ms: f64,
    /// When its servers close idle connections.
    pub keepalive_ms: f64,
    /// Most requests open at once.
    pub max_open: usize,
    /// Most attempts of a request.
    pub max_attempts: usize,
    /// The longest that a refused client is told to stay away; 0 to say nothing.
    pub retry_after_ms: f64,
    /// Load reports: where they come, and the values they carry.
    pub reports: (LoadReportSource, Vec<String>),
    /// Cold starts.
    pub cold: ColdStart,
    /// Files of servers, as written.
    pub files: Vec<String>,
    /// The largest share of its servers that one change takes out unless it says so.
    pub out_at_most: f64,
    /// How long a server that its lists leave out drains.
    pub drain_ms: f64,
    /// How often the files are read again without news of them.
    pub reread_ms: f64,
    /// Where it is written.
    pub place: Place,
}

/// Where a route leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// To a pool, by index.
    Pool(usize),
    /// Nowhere: refused with this status of HTTP.
    Refuse(u16),
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for people.
    pub name: String,
    /// What it asks of a request.
    pub rule: Rule,
    /// Where it leads.
    pub target: Target,
    /// Where it is written.
    pub place: Place,
}

/// Copies of a pool's safe requests to a candidate; times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Shadow {
    /// Its name.
    pub name: String,
    /// The live pool, by index.
    pub of: usize,
    /// The pool that gets copies. No route leads to it.
    pub to: Pool,
    /// One that gets the same copies and runs what the live pool runs.
    pub control: Option<Pool>,
    /// What copying may cost; the seed is this process's own.
    pub bounds: Bounds,
    /// How answers are compared.
    pub rules: Rules,
    /// How long a copy may take.
    pub time_ms: f64,
    /// How long a change takes to be seen by every server.
    pub settle_ms: f64,
    /// Fields of requests that are not copied.
    pub drop: Vec<String>,
    /// Values that differ are written down.
    pub values: bool,
    /// Where the record is written, from the site's folder.
    pub record: String,
    /// How often.
    pub record_ms: f64,
    /// Where it is written.
    pub place: Place,
}

impl Shadow {
    /// The pools that get its copies.
    pub fn pools(&self) -> impl Iterator<Item = &Pool> {
        std::iter::once(&self.to).chain(&self.control)
    }
}

/// A configuration that makes sense.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// What the process may use.
    pub limits: Limits,
    /// Where this balancer stands.
    pub locality: Locality,
    /// The fleet that it belongs to, if its balancers know each other.
    pub fleet: Option<Fleet>,
    /// The control machines that pools and routes come from, if they do; the site has none of its own then.
    pub control: Option<Control>,
    /// How requests name their tenant, if limits of tenants are applied.
    pub tenants: Option<Tenants>,
    /// Where clients come in.
    pub listeners: Vec<Listener>,
    /// Classes, in their order.
    pub classes: Vec<Class>,
    /// Pools, in their order, without those of shadows.
    pub pools: Vec<Pool>,
    /// Shadows, one a pool at most.
    pub shadows: Vec<Shadow>,
    /// Routes, in their order.
    pub routes: Vec<Route>,
    /// Where a request goes that no route takes.
    pub otherwise: Target,
    /// A hash of the text, the same in every process.
    pub hash: String,
}

impl Site {
    /// The routes, compiled.
    pub fn table(&self) -> Result<Table, TableError> {
        Table::compile(self.routes.iter().map(|route| route.rule.clone()).collect())
    }

    /// All pools, those of shadows included.
    pub fn every_pool(&self) -> impl Iterator<Item = &Pool> {
        self.pools.iter().chain(self.shadows.iter().flat_map(Shadow::pools))
    }

    /// The longest deadline of any class, in milliseconds.
    pub fn longest_ms(&self) -> f64 {
        self.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max)
    }

    /// What clients' side is told: of classes all, of pools what the first says.
    pub fn client_settings(&self) -> DeploymentSettings {
        match self.pools.first() {
            Some(pool) => self.deployment_settings(pool),
            None => {
                let defaults = ClassDefaults::of(&self.classes);
                self.deployment_settings(&PoolSettings::default().into_pool("", &defaults))
            }
        }
    }

    /// What the decision module of a pool is told.
    pub fn deployment_settings(&self, pool: &Pool) -> DeploymentSettings {
        let (how, names) = pool.reports.clone();
        DeploymentSettings {
            balancers: match &self.fleet {
                Some(fleet) => fleet.members.len().max(1) as u32,
                None => self.locality.balancers,
            },
            position: 0,
            zone: self.locality.zone,
            zones: self.locality.zones.clone(),
            machine_types: Vec::new(),
            tick: 1.0,
            registry_mode: RegistryMode::Automatic,
            services: self.classes.iter().map(Class::service).collect(),
            tenants: Vec::new(),
            policy_limits: PolicyLimits {
                max_attempts: pool.max_attempts,
                max_open: pool.max_open,
                connect_timeout: pool.connect_timeout_ms,
                keepalive: pool.keepalive_ms,
                hedging: false,
                cancelling: true,
                health_checks: matches!(how, LoadReportSource::Pull),
                retry_after: pool.retry_after_ms > 0.0,
                max_retry_after: pool.retry_after_ms,
            },
            safety: Safety {
                poll_interval: 0.0,
                drain_grace: 0.0,
                slow_start: pool.cold.time_ms,
                slow_start_initial_share: pool.cold.from,
                overload_factor: pool.cold.multiple,
                overload_window: pool.cold.window_ms,
            },
            prices: Prices { cross_zone: self.locality.crossing },
            stats: Stats { how, names },
            family_info: FamilyInfo::default(),
            t_qos: Some(pool.t_qos_ms),
        }
    }
}

impl Class {
    fn service(&self) -> ClassSettings {
        ClassSettings {
            name: self.name.clone(),
            latency_objective: self.aim_ms,
            deadline: self.deadline_ms,
            idempotency: self.idempotency,
            dedup_scope: DedupScope::All,
            priority_weight: self.priority_weight,
            late_priority_weight: self.late_priority_weight,
            dedup_window: self.window_ms,
        }
    }
}
