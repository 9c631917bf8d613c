//! Scripted servers, and a listener that holds connections back.

use std::fs;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::thread;

use socket2::{Domain, Socket, Type};

use crate::connection::{Conn, Message, ok};
use crate::{LONG, eventually};

/// Serves each connection by a script, on a thread of its own, with the connection's number.
pub struct Peer {
    /// Where it listens.
    pub address: SocketAddr,
}

impl Peer {
    /// Listens on a free port.
    pub fn start(script: impl Fn(usize, Conn) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let script = std::sync::Arc::new(script);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let script = script.clone();
                let conn = Conn::new(stream.expect("a connection"));
                thread::spawn(move || script(number, conn));
            }
        });
        Self { address }
    }

    /// An upstream that answers each request by `reply`, given the request's number over all
    /// connections, and tells of each that came.
    pub fn upstream(
        reply: impl Fn(usize, &Message, &mut Conn) -> bool + Send + Sync + 'static,
    ) -> (Self, Receiver<Message>) {
        let (sender, came) = channel();
        let count = AtomicU64::new(0);
        let sender = Mutex::new(sender);
        let peer = Self::start(move |_, mut conn| {
            while let Some(message) = conn.message() {
                let number = count.fetch_add(1, Ordering::SeqCst) as usize;
                let _ = sender.lock().expect("unpoisoned").send(message.clone());
                if !reply(number, &message, &mut conn) {
                    return;
                }
            }
        });
        (peer, came)
    }

    /// An upstream at every loopback address of one port, that answers with where it was asked and
    /// tells of it.
    pub fn everywhere() -> (Self, Receiver<SocketAddr>) {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        // All addresses, but of the loopback device only.
        socket.bind_device(Some(b"lo")).expect("the loopback device");
        socket.bind(&SocketAddr::from(([0, 0, 0, 0], 0)).into()).expect("a port");
        socket.listen(1024).expect("a listener");
        let listener = TcpListener::from(socket);
        let port = listener.local_addr().expect("an address").port();
        let (sender, came) = channel();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let stream = stream.expect("a connection");
                let at = stream.local_addr().expect("an address");
                let (mut conn, sender) = (Conn::new(stream), sender.clone());
                thread::spawn(move || {
                    while conn.message().is_some() {
                        let _ = sender.send(at);
                        conn.write(ok(&at.to_string()));
                    }
                });
            }
        });
        (Self { address: ([127, 0, 0, 1], port).into() }, came)
    }

    /// An upstream that serves whatever comes.
    pub fn serving() -> (Self, Receiver<Message>) {
        Self::upstream(|_, message, conn| {
            conn.write(ok(message.id()));
            true
        })
    }
}

/// A listener whose connections don't come up until they are let in.
pub struct HeldBack {
    listener: TcpListener,
    /// Takes the one place for a connection that is not accepted: the system drops what asks for more.
    filler: TcpStream,
    /// Where it listens.
    pub address: SocketAddr,
}

impl HeldBack {
    /// Listens on a free port, and holds back.
    pub fn start() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        socket.listen(0).expect("a listener");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        let filler = TcpStream::connect(address).expect("the one place");
        Self { listener, filler, address }
    }

    /// Waits until somebody asks for a connection.
    pub fn await_caller(&self) {
        let port = format!(":{:04X}", self.address.port());
        eventually("somebody asks for a connection", || {
            let table = fs::read_to_string("/proc/net/tcp").expect("the system's connections");
            table.lines().any(|line| {
                let mut fields = line.split_whitespace().skip(2);
                let to = fields.next().is_some_and(|to| to.ends_with(&port));
                to && fields.next() == Some("02")
            })
        });
    }

    /// Lets the next one in, and takes in all that it says until it ends.
    pub fn let_in(self) -> Vec<u8> {
        let (place, _) = self.listener.accept().expect("the filler");
        drop((place, self.filler));
        // The system asks again after a second, then after two more.
        self.listener.set_nonblocking(true).expect("a listener");
        let mut came = None;
        eventually("the connection comes up", || {
            came = self.listener.accept().ok();
            came.is_some()
        });
        let (mut stream, _) = came.expect("it came");
        stream.set_nonblocking(false).expect("a stream");
        let mut said = Vec::new();
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        // A reset ends it as well.
        let _ = stream.read_to_end(&mut said);
        said
    }
}

/// An upstream that answers with its name.
pub fn named(name: &'static str) -> Peer {
    Peer::upstream(move |_, _, conn| {
        conn.write(ok(name));
        true
    })
    .0
}
