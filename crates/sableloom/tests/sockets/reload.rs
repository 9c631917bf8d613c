//! SIGHUP: a new configuration moves the balancer to another discovery; an invalid one changes nothing.

use serde_json::{Value, json};

use sableloom_testkit::{
    Balancer, ConfigFile, Discovery, Peer, Told, config, entry, list, named, read,
};

/// A balancer that knows one server, and two discovery services: its configuration names the first, and after SIGHUP the
/// second, which knows another server.
struct Moved {
    first: Discovery,
    second: Discovery,
    new: Peer,
    config: Value,
    file: ConfigFile,
    balancer: Balancer,
}

impl Moved {
    fn start(mode: &str, poll_interval_ms: f64) -> Self {
        let (first, second) = (Discovery::start(), Discovery::start());
        let mut config = config(&[named("old").address]);
        config["settings"]["RegistryMode"] = json!(mode);
        config["settings"]["Safety"]["AskEvery"] = json!(poll_interval_ms);
        config["discovery"] = json!(first.address.to_string());
        let file = ConfigFile::new(&config);
        let balancer = Balancer::from_file(&file);
        Self { first, second, new: named("new"), config, file, balancer }
    }

    /// Moves it, and checks that it polls for the full list and then continues with long polls.
    fn move_discovery(&mut self) {
        self.config["discovery"] = json!(self.second.address.to_string());
        self.file.write(&self.config.to_string());
        self.balancer.hang_up();
        let (call, say) = self.second.call();
        assert!(call.starts_with("GET /discovery/hosts HTTP"), "{call}");
        let told = list(5, true, &[entry("s-9", self.new.address, "SERVING")]);
        say.send(Told::Whole(told)).expect("a call");
        let (call, _waits) = self.second.call();
        assert!(call.contains("after=5&"), "{call}");
        assert_eq!(self.balancer.ask(read("2", "")).body, b"new");
    }
}

#[test]
fn sighup_moves_discovery_and_polls_for_the_full_list() {
    for mode in ["subscribe", "automatic"] {
        let mut moved = Moved::start(mode, 1000.0);
        let (_, _waits) = moved.first.call();
        // A file that can't be parsed changes nothing, and ends nothing.
        moved.file.write("{\"discovery\": \"nowhere\"");
        moved.balancer.hang_up();
        assert_eq!(moved.balancer.ask(read("1", "")).body, b"old");
        moved.move_discovery();
    }
}

#[test]
fn polling_starts_at_once_and_sighup_moves_it_whatever_the_poll_interval_and_its_state() {
    for fails in [false, true] {
        // The policy itself polls only after some hours.
        let mut moved = Moved::start("subscribe", 30_000_000.0);
        let (call, say) = moved.first.call();
        assert!(call.contains("after=1&wait_ms=1 "), "{call}");
        assert_eq!(moved.balancer.ask(read("1", "")).body, b"old");
        // With a poll in flight, or in the backoff after one that failed.
        if fails {
            say.send(Told::Down).expect("a call");
            moved.balancer.says(&["it rejected the poll"]);
        }
        moved.move_discovery();
    }
}
