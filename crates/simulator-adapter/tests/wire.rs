//! The adapter as a process on its wire.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use serde_json::{Value, json};

fn drill(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sableloom-sim"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may end at the first bad line, before it has read the rest.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

fn batch(n: u64, ts: f64, msgs: Value) -> String {
    format!("{}\n", json!({"Ts": ts, "batch": n, "msgs": msgs}))
}

/// The replies to two batches, ten milliseconds apart.
fn session(first: Value, second: Value) -> Vec<Value> {
    let output = drill(&format!("{}{}", batch(1, 1000.0, first), batch(2, 1010.0, second)));
    assert!(output.status.success());
    replies(&output)
}

fn init(who: u64) -> Value {
    json!({"Init": {"Who": who, "Entropy": 5, "Facts": {
        "Balancers": 2, "Zone": 0, "Tick": 1.0, "RegistryMode": "automatic", "Novelty": [1],
        "Services": [{"Aim": 100.0, "Deadline": 300.0, "Effect": "fragile"}],
        "PolicyLimits": {"MaxAttempts": 3},
        "Safety": {"Cold": 5000.0, "ColdFrom": 0.2, "FallMultiple": 3.0, "TipAfter": 1000.0},
    }}})
}

fn list(who: u64) -> Value {
    json!({"Membership": {"Who": who, "Kind": "restored", "Generation": 1, "Lines": [
        {"Upstream": "10.0.0.1:80", "Az": 0, "Type": 0, "Pack": 0, "Status": "live",
         "CapacityHint": 1}]}})
}

fn order(who: u64, job: &str, deadline: f64) -> Value {
    json!({"Order": {"Who": who, "Job": job, "TierClass": 0, "DropDead": deadline}})
}

fn replies(output: &Output) -> Vec<Value> {
    let text = String::from_utf8(output.stdout.clone()).expect("UTF-8");
    text.lines().map(|l| serde_json::from_str(l).expect("JSON")).collect()
}

fn relays(reply: &Value) -> Vec<&Value> {
    reply["cmds"].as_array().expect("cmds").iter().filter_map(|c| c.get("Relay")).collect()
}

#[test]
fn a_request_is_relayed_and_its_instance_named() {
    let replies = session(
        json!([init(3), list(3), init(4), list(4)]),
        json!([order(3, "rq_a", 1200.0), order(4, "rq_b", 1200.0)]),
    );
    assert_eq!(replies[1]["batch"], 2);
    let sent = relays(&replies[1]);
    assert_eq!(sent.len(), 2);
    assert_eq!((&sent[0]["Who"], &sent[0]["Job"]), (&json!(3), &json!("rq_a")));
    assert_eq!(sent[1]["Upstream"], "10.0.0.1:80");
}

#[test]
fn a_killed_instance_starts_with_nothing() {
    let replies = session(
        json!([init(3), list(3), order(3, "rq_a", 1200.0)]),
        json!([
            {"Down": {"Who": 3}}, init(3), order(3, "rq_b", 1200.0),
            {"Result": {"Who": 3, "Job": "rq_a", "Go": 0, "Upstream": "10.0.0.1:80", "Rc": 200,
                        "Latency": 9.0, "Last": true}},
            {"Left": {"Who": 3, "Job": "rq_none"}}, {"TimeoutFired": {"Who": 9, "Token": 1}}]),
    );
    assert_eq!(relays(&replies[0]).len(), 1);
    assert!(relays(&replies[1]).is_empty(), "it knows no upstream yet");
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed() {
    let replies = session(
        json!([init(0), list(0), order(0, "rq_a", 1200.0)]),
        json!([{"Result": {"Who": 0, "Job": "rq_a", "Go": 0,
            "Upstream": "10.0.0.1:80", "Rc": 598, "Latency": 9.0}}]),
    );
    assert!(replies[1]["cmds"].as_array().unwrap().iter().any(|c| c.get("FinishError").is_some()));
}

fn complaint(line: &str) -> String {
    let output = drill(&format!("{}{line}\n", batch(7, 1.0, json!([]))));
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).expect("UTF-8");
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(!text.contains("panicked"), "{text}");
    text
}

#[test]
fn malformed_input_is_named_in_one_line() {
    let text =
        complaint(r#"{"Ts":2,"batch":8,"msgs":[{"Order":{"Who":1,"Job":"a","TierClass":0}}]}"#);
    assert!(text.contains("batch 8") && text.contains("DropDead"), "{text}");
    let text = complaint(r#"{"Ts":2,"batch":8,"msgs":[{"Order":{"Who":"x"}}]}"#);
    assert!(text.contains("batch 8") && text.contains("Who"), "{text}");
    let text = complaint(r#"{"Ts":2,"batch":8,"msgs":[{"Surprise":{"Who":1}}]}"#);
    assert!(text.contains("batch 8") && text.contains("Surprise"), "{text}");
    let text = complaint(r#"{"Ts":2,"batch":"#);
    assert!(text.contains("the batch after 7"), "{text}");
    let mut bad = init(1);
    bad["Init"]["Facts"]["Services"] = json!([]);
    let text = complaint(batch(8, 2.0, json!([bad])).trim());
    assert!(text.contains("batch 8") && text.contains("Facts"), "{text}");
}
