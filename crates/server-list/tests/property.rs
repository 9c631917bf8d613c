//! Random histories of valid, invalid and truncated files are compared with a simple model, and a file is truncated at
//! every byte. The environment variable `SEED=n` runs only the history of seed `n`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use oorandom::Rand64;
use sableloom_server_list::{FileLists, ListChange, ListSpec, ReadResult, ServerListing, read};
use sableloom_types::{EndpointStatus, ListedEndpoint, Span, Time};

/// Number of random histories.
const SEEDS: u64 = 1500;
const DRAIN_US: i64 = 3_000_000;
const MAX_REMOVED_SHARE: f64 = 0.5;

/// A server of the model. `started` is a second of the first minute of 2025-12-01.
#[derive(Clone, Debug, PartialEq)]
struct ModelServer {
    id: u64,
    port: u64,
    weight: u64,
    draining: bool,
    started: Option<u64>,
}

/// The contents of a file of the model.
#[derive(Clone, Debug, Default, PartialEq)]
struct ModelFile {
    version: Option<u64>,
    takes_out: Option<usize>,
    servers: Vec<ModelServer>,
}

impl ModelFile {
    fn text(&self) -> String {
        let mut text = String::new();
        self.version.iter().for_each(|v| text += &format!("version = \"{v}\"\n"));
        self.takes_out.iter().for_each(|n| text += &format!("takes_out = {n}\n"));
        for s in &self.servers {
            text +=
                &format!("[[server]]\nid = \"s{}\"\naddress = \"127.0.0.1:{}\"\n", s.id, s.port);
            text += &format!("weight = {}\n", s.weight);
            if s.draining {
                text += "state = \"draining\"\n";
            }
            s.started
                .iter()
                .for_each(|at| text += &format!("started = 2025-12-01T00:00:{at:02}Z\n"));
        }
        text + &format!("[end]\nservers = {}\n", self.servers.len())
    }

    /// Whether no two servers have the same id or port.
    fn is_valid(&self) -> bool {
        let ids: BTreeSet<_> = self.servers.iter().map(|s| s.id).collect();
        let ports: BTreeSet<_> = self.servers.iter().map(|s| s.port).collect();
        ids.len() == self.servers.len() && ports.len() == self.servers.len()
    }
}

/// Model of the lists of a pool: a simple implementation of the rules by which files are accepted.
#[derive(Clone, Default)]
struct Model {
    accepted: Vec<Option<ModelFile>>,
    servers: Vec<ModelServer>,
}

impl Model {
    /// Offers files, with `None` for each invalid file, and returns whether they make a new list. `tracked` has the
    /// ports of all listed and draining servers, because a server at one of these ports is identified by its address.
    fn offer(&mut self, files: &[Option<ModelFile>], tracked: &BTreeSet<u64>) -> bool {
        let mut new: Vec<Option<ModelFile>> = files
            .iter()
            .zip(&self.accepted)
            .map(|(file, accepted)| file.clone().or(accepted.clone()))
            .collect();
        let versions: BTreeSet<_> = new.iter().flatten().filter_map(|f| f.version).collect();
        if versions.len() > 1 {
            for (new, accepted) in new.iter_mut().zip(&self.accepted) {
                let versioned =
                    |f: &Option<ModelFile>| f.as_ref().is_some_and(|f| f.version.is_some());
                if versioned(new) || versioned(accepted) {
                    new.clone_from(accepted);
                }
            }
        }
        if new.iter().any(Option::is_none) || new == self.accepted {
            return false;
        }
        let servers: Vec<ModelServer> =
            new.iter().flatten().flat_map(|f| f.servers.clone()).collect();
        let combined = ModelFile { servers: servers.clone(), ..ModelFile::default() };
        if !combined.is_valid() || (!servers.is_empty() && servers.iter().all(|s| s.weight == 0)) {
            return false;
        }
        // A server that was serving is identified in the new files by its address, or else by its id at an address that
        // is not tracked.
        let serves = |server: &&ModelServer| server.weight > 0 && !server.draining;
        let ports: BTreeSet<_> = servers.iter().map(|s| s.port).collect();
        let stops_serving = |old: &&ModelServer| {
            let same_address = servers.iter().find(|s| s.port == old.port);
            let same_id = || servers.iter().find(|s| s.id == old.id && !tracked.contains(&s.port));
            let same_id = || if ports.contains(&old.port) { None } else { same_id() };
            !same_address.or_else(same_id).is_some_and(|s| serves(&s))
        };
        let serving = self.servers.iter().filter(serves).count();
        let removed = self.servers.iter().filter(serves).filter(stops_serving).count();
        let stated: usize = new
            .iter()
            .zip(&self.accepted)
            .filter(|(new, accepted)| new != accepted)
            .filter_map(|(new, _)| new.as_ref()?.takes_out)
            .sum();
        if removed as f64 > MAX_REMOVED_SHARE * serving as f64 && removed != stated {
            return false;
        }
        self.accepted = new;
        self.servers = servers;
        true
    }
}

fn spec(file_count: usize) -> ListSpec {
    ListSpec {
        pool: "p".into(),
        files: (0..file_count).map(|i| format!("{i}.toml")).collect(),
        zones: vec![],
        max_removed_share: MAX_REMOVED_SHARE,
        drain_time: Span(DRAIN_US),
    }
}

/// Returns a file with one to three random changes.
fn mutate(rng: &mut Rand64, last: &ModelFile) -> ModelFile {
    let mut file = last.clone();
    for _ in 0..rng.rand_range(1..4) {
        let n = file.servers.len() as u64;
        let pick = if n > 0 { rng.rand_range(0..n) as usize } else { 0 };
        match rng.rand_range(0..10) {
            0..3 => file.servers.push(ModelServer {
                id: rng.rand_range(0..12),
                port: rng.rand_range(1..12),
                weight: rng.rand_range(0..3),
                draining: rng.rand_range(0..6) == 0,
                started: (rng.rand_range(0..4) == 0).then(|| rng.rand_range(0..60)),
            }),
            3 if n > 0 => drop(file.servers.remove(pick)),
            4 if n > 0 => file.servers[pick].weight = rng.rand_range(0..3),
            5 if n > 0 => file.servers[pick].draining ^= true,
            6 if n > 0 => file.servers[pick].id = rng.rand_range(0..12),
            7 if n > 0 => file.servers[pick].started = Some(rng.rand_range(0..60)),
            8 => file.version = (rng.rand_range(0..2) == 0).then(|| rng.rand_range(0..2)),
            _ => {
                file.takes_out = (rng.rand_range(0..2) == 0).then(|| rng.rand_range(0..4) as usize)
            }
        }
    }
    file
}

/// Numbers of applied and rejected offers, and of servers that returned during their drain.
#[derive(Default)]
struct OfferCounts {
    applied: usize,
    rejected: usize,
    returned: usize,
}

/// Changes and truncates files at random, and reads them. Checks that exactly the valid files can be read. Returns the
/// results of reading, and the valid files.
fn write_and_read(
    rng: &mut Rand64,
    spec: &ListSpec,
    model: &Model,
    written: &mut [ModelFile],
    step: &str,
) -> (Vec<ReadResult>, Vec<Option<ModelFile>>) {
    let mut readings: Vec<ReadResult> = Vec::new();
    let mut files = Vec::new();
    for (i, file) in written.iter_mut().enumerate() {
        // Half of the files are based on the accepted file, the others on the file that was written last.
        if rng.rand_range(0..2) == 0 {
            *file = model.accepted[i].clone().unwrap_or_default();
        }
        if rng.rand_range(0..3) > 0 {
            *file = mutate(rng, file);
        }
        let mut text = file.text();
        // One of eight files is truncated at a random byte.
        let truncated = rng.rand_range(0..8) == 0;
        if truncated {
            text.truncate(rng.rand_range(0..text.len() as u64 - 1) as usize);
        }
        readings.push(read(&spec.files[i], text.as_bytes(), spec).map(Arc::new));
        let valid = !truncated && file.is_valid();
        assert_eq!(readings[i].is_ok(), valid, "{step}:\n{text}");
        files.push(valid.then(|| file.clone()));
    }
    (readings, files)
}

/// Checks that the live endpoints are exactly the serving servers of the model, and that no endpoint occurs twice.
fn check_in_force(endpoints: &[ListedEndpoint], model: &Model, context: &str) {
    let live: BTreeMap<SocketAddr, f64> = endpoints
        .iter()
        .filter(|e| e.status == EndpointStatus::Live)
        .map(|e| (e.address, e.size))
        .collect();
    let expected: BTreeMap<SocketAddr, f64> = model
        .servers
        .iter()
        .filter(|s| s.weight > 0 && !s.draining)
        .map(|s| (SocketAddr::from(([127, 0, 0, 1], s.port as u16)), s.weight as f64))
        .collect();
    assert_eq!(live, expected, "{context}");
    // No two endpoints have the same address or the same name, so that no limit is counted twice.
    let addresses: BTreeSet<_> = endpoints.iter().map(|e| e.address).collect();
    let names: BTreeSet<_> = endpoints.iter().map(|e| &e.id).collect();
    assert_eq!((addresses.len(), names.len()), (endpoints.len(), endpoints.len()), "{context}");
}

/// Offers random files in 30 steps, and compares the lists with the model after each step.
fn check_history(seed: u64) -> OfferCounts {
    let mut rng = Rand64::new(u128::from(seed));
    let file_count = rng.rand_range(1..4) as usize;
    let spec = spec(file_count);
    let mut lists = FileLists::new(spec.clone());
    let mut model = Model { accepted: vec![None; file_count], ..Model::default() };
    let mut written = vec![ModelFile::default(); file_count];
    let mut now = Time(1_764_576_000_000_000);
    let mut counts = OfferCounts::default();
    for step in 0..30 {
        now.0 += rng.rand_range(0..2_000_000) as i64;
        lists.remove_drained(now);
        let step = format!("SEED={seed} step {step}");
        let (readings, files) = write_and_read(&mut rng, &spec, &model, &mut written, &step);
        let before = lists.endpoints();
        let revision = lists.revision_and_hash().0;
        let offer = lists.offer(now, &readings);
        let tracked = before.iter().map(|e| u64::from(e.address.port())).collect();
        let accepted = model.offer(&files, &tracked);
        let context = format!("{step}: {offer:?}\n{files:#?}");
        assert_eq!(offer.applied.is_some(), accepted, "{context}");
        let endpoints = lists.endpoints();
        if let Some(applied) = &offer.applied {
            assert_eq!(applied.revision, revision + 1, "{context}");
            counts.applied += 1;
            let is_return = |c: &&ListChange| matches!(c, ListChange::Returned { .. });
            counts.returned += applied.changes.iter().filter(is_return).count();
        } else {
            assert_eq!(endpoints, before, "a rejected offer changed the endpoints: {context}");
            counts.rejected += 1;
        }
        check_in_force(&endpoints, &model, &context);
        // An offer removes no endpoint: endpoints are removed only after their drain time.
        let removed = before.iter().any(|old| !endpoints.iter().any(|e| e.id == old.id));
        assert!(!removed, "removed before the end of its drain time: {context}");
        // No server drains for longer than the drain time.
        let drain_end = lists.next_drain_end().map_or(now.0, |drain_end| drain_end.0);
        assert!(drain_end <= now.0 + DRAIN_US, "{context}");
    }
    counts
}

#[test]
fn offers_are_accepted_and_applied_exactly_as_in_the_model() {
    if let Some(seed) = std::env::var("SEED").ok().and_then(|s| s.parse().ok()) {
        check_history(seed);
        return;
    }
    let mut total = OfferCounts::default();
    for seed in 0..SEEDS {
        let counts = check_history(seed);
        total.applied += counts.applied;
        total.rejected += counts.rejected;
        total.returned += counts.returned;
    }
    // The histories contain many accepted offers, rejected offers and returned servers.
    let summary = format!(
        "{} applied, {} rejected, {} returned",
        total.applied, total.rejected, total.returned
    );
    assert!(total.applied > 5000 && total.rejected > 5000 && total.returned > 300, "{summary}");
}

#[test]
fn a_file_truncated_at_any_byte_is_rejected_unless_only_the_trailing_comment_is_lost() {
    let spec = spec(1);
    let text = "# Points nodes, \u{fc}berall\nversion = \"1\"\npool = \"p\"\ntakes_out = 12\n\n\
        [[server]]\nid = \"a\"\naddress = \"127.0.0.1:9001\"\nweight = 10.25\n\n\
        [[server]]\nid = \"b\"\naddress = \"[::1]:90\"\nzone = \"z\"\nstate = \"draining\"\n\
        started = 2026-12-01T08:30:00.125+01:00\n\n\
        [[server]]\nid = \"c\"\naddress = \"127.0.0.1:9003\"\n[[server]]\nid = \"d\"\n\
        address = \"127.0.0.1:9004\"\n\n[end]\nservers = 4 # all\n";
    let whole = read("0.toml", text.as_bytes(), &spec).expect("a valid file");
    let (mut rejected, mut same) = (0, 0);
    for length in 0..text.len() {
        match read("0.toml", &text.as_bytes()[..length], &spec) {
            Ok(listing) => {
                assert_eq!(
                    ServerListing { digest: whole.digest, ..listing },
                    whole,
                    "truncated to {length} bytes"
                );
                same += 1;
            }
            Err(problems) => {
                assert!(!problems.is_empty());
                rejected += 1;
            }
        }
    }
    // A file can be read without its last comment and line break, but not if any byte before them is missing.
    assert_eq!((rejected, same), (text.len() - " # all\n".len(), " # all\n".len()));
}
