//! An operator's query over the members' own wire: a page number, from the address that the site's file names for it;
//! and the answer, a page of the status in JSON. 256 bytes at most both ways.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use sableloom_membership::MAX_DATAGRAM_BYTES;
use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::status::Status;

/// The first byte of query and answer, where members' datagrams have their version.
const OPERATOR_QUERY_MARKER: u8 = 255;
/// Bytes before a page: the first byte, the page's number, how many pages there are.
const PAGE_HEADER_BYTES: usize = 5;
/// How often a page is requested,
const MAX_ATTEMPTS: usize = 5;
/// and how long each attempt waits.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);

/// Why a member's status could not be read.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// The operator's address can't be used.
    #[error("asking {member} from {operator}: {source}")]
    Socket {
        /// The member.
        member: SocketAddr,
        /// The operator's address.
        operator: SocketAddr,
        /// The error of the socket.
        source: io::Error,
    },
    /// A query could not be sent.
    #[error("{member}: {source}")]
    Send {
        /// The member.
        member: SocketAddr,
        /// The error of the socket.
        source: io::Error,
    },
    /// The member's system says that no process holds the address.
    #[error("{member}: no balancer of a fleet is there: {source}")]
    NoMember {
        /// The member.
        member: SocketAddr,
        /// The error of the socket.
        source: io::Error,
    },
    /// Nothing answers.
    #[error(
        "{0}: no answer: it may be stopped or cut off, or its site names no such `fleet.operator`"
    )]
    NoAnswer(SocketAddr),
    /// The answer is no status.
    #[error("{member}: its answer: {source}")]
    Malformed {
        /// The member.
        member: SocketAddr,
        /// What is wrong with the JSON.
        source: serde_json::Error,
    },
}

/// One page of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Page<'a> {
    number: u16,
    /// How many pages there are.
    page_count: u16,
    content: &'a [u8],
}

/// The page that a query asks for.
pub(crate) fn requested_page(query: &[u8]) -> Option<u16> {
    match query {
        [OPERATOR_QUERY_MARKER, high, low] => Some(u16::from_be_bytes([*high, *low])),
        _ => None,
    }
}

/// The answer with a page of this text; `None` past its end.
pub(crate) fn encode_answer(text: &[u8], page: u16) -> Option<Vec<u8>> {
    let mut pages = text.chunks(MAX_DATAGRAM_BYTES - PAGE_HEADER_BYTES);
    let page_count = u16::try_from(pages.len()).ok()?;
    let content = pages.nth(usize::from(page))?;
    let mut answer = vec![OPERATOR_QUERY_MARKER];
    answer.extend(page.to_be_bytes());
    answer.extend(page_count.to_be_bytes());
    answer.extend(content);
    Some(answer)
}

/// The page of an answer.
fn decode_answer(answer: &[u8]) -> Option<Page<'_>> {
    let (header, content) = answer.split_at_checked(PAGE_HEADER_BYTES)?;
    let [OPERATOR_QUERY_MARKER, a, b, c, d] = *header else { return None };
    let (number, page_count) = (u16::from_be_bytes([a, b]), u16::from_be_bytes([c, d]));
    Some(Page { number, page_count, content })
}

/// Queries the status of the member at this address from the operator's.
///
/// # Errors
///
/// The cause if the operator's address can't be used, the member does not answer, or its answer is no status.
pub async fn query_status(operator: SocketAddr, member: SocketAddr) -> Result<Status, QueryError> {
    let socket_error = |source| QueryError::Socket { member, operator, source };
    let socket = UdpSocket::bind(operator).await.map_err(socket_error)?;
    socket.connect(member).await.map_err(socket_error)?;
    let (mut text, mut next_page, mut page_count) = (Vec::new(), 0u16, 1u16);
    while next_page < page_count {
        page_count = query_page(&socket, member, next_page, &mut text).await?;
        next_page += 1;
    }
    serde_json::from_slice(&text).map_err(|source| QueryError::Malformed { member, source })
}

/// Appends a page to the text. Returns how many pages there are.
async fn query_page(
    socket: &UdpSocket,
    member: SocketAddr,
    number: u16,
    text: &mut Vec<u8>,
) -> Result<u16, QueryError> {
    let mut query = vec![OPERATOR_QUERY_MARKER];
    query.extend(number.to_be_bytes());
    for _ in 0..MAX_ATTEMPTS {
        let sent = socket.send(&query).await;
        sent.map_err(|source| QueryError::Send { member, source })?;
        let receive_answer = async {
            let mut buffer = [0; MAX_DATAGRAM_BYTES];
            loop {
                let length = socket.recv(&mut buffer).await?;
                // A late answer to an earlier attempt is one to this, or of another page.
                let page = decode_answer(&buffer[..length]).filter(|page| page.number == number);
                if let Some(Page { page_count, content, .. }) = page {
                    text.extend(content);
                    return Ok(page_count);
                }
            }
        };
        match timeout(ATTEMPT_TIMEOUT, receive_answer).await {
            Ok(Ok(page_count)) => return Ok(page_count),
            Ok(Err(source)) => return Err(QueryError::NoMember { member, source }),
            Err(_) => {}
        }
    }
    Err(QueryError::NoAnswer(member))
}

#[cfg(test)]
mod tests;
