//! Asks a control machine for its status, over the protocol that subscribers speak.

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

/// All of a control machine's status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// What holds for all, as it was at the last page.
    pub status: PublisherStatus,
    /// How it gets on with its log, and why it has closed connections.
    pub machine: MachineStatus,
    /// Its sessions, in the order of their ids.
    pub sessions: Vec<SessionStatus>,
    /// Its services, in the order of their names.
    pub services: Vec<ServiceVersion>,
}

/// Why there is no status.
#[derive(Debug, thiserror::Error)]
pub enum StatusError {
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// No answer came in time.
    #[error("no answer within {} s", PAGE_TIMEOUT.as_secs())]
    Timeout,
    /// The connection was closed without an answer.
    #[error("closed without an answer; has it as many connections as it may have?")]
    Closed,
    /// The answer is no message.
    #[error("{0}; is it a control machine?")]
    Malformed(#[from] CodecError),
    /// The answer is another message.
    #[error("an answer that is no status; is it a control machine?")]
    Unexpected,
}

/// Asks for all of the status.
pub async fn fetch(address: SocketAddr) -> Result<Report, StatusError> {
    let mut client = Client::connect(address).await?;
    let page = client.page(StatusQuery::Machine).await?;
    let StatusRows::Machine(machine) = page.rows else {
        return Err(StatusError::Unexpected);
    };
    let mut sessions = Vec::new();
    let mut from = 0;
    loop {
        let page = client.page(StatusQuery::Sessions { from }).await?;
        let StatusRows::Sessions { sessions: rows, next } = page.rows else {
            return Err(StatusError::Unexpected);
        };
        sessions.extend(rows);
        match next {
            Some(next) if next > from => from = next,
            _ => break,
        }
    }
    let mut services = Vec::new();
    let mut after = None;
    loop {
        let page = client.page(StatusQuery::Services { after: after.clone() }).await?;
        let StatusRows::Services { services: rows, next } = page.rows else {
            return Err(StatusError::Unexpected);
        };
        services.extend(rows);
        if next.is_none() || next <= after {
            return Ok(Report { status: page.status, machine, sessions, services });
        }
        after = next;
    }
}

/// Asks for what holds for all, without sessions and services.
pub async fn fetch_summary(address: SocketAddr) -> Result<PublisherStatus, StatusError> {
    let mut client = Client::connect(address).await?;
    let page = client.page(StatusQuery::Sessions { from: u64::MAX }).await?;
    Ok(page.status)
}

struct Client {
    stream: TcpStream,
    frames: FrameReader,
}

impl Client {
    async fn connect(address: SocketAddr) -> Result<Self, StatusError> {
        let connecting = timeout(PAGE_TIMEOUT, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| StatusError::Timeout)??;
        Ok(Self { stream, frames: FrameReader::new() })
    }

    async fn page(&mut self, query: StatusQuery) -> Result<StatusPage, StatusError> {
        let asked = timeout(PAGE_TIMEOUT, self.ask(query));
        asked.await.map_err(|_| StatusError::Timeout)?
    }

    async fn ask(&mut self, query: StatusQuery) -> Result<StatusPage, StatusError> {
        self.stream.write_all(&encode(&SubscriberMessage::StatusRequest(query))).await?;
        let mut buffer = vec![0; 16 << 10];
        loop {
            match self.frames.next::<PublisherMessage>()? {
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
