//! What stands between the rig and each process that it starts: in the child, before the program. No
//! privileges, and no code between fork and exec.

use std::ffi::OsString;
use std::os::unix::process::CommandExt;
use std::process::Command;

use rustix::process::{Pid, Resource, Rlimit, Signal, getppid, set_parent_process_death_signal};

/// How to start a program.
#[derive(Clone, Debug, Default)]
pub struct Under {
    /// The rig's process: the program ends with it.
    pub parent: u32,
    /// Descriptors at most.
    pub descriptors: Option<u64>,
    /// Memory that it may map, in MB.
    pub memory_mb: Option<u64>,
    /// The program and its arguments.
    pub command: Vec<OsString>,
}

fn limit(resource: Resource, most: Option<u64>) -> Result<(), String> {
    let Some(most) = most else { return Ok(()) };
    let limits = Rlimit { current: Some(most), maximum: Some(most) };
    rustix::process::setrlimit(resource, limits).map_err(|e| format!("limit {resource:?}: {e}"))
}

/// Becomes the program; returns only if that fails.
pub fn under(how: &Under) -> String {
    let prepared = || {
        set_parent_process_death_signal(Some(Signal::KILL)).map_err(|e| format!("prctl: {e}"))?;
        // A parent that ended before that was asked for sends no signal.
        if getppid().map(Pid::as_raw_pid) != i32::try_from(how.parent).ok() {
            return Err("the rig has ended".to_string());
        }
        limit(Resource::Nofile, how.descriptors)?;
        limit(Resource::As, how.memory_mb.map(|mb| mb * 1024 * 1024))
    };
    if let Err(e) = prepared() {
        return e;
    }
    let Some((program, arguments)) = how.command.split_first() else {
        return "no program is named".to_string();
    };
    let error = Command::new(program).args(arguments).exec();
    format!("{}: {error}", program.to_string_lossy())
}
