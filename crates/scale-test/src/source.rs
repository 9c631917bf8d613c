//! What the operator says: services with their servers and routes, as change files for control machines and as a
//! site for one balancer, of any size.

use std::fmt::Write as _;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// Servers of a service on average, at the size that the users name: 120,000 in 2,500.
pub const SERVERS_EACH: usize = 48;
/// Routes of a service on average: 210,000 in 2,500.
pub const ROUTES_EACH: usize = 84;
/// Tenants of a service on average: 810,000 in 2,500.
pub const TENANTS_EACH: usize = 324;
/// Requests a second that each tenant may make.
const TENANT_REQUESTS_PER_SECOND: f64 = 20.5;
/// Services that one change file of the base sets: some 200 kB.
const SERVICES_A_FILE: usize = 25;
/// What comes before a service's number in its name.
const PREFIX: &str = "service-";

/// A service's name.
pub fn service(number: usize) -> String {
    format!("{PREFIX}{number:05}")
}

/// The number of a service by its name.
pub fn number_of(name: &str) -> Option<usize> {
    name.strip_prefix(PREFIX)?.parse().ok()
}

/// The services that a balancer subscribes to: a block of so many next to each other, so that balancers of one
/// block have the same.
pub fn scope_of(balancer: usize, services: usize, scope: usize) -> impl Iterator<Item = usize> {
    let scope = scope.clamp(1, services.max(1));
    let blocks = (services / scope).max(1);
    let first = balancer % blocks * scope;
    first..first + scope
}

/// The balancers, of so many, that subscribe to a service.
pub fn subscribers_of(
    service: usize,
    balancers: usize,
    services: usize,
    scope: usize,
) -> impl Iterator<Item = usize> {
    let scope = scope.clamp(1, services.max(1));
    let blocks = (services / scope).max(1);
    let block = service / scope;
    // Services after the last whole block are nobody's.
    let end = if block < blocks { balancers } else { 0 };
    (block..end).step_by(blocks)
}

/// How much there is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source {
    /// Services.
    pub services: usize,
    /// Servers of each.
    pub servers_each: usize,
    /// Routes of each.
    pub routes_each: usize,
    /// Tenants of each with a limit of their own.
    pub tenants_each: usize,
}

impl Source {
    /// So many services with as many servers, routes and tenants each as the users have on average.
    pub fn of(services: usize) -> Self {
        Self {
            services,
            servers_each: SERVERS_EACH,
            routes_each: ROUTES_EACH,
            tenants_each: TENANTS_EACH,
        }
    }

    /// Servers in all.
    pub fn servers(&self) -> usize {
        self.services * self.servers_each
    }

    /// Routes in all.
    pub fn routes(&self) -> usize {
        self.services * self.routes_each
    }

    /// Resources of each service: its pool, servers, routes and tenants.
    pub fn resources_each(&self) -> usize {
        1 + self.servers_each + self.routes_each + self.tenants_each
    }

    /// Resources in all.
    pub fn resources(&self) -> usize {
        self.services * self.resources_each()
    }

    /// Writes change files that set everything into a folder; the number of the last one.
    ///
    /// # Errors
    ///
    /// If a file can't be written.
    pub fn write_base(&self, folder: &Path) -> io::Result<u64> {
        let mut number = 0;
        for first in (0..self.services).step_by(SERVICES_A_FILE) {
            number += 1;
            let last = (first + SERVICES_A_FILE).min(self.services);
            let mut change = ChangeText::new(number);
            (first..last).for_each(|service| self.set_service(&mut change, service));
            change.write(folder)?;
        }
        Ok(number)
    }

    fn set_service(&self, change: &mut ChangeText, number: usize) {
        let name = service(number);
        change.set_pool(&name, "t_qos_ms = 200");
        (0..self.servers_each).for_each(|server| change.set_server(number, server, 1.0));
        for route in 0..self.routes_each {
            // After those of real services.
            let rank = 1000 + number * self.routes_each + route;
            change.set_route(&name, &format!("{name}-{route}"), rank, &format!("/{name}/{route}/"));
        }
        for tenant in 0..self.tenants_each {
            change.set_tenant(&name, &format!("customer-{tenant}"), TENANT_REQUESTS_PER_SECOND);
        }
    }
}

/// Where a server of a service is said to be. Nobody listens there: nothing is sent to it.
fn address(service: usize, server: usize) -> String {
    let [high, low] = [(service >> 8) as u8 | 0x80, service as u8];
    format!("127.{high}.{low}.{}:{}", server % 250 + 1, 9000 + server / 250)
}

/// A change file that is being written.
#[derive(Clone, Debug)]
pub struct ChangeText {
    number: u64,
    text: String,
    entries: usize,
}

impl ChangeText {
    /// Change number so and so of epoch 1, with nothing in it yet.
    pub fn new(number: u64) -> Self {
        Self { number, text: format!("number = {number}\nepoch = 1\n"), entries: 0 }
    }

    fn entry(&mut self, kind: &str, fields: &str) {
        let _ = writeln!(self.text, "[[{kind}]]\n{fields}");
        self.entries += 1;
    }

    /// Sets the pool of a service; `more` are further lines of it.
    pub fn set_pool(&mut self, service: &str, more: &str) {
        self.entry("pool", &format!("service = \"{service}\"\n{more}"));
    }

    /// Sets one server of a numbered service.
    pub fn set_server(&mut self, number: usize, server: usize, weight: f64) {
        let name = service(number);
        self.set_server_at(&name, &format!("{name}-{server}"), &address(number, server), weight);
    }

    /// Drains one server of a numbered service: it takes no new requests.
    pub fn drain_server(&mut self, number: usize, server: usize) {
        let (service, address) = (service(number), address(number, server));
        self.entry(
            "server",
            &format!(
                "service = \"{service}\"\nid = \"{service}-{server}\"\naddress = \"{address}\"\n\
                 state = \"draining\""
            ),
        );
    }

    /// Removes one server of a numbered service.
    pub fn remove_server(&mut self, number: usize, server: usize) {
        let service = service(number);
        let fields = format!("service = \"{service}\"\nserver = \"{service}-{server}\"");
        self.entry("remove", &fields);
    }

    /// Sets one server.
    pub fn set_server_at(&mut self, service: &str, id: &str, address: &str, weight: f64) {
        self.entry(
            "server",
            &format!(
                "service = \"{service}\"\nid = \"{id}\"\naddress = \"{address}\"\n\
                 weight = {weight:?}"
            ),
        );
    }

    /// Sets a route of a service for all paths with this prefix.
    pub fn set_route(&mut self, service: &str, name: &str, rank: usize, prefix: &str) {
        self.entry(
            "route",
            &format!(
                "service = \"{service}\"\nname = \"{name}\"\nrank = {rank}\n\
                 path.prefix = [\"{prefix}\"]"
            ),
        );
    }

    /// Sets the limit of a service's tenant.
    pub fn set_tenant(&mut self, service: &str, name: &str, requests_per_second: f64) {
        self.entry(
            "tenant",
            &format!(
                "service = \"{service}\"\nname = \"{name}\"\n\
                 requests_per_second = {requests_per_second:?}"
            ),
        );
    }

    /// Puts it into the folder whole: written aside and renamed.
    ///
    /// # Errors
    ///
    /// If the file can't be written or renamed.
    pub fn write(mut self, folder: &Path) -> io::Result<()> {
        let entries = self.entries;
        let _ = writeln!(self.text, "[end]\nchanges = {entries}");
        let aside = folder.join(format!(".{:08}.new", self.number));
        fs::write(&aside, self.text)?;
        fs::rename(aside, folder.join(format!("{:08}.toml", self.number)))
    }
}

/// A folder that is gone once this is dropped.
#[derive(Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// A new one beside other temporary files.
    ///
    /// # Errors
    ///
    /// If the folder can't be created.
    pub fn new(name: &str) -> io::Result<Self> {
        let path =
            std::env::temp_dir().join(format!("sableloom-scale-{}-{name}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Writes a site with all of it, for `serve` without control machines: the way before distribution.
///
/// # Errors
///
/// If a file can't be written.
pub fn write_site(source: &Source, folder: &Path, listen: &str) -> io::Result<PathBuf> {
    let mut site = format!(
        "[limits]\nsockets = 4096\nmemory_mb = 1024\n[[listener]]\naddress = \"{listen}\"\n\
         [[class]]\nname = \"balance\"\naim_ms = 150\ndeadline_ms = 600\neffect = \"safe\"\n\
         methods = [\"GET\"]\n"
    );
    for number in 0..source.services {
        let name = service(number);
        let _ = writeln!(site, "[[pool]]\nname = \"{name}\"\nfiles = [\"{name}.toml\"]");
        fs::write(folder.join(format!("{name}.toml")), servers_file(source, number))?;
    }
    for number in 0..source.services {
        let name = service(number);
        for route in 0..source.routes_each {
            let _ = writeln!(
                site,
                "[[route]]\nname = \"{name}-{route}\"\npath.prefix = [\"/{name}/{route}/\"]\n\
                 pool = \"{name}\""
            );
        }
    }
    site += "[otherwise]\nrefuse = \"not-found\"\n";
    let path = folder.join("site.toml");
    fs::write(&path, site)?;
    Ok(path)
}

fn servers_file(source: &Source, number: usize) -> String {
    let name = service(number);
    let servers = (0..source.servers_each).map(|server| {
        let address = address(number, server);
        format!("[[server]]\nid = \"{name}-{server}\"\naddress = \"{address}\"\n")
    });
    let text: String = servers.collect();
    format!("{text}[end]\nservers = {}\n", source.servers_each)
}
