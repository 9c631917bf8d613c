//! Tracked streams between real sockets.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Weak;
use std::sync::Arc;

use bytes::Bytes;
use sableloom_exchange::{DispatchAddress, Fields, Message};
use sableloom_types::{Idempotency, ServerId};
use tokio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use super::*;
use crate::hyper_io::HyperIo;

/// A stream, hyper's side of it, and its peer.
async fn pair() -> (Rc<TrackedStream>, HyperIo<impl Fn(&[u8])>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    let tcp = TcpStream::connect(at).await.expect("a connection");
    let (peer, _) = listener.accept().await.expect("a peer");
    let permit = Arc::new(Semaphore::new(1)).try_acquire_owned().expect("a permit");
    let stream = TrackedStream::new(tcp, Some(permit));
    (stream.clone(), HyperIo { stream, observer: |_: &[u8]| {} }, peer)
}

async fn all_bytes_of(mut peer: TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    peer.read_to_end(&mut bytes).await.expect("an end without a reset");
    bytes
}

/// An attempt, and all that can end its permission to send.
struct Attempt {
    context: Rc<AttemptContext>,
    request_finished: Rc<Cell<bool>>,
    dispatch_address: DispatchAddress,
}

const ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 9);

fn attempt(client: Option<&Rc<TrackedStream>>, complete_before: Option<Instant>) -> Attempt {
    let message = Message {
        id: Bytes::new(),
        idempotency: Idempotency::NonIdempotent,
        method: Bytes::new(),
        target: Bytes::new(),
        fields: Fields::default(),
        body: Bytes::new(),
        attachment: None,
        client: client.map(|client| Rc::<TrackedStream>::downgrade(client) as Weak<dyn Client>),
    };
    let request_finished = Rc::new(Cell::new(false));
    let dispatch_address = DispatchAddress::default();
    dispatch_address.set(Some(SocketAddr::from(ADDRESS)));
    let deadline = Instant::now() + Duration::from_secs(60);
    let context = AttemptContext::new(
        Rc::new(message),
        ServerId(0),
        &dispatch_address,
        deadline,
        request_finished.clone(),
    );
    let context = Rc::new(context.expect("it is live").complete_before(complete_before));
    Attempt { context, request_finished, dispatch_address }
}

#[tokio::test(flavor = "current_thread")]
async fn no_byte_of_a_request_is_written_once_it_is_finished() {
    let (stream, mut io, peer) = pair().await;
    let Attempt { context, request_finished, .. } = attempt(None, None);
    stream.begin_request(10, None, Some(&context));
    io.write_all(b"12345").await.expect("the first half is written");
    request_finished.set(true);
    let error = io.write_all(b"67890").await.expect_err("the second half is not");
    assert_eq!(error.kind(), io::ErrorKind::ConnectionAborted);
    assert!(!stream.fully_written());
    stream.shut_down();
    assert_eq!(all_bytes_of(peer).await, b"12345");
}

#[tokio::test(flavor = "current_thread")]
async fn the_last_byte_is_held_back_and_not_sent_if_the_request_is_finished_by_then() {
    let (stream, mut io, peer) = pair().await;
    let Attempt { context, request_finished, .. } = attempt(None, None);
    stream.begin_request(5, Some(Duration::from_millis(1)), Some(&context));
    let n = io.write(b"12345").await.expect("all but the last are written");
    assert_eq!(n, 4);
    request_finished.set(true);
    io.write_all(b"5").await.expect_err("the last is not written");
    stream.shut_down();
    assert_eq!(all_bytes_of(peer).await, b"1234");
}

#[tokio::test(flavor = "current_thread")]
async fn a_request_that_is_finished_once_it_is_fully_written_is_no_error() {
    let (stream, mut io, peer) = pair().await;
    let Attempt { context, request_finished, .. } = attempt(None, None);
    stream.begin_request(5, Some(Duration::from_millis(1)), Some(&context));
    io.write_all(b"12345").await.expect("it is written");
    assert!(stream.fully_written());
    request_finished.set(true);
    io.write_all(b"").await.expect("there is nothing left to write");
    stream.shut_down();
    assert_eq!(all_bytes_of(peer).await, b"12345");
}

/// The server closes the connection while the last byte is held back, and the hold has ended by the time that the write
/// is polled: the last byte must not be written all the same.
#[tokio::test(flavor = "current_thread")]
async fn the_last_byte_is_not_sent_to_a_peer_that_has_closed_meanwhile() {
    for reset in [false, true] {
        let (stream, mut io, mut peer) = pair().await;
        let Attempt { context, .. } = attempt(None, None);
        stream.begin_request(5, Some(Duration::from_millis(1)), Some(&context));
        assert_eq!(io.write(b"12345").await.expect("all but the last are written"), 4);
        peer.read_exact(&mut [0; 4]).await.expect("they came");
        if reset {
            SockRef::from(&peer).set_linger(Some(Duration::ZERO)).expect("linger");
        }
        drop(peer);
        while stream.is_quiet() {
            let _ = stream.tcp.readable().await;
        }
        let error = io.write_all(b"5").await.expect_err("the last is not written");
        assert_eq!(error.kind(), io::ErrorKind::ConnectionAborted);
        assert!(!stream.fully_written(), "it provably was not executed");
    }
}

/// An answer to the request before comes while the last byte is held back, and is read before the hold ends: then the
/// socket is quiet again.
#[tokio::test(flavor = "current_thread")]
async fn the_last_byte_is_not_sent_behind_a_duplicate_answer_that_was_read() {
    let (stream, mut io, mut peer) = pair().await;
    let Attempt { context, .. } = attempt(None, None);
    stream.begin_request(5, Some(Duration::from_millis(1)), Some(&context));
    assert_eq!(io.write(b"12345").await.expect("all but the last are written"), 4);
    peer.write_all(b"HTTP/1.1 200 OK").await.expect("it is written");
    assert_eq!(io.read(&mut [0; 64]).await.expect("it came"), 15);
    assert!(stream.is_quiet() && stream.request().holds_last_byte());
    io.write_all(b"5").await.expect_err("the last is not written");
    stream.shut_down();
    assert_eq!(all_bytes_of(peer).await, b"1234");
}

#[tokio::test(flavor = "current_thread")]
async fn no_first_byte_is_sent_to_a_server_that_has_left_or_moved_since() {
    for changed in [None, Some(SocketAddr::from(([127, 0, 0, 1], 10)))] {
        let (stream, mut io, peer) = pair().await;
        let Attempt { context, dispatch_address, .. } = attempt(None, None);
        stream.begin_request(5, None, Some(&context));
        dispatch_address.set(changed);
        io.write_all(b"12345").await.expect_err("it is not written");
        assert!(!stream.request().has_started());
        stream.shut_down();
        assert_eq!(all_bytes_of(peer).await, b"");
    }
    // A request that has started is completed: it counts from its first byte.
    let (stream, mut io, peer) = pair().await;
    let Attempt { context, dispatch_address, .. } = attempt(None, None);
    stream.begin_request(5, None, Some(&context));
    io.write_all(b"123").await.expect("it starts");
    dispatch_address.set(None);
    io.write_all(b"45").await.expect("it is completed");
    stream.shut_down();
    assert_eq!(all_bytes_of(peer).await, b"12345");
}

#[tokio::test(flavor = "current_thread")]
async fn no_last_byte_is_sent_once_the_deduplication_window_has_ended() {
    let (stream, mut io, peer) = pair().await;
    tokio::time::pause();
    let window_end = Instant::now() + Duration::from_millis(50);
    let Attempt { context, .. } = attempt(None, Some(window_end));
    stream.begin_request(5, None, Some(&context));
    io.write_all(b"1234").await.expect("it starts in time");
    tokio::time::advance(Duration::from_millis(50)).await;
    io.write_all(b"5").await.expect_err("the last is not written");
    assert!(!stream.fully_written());
    stream.shut_down();
    tokio::time::resume();
    assert_eq!(all_bytes_of(peer).await, b"1234");
}

/// However much a client has sent behind its request, and however it disconnects.
#[tokio::test(flavor = "current_thread")]
async fn no_first_byte_is_sent_for_a_client_that_has_disconnected() {
    for (behind, reset) in
        [(0, false), (0, true), (1, false), (1, true), (MAX_READ_AHEAD_BYTES + 1, false)]
    {
        let (waiting, _waiting_io, mut client) = pair().await;
        let (stream, mut io, peer) = pair().await;
        let Attempt { context, .. } = attempt(Some(&waiting), None);
        client.write_all(&vec![b'x'; behind]).await.expect("it is read");
        assert!(context.may_send_first_byte(), "the client is connected");
        match reset {
            true => SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("linger"),
            false => client.shutdown().await.expect("half a close"),
        }
        drop(client);
        // The system reports it without a read.
        while !waiting.tcp.ready(Interest::READABLE).await.expect("it is open").is_read_closed() {
            tokio::task::yield_now().await;
        }
        stream.begin_request(5, None, Some(&context));
        io.write_all(b"12345").await.expect_err("it is not written");
        stream.shut_down();
        assert_eq!(all_bytes_of(peer).await, b"", "{behind} bytes behind, reset: {reset}");
    }
    // A connection that is dropped has no client.
    let (waiting, waiting_io, _client) = pair().await;
    let Attempt { context, .. } = attempt(Some(&waiting), None);
    drop((waiting, waiting_io));
    assert!(!context.may_send_first_byte());
}

#[tokio::test(flavor = "current_thread")]
async fn bytes_read_ahead_are_read_in_their_order() {
    let (stream, mut io, mut client) = pair().await;
    client.write_all(b"abc").await.expect("it is written");
    stream.tcp.readable().await.expect("it came");
    assert!(!stream.is_gone());
    client.write_all(b"def").await.expect("it is written");
    assert!(stream.has_input(), "what was read ahead counts as input");
    let mut read = [0; 6];
    io.read_exact(&mut read[..2]).await.expect("bytes");
    io.read_exact(&mut read[2..]).await.expect("bytes");
    assert_eq!(&read, b"abcdef");
    assert!(!stream.has_input());
}

/// A client that accepts its answer a few bytes at a time has output pending all the while, and one that has accepted all
/// of it has none, however long that took.
#[tokio::test(flavor = "current_thread")]
async fn a_peer_that_accepts_a_few_bytes_at_a_time_has_output_pending_until_it_has_accepted_all() {
    let (stream, mut io, mut peer) = pair().await;
    SockRef::from(&stream.tcp).set_send_buffer_size(4 << 10).expect("a buffer");
    SockRef::from(&peer).set_recv_buffer_size(4 << 10).expect("a buffer");
    tokio::time::pause();
    let second = Duration::from_secs(1);
    let answer = vec![7; 256 << 10];
    let mut written = 0;
    let (mut accepted, mut parts) = (0, 0);
    let mut buffer = [0; 8 << 10];
    // As much as can be written at once; the rest in turns.
    let write = |io: &mut HyperIo<_>, written: &mut usize| loop {
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
    assert!(
        written < answer.len() && !stream.has_output_pending_for(Duration::ZERO),
        "since this moment"
    );
    while written < answer.len() {
        tokio::time::advance(second).await;
        accepted += peer.read(&mut buffer).await.expect("bytes");
        // The system reports that there is room only once there is some.
        tokio::task::yield_now().await;
        let before = written;
        write(&mut io, &mut written);
        parts += usize::from(written > before && written < answer.len());
        assert!(
            written == answer.len() || stream.has_output_pending_for(second / 2),
            "{before} to {written}"
        );
    }
    assert!(!stream.has_output_pending_for(Duration::ZERO), "all is written");
    assert!(accepted < answer.len() && parts > 1, "{accepted} bytes, {parts} parts");
}

/// Guards against a deadline that starts only when there is memory to read a request: its last byte had arrived before.
#[tokio::test(flavor = "current_thread")]
async fn bytes_that_waited_for_memory_count_as_arrived_when_the_wait_began_at_the_latest() {
    let (stream, mut io, mut peer) = pair().await;
    stream.defer_reads();
    peer.write_all(&[b'x'; 3 * MAX_READ_BYTES]).await.expect("it is sent");
    while !stream.has_input() {
        tokio::task::yield_now().await;
    }
    let waited = Instant::now();
    stream.defer_reads();
    let mut bytes = vec![0; 3 * MAX_READ_BYTES];
    io.read_exact(&mut bytes).await.expect("it is read");
    assert!(stream.last_read_at() <= waited, "the time of the first of many reads counts for all");
    // What comes behind it waits for nothing.
    stream.end_deferral();
    peer.write_all(b"y").await.expect("it is sent");
    io.read_exact(&mut bytes[..1]).await.expect("it is read");
    assert!(stream.last_read_at() > waited);
}
