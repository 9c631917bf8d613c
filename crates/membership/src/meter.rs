//! The budget of traffic: all bytes that a member sends and receives are counted, and what can wait is sent only while
//! the last second leaves space for it.

use sableloom_types::{Span, Time};

/// Bytes that a member may send and receive in a second, with the headers of UDP and IP. The bounds below are derived
/// from it in docs/design/members.md.
pub const MAX_BYTES_PER_SECOND: usize = 8192;
/// Bytes that IPv4 (20) and UDP (8) add to a datagram.
pub const HEADER_BYTES: usize = 28;
/// Bytes of an absence query of one byte and of its answer (the headers of IP and ICMP, and the query), both with their
/// headers.
pub const ABSENCE_QUERY_BYTES: usize = (HEADER_BYTES + 1) + (28 + HEADER_BYTES + 1);
/// Updates may always take so many bytes of a second, whatever else is sent: members must learn of failures while
/// tables are pulled too.
pub(crate) const MIN_UPDATE_BYTES: usize = 300;
/// Updates beyond that are sent while the last second had fewer bytes than this, and no table is pulled. Updates had
/// displaced all pages, which tell a hundred times as much in the same bytes.
pub(crate) const UPDATES_BELOW_BYTES: usize = 2400;

/// A second has so many slots, with one more for the part of the first slot that is over already: no second of any
/// beginning has more bytes than the meter says.
const SLOT_COUNT: usize = 11;
const SLOT_DURATION: Span = Span(100_000);

/// Bytes sent and received in the last second, and the updates among those sent.
#[derive(Clone, Debug)]
pub(crate) struct TrafficMeter {
    slots: [Slot; SLOT_COUNT],
    /// The number of the current slot, since the clock's beginning.
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

    /// Counts a datagram of so many bytes, without its headers.
    pub(crate) fn add_datagram(&mut self, now: Time, bytes: usize) {
        self.add(now, HEADER_BYTES + bytes);
    }

    /// Counts so many bytes, headers included.
    pub(crate) fn add(&mut self, now: Time, bytes: usize) {
        self.slot_at(now).total += bytes;
    }

    /// Counts so many of the bytes sent as updates.
    pub(crate) fn add_updates(&mut self, now: Time, bytes: usize) {
        self.slot_at(now).updates += bytes;
    }

    /// How many bytes are left until the last second has had so many.
    pub(crate) fn remaining(&mut self, now: Time, budget: usize) -> usize {
        self.slot_at(now);
        budget.saturating_sub(self.slots.iter().map(|slot| slot.total).sum())
    }

    /// How many bytes of updates may be sent: while a table is pulled no more than the minimum.
    pub(crate) fn remaining_for_updates(&mut self, now: Time, is_pulling: bool) -> usize {
        self.slot_at(now);
        let sent: usize = self.slots.iter().map(|slot| slot.updates).sum();
        let minimum = MIN_UPDATE_BYTES.saturating_sub(sent);
        if is_pulling { minimum } else { minimum.max(self.remaining(now, UPDATES_BELOW_BYTES)) }
    }

    /// The slot of this time. Slots that are over a second old are emptied.
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
