//! Control machines as processes, with their folders of changes.

use std::net::SocketAddr;
use std::process::{Command, Output, Stdio};

use sableloom_testkit::{Process, ReservedAddress, Site, program};
use serde_json::Value;

/// A control machine's folder: its settings and its changes, gone once it is dropped.
pub(crate) struct Folder {
    site: Site,
    /// Where its control machine listens.
    address: ReservedAddress,
}

impl Folder {
    pub(crate) fn new() -> Self {
        let site = Site::new("");
        std::fs::create_dir(site.path("changes")).expect("a folder");
        Self { site, address: ReservedAddress::new() }
    }

    /// Puts a whole change into the log, as an operator is asked to: renamed into its place.
    pub(crate) fn change(&self, number: u64, epoch: u32, tables: &[String]) {
        let text = change(number, epoch, tables);
        let new = self.site.path("changes/.new");
        std::fs::write(&new, text).expect("a file");
        std::fs::rename(&new, self.site.path(&name(number))).expect("a rename");
    }

    /// Writes a file of changes as it is.
    pub(crate) fn write(&self, number: u64, text: &str) {
        std::fs::write(self.site.path(&name(number)), text).expect("a file");
    }

    /// Puts a copy of the folder in its place.
    pub(crate) fn replaced_by_copy(&self) {
        let (now, before) = (self.site.path("changes"), self.site.path("before"));
        std::fs::rename(&now, &before).expect("a rename");
        std::fs::create_dir(&now).expect("a folder");
        for entry in std::fs::read_dir(&before).expect("a folder") {
            let entry = entry.expect("a file");
            std::fs::copy(entry.path(), now.join(entry.file_name())).expect("a copy");
        }
    }

    /// Starts a control machine on this folder.
    pub(crate) fn start(&self, limits: &str) -> Machine {
        self.start_at(self.address.get(), limits)
    }

    pub(crate) fn start_at(&self, listen: SocketAddr, limits: &str) -> Machine {
        let settings =
            format!("listen = \"{listen}\"\nchanges = \"changes\"\n[limits]\n{limits}\n");
        self.site.write("control.toml", &settings);
        let mut command = Command::new(program());
        command.args(["control", "--config"]).arg(self.site.path("control.toml"));
        command.env_remove("ROUTER_CONFIG").stderr(Stdio::piped());
        let mut child = command.spawn().expect("a control machine starts");
        let lines = child.stderr.take().expect("piped");
        let process = Process::new(child, lines);
        let line = process.says(&["control listening on "]);
        let address = line.rsplit(' ').next().and_then(|address| address.parse().ok());
        Machine { process, address: address.expect("an address") }
    }
}

fn name(number: u64) -> String {
    format!("changes/{number:08}.toml")
}

/// The text of a change with these tables.
pub(crate) fn change(number: u64, epoch: u32, tables: &[String]) -> String {
    let (all, count) = (tables.concat(), tables.len());
    format!("number = {number}\nepoch = {epoch}\n{all}[end]\nchanges = {count}\n")
}

/// A pool's table.
pub(crate) fn pool(service: &str) -> String {
    format!("[[pool]]\nservice = \"{service}\"\n")
}

/// A server's table; servers of one service differ in their port.
pub(crate) fn server(service: &str, id: &str, port: u16) -> String {
    format!("[[server]]\nservice = \"{service}\"\nid = \"{id}\"\naddress = \"127.0.0.1:{port}\"\n")
}

/// The table of a route with a path of so many bytes.
pub(crate) fn route(service: &str, name: &str, bytes: usize) -> String {
    let path = "x".repeat(bytes);
    format!(
        "[[route]]\nservice = \"{service}\"\nname = \"{name}\"\nrank = 1\npath.exact = \"/{path}\"\n"
    )
}

/// A control machine as a process.
pub(crate) struct Machine {
    pub(crate) process: Process,
    pub(crate) address: SocketAddr,
}

impl Machine {
    /// Its status, as `sableloom control status` prints it.
    pub(crate) fn status(&self) -> Value {
        let output = control(&["status", "--json", "--at", &self.address.to_string()]);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        serde_json::from_slice(&output.stdout).expect("JSON")
    }

    /// The version and digest that it has of a service.
    pub(crate) fn held(&self, service: &str) -> (u64, String) {
        let status = self.status();
        let services = status["services"].as_array().expect("a list");
        let held = services.iter().find(|held| held["service"] == service).expect("the service");
        let digest = held["digest"].as_str().expect("a text").to_string();
        (held["version"].as_u64().expect("a number"), digest)
    }

    pub(crate) fn kill(mut self) {
        self.process.kill();
    }
}

/// Runs `sableloom control` with these arguments.
pub(crate) fn control(arguments: &[&str]) -> Output {
    let mut command = Command::new(program());
    command.arg("control").args(arguments).env_remove("ROUTER_CONFIG");
    command.output().expect("the program runs")
}
