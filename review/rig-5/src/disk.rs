//! A file on a disk that does not answer for a while: whoever opens it waits.

use std::ffi::c_int;
use std::fs::File;
use std::io;
use std::os::fd::AsRawFd;
use std::path::Path;

unsafe extern "C" {
    fn fcntl(fd: c_int, command: c_int, ...) -> c_int;
    fn signal(signal: c_int, handler: usize) -> usize;
}

const F_SETLEASE: c_int = 1024;
const F_WRLCK: c_int = 1;
const SIGIO: c_int = 29;
const SIG_IGN: usize = 1;

/// How long the system lets a lease stand that somebody waits for, in seconds, at least: longer than any case needs it.
const LEAST_BREAK_S: u64 = 30;

/// Takes a lease (fcntl(2), F_SETLEASE) on a file of this process. Whoever else opens it waits until this process gives
/// the lease back by closing the file, or for 45 s at most. That stands in for a disk that hangs: no rights are needed, and
/// nothing but this file is concerned.
pub fn hold(path: &Path) -> io::Result<File> {
    let limit = std::fs::read_to_string("/proc/sys/fs/lease-break-time").unwrap_or_default();
    if limit.trim().parse::<u64>().is_ok_and(|seconds| seconds < LEAST_BREAK_S) {
        return Err(io::Error::other("leases end too soon on this machine"));
    }
    let file = File::options().read(true).write(true).open(path)?;
    // SAFETY: both calls take integers only.
    let held = unsafe {
        signal(SIGIO, SIG_IGN);
        fcntl(file.as_raw_fd(), F_SETLEASE, F_WRLCK)
    };
    if held == 0 { Ok(file) } else { Err(io::Error::last_os_error()) }
}
