//! Reads where a balancer's pools and routes come from, if not from the site itself.

use std::net::SocketAddr;

use sableloom_distribution::{ServiceName, SubscriberName};
use sableloom_toml_diagnostics::{Located, Table};

use crate::Place;
use crate::field::place;

/// Control machines that this balancer subscribes to for its pools and routes.
#[derive(Clone, Debug, PartialEq)]
pub struct Control {
    /// This balancer's name as a subscriber; no other subscriber has it.
    pub own: SubscriberName,
    /// The control machines. Any of them will do.
    pub machines: Vec<SocketAddr>,
    /// The services that this balancer serves.
    pub services: Vec<ServiceName>,
    /// Where the last good state is kept, from the site's folder; nowhere if none.
    pub state: Option<String>,
    /// Where it is written.
    pub place: Place,
}

/// The section `[control]`.
pub(crate) fn control(table: Option<Table<'_>>, starts: &[usize]) -> Option<Control> {
    let table = table?;
    let own = table.required_string("own", "this balancer's name as a subscriber");
    let own = own.and_then(|own| match SubscriberName::try_from(own.value.as_str()) {
        Ok(name) => Some(name),
        Err(error) => {
            table.report(&own, format!("{:?}: {error}", own.value), None);
            None
        }
    });
    let (machines, services) = (machines(&table), services(&table));
    let state = table.string("state");
    if let Some(empty) = state.as_ref().filter(|state| state.value.is_empty()) {
        table.report(empty, "a file has a name", None);
    }
    table.finish();
    let state = state.map(|state| state.value);
    Some(Control { own: own?, machines, services, state, place: place(&table, starts) })
}

fn machines(table: &Table<'_>) -> Vec<SocketAddr> {
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

fn services(table: &Table<'_>) -> Vec<ServiceName> {
    let texts = table.strings("services");
    let mut services = std::collections::BTreeSet::new();
    let mut ordered = Vec::new();
    for text in &texts {
        match ServiceName::try_from(text.value.as_str()) {
            Ok(name) if !services.insert(name.clone()) => {
                table.report(text, format!("{:?} is named twice", text.value), None);
            }
            Ok(name) => ordered.push(name),
            Err(error) => table.report(text, format!("{:?}: {error}", text.value), None),
        }
    }
    if texts.is_empty() {
        let here = table.location();
        let found = Located { field: format!("{}.services", here.field), ..here };
        table.report(&found, "expected at least one service", None);
    }
    ordered
}
