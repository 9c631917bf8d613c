//! Control machines that send what this balancer must not take: played here frame by frame.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use sableloom_distribution::{
    Base, Change, FrameReader, NackReason, Origin, PROTOCOL_VERSION, Position, PublisherMessage,
    Rejection, Resource, ResourceName, ServiceBase, ServiceName, ServiceVersion, SubscriberMessage,
    encode, resource_digest,
};
use sableloom_resources::{Body, TenantLimit};
use sableloom_site_config::PoolSettings;
use sableloom_testkit::control::site;
use sableloom_testkit::{LONG, Process, Site};

/// A balancer that subscribes to a control machine that this test plays.
fn subscribe() -> (TcpListener, Site, Process) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let folder = Site::new(&site(address, "one", &["points"], ""));
    let path = folder.path("site.toml");
    let process = Process::start(&["serve", "--config", path.to_str().expect("a path")]);
    (listener, folder, process)
}

fn accept(listener: &TcpListener) -> TcpStream {
    let (stream, _) = listener.accept().expect("a connection");
    stream.set_read_timeout(Some(LONG)).expect("a time");
    stream
}

/// Reads messages up to the first that `wanted` makes something of.
fn read_until<T>(
    stream: &mut TcpStream,
    mut wanted: impl FnMut(SubscriberMessage) -> Option<T>,
) -> T {
    let (mut frames, mut buffer) = (FrameReader::new(), [0; 4096]);
    loop {
        while let Some(message) = frames.next_message().expect("messages") {
            if let Some(found) = wanted(message) {
                return found;
            }
        }
        let count = stream.read(&mut buffer).expect("bytes in time");
        assert!(count > 0, "it has ended");
        frames.push(&buffer[..count]);
    }
}

fn resource(name: ResourceName, body: &Body) -> Resource {
    let origin = Origin { file: "00000001.toml".into(), line: 9 };
    Resource { name, version: 1, origin, body: body.encode().into() }
}

/// Sends a service's first transaction, and gives what the balancer says is wrong with it.
fn refused(service: &ServiceName, resources: Vec<Resource>) -> Vec<Rejection> {
    let (listener, _folder, process) = subscribe();
    let mut stream = accept(&listener);
    read_until(&mut stream, |said| {
        matches!(said, SubscriberMessage::Scope { last: true, .. }).then_some(())
    });
    let position = Position { epoch: 1, number: 1, chain: 1 };
    let digest = resources.iter().map(resource_digest).fold(0, u64::wrapping_add);
    let held = ServiceVersion { service: service.clone(), version: 1, digest };
    let base = ServiceBase { service: service.clone(), base: Base::Snapshot };
    let changes = resources.into_iter().map(Change::Set).collect();
    for message in [
        PublisherMessage::Welcome { position },
        PublisherMessage::Begin { transaction: 1, generation: 1, services: vec![base] },
        PublisherMessage::Changes { transaction: 1, changes },
        PublisherMessage::Commit { transaction: 1, position, services: vec![held] },
    ] {
        stream.write_all(&encode(&message)).expect("it takes bytes");
    }
    let rejections = read_until(&mut stream, |said| match said {
        SubscriberMessage::Nack { reason: NackReason::Rejected(rejections), .. } => {
            Some(rejections)
        }
        SubscriberMessage::Ack { .. } => panic!("it was taken"),
        _ => None,
    });
    process.says(&["rejected, nothing of it in force: points"]);
    rejections
}

#[test]
fn invalid_limits_are_rejected_with_file_line_and_field() {
    let service = ServiceName::try_from("points").expect("a name");
    let pool = Body::Pool(PoolSettings::default());
    let limit = |name: &str, requests_per_second, burst| {
        let body = Body::Tenant(TenantLimit { requests_per_second, burst });
        resource(ResourceName::tenant(service.clone(), name), &body)
    };
    let rejections = refused(
        &service,
        vec![
            resource(ResourceName::pool(service.clone()), &pool),
            limit("good", 1.0, 1),
            limit("never", 0.0, 1),
            limit("no-number", f64::NAN, 1),
            limit("no-burst", 1.0, 0),
        ],
    );
    let told: Vec<String> = rejections.iter().map(ToString::to_string).collect();
    for part in [
        "00000001.toml:9: tenant never of points, requests_per_second: expected 0.001 to 1000000",
        "tenant no-number of points, requests_per_second",
        "tenant no-burst of points, burst: expected 1 to 1000000, found 0",
    ] {
        assert!(told.iter().any(|told| told.contains(part)), "{part} in {told:#?}");
    }
    assert_eq!(told.len(), 3, "{told:#?}");
}

#[test]
fn a_control_machine_of_another_protocol_version_is_reported_with_both_versions() {
    let (listener, _folder, process) = subscribe();
    let mut stream = accept(&listener);
    let position = Position { epoch: 1, number: 1, chain: 1 };
    let mut frame = encode(&PublisherMessage::Welcome { position });
    frame[4] = PROTOCOL_VERSION - 1;
    stream.write_all(&frame).expect("it takes bytes");
    process.says(&["no connection to", "protocol version 1, expected 2"]);
}
