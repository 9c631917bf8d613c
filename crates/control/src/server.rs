//! The server of a control machine, which combines the listener, the sessions and the reader of the change log.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use sableloom_distribution::{Position, Publisher, Store};
use tokio::net::TcpListener;

use crate::folder::ChangeFolder;
use crate::listener::{accept_connections, limit_to_descriptors, listen};
use crate::log_reader::LogReader;
use crate::sessions::Sessions;
use crate::settings::Settings;

/// Errors of [`Server::start`].
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The server can't listen on its address.
    #[error("field `listen`: {address}: {cause}")]
    Listen {
        /// The address of the setting `listen`.
        address: SocketAddr,
        /// The system's error.
        cause: io::Error,
    },
}

/// A control machine whose listening socket is open and whose change log was read.
pub struct Server {
    sessions: Rc<Sessions>,
    listener: TcpListener,
    log_reader: LogReader,
    max_connections: usize,
}

impl Server {
    /// Opens the listening socket, and reads the log up to the first file that can't be applied. Such a file is logged
    /// and does not keep the server from starting: the server serves the changes before it. A relative path of the
    /// folder of change files starts at `settings_folder`, the folder of the settings file.
    ///
    /// # Errors
    ///
    /// Returns [`StartError::Listen`] if the server can't listen on its address.
    pub fn start(settings: &Settings, settings_folder: &Path) -> Result<Self, StartError> {
        let publisher =
            Publisher::new(Store::new(settings.store_limits), settings.publisher_options);
        let sessions = Sessions::new(publisher);
        // The socket is opened before the log is read, so that a second process with the same settings fails at once.
        let listener = listen(settings.listen)
            .map_err(|cause| StartError::Listen { address: settings.listen, cause })?;
        let folder = ChangeFolder::new(
            settings_folder.join(&settings.changes_folder),
            settings.first_number,
        );
        let mut log_reader = LogReader::new(sessions.clone(), folder);
        log_reader.read_available();
        let max_connections = limit_to_descriptors(settings.max_connections);
        Ok(Self { sessions, listener, log_reader, max_connections })
    }

    /// The address that the server listens on, with the port that the system chose if the setting has port 0.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address can't be read from the socket.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// The position after the last change that was applied.
    pub fn position(&self) -> Position {
        self.sessions.store().position()
    }

    /// Serves until `shutdown` completes. The future must run within a `LocalSet`, because each session is a local
    /// task. Open connections are not closed; they end with the process, and subscribers continue with another control
    /// machine from the versions that they have.
    pub async fn run(self, shutdown: impl Future<Output = ()>) {
        let Self { sessions, listener, log_reader, max_connections } = self;
        tokio::select! {
            () = shutdown => {}
            () = sessions.run_timer() => {}
            () = log_reader.follow() => {}
            () = accept_connections(&sessions, &listener, max_connections) => {}
        }
    }
}
