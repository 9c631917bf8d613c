//! One poll of discovery over HTTP, on a connection that is kept.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::{Request, StatusCode, header};
use sableloom_discovery_schedule::PollTiming;
use sableloom_exchange::duration_of;
use sableloom_types::Span;
use thiserror::Error;
use tokio::time::{Instant, timeout, timeout_at};

use crate::connection::{ConnectError, Dial, DiscoveryConnection};
use crate::endpoint_list::EndpointList;

/// An answer that has begun must be complete within this many of the pauses that it may make.
const MAX_PAUSES_OF_ANSWER: u32 = 4;

/// What is asked of discovery, and how it is reached.
#[derive(Clone, Copy)]
pub(crate) struct Poll<'a> {
    pub(crate) dial: &'a Dial,
    pub(crate) address: SocketAddr,
    /// Asks for the changes after this revision, or else for the full list.
    pub(crate) after_revision: Option<u64>,
    /// How long discovery is to wait for a change.
    pub(crate) wait: Option<Span>,
    /// After this, without a byte of an answer, the poll is silent.
    pub(crate) deadline: Instant,
    pub(crate) timing: &'a PollTiming,
    /// The most bytes of the answer.
    pub(crate) max_answer_bytes: usize,
}

/// A list, and the connection that it came on, which can be used again.
pub(crate) struct PollAnswer {
    pub(crate) list: EndpointList,
    pub(crate) connection: DiscoveryConnection,
}

/// A poll that brought no list.
pub(crate) enum PollFailure {
    /// No byte of an answer came by the deadline.
    Silent {
        /// How long discovery was asked to wait for a change.
        wait: Option<Span>,
    },
    /// It failed; what came of the answer by then may name servers that leave.
    Failed { error: PollError, received: Bytes },
}

/// Why a poll failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum PollError {
    #[error(transparent)]
    Connect(#[from] ConnectError),
    #[error("its address makes no HTTP request")]
    InvalidRequest,
    #[error("the connection was lost")]
    ConnectionLost,
    #[error("it rejected the poll")]
    Rejected,
    #[error("the answer stalled")]
    AnswerStalled,
    #[error("the answer was cut off")]
    AnswerCutOff,
    #[error("the answer is too long")]
    AnswerTooLong,
    #[error("the answer is no endpoint list")]
    NoList,
}

enum FetchError {
    Silent,
    Failed(PollError),
}

impl From<PollError> for FetchError {
    fn from(error: PollError) -> Self {
        Self::Failed(error)
    }
}

impl Poll<'_> {
    /// Polls, on the kept connection if it was not closed since.
    pub(crate) async fn run(
        &self,
        kept: Option<DiscoveryConnection>,
    ) -> Result<PollAnswer, PollFailure> {
        let mut received = BytesMut::new();
        match self.fetch(kept, &mut received).await {
            Err(FetchError::Silent) => Err(PollFailure::Silent { wait: self.wait }),
            Err(FetchError::Failed(error)) => {
                Err(PollFailure::Failed { error, received: received.freeze() })
            }
            Ok(connection) => match serde_json::from_slice::<EndpointList>(&received) {
                Ok(list) if list.is_list() => Ok(PollAnswer { list, connection }),
                _ => {
                    let (error, received) = (PollError::NoList, received.freeze());
                    Err(PollFailure::Failed { error, received })
                }
            },
        }
    }

    /// Sends the request, and reads the answer into `received`.
    async fn fetch(
        &self,
        kept: Option<DiscoveryConnection>,
        received: &mut BytesMut,
    ) -> Result<DiscoveryConnection, FetchError> {
        let mut connection = match kept.filter(|kept| kept.sender.is_ready()) {
            Some(kept) => kept,
            None => self.connect().await.map_err(PollError::Connect)?,
        };
        let answer = connection.sender.send_request(self.request()?);
        let answer = timeout_at(self.deadline, answer).await.map_err(|_| FetchError::Silent)?;
        let mut answer = answer.map_err(|_| PollError::ConnectionLost)?;
        if answer.status() != StatusCode::OK {
            return Err(PollError::Rejected.into());
        }
        // Once discovery answers it has the complete answer: a stall inside it must not hide a drain in what came.
        let pause = duration_of(self.timing.read_timeout);
        let end = Instant::now() + pause * MAX_PAUSES_OF_ANSWER;
        loop {
            let frame = timeout_at(end, timeout(pause, answer.body_mut().frame())).await;
            let Ok(Ok(frame)) = frame else { return Err(PollError::AnswerStalled.into()) };
            let Some(frame) = frame else { return Ok(connection) };
            let frame = frame.map_err(|_| PollError::AnswerCutOff)?;
            if let Ok(data) = frame.into_data() {
                if received.len() + data.len() > self.max_answer_bytes {
                    return Err(PollError::AnswerTooLong.into());
                }
                received.extend_from_slice(&data);
            }
        }
    }

    async fn connect(&self) -> Result<DiscoveryConnection, ConnectError> {
        let connect_timeout = duration_of(self.timing.connect_timeout);
        DiscoveryConnection::open(self.dial, self.address, connect_timeout).await
    }

    fn request(&self) -> Result<Request<Empty<Bytes>>, PollError> {
        let path = match (self.after_revision, self.wait) {
            (Some(revision), Some(wait)) => {
                format!("/discovery/hosts?after={revision}&wait_ms={}", (wait.0 / 1000).max(1))
            }
            _ => "/discovery/hosts".to_string(),
        };
        let request = Request::get(path).header(header::HOST, self.address.to_string());
        request.body(Empty::new()).map_err(|_| PollError::InvalidRequest)
    }
}
