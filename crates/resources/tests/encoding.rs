//! The bytes of a pool's body and of a route's: stored and sent ones stay readable whatever a field is called.

use sableloom_distribution::ResourceKind;
use sableloom_resources::{Body, RouteRule};
use sableloom_routes::{HeaderCondition, HostPattern, PathPattern};
use sableloom_site_config::PoolSettings;
use sableloom_toml_diagnostics::read;

/// All settings of a pool, none of them at its default.
const POOL: &str = r#"
protocol = "http/1.1"
t_qos_ms = 120
connect_timeout_ms = 251
keepalive_ms = 16000
max_open = 1001
max_attempts = 5
retry_after_ms = 1100
drain_ms = 2100
reports = { how = "probes", names = ["queue", "util"] }
cold = { from = 0.3, time_ms = 31000, multiple = 2.5, window_ms = 1600 }
"#;

const POOL_BYTES: &str = "0100010000000000005e400000000000606f40000000000040cf40e90705000000000030914001020571756575\
    65047574696c333333333333d33f000000000046de400000000000000440000000000000994001000000000068\
    a040";
const ROUTE_BYTES: &str = "01ac02020009612e6578616d706c650109622e6578616d706c650300022f6501032f702f02022e730203474554\
    04504f53540205782d616e790008782d74656e616e740104676f6c64010762616c616e6365019a03";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn a_pool_body_is_these_bytes() {
    let settings = read("pool.toml", POOL.as_bytes(), |table| Some(PoolSettings::read(table)));
    let body = Body::Pool(settings.expect("good settings"));
    let bytes = body.encode();
    assert_eq!(hex(&bytes), POOL_BYTES);
    assert_eq!(Body::decode(ResourceKind::Pool, &bytes), Ok(body));
}

#[test]
fn a_route_body_is_these_bytes() {
    let body = Body::Route(RouteRule {
        rank: 300,
        hosts: vec![
            HostPattern::Exact("a.example".into()),
            HostPattern::Subdomains("b.example".into()),
        ],
        paths: vec![
            PathPattern::Exact("/e".into()),
            PathPattern::Prefix("/p/".into()),
            PathPattern::Suffix(".s".into()),
        ],
        methods: vec!["GET".into(), "POST".into()],
        headers: vec![
            HeaderCondition { name: "x-any".into(), value: None },
            HeaderCondition { name: "x-tenant".into(), value: Some("gold".into()) },
        ],
        classes: vec!["balance".into()],
        refusal_status: Some(410),
    });
    let bytes = body.encode();
    assert_eq!(hex(&bytes), ROUTE_BYTES);
    assert_eq!(Body::decode(ResourceKind::Route, &bytes), Ok(body));
}
