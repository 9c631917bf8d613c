//! One connection: bytes in, bytes out, and the queue between the publisher and the socket.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::time::Duration;

use arrayvec::ArrayVec;
use bytes::{Buf, Bytes};
use sableloom_distribution::{CloseReason, CodecError, FrameReader, SubscriberMessage};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Bytes read at once.
const READ_BYTES: usize = 4 << 10;
/// Frames handed to the socket at once.
const MAX_FRAMES_PER_WRITE: usize = 16;
/// How long the rest of the queue may take to be written once the session is closed, and the peer to end.
const LINGER: Duration = Duration::from_millis(500);
/// Most bytes that are read and thrown away while the peer ends.
const LINGER_BYTES: usize = 256 << 10;

/// What a connection tells the server of.
pub(crate) trait Session {
    /// A message has come.
    fn message(&self, message: SubscriberMessage);
    /// What came is no message.
    fn malformed(&self, error: CodecError);
    /// So many bytes have been written.
    fn written(&self, bytes: usize);
}

/// Frames that wait to be written to a connection. The publisher hands out no more than its bound of bytes that are
/// not written yet, answers included.
#[derive(Default)]
pub(crate) struct Outbox {
    /// The first one without what was written of it.
    frames: RefCell<VecDeque<Bytes>>,
    closed: Cell<Option<CloseReason>>,
    /// Frames came.
    filled: Notify,
    /// The session was closed.
    ended: Notify,
}

impl Outbox {
    /// Queues a frame.
    pub(crate) fn push(&self, frame: Vec<u8>) {
        self.frames.borrow_mut().push_back(frame.into());
        self.filled.notify_one();
    }

    /// The publisher has closed the session.
    pub(crate) fn close(&self, reason: CloseReason) {
        self.closed.set(Some(reason));
        self.ended.notify_one();
    }

    /// Why the publisher has closed the session, if it has.
    pub(crate) fn closed(&self) -> Option<CloseReason> {
        self.closed.get()
    }

    /// The first frames, as far as one write takes them.
    fn front(&self) -> ArrayVec<Bytes, MAX_FRAMES_PER_WRITE> {
        self.frames.borrow().iter().take(MAX_FRAMES_PER_WRITE).cloned().collect()
    }

    /// So many bytes have been written.
    fn advance(&self, mut count: usize) {
        let mut frames = self.frames.borrow_mut();
        while let Some(first) = frames.front_mut() {
            let taken = count.min(first.len());
            first.advance(taken);
            count -= taken;
            if !first.is_empty() {
                break;
            }
            frames.pop_front();
        }
    }
}

/// Carries a connection until either side ends it.
pub(crate) async fn carry(mut stream: TcpStream, outbox: &Outbox, session: &dyn Session) {
    let _ = stream.set_nodelay(true);
    let (mut reader, mut writer) = stream.split();
    tokio::select! {
        _ = read(&mut reader, outbox, session) => {}
        _ = write(&mut writer, outbox, session) => {}
        () = outbox.ended.notified() => {}
    }
    if outbox.closed().is_some() {
        let _ = timeout(LINGER, end(reader, writer, outbox)).await;
    }
}

async fn read(reader: &mut ReadHalf<'_>, outbox: &Outbox, session: &dyn Session) -> io::Result<()> {
    let mut frames = FrameReader::new();
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let count = reader.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        frames.push(&buffer[..count]);
        loop {
            if outbox.closed().is_some() {
                return Ok(());
            }
            match frames.next() {
                Ok(Some(message)) => session.message(message),
                Ok(None) => break,
                Err(error) => {
                    session.malformed(error);
                    return Ok(());
                }
            }
        }
    }
}

async fn write(
    writer: &mut WriteHalf<'_>,
    outbox: &Outbox,
    session: &dyn Session,
) -> io::Result<()> {
    loop {
        let count = write_front(writer, outbox).await?;
        match count {
            0 => outbox.filled.notified().await,
            _ => session.written(count),
        }
    }
}

/// Writes of the first frames what the socket takes; 0 if there is none.
async fn write_front(writer: &mut WriteHalf<'_>, outbox: &Outbox) -> io::Result<usize> {
    let frames = outbox.front();
    if frames.is_empty() {
        return Ok(0);
    }
    let slices: ArrayVec<IoSlice<'_>, MAX_FRAMES_PER_WRITE> =
        frames.iter().map(|frame| IoSlice::new(frame)).collect();
    let count = writer.write_vectored(&slices).await?;
    if count == 0 {
        return Err(io::ErrorKind::WriteZero.into());
    }
    outbox.advance(count);
    Ok(count)
}

/// Writes what is queued, and waits for the peer to end, so that its last unread bytes do not reset the
/// connection before it has read why it was closed.
async fn end(
    mut reader: ReadHalf<'_>,
    mut writer: WriteHalf<'_>,
    outbox: &Outbox,
) -> io::Result<()> {
    while write_front(&mut writer, outbox).await? > 0 {}
    writer.shutdown().await?;
    let mut buffer = vec![0; READ_BYTES];
    let mut total = 0;
    while total < LINGER_BYTES {
        match reader.read(&mut buffer).await? {
            0 => return Ok(()),
            count => total += count,
        }
    }
    Ok(())
}
