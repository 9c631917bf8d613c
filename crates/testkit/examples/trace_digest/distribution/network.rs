//! Links between a balancer and a machine: frames in order with their time of arrival, and faults.

use std::collections::VecDeque;

use sableloom_distribution::{CodecError, FrameReader, Message};

/// What arrives next.
pub(super) enum Receiver<M> {
    Nothing,
    Message(M),
    Malformed(CodecError),
    Closed,
}

/// One direction of a link.
#[derive(Default)]
pub(super) struct Direction {
    /// Bytes with their time of arrival; none for the end.
    sent: VecDeque<(i64, Option<Vec<u8>>)>,
    /// The time of arrival of the last: bytes don't overtake each other.
    last: i64,
    stalled_until: i64,
    corrupt_at: Option<usize>,
    reader: FrameReader,
}

impl Direction {
    pub(super) fn send(&mut self, arrives: i64, bytes: Vec<u8>) {
        self.last = self.last.max(arrives);
        self.sent.push_back((self.last, Some(bytes)));
    }

    pub(super) fn close(&mut self, arrives: i64) {
        self.last = self.last.max(arrives);
        self.sent.push_back((self.last, None));
    }

    /// Nothing arrives before that time.
    pub(super) fn stall(&mut self, until: i64) {
        self.stalled_until = until;
    }

    /// A byte of the next frame is wrong.
    pub(super) fn corrupt(&mut self, at: usize) {
        self.corrupt_at = Some(at);
    }

    /// The last frame that is on the way is lost.
    pub(super) fn lose_last(&mut self) {
        if let Some((_, Some(_))) = self.sent.back() {
            self.sent.pop_back();
        }
    }

    /// Takes the bytes that have arrived into the reader; gives how many.
    pub(super) fn bytes_taken(&mut self, now: i64) -> usize {
        let mut taken = 0;
        while let Some((arrives, Some(bytes))) = self.sent.front_mut() {
            if *arrives > now || self.stalled_until > now {
                break;
            }
            if let Some(at) = self.corrupt_at.take() {
                let index = at % bytes.len();
                bytes[index] ^= 0x55;
            }
            taken += bytes.len();
            self.reader.push(bytes);
            self.sent.pop_front();
        }
        taken
    }

    /// The next message or the end, if it has arrived.
    pub(super) fn receive<M: Message>(&mut self, now: i64) -> Receiver<M> {
        self.bytes_taken(now);
        match self.reader.next_message() {
            Ok(Some(message)) => return Receiver::Message(message),
            Ok(None) => {}
            Err(error) => return Receiver::Malformed(error),
        }
        match self.sent.front() {
            Some((arrives, None)) if *arrives <= now && self.stalled_until <= now => {
                Receiver::Closed
            }
            _ => Receiver::Nothing,
        }
    }
}

/// A connection of a balancer to a machine.
pub(super) struct Link {
    pub balancer: usize,
    pub machine: usize,
    opens: i64,
    pub is_open: bool,
    pub to_publisher: Direction,
    pub to_subscriber: Direction,
    /// The balancer's end knows this connection no more.
    pub subscriber_left: bool,
    /// The machine's end knows this connection no more.
    pub publisher_left: bool,
}

impl Link {
    pub(super) fn new(balancer: usize, machine: usize, opens: i64) -> Self {
        Link {
            balancer,
            machine,
            opens,
            is_open: false,
            to_publisher: Direction::default(),
            to_subscriber: Direction::default(),
            subscriber_left: false,
            publisher_left: false,
        }
    }

    /// Whether the connection is made now.
    pub(super) fn opens_at(&self, now: i64) -> bool {
        !self.is_open && self.opens <= now && !self.subscriber_left
    }

    pub(super) fn is_over(&self) -> bool {
        self.subscriber_left && (self.publisher_left || !self.is_open)
    }
}
