//! sableloom: a load balancer for services whose answers are worth nothing when late.

mod check;
mod config;
mod connection_limits;
mod control;
mod demo;
mod diagnostics;
mod fleet;
mod ingress;
mod listener;
mod platform;
mod rehearse;
mod route;
mod serve;
mod shadow;
mod site_file;

use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};
use tokio::task::LocalSet;

/// A load balancer for services whose answers are worth nothing when late.
///
/// Without a command it runs as the platform starts it: the environment variable ROUTER_CONFIG
/// names its configuration, in JSON.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a balancer before three stand-in points nodes, with real requests, and shows what came
    /// of them
    Demo(demo::Options),
    /// Runs a balancer as a site's configuration says: listeners, classes, pools, routes, files of
    /// servers. SIGHUP reads it again, SIGTERM ends it
    Serve(serve::Options),
    /// Says all that is wrong with a site's configuration and its files of servers
    Check(check::CheckOptions),
    /// Tells which route, pool and servers a request would meet, and why
    Route(route::RouteOptions),
    /// Shows what balancers that know each other know of their fleet
    #[command(subcommand)]
    Fleet(fleet::Command),
    /// Runs a control machine: serves the changes of an operator's folder to balancers. SIGTERM ends it
    Control(control::Options),
    /// Tells what came of the copies that shadows sent to a candidate
    Shadow(shadow::Options),
    /// Rehearses a fleet: starts balancers, points nodes and clients as a script says, does what it says
    /// to them, and judges what came of it. Ends with 0 if all holds that the script expects, 1 if not,
    /// 2 if it can't be played, 3 if this machine could not carry it
    Rehearse(rehearse::Options),
    /// Runs a program that ends with the process that started it
    #[command(hide = true)]
    Under(rehearse::UnderOptions),
}

/// The command that the arguments name; `None` without arguments. Nothing is parsed then: reading in the code that
/// describes and parses all commands made a balancer that the platform starts 0.3 MB larger.
fn command() -> Option<Command> {
    if std::env::args_os().len() > 1 { Arguments::parse().command } else { None }
}

/// Why a command failed: the command's own error.
type CommandError = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let command = command();
    if command.is_none() && std::env::var_os("ROUTER_CONFIG").is_none() {
        // A closed output is no reason for another exit code.
        let _ = Arguments::command().print_long_help();
        return ExitCode::from(2);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = runtime
        .map_err(|error| format!("runtime: {error}").into())
        .and_then(|runtime| LocalSet::new().block_on(&runtime, run(command)));
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("sableloom: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a command, or without one the balancer that the platform starts.
async fn run(command: Option<Command>) -> Result<ExitCode, CommandError> {
    match command {
        None => platform::run().await?,
        Some(Command::Demo(options)) => demo::run(options).await?,
        Some(Command::Serve(options)) => serve::run(options).await?,
        Some(Command::Check(options)) => check::check(&options)?,
        Some(Command::Route(options)) => route::route(&options)?,
        Some(Command::Fleet(command)) => return Ok(fleet::run(command).await?),
        Some(Command::Control(options)) => control::run(options).await?,
        Some(Command::Shadow(options)) => return Ok(shadow::run(options)?),
        Some(Command::Rehearse(options)) => return Ok(rehearse::run(options).await),
        Some(Command::Under(options)) => rehearse::under(options)?,
    }
    Ok(ExitCode::SUCCESS)
}
