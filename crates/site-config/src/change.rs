//! What a running balancer can take over from a new configuration.

use sableloom_toml_diagnostics::Problem;

use crate::{Control, Fleet, Place, Pool, Site};

/// What differs in the new configuration and needs a restart. Routes, pools that come and go, and
/// what concerns a pool's files can change while it runs; what the decision module of a pool was
/// started with can't, as it would forget what is out at each server and send that again on top.
pub fn unchangeable(file: &str, old: &Site, new: &Site) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut differs = |place: &Place, field: &str, differs: bool| {
        if differs {
            problems.push(Problem {
                file: file.to_string(),
                span: place.span.clone(),
                line: place.line.max(1),
                column: 1,
                field: field.to_string(),
                message: "it can't change without a restart".to_string(),
                help: None,
            });
        }
    };
    let whole = Place::default();
    differs(&whole, "limits", old.limits != new.limits);
    differs(&whole, "locality", old.locality != new.locality);
    // Members come and go; who it is itself, and by which times all go, stays. Its own address is held for as
    // long as it runs: that is what others go by.
    let fixed = |fleet: &Option<Fleet>| {
        fleet.as_ref().map(|fleet| {
            let address = fleet.address();
            (address, Fleet { members: Vec::new(), file: None, ..fleet.clone() })
        })
    };
    let place = new.fleet.as_ref().map_or(Place::default(), |fleet| fleet.place.clone());
    differs(&place, "fleet", fixed(&old.fleet) != fixed(&new.fleet));
    // The services change as it runs; who it is and whom it asks stays.
    let fixed = |control: &Option<Control>| {
        control.as_ref().map(|control| Control { services: Vec::new(), ..control.clone() })
    };
    let place = new.control.as_ref().map_or(Place::default(), |control| control.place.clone());
    differs(&place, "control", fixed(&old.control) != fixed(&new.control));
    let first = |places: Vec<&Place>| places.first().map_or(Place::default(), |p| (*p).clone());
    let changed = |i: usize| new.listeners.get(i) != old.listeners.get(i);
    let at = (0..old.listeners.len().max(new.listeners.len())).find(|i| changed(*i));
    if let Some(at) = at {
        let place = new.listeners.get(at).map(|l| &l.place);
        let place =
            first(place.into_iter().chain(new.listeners.iter().map(|l| &l.place)).collect());
        differs(&place, &format!("listener[{at}]"), true);
    }
    let changed = |i: usize| new.classes.get(i) != old.classes.get(i);
    let at = (0..old.classes.len().max(new.classes.len())).find(|i| changed(*i));
    if let Some(at) = at {
        let place = new.classes.get(at).map(|c| &c.place);
        let place = first(place.into_iter().chain(new.classes.iter().map(|c| &c.place)).collect());
        differs(&place, &format!("class[{at}]"), true);
    }
    for (i, pool) in new.pools.iter().enumerate() {
        let Some(before) = old.pools.iter().find(|p| p.name == pool.name) else { continue };
        // Every field is named here, so that a new one is not forgotten.
        let Pool {
            name: _,
            protocol,
            t_qos_ms,
            connect_timeout_ms,
            keepalive_ms,
            max_open,
            max_attempts,
            retry_after_ms,
            reports,
            cold,
            files: _,
            out_at_most: _,
            drain_ms: _,
            reread_ms: _,
            place,
        } = pool;
        for (field, changed) in [
            ("protocol", *protocol != before.protocol),
            ("t_qos_ms", *t_qos_ms != before.t_qos_ms),
            ("connect_timeout_ms", *connect_timeout_ms != before.connect_timeout_ms),
            ("keepalive_ms", *keepalive_ms != before.keepalive_ms),
            ("max_open", *max_open != before.max_open),
            ("max_attempts", *max_attempts != before.max_attempts),
            ("retry_after_ms", *retry_after_ms != before.retry_after_ms),
            ("reports", *reports != before.reports),
            ("cold", *cold != before.cold),
        ] {
            differs(place, &format!("pool[{i}].{field}"), changed);
        }
    }
    problems
}
