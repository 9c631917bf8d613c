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

type Command = Box<dyn FnOnce(&Rc<Shell>) + Send>;

/// A node that runs until the program ends.
#[derive(Clone, Debug)]
pub struct Node {
    /// Its address.
    pub address: SocketAddr,
    commands: UnboundedSender<Command>,
}

impl Node {
    /// Starts a node on a free loopback port.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn start(options: Options) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (commands, mut given) = unbounded_channel::<Command>();
        thread::spawn(move || {
            LocalSet::new().block_on(&runtime, async move {
                let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
                let shell = Shell::start(options);
                let accepting = accept(shell.clone(), listener);
                tokio::pin!(accepting);
                loop {
                    tokio::select! {
                        // The listener failed, for example for lack of descriptors: no more connections.
                        _ = &mut accepting => return,
                        command = given.recv() => match command {
                            Some(command) => command(&shell),
                            None => std::future::pending().await,
                        },
                    }
                }
            });
        });
        Ok(Self { address, commands })
    }

    /// Runs a function on the node's thread and returns its result; `None` if the node has ended.
    pub fn on<T: Send + 'static>(
        &self,
        what: impl FnOnce(&Rc<Shell>) -> T + Send + 'static,
    ) -> Option<T> {
        let (done, result): (Sender<T>, _) = channel();
        let command: Command = Box::new(move |shell| {
            let _ = done.send(what(shell));
        });
        self.commands.send(command).ok()?;
        result.recv().ok()
    }

    /// Number of requests that it rejected without running them.
    pub fn rejected(&self) -> u64 {
        self.on(|shell| shell.look(Emulated::rejected)).unwrap_or_default()
    }

    /// How often it has run each request with an effect, by id.
    pub fn executions(&self) -> HashMap<String, u32> {
        let runs = |node: &Emulated<String>| {
            node.executions().iter().map(|(id, times)| (id.clone(), *times)).collect()
        };
        self.on(move |shell| shell.look(runs)).unwrap_or_default()
    }
}
