//! What happens at a later time.

use sableloom_types::Time;

/// An event of the network. Hosts by their numbers.
pub(crate) enum Event {
    /// The timer of a process, if its process was not called since.
    Wakeup { host: usize, timer_version: u64 },
    /// A datagram arrives.
    Datagram { to: usize, from: usize, bytes: Vec<u8> },
    /// An absence query arrives.
    AbsenceQuery { to: usize, from: usize, process_incarnation: u32, queried: Time },
    /// The answer to an absence query arrives: no process holds the address.
    Absent { to: usize, process_incarnation: u32, absent: usize, queried: Time },
    /// A suspended process goes on.
    Resume { host: usize, process_incarnation: u32 },
}

/// What waits for a suspended process, as in its socket's buffer.
pub(crate) enum Buffered {
    /// A datagram from a host.
    Datagram(usize, Vec<u8>),
    /// The answer that no process holds the address of a host, to the query of this time.
    Absent(usize, Time),
}
