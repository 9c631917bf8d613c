//! A connection between a subscriber and a control machine: two streams of bytes, each late, cut or broken off.

use std::collections::VecDeque;

use sableloom_distribution::FrameReader;

/// One direction of a connection.
#[derive(Default)]
pub struct Stream {
    /// Chunks on the way, in order, with the time at which each arrives at the earliest.
    pub chunks: VecDeque<(i64, Vec<u8>)>,
    pub reader: FrameReader,
    /// The sender has closed after the last chunk.
    pub closed: bool,
    /// Bytes that were sent and did not arrive yet.
    pub bytes: usize,
}

impl Stream {
    pub fn push(&mut self, at: i64, bytes: Vec<u8>) {
        let at = self.chunks.back().map_or(at, |(last, _)| at.max(*last));
        self.bytes += bytes.len();
        self.chunks.push_back((at, bytes));
    }
}

/// Which way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    SubscriberMessage,
    PublisherMessage,
}

pub struct Connection {
    pub subscriber: usize,
    pub control: usize,
    /// The process of the control machine that accepted it; another one knows nothing of it.
    pub accepted_by: Option<u32>,
    pub to_control: Stream,
    pub to_subscriber: Stream,
    /// The subscriber's side has been given up.
    pub left_by_subscriber: bool,
    pub left_by_control: bool,
}

impl Connection {
    pub fn stream(&mut self, way: Way) -> &mut Stream {
        match way {
            Way::SubscriberMessage => &mut self.to_control,
            Way::PublisherMessage => &mut self.to_subscriber,
        }
    }
}
