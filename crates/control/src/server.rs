//! The server of a control machine: its listener, its sessions and its change log.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use sableloom_distribution::{Position, Publisher, Store};
use tokio::net::TcpListener;

use crate::folder::ChangeFolder;
use crate::listener::{accept, listen, within_descriptors};
use crate::log_reader::LogReader;
use crate::sessions::Sessions;
use crate::settings::Settings;

/// Why a server can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// It can't listen on its address.
    #[error("field `listen`: {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        cause: io::Error,
    },
}

/// A control machine that listens.
pub struct Server {
    sessions: Rc<Sessions>,
    listener: TcpListener,
    log: LogReader,
    max_connections: usize,
}

impl Server {
    /// Listens, and reads the log as far as it goes. `base` is the folder of the settings file. A problem of the log
    /// does not keep the server from starting: it serves the changes before it.
    ///
    /// # Errors
    ///
    /// [`StartError::Listen`] if the address can't be listened on.
    pub fn start(settings: &Settings, base: &Path) -> Result<Self, StartError> {
        let publisher =
            Publisher::new(Store::new(settings.store_limits), settings.publisher_options);
        let sessions = Sessions::new(publisher);
        // It listens before it reads, so that a second process with the same settings ends at once.
        let listener = listen(settings.listen)
            .map_err(|cause| StartError::Listen { address: settings.listen, cause })?;
        let folder = ChangeFolder::new(base.join(&settings.changes_folder), settings.first_number);
        let mut log = LogReader::new(sessions.clone(), folder);
        log.read_all();
        let max_connections = within_descriptors(settings.max_connections);
        Ok(Self { sessions, listener, log, max_connections })
    }

    /// The address that it listens on.
    ///
    /// # Errors
    ///
    /// The system's error if it does not give the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// The position up to which the log has been read.
    pub fn position(&self) -> Position {
        self.sessions.store().position()
    }

    /// Serves until `shutdown` completes; it must be called within a `LocalSet`. Connections end with the process:
    /// subscribers continue at another control machine from the versions that they have.
    pub async fn run(self, shutdown: impl Future<Output = ()>) {
        let Self { sessions, listener, log, max_connections } = self;
        tokio::select! {
            () = shutdown => {}
            () = sessions.run_timer() => {}
            () = log.follow() => {}
            () = accept(&sessions, &listener, max_connections) => {}
        }
    }
}
