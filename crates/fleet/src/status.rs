//! The status of a member and its view of the fleet, for operators and for tests. The JSON keys must not change,
//! because operators' scripts read them. A field whose Rust name differs from its key has a serde attribute with the
//! key.

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
    /// The incarnation of the member's process.
    #[serde(rename = "life")]
    pub process_incarnation: u32,
    /// The version of the member's view, which increases by one with each change.
    #[serde(rename = "number")]
    pub view_version: u64,
    /// The digest of the member's view in hexadecimal. It is equal at two members that agree on which members are
    /// reachable, and in which process incarnations.
    #[serde(rename = "digest")]
    pub view_digest: String,
    /// The digest in hexadecimal of the endpoint lists that the balancer has in force. It is equal at two balancers
    /// that have the same lists in force.
    #[serde(rename = "servers")]
    pub endpoints_digest: String,
    /// How much of the fleet the member reaches: `whole` if it reaches all members, `part` if it reaches some, `alone`
    /// if it reaches no other member, or `just-woken` if it was suspended and does not trust its view yet.
    #[serde(rename = "standing")]
    pub reachability: String,
    /// The number of members that the member reaches, itself included.
    #[serde(rename = "hears")]
    pub reachable_members: usize,
    /// The number of members on the list, the member itself included and those that have left excluded.
    #[serde(rename = "of")]
    pub listed_members: usize,
    /// The local health score, from 0 (healthy) to 8 (worst).
    #[serde(rename = "doubt")]
    pub local_health: u32,
    /// The member's share of the servers' capacity.
    #[serde(rename = "part")]
    pub share: ShareStatus,
    /// The other members.
    pub members: Vec<MemberStatus>,
    /// The numbers of received datagrams that were dropped.
    pub dropped: DropCounts,
}

/// The share of the servers' capacity that a member has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareStatus {
    /// The number of balancers that divide the capacity, this one included; 0 if the member has no share yet.
    pub balancers: u32,
    /// The length of the longest list that the member knows of, its own included.
    #[serde(rename = "listed")]
    pub longest_list_length: u32,
    /// The number of members that are proved absent.
    #[serde(rename = "absent")]
    pub absent_members: usize,
    /// The reason for the size of the share: `shares` if the member shares with all members that are not proved absent,
    /// `waits` if it waits for other members before it has a share, `woken` after a suspension, or `twin` if another
    /// process acts under its name.
    #[serde(rename = "why")]
    pub reason: String,
}

/// The state of another member, as the member that reports the status knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member's name.
    pub name: String,
    /// The member's address (IP address and port).
    pub address: String,
    /// `unknown`, `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// How long the member has had this state, in milliseconds.
    pub since_ms: i64,
    /// The name of the member that reported this state first; `itself` if the member that reports the status did.
    #[serde(rename = "by")]
    pub reported_by: String,
    /// The number of members that suspect this member to be dead, the first one included; 0 if none does.
    #[serde(rename = "accusers")]
    pub suspecting_members: usize,
    /// The incarnation of the member's process; 0 if it is not known.
    #[serde(rename = "life")]
    pub process_incarnation: u32,
    /// How long ago the last message from this member was received, in milliseconds; `None` if none was.
    #[serde(rename = "heard_ms")]
    pub last_heard_ms: Option<i64>,
    /// The length of this member's list as it last stated; 0 if it has stated none.
    #[serde(rename = "listed")]
    pub list_length: u16,
    /// The digest in hexadecimal of the endpoint lists that this member has in force.
    #[serde(rename = "servers")]
    pub endpoints_digest: String,
}

/// The numbers of dropped datagrams by reason.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DropCounts {
    /// Datagrams that were longer than allowed.
    pub too_long: u64,
    /// Datagrams with another version of the format.
    #[serde(rename = "version")]
    pub other_version: u64,
    /// Datagrams that were not a valid message.
    pub malformed: u64,
    /// Messages from members of another fleet.
    #[serde(rename = "fleet")]
    pub other_fleet: u64,
    /// Messages from an address that no member has.
    #[serde(rename = "address")]
    pub unknown_address: u64,
    /// Messages from a member's address under another member's name.
    #[serde(rename = "name")]
    pub wrong_sender: u64,
    /// Messages that were meant for an earlier process at the same address.
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
    /// Returns the status of a member at `now`. The names are those of the member's settings.
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
