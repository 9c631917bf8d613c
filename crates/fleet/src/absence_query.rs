//! Absence queries. An absence query is a datagram to a member's address, which the member's operating system answers
//! (ICMP, port unreachable) if no process holds the address.

use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use sableloom_membership::ABSENCE_QUERY;
use tokio::net::UdpSocket;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::timeout;

/// How long an absence query waits for the answer of the member's operating system.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// The maximum number of absence queries that wait for their answers at the same time. Each of them uses one file
/// descriptor.
pub const MAX_CONCURRENT_ABSENCE_QUERIES: usize = 32;
/// The maximum number of absence queries that wait to be sent. A query beyond this number is dropped, as the network
/// may drop it, and the member is queried again in its turn. Without this limit, waiting queries pile up when hundreds
/// of live members are queried, because live members do not answer and each query waits until it times out.
const MAX_WAITING_QUERIES: usize = 4 * MAX_CONCURRENT_ABSENCE_QUERIES;

/// Limits the absence queries that wait for their answers and those that wait to be sent.
pub(crate) struct QuerySlots {
    /// This semaphore has one permit for each query that may wait for its answer.
    in_flight: Semaphore,
    /// This semaphore has one permit for each query that may wait for its answer or wait to be sent.
    total: Semaphore,
}

/// The permits of a query that may be sent. They are returned when the slot is dropped.
pub(crate) struct QuerySlot<'a> {
    _in_flight: SemaphorePermit<'a>,
    _total: SemaphorePermit<'a>,
}

/// The error of a query that is not sent because the maximum number of queries are waiting.
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

    /// Waits until a query may be sent.
    ///
    /// # Errors
    ///
    /// [`TooManyQueries`] at once if [`MAX_WAITING_QUERIES`] queries already wait to be sent.
    pub(crate) async fn acquire(&self) -> Result<QuerySlot<'_>, TooManyQueries> {
        let total = self.total.try_acquire().map_err(|_| TooManyQueries)?;
        let in_flight = self.in_flight.acquire().await.map_err(|_| TooManyQueries)?;
        Ok(QuerySlot { _in_flight: in_flight, _total: total })
    }
}

/// Sends an absence query from a new port of the address `from`, calls `on_sent`, and returns whether the answer proves
/// that no process holds the address `to`. A timeout or any other error proves nothing.
pub(crate) async fn prove_absence(from: IpAddr, to: SocketAddr, on_sent: impl FnOnce()) -> bool {
    let query = async {
        let socket = UdpSocket::bind(SocketAddr::new(from, 0)).await?;
        // The operating system reports the ICMP answer to a connected socket only.
        socket.connect(to).await?;
        socket.send(&ABSENCE_QUERY).await?;
        on_sent();
        let mut buffer = [0; 1];
        socket.recv(&mut buffer).await
    };
    let answer: Result<io::Result<usize>, _> = timeout(ANSWER_TIMEOUT, query).await;
    matches!(answer, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
