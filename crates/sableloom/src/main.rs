//! sableloom: a load balancer for services whose answers are worth nothing when late.

mod config;
mod platform;

use std::process::ExitCode;

use tokio::task::LocalSet;

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let done = runtime
        .map_err(|e| format!("runtime: {e}"))
        .and_then(|runtime| LocalSet::new().block_on(&runtime, platform::run()));
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("sableloom: {message}");
            ExitCode::FAILURE
        }
    }
}
