//! `sableloom control`: a control machine, its status, and a check of change files.

mod status_json;
mod status_text;

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use sableloom_control::{
    Server, StartError, StatusError, check_file, check_folder, fetch_status, read_settings,
};
use sableloom_server_files::read_file;
use sableloom_toml_diagnostics::Problem;
use tokio::signal::unix::{SignalKind, signal};

use crate::diagnostics::ProblemReport;

/// What to do.
#[derive(clap::Args)]
#[command(args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
pub(crate) struct Options {
    /// The control machine's settings, in TOML
    #[arg(long, value_name = "FILE", required = true)]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(clap::Subcommand)]
enum Command {
    /// Shows what a control machine has, and which balancers have which of it
    Status(StatusOptions),
    /// Says all that is wrong with a change file, or with a folder of them as a whole
    Check(CheckOptions),
}

/// Whom to ask, and how to show it.
#[derive(clap::Args)]
struct StatusOptions {
    /// Where the control machine listens
    #[arg(long, value_name = "ADDRESS")]
    at: SocketAddr,
    /// Prints JSON instead of tables
    #[arg(long)]
    json: bool,
}

/// What to check.
#[derive(clap::Args)]
struct CheckOptions {
    /// A change file, or a folder of them
    path: PathBuf,
    /// The number that the folder's log begins with
    #[arg(long, default_value_t = 1)]
    first: u64,
}

/// Why the command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ControlError {
    /// Neither a command nor settings were given.
    #[error("--config is missing")]
    MissingConfig,
    /// The signal that ends it can't be handled.
    #[error("SIGTERM: {0}")]
    Signal(io::Error),
    /// The file of settings can't be read.
    #[error("{file}: {cause}")]
    Unreadable {
        /// The file.
        file: String,
        /// Why.
        cause: String,
    },
    /// The settings or the change files are wrong.
    #[error("{0}")]
    Problems(ProblemReport),
    /// The server can't start with these settings.
    #[error("{file}: {cause}")]
    Start {
        /// The file of settings.
        file: String,
        /// Why.
        cause: StartError,
    },
    /// The address of the server is unknown.
    #[error("{file}: {cause}")]
    Address {
        /// The file of settings.
        file: String,
        /// Why.
        cause: io::Error,
    },
    /// A control machine gave no status.
    #[error("{address}: {cause}")]
    Status {
        /// The control machine.
        address: SocketAddr,
        /// Why.
        cause: StatusError,
    },
}

/// Runs a command.
pub(crate) async fn run(options: Options) -> Result<(), ControlError> {
    match (options.command, options.config) {
        (Some(Command::Status(options)), _) => status(&options).await,
        (Some(Command::Check(options)), _) => check(&options),
        (None, Some(config)) => serve(&config).await,
        (None, None) => Err(ControlError::MissingConfig),
    }
}

async fn serve(config: &Path) -> Result<(), ControlError> {
    // Handled before anything is started, so that an early signal is not lost.
    let mut terminate = signal(SignalKind::terminate()).map_err(ControlError::Signal)?;
    let file = config.display().to_string();
    let text = read_file(config).map_err(|cause| ControlError::Unreadable {
        file: file.clone(),
        cause: cause.to_string(),
    })?;
    let settings =
        read_settings(&file, &text).map_err(|problems| problems_of(config, &problems))?;
    let base = config.parent().unwrap_or(Path::new(""));
    let server = Server::start(&settings, base)
        .map_err(|cause| ControlError::Start { file: file.clone(), cause })?;
    eprintln!("sableloom: changes read to {}", server.position());
    let address = server.address().map_err(|cause| ControlError::Address { file, cause })?;
    eprintln!("sableloom: control listening on {address}");
    let shutdown = async { _ = terminate.recv().await };
    server.run(shutdown).await;
    eprintln!("sableloom: control ended");
    Ok(())
}

fn check(options: &CheckOptions) -> Result<(), ControlError> {
    let path = &options.path;
    let name = path.display();
    if !path.is_dir() {
        check_file(path).map_err(|problems| problems_of(path, &problems))?;
        println!(
            "{name}: good by itself; check its folder to see whether it fits what comes before"
        );
        return Ok(());
    }
    // Problems name files of the folder, so any path in it serves to find them.
    let in_folder = path.join("00000001.toml");
    let log =
        check_folder(path, options.first).map_err(|problems| problems_of(&in_folder, &problems))?;
    println!(
        "{name}: good; {} changes to {}, {} services, {} resources, {} of them tenants",
        log.files, log.position, log.services, log.resources, log.tenants
    );
    Ok(())
}

fn problems_of(path: &Path, problems: &[Problem]) -> ControlError {
    ControlError::Problems(ProblemReport::new(path, problems))
}

async fn status(options: &StatusOptions) -> Result<(), ControlError> {
    let address = options.at;
    let report =
        fetch_status(address).await.map_err(|cause| ControlError::Status { address, cause })?;
    match options.json {
        true => println!("{}", status_json::as_json(&report)),
        false => print!("{}", status_text::as_text(address, &report)),
    }
    Ok(())
}
