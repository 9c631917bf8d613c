//! A discovery agent that knows one list and never another.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::serve::{Answer, serve};

/// The longest that a watch waits.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// Starts an agent that names these servers, in one zone.
pub fn agent(servers: Vec<(String, SocketAddr)>) -> io::Result<SocketAddr> {
    let entry = |(name, at): &(String, SocketAddr)| {
        json!({"id": name, "host_port": at.to_string(), "locality": "a", "flavor": "node",
               "cell": 0, "phase": "SERVING", "size": 1.0, "up_since_ms": 0})
    };
    let members: Vec<Value> = servers.iter().map(entry).collect();
    serve(move || {
        let whole = json!({"revision": 1, "complete": true, "members": members}).to_string();
        move |request| answer(whole.clone(), request)
    })
}

async fn answer(whole: String, request: Request<Incoming>) -> Answer {
    if request.uri().path() != "/discovery/hosts" {
        let mut answer = Response::new(Full::default());
        *answer.status_mut() = StatusCode::NOT_FOUND;
        return answer;
    }
    let query = request.uri().query().unwrap_or_default();
    let number = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(n, _)| *n == name).and_then(|(_, value)| value.parse::<u64>().ok())
    };
    if number("after") != Some(1) {
        return Response::new(Full::from(whole));
    }
    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
    sleep(wait.min(WAIT_MAX)).await;
    let nothing = json!({"revision": 1, "complete": false, "members": []});
    Response::new(Full::from(nothing.to_string()))
}
