//! Runs in each child process before the program: ties it to its parent, sets its resource limits, then
//! executes the program. Needs no privileges and no code between fork and exec.

use std::ffi::OsString;
use std::io;
use std::os::unix::process::CommandExt;
use std::process::Command;

use rustix::process::{Pid, Resource, Rlimit, Signal, getppid, set_parent_process_death_signal};

/// How to start a program.
#[derive(Clone, Debug, Default)]
pub struct LaunchOptions {
    /// The parent's process id: the program is killed when the parent ends.
    pub parent: u32,
    /// Maximum number of descriptors.
    pub descriptors: Option<u64>,
    /// Maximum address space, in MB.
    pub memory_mb: Option<u64>,
    /// The program and its arguments.
    pub command: Vec<OsString>,
}

/// Why a program is not started.
#[derive(Debug, thiserror::Error)]
pub enum LaunchError {
    /// The program can't be tied to its parent.
    #[error("prctl: {0}")]
    ParentDeathSignal(rustix::io::Errno),
    /// The parent has ended already.
    #[error("the harness has ended")]
    ParentEnded,
    /// A resource limit can't be set.
    #[error("limit {resource:?}: {cause}")]
    Limit {
        /// The resource.
        resource: Resource,
        /// The system's reason.
        cause: rustix::io::Errno,
    },
    /// There is no program.
    #[error("no program is named")]
    NoProgram,
    /// The program can't be executed.
    #[error("{program}: {cause}")]
    Execute {
        /// The program.
        program: String,
        /// The system's reason.
        cause: io::Error,
    },
}

fn limit(resource: Resource, max: Option<u64>) -> Result<(), LaunchError> {
    let Some(max) = max else { return Ok(()) };
    let limits = Rlimit { current: Some(max), maximum: Some(max) };
    rustix::process::setrlimit(resource, limits)
        .map_err(|cause| LaunchError::Limit { resource, cause })
}

fn prepare(options: &LaunchOptions) -> Result<(), LaunchError> {
    set_parent_process_death_signal(Some(Signal::KILL)).map_err(LaunchError::ParentDeathSignal)?;
    // A parent that had already ended sends no signal.
    if getppid().map(Pid::as_raw_pid) != i32::try_from(options.parent).ok() {
        return Err(LaunchError::ParentEnded);
    }
    limit(Resource::Nofile, options.descriptors)?;
    limit(Resource::As, options.memory_mb.map(|mb| mb * 1024 * 1024))
}

/// Replaces this process by the program; returns only if that fails.
pub fn launch(options: &LaunchOptions) -> LaunchError {
    if let Err(error) = prepare(options) {
        return error;
    }
    let Some((program, arguments)) = options.command.split_first() else {
        return LaunchError::NoProgram;
    };
    let cause = Command::new(program).args(arguments).exec();
    LaunchError::Execute { program: program.to_string_lossy().into_owned(), cause }
}
