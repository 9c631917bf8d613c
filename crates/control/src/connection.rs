//! Reads the messages of a subscriber from its connection, and writes the frames of its outbox.

use std::io::{self, IoSlice};
use std::time::Duration;

use arrayvec::ArrayVec;
use sableloom_distribution::{CodecError, FrameReader, SubscriberMessage};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::time::timeout;

use crate::outbox::{MAX_FRAMES_PER_WRITE, Outbox};

/// Size of the read buffer.
const READ_BUFFER_BYTES: usize = 4 << 10;
/// Timeout for writing the rest of the queue and waiting for the peer to close, after the session is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are read and discarded while waiting for the peer to close. The connection is closed
/// when the peer sends more.
const MAX_DISCARDED_BYTES: usize = 256 << 10;

/// Receives the events of a connection.
pub(crate) trait ConnectionHandler {
    /// A message was received.
    fn on_message(&self, message: SubscriberMessage);
    /// Bytes were received that are not a valid message; reading ends.
    fn on_malformed(&self, error: CodecError);
    /// This number of bytes was written.
    fn on_written(&self, bytes: usize);
}

/// Runs a connection until the peer closes it, it fails, or the publisher closes the session. If the publisher has
/// closed the session, the frames in the outbox are still written, for at most [`CLOSE_TIMEOUT`].
pub(crate) async fn run_connection(
    mut stream: TcpStream,
    outbox: &Outbox,
    handler: &dyn ConnectionHandler,
) {
    let _ = stream.set_nodelay(true);
    let (mut reader, mut writer) = stream.split();
    tokio::select! {
        _ = read_messages(&mut reader, outbox, handler) => {}
        _ = write_frames(&mut writer, outbox, handler) => {}
        () = outbox.wait_for_close() => {}
    }
    if outbox.close_reason().is_some() {
        let _ = timeout(CLOSE_TIMEOUT, flush_and_close(reader, writer, outbox)).await;
    }
}

/// Passes messages to the handler until the peer closes the connection, the session is closed, or a message is
/// malformed.
async fn read_messages(
    reader: &mut ReadHalf<'_>,
    outbox: &Outbox,
    handler: &dyn ConnectionHandler,
) -> io::Result<()> {
    let mut frames = FrameReader::new();
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let count = reader.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        frames.push(&buffer[..count]);
        loop {
            if outbox.close_reason().is_some() {
                return Ok(());
            }
            match frames.next_message() {
                Ok(Some(message)) => handler.on_message(message),
                Ok(None) => break,
                Err(error) => {
                    handler.on_malformed(error);
                    return Ok(());
                }
            }
        }
    }
}

/// Writes the frames of the outbox as they are queued, until the connection fails.
async fn write_frames(
    writer: &mut WriteHalf<'_>,
    outbox: &Outbox,
    handler: &dyn ConnectionHandler,
) -> io::Result<()> {
    loop {
        let count = write_queued_frames(writer, outbox).await?;
        match count {
            0 => outbox.wait_for_frame().await,
            _ => handler.on_written(count),
        }
    }
}

/// Writes as much of the first frames as the socket accepts. Returns the number of written bytes, which is 0 if no
/// frame is queued.
async fn write_queued_frames(writer: &mut WriteHalf<'_>, outbox: &Outbox) -> io::Result<usize> {
    let frames = outbox.first_frames();
    if frames.is_empty() {
        return Ok(0);
    }
    let slices: ArrayVec<IoSlice<'_>, MAX_FRAMES_PER_WRITE> =
        frames.iter().map(|frame| IoSlice::new(frame)).collect();
    let count = writer.write_vectored(&slices).await?;
    if count == 0 {
        return Err(io::ErrorKind::WriteZero.into());
    }
    outbox.remove_written(count);
    Ok(count)
}

/// Writes the queued frames, shuts down the sending side, and reads until the peer closes. If the socket were closed
/// with unread bytes, the connection would be reset before the peer has read why it was closed.
async fn flush_and_close(
    mut reader: ReadHalf<'_>,
    mut writer: WriteHalf<'_>,
    outbox: &Outbox,
) -> io::Result<()> {
    while write_queued_frames(&mut writer, outbox).await? > 0 {}
    writer.shutdown().await?;
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let mut discarded = 0;
    while discarded < MAX_DISCARDED_BYTES {
        match reader.read(&mut buffer).await? {
            0 => return Ok(()),
            count => discarded += count,
        }
    }
    Ok(())
}
