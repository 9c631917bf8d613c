//! `sableloom-scale`: the scale run, and its workers.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

use clap::{Parser, Subcommand};
use sableloom_scale_test::play::{self, PlayOptions};
use sableloom_scale_test::report::RunReport;
use sableloom_scale_test::source::{self, Source};
use sableloom_scale_test::{site_cost, worker};

/// What control costs by the size of the fleet, measured with hollow balancers beside real ones.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays all sizes and prints a table, after each of them
    Run(RunArguments),
    /// Plays the data path alone: real balancers with requests, and no hollow ones
    DataPath(RunArguments),
    /// Measures `serve` on sites with files of their own, by services, servers and routes
    Sites {
        /// Programs to compare
        programs: Vec<PathBuf>,
    },
    /// Writes change files of a source into a folder
    Generate(GenerateArguments),
    /// Carries hollow balancers, by orders on its standard input; started by `run`
    #[command(hide = true)]
    Worker,
}

#[derive(clap::Args)]
struct GenerateArguments {
    /// Services, with the users' mean of servers and routes each
    #[arg(long, default_value_t = 25)]
    services: usize,
    /// Servers of each
    #[arg(long, default_value_t = source::SERVERS_EACH)]
    servers_each: usize,
    /// Routes of each
    #[arg(long, default_value_t = source::ROUTES_EACH)]
    routes_each: usize,
    /// Tenants of each with a limit of their own; in change files only
    #[arg(long, default_value_t = 0)]
    tenants_each: usize,
    /// A site for `serve` with files of servers, instead of change files for `control`
    #[arg(long)]
    site: bool,
    /// The folder, which is made
    folder: PathBuf,
}

#[derive(clap::Args)]
struct RunArguments {
    /// Members of a fleet, by size
    #[arg(long, value_delimiter = ',', default_value = "950,1900,3800,7600")]
    members: Vec<usize>,
    /// Hollow subscribers, by size
    #[arg(long, value_delimiter = ',', default_value = "950,1900,3800,7600")]
    subscribers: Vec<usize>,
    /// Services that a hollow balancer subscribes to
    #[arg(long, default_value_t = play::SCOPE, value_parser = scope)]
    scope: usize,
    /// The program under test; otherwise the one beside this
    #[arg(long, value_name = "PROGRAM")]
    sableloom: Option<PathBuf>,
    /// Processes that share hollow members
    #[arg(long, default_value_t = 8)]
    workers: usize,
    /// Where to write the result as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Run(arguments) => play_options(arguments).and_then(|options| play::run(&options)),
        Command::DataPath(arguments) => {
            play_options(arguments).and_then(|options| play::run_data_path(&options))
        }
        Command::Sites { programs } => {
            sites(&programs);
            Ok(())
        }
        Command::Generate(arguments) => generate(&arguments),
        Command::Worker => worker::run(),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("sableloom-scale: {why}");
            ExitCode::FAILURE
        }
    }
}

/// A scope: a balancer subscribes to one service at least.
fn scope(text: &str) -> Result<usize, String> {
    match text.parse() {
        Ok(scope @ 1..) => Ok(scope),
        _ => Err("expected a whole number of 1 or more".to_string()),
    }
}

/// What to play by these arguments.
fn play_options(arguments: RunArguments) -> std::io::Result<PlayOptions> {
    let RunArguments { members, subscribers, scope, sableloom, workers, json } = arguments;
    let program = std::env::current_exe()?;
    let sableloom = sableloom.unwrap_or(program.with_file_name("sableloom"));
    Ok(PlayOptions { members, subscribers, scope, workers, program, sableloom, json })
}

fn generate(arguments: &GenerateArguments) -> std::io::Result<()> {
    let source = Source {
        services: arguments.services,
        servers_each: arguments.servers_each,
        routes_each: arguments.routes_each,
        tenants_each: arguments.tenants_each,
    };
    let GenerateArguments { site, folder, .. } = arguments;
    std::fs::create_dir_all(folder)?;
    if *site {
        println!("{}", source::write_site(&source, folder, "127.0.0.1:0")?.display());
    } else {
        println!("changes 1 to {}", source.write_base(folder)?);
    }
    Ok(())
}

fn sites(programs: &[PathBuf]) {
    let begun = Instant::now();
    let progress = |line: &str| eprintln!("[{:6.1} s] {line}", begun.elapsed().as_secs_f64());
    let mut report = RunReport::default();
    site_cost::run(programs, &mut report, &progress);
    println!("{}", report.table());
}
