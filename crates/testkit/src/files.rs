//! Configurations and lists of servers on disk.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::{env, fs};

use serde_json::{Value, json};

use crate::LONG;
use crate::discovery::{entry, list};

/// The listener and a class of idempotent requests, for a site's file.
pub const READ_CLASS: &str = r#"
[[listener]]
address = "127.0.0.1:0"

[[class]]
name = "read"
aim_ms = 5000
deadline_ms = 20000
effect = "safe"
methods = ["GET"]
"#;

/// A configuration with a class of each effect and these upstreams.
pub fn config(upstreams: &[SocketAddr]) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"Name": name, "Aim": 2000.0, "Deadline": 3000.0, "Effect": effect, "Group": "all",
               "Window": 5000.0})
    };
    let members: Vec<_> = upstreams
        .iter()
        .enumerate()
        .map(|(i, at)| entry(&format!("s-{i}"), *at, "SERVING"))
        .collect();
    json!({
    "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": list(1, true, &members),
    "settings": {
        "Balancers": 1, "Tick": 5.0, "RegistryMode": "automatic", "Zones": ["a", "b"],
        "MachineTypes": ["m"],
        "Services": [class("read", "retryable"), class("put", "dedup"), class("pay", "fragile")],
        "PolicyLimits": {"MaxAttempts": 4, "SecondCopies": true, "Cancelling": true,
                         "ConnectTimeout": 500.0, "Keepalive": 30000.0, "RetryAfter": true, "MaxRetryAfter": 1000.0,
                         "MaxOpen": 1000},
        "Safety": {"AskEvery": 10000.0, "Cold": 24000.0, "ColdFrom": 0.13, "DrainGrace": 1000.0,
                   "FallMultiple": 3.0, "TipAfter": 1500.0},
    }})
}

/// The same with deadlines of its classes that are past what a test waits for: an answer that comes all the same was
/// given by the request's own time.
pub fn only_own_times(mut config: Value) -> Value {
    for class in config["settings"]["Services"].as_array_mut().expect("classes") {
        let far = 4.0 * LONG.as_secs_f64() * 1000.0;
        class["Deadline"] = json!(far);
    }
    config
}

/// A configuration on disk, gone once it is dropped.
pub struct ConfigFile(pub(crate) PathBuf);

impl ConfigFile {
    /// A file with this configuration.
    pub fn new(config: &Value) -> Self {
        Self::of(&config.to_string())
    }

    pub(crate) fn of(config: &str) -> Self {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let number = COUNT.fetch_add(1, Ordering::SeqCst);
        let name = format!("sableloom-{}-{number}.json", std::process::id());
        let file = Self(env::temp_dir().join(name));
        file.write(config);
        file
    }

    /// Replaces what it holds.
    pub fn write(&self, config: &str) {
        fs::write(&self.0, config).expect("a file");
    }
}

impl Drop for ConfigFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

/// A folder with a site's configuration and its files of servers, gone once it is dropped.
pub struct Site(PathBuf);

impl Site {
    /// A folder with this `site.toml`.
    pub fn new(text: &str) -> Self {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let number = COUNT.fetch_add(1, Ordering::SeqCst);
        let folder =
            env::temp_dir().join(format!("sableloom-site-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let site = Self(folder.canonicalize().expect("a path"));
        site.write("site.toml", text);
        site
    }

    /// A file in it.
    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    /// Writes a file in place.
    pub fn write(&self, name: &str, text: &str) {
        fs::write(self.path(name), text).expect("a file");
    }

    /// Replaces a file by another that is renamed to it.
    pub fn replace(&self, name: &str, text: &str) {
        let new = self.path(&format!(".{name}.new"));
        fs::write(&new, text).expect("a file");
        fs::rename(&new, self.path(name)).expect("a rename");
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A file of servers: each one's id, address and further lines.
pub fn servers<'s>(
    top: &str,
    listed: impl IntoIterator<Item = (&'s str, SocketAddr, &'s str)>,
) -> String {
    let (mut text, mut count) = (format!("{top}\n"), 0);
    for (id, address, more) in listed {
        text += &format!("[[server]]\nid = \"{id}\"\naddress = \"{address}\"\n{more}\n");
        count += 1;
    }
    text + &format!("[end]\nservers = {count}\n")
}
