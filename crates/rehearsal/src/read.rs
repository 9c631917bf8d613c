//! Reads a script, and checks constraints across fields.

mod events;
mod expect;
mod fields;
mod fleet;
mod load;
mod names;

use sableloom_toml_diagnostics::{self as toml_diagnostics, Problem, Table};

use crate::arrivals::max_requests;
use crate::script::{MAX_REQUESTS, S, Script};
use events::events;
use expect::{expect, machine, phases};
use fields::us;
use fleet::{classes, fleet, groups, mean_work, nodes, processes};
use load::{clients, load};
use names::Declarations;

/// Reads the text of a script; problems name it `file`.
///
/// # Errors
///
/// All problems of the script.
pub fn read(file: &str, text: &[u8]) -> Result<Script, Vec<Problem>> {
    toml_diagnostics::read(file, text, script)
}

fn script(root: &Table<'_>) -> Option<Script> {
    let name = root.required_name("name");
    let about = root.string("about").map(|t| t.value).unwrap_or_default();
    let length = root.required_number("seconds", 0.1..=3600.0, " s");
    let fleet = fleet(root)?;
    let classes = classes(root);
    let mean = mean_work(&classes);
    let nodes = nodes(root, mean)?;
    let mut declared = Declarations {
        zones: fleet.zones.clone(),
        balancers: fleet.balancers,
        members: fleet.members,
        nodes: nodes.count,
        groups: Vec::new(),
        classes,
    };
    let load = load(root);
    let clients = clients(root);
    groups(root, &mut declared);
    let processes = processes(root, &mut declared);
    let length = length.map(|s| us(s.value * 1e3)).unwrap_or(S);
    let events = events(root, &mut declared, length);
    let phases = phases(root, length);
    let machine = machine(root);
    let expect = expect(root, &events, &nodes, length, fleet.members);
    let Declarations { groups, classes, .. } = declared;
    let script = Script {
        name: name?.value,
        about,
        length,
        fleet,
        nodes,
        classes,
        load: load?,
        clients,
        groups,
        processes,
        events,
        phases,
        expect,
        machine,
    };
    let requests = max_requests(&script);
    if requests > MAX_REQUESTS {
        let message = format!("it comes to {requests:.0} requests; {MAX_REQUESTS:.0} at most");
        root.report(&root.location(), message, Some("fewer a second, or fewer seconds".into()));
    }
    Some(script)
}
