//! A host: an address at which one process runs at a time.

use sableloom_types::Time;

use crate::event::Buffered;
use crate::process::Process;

/// Datagrams that wait for a suspended process; more are lost, as in a socket's buffer.
const BUFFERED_DATAGRAMS: usize = 300;
/// How far apart the clocks of two neighbours begin, in microseconds.
const CLOCK_OFFSET: i64 = 1_000_000_007;
/// The process incarnation before the first.
const FIRST_INCARNATION: u32 = 100;

/// A host.
pub struct Host<P: Process> {
    /// Its process, if one runs.
    pub process: Option<P>,
    /// Whether the process is suspended.
    pub is_suspended: bool,
    /// The incarnation of its process: one more with each start.
    pub process_incarnation: u32,
    /// What its processes reported, and when.
    pub changes: Vec<(i64, P::Change)>,
    /// Bytes that were sent from here and came here, with their headers; a lost datagram is sent and does not come.
    pub traffic: u64,
    pub(crate) buffered: Vec<Buffered>,
    /// One more with each call of the process: timers that were set before are void.
    pub(crate) timer_version: u64,
    number: usize,
    clock_rate: f64,
}

impl<P: Process> Host<P> {
    pub(crate) fn new(number: usize, clock_rate: f64) -> Self {
        Self {
            process: None,
            is_suspended: false,
            process_incarnation: FIRST_INCARNATION,
            changes: Vec::new(),
            traffic: 0,
            buffered: Vec::new(),
            timer_version: 0,
            number,
            clock_rate,
        }
    }

    fn clock_offset(&self) -> i64 {
        self.number as i64 * CLOCK_OFFSET
    }

    /// The time of its own clock at a time of the network.
    pub(crate) fn local_time(&self, now: i64) -> Time {
        Time((now as f64 * self.clock_rate) as i64 + self.clock_offset())
    }

    /// The time of the network at a time of its own clock.
    pub(crate) fn network_time(&self, local: Time) -> i64 {
        ((local.0 - self.clock_offset()) as f64 / self.clock_rate).ceil() as i64
    }

    /// Keeps a datagram for a suspended process, if there is space.
    pub(crate) fn buffer(&mut self, datagram: Buffered) {
        if self.buffered.len() < BUFFERED_DATAGRAMS {
            self.buffered.push(datagram);
        }
    }
}
