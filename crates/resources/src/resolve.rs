//! Checks a change file against the existing resources, and makes the log entry of it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use rustc_hash::FxHashMap;
use sableloom_distribution::{
    Change, LogEntry, Origin, Resource, ResourceKind, ResourceName, ServiceName,
};
use sableloom_server_list::MAX_SERVERS;
use sableloom_toml_diagnostics::{Problem, suggestion};

use crate::body::Body;
use crate::change_file::{ChangeEntry, ChangeFile, Edit};
use crate::inventory::Inventory;
use crate::server_entry::ServerEntry;
use crate::tenant::MAX_TENANTS;

impl ChangeFile {
    /// Checks the file against the existing resources, and makes a log entry of it.
    ///
    /// # Errors
    ///
    /// All problems of the file, in the order of their lines.
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
            resolution.resolve_service(service, &entries, inventory);
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

/// The changes and problems found so far.
struct Resolution<'f> {
    file: &'f ChangeFile,
    file_name: Arc<str>,
    changes: Vec<Change>,
    problems: Vec<Problem>,
}

impl Resolution<'_> {
    fn resolve_service(
        &mut self,
        service: &ServiceName,
        entries: &[&ChangeEntry],
        inventory: &dyn Inventory,
    ) {
        let mut existing = Names::new();
        inventory.visit(service, &mut |resource| {
            existing.insert(resource.name.clone());
        });
        let next = self.names_after(service, &existing, entries);
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
        for name in existing.difference(&next) {
            self.changes.push(Change::Remove { name: name.clone(), version: self.file.number });
        }
    }

    /// The names that the service has after the change. A file that removes the service and sets resources of it replaces
    /// the service.
    fn names_after(
        &mut self,
        service: &ServiceName,
        existing: &Names,
        entries: &[&ChangeEntry],
    ) -> Names {
        let mut next = existing.clone();
        for entry in entries {
            match &entry.edit {
                Edit::RemoveService(_) if existing.is_empty() => {
                    let message = format!("no service {:?}", service.as_str());
                    self.report(entry, message, None);
                }
                Edit::RemoveService(_) => next.clear(),
                Edit::Remove(name) if !existing.contains(name) => {
                    self.report_unknown(entry, name, existing);
                }
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

    /// Reports that a resource does not exist, and suggests a similar one.
    fn report_unknown(&mut self, entry: &ChangeEntry, name: &ResourceName, existing: &Names) {
        let known =
            existing.iter().filter(|other| other.kind == name.kind).map(|other| &*other.key);
        let help = suggestion(&name.key, known);
        let what = match name.kind {
            ResourceKind::Pool => "pool",
            ResourceKind::Server => "server",
            ResourceKind::Route => "route",
            ResourceKind::Tenant => "tenant",
        };
        let message = format!("service {:?} has no {what} {:?}", name.service.as_str(), name.key);
        self.report(entry, message, Some(help));
    }

    /// A service that has any resource must have a pool.
    fn check_pool(&mut self, service: &ServiceName, next: &Names, entries: &[&ChangeEntry]) {
        let has_pool = next.iter().any(|name| name.kind == ResourceKind::Pool);
        let set = entries.iter().find(|entry| matches!(entry.edit, Edit::Set { .. }));
        if let Some(entry) = set.filter(|_| !has_pool) {
            let message = format!("service {:?} has no [[pool]]", service.as_str());
            self.report(entry, message, Some("set it in this change or in one before".into()));
        }
    }

    /// The servers of a service must have different addresses, and not all of them weight 0.
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
        let mut by_address: FxHashMap<SocketAddr, Arc<str>> = FxHashMap::default();
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
                by_address.insert(server.address, resource.name.key.clone());
            }
        });
        for (entry, name, server) in &set {
            weights += server.weight;
            if let Some(other) = by_address.insert(server.address, name.key.clone()) {
                let message = format!("{} is the address of {other:?} as well", server.address);
                self.report(entry, message, None);
            }
        }
        let servers = next.iter().filter(|name| name.kind == ResourceKind::Server).count();
        if servers > MAX_SERVERS {
            let message = format!("{servers} servers of a service are more than {MAX_SERVERS}");
            self.report(last, message, None);
        }
        if weights == 0.0 {
            let help = "to drain a server, write state = \"draining\"";
            let message = "every server of the service has weight 0".to_string();
            self.report(last, message, Some(help.into()));
        }
    }

    /// A service must not have more than [`MAX_TENANTS`] tenants.
    fn check_tenants(&mut self, next: &Names, entries: &[&ChangeEntry]) {
        let sets_tenant = |entry: &&&ChangeEntry| matches!(&entry.edit, Edit::Set { name, .. } if name.kind == ResourceKind::Tenant);
        let Some(last) = entries.iter().rfind(sets_tenant) else { return };
        let tenants = next.iter().filter(|name| name.kind == ResourceKind::Tenant).count();
        if tenants > MAX_TENANTS {
            let message = format!("{tenants} tenants of a service are more than {MAX_TENANTS}");
            self.report(last, message, None);
        }
    }

    fn report(&mut self, entry: &ChangeEntry, message: String, help: Option<String>) {
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

/// The server that an entry sets, if it sets one.
fn server_of(entry: &ChangeEntry) -> Option<(&ChangeEntry, &ResourceName, &ServerEntry)> {
    match &entry.edit {
        Edit::Set { name, body } => match &**body {
            Body::Server(server) => Some((entry, name, server)),
            _ => None,
        },
        _ => None,
    }
}
