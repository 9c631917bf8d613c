//! Random rules: a table finds the same rule as a scan over the rules, and an index finds the same route as a table
//! compiled from the same routes. The environment variable `SEED=n` runs only the random rules of seed `n`.

use std::collections::BTreeMap;

use oorandom::Rand64;
use sableloom_routes::{
    HeaderCondition, HostPattern, IndexedRoute, PathPattern, RequestHead, RouteIndex, RouteOrder,
    RouteTable, Rule,
};

/// Number of seeds for the test of the table. The test of the index, which compiles a table after each step, runs a
/// fortieth of the seeds.
const SEEDS: u64 = 2000;

/// Returns a random text of few different bytes, so that patterns often overlap, contain each other or are equal.
fn random_text(rng: &mut Rand64, max_bytes: u64) -> String {
    let letters = ["a", "b", "A", ".", "/", "%"];
    let n = rng.rand_range(0..max_bytes + 1);
    (0..n).map(|_| letters[rng.rand_range(0..letters.len() as u64) as usize]).collect()
}

fn random_vec<T>(
    rng: &mut Rand64,
    max_len: u64,
    mut element: impl FnMut(&mut Rand64) -> T,
) -> Vec<T> {
    let n = rng.rand_range(0..max_len + 1);
    (0..n).map(|_| element(rng)).collect()
}

fn random_rule(rng: &mut Rand64) -> Rule {
    Rule {
        hosts: random_vec(rng, 2, |rng| match rng.rand_range(0..2) {
            0 => HostPattern::Exact(random_text(rng, 4)),
            _ => HostPattern::Subdomains(random_text(rng, 3)),
        }),
        paths: random_vec(rng, 2, |rng| {
            let text = random_text(rng, 4);
            match rng.rand_range(0..3) {
                0 => PathPattern::Exact(text),
                1 => PathPattern::Prefix(text),
                _ => PathPattern::Suffix(text),
            }
        }),
        methods: random_vec(rng, 1, |rng| ["GET", "POST"][rng.rand_range(0..2) as usize].into()),
        headers: random_vec(rng, 1, |rng| HeaderCondition {
            name: "x".into(),
            value: (rng.rand_range(0..2) == 0).then(|| "1".into()),
        }),
        classes: random_vec(rng, 1, |rng| rng.rand_range(0..3) as usize),
    }
}

/// The model that lookups are compared with. It tries the rules one by one in order, and normalizes the host without
/// code of the crate under test. `x_values` has the values of the request header `x`.
fn first_match_by_scan(
    rules: &[Rule],
    host: &str,
    path: &str,
    method: &str,
    class: usize,
    x_values: &[&str],
) -> Option<usize> {
    let name = host.split(':').next().unwrap_or_default().to_lowercase();
    let name = name.strip_suffix('.').unwrap_or(&name).to_string();
    rules.iter().position(|rule| {
        let host_matches = |pattern: &HostPattern| match pattern {
            HostPattern::Exact(exact) => name == exact.to_lowercase(),
            HostPattern::Subdomains(parent) => {
                let suffix = format!(".{}", parent.to_lowercase());
                name.ends_with(&suffix) && name.len() > suffix.len()
            }
        };
        let path_matches = |pattern: &PathPattern| match pattern {
            PathPattern::Exact(text) => path == text,
            PathPattern::Prefix(text) => path.starts_with(text.as_str()),
            PathPattern::Suffix(text) => path.ends_with(text.as_str()),
        };
        let header_matches = |condition: &HeaderCondition| match &condition.value {
            None => !x_values.is_empty(),
            Some(value) => x_values.contains(&value.as_str()),
        };
        (rule.hosts.is_empty() || rule.hosts.iter().any(host_matches))
            && (rule.paths.is_empty() || rule.paths.iter().any(path_matches))
            && (rule.methods.is_empty() || rule.methods.iter().any(|m| m == method))
            && (rule.classes.is_empty() || rule.classes.contains(&class))
            && rule.headers.iter().all(header_matches)
    })
}

/// Compares 60 lookups in a table of random rules with the scan, and returns the number of lookups that found a rule.
fn check_table(seed: u64) -> usize {
    let mut rng = Rand64::new(u128::from(seed));
    let rules = random_vec(&mut rng, 12, random_rule);
    let table = RouteTable::compile(rules.clone()).expect("fewer pattern pairs than the maximum");
    let mut matched = 0;
    for _ in 0..60 {
        let host = random_text(&mut rng, 6) + ["", ":80"][rng.rand_range(0..2) as usize];
        let path = random_text(&mut rng, 6);
        let method = ["GET", "POST"][rng.rand_range(0..2) as usize];
        let class = rng.rand_range(0..3) as usize;
        let x_values = random_vec(&mut rng, 2, |rng| ["1", "2"][rng.rand_range(0..2) as usize]);
        let has = |name: &str, value: Option<&str>| {
            name == "x" && value.map_or(!x_values.is_empty(), |value| x_values.contains(&value))
        };
        let head = RequestHead {
            host: host.as_bytes(),
            path: path.as_bytes(),
            method: method.as_bytes(),
            class,
            has_header: &has,
        };
        let expected = first_match_by_scan(&rules, &host, &path, method, class, &x_values);
        let found = table.find(&head);
        assert_eq!(
            found, expected,
            "SEED={seed}: {host:?} {path:?} {method} {class} {x_values:?}\n{rules:#?}"
        );
        // `mismatch` returns a condition exactly for those rules that the scan rejects.
        for rule in 0..rules.len() {
            let alone =
                first_match_by_scan(&rules[rule..=rule], &host, &path, method, class, &x_values);
            assert_eq!(
                table.mismatch(rule, &head).is_none(),
                alone.is_some(),
                "SEED={seed} rule {rule}"
            );
        }
        matched += usize::from(found.is_some());
    }
    matched
}

#[test]
fn a_table_finds_the_same_rule_as_a_scan_over_all_rules() {
    if let Some(seed) = std::env::var("SEED").ok().and_then(|s| s.parse().ok()) {
        check_table(seed);
        return;
    }
    let matched: usize = (0..SEEDS).map(check_table).sum();
    // More than a tenth of the requests match a rule and more than a tenth match none, so that both outcomes are
    // tested.
    let lookups = SEEDS as usize * 60;
    assert!(matched > lookups / 10 && matched < lookups * 9 / 10, "{matched} of {lookups}");
}

/// Adds and removes routes of three services one by one. After each step, compares lookups in the index with lookups in
/// a table that is compiled from all routes. Returns the number of lookups that found a route.
fn check_index(seed: u64) -> usize {
    let mut rng = Rand64::new(u128::from(seed));
    let mut index = RouteIndex::default();
    let mut routes: BTreeMap<RouteOrder, Rule> = BTreeMap::new();
    let mut matched = 0;
    // Odd seeds add more routes, most of them without a host pattern, so that the entry for any host has many path
    // patterns.
    let many_patterns = seed % 2 == 1;
    let (steps, name_count) = if many_patterns { (120, 40) } else { (40, 6) };
    for step in 0..steps {
        let service = ["alpha", "beta", "gamma"][rng.rand_range(0..3) as usize];
        let name: Box<str> = format!("r{}", rng.rand_range(0..name_count)).into();
        let is_of_service = |order: &RouteOrder| &*order.service == service;
        match rng.rand_range(0..8) {
            0 if !many_patterns || step % 4 == 0 => {
                let before = routes.len();
                routes.retain(|order, _| !is_of_service(order));
                assert_eq!(index.remove_service(service), before - routes.len(), "SEED={seed}");
            }
            1 | 2 => {
                let before = routes.len();
                routes.retain(|order, _| !(is_of_service(order) && order.name == name));
                assert_eq!(index.remove(service, &name), routes.len() < before, "SEED={seed}");
            }
            _ => {
                let rank = rng.rand_range(0..4) as u32;
                let order = RouteOrder { rank, service: service.into(), name: name.clone() };
                let mut rule = random_rule(&mut rng);
                if many_patterns && rng.rand_range(0..4) > 0 {
                    rule.hosts.clear();
                }
                routes.retain(|order, _| !(is_of_service(order) && order.name == name));
                routes.insert(order.clone(), rule.clone());
                index.set(IndexedRoute { order, rule, target: step });
            }
        }
        assert_eq!(index.len(), routes.len(), "SEED={seed}");
        let table = RouteTable::compile(routes.values().cloned().collect())
            .expect("fewer pattern pairs than the maximum");
        for _ in 0..10 {
            let host = random_text(&mut rng, 6) + ["", ":80"][rng.rand_range(0..2) as usize];
            let path = random_text(&mut rng, 6);
            let has = |_: &str, value: Option<&str>| value.is_none();
            let head = RequestHead {
                host: host.as_bytes(),
                path: path.as_bytes(),
                method: ["GET", "POST"][rng.rand_range(0..2) as usize].as_bytes(),
                class: rng.rand_range(0..3) as usize,
                has_header: &has,
            };
            let expected = table.find(&head).and_then(|position| routes.keys().nth(position));
            let found = index.find(&head).map(|route| &route.order);
            assert_eq!(found, expected, "SEED={seed}: {host:?} {path:?}\n{routes:#?}");
            matched += usize::from(found.is_some());
        }
    }
    // The index keeps no pattern once all routes are removed.
    ["alpha", "beta", "gamma"].iter().for_each(|service| {
        index.remove_service(service);
    });
    assert_eq!(index.pattern_count(), 0, "SEED={seed}");
    matched
}

#[test]
fn an_index_finds_the_same_route_as_a_table_compiled_from_all_routes() {
    if let Some(seed) = std::env::var("SEED").ok().and_then(|s| s.parse().ok()) {
        check_index(seed);
        return;
    }
    let matched: usize = (0..SEEDS / 40).map(check_index).sum();
    let lookups = SEEDS as usize / 40 * 800;
    assert!(matched > lookups / 10 && matched < lookups * 9 / 10, "{matched} of {lookups}");
}
