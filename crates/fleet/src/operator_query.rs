//! Operators' queries for the status of a member. A query is a datagram to the member's address, sent from the operator
//! address that the site's file names. It contains a page number, and the answer contains that page of the status in
//! JSON. Neither datagram is longer than 256 bytes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use sableloom_membership::MAX_DATAGRAM_BYTES;
use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::status::Status;

/// The first byte of a query and of its answer. Datagrams between members have the version of their format in its
/// place.
const OPERATOR_QUERY_MARKER: u8 = 255;
/// The length of the header of an answer in bytes: the marker, the page's number (two bytes) and the number of pages
/// (two bytes). The numbers are big-endian.
const PAGE_HEADER_BYTES: usize = 5;
/// How many times a page is requested before the query fails.
const MAX_ATTEMPTS: usize = 5;
/// How long each request for a page waits for the answer.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);

/// An error of [`query_status`].
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// The socket can't be bound to the operator's address, or not connected to the member's.
    #[error("querying {member} from the operator's address {operator}: {source}")]
    Socket {
        /// The member's address.
        member: SocketAddr,
        /// The operator's address.
        operator: SocketAddr,
        /// The error of the socket.
        source: io::Error,
    },
    /// A query could not be sent.
    #[error("sending a query to {member}: {source}")]
    Send {
        /// The member's address.
        member: SocketAddr,
        /// The error of the socket.
        source: io::Error,
    },
    /// The answer could not be received, usually because the member's operating system reported that no process holds
    /// the address.
    #[error("{member}: no balancer of a fleet is there: {source}")]
    NoMember {
        /// The member's address.
        member: SocketAddr,
        /// The error of the socket.
        source: io::Error,
    },
    /// The member at this address answered none of the queries in time.
    #[error(
        "{0}: no answer: the balancer may be suspended or unreachable, or `fleet.operator` of its site is another \
         address"
    )]
    NoAnswer(SocketAddr),
    /// The answer is not a valid status.
    #[error("{member}: the answer is not a valid status: {source}")]
    Malformed {
        /// The member's address.
        member: SocketAddr,
        /// What is wrong with the JSON.
        source: serde_json::Error,
    },
}

/// One page of the status, as an answer contains it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Page<'a> {
    number: u16,
    /// The total number of pages.
    page_count: u16,
    /// The bytes of the page, without the header.
    content: &'a [u8],
}

/// Returns the number of the page that a query requests; `None` if the datagram is not a query.
pub(crate) fn requested_page(query: &[u8]) -> Option<u16> {
    match query {
        [OPERATOR_QUERY_MARKER, high, low] => Some(u16::from_be_bytes([*high, *low])),
        _ => None,
    }
}

/// Returns the answer with a page of the text. Returns `None` if the text has no such page, or has more than 65,535
/// pages.
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

/// Returns the page in an answer; `None` if the datagram is not an answer.
fn decode_answer(answer: &[u8]) -> Option<Page<'_>> {
    let (header, content) = answer.split_at_checked(PAGE_HEADER_BYTES)?;
    let [OPERATOR_QUERY_MARKER, a, b, c, d] = *header else { return None };
    let (number, page_count) = (u16::from_be_bytes([a, b]), u16::from_be_bytes([c, d]));
    Some(Page { number, page_count, content })
}

/// Queries the status of the member at the address `member`. The queries are sent from the address `operator`, which
/// has to be the operator address of the member's site. Each page is requested up to 5 times, and each request waits
/// 400 ms.
///
/// # Errors
///
/// [`QueryError`] if the operator's address can't be bound, the member does not answer, or the answer is not a valid
/// status.
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

/// Queries a page and appends its content to `text`. Returns the total number of pages.
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
                // A late answer to an earlier request for the same page is accepted; one for another page is ignored.
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
