//! Prints what the decisions come to in each hard case of a large fleet, beside two baselines.

use clap::Parser;
use comfy_table::{Table, presets};
use sableloom_fleet_sim::{Case, Chooser, Tally, World, cases};

/// Plays the hard cases of a large fleet in simulated time.
#[derive(Parser)]
struct Args {
    /// Balancers.
    #[arg(long, default_value_t = 300)]
    balancers: usize,
    /// Servers.
    #[arg(long, default_value_t = 170)]
    servers: usize,
    /// Seeds a case, from --seed on.
    #[arg(long, default_value_t = 2)]
    seeds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// One case only; without it all.
    #[arg(long)]
    case: Option<String>,
    /// Prints what was served second by second as well.
    #[arg(long)]
    by_second: bool,
}

fn mean(tallies: &[Tally], what: impl Fn(&Tally) -> f64) -> f64 {
    tallies.iter().map(what).sum::<f64>() / tallies.len().max(1) as f64
}

/// Plays the seeds side by side.
fn play(case: &Case, chooser: Chooser, args: &Args) -> Vec<Tally> {
    std::thread::scope(|scope| {
        let seeds = args.seed..args.seed + args.seeds;
        let plays: Vec<_> =
            seeds.map(|seed| scope.spawn(move || World::play(case, chooser, seed))).collect();
        plays.into_iter().filter_map(|play| play.join().ok()).collect()
    })
}

const COLUMNS: [&str; 13] = [
    "case",
    "random",
    "sableloom",
    "omniscient",
    "balance",
    "redeem",
    "worst s",
    "rejected",
    "failed",
    "tries",
    "timed out",
    "unreached",
    "cold push",
];

/// What the choosers came to in one case.
struct Results {
    random: Vec<Tally>,
    sableloom: Vec<Tally>,
    omniscient: Vec<Tally>,
}

impl Results {
    fn of(case: &Case, args: &Args) -> Self {
        Self {
            sableloom: play(case, Chooser::Sableloom, args),
            random: play(case, Chooser::Random, args),
            omniscient: play(case, Chooser::Omniscient, args),
        }
    }

    fn row(&self, name: &str) -> Vec<String> {
        let ours = &self.sableloom;
        let share = |value: f64| format!("{value:.3}");
        let per_request = |count: fn(&Tally) -> usize| {
            mean(ours, |tally| count(tally) as f64 / tally.requests as f64)
        };
        vec![
            name.to_owned(),
            share(mean(&self.random, Tally::served)),
            share(mean(ours, Tally::served)),
            share(mean(&self.omniscient, Tally::served)),
            share(mean(ours, |tally| tally.class[0].ratio())),
            share(mean(ours, |tally| tally.class[1].ratio())),
            share(mean(ours, worst_second)),
            share(per_request(|tally| tally.rejected)),
            share(per_request(|tally| tally.failed)),
            format!("{:.2}", per_request(|tally| tally.attempts)),
            share(mean(ours, |tally| tally.outcome("Timeout"))),
            share(mean(ours, |tally| tally.outcome("ConnectFailed"))),
            format!("{:.2}", ours.iter().map(|tally| tally.pushed).fold(0.0, f64::max)),
        ]
    }

    fn print_by_second(&self, case: &Case) {
        for (name, tallies) in [("sableloom", &self.sableloom), ("omniscient", &self.omniscient)] {
            let served = |second: usize| mean(tallies, |tally| tally.seconds[second].ratio());
            let line: Vec<_> =
                (0..case.seconds as usize).map(|s| format!("{:.2}", served(s))).collect();
            println!("{} {name}: {}", case.name, line.join(" "));
        }
    }

    /// Prints some of the broken rules, and returns how many there are.
    fn report_broken(&self, case: &Case) -> usize {
        for tally in &self.sableloom {
            tally.broken.iter().take(5).for_each(|rule| eprintln!("{}: {rule}", case.name));
        }
        self.sableloom.iter().map(|tally| tally.broken.len()).sum()
    }
}

fn worst_second(tally: &Tally) -> f64 {
    let seconds = &tally.seconds[..tally.seconds.len() - 1];
    seconds.iter().map(|second| second.ratio()).fold(1.0, f64::min)
}

/// The cases that the arguments name, or all; ends the program if there is no such case.
fn chosen_cases(args: &Args) -> Vec<Case> {
    let all = cases(args.balancers, args.servers);
    let is_chosen = |case: &&Case| args.case.as_ref().is_none_or(|name| *name == case.name);
    let chosen: Vec<Case> = all.iter().filter(is_chosen).cloned().collect();
    if chosen.is_empty() {
        let names: Vec<_> = all.iter().map(|case| case.name).collect();
        eprintln!("no such case; the cases are {}", names.join(", "));
        std::process::exit(2);
    }
    chosen
}

fn main() {
    let args = Args::parse();
    let mut table = Table::new();
    table.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    table.set_header(COLUMNS);
    let mut broken = 0;
    for case in &chosen_cases(&args) {
        let results = Results::of(case, &args);
        table.add_row(results.row(case.name));
        broken += results.report_broken(case);
        if args.by_second {
            results.print_by_second(case);
        }
    }
    println!("{table}");
    println!(
        "{} balancers, {} servers, seeds {} to {}; shares of weight served in time; rules broken: {broken}",
        args.balancers,
        args.servers,
        args.seed,
        args.seed + args.seeds - 1,
    );
    if broken > 0 {
        std::process::exit(1);
    }
}
