//! The project's program as a process, which ends with this value.

use std::fs::{File, read_to_string};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts the program; its log goes to a file of this name.
    pub fn start(
        program: &str,
        arguments: &[&str],
        environment: &[(&str, &str)],
        folder: &Path,
        name: &str,
    ) -> Result<Self, String> {
        let log = folder.join(format!("{name}.log"));
        let file = File::create(&log).map_err(|e| e.to_string())?;
        let child = Command::new(program)
            .args(arguments)
            .envs(environment.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .spawn()
            .map_err(|e| format!("{program}: {e}"))?;
        Ok(Self { child, log })
    }

    pub fn log(&self) -> String {
        read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A free TCP port of 127.0.0.1.
pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}
