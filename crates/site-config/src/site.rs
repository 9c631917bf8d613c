//! A site as a whole, and the settings that it gives the policy.

use std::net::SocketAddr;

use sableloom_routes::{RouteTable, RouteTableError};
use sableloom_types::settings::{
    DeploymentSettings, EndpointListDelivery, LoadReportSettings, LoadReportSource, PolicyLimits,
    Prices, SafetySettings, ServiceProperties,
};

use crate::class::{Class, ClassDefaults};
use crate::control::Control;
use crate::fleet::Fleet;
use crate::location::SourceLocation;
use crate::pool::Pool;
use crate::pool_settings::PoolSettings;
use crate::protocol::Protocol;
use crate::route::{Route, Target};
use crate::shadow::Shadow;
use crate::tenants::Tenants;

/// What the process may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// File descriptors.
    pub sockets: usize,
    /// Memory.
    pub memory_mb: usize,
}

/// The zone and the neighbours of this balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Locality {
    /// Names of the zones; none if they do not matter.
    pub zones: Vec<String>,
    /// The zone of this balancer, by index.
    pub zone: u32,
    /// Cost of an attempt that crosses zones, as a share of a request's priority weight.
    pub cross_zone_cost: f64,
    /// Number of balancers that share the servers, this one included; the members of a fleet are counted instead.
    pub balancers: u32,
}

/// An address that clients connect to.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// The address.
    pub address: SocketAddr,
    /// The protocol of the clients.
    pub protocol: Protocol,
    /// Where it is written.
    pub location: SourceLocation,
}

/// A configuration that makes sense.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// What the process may use.
    pub limits: Limits,
    /// The zone and the neighbours of this balancer.
    pub locality: Locality,
    /// The fleet that it belongs to, if its balancers know each other.
    pub fleet: Option<Fleet>,
    /// The control machines that pools and routes come from, if they do; the site has none of its own then.
    pub control: Option<Control>,
    /// How requests name their tenant, if limits of tenants are applied.
    pub tenants: Option<Tenants>,
    /// Addresses that clients connect to.
    pub listeners: Vec<Listener>,
    /// Classes, in their order.
    pub classes: Vec<Class>,
    /// Pools, in their order, without those of shadows.
    pub pools: Vec<Pool>,
    /// Shadows, at most one of each pool.
    pub shadows: Vec<Shadow>,
    /// Routes, in their order.
    pub routes: Vec<Route>,
    /// Where a request goes that no route takes.
    pub fallback: Target,
    /// A hash of the text, the same in every process.
    pub hash: String,
}

impl Site {
    /// The routes, compiled.
    ///
    /// # Errors
    ///
    /// If the routes have more patterns than a table holds.
    pub fn table(&self) -> Result<RouteTable, RouteTableError> {
        RouteTable::compile(self.routes.iter().map(|route| route.rule.clone()).collect())
    }

    /// All pools, those of shadows included.
    pub fn every_pool(&self) -> impl Iterator<Item = &Pool> {
        self.pools.iter().chain(self.shadows.iter().flat_map(Shadow::pools))
    }

    /// The longest deadline of any class, in milliseconds.
    pub fn longest_deadline_ms(&self) -> f64 {
        self.classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max)
    }

    /// The settings of the side that clients connect to: all classes, and the first pool's settings.
    pub fn client_settings(&self) -> DeploymentSettings {
        match self.pools.first() {
            Some(pool) => self.deployment_settings(pool),
            None => {
                let defaults = ClassDefaults::of(&self.classes);
                self.deployment_settings(&Pool::new("", PoolSettings::default(), &defaults))
            }
        }
    }

    /// The settings of the policy of a pool.
    pub fn deployment_settings(&self, pool: &Pool) -> DeploymentSettings {
        let upstream = &pool.upstream;
        let reports = &upstream.load_reports;
        DeploymentSettings {
            balancers: match &self.fleet {
                Some(fleet) => fleet.members.len().max(1) as u32,
                None => self.locality.balancers,
            },
            balancer_index: 0,
            zone: self.locality.zone,
            zones: self.locality.zones.clone(),
            machine_types: Vec::new(),
            tick: 1.0,
            endpoint_list_delivery: EndpointListDelivery::Push,
            classes: self.classes.iter().map(Class::settings).collect(),
            tenants: Vec::new(),
            policy_limits: PolicyLimits {
                max_attempts: upstream.max_attempts,
                max_open: upstream.max_open,
                connect_timeout: upstream.connect_timeout_ms,
                keepalive: upstream.keepalive_ms,
                hedging: false,
                cancelling: true,
                health_checks: matches!(reports.source, LoadReportSource::Pull),
                retry_after: upstream.retry_after_ms > 0.0,
                max_retry_after: upstream.retry_after_ms,
            },
            safety: SafetySettings {
                poll_interval: 0.0,
                drain_grace: 0.0,
                slow_start: upstream.slow_start.duration_ms,
                slow_start_initial_share: upstream.slow_start.initial_share,
                overload_factor: upstream.slow_start.overload_factor,
                overload_window: upstream.slow_start.overload_window_ms,
            },
            prices: Prices { cross_zone: self.locality.cross_zone_cost },
            load_reports: LoadReportSettings {
                source: reports.source,
                values: reports.values.clone(),
            },
            service_properties: ServiceProperties::default(),
            t_qos: Some(pool.t_qos_ms),
        }
    }
}
