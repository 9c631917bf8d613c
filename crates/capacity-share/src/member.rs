//! The state that is kept of one other member.

use sableloom_types::Time;

/// Identifies a member by the hash of its name.
pub type Key = u32;

/// A time before all others, which stands for "never". A proof from this time has expired, and an action that was last
/// done at this time may be done again.
pub(crate) const NEVER: Time = Time(i64::MIN);

/// Another member of the list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Member {
    pub(crate) key: Key,
    /// The length of its own list as it last stated; 0 if it has stated none.
    pub(crate) list_length: u16,
    /// Whether the member cannot hold a stale proof, that is, a proof of absence against this process. This is the case
    /// if the member has acknowledged this process, since it then accepts no older proof, or if it was absent at some
    /// time since this process bound its address, since a later process of that member starts without proofs.
    pub(crate) cannot_hold_stale_proof: bool,
    /// When the last datagram was received from its address; [`NEVER`] if none was.
    pub(crate) last_datagram_at: Time,
    /// When the query was sent that proved it absent; [`NEVER`] without a proof.
    pub(crate) absent_since: Time,
    /// When its operating system was last queried; [`NEVER`] if it was not.
    pub(crate) last_queried: Time,
    /// When it was last probed; [`NEVER`] if it was not.
    pub(crate) last_probed: Time,
}

/// The memory that the state of each member takes, in bytes.
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

    /// Returns the member's entry in the probe order; `None` if it cannot hold a stale proof.
    pub(crate) fn probe_entry(&self) -> Option<(Time, Key)> {
        (!self.cannot_hold_stale_proof).then_some((self.last_probed, self.key))
    }

    /// Returns the entry of the member's proof of absence, expired or not; `None` without a proof.
    pub(crate) fn proof_entry(&self) -> Option<(Time, Key)> {
        (self.absent_since != NEVER).then_some((self.absent_since, self.key))
    }
}
