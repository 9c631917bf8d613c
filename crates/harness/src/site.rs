//! The files of one balancer, in a folder of its own: its configuration, its list of servers, its state.

use std::fmt::Write as _;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use jiff::Timestamp;
use sableloom_rehearsal::{Class, Idempotency, RetainedState, Script};
use serde_json::json;

/// How long a balancer may still send to a node after its list says that the node drains.
pub(crate) const DRAIN: Duration = Duration::from_millis(1000);

/// A node, as a list names it.
#[derive(Clone, Debug)]
pub(crate) struct Listed {
    /// Its name.
    pub name: String,
    /// The address at which this balancer reaches it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Option<String>,
    /// When it last started, if that matters.
    pub started: Option<SystemTime>,
    /// Whether it drains.
    pub drains: bool,
}

/// The members of a fleet, from the view of one balancer.
#[derive(Clone, Debug)]
pub(crate) struct FleetView {
    /// Name of each member, and the address at which this balancer reaches it.
    pub members: Vec<(String, SocketAddr)>,
}

/// The folder of one balancer.
#[derive(Clone, Debug)]
pub(crate) struct Folder(PathBuf);

fn milliseconds(us: i64) -> f64 {
    us as f64 / 1000.0
}

/// A text as a TOML string.
fn quoted(text: &str) -> String {
    // JSON strings are valid TOML basic strings.
    serde_json::Value::from(text).to_string()
}

impl Folder {
    /// Creates the folder, and removes an earlier one.
    pub(crate) fn new(path: PathBuf) -> io::Result<Self> {
        match fs::remove_dir_all(&path) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        fs::create_dir_all(path.join("state"))?;
        Ok(Self(path))
    }

    /// The path of a file in it.
    pub(crate) fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    /// Replaces a file atomically: writes another and renames it.
    fn replace(&self, name: &str, text: &str) -> io::Result<()> {
        let new = self.path(&format!(".{name}.new"));
        fs::write(&new, text)?;
        fs::rename(new, self.path(name))
    }

    /// Writes the site's configuration.
    pub(crate) fn site(
        &self,
        script: &Script,
        balancer: usize,
        address: SocketAddr,
        announced: usize,
        fleet_view: Option<&FleetView>,
    ) -> io::Result<()> {
        let mut text = String::new();
        let fleet = &script.fleet;
        let _ = writeln!(
            text,
            "[limits]\nsockets = {}\nmemory_mb = {}\n",
            fleet.sockets, fleet.memory_mb
        );
        let _ = writeln!(text, "[locality]\nbalancers = {announced}");
        if let Some(zone) = fleet.zones.get(script.zone(balancer)) {
            let zones: Vec<_> = fleet.zones.iter().map(|zone| quoted(zone)).collect();
            let _ = writeln!(text, "zones = [{}]\nzone = {}", zones.join(", "), quoted(zone));
        }
        let _ = writeln!(text, "\n[[listener]]\naddress = \"{address}\"\n");
        if let Some(view) = fleet_view {
            let _ = writeln!(text, "[fleet]\nname = \"rehearsal\"\nown = \"b{}\"\n", balancer + 1);
            for (name, address) in &view.members {
                let name = quoted(name);
                let _ =
                    writeln!(text, "[[fleet.member]]\nname = {name}\naddress = \"{address}\"\n");
            }
        }
        for class in &script.classes {
            let (idempotency, methods) = match class.idempotency {
                Idempotency::Idempotent => ("safe", "GET"),
                Idempotency::NonIdempotent => ("unsafe", "POST"),
            };
            let (aim, deadline) = (milliseconds(class.aim), milliseconds(class.deadline));
            let _ = writeln!(
                text,
                "[[class]]\nname = {}\naim_ms = {aim}\ndeadline_ms = {deadline}\n\
                 effect = \"{idempotency}\"\nmethods = [\"{methods}\"]\nworth = {}\n",
                quoted(&class.name),
                class.worth,
            );
        }
        let profile = &script.nodes.profiles[0];
        let drain = DRAIN.as_millis();
        let _ = writeln!(
            text,
            "[[pool]]\nname = \"points\"\nfiles = [\"servers.toml\"]\nout_at_most = 1.0\n\
             drain_ms = {drain}\nreread_ms = 1000\n\n[pool.cold]\nfrom = {}\ntime_ms = {}\n\
             multiple = {}\nwindow_ms = {}\n\n[[route]]\nname = \"points\"\npath.prefix = [\"/\"]\n\
             pool = \"points\"",
            profile.slow_start_initial_share.max(0.01),
            milliseconds(profile.slow_start.0).min(3_600_000.0),
            profile.overload_factor.clamp(1.0, 100.0),
            milliseconds(profile.overload_window.0).max(1.0),
        );
        self.replace("site.toml", &text)
    }

    /// Writes the platform's configuration, for a balancer that asks this discovery agent.
    pub(crate) fn platform(
        &self,
        script: &Script,
        balancer: usize,
        address: SocketAddr,
        announced: usize,
        agent: SocketAddr,
    ) -> io::Result<()> {
        let class = |class: &Class| {
            let idempotency = match class.idempotency {
                Idempotency::Idempotent => "retryable",
                Idempotency::NonIdempotent => "fragile",
            };
            json!({"Name": class.name, "Aim": milliseconds(class.aim),
                   "Deadline": milliseconds(class.deadline), "Effect": idempotency, "Group": "all",
                   "Importance": class.worth})
        };
        let classes: Vec<_> = script.classes.iter().map(class).collect();
        let profile = &script.nodes.profiles[0];
        let zones: Vec<&str> = match script.fleet.zones.as_slice() {
            [] => vec!["a"],
            zones => zones.iter().map(String::as_str).collect(),
        };
        let config = json!({
            "name": format!("b{}", balancer + 1),
            "listen": address.to_string(),
            "discovery": agent.to_string(),
            "seed": format!("{:x}", balancer + 1),
            "limits": {"cores": 1.0, "memory_mb": script.fleet.memory_mb,
                       "sockets": script.fleet.sockets},
            "settings": {
                "Balancers": announced, "Tick": 5.0, "RegistryMode": "automatic", "Zones": zones,
                "Zone": script.zone(balancer), "MachineTypes": ["node"], "Services": classes,
                "PolicyLimits": {
                    "MaxAttempts": 4, "SecondCopies": true, "Cancelling": true,
                    "ConnectTimeout": 250.0, "Keepalive": 15_000.0, "RetryAfter": true,
                    "MaxRetryAfter": 1000.0, "MaxOpen": 1000
                },
                "Safety": {
                    "AskEvery": 10_000.0, "Cold": milliseconds(profile.slow_start.0),
                    "ColdFrom": profile.slow_start_initial_share, "DrainGrace": DRAIN.as_millis() as f64,
                    "FallMultiple": profile.overload_factor, "TipAfter": milliseconds(profile.overload_window.0)
                }
            }
        });
        self.replace("config.json", &config.to_string())
    }

    /// Writes a truncated configuration.
    pub(crate) fn spoil(&self) -> io::Result<()> {
        if self.path("config.json").exists() {
            return self.replace("config.json", "{\"name\": \"b");
        }
        self.replace("site.toml", "[limits]\nsockets = \"many\n[[listener]]\n")
    }

    /// Writes the list of servers; only its first half if `truncated`.
    pub(crate) fn list(&self, nodes: &[Listed], clock_us: i64, truncated: bool) -> io::Result<()> {
        let mut text = String::from("pool = \"points\"\n");
        for node in nodes {
            let _ = write!(
                text,
                "\n[[server]]\nid = {}\naddress = \"{}\"\n",
                quoted(&node.name),
                node.address
            );
            if let Some(zone) = &node.zone {
                let _ = writeln!(text, "zone = {}", quoted(zone));
            }
            if let Some(started) = node.started {
                let micros = started.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
                let at = micros.as_micros() as i64 + clock_us;
                let at = Timestamp::from_microsecond(at).unwrap_or(Timestamp::UNIX_EPOCH);
                let _ = writeln!(text, "started = {at}");
            }
            if node.drains {
                text.push_str("state = \"draining\"\n");
            }
        }
        let _ = write!(text, "\n[end]\nservers = {}\n", nodes.len());
        if truncated {
            // As an interrupted copy leaves it: written in place, without its end.
            text.truncate(text.len() / 2);
            return fs::write(self.path("servers.toml"), text);
        }
        self.replace("servers.toml", &text)
    }

    /// Copies the state, so that a later power loss can revert to it.
    pub(crate) fn sync(&self) -> io::Result<()> {
        let copy = self.path("state.before");
        if copy.exists() {
            fs::remove_dir_all(&copy)?;
        }
        copy_folder(&self.path("state"), &copy)
    }

    /// Applies a power loss to the state: what is not retained is lost.
    pub(crate) fn lose(&self, retained: RetainedState) -> io::Result<()> {
        let state = self.path("state");
        match retained {
            RetainedState::All => Ok(()),
            RetainedState::Torn | RetainedState::NewestMissing => {
                let Some(newest) = newest(&state)? else { return Ok(()) };
                if retained == RetainedState::NewestMissing {
                    return fs::remove_file(newest);
                }
                let file = fs::File::options().write(true).open(newest)?;
                file.set_len(file.metadata()?.len() / 2)
            }
            RetainedState::Empty | RetainedState::Reverted => {
                fs::remove_dir_all(&state)?;
                let before = self.path("state.before");
                if retained == RetainedState::Reverted && before.exists() {
                    return copy_folder(&before, &state);
                }
                fs::create_dir_all(&state)
            }
        }
    }
}

fn copy_folder(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        let target = to.join(entry.file_name());
        if entry.file_type()?.is_dir() {
            copy_folder(&entry.path(), &target)?;
        } else {
            fs::copy(entry.path(), target)?;
        }
    }
    Ok(())
}

/// The most recently written file; of several the last by name.
fn newest(folder: &Path) -> io::Result<Option<PathBuf>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        if entry.file_type()?.is_file() {
            files.push((entry.metadata()?.modified()?, entry.path()));
        }
    }
    Ok(files.into_iter().max().map(|(_, path)| path))
}

#[cfg(test)]
mod tests;
