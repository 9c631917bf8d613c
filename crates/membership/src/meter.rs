//! The traffic budget. All bytes that a member sends and receives are counted, and messages that can wait are sent only
//! while the last second leaves space for them.

use sableloom_types::{Span, Time};

/// The maximum number of bytes that a member may send and receive in a second, with the headers of UDP and IP. The
/// bounds below are derived from it in docs/design/members.md.
pub const MAX_BYTES_PER_SECOND: usize = 8192;
/// The bytes that IPv4 (20) and UDP (8) headers add to a datagram.
pub const HEADER_BYTES: usize = 28;
/// The bytes of an absence query of one byte and of its answer (the headers of IP and ICMP, and the query), both with
/// their headers.
pub const ABSENCE_QUERY_BYTES: usize = (HEADER_BYTES + 1) + (28 + HEADER_BYTES + 1);
/// The number of bytes of updates that may always be sent in a second, whatever else is sent. Gossip has to spread
/// failures while tables are pulled too.
pub(crate) const RESERVED_UPDATE_BYTES: usize = 300;
/// Updates beyond [`RESERVED_UPDATE_BYTES`] are sent only while the last second had fewer bytes than this and no table
/// is pulled. Without this bound, updates displaced all pages, which carry a hundred times as much in the same bytes.
pub(crate) const UPDATE_BUDGET_BYTES: usize = 2400;

/// Ten slots cover a second. One more covers the part of the oldest slot that may still be within the last second, so
/// that no window of one second has more bytes than the meter states.
const SLOT_COUNT: usize = 11;
const SLOT_DURATION: Span = Span(100_000);

/// Counts the bytes sent and received in the last second, and the bytes of updates among those sent.
#[derive(Clone, Debug)]
pub(crate) struct TrafficMeter {
    slots: [Slot; SLOT_COUNT],
    /// The number of the current slot, counted from time 0 of the clock.
    current_slot: i64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    total: usize,
    updates: usize,
}

impl TrafficMeter {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            slots: [Slot::default(); SLOT_COUNT],
            current_slot: now.0.div_euclid(SLOT_DURATION.0),
        }
    }

    /// Counts a datagram of `bytes` bytes and its headers.
    pub(crate) fn add_datagram(&mut self, now: Time, bytes: usize) {
        self.add(now, HEADER_BYTES + bytes);
    }

    /// Counts `bytes` bytes, which include headers.
    pub(crate) fn add(&mut self, now: Time, bytes: usize) {
        self.slot_at(now).total += bytes;
    }

    /// Counts `bytes` of the bytes sent as updates.
    pub(crate) fn add_updates(&mut self, now: Time, bytes: usize) {
        self.slot_at(now).updates += bytes;
    }

    /// Returns how many bytes remain until the last second has had `budget` bytes.
    pub(crate) fn remaining(&mut self, now: Time, budget: usize) -> usize {
        self.slot_at(now);
        budget.saturating_sub(self.slots.iter().map(|slot| slot.total).sum())
    }

    /// Returns how many bytes of updates may be sent. While a table is pulled, no more than the reserved bytes may.
    pub(crate) fn remaining_for_updates(&mut self, now: Time, is_pulling: bool) -> usize {
        self.slot_at(now);
        let sent: usize = self.slots.iter().map(|slot| slot.updates).sum();
        let minimum = RESERVED_UPDATE_BYTES.saturating_sub(sent);
        if is_pulling { minimum } else { minimum.max(self.remaining(now, UPDATE_BUDGET_BYTES)) }
    }

    /// Returns the slot of the time `now`, and empties slots that are over a second old.
    fn slot_at(&mut self, now: Time) -> &mut Slot {
        let number = now.0.div_euclid(SLOT_DURATION.0).max(self.current_slot);
        for elapsed in (self.current_slot + 1..=number).rev().take(SLOT_COUNT) {
            self.slots[elapsed.rem_euclid(SLOT_COUNT as i64) as usize] = Slot::default();
        }
        self.current_slot = number;
        &mut self.slots[number.rem_euclid(SLOT_COUNT as i64) as usize]
    }
}

#[cfg(test)]
mod tests;
