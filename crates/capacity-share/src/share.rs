//! The share of the servers' capacity that a balancer has, and the reason for it.

use sableloom_types::Time;

/// The reason for the size of a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareReason {
    /// The process has no share yet, because this number of other members may still hold proofs of absence against it.
    Waiting(usize),
    /// The process shares the capacity with all members of the list except those that are proved absent.
    Sharing,
    /// The process was suspended and has received messages from too few members since. It shares the capacity with all
    /// members of the list.
    Resumed,
    /// Another process runs under the same name. Each of the two has half a share.
    DuplicateIdentity,
}

/// The share of the servers' capacity that one balancer has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The number of balancers that divide the capacity, this one included; 0 if the process has no share yet.
    pub balancers: u32,
    /// When the first proof of absence expires or the start wait ends, if any. From then on, [`Self::balancers_after`]
    /// applies.
    pub until: Option<Time>,
    /// The number of balancers from [`Self::until`] on, unless an event changes the share before.
    pub balancers_after: u32,
    /// The reason for the size of the share.
    pub reason: ShareReason,
}

impl Share {
    /// Returns the share at `now` as a fraction of all capacity, from 0 to 1.
    pub fn fraction(&self, now: Time) -> f64 {
        let expired = self.until.is_some_and(|until| now >= until);
        match if expired { self.balancers_after } else { self.balancers } {
            0 => 0.0,
            balancers => 1.0 / f64::from(balancers),
        }
    }
}
