//! A connection between a subscriber and a control machine: two streams of bytes, each of which may be delayed or cut.

use std::collections::VecDeque;

use sableloom_distribution::FrameReader;

/// One direction of a connection.
#[derive(Default)]
pub(crate) struct Stream {
    /// Chunks in flight, in order, with the earliest time at which each arrives.
    pub(crate) chunks: VecDeque<(i64, Vec<u8>)>,
    pub(crate) reader: FrameReader,
    /// The sender has closed after the last chunk.
    pub(crate) closed: bool,
    /// Bytes that are in flight.
    pub(crate) bytes: usize,
}

impl Stream {
    pub(crate) fn push(&mut self, at: i64, bytes: Vec<u8>) {
        let at = self.chunks.back().map_or(at, |(last, _)| at.max(*last));
        self.bytes += bytes.len();
        self.chunks.push_back((at, bytes));
    }
}

/// The direction of a stream, by the messages that it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    ToControl,
    ToSubscriber,
}

pub(crate) struct Connection {
    pub(crate) subscriber: usize,
    pub(crate) control: usize,
    /// The process of the control machine that accepted it; a later process does not know the connection.
    pub(crate) accepted_by: Option<u32>,
    pub(crate) to_control: Stream,
    pub(crate) to_subscriber: Stream,
    /// The subscriber has closed its side.
    pub(crate) closed_by_subscriber: bool,
    pub(crate) closed_by_control: bool,
}

impl Connection {
    pub(crate) fn stream(&mut self, direction: Direction) -> &mut Stream {
        match direction {
            Direction::ToControl => &mut self.to_control,
            Direction::ToSubscriber => &mut self.to_subscriber,
        }
    }
}
