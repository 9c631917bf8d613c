//! A link between two places: what enters it leaves it so long after.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Opens a link to this address, and returns where it begins.
pub fn open(to: SocketAddr, one_way: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else { continue };
            carry(&near, &far, one_way);
            carry(&far, &near, one_way);
        }
    });
    address
}

fn carry(from: &TcpStream, to: &TcpStream, one_way: Duration) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else { return };
    let _ = to.set_nodelay(true);
    let (sender, pieces) = channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut bytes = [0; 16 << 10];
        loop {
            let n = from.read(&mut bytes).unwrap_or(0);
            if sender.send((Instant::now() + one_way, bytes[..n].to_vec())).is_err() || n == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (at, piece) in pieces {
            sleep(at.saturating_duration_since(Instant::now()));
            if piece.is_empty() || to.write_all(&piece).is_err() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    });
}
