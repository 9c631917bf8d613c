//! Control machines: processes of the program that read one folder of change files, each alone.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::Duration;

use rustix::process::Signal;

use crate::child::LoggedProcess;
use crate::usage::Usage;

/// Control machines, and what those have used that have ended.
#[derive(Debug)]
pub struct ControlMachines {
    each: Vec<LoggedProcess>,
    addresses: Vec<SocketAddr>,
    /// Processor time of those that have ended.
    ended: Usage,
}

impl ControlMachines {
    /// So many over this folder, all started at once; each has read the folder to its end when this returns.
    ///
    /// # Errors
    ///
    /// If one can't be started.
    pub fn start(sableloom: &Path, folder: &Path, count: usize) -> io::Result<Self> {
        let spawned = (0..count).map(|number| spawn(sableloom, folder, number));
        let mut each = spawned.collect::<io::Result<Vec<_>>>()?;
        each.iter_mut().try_for_each(|process| process.await_ready(&[]))?;
        let addresses = each.iter().map(|process| process.address).collect();
        Ok(Self { each, addresses, ended: Usage::default() })
    }

    /// Where they listen.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.clone()
    }

    /// What all have used, those that have ended too; memory of those that run.
    pub fn usage(&self) -> Usage {
        let running = self.each.iter().map(LoggedProcess::usage);
        running.chain([Usage { resident_kb: 0, ..self.ended }]).sum()
    }

    /// How long the slowest took until it listened.
    pub fn slowest_start(&self) -> Duration {
        self.each.iter().map(|process| process.ready).max().unwrap_or_default()
    }

    /// Kills one.
    pub fn kill_one(&mut self) {
        if let Some(process) = self.each.pop() {
            self.ended.processor_us += process.usage().processor_us;
        }
    }

    /// Stops all, as a cut does: their connections stay open and say nothing.
    pub fn freeze(&self) {
        self.each.iter().for_each(|process| process.signal(Signal::STOP));
    }

    /// Lets all go on.
    pub fn thaw(&self) {
        self.each.iter().for_each(|process| process.signal(Signal::CONT));
    }
}

fn spawn(sableloom: &Path, folder: &Path, number: usize) -> io::Result<LoggedProcess> {
    let config = folder.join(format!("control-{number}.conf"));
    fs::write(&config, "listen = \"127.0.0.1:0\"\nchanges = \".\"\n")?;
    let mut command = Command::new(sableloom);
    LoggedProcess::spawn(command.arg("control").arg("--config").arg(config))
}
