//! A balancer's place in its fleet, and `sableloom fleet`: what balancers that know each other know.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use comfy_table::{Table, presets};
use sableloom_capacity_share::Timing;
use sableloom_exchange::Clock;
use sableloom_fleet::{Options, Running, Setup, Status, Told, status_of};
use sableloom_membership::{ListedMember, MemberList, Timing as MembershipTiming};
use sableloom_site_config::Fleet;
use sableloom_types::settings::span;

use crate::site_file::{lines_of, load};

/// Lives are tenths of seconds since this one of Unix time, the first of 2025: they fit 32 bits for 13 years.
const LIVES_FROM: i64 = 1_735_689_600;

/// Queries about an absent member within one lease: a proof of absence is renewed although three of them are lost.
const QUERIES_PER_LEASE: f64 = 4.0;

/// What to show.
#[derive(clap::Subcommand)]
pub enum Command {
    /// Shows what one balancer knows of its fleet: who is there, since when, by whose word, its own part
    Members(RequestContext),
    /// Shows where several balancers' knowledge differs. Ends with 0 if they agree, 1 if not
    Compare(Several),
}

/// Whom to ask.
#[derive(clap::Args)]
pub struct RequestContext {
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

/// Whom to ask.
#[derive(clap::Args)]
pub struct Several {
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

/// The others on the list.
pub fn others(fleet: &Fleet) -> Vec<ListedMember> {
    let others = fleet.members.iter().filter(|m| m.name != fleet.own_name);
    others.map(|m| ListedMember { name: m.name.clone(), address: m.address }).collect()
}

/// Takes this balancer's place among the others.
pub async fn start(fleet: &Fleet, clock: Clock, told: Rc<dyn Told>) -> Result<Rc<Running>, String> {
    let Some(address) = fleet.address() else {
        return Err(format!("field `fleet.own`: no member {:?}", fleet.own_name));
    };
    let tenths = clock.now().0 / 100_000 - LIVES_FROM * 10;
    let life = tenths.clamp(1, i64::from(u32::MAX) - 1);
    // Of the time as well: its nonce must not be that of an earlier process with the same number.
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let seed = unix.as_nanos() as u64 ^ u64::from(std::process::id()).rotate_left(40);
    let lease = span(fleet.lease_ms);
    let setup = Setup {
        fleet: fleet.name.clone(),
        own: fleet.own_name.clone(),
        talk: MembershipTiming {
            probe_interval: span(fleet.probe_interval_ms),
            probe_timeout: span(fleet.probe_timeout_ms),
            ..MembershipTiming::default()
        },
        share: Timing {
            lease,
            query_interval: span(fleet.lease_ms / QUERIES_PER_LEASE),
            ..Timing::default()
        },
    };
    let options = Options {
        setup,
        address,
        operator: fleet.operator,
        list: MemberList::new(others(fleet)),
        life: life as u32,
        seed,
        clock,
        told,
    };
    Running::start(options).await.map_err(|e| {
        let held = match e.kind() {
            std::io::ErrorKind::AddrInUse => "; another process, perhaps of this name, holds it",
            _ => "",
        };
        format!("field `fleet`: {:?} at {address}: {e}{held}", fleet.own_name)
    })
}

fn named(path: &std::path::Path) -> Result<(Fleet, SocketAddr), String> {
    let (site, _) = load(path).map_err(|wrong| lines_of(&wrong))?;
    let fleet = site.fleet.ok_or(format!("{}: it has no [fleet]", path.display()))?;
    let Some(operator) = fleet.operator else {
        let line = fleet.location.line;
        let what = "field `fleet.operator`: missing; expected the address that operators ask from";
        return Err(format!("{}:{line}: {what}", path.display()));
    };
    Ok((fleet, operator))
}

/// Runs a command.
pub async fn run(command: Command) -> Result<ExitCode, String> {
    match command {
        Command::Members(RequestContext { address, from, config }) => {
            let (from, address) = match (config, address, from) {
                (Some(path), ..) => {
                    let (fleet, operator) = named(&path)?;
                    let own = fleet.address().ok_or("it does not name its own address")?;
                    (operator, own)
                }
                (None, Some(address), Some(from)) => (from, address),
                _ => return Err("whom to ask is not said".to_string()),
            };
            print!("{}", members(&status_of(from, address).await?));
            Ok(ExitCode::SUCCESS)
        }
        Command::Compare(Several { addresses, from, config }) => {
            let (from, asked) = match (config, from) {
                (Some(path), _) => {
                    let (fleet, operator) = named(&path)?;
                    (operator, fleet.members.iter().map(|m| m.address).collect())
                }
                (None, Some(from)) => (from, addresses),
                (None, None) => return Err("whom to ask is not said".to_string()),
            };
            let mut answers = Vec::new();
            for address in asked {
                answers.push((address, status_of(from, address).await));
            }
            let (text, agree) = compare(&answers);
            print!("{text}");
            Ok(if agree { ExitCode::SUCCESS } else { ExitCode::from(1) })
        }
    }
}

fn head(status: &Status) -> String {
    let part = &status.part;
    let share = match part.balancers {
        0 => "none yet".to_string(),
        n => format!("1 of {n}"),
    };
    format!(
        "{} of fleet {}, life {}: {}, hears {} of {}, doubt {}; part {share} ({}; {} listed, {} proved \
         absent); view {}, digest {}, servers {}",
        status.own,
        status.fleet,
        status.life,
        status.standing,
        status.hears,
        status.of,
        status.doubt,
        part.why,
        part.listed,
        part.absent,
        status.number,
        status.digest,
        status.servers
    )
}

fn members(status: &Status) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header([
        "member", "address", "state", "for", "by", "accusers", "life", "heard", "lists", "servers",
    ]);
    let seconds = |ms: i64| format!("{:.1} s", ms as f64 / 1e3);
    for m in &status.members {
        table.add_row([
            m.name.clone(),
            m.address.clone(),
            m.state.clone(),
            seconds(m.since_ms),
            m.by.clone(),
            m.accusers.to_string(),
            m.life.to_string(),
            m.heard_ms.map_or("never".to_string(), |ms| format!("{} ago", seconds(ms))),
            m.listed.to_string(),
            m.servers.clone(),
        ]);
    }
    let d = &status.dropped;
    let dropped = [
        ("too long", d.too_long),
        ("another version", d.version),
        ("malformed", d.malformed),
        ("another fleet", d.fleet),
        ("no member's address", d.address),
        ("another's name", d.name),
        ("an earlier process's", d.echo),
    ];
    let dropped: Vec<String> =
        dropped.iter().filter(|d| d.1 > 0).map(|(what, n)| format!("{n} {what}")).collect();
    let dropped = if dropped.is_empty() { "none".to_string() } else { dropped.join(", ") };
    format!("{}\n{table}\ndropped: {dropped}\n", head(status))
}

/// Where views differ, and whether they agree.
fn compare(answers: &[(SocketAddr, Result<Status, String>)]) -> (String, bool) {
    let mut text = String::new();
    let mut agree = true;
    let mut seen: BTreeMap<&str, BTreeMap<String, Vec<&str>>> = BTreeMap::new();
    let mut digests: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    let (mut parts, mut listed) = (0.0, BTreeMap::new());
    let mut servers: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (_, answer) in answers {
        match answer {
            Err(e) => {
                agree = false;
                text += &format!("{e}\n");
            }
            Ok(status) => {
                text += &format!("{}\n", head(status));
                digests.entry(&status.digest).or_default().push(&status.own);
                servers.entry(&status.servers).or_default().push(&status.own);
                listed.entry(status.members.len() + 1).or_insert_with(Vec::new).push(&*status.own);
                if status.part.balancers > 0 {
                    parts += 1.0 / f64::from(status.part.balancers);
                }
                let own = format!("alive in life {}", status.life);
                seen.entry(&status.own).or_default().entry(own).or_default().push(&status.own);
                for m in &status.members {
                    let says = match m.state.as_str() {
                        "suspect" | "alive" => format!("{} in life {}", m.state, m.life),
                        state => state.to_string(),
                    };
                    seen.entry(&m.name).or_default().entry(says).or_default().push(&status.own);
                }
            }
        }
    }
    for (member, says) in seen.iter().filter(|(_, says)| says.len() > 1) {
        let says: Vec<String> =
            says.iter().map(|(what, by)| format!("{what} by {}", by.join(" "))).collect();
        text += &format!("{member}: {}\n", says.join("; "));
    }
    for (n, by) in listed.iter().filter(|_| listed.len() > 1) {
        text += &format!("{n} listed by {}\n", by.join(" "));
    }
    for (digest, by) in servers.iter().filter(|_| servers.len() > 1) {
        text += &format!("lists of servers {digest} at {}\n", by.join(" "));
    }
    agree &= servers.len() <= 1;
    agree &= digests.len() <= 1 && listed.len() <= 1;
    let verdict = if agree { "they agree" } else { "they do not agree" };
    text += &format!("{verdict}; their parts add up to {parts:.3}\n");
    (text, agree)
}
