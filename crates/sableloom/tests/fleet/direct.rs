//! Two or three balancers that know each other, with their files and datagrams in the test's own hands: lists
//! that change and differ, addresses that are taken or move, foreign datagrams, and the operator's view.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};

use sableloom_membership::{Body, MAX_PAGE_BYTES, Message, encode, key_of};
use sableloom_testkit::{Balancer, Peer, Site, eventually, named, ok, program, read, servers};

/// A UDP port of a loopback address that nobody else uses, so that it stays free once the socket is closed.
fn free() -> SocketAddr {
    own_socket().local_addr().expect("an address")
}

/// A socket on a loopback address that nobody else uses. A test that needs the socket itself keeps it: a port that is
/// closed and bound again may be in use for a moment, as a process that another test starts holds a copy of the socket
/// from its fork to its exec.
fn own_socket() -> UdpSocket {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    // 127.32.0.0/11; the harness's are in 127.64.0.0/10.
    let number = std::process::id().wrapping_mul(64) + COUNT.fetch_add(1, Ordering::SeqCst) % 64;
    let ip = Ipv4Addr::from(0x7f20_0000 + (number % 0x1f_ffff) + 1);
    UdpSocket::bind((ip, 0)).expect("a free port")
}

const CLASS: &str = "[[listener]]\naddress = \"127.0.0.1:0\"\n[[class]]\nname = \"read\"\n\
                     aim_ms = 5000\ndeadline_ms = 20000\neffect = \"safe\"\nmethods = [\"GET\"]\n\
                     [[pool]]\nname = \"points\"\nfiles = [\"points.toml\"]\n[pool.cold]\ntime_ms = 0\n\
                     [otherwise]\npool = \"points\"\n";

fn listed(table: &str, members: &[(&str, SocketAddr)]) -> String {
    let one = |(name, at): &(&str, SocketAddr)| {
        format!("[[{table}]]\nname = \"{name}\"\naddress = \"{at}\"\n")
    };
    members.iter().map(one).collect()
}

/// A site of this member, with its list in a file of its own.
fn site(own: &str, operator: SocketAddr, members: &[(&str, SocketAddr)], peer: &Peer) -> Site {
    let fleet = format!(
        "[fleet]\nname = \"points\"\nown = \"{own}\"\noperator = \"{operator}\"\n\
         members_file = \"members.toml\"\n"
    );
    let site = Site::new(&format!("{fleet}{CLASS}"));
    site.write("points.toml", &servers("", [("s", peer.address, "")]));
    site.write("members.toml", &listed("member", members));
    site
}

fn fleet(arguments: &[&str]) -> Output {
    let mut command = Command::new(program());
    command.arg("fleet").args(arguments).env_remove("ROUTER_CONFIG");
    command.output().expect("it runs")
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

fn path(site: &Site) -> String {
    site.path("site.toml").display().to_string()
}

fn shown(site: &Site) -> String {
    text(&fleet(&["members", "--config", &path(site)]))
}

#[test]
fn a_member_is_added_and_removed_by_the_lists() {
    let peer = named("s");
    let (a, b, c, operator) = (free(), free(), free(), free());
    let two = [("a", a), ("b", b)];
    let three = [("a", a), ("b", b), ("c", c)];
    let sites = [site("a", operator, &two, &peer), site("b", operator, &two, &peer)];
    let running = [Balancer::serving(&sites[0]), Balancer::serving(&sites[1])];
    running.iter().for_each(|balancer| drop(balancer.says(&["part: 1 of 2"])));
    // On all lists first; then it starts.
    for (site, balancer) in sites.iter().zip(&running) {
        site.replace("members.toml", &listed("member", &three));
        balancer.hang_up();
    }
    let third = site("c", operator, &three, &peer);
    let c_runs = Balancer::serving(&third);
    running.iter().for_each(|balancer| drop(balancer.says(&["part: 1 of 3"])));
    c_runs.says(&["part: 1 of 3"]);
    // One answer has to say both: a second one may be of a moment in which a member was late.
    eventually("all agree, and their parts are one", || {
        let compared = fleet(&["compare", "--config", &path(&third)]);
        let whole = text(&compared).contains("they agree; their parts add up to 1.000");
        compared.status.success() && whole
    });
    // One has other servers: that is shown, and nothing follows.
    sites[0].replace("points.toml", &servers("", [("t", peer.address, "")]));
    eventually("it is shown", || {
        let all = text(&fleet(&["compare", "--config", &path(&third)]));
        all.contains("at b c") && all.contains("they do not agree; their parts add up to 1.000")
    });
    sites[0].replace("points.toml", &servers("", [("s", peer.address, "")]));
    eventually("all agree", || fleet(&["compare", "--config", &path(&third)]).status.success());
    // It is stopped, and taken off the lists.
    drop(c_runs);
    for (site, balancer) in sites.iter().zip(&running) {
        site.replace("members.toml", &listed("member", &two));
        balancer.hang_up();
    }
    eventually("two share", || {
        sites.iter().all(|site| shown(site).contains("part 1 of 2 (shares; 2 listed"))
    });
    assert!(sites.iter().all(|site| !shown(site).contains("\n c ")));
}

/// A digest that is not stated yet would be taken for an endpoint list that differs, or agrees.
#[test]
fn a_balancer_states_its_endpoints_digest_from_its_start() {
    let peer = named("s");
    let (a, operator) = (free(), free());
    let own = site("a", operator, &[("a", a)], &peer);
    let _balancer = Balancer::serving(&own);
    let first = shown(&own);
    assert!(first.starts_with("a of fleet points"), "{first}");
    assert!(!first.contains("servers 00000000"), "{first}");
}

#[test]
fn the_longest_list_counts_and_compare_shows_the_difference() {
    let peer = named("s");
    let (a, b, operator) = (free(), free(), free());
    // A socket holds the third's address and never answers: the member may be partitioned.
    let silent = own_socket();
    let gone = silent.local_addr().expect("an address");
    let short = site("a", operator, &[("a", a), ("b", b)], &peer);
    let long = site("b", operator, &[("a", a), ("b", b), ("x", gone)], &peer);
    let running = [Balancer::serving(&short), Balancer::serving(&long)];
    running.iter().for_each(|balancer| drop(balancer.says(&["part: 1 of 3"])));
    let compared =
        fleet(&["compare", "--from", &operator.to_string(), &a.to_string(), &b.to_string()]);
    let said = text(&compared);
    assert_eq!(compared.status.code(), Some(1), "{said}");
    assert!(said.contains("2 listed by a") && said.contains("3 listed by b"), "{said}");
    assert!(said.contains("they do not agree; their parts add up to 0.667"), "{said}");
}

#[test]
fn an_address_can_t_be_taken_twice_and_a_moved_member_is_known_again() {
    let peer = named("s");
    let (a, b, moved, operator) = (free(), free(), free(), free());
    let members = [("a", a), ("b", b)];
    let sites = [site("a", operator, &members, &peer), site("b", operator, &members, &peer)];
    let first = Balancer::serving(&sites[0]);
    let second = Balancer::serving(&sites[1]);
    first.says(&["part: 1 of 2"]);
    second.says(&["part: 1 of 2"]);
    let twin = Command::new(program())
        .args(["serve", "--config", &path(&sites[1])])
        .env_remove("ROUTER_CONFIG")
        .output()
        .expect("it ends");
    let said = text(&twin);
    assert!(!twin.status.success(), "{said}");
    assert!(said.contains(&format!("\"b\" at {b}")) && said.contains("another process"), "{said}");
    assert!(said.contains("site.toml:1: field `fleet`"), "{said}");
    // Its own address can't change while it runs.
    let elsewhere = [("a", a), ("b", moved)];
    sites[1].replace("members.toml", &listed("member", &elsewhere));
    second.hang_up();
    second.says(&["nothing is changed", "field `fleet`", "without a restart"]);
    drop(second);
    first.says(&["part: 1 of 1"]);
    sites[0].replace("members.toml", &listed("member", &elsewhere));
    first.hang_up();
    let second = Balancer::serving(&sites[1]);
    // Its share shrinks at the first datagram, before any view changes.
    first.says(&["part: 1 of 2"]);
    first.says(&["b is there"]);
    second.says(&["part: 1 of 2"]);
}

/// Datagrams of no member have no effect, and the balancer goes on.
#[test]
fn foreign_datagrams_are_dropped_and_counted() {
    let (peer, _) = Peer::upstream(|_, _, conn| {
        conn.write(ok("x"));
        true
    });
    let (a, operator) = (free(), free());
    // The test is member b, and a foreign sender as well.
    let (member, stranger) = (own_socket(), own_socket());
    let b = member.local_addr().expect("an address");
    let own = site("a", operator, &[("a", a), ("b", b)], &peer);
    let balancer = Balancer::serving(&own);
    balancer.says(&["part: 1 of 2"]);
    let message = |fleet: &str, from: &str, echo: u32| Message {
        fleet: key_of(fleet),
        sender: key_of(from),
        process_incarnation: 7,
        incarnation: 0,
        nonce: 5,
        receiver_nonce: echo,
        view_digest: 0,
        list_length: 60_000,
        endpoints_digest: 0,
        body: Body::Leave,
        updates: Vec::new(),
    };
    let bytes = |message: Message| encode(&message).0;
    let other_version = [&[1][..], &[0; 40]].concat();
    let sent: [(&UdpSocket, Vec<u8>); 7] = [
        (&stranger, bytes(message("points", "b", 1))),
        (&member, bytes(message("others", "b", 1))),
        (&member, bytes(message("points", "c", 1))),
        // Without the nonce of this process it may be a replay to the last one.
        (&member, bytes(message("points", "b", 12_345))),
        (&member, bytes(message("points", "b", 1))[..9].to_vec()),
        (&member, other_version),
        (&member, vec![1; MAX_PAGE_BYTES + 1]),
    ];
    for (from, bytes) in &sent {
        from.send_to(bytes, a).expect("sent");
    }
    let reasons = [
        "1 too long",
        "1 another version",
        "1 malformed",
        "1 another fleet",
        "1 no member's address",
        "1 another's name",
        "1 an earlier process's",
    ];
    eventually("all seven are counted", || {
        let now = shown(&own);
        reasons.iter().all(|reason| now.contains(reason))
    });
    let now = shown(&own);
    assert!(now.contains("part 1 of 2 (shares; 2 listed") && now.contains("unknown"), "{now}");
    assert_eq!(balancer.ask(read("1", "")).status(), 200);
}

/// The commands' own errors are one line.
#[test]
fn an_unanswered_query_is_an_error() {
    let peer = named("s");
    let (a, nobody, operator) = (free(), free(), free());
    let own = site("a", operator, &[("a", a)], &peer);
    let balancer = Balancer::serving(&own);
    let asked = fleet(&["members", &nobody.to_string(), "--from", &operator.to_string()]);
    assert!(!asked.status.success() && text(&asked).contains("no balancer of a fleet is there"));
    // From another address than the operator's it is a foreign datagram.
    let from = free().to_string();
    let asked = fleet(&["members", &a.to_string(), "--from", &from]);
    assert!(
        !asked.status.success() && text(&asked).contains("`fleet.operator`"),
        "{}",
        text(&asked)
    );
    assert!(shown(&own).contains("another version"), "{}", shown(&own));
    assert!(shown(&own).starts_with("a of fleet points"), "{}", shown(&own));
    let without = Site::new(CLASS);
    without.write("points.toml", &servers("", [("s", peer.address, "")]));
    let asked = fleet(&["members", "--config", &path(&without)]);
    assert!(!asked.status.success() && text(&asked).contains("it has no [fleet]"));
    drop(balancer);
}
