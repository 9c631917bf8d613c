//! A points node on a thread and a port of its own.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::mpsc::{Sender, channel};
use std::thread;

use sableloom_emulator::Node as Emulated;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::LocalSet;

use crate::shell::{Options, Shell, accept};

type Order = Box<dyn FnOnce(&Rc<Shell>) + Send>;

/// A node that runs until the program ends.
#[derive(Clone, Debug)]
pub struct Node {
    /// Where it listens.
    pub address: SocketAddr,
    orders: UnboundedSender<Order>,
}

impl Node {
    /// Starts a node on a free loopback port.
    pub fn start(options: Options) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (orders, mut given) = unbounded_channel::<Order>();
        thread::spawn(move || {
            LocalSet::new().block_on(&runtime, async move {
                let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
                let shell = Shell::start(options);
                let accepting = accept(shell.clone(), listener);
                tokio::pin!(accepting);
                loop {
                    tokio::select! {
                        // A listener that fails for good, as for want of descriptors: no more come.
                        _ = &mut accepting => return,
                        order = given.recv() => match order {
                            Some(order) => order(&shell),
                            None => std::future::pending().await,
                        },
                    }
                }
            });
        });
        Ok(Self { address, orders })
    }

    /// Has something done on the node's thread, and waits for it; `None` if the node has ended.
    pub fn on<T: Send + 'static>(
        &self,
        what: impl FnOnce(&Rc<Shell>) -> T + Send + 'static,
    ) -> Option<T> {
        let (done, result): (Sender<T>, _) = channel();
        let order: Order = Box::new(move |shell| {
            let _ = done.send(what(shell));
        });
        self.orders.send(order).ok()?;
        result.recv().ok()
    }

    /// Requests that it turned away unseen.
    pub fn turned_away(&self) -> u64 {
        self.on(|shell| shell.look(Emulated::turned_away)).unwrap_or_default()
    }

    /// The ids of requests with an effect that it has run, each with how often.
    pub fn runs(&self) -> HashMap<String, u32> {
        let runs = |node: &Emulated<String>| {
            node.runs().iter().map(|(id, times)| (id.clone(), *times)).collect()
        };
        self.on(move |shell| shell.look(runs)).unwrap_or_default()
    }
}
