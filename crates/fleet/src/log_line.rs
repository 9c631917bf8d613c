//! Log lines for changes of the view and of the share. Rehearsals and operators' scripts match some of them.

use std::fmt;

use sableloom_capacity_share::{Share, ShareReason};
use sableloom_membership::{Change, Key, Reachability};

use crate::member::FleetMember;

/// Formats a change of the view as a log line.
pub(crate) struct ChangeLine<'a> {
    pub(crate) member: &'a FleetMember,
    pub(crate) change: &'a Change,
}

impl fmt::Display for ChangeLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = |key: &Key| self.member.name(*key);
        match self.change {
            Change::Joined { member, process_incarnation } => {
                write!(f, "{} is there, life {process_incarnation}", name(member))
            }
            Change::Suspected { member, reported_by } => {
                write!(f, "{} is suspected, by {}", name(member), name(reported_by))
            }
            Change::Refuted(member) => write!(f, "{} has refuted the suspicion", name(member)),
            Change::Died { member, reported_by } => {
                write!(f, "{} counts as dead, by {}", name(member), name(reported_by))
            }
            Change::Left(member) => write!(f, "{} has left", name(member)),
            Change::Reachability(reachability) => write_reachability(f, *reachability),
            Change::DuplicateIdentity => f.write_str(
                "DUPLICATE IDENTITY: another process acts under this name; each has half a share",
            ),
        }
    }
}

fn write_reachability(f: &mut fmt::Formatter<'_>, reachability: Reachability) -> fmt::Result {
    match reachability {
        Reachability::Complete => f.write_str("hears all"),
        Reachability::Partial { reachable, listed } => {
            write!(f, "hears {reachable} of {listed}")
        }
        Reachability::Isolated => f.write_str("hears nobody"),
        Reachability::Resumed => f.write_str(
            "did not run for a while; its view is not trusted until enough members have sent \
                 messages",
        ),
    }
}

/// Formats a share as a log line.
pub(crate) struct ShareLine(pub(crate) Share);

impl fmt::Display for ShareLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let balancers = self.0.balancers;
        match self.0.reason {
            ShareReason::Waiting(members) if balancers == 0 => write!(
                f,
                "part: none until {members} other members have acknowledged this process or their \
                 proofs against it have expired"
            ),
            ShareReason::Resumed => write!(f, "part: 1 of {balancers}, after a suspension"),
            ShareReason::DuplicateIdentity => {
                write!(f, "part: 1 of {balancers}, beside a duplicate identity")
            }
            ShareReason::Waiting(_) | ShareReason::Sharing => write!(f, "part: 1 of {balancers}"),
        }
    }
}
