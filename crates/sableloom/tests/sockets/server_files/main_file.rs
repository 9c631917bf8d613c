//! The main file: routes to pools, its changes by SIGHUP, and what is wrong with it at the start.

use sableloom_testkit::{Balancer, LONG, Site, named, program, read};

use super::{classes, list, one_pool, pool, waiting};

fn two_pools(routes: &str) -> String {
    let classes = classes();
    format!(
        "{classes}\n{}{}{routes}\n",
        pool("points", "out_at_most = 1.0"),
        pool("shop", "out_at_most = 1.0")
    )
}

const SHOP: &str = "[[route]]\nname = \"shop\"\nhost = \"*.shop.example\"\npool = \"shop\"\n";

const POINTS: &str = "[[route]]\nname = \"points\"\npath.prefix = \"/read/\"\npool = \"points\"\n";

#[test]
fn routes_lead_to_pools_and_what_none_takes_is_refused_as_stated() {
    let (a, b) = (named("points"), named("shop"));
    let tail = "[[route]]\nname = \"old\"\npath.exact = \"/old\"\nrefuse = \"gone\"\n\
                [[route]]\nname = \"beta\"\nclass = \"pay\"\nheader = { x-beta = true, X-Tenant = \"gold\" }\npool = \"shop\"\n";
    let site = Site::new(&two_pools(&format!("{SHOP}{POINTS}{tail}")));
    site.write("points.toml", &list(&[("a", &a)]));
    site.write("shop.toml", &list(&[("b", &b)]));
    let balancer = Balancer::serving(&site);
    let ask = |line: &str, headers: &str| {
        let answer = balancer.ask(format!("{line} HTTP/1.1\r\n{headers}\r\n"));
        (answer.status(), String::from_utf8(answer.body).expect("text"))
    };
    let served = |name: &str| (200, name.to_string());
    let refused = |status: u16| (status, String::new());
    // Nothing but a host is needed: class, id and time are made up here.
    assert_eq!(ask("GET /read/x", "Host: h\r\n"), served("points"));
    assert_eq!(ask("GET /read/x", "Host: Till.SHOP.example:80\r\n"), served("shop"));
    assert_eq!(ask("GET http://a.shop.example/read/x", "Host: h\r\n"), served("shop"));
    assert_eq!(ask("GET /elsewhere", "Host: h\r\n"), refused(404));
    assert_eq!(ask("GET /old?x=1", "Host: h\r\n"), refused(410));
    let beta = "Host: h\r\nX-Beta: 1\r\nX-Tenant: gold\r\nContent-Length: 0\r\n";
    assert_eq!(ask("POST /x", beta), served("shop"));
    assert_eq!(ask("POST /x", &beta.replace("gold", "tin")), refused(404));
    assert_eq!(ask("DELETE /read/x", "Host: h\r\n"), refused(405));
    assert_eq!(ask("GET /read/x", "Host: h\r\nX-Qos: none\r\n"), refused(400));
}

#[test]
fn a_route_may_go_while_its_requests_wait() {
    let (slow, came, go) = waiting();
    let quick = named("quick");
    let site = Site::new(&two_pools(&format!("{SHOP}{POINTS}")));
    site.write("points.toml", &list(&[("slow", &slow)]));
    site.write("shop.toml", &list(&[("quick", &quick)]));
    let balancer = Balancer::serving(&site);
    // More than may be out at one server: the rest is held.
    let mut clients: Vec<_> = (0..12).map(|_| balancer.client()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.write(read(&format!("held-{i}"), ""));
    }
    came.recv_timeout(LONG).expect("a request");
    // The route goes, and its pool too.
    let text = format!("{}\n{}{SHOP}", classes(), pool("shop", ""));
    site.replace("site.toml", &text);
    balancer.hang_up();
    balancer.says(&["SIGHUP", "in force", "1 routes", "without points"]);
    assert_eq!(balancer.ask(read("late", "")).status(), 404);
    assert_eq!(
        balancer.ask(read("shop", "").replace("Host: h", "Host: a.shop.example")).status(),
        200
    );
    drop(go);
    for client in &mut clients {
        let answer = client.message().expect("an answer");
        assert!(answer.body == b"waited" || answer.status() == 503, "{}", answer.line);
    }
    balancer.says(&["pool points: ended"]);
    // And comes back, with the same servers.
    site.replace("site.toml", &two_pools(&format!("{SHOP}{POINTS}")));
    balancer.hang_up();
    balancer.says(&["SIGHUP", "in force", "2 routes"]);
    assert_eq!(balancer.ask(read("again", "")).body, b"waited");
}

#[test]
fn a_main_file_is_taken_over_whole_or_not_at_all() {
    let (a, b) = (named("points"), named("shop"));
    let good = two_pools(POINTS);
    let site = Site::new(&good);
    site.write("points.toml", &list(&[("a", &a)]));
    site.write("shop.toml", &list(&[("b", &b)]));
    let balancer = Balancer::serving(&site);
    let refused = |text: &str, says: &[&str]| {
        site.replace("site.toml", text);
        balancer.hang_up();
        let mut parts = vec!["nothing is changed"];
        parts.extend(says);
        balancer.says(&parts);
        assert_eq!(balancer.ask(read("still", "")).body, b"points");
    };
    let to_shop = good.replace("pool = \"points\"\n", "pool = \"shop\"\n");
    refused(
        &to_shop.replace("pool = \"shop\"\n", "pool = \"shpo\"\n"),
        &["site.toml:", "route[0].pool", "did you mean `shop`?"],
    );
    refused(&good[..good.len() / 2], &["site.toml:"]);
    // What needs a restart is named, and all else waits for it.
    let listener = to_shop.replace("127.0.0.1:0", "127.0.0.2:0");
    refused(&listener, &["listener[0]", "without a restart"]);
    refused(
        &to_shop.replacen("aim_ms = 5000", "aim_ms = 400", 1),
        &["class[0]", "without a restart"],
    );
    refused(
        &to_shop.replacen("reread_ms", "t_qos_ms = 9\nreread_ms", 1),
        &["pool[0].t_qos_ms", "without a restart"],
    );
    refused(&format!("[limits]\nsockets = 128\n{to_shop}"), &["limits", "without a restart"]);
    // One of two pools has a bad file of servers: neither changes.
    let other = to_shop.replace("shop.toml", "none.toml");
    refused(&other, &["none.toml", "can't be read"]);
    site.replace("site.toml", &to_shop);
    balancer.hang_up();
    balancer.says(&["SIGHUP", "in force"]);
    assert_eq!(balancer.ask(read("now", "")).body, b"shop");
}

#[test]
fn what_is_wrong_at_the_start_ends_the_program_and_is_named() {
    let peer = named("a");
    let run = |site: &Site| {
        let output = std::process::Command::new(program())
            .args(["serve", "--config"])
            .arg(site.path("site.toml"))
            .env_remove("ROUTER_CONFIG")
            .output()
            .expect("it runs");
        assert_eq!(output.status.code(), Some(1));
        String::from_utf8(output.stderr).expect("text")
    };
    let site = Site::new(&one_pool(""));
    let said = run(&site);
    assert!(said.contains("points.toml:1:1: it can't be read"), "{said}");
    site.write("points.toml", "[[server]]\nid = \"a\"\n");
    let said = run(&site);
    assert!(said.contains("points.toml:1:1: field `server[0].address`: missing"), "{said}");
    assert!(said.contains("field `end`: missing"), "{said}");
    site.write("points.toml", &list(&[("a", &peer)]));
    let text = one_pool("").replace("127.0.0.1:0", &peer.address.to_string());
    site.write("site.toml", &text);
    let said = run(&site);
    assert!(said.contains("field `listener[0].address`") && said.contains("in use"), "{said}");
    site.write(
        "site.toml",
        &format!("[limits]\nsockets = 64\n{}", {
            let pools: String = (0..12).map(|i| pool(&format!("p{i}"), "")).collect();
            format!("{}\n{pools}", classes())
        }),
    );
    let said = run(&site);
    assert!(said.contains("field `limits.sockets`: 64 is under"), "{said}");
}
