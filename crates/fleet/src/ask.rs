//! An operator's question over the wire that members have: a page number, from the address that the site's
//! file names for it; and the answer, a page of the status in JSON. 256 bytes at most both ways.

use std::net::SocketAddr;
use std::time::Duration;

use sableloom_membership::MAX_DATAGRAM;
use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::status::Status;

/// The first byte of both, where members' datagrams have their version.
const ASK: u8 = 255;
/// Bytes before a page: what it is, its number, how many there are.
const HEAD: usize = 5;
/// How often a page is asked for,
const TRIES: usize = 5;
/// and how long each try waits.
const EACH: Duration = Duration::from_millis(400);

/// The page that a question asks for.
pub(crate) fn asked(question: &[u8]) -> Option<u16> {
    match question {
        [ASK, high, low] => Some(u16::from_be_bytes([*high, *low])),
        _ => None,
    }
}

/// A page of this text; `None` past its end.
pub(crate) fn answer(text: &[u8], page: u16) -> Option<Vec<u8>> {
    let mut pages = text.chunks(MAX_DATAGRAM - HEAD);
    let count = u16::try_from(pages.len()).ok()?;
    let part = pages.nth(usize::from(page))?;
    let mut answer = vec![ASK];
    answer.extend(page.to_be_bytes());
    answer.extend(count.to_be_bytes());
    answer.extend(part);
    Some(answer)
}

/// The page's number, how many there are, and what it holds.
fn read(answer: &[u8]) -> Option<(u16, u16, &[u8])> {
    let (head, part) = answer.split_at_checked(HEAD)?;
    let [ASK, a, b, c, d] = *head else { return None };
    Some((u16::from_be_bytes([a, b]), u16::from_be_bytes([c, d]), part))
}

/// The status of the member at this address, asked from the operator's.
pub async fn status_of(operator: SocketAddr, member: SocketAddr) -> Result<Status, String> {
    let io = |e: std::io::Error| format!("asking {member} from {operator}: {e}");
    let socket = UdpSocket::bind(operator).await.map_err(io)?;
    socket.connect(member).await.map_err(io)?;
    let (mut text, mut page, mut count) = (Vec::new(), 0u16, 1u16);
    while page < count {
        let (part, of) = one(&socket, page).await.map_err(|e| format!("{member}: {e}"))?;
        count = of;
        text.extend(part);
        page += 1;
    }
    serde_json::from_slice(&text).map_err(|e| format!("{member}: its answer: {e}"))
}

async fn one(socket: &UdpSocket, page: u16) -> Result<(Vec<u8>, u16), String> {
    let mut question = vec![ASK];
    question.extend(page.to_be_bytes());
    for _ in 0..TRIES {
        socket.send(&question).await.map_err(|e| e.to_string())?;
        let answered = async {
            let mut buffer = [0; MAX_DATAGRAM];
            loop {
                let n = socket.recv(&mut buffer).await.map_err(|e| e.to_string())?;
                // A late answer to an earlier try is one to this, or of another page.
                if let Some((_, count, part)) = read(&buffer[..n]).filter(|(p, ..)| *p == page) {
                    return Ok::<_, String>((part.to_vec(), count));
                }
            }
        };
        match timeout(EACH, answered).await {
            Ok(Ok(found)) => return Ok(found),
            Ok(Err(e)) => return Err(format!("no balancer of a fleet is there: {e}")),
            Err(_) => {}
        }
    }
    Err("no answer: it may be stopped or cut off, or its site names no such `fleet.operator`"
        .into())
}

#[cfg(test)]
mod tests;
