//! The model of one direction of a faulty link.

use oorandom::Rand64;

/// Whether a link delivers anything.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// It delivers.
    #[default]
    Open,
    /// It drops everything silently: connections stay open without data, new ones are never established.
    Silent,
    /// Connections are reset and new ones refused.
    Cut,
}

/// The quality of one direction of a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkQuality {
    /// Whether it delivers anything.
    pub state: LinkState,
    /// Delay, in microseconds.
    pub delay: i64,
    /// Additional delay up to this, drawn for each datagram or chunk, in microseconds.
    pub jitter: i64,
    /// Share of datagrams or chunks that are lost.
    pub loss: f64,
    /// Share of datagrams that are delivered twice.
    pub doubled: f64,
    /// Share of datagrams that are overtaken by later ones.
    pub reordered: f64,
    /// Bytes a second; without a limit if `None`.
    pub rate: Option<f64>,
    /// Share of a connection's chunks of which only half arrives before the connection is reset.
    pub breaks: f64,
}

impl Default for LinkQuality {
    fn default() -> Self {
        Self {
            state: LinkState::Open,
            delay: 0,
            jitter: 0,
            loss: 0.0,
            doubled: 0.0,
            reordered: 0.0,
            rate: None,
            breaks: 0.0,
        }
    }
}

/// Retransmission time-out of a lost chunk, in microseconds (RFC 6298, section 2.4, permits less than its one
/// second; the minimum of Linux is 200 ms).
const RESENT: i64 = 200_000;
/// Additional delay of an overtaken datagram, in microseconds.
const OVERTAKEN: i64 = 20_000;

/// The times at which the copies of a datagram arrive; none if it is lost.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Deliveries(pub Vec<i64>);

/// One direction of a link, with its queue.
#[derive(Clone, Debug)]
pub struct LinkDirection {
    rng: Rand64,
    /// When the last queued byte has been sent, if the rate is limited.
    busy_until: i64,
    /// When the last chunk arrives: chunks of a connection stay in order.
    last: i64,
}

impl LinkDirection {
    /// An idle direction, whose draws come from this seed.
    pub fn new(seed: u64) -> Self {
        Self { rng: Rand64::new(u128::from(seed)), busy_until: i64::MIN, last: i64::MIN }
    }

    fn sent(&mut self, now: i64, bytes: usize, quality: &LinkQuality) -> i64 {
        let Some(rate) = quality.rate else { return now };
        let time = (bytes as f64 / rate * 1e6).ceil() as i64;
        self.busy_until = self.busy_until.max(now) + time;
        self.busy_until
    }

    fn draw(&mut self) -> f64 {
        self.rng.rand_float()
    }

    /// The arrivals of a datagram. It is lost if the link is not open.
    pub fn datagram(&mut self, now: i64, bytes: usize, quality: &LinkQuality) -> Deliveries {
        // Always the same number of draws, so that changing one property does not shift the others.
        let [lost, doubled, reordered, jitter, again] = [(); 5].map(|()| self.draw());
        if quality.state != LinkState::Open || lost < quality.loss {
            return Deliveries::default();
        }
        let at = self.sent(now, bytes, quality) + quality.delay;
        let late = if reordered < quality.reordered { OVERTAKEN } else { 0 };
        let first = at + (jitter * quality.jitter as f64) as i64 + late;
        let copy = at + (again * quality.jitter as f64) as i64;
        Deliveries(if doubled < quality.doubled { vec![first, copy] } else { vec![first] })
    }

    /// Whether the connection breaks in the middle of this chunk.
    pub fn breaks(&mut self, quality: &LinkQuality) -> bool {
        // No draw without breaks, so that scripts without them keep their draws.
        quality.breaks > 0.0 && self.draw() < quality.breaks
    }

    /// When a chunk of a connection arrives. TCP hides loss, duplication and reordering; what remains of
    /// loss is delay.
    pub fn piece(&mut self, now: i64, bytes: usize, quality: &LinkQuality) -> i64 {
        let [lost, jitter] = [(); 2].map(|()| self.draw());
        let late = if lost < quality.loss { RESENT } else { 0 };
        let at = self.sent(now, bytes, quality) + quality.delay + late;
        self.last = self.last.max(at + (jitter * quality.jitter as f64) as i64);
        self.last
    }
}

#[cfg(test)]
mod tests;
