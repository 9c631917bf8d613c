//! A client that requests the status of a control machine, over the protocol of subscribers.

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

/// How long a control machine may take for one page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// The complete status of a control machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusReport {
    /// The totals, as they were at the last page.
    pub status: PublisherStatus,
    /// The progress of its log, and why it has closed connections.
    pub machine: MachineStatus,
    /// Its sessions, in the order of their ids.
    pub sessions: Vec<SessionStatus>,
    /// Its services, in the order of their names.
    pub services: Vec<ServiceVersion>,
}

/// Why the status can't be had.
#[derive(Debug, thiserror::Error)]
pub enum StatusError {
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// There was no response in time.
    #[error("no answer within {} s", PAGE_TIMEOUT.as_secs())]
    Timeout,
    /// The connection was closed without a response.
    #[error("closed without an answer; has it as many connections as it may have?")]
    Closed,
    /// The response is not a message of the protocol.
    #[error("{0}; is it a control machine?")]
    Malformed(#[from] CodecError),
    /// The response is another message than a status page.
    #[error("an answer that is no status; is it a control machine?")]
    Unexpected,
}

/// Requests the complete status.
///
/// # Errors
///
/// A [`StatusError`] if the control machine can't be reached or does not answer as one.
pub async fn fetch_status(address: SocketAddr) -> Result<StatusReport, StatusError> {
    let mut client = StatusClient::connect(address).await?;
    let page = client.page(StatusQuery::Machine).await?;
    let StatusRows::Machine(machine) = page.rows else {
        return Err(StatusError::Unexpected);
    };
    let sessions = client.sessions().await?;
    let (status, services) = client.services().await?;
    Ok(StatusReport { status, machine, sessions, services })
}

/// Requests the totals, without sessions and services.
///
/// # Errors
///
/// A [`StatusError`] if the control machine can't be reached or does not answer as one.
pub async fn fetch_status_totals(address: SocketAddr) -> Result<PublisherStatus, StatusError> {
    let mut client = StatusClient::connect(address).await?;
    let page = client.page(StatusQuery::Sessions { from: u64::MAX }).await?;
    Ok(page.status)
}

/// A connection that requests pages of the status.
struct StatusClient {
    stream: TcpStream,
    frames: FrameReader,
}

impl StatusClient {
    async fn connect(address: SocketAddr) -> Result<Self, StatusError> {
        let connecting = timeout(PAGE_TIMEOUT, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| StatusError::Timeout)??;
        Ok(Self { stream, frames: FrameReader::new() })
    }

    /// All sessions, page by page.
    async fn sessions(&mut self) -> Result<Vec<SessionStatus>, StatusError> {
        let mut sessions = Vec::new();
        let mut from = 0;
        loop {
            let page = self.page(StatusQuery::Sessions { from }).await?;
            let StatusRows::Sessions { sessions: rows, next } = page.rows else {
                return Err(StatusError::Unexpected);
            };
            sessions.extend(rows);
            match next {
                Some(next) if next > from => from = next,
                _ => return Ok(sessions),
            }
        }
    }

    /// All services, page by page, with the totals of the last page.
    async fn services(&mut self) -> Result<(PublisherStatus, Vec<ServiceVersion>), StatusError> {
        let mut services = Vec::new();
        let mut after = None;
        loop {
            let page = self.page(StatusQuery::Services { after: after.clone() }).await?;
            let StatusRows::Services { services: rows, next } = page.rows else {
                return Err(StatusError::Unexpected);
            };
            services.extend(rows);
            if next.is_none() || next <= after {
                return Ok((page.status, services));
            }
            after = next;
        }
    }

    async fn page(&mut self, query: StatusQuery) -> Result<StatusPage, StatusError> {
        let response = timeout(PAGE_TIMEOUT, self.request(query));
        response.await.map_err(|_| StatusError::Timeout)?
    }

    async fn request(&mut self, query: StatusQuery) -> Result<StatusPage, StatusError> {
        self.stream.write_all(&encode(&SubscriberMessage::StatusRequest(query))).await?;
        let mut buffer = vec![0; 16 << 10];
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
