//! A client that requests the status of a control machine over the protocol of subscribers.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use sableloom_distribution::{
    CodecError, FrameReader, MachineStatus, PublisherMessage, PublisherStatus, ServiceVersion,
    SessionStatus, StatusPage, StatusQuery, StatusRows, SubscriberMessage, encode,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout for connecting, and for the response to the request for one page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the buffer that responses are read into.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// The complete status of a control machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusReport {
    /// The totals at the time of the last page.
    pub status: PublisherStatus,
    /// The progress of reading the change log, and the numbers of sessions that were refused or closed, by reason.
    pub machine: MachineStatus,
    /// The sessions, in the order of their ids.
    pub sessions: Vec<SessionStatus>,
    /// The services, in the order of their names.
    pub services: Vec<ServiceVersion>,
}

/// Errors of [`fetch_status`] and [`fetch_status_totals`].
#[derive(Debug, thiserror::Error)]
pub enum StatusError {
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// Connecting took longer than the timeout, or there was no response within it.
    #[error("no response within {} s", PAGE_TIMEOUT.as_secs())]
    Timeout,
    /// The connection was closed without a response.
    #[error(
        "the connection was closed without a response; the control machine may have reached its \
         connection limit"
    )]
    Closed,
    /// The response is not a valid message of the protocol.
    #[error("{0}; the address may not be that of a control machine")]
    Malformed(#[from] CodecError),
    /// The response is another message than a status page.
    #[error(
        "the response is not the requested status page; the address may not be that of a control \
         machine"
    )]
    Unexpected,
}

/// Requests the complete status of the control machine at `address`.
///
/// # Errors
///
/// Returns a [`StatusError`] if the control machine can't be reached or its response is not a status page.
pub async fn fetch_status(address: SocketAddr) -> Result<StatusReport, StatusError> {
    let mut client = StatusClient::connect(address).await?;
    let page = client.fetch_page(StatusQuery::Machine).await?;
    let StatusRows::Machine(machine) = page.rows else {
        return Err(StatusError::Unexpected);
    };
    let sessions = client.fetch_sessions().await?;
    let (status, services) = client.fetch_services().await?;
    Ok(StatusReport { status, machine, sessions, services })
}

/// Requests the totals of the control machine at `address`, without sessions and services.
///
/// # Errors
///
/// Returns a [`StatusError`] if the control machine can't be reached or its response is not a status page.
pub async fn fetch_status_totals(address: SocketAddr) -> Result<PublisherStatus, StatusError> {
    let mut client = StatusClient::connect(address).await?;
    // Session ids do not reach u64::MAX, so the page holds the totals and no session.
    let page = client.fetch_page(StatusQuery::Sessions { from: u64::MAX }).await?;
    Ok(page.status)
}

/// A connection over which pages of the status are requested.
struct StatusClient {
    stream: TcpStream,
    frames: FrameReader,
}

impl StatusClient {
    async fn connect(address: SocketAddr) -> Result<Self, StatusError> {
        let connection = timeout(PAGE_TIMEOUT, TcpStream::connect(address));
        let stream = connection.await.map_err(|_| StatusError::Timeout)??;
        Ok(Self { stream, frames: FrameReader::new() })
    }

    /// Requests all sessions, page by page.
    async fn fetch_sessions(&mut self) -> Result<Vec<SessionStatus>, StatusError> {
        let mut sessions = Vec::new();
        let mut from = 0;
        loop {
            let page = self.fetch_page(StatusQuery::Sessions { from }).await?;
            let StatusRows::Sessions { sessions: rows, next } = page.rows else {
                return Err(StatusError::Unexpected);
            };
            sessions.extend(rows);
            // Each page must begin after the one before it; otherwise a faulty response could repeat the loop forever.
            match next {
                Some(next) if next > from => from = next,
                _ => return Ok(sessions),
            }
        }
    }

    /// Requests all services, page by page. Returns them with the totals of the last page.
    async fn fetch_services(
        &mut self,
    ) -> Result<(PublisherStatus, Vec<ServiceVersion>), StatusError> {
        let mut services = Vec::new();
        let mut after = None;
        loop {
            let page = self.fetch_page(StatusQuery::Services { after: after.clone() }).await?;
            let StatusRows::Services { services: rows, next } = page.rows else {
                return Err(StatusError::Unexpected);
            };
            services.extend(rows);
            // Each page must begin after the one before it; otherwise a faulty response could repeat the loop forever.
            if next.is_none() || next <= after {
                return Ok((page.status, services));
            }
            after = next;
        }
    }

    async fn fetch_page(&mut self, query: StatusQuery) -> Result<StatusPage, StatusError> {
        let response = timeout(PAGE_TIMEOUT, self.send_and_receive(query));
        response.await.map_err(|_| StatusError::Timeout)?
    }

    async fn send_and_receive(&mut self, query: StatusQuery) -> Result<StatusPage, StatusError> {
        self.stream.write_all(&encode(&SubscriberMessage::StatusRequest(query))).await?;
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        loop {
            match self.frames.next_message::<PublisherMessage>()? {
                Some(PublisherMessage::Status(page)) => return Ok(page),
                Some(_) => return Err(StatusError::Unexpected),
                None => {}
            }
            match self.stream.read(&mut buffer).await? {
                0 => return Err(StatusError::Closed),
                count => self.frames.push(&buffer[..count]),
            }
        }
    }
}
