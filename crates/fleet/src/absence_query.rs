//! Absence queries: whether any process holds a member's address, as the member's operating system says (ICMP, port
//! unreachable).

use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use sableloom_membership::ABSENCE_QUERY;
use tokio::net::UdpSocket;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::timeout;

/// How long the answer may take. It comes from the member's operating system, if at all.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Absence queries that wait for their answers at once, each with a descriptor of its own.
pub const MAX_CONCURRENT_ABSENCE_QUERIES: usize = 32;
/// Queries that wait for one of those to end. One beyond that is lost, as by the network: it is repeated in its turn.
/// Without a bound they pile up where hundreds of members that live are queried, as none of those answers.
const MAX_WAITING_QUERIES: usize = 4 * MAX_CONCURRENT_ABSENCE_QUERIES;

/// The places of queries that are sent and of those that wait.
pub(crate) struct QuerySlots {
    in_flight: Semaphore,
    /// One for each that is sent or waits.
    total: Semaphore,
}

/// The place of a query that may be sent.
pub(crate) struct QuerySlot<'a> {
    _in_flight: SemaphorePermit<'a>,
    _total: SemaphorePermit<'a>,
}

/// No place is left, also to wait.
#[derive(Debug, thiserror::Error)]
#[error("too many absence queries are waiting")]
pub(crate) struct TooManyQueries;

impl QuerySlots {
    pub(crate) fn new() -> Self {
        Self {
            in_flight: Semaphore::new(MAX_CONCURRENT_ABSENCE_QUERIES),
            total: Semaphore::new(MAX_CONCURRENT_ABSENCE_QUERIES + MAX_WAITING_QUERIES),
        }
    }

    /// Waits until the query may be sent.
    pub(crate) async fn acquire(&self) -> Result<QuerySlot<'_>, TooManyQueries> {
        let total = self.total.try_acquire().map_err(|_| TooManyQueries)?;
        let in_flight = self.in_flight.acquire().await.map_err(|_| TooManyQueries)?;
        Ok(QuerySlot { _in_flight: in_flight, _total: total })
    }
}

/// Sends a query from a port of its own, calls `sent`, and returns whether the answer is that no process holds the
/// address. Silence, and any other error, says nothing.
pub(crate) async fn prove_absence(from: IpAddr, to: SocketAddr, on_sent: impl FnOnce()) -> bool {
    let query = async {
        let socket = UdpSocket::bind(SocketAddr::new(from, 0)).await?;
        // Only a connected socket receives the answer.
        socket.connect(to).await?;
        socket.send(&ABSENCE_QUERY).await?;
        on_sent();
        let mut buffer = [0; 1];
        socket.recv(&mut buffer).await
    };
    let answer: Result<io::Result<usize>, _> = timeout(ANSWER_TIMEOUT, query).await;
    matches!(answer, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
