//! A process that is watched by the lines that it prints.

use std::io::{BufRead, BufReader, Read};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use crate::program;

/// How long a line or an exit that must come is waited for. Only a failure takes so long.
pub const PROCESS_TIMEOUT: Duration = Duration::from_secs(60);

/// A process and its lines; it is killed when this is dropped.
pub struct Process {
    child: Child,
    lines: Mutex<Receiver<String>>,
}

impl Process {
    /// Starts the program under test, and reads its standard error.
    pub fn start(arguments: &[&str]) -> Self {
        Self::of(&program(), arguments)
    }

    /// Starts another program, and reads its standard error.
    pub fn of(program: &Path, arguments: &[&str]) -> Self {
        let mut command = Command::new(program);
        command.args(arguments).env_remove("ROUTER_CONFIG").stderr(Stdio::piped());
        let mut child = command.spawn().expect("it starts");
        let lines = child.stderr.take().expect("piped");
        Self::new(child, lines)
    }

    /// A process that was started, and the output that its lines are read from.
    pub fn new(child: Child, output: impl Read + Send + 'static) -> Self {
        let (sender, receiver) = channel();
        thread::spawn(move || {
            BufReader::new(output)
                .lines()
                .map_while(Result::ok)
                .all(|line| sender.send(line).is_ok());
        });
        Self { child, lines: Mutex::new(receiver) }
    }

    /// Waits for a line that contains all of these, and returns the lines up to that one.
    pub fn lines_to(&self, parts: &[&str]) -> Vec<String> {
        let lines = self.lines.lock().expect("unpoisoned");
        let (mut printed, end) = (Vec::new(), Instant::now() + PROCESS_TIMEOUT);
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let Ok(line) = lines.recv_timeout(left) else {
                panic!("no line has {parts:?} in it: {printed:#?}")
            };
            printed.push(line);
            if parts.iter().all(|part| printed[printed.len() - 1].contains(part)) {
                return printed;
            }
        }
    }

    /// Waits for a line that contains all of these, and returns it.
    pub fn says(&self, parts: &[&str]) -> String {
        self.lines_to(parts).pop().expect("the last one")
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal, named as kill(1) does.
    pub fn signal(&self, signal: &str) {
        let sent = Command::new("kill").args([signal, &self.pid().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// The memory that it has in use, in kB.
    pub fn resident_kb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.expect("a process");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a figure");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    /// Kills it, and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().expect("it is killed");
        self.child.wait().expect("it ends");
    }

    /// Waits for its end, and returns its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        let end = Instant::now() + PROCESS_TIMEOUT;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().expect("a state") {
                return status.code();
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("it does not end")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
