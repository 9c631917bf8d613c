//! Checks of the files of a pool in combination.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use sableloom_toml_diagnostics::Problem;
use sableloom_types::Time;

use crate::clock::{MAX_CLOCK_DIFFERENCE_MS, unix_ms};
use crate::file::MAX_SERVERS;
use crate::server_record::{ServerListing, ServerRecord};

/// Checks the listings of all files of a pool; `listings` is in the order of `files`. Returns all problems found.
pub(crate) fn check(
    now: Time,
    files: &[String],
    listings: &[Arc<ServerListing>],
) -> Result<(), Vec<Problem>> {
    let servers: Vec<(&String, &ServerRecord)> = files
        .iter()
        .zip(listings)
        .flat_map(|(file, listing)| listing.servers.iter().map(move |server| (file, server)))
        .collect();
    let mut problems = Vec::new();
    check_servers(now, &servers, &mut problems);
    let last_file = files.last().map_or("", String::as_str);
    let count = servers.len();
    if count > MAX_SERVERS {
        let message = format!("{count} servers in all files are more than {MAX_SERVERS}");
        problems.push(Problem::of_file(last_file, message));
    }
    if count > 0 && servers.iter().all(|(_, server)| server.weight == 0.0) {
        let mut problem = Problem::of_file(last_file, "every server has weight 0");
        problem.help = Some("to drain a server, write state = \"draining\"".into());
        problems.push(problem);
    }
    if problems.is_empty() { Ok(()) } else { Err(problems) }
}

/// Reports ids and addresses that occur in two files, and start times in the future.
fn check_servers(now: Time, servers: &[(&String, &ServerRecord)], problems: &mut Vec<Problem>) {
    let (mut ids, mut addresses) = (FxHashMap::default(), FxHashMap::default());
    for &(file, server) in servers {
        // Duplicates within one file are reported by `read`.
        let mut report_duplicate = |field: &str, value: String, first_file: Option<&String>| {
            if let Some(first_file) = first_file.filter(|first_file| *first_file != file) {
                let message = format!("{value} is in {first_file} as well");
                problems.push(server.problem(file, field, message));
            }
        };
        report_duplicate("id", format!("{:?}", server.id), ids.insert(&server.id, file));
        let address = server.address.to_string();
        report_duplicate("address", address, addresses.insert(server.address, file));
        if server.started_ms.is_some_and(|at| at > unix_ms(now) + MAX_CLOCK_DIFFERENCE_MS) {
            let message = "more than an hour ahead of this machine's clock".to_string();
            problems.push(server.problem(file, "started", message));
        }
    }
}
