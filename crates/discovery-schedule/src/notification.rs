//! When a change of the endpoint list counts as notified, whether or not it has arrived.

use sableloom_types::Span;

pub(crate) const fn ms(ms: i64) -> Span {
    Span(ms * 1000)
}

/// What a silent long poll misses counts as notified this long after it went silent (platform's page),
pub const NOTIFIED_AFTER_SILENCE: Span = ms(6000);
/// or this long after the wait of the poll has ended, if that is later.
pub const NOTIFIED_AFTER_WAIT: Span = ms(2000);
/// After a poll that failed, was rejected or abandoned, a change counts as notified this long after discovery had it and
/// could be reached, whatever is allowed otherwise (users' fourth letter).
pub const NOTIFIED_AFTER_FAILURE: Span = ms(6000);
/// The changes that discovery has count as notified this long after SIGHUP.
pub const NOTIFIED_AFTER_MOVE: Span = ms(4000);
/// A poll continues the watch if it comes this soon after the last answer.
pub const MAX_CONTINUATION_GAP: Span = ms(200);
