//! The coordinator's hold of its workers: started, given orders, asked for reports, killed.

use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use crate::lateness::Lateness;
use crate::orders::{Order, Reply, Report};
use crate::usage::Usage;

/// How long a worker may take to answer an order. One that takes longer is too far behind to measure anything.
pub const ANSWERS_WITHIN: Duration = Duration::from_secs(30);

/// Why a worker gave no answer.
#[derive(Debug)]
pub enum WorkerError {
    /// Its process could not be started, or its input is closed.
    Io(io::Error),
    /// It gave no answer in [`ANSWERS_WITHIN`], or has ended.
    Silent,
    /// It could not carry out its order.
    Failed(String),
}

impl std::fmt::Display for WorkerError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            WorkerError::Io(error) => write!(f, "a worker: {error}"),
            WorkerError::Silent => write!(f, "a worker gave no answer in {ANSWERS_WITHIN:?}"),
            WorkerError::Failed(why) => write!(f, "a worker: {why}"),
        }
    }
}

impl std::error::Error for WorkerError {}

impl From<io::Error> for WorkerError {
    fn from(error: io::Error) -> Self {
        WorkerError::Io(error)
    }
}

/// A worker's process. It is killed when this is dropped.
#[derive(Debug)]
pub struct Worker {
    child: Child,
    orders: ChildStdin,
    reports: Receiver<Report>,
    /// What it used before it had anything to carry.
    pub base: Usage,
}

impl Worker {
    /// Starts this program's worker command.
    ///
    /// # Errors
    ///
    /// If it can't be started.
    pub fn start(program: &Path) -> Result<Self, WorkerError> {
        let mut command = Command::new(program);
        command.arg("worker").stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn()?;
        let orders = child.stdin.take().ok_or(WorkerError::Silent)?;
        let lines = BufReader::new(child.stdout.take().ok_or(WorkerError::Silent)?);
        let (send, reports) = channel();
        thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                let Ok(report) = serde_json::from_str(&line) else { return };
                if send.send(report).is_err() {
                    return;
                }
            }
        });
        let mut worker = Self { child, orders, reports, base: Usage::default() };
        worker.send(&Order::Members)?;
        worker.base = worker.receive()?.usage;
        Ok(worker)
    }

    /// Its process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Ends its process, if it still runs.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Gives it an order.
    ///
    /// # Errors
    ///
    /// If the worker does not take it.
    pub fn send(&mut self, order: &Order) -> Result<(), WorkerError> {
        let mut line = serde_json::to_vec(order).map_err(io::Error::other)?;
        line.push(b'\n');
        Ok(self.orders.write_all(&line)?)
    }

    /// Its answer to the first order that has none yet.
    ///
    /// # Errors
    ///
    /// If it does not answer in time, or answers with an error.
    pub fn receive(&mut self) -> Result<Report, WorkerError> {
        let report = self.reports.recv_timeout(ANSWERS_WITHIN).map_err(|_| WorkerError::Silent)?;
        match report.reply {
            Reply::Failed(why) => Err(WorkerError::Failed(why)),
            _ => Ok(report),
        }
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Several workers that are asked together.
#[derive(Debug)]
pub struct Workers {
    /// Each of them.
    pub each: Vec<Worker>,
    program: PathBuf,
}

impl Workers {
    /// So many workers of this program.
    ///
    /// # Errors
    ///
    /// If a worker can't be started.
    pub fn start(program: &Path, count: usize) -> Result<Self, WorkerError> {
        let each = (0..count).map(|_| Worker::start(program)).collect::<Result<_, _>>()?;
        Ok(Self { each, program: program.to_path_buf() })
    }

    /// The program that they run.
    pub fn program(&self) -> &Path {
        &self.program
    }

    /// One worker more.
    ///
    /// # Errors
    ///
    /// If it can't be started.
    pub fn add(&mut self) -> Result<&mut Worker, WorkerError> {
        let worker = Worker::start(&self.program)?;
        self.each.push(worker);
        self.each.last_mut().ok_or(WorkerError::Silent)
    }

    /// Gives all the same order, and then waits for all.
    ///
    /// # Errors
    ///
    /// If a worker does not take the order, or does not answer it in time.
    pub fn ask(&mut self, order: &Order) -> Result<Vec<Report>, WorkerError> {
        self.each.iter_mut().try_for_each(|worker| worker.send(order))?;
        self.each.iter_mut().map(Worker::receive).collect()
    }

    /// What they used beyond what empty ones use.
    pub fn usage(&self, reports: &[Report]) -> Usage {
        let base = self.each.iter().map(|worker| worker.base);
        let used = reports.iter().map(|report| report.usage).zip(base);
        used.fold(Usage::default(), |sum, (now, base)| Usage {
            processor_us: sum.processor_us + now.processor_us.saturating_sub(base.processor_us),
            resident_kb: sum.resident_kb + now.resident_kb.saturating_sub(base.resident_kb),
        })
    }
}

/// The worst lateness of several reports.
pub fn worst_lateness(reports: &[Report]) -> Lateness {
    reports.iter().fold(Lateness::default(), |worst, report| worst.worse(report.lateness))
}
