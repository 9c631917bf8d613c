//! The data path alone: real balancers with requests, before any hollow balancer shares the machine with them.

use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::control::ControlMachines;
use crate::processes::WorkerError;
use crate::real::{RealBalancers, RealServers};
use crate::report::RunReport;
use crate::requests::RequestRun;
use crate::source::{ChangeText, Folder, Source};

/// By what the values are shown: there are none.
pub const SIZE: &str = "hollow balancers";

/// How to play it.
#[derive(Clone, Debug)]
pub struct DataPathOptions {
    /// Real balancers.
    pub real: usize,
    /// Services that each of them subscribes to, beside the one that it has requests for.
    pub real_scope: usize,
    /// How long requests are made.
    pub time: Duration,
}

/// Plays it and adds what it finds to the report.
///
/// # Errors
///
/// If a process or the traffic can't be started.
pub fn run(
    sableloom: &Path,
    options: &DataPathOptions,
    report: &mut RunReport,
    progress: &dyn Fn(&str),
) -> Result<(), WorkerError> {
    progress(&format!("data path: {} real balancers, no hollow ones", options.real));
    let folder = Folder::new("data-path")?;
    let source = Source::of(options.real_scope);
    let servers = RealServers::start();
    let mut change = ChangeText::new(source.write_base(folder.path())? + 1);
    servers.set(&mut change);
    change.write(folder.path())?;
    let control = ControlMachines::start(sableloom, folder.path(), 1)?;
    let real = RealBalancers::start(
        sableloom,
        folder.path(),
        options.real,
        &control.addresses(),
        source.services,
        options.real_scope,
    )?;
    let requests = RequestRun::start(&real, &servers, 0)?;
    thread::sleep(options.time);
    let mut add = |what: &str, value: f64, void: Option<&str>| {
        report.add(&format!("data path alone: {what}"), SIZE, 0.0, value, void);
    };
    match requests.end(&real, &mut add) {
        true => Ok(()),
        false => Err(io::Error::other("the requests' thread failed").into()),
    }
}
