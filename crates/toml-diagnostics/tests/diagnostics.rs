//! Everything that is wrong in a file is reported with its line, column and field.

use sableloom_toml_diagnostics::{MAX_PROBLEMS, Problem, Table, closest_name, read, suggestion};

fn problems(text: &str, reading: impl FnOnce(&Table<'_>)) -> Vec<String> {
    let read = read("f.toml", text.as_bytes(), |table| {
        reading(table);
        Some(())
    });
    read.err().unwrap_or_default().iter().map(Problem::to_string).collect()
}

#[test]
fn every_problem_of_a_file_is_reported_with_its_location() {
    let text = "adress = \"127.0.0.1:1\"\nshare = 1.5\nwhole = 2.5\n\
                mode = \"fsat\"\n\n[[pool]]\nname = \"a b\"\nfiles = [\"x\", 7]\n";
    let found = problems(text, |t| {
        t.required_address("address");
        t.number("share", 0.0..=1.0, "");
        t.integer("whole", 1..=9, "");
        t.choice("mode", &[("fast", 1), ("slow", 2)]);
        for pool in t.tables("pool") {
            pool.required_name("name");
            pool.strings("files");
            pool.required_number("aim_ms", 1.0..=9.0, " ms");
            pool.finish();
        }
    });
    let expected = [
        "f.toml:1:1: field `address`: missing; expected an IP address with a port, as \"127.0.0.1:8080\"",
        "f.toml:1:1: field `adress`: unknown field; did you mean `address`?",
        "f.toml:2:9: field `share`: expected 0 to 1, found 1.5",
        "f.toml:3:9: field `whole`: expected a whole number, found 2.5",
        "f.toml:4:8: field `mode`: \"fsat\" is none of the words known here; did you mean `fast`?",
        "f.toml:6:1: field `pool[0].aim_ms`: missing; expected 1 to 9 ms",
        "f.toml:7:8: field `pool[0].name`: expected 1 to 128 visible ASCII characters, found \"a b\"",
        "f.toml:8:15: field `pool[0].files[1]`: expected a text in quotes, found a whole number",
    ];
    assert_eq!(found, expected);
}

#[test]
fn invalid_toml_and_invalid_utf8_are_reported_with_their_location() {
    let found = problems("a = 1\nb = = 2\n[c\n", |_| {});
    assert!(found.len() >= 2, "{found:?}");
    assert!(found[0].starts_with("f.toml:2:"), "{found:?}");
    let found = read("f", b"a = 1\n\"\xff", |_| Some(())).expect_err("no UTF-8");
    assert_eq!(found[0].to_string(), "f:2:2: no UTF-8 text");
}

#[test]
fn an_invalid_address_is_reported_with_the_reason() {
    for (text, says) in [
        ("points-1:80", "names are not looked up"),
        ("127.0.0.1", "no port"),
        ("127.0.0.1:70000", "no port"),
        ("300.0.0.1:80", "is no address"),
        ("", "is no address"),
    ] {
        let found = problems(&format!("at = \"{text}\""), |t| drop(t.required_address("at")));
        assert!(found.len() == 1 && found[0].contains(says), "{text}: {found:?}");
    }
    let found = problems("at = \"[::1]:80\"", |t| drop(t.required_address("at")));
    assert!(found.is_empty(), "{found:?}");
}

#[test]
fn values_that_are_no_finite_number_within_bounds_are_rejected() {
    for text in ["nan", "inf", "-inf", "-1", "99999999999999999999", "1e400", "\"1\"", "true"] {
        let found = problems(&format!("n = {text}"), |t| {
            t.number("n", 0.0..=1000.0, "");
        });
        assert_eq!(found.len(), 1, "{text}: {found:?}");
    }
    let found = problems("n = 0x10\nm = 1_000", |t| {
        assert_eq!(t.number("n", 0.0..=1000.0, "").map(|n| n.value), Some(16.0));
        assert_eq!(t.integer("m", 0..=1000, "").map(|n| n.value), Some(1000));
    });
    assert!(found.is_empty(), "{found:?}");
}

#[test]
fn problems_over_the_maximum_are_counted_and_not_listed() {
    let text: String = (0..500).map(|i| format!("x{i} = {i}\n")).collect();
    let found = problems(&text, |_| {});
    assert_eq!(found.len(), MAX_PROBLEMS + 1);
    assert!(found[MAX_PROBLEMS].contains("450 more"), "{}", found[MAX_PROBLEMS]);
}

#[test]
fn only_a_similar_name_is_suggested() {
    assert_eq!(closest_name("adress", ["address", "zone"]), Some("address"));
    assert_eq!(closest_name("zone", ["address", "weight"]), None);
    assert_eq!(suggestion("x", []), "there is none");
    assert_eq!(suggestion("quite", ["a", "b"]), "known are: a, b");
}
