//! One connection of a subscriber: messages in, frames out.

use std::io::{self, IoSlice};
use std::time::Duration;

use arrayvec::ArrayVec;
use sableloom_distribution::{CodecError, FrameReader, SubscriberMessage};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::time::timeout;

use crate::outbox::{MAX_FRAMES_PER_WRITE, Outbox};

/// Bytes read at once.
const READ_BUFFER_BYTES: usize = 4 << 10;
/// How long writing the rest of the queue and waiting for the peer to close may take once the session is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Most bytes that are read and dropped while the peer closes.
const MAX_DISCARDED_BYTES: usize = 256 << 10;

/// Receives the events of a connection.
pub(crate) trait ConnectionHandler {
    /// A message was received.
    fn on_message(&self, message: SubscriberMessage);
    /// Bytes were received that are no message.
    fn on_malformed(&self, error: CodecError);
    /// So many bytes have been written.
    fn on_written(&self, bytes: usize);
}

/// Runs a connection until either side closes it.
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

/// Writes as much of the first frames as the socket takes; 0 if there is none.
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

/// Writes what is queued and waits for the peer to close. Guards against unread bytes of the peer that would reset the
/// connection before the peer has read why it was closed.
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
