//! Absence queries to members whose operating systems never answer, as in a partition, must not pile up.

use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sableloom_capacity_share::{Share, Timing};
use sableloom_exchange::Clock;
use sableloom_fleet::{FleetObserver, MemberSettings, RunOptions, RunningMember};
use sableloom_membership::{ListedMember, MemberList, Timing as MembershipTiming};
use tokio::task::LocalSet;
use tokio::time::sleep;

/// The number of other members. It exceeds the limit of waiting queries, and the members are queried faster than
/// queries time out.
const SILENT_MEMBERS: usize = 200;
/// The test fails after this time, which is far longer than it takes to reach the limit.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

struct IgnoringObserver;

impl FleetObserver for IgnoringObserver {
    fn share_changed(&self, _: Share) {}
    fn log(&self, _: &str) {}
}

fn bind_loopback() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0").expect("binding a loopback port")
}

fn options(address: SocketAddr, list: Arc<MemberList>) -> RunOptions {
    RunOptions {
        settings: MemberSettings {
            fleet_name: "fleet".to_string(),
            own_name: "own".to_string(),
            membership_timing: MembershipTiming::default(),
            share_timing: Timing::default(),
        },
        address,
        operator_address: None,
        list,
        process_incarnation: 1,
        seed: 1,
        clock: Clock::new(),
        observer: Rc::new(IgnoringObserver),
    }
}

#[test]
fn absence_queries_beyond_the_bound_are_dropped() {
    // These sockets hold the addresses of the members and never answer.
    let silent_sockets: Vec<UdpSocket> = (0..SILENT_MEMBERS).map(|_| bind_loopback()).collect();
    let others = silent_sockets.iter().enumerate().map(|(number, socket)| ListedMember {
        name: format!("silent-{number}"),
        address: socket.local_addr().expect("an address"),
    });
    let list = MemberList::new(others);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let address = bind_loopback().local_addr().expect("an address");
        let running = RunningMember::start(options(address, list)).await.expect("an address");
        let started = Instant::now();
        while running.traffic().absence_queries_dropped == 0 {
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "no absence query was dropped: {:?}",
                running.traffic()
            );
            sleep(Duration::from_millis(20)).await;
        }
    });
}
