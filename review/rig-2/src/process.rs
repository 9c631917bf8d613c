//! Processes that a case starts. All of them are ended with the case, by their ids.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The program, as the deploy file starts it from the root.
const PROGRAM: &str = "target/release/sableloom";

/// The ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts the program with these arguments and environment; its standard error goes to `log`.
    pub fn start(
        log: &Path,
        arguments: &[&str],
        environment: &[(&str, &str)],
    ) -> Result<Self, String> {
        let file = File::create(log).map_err(|error| format!("{}: {error}", log.display()))?;
        let mut command = Command::new(PROGRAM);
        command.args(arguments).stdin(Stdio::null()).stdout(Stdio::null()).stderr(file);
        command.envs(environment.iter().copied());
        let child = command.spawn().map_err(|error| format!("{PROGRAM}: {error}"))?;
        if let Ok(mut running) = RUNNING.lock() {
            running.push(child.id());
        }
        Ok(Self { child, log: log.to_path_buf() })
    }

    /// Sends a signal: TERM, HUP, STOP, CONT, KILL.
    pub fn signal(&self, name: &str) {
        signal(self.child.id(), name);
    }

    pub fn log(&self) -> String {
        std::fs::read(&self.log)
            .map(|text| String::from_utf8_lossy(&text).into_owned())
            .unwrap_or_default()
    }

    /// Waits until the log has a line with this text.
    pub fn wait_for_log(&mut self, text: &str, longest: Duration) -> Result<(), String> {
        let end = Instant::now() + longest;
        while !self.log().contains(text) {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Err(format!("the program has ended ({status}): {}", self.log()));
            }
            if Instant::now() > end {
                return Err(format!("no {text:?} in the log: {}", self.log()));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        Ok(())
    }

    /// Whether it still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for its end.
    pub fn wait(&mut self, longest: Duration) -> Result<(), String> {
        let end = Instant::now() + longest;
        while self.runs() {
            if Instant::now() > end {
                return Err(format!("the program did not end: {}", self.log()));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        forget(self.child.id());
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.runs() {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
        forget(self.child.id());
    }
}

fn forget(id: u32) {
    if let Ok(mut running) = RUNNING.lock() {
        running.retain(|other| *other != id);
    }
}

fn signal(id: u32, name: &str) {
    let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {id}")).status();
}

/// Ends all processes that were started and have not ended.
pub fn end_all() {
    let running =
        RUNNING.lock().map(|mut running| std::mem::take(&mut *running)).unwrap_or_default();
    running.iter().for_each(|id| signal(*id, "KILL"));
}
