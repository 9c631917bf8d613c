//! The connection to a control machine, with bounded queues of received and outgoing bytes.

use std::cell::Cell;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use sableloom_distribution::{
    CodecError, FrameReader, PublisherMessage, SubscriberMessage, encode,
};
use tokio::net::TcpStream;

/// The maximum number of bytes that one read takes, so that the thread can serve requests between two reads.
const MAX_READ_BYTES: usize = 64 * 1024;
/// The maximum number of bytes that wait to be sent: enough for a scope of some ten thousand services. The limit bounds
/// the memory that responses take if a control machine sends messages but reads none.
const MAX_QUEUED_BYTES: usize = 4 << 20;

type Connecting = Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>;

/// The number of bytes that a subscription has exchanged with control machines since the subscription started, without
/// network headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// The number of bytes received from control machines.
    pub received_bytes: u64,
    /// The number of bytes sent to control machines.
    pub sent_bytes: u64,
}

/// An event of a connection.
pub(crate) enum LinkEvent {
    /// The connection is established.
    Connected,
    /// Bytes were received, so that further messages may be complete.
    Received,
    /// The connection could not be established.
    Failed(io::Error),
    /// The connection has ended: with `None` if the control machine closed it, otherwise with an error.
    Ended(Option<io::Error>),
}

/// The state of the connection to a control machine.
#[derive(Default)]
pub(crate) enum Link {
    #[default]
    None,
    Connecting(Connecting),
    Open(OpenLink),
}

/// An established connection.
pub(crate) struct OpenLink {
    stream: TcpStream,
    reader: FrameReader,
    outgoing: Vec<u8>,
    traffic: Rc<Cell<Traffic>>,
}

impl Link {
    /// Starts to connect to a control machine.
    pub(crate) fn connect(address: SocketAddr) -> Self {
        Link::Connecting(Box::pin(TcpStream::connect(address)))
    }

    /// Waits for the next event, and forever if there is no connection. The future is cancel safe: no event or byte is
    /// lost if the future is dropped.
    pub(crate) async fn next_event(&mut self, traffic: &Rc<Cell<Traffic>>) -> LinkEvent {
        match self {
            Link::None => pending().await,
            Link::Connecting(connecting) => match connecting.as_mut().await {
                Ok(stream) => {
                    // The control machine waits for acknowledgements, whose small segments must not be delayed.
                    let _ = stream.set_nodelay(true);
                    let (reader, outgoing) = (FrameReader::new(), Vec::new());
                    let traffic = traffic.clone();
                    *self = Link::Open(OpenLink { stream, reader, outgoing, traffic });
                    LinkEvent::Connected
                }
                Err(error) => LinkEvent::Failed(error),
            },
            Link::Open(open) => open.next_event().await,
        }
    }

    /// Queues a message; without an established connection, drops it. Returns whether at most [`MAX_QUEUED_BYTES`]
    /// bytes are queued.
    pub(crate) fn send(&mut self, message: &SubscriberMessage) -> bool {
        let Link::Open(open) = self else { return true };
        open.outgoing.extend_from_slice(&encode(message));
        open.outgoing.len() <= MAX_QUEUED_BYTES
    }

    /// Returns the next complete message that was received, or `None` if there is none yet.
    ///
    /// # Errors
    ///
    /// Fails if the received bytes are not a valid frame; no further message can be read then.
    pub(crate) fn next_message(&mut self) -> Result<Option<PublisherMessage>, CodecError> {
        match self {
            Link::Open(open) => open.reader.next_message(),
            _ => Ok(None),
        }
    }
}

impl OpenLink {
    async fn next_event(&mut self) -> LinkEvent {
        loop {
            let result = tokio::select! {
                ready = self.stream.readable() => ready.and_then(|()| self.read()),
                ready = self.stream.writable(), if !self.outgoing.is_empty() => {
                    ready.and_then(|()| self.write())
                }
            };
            match result {
                Ok(Some(event)) => return event,
                Ok(None) => {}
                Err(error) => return LinkEvent::Ended(Some(error)),
            }
        }
    }

    fn read(&mut self) -> io::Result<Option<LinkEvent>> {
        let mut bytes = [0; MAX_READ_BYTES];
        match self.stream.try_read(&mut bytes) {
            Ok(0) => Ok(Some(LinkEvent::Ended(None))),
            Ok(read) => {
                let mut traffic = self.traffic.get();
                traffic.received_bytes += read as u64;
                self.traffic.set(traffic);
                self.reader.push(&bytes[..read]);
                Ok(Some(LinkEvent::Received))
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn write(&mut self) -> io::Result<Option<LinkEvent>> {
        match self.stream.try_write(&self.outgoing) {
            Ok(written) => {
                let mut traffic = self.traffic.get();
                traffic.sent_bytes += written as u64;
                self.traffic.set(traffic);
                self.outgoing.drain(..written);
                Ok(None)
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(error) => Err(error),
        }
    }
}
