//! A process of the program under test, and what it logs.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::usage::Usage;

/// How long a process may take until it listens.
const STARTS_WITHIN: Duration = Duration::from_secs(120);

/// A process that logs to its standard error. It is killed when this is dropped.
#[derive(Debug)]
pub struct LoggedProcess {
    child: Child,
    lines: Receiver<String>,
    started: Instant,
    /// Where it listens.
    pub address: SocketAddr,
    /// How long it took until it listened.
    pub ready: Duration,
}

impl LoggedProcess {
    /// Starts a command and waits until it logs where it listens and then a line with all of these in it.
    ///
    /// # Errors
    ///
    /// If it can't be started, or ends before it is ready.
    pub fn start(command: &mut Command, ready: &[&str]) -> io::Result<Self> {
        let mut process = Self::spawn(command)?;
        process.await_ready(ready)?;
        Ok(process)
    }

    /// Starts a command, and waits for nothing.
    ///
    /// # Errors
    ///
    /// If it can't be started.
    pub fn spawn(command: &mut Command) -> io::Result<Self> {
        let started = Instant::now();
        let mut child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        let log = child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let (send, lines) = channel();
        thread::spawn(move || {
            // Whoever no longer listens lets the process log on.
            for line in BufReader::new(log).lines().map_while(Result::ok) {
                let _ = send.send(line);
            }
        });
        let address = SocketAddr::from(([0, 0, 0, 0], 0));
        Ok(Self { child, lines, started, address, ready: Duration::ZERO })
    }

    /// Waits until it logs where it listens, and a line with all of these in it.
    ///
    /// # Errors
    ///
    /// If it ends before, or logs no such line in time.
    pub fn await_ready(&mut self, ready: &[&str]) -> io::Result<()> {
        let (mut seen, mut listening, mut is_ready) = (Vec::new(), None, ready.is_empty());
        while listening.is_none() || !is_ready {
            let left = STARTS_WITHIN.saturating_sub(self.started.elapsed());
            let Ok(line) = self.lines.recv_timeout(left) else {
                return Err(io::Error::other(format!("it did not start: {}", seen.join("; "))));
            };
            if line.contains("listening on ") {
                listening = line.split_whitespace().rev().find_map(|word| word.parse().ok());
            }
            is_ready |= ready.iter().all(|part| line.contains(part)) && !ready.is_empty();
            seen.push(line);
        }
        self.address = listening.unwrap_or(self.address);
        self.ready = self.started.elapsed();
        Ok(())
    }

    /// What it has logged since the last call.
    pub fn log(&self) -> Vec<String> {
        self.lines.try_iter().collect()
    }

    /// What it has used; nothing once it has ended.
    pub fn usage(&self) -> Usage {
        Usage::of(self.child.id()).unwrap_or_default()
    }

    /// Sends it a signal, if it still runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Its threads.
    pub fn threads(&self) -> usize {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        tasks.map_or(0, Iterator::count)
    }
}

impl Drop for LoggedProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
