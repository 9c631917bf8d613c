//! What is known of one other member.

use sableloom_types::Time;

/// A member, by the hash of its name.
pub type Key = u32;

/// Before all other times: a proof of then has expired, and what was done then may be done again.
pub(crate) const NEVER: Time = Time(i64::MIN);

/// Another member of the list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Member {
    pub(crate) key: Key,
    /// The length of its own list, as it last said; 0 if it has not.
    pub(crate) list_length: u16,
    /// Whether it cannot hold a stale proof, that is, one against this process: it has acknowledged this process,
    /// and so believes no older proof; or it was absent at some time since this process took its address, and a
    /// process that has that name since began with no proofs.
    pub(crate) cannot_hold_stale_proof: bool,
    /// When any datagram last came from its address.
    pub(crate) last_datagram_at: Time,
    /// When the query was sent that proved it absent; [`NEVER`] without a proof.
    pub(crate) absent_since: Time,
    /// When its system was last queried.
    pub(crate) last_queried: Time,
    /// When it was last probed.
    pub(crate) last_probed: Time,
}

/// Bytes that are kept of each member.
pub const BYTES_PER_MEMBER: usize = size_of::<Member>();

impl Member {
    pub(crate) fn new(key: Key) -> Self {
        Self {
            key,
            list_length: 0,
            cannot_hold_stale_proof: false,
            last_datagram_at: NEVER,
            absent_since: NEVER,
            last_queried: NEVER,
            last_probed: NEVER,
        }
    }

    /// Its entry among the members that may hold a stale proof, if it is one.
    pub(crate) fn probe_entry(&self) -> Option<(Time, Key)> {
        (!self.cannot_hold_stale_proof).then_some((self.last_probed, self.key))
    }

    /// Its entry among the proofs of absence, whether or not the proof has expired.
    pub(crate) fn proof_entry(&self) -> Option<(Time, Key)> {
        (self.absent_since != NEVER).then_some((self.absent_since, self.key))
    }
}
