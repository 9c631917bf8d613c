//! What a member says of itself and of the fleet, for operators and for tests.

use sableloom_capacity_share::ShareReason;
use sableloom_membership::{DropReason, Health, Reachability};
use sableloom_types::Time;
use serde::{Deserialize, Serialize};

use crate::core::Core;

/// The status of a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The fleet's name.
    pub fleet: String,
    /// Its own.
    pub own: String,
    /// Its process's life.
    pub life: u32,
    /// One more with each change of its view.
    pub number: u64,
    /// The same at two members that agree on who is there, and in which lives.
    pub digest: String,
    /// A digest of its lists of servers in force; the same at two that have the same.
    pub servers: String,
    /// `whole`, `part`, `alone` or `just-woken`.
    pub standing: String,
    /// How many it hears, itself included.
    pub hears: usize,
    /// How many are on its list, itself included, without those that left.
    pub of: usize,
    /// How far it doubts itself, 0 to 8.
    pub doubt: u32,
    /// Its part of the servers.
    pub part: PartStatus,
    /// The others.
    pub members: Vec<MemberStatus>,
    /// Datagrams that were dropped.
    pub dropped: Drops,
}

/// A part of the servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PartStatus {
    /// With how many it shares them, itself included; 0 for no part yet.
    pub balancers: u32,
    /// How many the longest list names that it knows of.
    pub listed: u32,
    /// How many are proved not to act.
    pub absent: usize,
    /// `shares`, `waits`, `woken` or `twin`.
    pub why: String,
}

/// Another member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// Where it is.
    pub address: String,
    /// `unknown`, `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// For how long, in milliseconds.
    pub since_ms: i64,
    /// By whose word.
    pub by: String,
    /// Those who doubt it, the first included; 0 if nobody does.
    pub accusers: usize,
    /// Its process's life.
    pub life: u32,
    /// How long ago it was heard itself, in milliseconds.
    pub heard_ms: Option<i64>,
    /// How many its list names.
    pub listed: u16,
    /// A digest of the lists of servers that it has in force.
    pub servers: String,
}

/// Datagrams that were dropped, by reason.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Drops {
    /// Longer than 256 bytes.
    pub too_long: u64,
    /// Of another version.
    pub version: u64,
    /// No message.
    pub malformed: u64,
    /// Of another fleet.
    pub fleet: u64,
    /// From an address that no member has.
    pub address: u64,
    /// From a member's address under another's name.
    pub name: u64,
    /// Meant for an earlier process at the same address.
    pub echo: u64,
}

fn hex(digest: u32) -> String {
    format!("{digest:08x}")
}

impl Status {
    /// A member's status now.
    pub fn of(core: &Core, fleet: &str, own: &str, now: Time) -> Self {
        let members = core.members();
        let share = core.share();
        let there = members.count_reachable() + 1;
        let left = members.count_left();
        let ago = |at: Time| now.since(at).0 / 1000;
        let peer = |peer: &sableloom_membership::Peer| {
            let (state, accusers) = match &peer.health {
                Health::Unknown => ("unknown", 0),
                Health::Alive => ("alive", 0),
                Health::Suspect(suspicion) => ("suspect", suspicion.confirmers.len() + 1),
                Health::Dead => ("dead", 0),
                Health::Left => ("left", 0),
            };
            let listed = members.listed(peer.key);
            MemberStatus {
                name: core.name(peer.key).to_string(),
                address: listed.map(|listed| listed.address.to_string()).unwrap_or_default(),
                state: state.to_string(),
                since_ms: ago(peer.since),
                by: core.name(peer.reported_by).to_string(),
                accusers,
                life: peer.process_incarnation,
                heard_ms: peer.last_heard.map(ago),
                listed: peer.list_length,
                servers: hex(peer.endpoints_digest),
            }
        };
        let dropped = |why| members.dropped(why);
        Self {
            fleet: fleet.to_string(),
            own: own.to_string(),
            life: members.process_incarnation(),
            number: members.view_version(),
            digest: hex(members.digest()),
            servers: hex(members.endpoints_digest()),
            standing: match members.reachability() {
                Reachability::Complete => "whole",
                Reachability::Partial { .. } => "part",
                Reachability::Isolated => "alone",
                Reachability::Resumed => "just-woken",
            }
            .to_string(),
            hears: there,
            of: members.count() + 1 - left,
            doubt: members.local_health(),
            part: PartStatus {
                balancers: share.balancers,
                listed: core.capacity_share().longest_list(),
                absent: core.capacity_share().absent_members(now),
                why: match share.reason {
                    ShareReason::Waiting(_) => "waits",
                    ShareReason::Sharing => "shares",
                    ShareReason::Resumed => "woken",
                    ShareReason::DuplicateIdentity => "twin",
                }
                .to_string(),
            },
            members: members.peers().map(peer).collect(),
            dropped: Drops {
                too_long: dropped(DropReason::TooLong),
                version: dropped(DropReason::OtherVersion),
                malformed: dropped(DropReason::Malformed),
                fleet: dropped(DropReason::OtherFleet),
                address: dropped(DropReason::UnknownAddress),
                name: dropped(DropReason::WrongSender),
                echo: dropped(DropReason::StaleNonce),
            },
        }
    }
}
