//! The timeouts of a session, after which it is closed because its subscriber does not read, answer or send.

use sableloom_types::{Span, Time};

use super::Session;
use crate::publisher::options::PublisherOptions;
use crate::publisher::output::CloseReason;

impl Session {
    /// Returns the time at which the first timeout expires if nothing is received or written before.
    pub(in crate::publisher) fn deadline(&self, options: &PublisherOptions) -> Time {
        let silent = self.last_received.plus(options.silence_timeout);
        let stalled =
            (self.queued_bytes > 0).then(|| self.no_write_since.plus(options.stall_timeout));
        let oldest = self.unacknowledged.first_key_value();
        let unanswered = oldest.map(|(_, sent)| sent.sent_at.plus(options.acknowledge_timeout));
        [Some(silent), stalled, unanswered].into_iter().flatten().min().unwrap_or(silent)
    }

    /// Returns the close reason of a timeout that has expired, or `None` if none has.
    pub(in crate::publisher) fn expired_timeout(
        &self,
        now: Time,
        options: &PublisherOptions,
    ) -> Option<CloseReason> {
        let has_passed = |since: Time, timeout: Span| now.since(since) >= timeout;
        if self.queued_bytes > 0 && has_passed(self.no_write_since, options.stall_timeout) {
            return Some(CloseReason::Stalled);
        }
        let oldest = self.unacknowledged.first_key_value();
        if oldest.is_some_and(|(_, sent)| has_passed(sent.sent_at, options.acknowledge_timeout)) {
            return Some(CloseReason::Unacknowledged);
        }
        has_passed(self.last_received, options.silence_timeout).then_some(CloseReason::Silent)
    }
}
