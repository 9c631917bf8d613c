//! What a change file means for the resources that are there: the changes of the log, or why it can't be taken.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use rustc_hash::FxHashMap;
use sableloom_distribution::{
    Change, LogEntry, Origin, Resource, ResourceKind, ResourceName, ServiceName, Store,
};
use sableloom_server_list::MOST_SERVERS;
use sableloom_toml_diagnostics::{Problem, suggestion};

use crate::body::{Body, ServerEntry};
use crate::change::{ChangeEntry, ChangeFile, Edit};
use crate::tenant::MAX_TENANTS;

/// The resources that are there before a change. Only services that the change touches are asked for, so that
/// the work follows the change and the size of these services.
pub trait Inventory {
    /// Calls `visit` with each resource of a service.
    fn visit(&self, service: &ServiceName, visit: &mut dyn FnMut(&Resource));
}

/// Nothing is there.
pub struct EmptyInventory;

impl Inventory for EmptyInventory {
    fn visit(&self, _: &ServiceName, _: &mut dyn FnMut(&Resource)) {}
}

impl ChangeFile {
    /// Judges the file against what is there, and makes of it an entry of the log. All that is wrong is found
    /// at once.
    pub fn resolve(&self, inventory: &dyn Inventory) -> Result<LogEntry, Vec<Problem>> {
        let mut by_service: BTreeMap<&ServiceName, Vec<&ChangeEntry>> = BTreeMap::new();
        for entry in &self.entries {
            by_service.entry(entry.edit.service()).or_default().push(entry);
        }
        let mut resolution = Resolution {
            file: self,
            file_name: self.file.as_str().into(),
            changes: Vec::new(),
            problems: Vec::new(),
        };
        for (service, entries) in by_service {
            resolution.service(service, &entries, inventory);
        }
        let Resolution { changes, mut problems, .. } = resolution;
        if problems.is_empty() {
            return Ok(LogEntry {
                number: self.number,
                epoch: self.epoch,
                changes,
                hash: self.hash,
            });
        }
        problems.sort_by_key(|problem| problem.line);
        Err(problems)
    }
}

/// The names of a service's resources.
type Names = BTreeSet<ResourceName>;

struct Resolution<'f> {
    file: &'f ChangeFile,
    file_name: Arc<str>,
    changes: Vec<Change>,
    problems: Vec<Problem>,
}

impl Resolution<'_> {
    fn service(
        &mut self,
        service: &ServiceName,
        entries: &[&ChangeEntry],
        inventory: &dyn Inventory,
    ) {
        let mut held = Names::new();
        inventory.visit(service, &mut |resource| {
            held.insert(resource.name.clone());
        });
        let next = self.names_after(service, &held, entries);
        self.check_pool(service, &next, entries);
        self.check_servers(service, &next, entries, inventory);
        self.check_tenants(&next, entries);
        for entry in entries {
            if let Edit::Set { name, body } = &entry.edit {
                self.changes.push(Change::Set(Resource {
                    name: name.clone(),
                    version: self.file.number,
                    origin: Origin { file: self.file_name.clone(), line: entry.line },
                    body: body.encode().into(),
                }));
            }
        }
        for name in held.difference(&next) {
            self.changes.push(Change::Remove { name: name.clone(), version: self.file.number });
        }
    }

    /// The names that the service has after the change. What the file sets stays, also where it removes the
    /// service: that replaces it.
    fn names_after(
        &mut self,
        service: &ServiceName,
        held: &Names,
        entries: &[&ChangeEntry],
    ) -> Names {
        let mut next = held.clone();
        for entry in entries {
            match &entry.edit {
                Edit::RemoveService(_) if held.is_empty() => {
                    let message = format!("no service {:?}", service.as_str());
                    self.wrong(entry, message, None);
                }
                Edit::RemoveService(_) => next.clear(),
                Edit::Remove(name) if !held.contains(name) => self.unknown(entry, name, held),
                _ => {}
            }
        }
        for entry in entries {
            match &entry.edit {
                Edit::Remove(name) => _ = next.remove(name),
                Edit::Set { name, .. } => _ = next.insert(name.clone()),
                Edit::RemoveService(_) => {}
            }
        }
        next
    }

    fn unknown(&mut self, entry: &ChangeEntry, name: &ResourceName, held: &Names) {
        let known = held.iter().filter(|other| other.kind == name.kind).map(|other| &*other.key);
        let help = suggestion(&name.key, known);
        let what = match name.kind {
            ResourceKind::Pool => "pool",
            ResourceKind::Server => "server",
            ResourceKind::Route => "route",
            ResourceKind::Tenant => "tenant",
        };
        let message = format!("service {:?} has no {what} {:?}", name.service.as_str(), name.key);
        self.wrong(entry, message, Some(help));
    }

    /// A service that has anything has settings of its pool.
    fn check_pool(&mut self, service: &ServiceName, next: &Names, entries: &[&ChangeEntry]) {
        let has_pool = next.iter().any(|name| name.kind == ResourceKind::Pool);
        let set = entries.iter().find(|entry| matches!(entry.edit, Edit::Set { .. }));
        if let Some(entry) = set.filter(|_| !has_pool) {
            let message = format!("service {:?} has no [[pool]]", service.as_str());
            self.wrong(entry, message, Some("set it in this change or in one before".into()));
        }
    }

    /// Servers of a service have addresses of their own, and not all of them have weight 0.
    fn check_servers(
        &mut self,
        service: &ServiceName,
        next: &Names,
        entries: &[&ChangeEntry],
        inventory: &dyn Inventory,
    ) {
        let set: Vec<(&ChangeEntry, &ResourceName, &ServerEntry)> =
            entries.iter().filter_map(|entry| server_of(entry)).collect();
        let Some((last, ..)) = set.last() else { return };
        let replaced: BTreeSet<&ResourceName> = set.iter().map(|(_, name, _)| *name).collect();
        let mut at: FxHashMap<SocketAddr, Arc<str>> = FxHashMap::default();
        let mut weights = 0.0;
        inventory.visit(service, &mut |resource| {
            if resource.name.kind != ResourceKind::Server
                || replaced.contains(&resource.name)
                || !next.contains(&resource.name)
            {
                return;
            }
            if let Ok(Body::Server(server)) =
                Body::decode(ResourceKind::Server, resource.body.as_slice())
            {
                weights += server.weight;
                at.insert(server.address, resource.name.key.clone());
            }
        });
        for (entry, name, server) in &set {
            weights += server.weight;
            if let Some(other) = at.insert(server.address, name.key.clone()) {
                let message = format!("{} is the address of {other:?} as well", server.address);
                self.wrong(entry, message, None);
            }
        }
        let servers = next.iter().filter(|name| name.kind == ResourceKind::Server).count();
        if servers > MOST_SERVERS {
            let message = format!("{servers} servers of a service are more than {MOST_SERVERS}");
            self.wrong(last, message, None);
        }
        if weights == 0.0 {
            let help = "to drain a server, write state = \"draining\"";
            let message = "every server of the service has weight 0".to_string();
            self.wrong(last, message, Some(help.into()));
        }
    }

    /// A service has no more tenants than it may.
    fn check_tenants(&mut self, next: &Names, entries: &[&ChangeEntry]) {
        let is_tenant = |entry: &&&ChangeEntry| match &entry.edit {
            Edit::Set { name, .. } => name.kind == ResourceKind::Tenant,
            _ => false,
        };
        let Some(last) = entries.iter().rfind(is_tenant) else { return };
        let tenants = next.iter().filter(|name| name.kind == ResourceKind::Tenant).count();
        if tenants > MAX_TENANTS {
            let message = format!("{tenants} tenants of a service are more than {MAX_TENANTS}");
            self.wrong(last, message, None);
        }
    }

    fn wrong(&mut self, entry: &ChangeEntry, message: String, help: Option<String>) {
        self.problems.push(Problem {
            file: self.file.file.clone(),
            span: 0..0,
            line: entry.line as usize,
            column: 1,
            field: entry.field.clone(),
            message,
            help,
        });
    }
}

fn server_of(entry: &ChangeEntry) -> Option<(&ChangeEntry, &ResourceName, &ServerEntry)> {
    match &entry.edit {
        Edit::Set { name, body } => match &**body {
            Body::Server(server) => Some((entry, name, server)),
            _ => None,
        },
        _ => None,
    }
}

impl Inventory for Store {
    fn visit(&self, service: &ServiceName, visit: &mut dyn FnMut(&Resource)) {
        self.resources(service).for_each(visit);
    }
}
