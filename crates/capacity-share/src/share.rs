//! The share of the servers' capacity that a balancer has, and why.

use sableloom_types::Time;

/// Why a share is as large as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareReason {
    /// The process has no share yet: so many other members might still hold proofs of absence against it.
    Waiting(usize),
    /// It shares with all members of the list but those that are proved absent.
    Sharing,
    /// It was suspended and has heard too few members since: it shares with all members of the list.
    Resumed,
    /// Another process acts under its name: each of the two has half a share.
    DuplicateIdentity,
}

/// A balancer's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The number of balancers that divide the capacity, itself included; 0 for no share yet.
    pub balancers: u32,
    /// When the first proof of absence or the start wait ends. From then on [`Self::balancers_after`] holds.
    pub until: Option<Time>,
    /// The number of balancers from [`Self::until`] on, unless something new is learnt before.
    pub balancers_after: u32,
    /// Why.
    pub reason: ShareReason,
}

impl Share {
    /// The share as a fraction of all capacity, at this time.
    pub fn fraction(&self, now: Time) -> f64 {
        let expired = self.until.is_some_and(|until| now >= until);
        match if expired { self.balancers_after } else { self.balancers } {
            0 => 0.0,
            balancers => 1.0 / f64::from(balancers),
        }
    }
}
