//! What a member says of itself and of the fleet, for operators and for tests. The keys of the JSON are operators': a
//! field with another name states its key.

use sableloom_capacity_share::ShareReason;
use sableloom_membership::{DropReason, Health, Membership, Peer, Reachability};
use sableloom_types::Time;
use serde::{Deserialize, Serialize};

use crate::member::FleetMember;

/// The status of a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The fleet's name.
    #[serde(rename = "fleet")]
    pub fleet_name: String,
    /// The member's own name.
    #[serde(rename = "own")]
    pub own_name: String,
    /// The incarnation of its process.
    #[serde(rename = "life")]
    pub process_incarnation: u32,
    /// One more with each change of its view.
    #[serde(rename = "number")]
    pub view_version: u64,
    /// The same at two members that agree on which members are reachable, and in which process incarnations.
    #[serde(rename = "digest")]
    pub view_digest: String,
    /// A digest of its endpoint lists in force; the same at two that have the same.
    #[serde(rename = "servers")]
    pub endpoints_digest: String,
    /// `whole`, `part`, `alone` or `just-woken`.
    #[serde(rename = "standing")]
    pub reachability: String,
    /// How many members it reaches, itself included.
    #[serde(rename = "hears")]
    pub reachable_members: usize,
    /// How many are on its list, itself included, without those that left.
    #[serde(rename = "of")]
    pub listed_members: usize,
    /// Its local health: 0 is healthy, 8 the worst.
    #[serde(rename = "doubt")]
    pub local_health: u32,
    /// Its share of the servers' capacity.
    #[serde(rename = "part")]
    pub share: ShareStatus,
    /// The other members.
    pub members: Vec<MemberStatus>,
    /// Datagrams that were dropped.
    pub dropped: DropCounts,
}

/// A share of the servers' capacity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareStatus {
    /// The number of balancers that divide the capacity, itself included; 0 for no share yet.
    pub balancers: u32,
    /// The length of the longest list that it knows of.
    #[serde(rename = "listed")]
    pub longest_list_length: u32,
    /// How many members are proved absent.
    #[serde(rename = "absent")]
    pub absent_members: usize,
    /// `shares`, `waits`, `woken` or `twin`.
    #[serde(rename = "why")]
    pub reason: String,
}

/// Another member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: String,
    /// `unknown`, `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// For how long, in milliseconds.
    pub since_ms: i64,
    /// The member that found that first.
    #[serde(rename = "by")]
    pub reported_by: String,
    /// How many members suspect it, the first included; 0 if none does.
    #[serde(rename = "accusers")]
    pub suspecting_members: usize,
    /// The incarnation of its process.
    #[serde(rename = "life")]
    pub process_incarnation: u32,
    /// How long ago a message from itself came, in milliseconds.
    #[serde(rename = "heard_ms")]
    pub last_heard_ms: Option<i64>,
    /// The length of its list.
    #[serde(rename = "listed")]
    pub list_length: u16,
    /// A digest of the endpoint lists that it has in force.
    #[serde(rename = "servers")]
    pub endpoints_digest: String,
}

/// Datagrams that were dropped, by reason.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DropCounts {
    /// Longer than a datagram may be.
    pub too_long: u64,
    /// Of another version.
    #[serde(rename = "version")]
    pub other_version: u64,
    /// No message.
    pub malformed: u64,
    /// Of another fleet.
    #[serde(rename = "fleet")]
    pub other_fleet: u64,
    /// From an address that no member has.
    #[serde(rename = "address")]
    pub unknown_address: u64,
    /// From a member's address under another's name.
    #[serde(rename = "name")]
    pub wrong_sender: u64,
    /// Meant for an earlier process at the same address.
    #[serde(rename = "echo")]
    pub stale_nonce: u64,
}

impl DropCounts {
    fn of(membership: &Membership) -> Self {
        Self {
            too_long: membership.count_dropped(DropReason::TooLong),
            other_version: membership.count_dropped(DropReason::OtherVersion),
            malformed: membership.count_dropped(DropReason::Malformed),
            other_fleet: membership.count_dropped(DropReason::OtherFleet),
            unknown_address: membership.count_dropped(DropReason::UnknownAddress),
            wrong_sender: membership.count_dropped(DropReason::WrongSender),
            stale_nonce: membership.count_dropped(DropReason::StaleNonce),
        }
    }
}

impl ShareStatus {
    fn of(member: &FleetMember, now: Time) -> Self {
        let share = member.share();
        let reason = match share.reason {
            ShareReason::Waiting(_) => "waits",
            ShareReason::Sharing => "shares",
            ShareReason::Resumed => "woken",
            ShareReason::DuplicateIdentity => "twin",
        };
        Self {
            balancers: share.balancers,
            longest_list_length: member.capacity_share().longest_list_length(),
            absent_members: member.capacity_share().count_absent(now),
            reason: reason.to_string(),
        }
    }
}

impl MemberStatus {
    fn of(member: &FleetMember, peer: &Peer, now: Time) -> Self {
        let (state, suspecting_members) = match &peer.health {
            Health::Unknown => ("unknown", 0),
            Health::Alive => ("alive", 0),
            Health::Suspect(suspicion) => ("suspect", suspicion.confirmers.len() + 1),
            Health::Dead => ("dead", 0),
            Health::Left => ("left", 0),
        };
        let listed = member.membership().listed(peer.key);
        let milliseconds_since = |at: Time| now.since(at).0 / 1000;
        Self {
            name: member.name(peer.key).to_string(),
            address: listed.map(|listed| listed.address.to_string()).unwrap_or_default(),
            state: state.to_string(),
            since_ms: milliseconds_since(peer.health_since),
            reported_by: member.name(peer.reported_by).to_string(),
            suspecting_members,
            process_incarnation: peer.process_incarnation,
            last_heard_ms: peer.last_message_at.map(milliseconds_since),
            list_length: peer.list_length,
            endpoints_digest: format_digest(peer.endpoints_digest),
        }
    }
}

impl Status {
    /// A member's status now.
    pub fn of(member: &FleetMember, fleet_name: &str, own_name: &str, now: Time) -> Self {
        let membership = member.membership();
        let reachability = match membership.reachability() {
            Reachability::Complete => "whole",
            Reachability::Partial { .. } => "part",
            Reachability::Isolated => "alone",
            Reachability::Resumed => "just-woken",
        };
        let members = membership.peers().map(|peer| MemberStatus::of(member, peer, now));
        Self {
            fleet_name: fleet_name.to_string(),
            own_name: own_name.to_string(),
            process_incarnation: membership.process_incarnation(),
            view_version: membership.view_version(),
            view_digest: format_digest(membership.digest()),
            endpoints_digest: format_digest(membership.endpoints_digest()),
            reachability: reachability.to_string(),
            reachable_members: membership.count_reachable() + 1,
            listed_members: membership.count_others() + 1 - membership.count_left(),
            local_health: membership.local_health(),
            share: ShareStatus::of(member, now),
            members: members.collect(),
            dropped: DropCounts::of(membership),
        }
    }
}

fn format_digest(digest: u32) -> String {
    format!("{digest:08x}")
}
