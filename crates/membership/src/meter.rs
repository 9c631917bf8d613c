//! What a member may send: all that it sends and receives is counted, and what can wait is sent only while the
//! sum of the last second leaves room.

use sableloom_types::{Span, Time};

/// What a member may send and receive in a second, with the headers of UDP and IP. The bounds below are derived
/// from it in docs/design/members.md.
pub const MAX_BYTES_A_SECOND: usize = 8192;
/// What IPv4 (20) and UDP (8) add to a datagram, in bytes.
pub const HEADER_BYTES: usize = 28;
/// A question to a member's system of one byte, and its answer (the headers of IP and ICMP, and the question),
/// both with their headers.
pub const QUESTION_BYTES: usize = (HEADER_BYTES + 1) + (28 + HEADER_BYTES + 1);
/// Updates may always take so many bytes a second of what is sent, whatever else is: failures must be told
/// while tables are pulled too.
pub(crate) const MIN_UPDATES: usize = 300;
/// Updates beyond that are sent while the last second had less than this, and no table is pulled: updates had
/// taken all room from pages, which tell a hundred times as much for the same bytes.
pub(crate) const UPDATES_BELOW: usize = 2400;

/// A second is so many slots, and one more for the part of the first that is over already: no second of any
/// beginning has more than the meter says.
const SLOTS: usize = 11;
const SLOT: Span = Span(100_000);

/// Bytes sent and received in the last second, and the updates among those sent.
#[derive(Clone, Debug)]
pub(crate) struct TrafficMeter {
    slots: [Slot; SLOTS],
    /// The number of the slot that is filled, since the clock's beginning.
    slot: i64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    all: usize,
    updates: usize,
}

impl TrafficMeter {
    pub(crate) fn new(now: Time) -> Self {
        Self { slots: [Slot::default(); SLOTS], slot: now.0.div_euclid(SLOT.0) }
    }

    /// A datagram of so many bytes was sent or came.
    pub(crate) fn datagram(&mut self, now: Time, bytes: usize) {
        self.add(now, HEADER_BYTES + bytes);
    }

    /// So many bytes, with their headers, were sent or came.
    pub(crate) fn add(&mut self, now: Time, bytes: usize) {
        self.slot_of(now).all += bytes;
    }

    /// So many bytes of what was sent were updates.
    pub(crate) fn updates(&mut self, now: Time, bytes: usize) {
        self.slot_of(now).updates += bytes;
    }

    /// How many bytes are left until the last second has had so many.
    pub(crate) fn room(&mut self, now: Time, most: usize) -> usize {
        self.slot_of(now);
        most.saturating_sub(self.slots.iter().map(|slot| slot.all).sum())
    }

    /// How many bytes of updates may be sent: while a table is pulled no more than the least.
    pub(crate) fn room_for_updates(&mut self, now: Time, pulls: bool) -> usize {
        let sent: usize = {
            self.slot_of(now);
            self.slots.iter().map(|slot| slot.updates).sum()
        };
        let least = MIN_UPDATES.saturating_sub(sent);
        if pulls { least } else { least.max(self.room(now, UPDATES_BELOW)) }
    }

    /// The slot of this time; those that are over a second old are emptied.
    fn slot_of(&mut self, now: Time) -> &mut Slot {
        let slot = now.0.div_euclid(SLOT.0).max(self.slot);
        for passed in (self.slot + 1..=slot).rev().take(SLOTS) {
            self.slots[passed.rem_euclid(SLOTS as i64) as usize] = Slot::default();
        }
        self.slot = slot;
        &mut self.slots[slot.rem_euclid(SLOTS as i64) as usize]
    }
}

#[cfg(test)]
mod tests;
