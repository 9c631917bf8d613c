//! A service that moves from one balancer to another while requests are under way.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use sableloom_testkit::control::{
    Control, remove, request, served_by, server, service, site, status,
};
use sableloom_testkit::{Balancer, LONG, Peer, Site, eventually, named, ok};

/// A server that holds each request until it is let go.
struct Held {
    peer: Peer,
    /// The ids of requests that came.
    came: Receiver<String>,
    /// Lets one request go.
    release: Sender<()>,
}

impl Held {
    fn start() -> Self {
        let (entered, came) = channel();
        let (release, released) = channel::<()>();
        let (entered, released) = (Mutex::new(entered), Mutex::new(released));
        let peer = Peer::start(move |_, mut conn| {
            while let Some(message) = conn.message() {
                entered.lock().expect("unpoisoned").send(message.id().to_string()).expect("a test");
                released.lock().expect("unpoisoned").recv().expect("a test");
                conn.write(ok("slow"));
            }
        });
        Self { peer, came, release }
    }
}

#[test]
fn a_service_moves_between_balancers_while_requests_are_open() {
    let Held { peer: slow, came, release } = Held::start();
    let other = named("other");
    let points = service("points", "h") + &server("points", "other", &other, "");
    let partners = service("partners", "p") + &server("partners", "slow", &slow, "");
    let control = Control::start(&[points, partners]);
    let at = control.address;
    let from = Site::new(&site(at, "from", &["points", "partners"], ""));
    let to = Site::new(&site(at, "to", &["points"], ""));
    let (first, second) = (Balancer::serving(&from), Balancer::serving(&to));
    let mut held = first.client();
    held.write(request("held", "p"));
    assert_eq!(came.recv().expect("a request"), "held");
    // The second serves it before the first ends to.
    to.replace("site.toml", &site(at, "to", &["points", "partners"], ""));
    second.hang_up();
    second.says(&["in force: partners 2: pool started"]);
    from.replace("site.toml", &site(at, "from", &["points"], ""));
    first.hang_up();
    first.says(&["SIGHUP; configuration 2"]);
    assert_eq!(served_by(&first, "points", "h"), "other");
    // What is under way at the first ends as it began; new requests find no route there.
    assert_eq!(first.ask(request("late", "p")).status(), 404);
    // A drain that is told meanwhile is kept by the second, which is the one that is told.
    control.publish(3, &server("partners", "slow", &slow, "state = \"draining\""));
    second.says(&["in force: partners 3"]);
    let refused = second.ask(request("drained", "p")).status();
    assert_eq!(refused, 503);
    release.send(()).expect("the server");
    let answer = held.message().expect("an answer");
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"slow"[..]));
    first.says(&["pool partners: ended"]);
    assert!(came.try_recv().is_err(), "a drained server got a request");
    assert_eq!(status(&first)["subscribed"]["pools"], 1);
}

#[test]
fn requests_queued_in_a_replaced_pool_go_to_no_removed_server() {
    const REQUESTS: usize = 40;
    let Held { peer: slow, came, release } = Held::start();
    let other = named("other");
    let control = Control::start(&[service("points", "h") + &server("points", "slow", &slow, "")]);
    let folder = Site::new(&site(control.address, "one", &["points"], ""));
    let balancer = Balancer::serving(&folder);
    let (told, answers) = channel();
    for number in 0..REQUESTS {
        let (mut client, told) = (balancer.client(), told.clone());
        client.write(request(&number.to_string(), "h"));
        thread::spawn(move || told.send(client.message().expect("an answer")));
    }
    while status(&balancer)["open"] != REQUESTS {}
    // Another exchange takes the place of the one that they wait in; then their server leaves.
    let pool = "[[pool]]\nservice = \"points\"\nmax_open = 99\n[pool.cold]\ntime_ms = 0\n";
    control.publish(2, pool);
    balancer.says(&["in force: points 2: pool started"]);
    control.publish(3, &(remove("points", "slow") + &server("points", "other", &other, "")));
    balancer.says(&["in force: points 3"]);
    // What was sent before has come in; each has a connection of its own, as none is answered yet.
    let mut sent = 0;
    eventually("what was sent has come", || {
        sent += came.try_iter().count();
        sent == connections_to(slow.address)
    });
    assert!(sent > 0 && sent < REQUESTS, "{sent} of {REQUESTS} were sent");
    // Its lanes are free now. Those that wait are served by the other, or refused in time.
    (0..sent).for_each(|_| release.send(()).expect("the server"));
    let mut slow_answers = 0;
    for _ in 0..REQUESTS {
        let answer = answers.recv_timeout(LONG).expect("an answer");
        slow_answers += usize::from(answer.body == b"slow");
        let fits = [&b"slow"[..], b"other"].contains(&&answer.body[..]) || answer.status() == 503;
        assert!(fits, "{answer:?}");
    }
    assert_eq!((slow_answers, came.try_iter().count()), (sent, 0), "more came after it had left");
}

/// Connections that are open to a loopback port, as the system has them.
fn connections_to(address: SocketAddr) -> usize {
    let port = format!(":{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's connections");
    let is_open = |line: &&str| {
        let mut fields = line.split_whitespace().skip(2);
        let to = fields.next().is_some_and(|to| to.ends_with(&port));
        to && fields.next() == Some("01")
    };
    table.lines().filter(is_open).count()
}
