//! Decides which connections are shed to free memory.

use sableloom_types::Time;

use crate::connection::{Connection, ConnectionId, Stage, WaitKind};

/// What asks for memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryRequester {
    /// This connection, which is new.
    Connection(ConnectionId),
    /// A request of this connection that is still arriving.
    PartialRequest(ConnectionId),
    /// A request of this connection that has arrived.
    CompleteRequest(ConnectionId),
    /// An attempt: its connection to a server, or the answer on that.
    Attempt,
}

/// How much memory is to be freed, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryDemand {
    /// What the requester lacks.
    pub needed: usize,
    /// What is freed beyond that if partial requests hold it, so that not each of many requesters sheds for itself.
    pub reserve: usize,
}

/// The decision on a demand for memory that is not free.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemoryDecision {
    /// These connections are to be shed, and the demand waits until their memory is free. None if enough is being
    /// freed already.
    Shed(Vec<ConnectionId>),
    /// The demand can't be met.
    Refuse,
}

/// The order in which connections are shed; those that lose least by it come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ShedRank {
    /// A part of a request has arrived: it is rejected, and was not executed.
    PartialRequest,
    /// The connection has no request: it is closed.
    Idle,
    /// The client does not accept its answer: the answer is cut off.
    BlockedAnswer,
}

/// A connection that may be shed. Within a rank the one first that has made no progress for longest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    rank: ShedRank,
    progressed_at: Time,
    id: ConnectionId,
    memory: usize,
}

impl Candidate {
    /// The candidate that a connection is; `None` if it must not be shed.
    fn new(id: ConnectionId, connection: &Connection) -> Option<Self> {
        if connection.memory == 0 || connection.is_shed {
            return None;
        }
        let (rank, progressed_at) = match connection.stage {
            _ if let Some(since) = connection.blocked_since => (ShedRank::BlockedAnswer, since),
            // A request that is about to be complete needs more memory; one byte now and then is no progress.
            Stage::Waiting(WaitKind::Reading) => {
                let progressed_at = connection.memory_grew_at.max(connection.request_started);
                (ShedRank::PartialRequest, progressed_at)
            }
            Stage::Waiting(_) if !connection.has_unread_bytes => (ShedRank::Idle, connection.since),
            Stage::Waiting(_) | Stage::Busy | Stage::Closing => return None,
        };
        Some(Self { rank, progressed_at, id, memory: connection.memory })
    }

    /// Whether it may be shed for this requester. One request is not worth the many connections that its memory would
    /// take, and answers are cut off for attempts only.
    fn may_be_shed_for(&self, requester: MemoryRequester) -> bool {
        match requester {
            MemoryRequester::PartialRequest(_) => self.rank == ShedRank::PartialRequest,
            MemoryRequester::CompleteRequest(own) => {
                self.rank == ShedRank::PartialRequest && self.id != own
            }
            MemoryRequester::Connection(own) => {
                self.rank != ShedRank::BlockedAnswer && self.id != own
            }
            MemoryRequester::Attempt => true,
        }
    }
}

/// Chooses the connections to shed; `being_freed` bytes are held by connections that are being shed already. A partial
/// request is refused where it is its own turn, so that clients that trickle their requests make room for others.
pub(crate) fn decide<'c>(
    connections: impl Iterator<Item = (ConnectionId, &'c Connection)>,
    being_freed: usize,
    demand: MemoryDemand,
    requester: MemoryRequester,
) -> MemoryDecision {
    if being_freed >= demand.needed {
        return MemoryDecision::Shed(Vec::new());
    }
    let mut candidates: Vec<_> = connections
        .filter_map(|(id, connection)| Candidate::new(id, connection))
        .filter(|candidate| candidate.may_be_shed_for(requester))
        .collect();
    candidates.sort_unstable();
    let (mut freed, mut shed) = (being_freed, Vec::new());
    for candidate in candidates {
        let wanted = match candidate.rank {
            ShedRank::PartialRequest => demand.needed + demand.reserve,
            ShedRank::Idle | ShedRank::BlockedAnswer => demand.needed,
        };
        if freed >= wanted || requester == MemoryRequester::PartialRequest(candidate.id) {
            break;
        }
        freed += candidate.memory;
        shed.push(candidate.id);
    }
    if freed >= demand.needed { MemoryDecision::Shed(shed) } else { MemoryDecision::Refuse }
}
