//! What answers differ in, and what a record of it amounts to.

use proptest::prelude::*;
use sableloom_shadow::*;
use sableloom_types::Span;
use serde_json::{Value, json};

fn rules(ignore: &[&str], unordered: &[&str]) -> ComparisonRules {
    let patterns = |all: &[&str]| all.iter().map(|p| p.parse().expect("a pattern")).collect();
    ComparisonRules {
        headers: vec!["content-type".into()],
        ignore: patterns(ignore),
        unordered: patterns(unordered),
    }
}

fn bodies(rules: &ComparisonRules, a: &[u8], b: &[u8]) -> Vec<(String, DifferenceKind)> {
    let side = |body| ComparedAnswer { headers: &[None], body };
    compare(rules, side(a), side(b)).into_iter().map(|d| (d.path, d.kind)).collect()
}

fn values(rules: &ComparisonRules, a: &str, b: &str) -> Vec<(String, DifferenceKind)> {
    bodies(rules, a.as_bytes(), b.as_bytes())
}

#[test]
fn json_is_compared_by_value_and_not_by_its_bytes() {
    let plain = rules(&[], &[]);
    for (a, b) in [
        (r#"{"a":1,"b":[1,2]}"#, "{ \"b\": [1, 2],\n \"a\": 1.0 }"),
        (r#"{"a":"\u0041"}"#, r#"{"a":"A"}"#),
        (r#"{"a":1,"a":2}"#, r#"{"a":1, "a":2}"#),
        ("1e2", "100"),
        ("18446744073709551615", " 18446744073709551615"),
        ("plain", "plain"),
        ("", ""),
    ] {
        assert_eq!(values(&plain, a, b), [], "{a} and {b}");
    }
    for (a, b, at, kind) in [
        (r#"{"a":1}"#, r#"{"a":2}"#, "/a", DifferenceKind::Value),
        (r#"{"a":1}"#, r#"{"a":"1"}"#, "/a", DifferenceKind::Type),
        (r#"{"a":null}"#, r#"{}"#, "/a", DifferenceKind::Missing),
        (r#"{}"#, r#"{"a":null}"#, "/a", DifferenceKind::Added),
        (r#"{"a":[1,2]}"#, r#"{"a":[1]}"#, "/a", DifferenceKind::Length),
        (r#"{"a":[1,2]}"#, r#"{"a":[2,1]}"#, "/a/*", DifferenceKind::Value),
        (r#"{"a/b":{"~":1}}"#, r#"{"a/b":{"~":2}}"#, "/a~1b/~0", DifferenceKind::Value),
        (r#"{"a":1,"a":2}"#, r#"{"a":2}"#, "/a", DifferenceKind::DuplicateName),
        (r#"{"a":1,"a":2}"#, r#"{"a":2,"a":1}"#, "/a", DifferenceKind::DuplicateName),
        ("9007199254740993", "9007199254740992", "body", DifferenceKind::Value),
        ("10", "11", "body", DifferenceKind::Value),
        ("{}", "[]", "body", DifferenceKind::Type),
        ("{}", "oops", "body", DifferenceKind::Bytes),
        ("plain", "plane", "body", DifferenceKind::Bytes),
        ("plain", "", "body", DifferenceKind::Bytes),
    ] {
        let found = values(&plain, a, b);
        assert_eq!(found.first(), Some(&(at.to_string(), kind)), "{a} and {b}");
    }
}

#[test]
fn ignored_members_and_the_order_of_unordered_lists_may_differ() {
    let a = r#"{"at":1,"items":[{"id":1,"seen":2},{"id":2,"seen":3}],"x":{"at":9}}"#;
    let b = r#"{"at":2,"items":[{"id":1,"seen":7},{"id":2}],"x":{"at":8}}"#;
    assert_eq!(values(&rules(&[], &[]), a, b).len(), 4);
    let found = values(&rules(&["/at", "/items/*/seen"], &[]), a, b);
    assert_eq!(found, [("/x/at".to_string(), DifferenceKind::Value)]);
    assert_eq!(values(&rules(&["/at", "/items/0/seen", "/x"], &[]), a, b).len(), 1);
    assert_eq!(values(&rules(&["/*"], &[]), a, b), []);
    // Below a name that may differ; a name that is not there at all.
    assert_eq!(values(&rules(&["/at", "/items", "/x"], &[]), a, "{}"), []);
    let lists = (r#"{"l":[3,1,2],"m":[1,2]}"#, r#"{"l":[1,2,3],"m":[2,1]}"#);
    let found = values(&rules(&[], &["/l"]), lists.0, lists.1);
    assert_eq!(
        found,
        [("/m/*".into(), DifferenceKind::Value), ("/m/*".into(), DifferenceKind::Value)]
    );
    for wrong in ["", "a", "/~", "/a~2"] {
        assert!(wrong.parse::<Pattern>().is_err(), "{wrong:?}");
    }
}

#[test]
fn only_the_named_header_fields_are_compared() {
    let plain = rules(&[], &[]);
    let side = |v: Option<&'static [u8]>| [v];
    let (json, text, none) = (side(Some(b"json")), side(Some(b"text")), side(None));
    let of = |a: &[Option<&[u8]>; 1], b: &[Option<&[u8]>; 1]| {
        let found = compare(
            &plain,
            ComparedAnswer { headers: a, body: b"" },
            ComparedAnswer { headers: b, body: b"" },
        );
        found.into_iter().map(|d| (d.path, d.kind)).collect::<Vec<_>>()
    };
    assert_eq!(of(&json, &json), []);
    let at = "field content-type".to_string();
    assert_eq!(of(&json, &text), [(at.clone(), DifferenceKind::Value)]);
    assert_eq!(of(&json, &none), [(at.clone(), DifferenceKind::Missing)]);
    assert_eq!(of(&none, &json), [(at, DifferenceKind::Added)]);
}

#[test]
fn differences_of_huge_answers_are_bounded() {
    let many: Vec<u32> = (0..5000).collect();
    let more: Vec<u32> = (1..5001).collect();
    let found = values(&rules(&[], &[]), &json!(many).to_string(), &json!(more).to_string());
    assert_eq!(found.len(), MAX_DIFFERENCES);
    // Deeper than is read: compared as bytes, and no stack runs out.
    let deep = |n: usize| "[".repeat(n) + &"]".repeat(n);
    assert_eq!(
        values(&rules(&[], &[]), &deep(60_000), &deep(59_999)),
        [("body".into(), DifferenceKind::Bytes)]
    );
    assert_eq!(values(&rules(&[], &[]), &deep(100), &deep(99)).len(), 1);
    // Names without end fill no record without end.
    let mut record = Record::new("s", [(("c".into(), 100.0), true)]);
    for n in 0..2000 {
        let path = format!("/n{n}");
        let difference = Difference {
            path,
            kind: DifferenceKind::Added,
            live: "".into(),
            candidate: "x".repeat(50),
        };
        let served = CopyOutcome::Served(Span(1), vec![difference]);
        record.add(&pair(1, served, None), true);
    }
    assert_eq!(record.classes[0].differences.len(), 256);
    assert_eq!(record.classes[0].other_differences, 2000 - 256);
}

fn pair(live_ms: i64, candidate: CopyOutcome, control: Option<CopyOutcome>) -> Pair<'static> {
    let live = Span(live_ms * 1000);
    Pair { class: 0, id: "id", live, candidate, control, disturbed: false }
}

fn differing(ms: i64) -> CopyOutcome {
    let difference = Difference {
        path: "/points".into(),
        kind: DifferenceKind::Value,
        live: "1".into(),
        candidate: "2".into(),
    };
    // Twice in one answer is one pair that differs.
    CopyOutcome::Served(Span(ms * 1000), vec![difference.clone(), difference])
}

fn same(ms: i64) -> CopyOutcome {
    CopyOutcome::Served(Span(ms * 1000), vec![])
}

fn record(pairs: impl IntoIterator<Item = (usize, Pair<'static>)>) -> Record {
    let mut record =
        Record::new("s", [(("balance".into(), 100.0), true), (("redeem".into(), 100.0), false)]);
    for (times, pair) in pairs {
        (0..times).for_each(|_| record.add(&pair, false));
    }
    record
}

fn against(record: &Record) -> Vec<FindingKind> {
    let judged = judge(record, &JudgementLimits::default());
    judged.findings.into_iter().filter(|f| f.against).map(|f| f.kind).collect()
}

#[test]
fn a_record_counts_each_pair_once_and_merges() {
    let mut disturbed = pair(10, differing(10), None);
    disturbed.disturbed = true;
    let all = record([
        (5, pair(10, same(20), None)),
        (3, pair(10, differing(200), None)),
        (2, pair(10, CopyOutcome::NotSent, None)),
        (4, pair(10, CopyOutcome::Failed(Span(1)), None)),
        (6, disturbed),
        (7, pair(300, same(20), None)),
    ]);
    let c = &all.classes[0];
    assert_eq!(
        (c.ended, c.same, c.different, c.not_sent, c.failed, c.disturbed),
        (27, 12, 3, 2, 4, 6)
    );
    assert_eq!((c.late_candidate, c.late_live), (7, 7));
    assert_eq!((c.live_latency.count(), c.candidate_latency.count()), (21, 21));
    assert_eq!(c.differences["/points value"].candidate, 3);
    let examples = &c.differences["/points value"].examples;
    assert_eq!(examples.len(), 3);
    assert!(examples.iter().all(|e| e.live.is_empty() && e.candidate.is_empty()), "no values");
    // Written, read and added up it is the same, twice over.
    let text = serde_json::to_string(&all).expect("text");
    let mut back: Record = serde_json::from_str(&text).expect("a record");
    back.merge(&all).expect("the same shadow");
    let d = &back.classes[0];
    assert_eq!((d.ended, d.different, d.candidate_latency.count()), (54, 6, 42));
    assert_eq!(d.differences["/points value"].candidate, 6);
    for share in [0.1, 0.5, 0.99] {
        assert_eq!(d.candidate_latency.quantile_ms(share), c.candidate_latency.quantile_ms(share));
    }
    let other = Record::new(
        "other",
        [(("balance".into(), 100.0), true), (("redeem".into(), 100.0), false)],
    );
    assert!(back.merge(&other).is_err_and(|e| e.to_string().contains("other")));
    let newer = Record { format: 99, ..all.clone() };
    assert!(back.merge(&newer).is_err_and(|e| e.to_string().contains("form 99")));
}

#[test]
fn a_candidate_is_blamed_for_its_differences_and_not_for_chance() {
    let good = record([(500, pair(10, same(12), None))]);
    assert!(!judge(&good, &JudgementLimits::default()).is_against_candidate());
    assert!(!judge(&good, &JudgementLimits::default()).has_too_few_pairs());
    let few = record([(99, pair(10, same(12), None))]);
    assert!(judge(&few, &JudgementLimits::default()).has_too_few_pairs());
    // Without a control group any difference counts, and failures past their share.
    let one = record([(500, pair(10, same(12), None)), (1, pair(10, differing(12), None))]);
    assert_eq!(against(&one), [FindingKind::Differs("/points value".into())]);
    let failing = |n| {
        record([(1000, pair(10, same(9), None)), (n, pair(10, CopyOutcome::Failed(Span(1)), None))])
    };
    assert_eq!(against(&failing(3)), []);
    assert_eq!(against(&failing(40)), [FindingKind::Fails, FindingKind::Late]);
    // With one, what it shows as well is explained.
    let control = |only: usize, both: usize, reverse: usize| {
        record([
            (1000, pair(10, same(12), Some(same(12)))),
            (both, pair(10, differing(12), Some(differing(12)))),
            (only, pair(10, differing(12), Some(same(12)))),
            (reverse, pair(10, same(12), Some(differing(12)))),
        ])
    };
    assert_eq!(against(&control(0, 300, 0)), []);
    assert_eq!(against(&control(40, 0, 38)), []);
    assert_eq!(against(&control(40, 300, 5)), [FindingKind::Differs("/points value".into())]);
    let both = pair(10, CopyOutcome::Failed(Span(1)), Some(CopyOutcome::Failed(Span(1))));
    let fails = record([(1000, pair(10, same(9), Some(same(9)))), (100, both)]);
    assert!(!against(&fails).contains(&FindingKind::Fails), "it fails there as well");
    // Late beyond the reverse.
    let late = |a, b| {
        record([
            (1000, pair(10, same(10), None)),
            (a, pair(10, same(200), None)),
            (b, pair(200, same(10), None)),
        ])
    };
    assert_eq!(against(&late(60, 55)), []);
    assert_eq!(against(&late(60, 10)), [FindingKind::Late]);
}

/// Judged a thousand times, a candidate that is as good is blamed about as seldom as is promised.
#[test]
fn an_equivalent_candidate_is_seldom_blamed_by_chance() {
    let mut blamed = 0;
    for seed in 0..1000u128 {
        let mut rng = oorandom::Rand64::new(seed);
        let mut all = Record::new(
            "s",
            [(("balance".into(), 100.0), true), (("redeem".into(), 100.0), false)],
        );
        for _ in 0..400 {
            let mut tried =
                |share: f64| if rng.rand_float() < share { differing(10) } else { same(10) };
            let (candidate, control) = (tried(0.2), tried(0.2));
            all.add(&pair(10, candidate, Some(control)), false);
        }
        blamed += usize::from(!against(&all).is_empty());
    }
    assert!(blamed <= 20, "{blamed} of 1000");
}

#[test]
fn confidence_bounds_and_p_values_agree_with_published_tables() {
    // Wilson's bounds for 10 of 100, and the binomial tail of 5 or more of 6, 8 or more of 10.
    let (low, high) = wilson_bounds(10, 100);
    assert!((low - 0.0552).abs() < 1e-4 && (high - 0.1744).abs() < 1e-4, "{low} {high}");
    assert_eq!(wilson_bounds(0, 50).0, 0.0);
    assert_eq!(wilson_bounds(50, 50).1, 1.0);
    assert!((mcnemar_p_value(5, 1) - 7.0 / 64.0).abs() < 1e-12);
    assert!((mcnemar_p_value(8, 2) - 56.0 / 1024.0).abs() < 1e-12);
    assert_eq!(
        (mcnemar_p_value(0, 0), mcnemar_p_value(3, 3), mcnemar_p_value(2, 9)),
        (1.0, 1.0, 1.0)
    );
    // Both forms agree where they meet, and huge counts are no trouble.
    let (exact, normal) = (mcnemar_p_value(540, 460), mcnemar_p_value(541, 461));
    assert!(exact > 0.0 && (exact / normal - 1.0).abs() < 0.25, "{exact} {normal}");
    assert!(mcnemar_p_value(u64::MAX, 1) < 1e-300);
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        "[a-c~/]{0,3}".prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 40, 5, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..5).prop_map(Value::from),
            prop::collection::btree_map("[a-c~/*]{0,2}", inner, 0..5)
                .prop_map(|m| Value::Object(m.into_iter().collect())),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: prop::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn it_differs_exactly_if_its_values_do(a in any_json(), b in any_json()) {
        let found = bodies(&rules(&[], &[]), a.to_string().as_bytes(), &serde_json::to_vec_pretty(&b).expect("text"));
        prop_assert_eq!(found.is_empty(), a == b);
        let back = bodies(&rules(&[], &[]), b.to_string().as_bytes(), a.to_string().as_bytes());
        prop_assert_eq!(found.len(), back.len());
    }

    #[test]
    fn order_is_left_out_where_it_says_nothing(list in prop::collection::vec(any_json(), 0..8), turn in 0usize..8) {
        let mut turned = list.clone();
        if !list.is_empty() {
            turned.rotate_left(turn % list.len());
        }
        let text = |list: &[Value]| json!({"l": list}).to_string();
        prop_assert_eq!(values(&rules(&[], &["/l"]), &text(&list), &text(&turned)), []);
    }

    #[test]
    fn no_bytes_are_too_strange(a in prop::collection::vec(any::<u8>(), 0..60), b in prop::collection::vec(any::<u8>(), 0..60)) {
        let found = bodies(&rules(&["/*"], &["/*"]), &a, &b);
        prop_assert!(a != b || found.is_empty());
    }
}
