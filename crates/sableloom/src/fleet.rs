//! This balancer's membership of its fleet, and `sableloom fleet`: what balancers that know each other know.

mod command;
mod comparison;
mod members_table;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use sableloom_capacity_share::Timing as ShareTiming;
use sableloom_exchange::Clock;
use sableloom_fleet::{FleetObserver, MemberSettings, RunOptions, RunningMember};
use sableloom_membership::{ListedMember, MemberList, Timing as MembershipTiming};
use sableloom_site_config::Fleet;
use sableloom_types::settings::span_from_ms;

pub(crate) use command::{Command, run};

/// Process incarnations are tenths of seconds since this second of Unix time, the first of 2025: they fit 32 bits for
/// 13 years.
const INCARNATIONS_FROM: i64 = 1_735_689_600;
/// Tenths of a second, in microseconds.
const TENTH: i64 = 100_000;
/// Absence queries about one member within a lease: a proof of absence is renewed although three queries are lost.
const QUERIES_PER_LEASE: f64 = 4.0;

/// Why this balancer can't be a member of its fleet.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartError {
    /// The list of members does not name this balancer.
    #[error("field `fleet.own`: no member {0:?}")]
    NotListed(String),
    /// The member's address can't be taken.
    #[error("field `fleet`: {own:?} at {address}: {source}{}", holder(source))]
    Address {
        /// This balancer's name.
        own: String,
        /// Its address on the list.
        address: SocketAddr,
        /// The error of the socket.
        source: io::Error,
    },
}

fn holder(error: &io::Error) -> &'static str {
    match error.kind() {
        io::ErrorKind::AddrInUse => "; another process, perhaps of this name, holds it",
        _ => "",
    }
}

/// The other members of the list.
pub(crate) fn others(fleet: &Fleet) -> Vec<ListedMember> {
    let others = fleet.members.iter().filter(|member| member.name != fleet.own_name);
    others
        .map(|member| ListedMember { name: member.name.clone(), address: member.address })
        .collect()
}

/// Takes this balancer's address among the members, and starts the membership protocol.
///
/// # Errors
///
/// [`StartError`] if the list does not name this balancer, or its address can't be taken.
pub(crate) async fn start(
    fleet: &Fleet,
    clock: Clock,
    observer: Rc<dyn FleetObserver>,
) -> Result<Rc<RunningMember>, StartError> {
    let own = &fleet.own_name;
    let address = fleet.address().ok_or_else(|| StartError::NotListed(own.clone()))?;
    let tenths = clock.now().0 / TENTH - INCARNATIONS_FROM * 10;
    let options = RunOptions {
        settings: settings(fleet),
        address,
        operator_address: fleet.operator,
        list: MemberList::new(others(fleet)),
        process_incarnation: tenths.clamp(1, i64::from(u32::MAX) - 1) as u32,
        seed: seed(),
        clock,
        observer,
    };
    let running = RunningMember::start(options).await;
    running.map_err(|source| StartError::Address { own: own.clone(), address, source })
}

fn settings(fleet: &Fleet) -> MemberSettings {
    MemberSettings {
        fleet_name: fleet.name.clone(),
        own_name: fleet.own_name.clone(),
        membership_timing: MembershipTiming {
            probe_interval: span_from_ms(fleet.probe_interval_ms),
            probe_timeout: span_from_ms(fleet.probe_timeout_ms),
            ..MembershipTiming::default()
        },
        share_timing: ShareTiming {
            lease: span_from_ms(fleet.lease_ms),
            query_interval: span_from_ms(fleet.lease_ms / QUERIES_PER_LEASE),
            ..ShareTiming::default()
        },
    }
}

/// Of the process and of the time: the nonce must not be that of an earlier process with the same process id.
fn seed() -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    unix.as_nanos() as u64 ^ u64::from(std::process::id()).rotate_left(40)
}
