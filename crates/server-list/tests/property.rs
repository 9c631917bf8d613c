//! Seeded histories of files, broken and whole, against a naive model; and cuts at every byte.
//! `SEED=n` replays one history.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use oorandom::Rand64;
use sableloom_server_list::{FileLists, ListChange, ListSpec, ReadResult, ServerListing, read};
use sableloom_types::{EndpointStatus, ListedEndpoint, Span, Time};

const SEEDS: u64 = 1500;
const DRAIN: i64 = 3_000_000;
const OUT_AT_MOST: f64 = 0.5;

#[derive(Clone, Debug, PartialEq)]
struct One {
    id: u64,
    port: u64,
    weight: u64,
    draining: bool,
    started: Option<u64>,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct File {
    version: Option<u64>,
    takes_out: Option<usize>,
    servers: Vec<One>,
}

impl File {
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

    fn is_sound(&self) -> bool {
        let ids: BTreeSet<_> = self.servers.iter().map(|s| s.id).collect();
        let ports: BTreeSet<_> = self.servers.iter().map(|s| s.port).collect();
        ids.len() == self.servers.len() && ports.len() == self.servers.len()
    }
}

/// What a pool is by the rules, said as plainly as possible.
#[derive(Clone, Default)]
struct Model {
    accepted: Vec<Option<File>>,
    servers: Vec<One>,
}

impl Model {
    /// The list in force after these files; whether it is a new one. `tracked` are the ports of what
    /// is in force or drains: what is there is known by its address.
    fn offer(&mut self, files: &[Option<File>], tracked: &BTreeSet<u64>) -> bool {
        let mut new: Vec<Option<File>> =
            files.iter().zip(&self.accepted).map(|(f, g)| f.clone().or(g.clone())).collect();
        let versions: BTreeSet<_> = new.iter().flatten().filter_map(|f| f.version).collect();
        if versions.len() > 1 {
            for (new, accepted) in new.iter_mut().zip(&self.accepted) {
                let versioned = |f: &Option<File>| f.as_ref().is_some_and(|f| f.version.is_some());
                if versioned(new) || versioned(accepted) {
                    new.clone_from(accepted);
                }
            }
        }
        if new.iter().any(Option::is_none) || new == self.accepted {
            return false;
        }
        let servers: Vec<One> = new.iter().flatten().flat_map(|f| f.servers.clone()).collect();
        let together = File { servers: servers.clone(), ..File::default() };
        if !together.is_sound() || (!servers.is_empty() && servers.iter().all(|s| s.weight == 0)) {
            return false;
        }
        // Who serves is known by its address, or else by its id.
        let serves = |s: &&One| s.weight > 0 && !s.draining;
        let ports: BTreeSet<_> = servers.iter().map(|s| s.port).collect();
        let goes_on = |old: &&One| {
            let at = servers.iter().find(|s| s.port == old.port);
            let by_id = || servers.iter().find(|s| s.id == old.id && !tracked.contains(&s.port));
            let by_id = || if ports.contains(&old.port) { None } else { by_id() };
            !at.or_else(by_id).is_some_and(|s| serves(&s))
        };
        let before = self.servers.iter().filter(serves).count();
        let out = self.servers.iter().filter(serves).filter(goes_on).count();
        let meant: usize = new
            .iter()
            .zip(&self.accepted)
            .filter(|(new, accepted)| new != accepted)
            .filter_map(|(new, _)| new.as_ref()?.takes_out)
            .sum();
        if out as f64 > OUT_AT_MOST * before as f64 && out != meant {
            return false;
        }
        self.accepted = new;
        self.servers = servers;
        true
    }
}

fn spec(files: usize) -> ListSpec {
    ListSpec {
        pool: "p".into(),
        files: (0..files).map(|i| format!("{i}.toml")).collect(),
        zones: vec![],
        max_removed_share: OUT_AT_MOST,
        drain_time: Span(DRAIN),
    }
}

fn draw(rng: &mut Rand64, last: &File) -> File {
    let mut file = last.clone();
    for _ in 0..rng.rand_range(1..4) {
        let n = file.servers.len() as u64;
        let pick = if n > 0 { rng.rand_range(0..n) as usize } else { 0 };
        match rng.rand_range(0..10) {
            0..3 => file.servers.push(One {
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

#[derive(Default)]
struct Seen {
    applied: usize,
    rejected: usize,
    returned: usize,
}

/// Writes each file anew, perhaps changed or cut, and reads it; checks that just sound ones can be read. Returns what was
/// read, and the files that are sound.
fn write_and_read(
    rng: &mut Rand64,
    spec: &ListSpec,
    model: &Model,
    last: &mut [File],
    step: &str,
) -> (Vec<ReadResult>, Vec<Option<File>>) {
    let mut readings: Vec<ReadResult> = Vec::new();
    let mut files = Vec::new();
    for (i, last) in last.iter_mut().enumerate() {
        // From what is in force as often as from what was written last.
        if rng.rand_range(0..2) == 0 {
            *last = model.accepted[i].clone().unwrap_or_default();
        }
        if rng.rand_range(0..3) > 0 {
            *last = draw(rng, last);
        }
        let mut text = last.text();
        // Broken by a cut somewhere.
        let cut = rng.rand_range(0..8) == 0;
        if cut {
            text.truncate(rng.rand_range(0..text.len() as u64 - 1) as usize);
        }
        readings.push(read(&spec.files[i], text.as_bytes(), spec).map(Arc::new));
        let sound = !cut && last.is_sound();
        assert_eq!(readings[i].is_ok(), sound, "{step}:\n{text}");
        files.push(sound.then(|| last.clone()));
    }
    (readings, files)
}

/// Checks that what is in force is what the model has, no more and no less.
fn check_in_force(endpoints: &[ListedEndpoint], model: &Model, location: &str) {
    let live: BTreeMap<SocketAddr, f64> = endpoints
        .iter()
        .filter(|e| e.status == EndpointStatus::Live)
        .map(|e| (e.address, e.size))
        .collect();
    let modelled: BTreeMap<SocketAddr, f64> = model
        .servers
        .iter()
        .filter(|s| s.weight > 0 && !s.draining)
        .map(|s| (SocketAddr::from(([127, 0, 0, 1], s.port as u16)), s.weight as f64))
        .collect();
    assert_eq!(live, modelled, "{location}");
    // One endpoint for each address and one name for each endpoint: no limit counted twice.
    let addresses: BTreeSet<_> = endpoints.iter().map(|e| e.address).collect();
    let names: BTreeSet<_> = endpoints.iter().map(|e| &e.id).collect();
    assert_eq!((addresses.len(), names.len()), (endpoints.len(), endpoints.len()), "{location}");
}

fn check(seed: u64) -> Seen {
    let mut rng = Rand64::new(u128::from(seed));
    let count = rng.rand_range(1..4) as usize;
    let spec = spec(count);
    let mut lists = FileLists::new(spec.clone());
    let mut model = Model { accepted: vec![None; count], ..Model::default() };
    let mut last = vec![File::default(); count];
    let mut now = Time(1_764_576_000_000_000);
    let mut seen = Seen::default();
    for step in 0..30 {
        now.0 += rng.rand_range(0..2_000_000) as i64;
        lists.remove_drained(now);
        let step = format!("SEED={seed} step {step}");
        let (readings, files) = write_and_read(&mut rng, &spec, &model, &mut last, &step);
        let before = lists.endpoints();
        let revision = lists.revision_and_hash().0;
        let offer = lists.offer(now, &readings);
        let tracked = before.iter().map(|e| u64::from(e.address.port())).collect();
        let expected = model.offer(&files, &tracked);
        let location = format!("{step}: {offer:?}\n{files:#?}");
        assert_eq!(offer.applied.is_some(), expected, "{location}");
        let endpoints = lists.endpoints();
        if let Some(applied) = &offer.applied {
            assert_eq!(applied.revision, revision + 1, "{location}");
            seen.applied += 1;
            let back = |c: &&ListChange| matches!(c, ListChange::Returned { .. });
            seen.returned += applied.changes.iter().filter(back).count();
        } else {
            assert_eq!(endpoints, before, "what is rejected changes nothing: {location}");
            seen.rejected += 1;
        }
        check_in_force(&endpoints, &model, &location);
        // A name keeps its address unless that moved, and none is forgotten before its time.
        let gone = before.iter().any(|old| !endpoints.iter().any(|e| e.id == old.id));
        assert!(!gone, "forgotten before its drain was over: {location}");
        // A server that no list names drains, and for no longer than it may.
        let next = lists.next_drain_end().map_or(now.0, |next| next.0);
        assert!(next <= now.0 + DRAIN, "{location}");
    }
    seen
}

#[test]
fn lists_agree_with_a_naive_model() {
    if let Some(seed) = std::env::var("SEED").ok().and_then(|s| s.parse().ok()) {
        check(seed);
        return;
    }
    let mut all = Seen::default();
    for seed in 0..SEEDS {
        let seen = check(seed);
        all.applied += seen.applied;
        all.rejected += seen.rejected;
        all.returned += seen.returned;
    }
    // The histories do go everywhere.
    let summary =
        format!("{} applied, {} refused, {} returned", all.applied, all.rejected, all.returned);
    assert!(all.applied > 5000 && all.rejected > 5000 && all.returned > 300, "{summary}");
}

#[test]
fn a_file_cut_at_any_byte_is_rejected_or_reads_the_same() {
    let spec = spec(1);
    let text = "# Points nodes, \u{fc}ber alles\nversion = \"1\"\npool = \"p\"\ntakes_out = 12\n\n\
        [[server]]\nid = \"a\"\naddress = \"127.0.0.1:9001\"\nweight = 10.25\n\n\
        [[server]]\nid = \"b\"\naddress = \"[::1]:90\"\nzone = \"z\"\nstate = \"draining\"\n\
        started = 2026-12-01T08:30:00.125+01:00\n\n\
        [[server]]\nid = \"c\"\naddress = \"127.0.0.1:9003\"\n[[server]]\nid = \"d\"\n\
        address = \"127.0.0.1:9004\"\n\n[end]\nservers = 4 # all\n";
    let whole = read("0.toml", text.as_bytes(), &spec).expect("a good file");
    let (mut refused, mut same) = (0, 0);
    for cut in 0..text.len() {
        match read("0.toml", &text.as_bytes()[..cut], &spec) {
            Ok(listing) => {
                assert_eq!(
                    ServerListing { digest: whole.digest, ..listing },
                    whole,
                    "cut at {cut}"
                );
                same += 1;
            }
            Err(problems) => {
                assert!(!problems.is_empty());
                refused += 1;
            }
        }
    }
    // All that may be missing is the comment and the line's end behind the number.
    assert_eq!((refused, same), (text.len() - " # all\n".len(), " # all\n".len()));
}
