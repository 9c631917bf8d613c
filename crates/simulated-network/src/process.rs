//! What the network runs.

use std::net::SocketAddr;

use sableloom_types::Time;

/// What a process sends.
#[derive(Clone, Debug)]
pub struct Output<C> {
    /// Datagrams, and where to.
    pub datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// Addresses that are queried whether any process holds them.
    pub absence_queries: Vec<SocketAddr>,
    /// What else it reports, for the test.
    pub changes: Vec<C>,
}

impl<C> Default for Output<C> {
    fn default() -> Self {
        Self { datagrams: Vec::new(), absence_queries: Vec::new(), changes: Vec::new() }
    }
}

/// A process: events and its own clock in, datagrams out.
pub trait Process {
    /// What else it reports.
    type Change;

    /// A datagram has come.
    fn receive(
        &mut self,
        now: Time,
        from: SocketAddr,
        bytes: &[u8],
        output: &mut Output<Self::Change>,
    );

    /// No process held this address, by the absence query that this process sent at this time of its own clock.
    fn proved_absent(
        &mut self,
        _now: Time,
        _address: SocketAddr,
        _queried: Time,
        _output: &mut Output<Self::Change>,
    ) {
    }

    /// Its timer is due.
    fn tick(&mut self, now: Time, output: &mut Output<Self::Change>);

    /// When its timer is due next, by its own clock.
    fn next_wakeup(&self) -> Time;
}
