//! `sableloom rehearse`: a fleet of real processes, the faults between them in a script, one verdict.

use std::collections::HashMap;
use std::ffi::OsString;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use sableloom_harness::{
    LaunchError, LaunchOptions, Options as Play, PlayError, Report, beside, compared, page, play,
    table,
};
use sableloom_rehearsal::{Lists, Script, timeline};
use sableloom_server_files::{FileError, read_file};
use sableloom_toml_diagnostics::Problem;

/// What to rehearse.
#[derive(clap::Args)]
pub(crate) struct Options {
    /// The script, in TOML
    script: PathBuf,
    /// What all that is left to chance is drawn from
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Where the files and logs of all processes and the report go; emptied of an earlier run's
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// A program that the script names, as old=PATH; may be given more than once
    #[arg(long, value_name = "NAME=PATH")]
    binary: Vec<String>,
    /// The program to run as a balancer where the script names none; this one without
    #[arg(long, value_name = "PATH")]
    program: Option<PathBuf>,
    /// The folder of an earlier run to compare this one with
    #[arg(long, value_name = "DIR")]
    beside: Option<PathBuf>,
    /// Let the balancers know each other, also where the script says nothing of it
    #[arg(long)]
    members: bool,
    /// Threads of clients
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=64))]
    threads: u16,
    /// Only print what would be done, and when
    #[arg(long)]
    timeline: bool,
}

/// How to run a program under the harness.
#[derive(clap::Args)]
pub(crate) struct UnderOptions {
    /// The harness's process
    #[arg(long)]
    parent: u32,
    /// Descriptors at most
    #[arg(long)]
    descriptors: Option<u64>,
    /// Memory that it may map, in MB
    #[arg(long)]
    memory_mb: Option<u64>,
    /// The program and its arguments
    #[arg(last = true, required = true)]
    command: Vec<OsString>,
}

/// Becomes the program.
pub(crate) fn under(options: UnderOptions) -> Result<(), LaunchError> {
    let UnderOptions { parent, descriptors, memory_mb, command } = options;
    let options = LaunchOptions { parent, descriptors, memory_mb, command };
    Err(sableloom_harness::launch(&options))
}

/// Why a rehearsal has no verdict.
#[derive(Debug, thiserror::Error)]
enum RehearseError {
    #[error("{file}: {cause}")]
    UnreadableScript { file: String, cause: FileError },
    /// All problems of the script, a line each.
    #[error("{0}")]
    Script(String),
    #[error("--binary {0:?}: expected NAME=PATH, as old=/opt/sableloom-0.1")]
    Binary(String),
    #[error("--binary {0}: it is given twice")]
    BinaryTwice(String),
    #[error("--members: balancers can't talk in the platform's mode")]
    MembersOnPlatform,
    #[error("{file}: {cause}")]
    File { file: String, cause: std::io::Error },
    #[error("{file}: no report of a rehearsal: {cause}")]
    NoReport { file: String, cause: serde_json::Error },
    #[error("this program's own path: {0}")]
    OwnPath(std::io::Error),
    #[error(transparent)]
    Play(#[from] PlayError),
    #[error("the report: {0}")]
    Encode(serde_json::Error),
    #[error("the report's drawings: {0}")]
    Drawings(Box<dyn std::error::Error>),
}

/// For a rehearsal that can't be played.
const UNPLAYED: u8 = 2;

/// Runs it.
pub(crate) async fn run(options: Options) -> ExitCode {
    match rehearse(options).await {
        Ok(code) => ExitCode::from(code),
        Err(message) => {
            eprintln!("sableloom: {message}");
            ExitCode::from(UNPLAYED)
        }
    }
}

fn load(path: &Path) -> Result<Script, RehearseError> {
    let name = path.display().to_string();
    let bytes = match read_file(path) {
        Ok(bytes) => bytes,
        Err(cause) => return Err(RehearseError::UnreadableScript { file: name, cause }),
    };
    sableloom_rehearsal::read(&name, &bytes).map_err(|wrong| {
        let lines: Vec<String> = wrong.iter().map(Problem::to_string).collect();
        RehearseError::Script(lines.join("\n"))
    })
}

fn binaries(given: &[String]) -> Result<HashMap<String, PathBuf>, RehearseError> {
    let mut binaries = HashMap::new();
    for text in given {
        let Some((name, path)) =
            text.split_once('=').filter(|(n, p)| !n.is_empty() && !p.is_empty())
        else {
            return Err(RehearseError::Binary(text.clone()));
        };
        if binaries.insert(name.to_string(), PathBuf::from(path)).is_some() {
            return Err(RehearseError::BinaryTwice(name.to_string()));
        }
    }
    Ok(binaries)
}

fn report_in(folder: &Path) -> Result<Report, RehearseError> {
    let path = folder.join("report.json");
    let text = std::fs::read(&path).map_err(|cause| file_error(&path, cause))?;
    serde_json::from_slice(&text)
        .map_err(|cause| RehearseError::NoReport { file: path.display().to_string(), cause })
}

fn file_error(path: &Path, cause: std::io::Error) -> RehearseError {
    RehearseError::File { file: path.display().to_string(), cause }
}

async fn rehearse(options: Options) -> Result<u8, RehearseError> {
    let mut script = load(&options.script)?;
    if options.members && script.fleet.lists == Lists::Discovery {
        return Err(RehearseError::MembersOnPlatform);
    }
    script.fleet.members |= options.members;
    if options.timeline {
        print!("{}", timeline(&script, options.seed));
        return Ok(0);
    }
    // Before minutes are spent on the run.
    let before = options.beside.as_deref().map(report_in).transpose()?;
    let launcher = std::env::current_exe().map_err(RehearseError::OwnPath)?;
    let out = options.out.unwrap_or_else(|| {
        std::env::temp_dir().join(format!("sableloom-rehearsal-{}", std::process::id()))
    });
    let report = play(
        &script,
        &Play {
            program: options.program.unwrap_or_else(|| launcher.clone()),
            launcher,
            binaries: binaries(&options.binary)?,
            out: out.clone(),
            seed: options.seed,
            threads: usize::from(options.threads),
            progress: std::io::stderr().is_terminal(),
        },
    )
    .await?;
    let write = |name: &str, text: String| {
        let path = out.join(name);
        std::fs::write(&path, text).map_err(|cause| file_error(&path, cause))
    };
    write("report.json", serde_json::to_string(&report).map_err(RehearseError::Encode)?)?;
    write("report.html", page(&report).map_err(RehearseError::Drawings)?)?;
    print!("{}", table(&report));
    if let Some(before) = &before {
        let both = beside(&report, before).map_err(RehearseError::Drawings)?;
        write("beside.html", both)?;
        print!("{}", compared(&report, before));
    }
    println!("report: {}", out.join("report.html").display());
    Ok(report.verdict.code())
}
