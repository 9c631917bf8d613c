//! The compiled table against a naive model: rules tried one by one, in order. `SEED=n` replays one.

use std::collections::BTreeMap;

use oorandom::Rand64;
use sableloom_routes::{
    HeaderCondition, HostPattern, IndexedRoute, PathPattern, RequestHead, RouteIndex, RouteOrder,
    RouteTable, Rule,
};

const SEEDS: u64 = 2000;

/// Few letters, so that patterns overlap, contain each other and meet.
fn word(rng: &mut Rand64, most: u64) -> String {
    let letters = ["a", "b", "A", ".", "/", "%"];
    let n = rng.rand_range(0..most + 1);
    (0..n).map(|_| letters[rng.rand_range(0..letters.len() as u64) as usize]).collect()
}

fn some<T>(rng: &mut Rand64, most: u64, mut one: impl FnMut(&mut Rand64) -> T) -> Vec<T> {
    let n = rng.rand_range(0..most + 1);
    (0..n).map(|_| one(rng)).collect()
}

fn rule(rng: &mut Rand64) -> Rule {
    Rule {
        hosts: some(rng, 2, |rng| match rng.rand_range(0..2) {
            0 => HostPattern::Exact(word(rng, 4)),
            _ => HostPattern::Subdomains(word(rng, 3)),
        }),
        paths: some(rng, 2, |rng| {
            let text = word(rng, 4);
            match rng.rand_range(0..3) {
                0 => PathPattern::Exact(text),
                1 => PathPattern::Prefix(text),
                _ => PathPattern::Suffix(text),
            }
        }),
        methods: some(rng, 1, |rng| ["GET", "POST"][rng.rand_range(0..2) as usize].into()),
        headers: some(rng, 1, |rng| HeaderCondition {
            name: "x".into(),
            value: (rng.rand_range(0..2) == 0).then(|| "1".into()),
        }),
        classes: some(rng, 1, |rng| rng.rand_range(0..3) as usize),
    }
}

/// The model: no table, no walk, and a reading of the host of its own.
fn naive(
    rules: &[Rule],
    host: &str,
    path: &str,
    method: &str,
    class: usize,
    x: &[&str],
) -> Option<usize> {
    let name = host.split(':').next().unwrap_or_default().to_lowercase();
    let name = name.strip_suffix('.').unwrap_or(&name).to_string();
    rules.iter().position(|rule| {
        let host = |h: &HostPattern| match h {
            HostPattern::Exact(e) => name == e.to_lowercase(),
            HostPattern::Subdomains(u) => {
                let end = format!(".{}", u.to_lowercase());
                name.ends_with(&end) && name.len() > end.len()
            }
        };
        let path = |p: &PathPattern| match p {
            PathPattern::Exact(t) => path == t,
            PathPattern::Prefix(t) => path.starts_with(t.as_str()),
            PathPattern::Suffix(t) => path.ends_with(t.as_str()),
        };
        let header = |h: &HeaderCondition| match &h.value {
            None => !x.is_empty(),
            Some(v) => x.contains(&v.as_str()),
        };
        (rule.hosts.is_empty() || rule.hosts.iter().any(host))
            && (rule.paths.is_empty() || rule.paths.iter().any(path))
            && (rule.methods.is_empty() || rule.methods.iter().any(|m| m == method))
            && (rule.classes.is_empty() || rule.classes.contains(&class))
            && rule.headers.iter().all(header)
    })
}

fn check(seed: u64) -> usize {
    let mut rng = Rand64::new(u128::from(seed));
    let rules = some(&mut rng, 12, rule);
    let table = RouteTable::compile(rules.clone()).expect("few rules");
    let mut matched = 0;
    for _ in 0..60 {
        let host = word(&mut rng, 6) + ["", ":80"][rng.rand_range(0..2) as usize];
        let path = word(&mut rng, 6);
        let method = ["GET", "POST"][rng.rand_range(0..2) as usize];
        let class = rng.rand_range(0..3) as usize;
        let x = some(&mut rng, 2, |rng| ["1", "2"][rng.rand_range(0..2) as usize]);
        let has = |name: &str, value: Option<&str>| {
            name == "x" && value.map_or(!x.is_empty(), |v| x.contains(&v))
        };
        let head = RequestHead {
            host: host.as_bytes(),
            path: path.as_bytes(),
            method: method.as_bytes(),
            class,
            has_header: &has,
        };
        let expected = naive(&rules, &host, &path, method, class, &x);
        let found = table.find(&head);
        assert_eq!(
            found, expected,
            "SEED={seed}: {host:?} {path:?} {method} {class} {x:?}\n{rules:#?}"
        );
        // The explanation of a rule agrees with the decision.
        for rule in 0..rules.len() {
            let one = naive(&rules[rule..=rule], &host, &path, method, class, &x);
            assert_eq!(
                table.mismatch(rule, &head).is_none(),
                one.is_some(),
                "SEED={seed} rule {rule}"
            );
        }
        matched += usize::from(found.is_some());
    }
    matched
}

#[test]
fn the_table_agrees_with_the_naive_model() {
    if let Some(seed) = std::env::var("SEED").ok().and_then(|s| s.parse().ok()) {
        check(seed);
        return;
    }
    let matched: usize = (0..SEEDS).map(check).sum();
    // Some requests matched a rule and some did not: both outcomes are tried.
    let all = SEEDS as usize * 60;
    assert!(matched > all / 10 && matched < all * 9 / 10, "{matched} of {all}");
}

/// Changes routes of few services one by one, and compares each lookup with one table compiled of all.
fn check_index(seed: u64) -> usize {
    let mut rng = Rand64::new(u128::from(seed));
    let mut index = RouteIndex::default();
    let mut routes: BTreeMap<RouteOrder, Rule> = BTreeMap::new();
    let mut matched = 0;
    // Every other history gathers many patterns under few hosts.
    let many = seed % 2 == 1;
    let (steps, names) = if many { (120, 40) } else { (40, 6) };
    for step in 0..steps {
        let service = ["alpha", "beta", "gamma"][rng.rand_range(0..3) as usize];
        let name: Box<str> = format!("r{}", rng.rand_range(0..names)).into();
        let of = |order: &RouteOrder| &*order.service == service;
        match rng.rand_range(0..8) {
            0 if !many || step % 4 == 0 => {
                let before = routes.len();
                routes.retain(|order, _| !of(order));
                assert_eq!(index.remove_service(service), before - routes.len(), "SEED={seed}");
            }
            1 | 2 => {
                let before = routes.len();
                routes.retain(|order, _| !(of(order) && order.name == name));
                assert_eq!(index.remove(service, &name), routes.len() < before, "SEED={seed}");
            }
            _ => {
                let rank = rng.rand_range(0..4) as u32;
                let order = RouteOrder { rank, service: service.into(), name: name.clone() };
                let mut rule = rule(&mut rng);
                if many && rng.rand_range(0..4) > 0 {
                    rule.hosts.clear();
                }
                routes.retain(|order, _| !(of(order) && order.name == name));
                routes.insert(order.clone(), rule.clone());
                index.set(IndexedRoute { order, rule, target: step });
            }
        }
        assert_eq!(index.len(), routes.len(), "SEED={seed}");
        let table = RouteTable::compile(routes.values().cloned().collect()).expect("few rules");
        for _ in 0..10 {
            let host = word(&mut rng, 6) + ["", ":80"][rng.rand_range(0..2) as usize];
            let path = word(&mut rng, 6);
            let has = |_: &str, value: Option<&str>| value.is_none();
            let head = RequestHead {
                host: host.as_bytes(),
                path: path.as_bytes(),
                method: ["GET", "POST"][rng.rand_range(0..2) as usize].as_bytes(),
                class: rng.rand_range(0..3) as usize,
                has_header: &has,
            };
            let expected = table.find(&head).and_then(|at| routes.keys().nth(at));
            let found = index.find(&head).map(|route| &route.order);
            assert_eq!(found, expected, "SEED={seed}: {host:?} {path:?}\n{routes:#?}");
            matched += usize::from(found.is_some());
        }
    }
    // Nothing remains of removed routes.
    ["alpha", "beta", "gamma"].iter().for_each(|service| {
        index.remove_service(service);
    });
    assert_eq!(index.pattern_count(), 0, "SEED={seed}");
    matched
}

#[test]
fn the_index_agrees_with_a_table_compiled_of_all_routes() {
    if let Some(seed) = std::env::var("SEED").ok().and_then(|s| s.parse().ok()) {
        check_index(seed);
        return;
    }
    let matched: usize = (0..SEEDS / 40).map(check_index).sum();
    let all = SEEDS as usize / 40 * 800;
    assert!(matched > all / 10 && matched < all * 9 / 10, "{matched} of {all}");
}
