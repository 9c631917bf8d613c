//! A bad client sends a request with a length and a transfer coding, and its head in two parts, the first of which comes
//! with the request before.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::client::{Client, free_port, request, wait_until_up};
use crate::process::Process;
use crate::server::Server;
use crate::{Case, CaseResult, Verdict, discovery};

const WORK: Duration = Duration::from_millis(30);

pub fn run(case: &Case) -> CaseResult {
    let record = &case.record;
    let servers = [Server::start("s-1", WORK, record)?, Server::start("s-2", WORK, record)?];
    let discovery = discovery::start(&servers)?;
    let listen = SocketAddr::from(([127, 0, 0, 1], free_port()?));
    let config = discovery::write_config(&case.folder, listen, discovery)?;
    let log = case.folder.join("balancer.log");
    let mut balancer =
        Process::start(&log, &[], &[("ROUTER_CONFIG", &config.display().to_string())])?;
    wait_until_up(listen, Duration::from_secs(10))?;
    thread::sleep(Duration::from_millis(500));
    // Usual clients are served.
    let mut usual = Client::connect(listen).map_err(|error| error.to_string())?;
    for (class, method, id, body) in
        [("balance", "GET", "usual-1", &b""[..]), ("redeem", "POST", "usual-2", b"card")]
    {
        let sent = usual.send(&request(class, method, id, 600, body));
        let answer =
            sent.and_then(|()| usual.answer()).map_err(|error| format!("{id}: {error}"))?;
        record.line(&format!("{id} answered {}", answer.status));
        if answer.status != 200 {
            return Err(format!("{id} was answered {}", answer.status));
        }
    }
    // By its length the body of the request is all of this, with another request in it; by its transfer coding it is
    // empty.
    let hidden = request("balance", "GET", "hidden", 600, b"");
    let body = [&b"0\r\n\r\n"[..], &hidden].concat();
    let length =
        if case.trouble { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
    let head = format!(
        "POST /redeem HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: both\r\nX-Qos: redeem\r\nX-Expires-In-Ms: 600\r\n\
         {length}"
    );
    let mut bad = Client::connect(listen).map_err(|error| error.to_string())?;
    let first = [&request("balance", "GET", "before", 600, b"")[..], head.as_bytes()].concat();
    let rest = if case.trouble { body } else { b"0\r\n\r\n".to_vec() };
    let second = [&b"Transfer-Encoding: chunked\r\n\r\n"[..], &rest].concat();
    record.line(&format!("bad client sends {:?}", String::from_utf8_lossy(&first)));
    bad.send(&first).map_err(|error| error.to_string())?;
    let answer = bad.answer().map_err(|error| format!("before: {error}"))?;
    record.line(&format!("the request before is answered {}", answer.status));
    thread::sleep(Duration::from_millis(200));
    record.line(&format!("bad client sends {:?}", String::from_utf8_lossy(&second)));
    let answer = bad.send(&second).and_then(|()| bad.answer());
    let status = answer.as_ref().map_or(0, |answer| answer.status);
    record.line(&format!("the request with both is answered {answer:?}"));
    thread::sleep(Duration::from_millis(500));
    let ran = |id: &str| servers.iter().flat_map(Server::runs).filter(|run| run.id == id).count();
    let (both, hidden) = (ran("both"), ran("hidden"));
    record.line(&format!(
        "servers ran the request with both {both} times, the hidden one {hidden} times"
    ));
    if !balancer.runs() {
        return Err(format!("the balancer has ended: {}", balancer.log()));
    }
    if !case.trouble {
        // The same without the length is a request like any other.
        let fine = status == 200 && both == 1;
        return if fine {
            Ok(Verdict::Held)
        } else {
            Err("a sound request was not served".to_string())
        };
    }
    Ok(if status == 200 || both + hidden > 0 { Verdict::Broken } else { Verdict::Held })
}
