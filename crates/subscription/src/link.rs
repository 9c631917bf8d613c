//! One connection to a control machine: frames in, frames out, both bounded.

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
const READ_BYTES: usize = 64 * 1024;
/// Bytes that wait to be written at most: the scope of some ten thousand services, and the answers of a machine
/// that sends without reading.
const MAX_OUTGOING_BYTES: usize = 4 << 20;

type Connecting = Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>;

/// Bytes that a subscription has exchanged with control machines since its start, without headers of the network.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// From control machines.
    pub received_bytes: u64,
    /// To control machines.
    pub sent_bytes: u64,
}

/// What a connection has come to.
pub(crate) enum LinkEvent {
    /// It is up.
    Connected,
    /// Bytes have come; messages may be whole.
    Received,
    /// It could not be made.
    Failed(io::Error),
    /// It has ended.
    Ended(Option<io::Error>),
}

/// The connection, if there is one.
#[derive(Default)]
pub(crate) enum Link {
    #[default]
    None,
    Connecting(Connecting),
    Open(Open),
}

/// A connection that is up.
pub(crate) struct Open {
    stream: TcpStream,
    reader: FrameReader,
    outgoing: Vec<u8>,
    traffic: Rc<Cell<Traffic>>,
}

impl Link {
    pub(crate) fn connect(address: SocketAddr) -> Self {
        Link::Connecting(Box::pin(TcpStream::connect(address)))
    }

    /// Waits for what happens next; never ends without a connection. May be dropped at any time.
    pub(crate) async fn next(&mut self, traffic: &Rc<Cell<Traffic>>) -> LinkEvent {
        match self {
            Link::None => pending().await,
            Link::Connecting(connecting) => match connecting.as_mut().await {
                Ok(stream) => {
                    // Acknowledgements are small and wanted at once.
                    let _ = stream.set_nodelay(true);
                    let (reader, outgoing) = (FrameReader::new(), Vec::new());
                    let traffic = traffic.clone();
                    *self = Link::Open(Open { stream, reader, outgoing, traffic });
                    LinkEvent::Connected
                }
                Err(error) => LinkEvent::Failed(error),
            },
            Link::Open(open) => open.next().await,
        }
    }

    /// Puts a message into the queue. Whether there was room for it.
    pub(crate) fn send(&mut self, message: &SubscriberMessage) -> bool {
        let Link::Open(open) = self else { return true };
        open.outgoing.extend_from_slice(&encode(message));
        open.outgoing.len() <= MAX_OUTGOING_BYTES
    }

    /// The next whole message that has come.
    pub(crate) fn message(&mut self) -> Result<Option<PublisherMessage>, CodecError> {
        match self {
            Link::Open(open) => open.reader.next(),
            _ => Ok(None),
        }
    }
}

impl Open {
    async fn next(&mut self) -> LinkEvent {
        loop {
            let step = tokio::select! {
                ready = self.stream.readable() => ready.and_then(|()| self.read()),
                ready = self.stream.writable(), if !self.outgoing.is_empty() => {
                    ready.and_then(|()| self.write())
                }
            };
            match step {
                Ok(Some(event)) => return event,
                Ok(None) => {}
                Err(error) => return LinkEvent::Ended(Some(error)),
            }
        }
    }

    fn read(&mut self) -> io::Result<Option<LinkEvent>> {
        let mut bytes = [0; READ_BYTES];
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
