//! A wire between two real sockets.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use sableloom_exchange::{DispatchAddress, Fields, Message};
use sableloom_types::{Idempotency, ServerId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use super::*;

/// A wire, hyper's handle on it, and its peer.
async fn pair() -> (Rc<Wire>, Io<impl Fn(&[u8])>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(at).await.expect("a connection");
    let (peer, _) = listener.accept().await.expect("a peer");
    let slot = Arc::new(Semaphore::new(1)).try_acquire_owned().expect("a slot");
    let wire = Wire::new(stream, Some(slot));
    (wire.clone(), Io { wire, on_read: |_: &[u8]| {} }, peer)
}

async fn all_that_came(mut peer: TcpStream) -> Vec<u8> {
    let mut came = Vec::new();
    peer.read_to_end(&mut came).await.expect("an end without a reset");
    came
}

/// An attempt, and all that can end it.
struct Attempt {
    call: Rc<AttemptContext>,
    over: Rc<Cell<bool>>,
    place: DispatchAddress,
}

const AT: ([u8; 4], u16) = ([127, 0, 0, 1], 9);

fn attempt(client: Option<&Rc<Wire>>, complete_before: Option<Instant>) -> Attempt {
    let message = Message {
        id: Bytes::new(),
        idempotency: Idempotency::NonIdempotent,
        method: Bytes::new(),
        target: Bytes::new(),
        fields: Fields::default(),
        body: Bytes::new(),
        attachment: None,
        client: client.map(|wire| Rc::<Wire>::downgrade(wire) as std::rc::Weak<dyn Client>),
    };
    let (over, place) = (Rc::new(Cell::new(false)), DispatchAddress::default());
    place.set(Some(SocketAddr::from(AT)));
    let until = Instant::now() + Duration::from_secs(60);
    let call = AttemptContext::new(Rc::new(message), ServerId(0), &place, until, over.clone());
    let call = Rc::new(call.expect("it is live").complete_before(complete_before));
    Attempt { call, over, place }
}

#[tokio::test(flavor = "current_thread")]
async fn nothing_more_of_a_request_leaves_once_it_is_over() {
    let (wire, mut io, peer) = pair().await;
    let Attempt { call, over, .. } = attempt(None, None);
    wire.begin(10, None, Some(&call));
    io.write_all(b"12345").await.expect("the first half leaves");
    over.set(true);
    let refused = io.write_all(b"67890").await.expect_err("the second half stays");
    assert_eq!(refused.kind(), io::ErrorKind::ConnectionAborted);
    assert!(!wire.fully_written());
    wire.cut();
    assert_eq!(all_that_came(peer).await, b"12345");
}

#[tokio::test(flavor = "current_thread")]
async fn the_last_byte_is_kept_back_and_not_sent_if_the_request_is_over_by_then() {
    let (wire, mut io, peer) = pair().await;
    let Attempt { call, over, .. } = attempt(None, None);
    wire.begin(5, Some(Duration::from_millis(1)), Some(&call));
    let n = io.write(b"12345").await.expect("all but the last leave");
    assert_eq!(n, 4);
    over.set(true);
    io.write_all(b"5").await.expect_err("the last stays");
    wire.cut();
    assert_eq!(all_that_came(peer).await, b"1234");
}

#[tokio::test(flavor = "current_thread")]
async fn what_is_over_once_it_has_left_whole_is_no_error() {
    let (wire, mut io, peer) = pair().await;
    let Attempt { call, over, .. } = attempt(None, None);
    wire.begin(5, Some(Duration::from_millis(1)), Some(&call));
    io.write_all(b"12345").await.expect("it leaves");
    assert!(wire.fully_written());
    over.set(true);
    io.write_all(b"").await.expect("nothing is left to refuse");
    wire.cut();
    assert_eq!(all_that_came(peer).await, b"12345");
}

/// The server ends the connection while the last byte is kept back. The timer is over by the time that
/// anybody looks: the last byte must stay all the same.
#[tokio::test(flavor = "current_thread")]
async fn the_last_byte_is_not_sent_to_a_peer_that_has_ended_meanwhile() {
    for reset in [false, true] {
        let (wire, mut io, mut peer) = pair().await;
        let Attempt { call, .. } = attempt(None, None);
        wire.begin(5, Some(Duration::from_millis(1)), Some(&call));
        assert_eq!(io.write(b"12345").await.expect("all but the last leave"), 4);
        peer.read_exact(&mut [0; 4]).await.expect("they came");
        if reset {
            SockRef::from(&peer).set_linger(Some(Duration::ZERO)).expect("linger");
        }
        drop(peer);
        while wire.is_quiet() {
            let _ = wire.stream.readable().await;
        }
        let refused = io.write_all(b"5").await.expect_err("the last stays");
        assert_eq!(refused.kind(), io::ErrorKind::ConnectionAborted);
        assert!(!wire.fully_written(), "it provably never ran");
    }
}

/// An answer to the request before comes while the last byte is kept back, and is read before the hold is over: then
/// nothing is there any more for the look at the socket.
#[tokio::test(flavor = "current_thread")]
async fn the_last_byte_is_not_sent_behind_an_answer_that_was_read_already() {
    let (wire, mut io, mut peer) = pair().await;
    let Attempt { call, .. } = attempt(None, None);
    wire.begin(5, Some(Duration::from_millis(1)), Some(&call));
    assert_eq!(io.write(b"12345").await.expect("all but the last leave"), 4);
    peer.write_all(b"HTTP/1.1 200 OK").await.expect("it leaves");
    assert_eq!(io.read(&mut [0; 64]).await.expect("it came"), 15);
    assert!(wire.is_quiet() && wire.keeps_last_byte());
    io.write_all(b"5").await.expect_err("the last stays");
    wire.cut();
    assert_eq!(all_that_came(peer).await, b"1234");
}

#[tokio::test(flavor = "current_thread")]
async fn no_first_byte_leaves_for_a_server_that_has_left_or_moved_since() {
    for moved in [None, Some(SocketAddr::from(([127, 0, 0, 1], 10)))] {
        let (wire, mut io, peer) = pair().await;
        let Attempt { call, place, .. } = attempt(None, None);
        wire.begin(5, None, Some(&call));
        place.set(moved);
        io.write_all(b"12345").await.expect_err("it stays");
        assert!(!wire.has_begun());
        wire.cut();
        assert_eq!(all_that_came(peer).await, b"");
    }
    // What has begun goes on: it counts from its first byte.
    let (wire, mut io, peer) = pair().await;
    let Attempt { call, place, .. } = attempt(None, None);
    wire.begin(5, None, Some(&call));
    io.write_all(b"123").await.expect("it begins");
    place.set(None);
    io.write_all(b"45").await.expect("it goes on");
    wire.cut();
    assert_eq!(all_that_came(peer).await, b"12345");
}

#[tokio::test(flavor = "current_thread")]
async fn no_last_byte_leaves_once_its_server_may_not_know_it_for_a_repeat() {
    let (wire, mut io, peer) = pair().await;
    tokio::time::pause();
    let by = Instant::now() + Duration::from_millis(50);
    let Attempt { call, .. } = attempt(None, Some(by));
    wire.begin(5, None, Some(&call));
    io.write_all(b"1234").await.expect("it begins in time");
    tokio::time::advance(Duration::from_millis(50)).await;
    io.write_all(b"5").await.expect_err("the last stays");
    assert!(!wire.fully_written());
    wire.cut();
    tokio::time::resume();
    assert_eq!(all_that_came(peer).await, b"1234");
}

/// However much a client has sent behind its request, and however it ends.
#[tokio::test(flavor = "current_thread")]
async fn no_first_byte_leaves_for_a_client_that_has_gone() {
    for (behind, reset) in [(0, false), (0, true), (1, false), (1, true), (AHEAD_MAX + 1, false)] {
        let (waits, _waits_io, mut client) = pair().await;
        let (wire, mut io, peer) = pair().await;
        let Attempt { call, .. } = attempt(Some(&waits), None);
        client.write_all(&vec![b'x'; behind]).await.expect("it is taken in");
        assert!(call.may_send_first_byte(), "it waits");
        match reset {
            true => SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("linger"),
            false => client.shutdown().await.expect("half a close is one"),
        }
        drop(client);
        // The system tells of it without anybody having read.
        while !waits.stream.ready(Interest::READABLE).await.expect("it is open").is_read_closed() {
            tokio::task::yield_now().await;
        }
        wire.begin(5, None, Some(&call));
        io.write_all(b"12345").await.expect_err("it stays");
        wire.cut();
        assert_eq!(all_that_came(peer).await, b"", "{behind} bytes behind, reset: {reset}");
    }
    // A connection that is not there any more has no client.
    let (waits, waits_io, _client) = pair().await;
    let Attempt { call, .. } = attempt(Some(&waits), None);
    drop((waits, waits_io));
    assert!(!call.may_send_first_byte());
}

#[tokio::test(flavor = "current_thread")]
async fn bytes_taken_in_while_looking_for_the_end_are_read_in_their_turn() {
    let (wire, mut io, mut client) = pair().await;
    client.write_all(b"abc").await.expect("it leaves");
    wire.stream.readable().await.expect("it came");
    assert!(!wire.is_gone());
    client.write_all(b"def").await.expect("it leaves");
    assert!(wire.has_input(), "nothing of it is lost from sight");
    let mut came = [0; 6];
    io.read_exact(&mut came[..2]).await.expect("bytes");
    io.read_exact(&mut came[2..]).await.expect("bytes");
    assert_eq!(&came, b"abcdef");
    assert!(!wire.has_input());
}

/// A client that takes its answer a few bytes at a time is seen to owe all the while, and one that has taken
/// it all is not, however long that took.
#[tokio::test(flavor = "current_thread")]
async fn a_peer_that_takes_little_at_a_time_owes_until_it_has_taken_all() {
    let (wire, mut io, mut peer) = pair().await;
    SockRef::from(&wire.stream).set_send_buffer_size(4 << 10).expect("a buffer");
    SockRef::from(&peer).set_recv_buffer_size(4 << 10).expect("a buffer");
    tokio::time::pause();
    let second = Duration::from_secs(1);
    let answer = vec![7; 256 << 10];
    let mut written = 0;
    let (mut taken, mut parts) = (0, 0);
    let mut buffer = [0; 8 << 10];
    // As much as goes at once; the rest in turns.
    let write = |io: &mut Io<_>, written: &mut usize| loop {
        let mut cx = Context::from_waker(Waker::noop());
        match Pin::new(&mut *io).poll_write(&mut cx, &answer[*written..]) {
            Poll::Ready(n) => *written += n.expect("it is open"),
            Poll::Pending => return,
        }
        if *written == answer.len() {
            return;
        }
    };
    write(&mut io, &mut written);
    assert!(written < answer.len() && !wire.owes_for(Duration::ZERO), "since this moment");
    while written < answer.len() {
        tokio::time::advance(second).await;
        taken += peer.read(&mut buffer).await.expect("bytes");
        // The system says that there is room only once there is some.
        tokio::task::yield_now().await;
        let before = written;
        write(&mut io, &mut written);
        parts += usize::from(written > before && written < answer.len());
        assert!(written == answer.len() || wire.owes_for(second / 2), "{before} to {written}");
    }
    assert!(!wire.owes_for(Duration::ZERO), "all has left");
    assert!(taken < answer.len() && parts > 1, "{taken} bytes, {parts} parts");
}
