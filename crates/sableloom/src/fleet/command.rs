//! `sableloom fleet members` and `sableloom fleet compare`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use sableloom_fleet::{QueryError, query_status};
use sableloom_site_config::Fleet;

use super::comparison::Comparison;
use super::members_table;
use crate::site_file::{lines_of, load};

/// What to show.
#[derive(clap::Subcommand)]
pub(crate) enum Command {
    /// Shows what one balancer knows of its fleet: who is there, since when, by whose word, its own part
    Members(OneBalancer),
    /// Shows where several balancers' knowledge differs. Ends with 0 if they agree, 1 if not
    Compare(SeveralBalancers),
}

/// The balancer to query.
#[derive(clap::Args)]
pub(crate) struct OneBalancer {
    /// Where the balancer takes datagrams
    #[arg(required_unless_present = "config", conflicts_with = "config", requires = "from")]
    address: Option<SocketAddr>,
    /// The address to ask from, as its site names it in `fleet.operator`
    #[arg(long, value_name = "ADDRESS")]
    from: Option<SocketAddr>,
    /// The balancer's site, which names both
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
}

/// The balancers to query.
#[derive(clap::Args)]
pub(crate) struct SeveralBalancers {
    /// Where the balancers take datagrams; without any, all members of the site are asked
    #[arg(required_unless_present = "config", requires = "from")]
    addresses: Vec<SocketAddr>,
    /// The address to ask from, as their sites name it in `fleet.operator`
    #[arg(long, value_name = "ADDRESS")]
    from: Option<SocketAddr>,
    /// A site that names the members and the address to ask from
    #[arg(long, value_name = "FILE", conflicts_with_all = ["addresses", "from"])]
    config: Option<PathBuf>,
}

/// Why a command can't be run.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// The site's file is wrong.
    #[error("{0}")]
    Site(String),
    /// The site's file has no fleet.
    #[error("{}: it has no [fleet]", .0.display())]
    NoFleet(PathBuf),
    /// The site's file names no operator's address.
    #[error(
        "{}:{line}: field `fleet.operator`: missing; expected the address that operators ask from",
        .file.display()
    )]
    NoOperator {
        /// The site's file.
        file: PathBuf,
        /// The line of its `[fleet]`.
        line: usize,
    },
    /// The list of members does not name the balancer of the site.
    #[error("it does not name its own address")]
    NoOwnAddress,
    /// The command line names no balancer.
    #[error("whom to ask is not said")]
    NoAddress,
    /// The balancer gave no status.
    #[error(transparent)]
    Query(#[from] QueryError),
}

/// The fleet of a site, and the address that operators query from.
fn fleet_of(path: &Path) -> Result<(Fleet, SocketAddr), CommandError> {
    let (site, _) = load(path).map_err(|problems| CommandError::Site(lines_of(&problems)))?;
    let fleet = site.fleet.ok_or_else(|| CommandError::NoFleet(path.to_path_buf()))?;
    let line = fleet.location.line;
    let operator = fleet.operator;
    let operator =
        operator.ok_or_else(|| CommandError::NoOperator { file: path.to_path_buf(), line })?;
    Ok((fleet, operator))
}

/// Runs a command.
///
/// # Errors
///
/// [`CommandError`] if the command line or the site names no balancer, or `members` gets no status. `compare` lists
/// balancers that give none.
pub(crate) async fn run(command: Command) -> Result<ExitCode, CommandError> {
    match command {
        Command::Members(balancer) => show_members(balancer).await,
        Command::Compare(balancers) => compare(balancers).await,
    }
}

async fn show_members(balancer: OneBalancer) -> Result<ExitCode, CommandError> {
    let OneBalancer { address, from, config } = balancer;
    let (operator, address) = match (config, address, from) {
        (Some(path), ..) => {
            let (fleet, operator) = fleet_of(&path)?;
            (operator, fleet.address().ok_or(CommandError::NoOwnAddress)?)
        }
        (None, Some(address), Some(from)) => (from, address),
        _ => return Err(CommandError::NoAddress),
    };
    print!("{}", members_table::text(&query_status(operator, address).await?));
    Ok(ExitCode::SUCCESS)
}

async fn compare(balancers: SeveralBalancers) -> Result<ExitCode, CommandError> {
    let SeveralBalancers { addresses, from, config } = balancers;
    let (operator, addresses) = match (config, from) {
        (Some(path), _) => {
            let (fleet, operator) = fleet_of(&path)?;
            (operator, fleet.members.iter().map(|member| member.address).collect())
        }
        (None, Some(from)) => (from, addresses),
        (None, None) => return Err(CommandError::NoAddress),
    };
    let mut answers = Vec::new();
    for address in addresses {
        answers.push(query_status(operator, address).await);
    }
    let comparison = Comparison::of(&answers);
    print!("{comparison}");
    Ok(if comparison.agree() { ExitCode::SUCCESS } else { ExitCode::from(1) })
}
