//! A connection between a subscriber and a control machine: two streams of bytes, each of which can be delayed or cut.

use std::collections::VecDeque;

use sableloom_distribution::FrameReader;

/// One direction of a connection.
#[derive(Default)]
pub(crate) struct Stream {
    /// The chunks in flight, in order, with the earliest time in microseconds at which each arrives.
    pub(crate) chunks: VecDeque<(i64, Vec<u8>)>,
    /// Decodes the bytes that have arrived.
    pub(crate) reader: FrameReader,
    /// Whether the sender has closed the stream after the last chunk.
    pub(crate) closed: bool,
    /// The number of bytes in flight.
    pub(crate) bytes: usize,
}

impl Stream {
    /// Adds a chunk that arrives at `at` or with the chunk before it, whichever is later.
    pub(crate) fn push(&mut self, at: i64, bytes: Vec<u8>) {
        let at = self.chunks.back().map_or(at, |(last, _)| at.max(*last));
        self.bytes += bytes.len();
        self.chunks.push_back((at, bytes));
    }
}

/// The direction of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    /// The stream carries the messages of the subscriber.
    ToControl,
    /// The stream carries the messages of the publisher.
    ToSubscriber,
}

/// A connection, from the attempt to connect until one side has received the end of its stream.
pub(crate) struct Connection {
    /// The index of the balancer.
    pub(crate) subscriber: usize,
    /// The index of the control machine.
    pub(crate) control: usize,
    /// The incarnation of the control machine that accepted the connection; a later incarnation answers with a reset.
    pub(crate) accepted_by: Option<u32>,
    pub(crate) to_control: Stream,
    pub(crate) to_subscriber: Stream,
    /// Whether the subscriber has closed the connection or has crashed.
    pub(crate) closed_by_subscriber: bool,
    /// Whether the control machine has closed the connection.
    pub(crate) closed_by_control: bool,
}

impl Connection {
    /// Returns the stream of a direction.
    pub(crate) fn stream(&mut self, direction: Direction) -> &mut Stream {
        match direction {
            Direction::ToControl => &mut self.to_control,
            Direction::ToSubscriber => &mut self.to_subscriber,
        }
    }
}
