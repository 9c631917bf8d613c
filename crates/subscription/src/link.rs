//! One connection to a control machine: messages in, messages out, both bounded.

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

/// Bytes read in one turn; between turns requests are served.
const MAX_READ_BYTES: usize = 64 * 1024;
/// Most bytes that wait to be written: enough for a scope of some ten thousand services. Guards against a control machine
/// that sends without reading, whose responses would pile up here.
const MAX_QUEUED_BYTES: usize = 4 << 20;

type Connecting = Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>;

/// The bytes that a subscription has exchanged with control machines since its start, without network headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// From control machines.
    pub received_bytes: u64,
    /// To control machines.
    pub sent_bytes: u64,
}

/// An event of a connection.
pub(crate) enum LinkEvent {
    /// It is established.
    Connected,
    /// Bytes were received, so messages may be complete.
    Received,
    /// It could not be established.
    Failed(io::Error),
    /// It has ended, in order or with an error.
    Ended(Option<io::Error>),
}

/// The connection, if there is one.
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
    /// Starts to connect.
    pub(crate) fn connect(address: SocketAddr) -> Self {
        Link::Connecting(Box::pin(TcpStream::connect(address)))
    }

    /// Waits for the next event; never ends without a connection. It may be dropped at any time.
    pub(crate) async fn next_event(&mut self, traffic: &Rc<Cell<Traffic>>) -> LinkEvent {
        match self {
            Link::None => pending().await,
            Link::Connecting(connecting) => match connecting.as_mut().await {
                Ok(stream) => {
                    // Acknowledgements are small, and the control machine waits for them.
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

    /// Queues a message. Whether the queue is still within its bound.
    pub(crate) fn send(&mut self, message: &SubscriberMessage) -> bool {
        let Link::Open(open) = self else { return true };
        open.outgoing.extend_from_slice(&encode(message));
        open.outgoing.len() <= MAX_QUEUED_BYTES
    }

    /// The next complete message that was received.
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
