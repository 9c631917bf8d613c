//! A process of the rig: started, signalled, and its end noticed.

use std::ffi::OsString;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child as Process, Command, ExitStatus, Stdio};
use std::thread;

use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};
use tokio::sync::mpsc::UnboundedSender;

/// What a process tells.
#[derive(Debug)]
pub enum Said {
    /// A line of its log.
    Line(String),
    /// It has ended, and is to be reaped.
    Ended,
}

/// Which process said something: the number that [`Child::start`] was given.
pub type Told = (u64, Said);

/// How to start one.
#[derive(Clone, Debug)]
pub struct Start {
    /// The program that knows `under`.
    pub guard: PathBuf,
    /// The program to run.
    pub program: PathBuf,
    /// Its arguments.
    pub arguments: Vec<OsString>,
    /// Variables of its environment, besides those of the rig's own.
    pub variables: Vec<(&'static str, OsString)>,
    /// Descriptors that the system lets it have.
    pub descriptors: Option<u64>,
    /// Memory that the system lets it map, in MB.
    pub memory_mb: Option<u64>,
    /// Where its log goes as well.
    pub log: PathBuf,
}

/// A process.
#[derive(Debug)]
pub struct Child {
    process: Process,
    /// What it was given at its start.
    pub number: u64,
    reaped: Option<ExitStatus>,
}

fn open_log(path: &Path) -> std::io::Result<File> {
    File::options().create(true).append(true).open(path)
}

impl Child {
    /// Starts it. The thread that calls this has to outlive it: the system ends the child with that.
    pub fn start(start: &Start, number: u64, told: UnboundedSender<Told>) -> Result<Self, String> {
        let mut command = Command::new(&start.guard);
        command.arg("under").args(["--parent", &std::process::id().to_string()]);
        if let Some(n) = start.descriptors {
            command.args(["--descriptors", &n.to_string()]);
        }
        if let Some(n) = start.memory_mb {
            command.args(["--memory-mb", &n.to_string()]);
        }
        command.arg("--").arg(&start.program).args(&start.arguments);
        command.env_remove("ROUTER_CONFIG").envs(start.variables.iter().cloned());
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let named = |e: std::io::Error| format!("{}: {e}", start.program.display());
        let mut log = open_log(&start.log).map_err(|e| format!("{}: {e}", start.log.display()))?;
        let mut process = command.spawn().map_err(named)?;
        let pid = pid_of(&process);
        let stderr = process.stderr.take();
        thread::spawn(move || {
            let mut lines = stderr.map(BufReader::new);
            let mut line = Vec::new();
            // Bytes and not text: a program may write anything.
            while let Some(lines) = &mut lines {
                line.clear();
                match lines.read_until(b'\n', &mut line) {
                    Ok(0) | Err(_) => break,
                    Ok(_) => {}
                }
                let _ = log.write_all(&line);
                let text = String::from_utf8_lossy(&line).trim_end().to_string();
                let _ = told.send((number, Said::Line(text)));
            }
            // It is left to be reaped, so that its number stays its own until nobody signals it.
            let _ = waitid(WaitId::Pid(pid), WaitIdOptions::EXITED | WaitIdOptions::NOWAIT);
            let _ = told.send((number, Said::Ended));
        });
        Ok(Self { process, number, reaped: None })
    }

    /// Its process number.
    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    /// Sends a signal, unless it has ended.
    pub fn signal(&self, signal: Signal) {
        if self.reaped.is_none() {
            // One that has ended and was not reaped takes any signal and does nothing.
            let _ = kill_process(pid_of(&self.process), signal);
        }
    }

    /// How it ended. To be called once it was told that it has.
    pub fn reap(&mut self) -> Option<ExitStatus> {
        if self.reaped.is_none() {
            self.reaped = self.process.wait().ok();
        }
        self.reaped
    }

    /// Nanoseconds that it ran and that it waited for a core, if the system tells.
    pub fn scheduled(&self) -> Option<(u64, u64)> {
        if self.reaped.is_some() {
            return None;
        }
        // proc(5): time on the processor, time on a run queue, time slices.
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.pid())).ok()?;
        let mut numbers = text.split_whitespace().map(str::parse::<u64>);
        Some((numbers.next()?.ok()?, numbers.next()?.ok()?))
    }
}

fn pid_of(process: &Process) -> Pid {
    Pid::from_child(process)
}

impl Drop for Child {
    fn drop(&mut self) {
        self.signal(Signal::KILL);
        self.reap();
    }
}
