//! The times after which the platform counts a balancer as notified of a change of the endpoint list, whether or not
//! the change has arrived.

use sableloom_types::Span;

/// Returns a span of this many milliseconds.
pub(crate) const fn ms(ms: i64) -> Span {
    Span(ms * 1000)
}

/// A change that a silent long poll misses counts as notified this long after the poll went silent, or at the time of
/// [`NOTIFIED_AFTER_WAIT`] if that is later. The platform specifies this value.
pub const NOTIFIED_AFTER_SILENCE: Span = ms(6000);
/// A change that a silent long poll misses does not count as notified before this long after the end of the poll's
/// wait. The platform specifies this value.
pub const NOTIFIED_AFTER_WAIT: Span = ms(2000);
/// After a poll that failed, was rejected or was abandoned, a change counts as notified this long after discovery had
/// it and could be reached, even where the platform allows more time. The users of the balancer specify this value.
pub const NOTIFIED_AFTER_FAILURE: Span = ms(6000);
/// The changes that discovery has count as notified this long after the SIGHUP that reports its move to another
/// address.
pub const NOTIFIED_AFTER_MOVE: Span = ms(4000);
/// A poll continues the watch if it begins within this time after the previous answer. Otherwise discovery handles it
/// as a new poll.
pub const MAX_CONTINUATION_GAP: Span = ms(200);
