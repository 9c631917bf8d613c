//! A child process: its start, its signals, its log and its end.

use std::ffi::OsString;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child as SystemProcess, ChildStderr, Command, ExitStatus, Stdio};
use std::thread;

use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};
use tokio::sync::mpsc::UnboundedSender;

use crate::error::PlayError;

/// An event of a process.
#[derive(Debug)]
pub(crate) enum ProcessEvent {
    /// A line of its log.
    LogLine(String),
    /// It has exited, and is to be reaped.
    Exited,
}

/// An event and the process that it comes from.
#[derive(Debug)]
pub(crate) struct ProcessMessage {
    /// The number that [`Process::start`] was given.
    pub process: u64,
    /// What happened.
    pub event: ProcessEvent,
}

/// How to start a process.
#[derive(Clone, Debug)]
pub(crate) struct ProcessSpec {
    /// Its name in messages.
    pub name: String,
    /// The program whose `under` command sets the limits.
    pub launcher: PathBuf,
    /// The program to run.
    pub program: PathBuf,
    /// Its arguments.
    pub arguments: Vec<OsString>,
    /// Environment variables in addition to the inherited ones.
    pub variables: Vec<(&'static str, OsString)>,
    /// Limit of descriptors.
    pub descriptors: Option<u64>,
    /// Limit of its address space, in MB.
    pub memory_mb: Option<u64>,
    /// The file that its log is appended to.
    pub log: PathBuf,
}

/// A process.
#[derive(Debug)]
pub(crate) struct Process {
    process: SystemProcess,
    /// The number that identifies it in its events.
    pub number: u64,
    reaped: Option<ExitStatus>,
}

fn open_log(path: &Path) -> std::io::Result<File> {
    File::options().create(true).append(true).open(path)
}

/// Passes on the log of a process until it ends, and then that it has ended.
fn follow(
    pid: Pid,
    stderr: Option<ChildStderr>,
    mut log: File,
    number: u64,
    events: &UnboundedSender<ProcessMessage>,
) {
    let mut lines = stderr.map(BufReader::new);
    let mut line = Vec::new();
    // Bytes, because a program may write invalid UTF-8.
    while let Some(lines) = &mut lines {
        line.clear();
        match lines.read_until(b'\n', &mut line) {
            Ok(0) | Err(_) => break,
            Ok(_) => {}
        }
        let _ = log.write_all(&line);
        let text = String::from_utf8_lossy(&line).trim_end().to_string();
        let event = ProcessEvent::LogLine(text);
        let _ = events.send(ProcessMessage { process: number, event });
    }
    // It is not reaped here, so that its process id is not reused while it may still be signalled.
    let _ = waitid(WaitId::Pid(pid), WaitIdOptions::EXITED | WaitIdOptions::NOWAIT);
    let _ = events.send(ProcessMessage { process: number, event: ProcessEvent::Exited });
}

impl Process {
    /// Starts it. The calling thread has to outlive it: the system kills the child when that thread ends.
    pub(crate) fn start(
        spec: &ProcessSpec,
        number: u64,
        events: UnboundedSender<ProcessMessage>,
    ) -> Result<Self, PlayError> {
        let mut command = Command::new(&spec.launcher);
        command.arg("under").args(["--parent", &std::process::id().to_string()]);
        if let Some(n) = spec.descriptors {
            command.args(["--descriptors", &n.to_string()]);
        }
        if let Some(n) = spec.memory_mb {
            command.args(["--memory-mb", &n.to_string()]);
        }
        command.arg("--").arg(&spec.program).args(&spec.arguments);
        command.env_remove("ROUTER_CONFIG").envs(spec.variables.iter().cloned());
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let named = |path: &Path| format!("{}: {}", spec.name, path.display());
        let log = open_log(&spec.log).map_err(PlayError::io(named(&spec.log)))?;
        let mut process = command.spawn().map_err(PlayError::io(named(&spec.program)))?;
        let pid = pid_of(&process);
        let stderr = process.stderr.take();
        thread::spawn(move || follow(pid, stderr, log, number, &events));
        Ok(Self { process, number, reaped: None })
    }

    /// Its process id.
    pub(crate) fn pid(&self) -> u32 {
        self.process.id()
    }

    /// Sends a signal, unless it has ended.
    pub(crate) fn signal(&self, signal: Signal) {
        if self.reaped.is_none() {
            // Signals to a process that has ended and was not reaped have no effect.
            let _ = kill_process(pid_of(&self.process), signal);
        }
    }

    /// Reaps it and returns its exit status. To be called after [`ProcessEvent::Exited`].
    pub(crate) fn reap(&mut self) -> Option<ExitStatus> {
        if self.reaped.is_none() {
            self.reaped = self.process.wait().ok();
        }
        self.reaped
    }

    /// Nanoseconds that it ran and that it waited for a core, if the system reports them.
    pub(crate) fn scheduled(&self) -> Option<(u64, u64)> {
        if self.reaped.is_some() {
            return None;
        }
        // proc(5): time on the processor, time on a run queue, time slices.
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.pid())).ok()?;
        let mut numbers = text.split_whitespace().map(str::parse::<u64>);
        Some((numbers.next()?.ok()?, numbers.next()?.ok()?))
    }
}

fn pid_of(process: &SystemProcess) -> Pid {
    Pid::from_child(process)
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal(Signal::KILL);
        self.reap();
    }
}
