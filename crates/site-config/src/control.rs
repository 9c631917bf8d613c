//! The control machines that a balancer's pools and routes come from, if not from the site itself.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use sableloom_distribution::{ServiceName, SubscriberName};
use sableloom_toml_diagnostics::{Located, Table};

use crate::fields::file_name;
use crate::location::SourceLocation;

/// Control machines that this balancer subscribes to for its pools and routes.
#[derive(Clone, Debug, PartialEq)]
pub struct Control {
    /// This balancer's name as a subscriber; no other subscriber has it.
    pub subscriber: SubscriberName,
    /// The control machines, each of which has the whole configuration.
    pub machines: Vec<SocketAddr>,
    /// The services that this balancer serves.
    pub services: Vec<ServiceName>,
    /// The file that the last good state is stored in, relative to the site's folder; it is not stored if none.
    pub state_file: Option<String>,
    /// Where it is written.
    pub location: SourceLocation,
}

/// The section `[control]`.
pub(crate) fn read_control(table: Option<Table<'_>>) -> Option<Control> {
    let table = table?;
    let subscriber = read_subscriber(&table);
    let (machines, services) = (read_machines(&table), read_services(&table));
    let state_file = file_name(&table, "state");
    table.finish();
    let location = SourceLocation::of(&table);
    Some(Control { subscriber: subscriber?, machines, services, state_file, location })
}

fn read_subscriber(table: &Table<'_>) -> Option<SubscriberName> {
    let own = table.required_string("own", "this balancer's name as a subscriber")?;
    match SubscriberName::try_from(own.value.as_str()) {
        Ok(name) => Some(name),
        Err(error) => {
            table.report(&own, format!("{:?}: {error}", own.value), None);
            None
        }
    }
}

fn read_machines(table: &Table<'_>) -> Vec<SocketAddr> {
    let mut machines = Vec::new();
    for text in table.strings("machines") {
        match text.value.parse::<SocketAddr>() {
            Ok(address) if address.port() == 0 => {
                table.report(
                    &text,
                    "a control machine is found at a port of its own; 0 is none",
                    None,
                );
            }
            Ok(address) if machines.contains(&address) => {
                table.report(&text, format!("{address} is named twice"), None);
            }
            Ok(address) => machines.push(address),
            Err(_) => {
                let help = "expected an address with a port, as \"127.0.0.1:9501\"".to_string();
                table.report(&text, format!("{:?} is no address", text.value), Some(help));
            }
        }
    }
    if machines.is_empty() && !table.has("machines") {
        table.report_missing("machines", "the addresses of control machines");
    }
    machines
}

fn read_services(table: &Table<'_>) -> Vec<ServiceName> {
    let texts = table.strings("services");
    let mut seen = BTreeSet::new();
    let mut services = Vec::new();
    for text in &texts {
        match ServiceName::try_from(text.value.as_str()) {
            Ok(name) if !seen.insert(name.clone()) => {
                table.report(text, format!("{:?} is named twice", text.value), None);
            }
            Ok(name) => services.push(name),
            Err(error) => table.report(text, format!("{:?}: {error}", text.value), None),
        }
    }
    if texts.is_empty() {
        let location = table.location();
        let field = Located { field: format!("{}.services", location.field), ..location };
        table.report(&field, "expected at least one service", None);
    }
    services
}
