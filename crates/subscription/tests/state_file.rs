//! Tests that a state file is used only if it is complete and unaltered, belongs to this subscriber, and has a
//! supported format version.

use sableloom_distribution::{
    Origin, Position, Resource, ResourceName, SavedService, SavedState, ServiceName, SubscriberName,
};
use sableloom_subscription::{StateFileError, decode_state, encode_state, read_state, write_state};
use sableloom_testkit::Site;
use sha2::{Digest, Sha256};

fn subscriber(name: &str) -> SubscriberName {
    SubscriberName::try_from(name).expect("a name")
}

fn state_at(number: u64) -> SavedState {
    let service = ServiceName::try_from("points").expect("a name");
    let resource = |id: &str| Resource {
        name: ResourceName::server(service.clone(), id),
        version: number,
        origin: Origin { file: "00000007.toml".into(), line: 12 },
        body: vec![1, 2, 3, 4].into(),
    };
    let tenant =
        Resource { name: ResourceName::tenant(service.clone(), "customer-17"), ..resource("") };
    SavedState {
        position: Position { epoch: 1, number, chain: 99 },
        services: vec![SavedService {
            service: service.clone(),
            epoch: 1,
            version: number,
            digest: 5,
            resources: vec![resource("points-1"), resource("points-2"), tenant],
        }],
    }
}

#[test]
fn a_state_file_that_is_too_short_or_too_long_is_rejected_as_a_length_mismatch() {
    let own_name = subscriber("balancer-17");
    let bytes = encode_state(&own_name, &state_at(7));
    assert_eq!(decode_state(&own_name, &bytes).expect("complete"), state_at(7));
    for cut in 0..bytes.len() {
        let error = decode_state(&own_name, &bytes[..cut]).expect_err("the file is incomplete");
        assert!(matches!(error, StateFileError::LengthMismatch { .. }), "cut at {cut}: {error}");
    }
    let extended = [&bytes[..], b"x"].concat();
    assert!(matches!(
        decode_state(&own_name, &extended),
        Err(StateFileError::LengthMismatch { .. })
    ));
}

#[test]
fn a_state_file_with_one_bit_flipped_is_rejected() {
    let own_name = subscriber("balancer-17");
    let bytes = encode_state(&own_name, &state_at(7));
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut altered = bytes.clone();
            altered[at] ^= 1 << bit;
            assert!(decode_state(&own_name, &altered).is_err(), "bit {bit} of byte {at}");
        }
    }
}

#[test]
fn a_file_of_another_subscriber_another_format_or_an_unknown_version_is_rejected() {
    let own_name = subscriber("balancer-17");
    let other = encode_state(&subscriber("balancer-18"), &state_at(7));
    let error = decode_state(&own_name, &other).expect_err("the file is of another subscriber");
    assert_eq!(error.to_string(), "the file holds the state of subscriber \"balancer-18\"");
    assert!(matches!(decode_state(&own_name, b"[control]\n"), Err(StateFileError::NotAStateFile)));
    let mut later = encode_state(&own_name, &state_at(7));
    // Byte 11 is the last byte of the format version, and 3 is one more than the newest version that is read.
    later[11] = 3;
    assert!(matches!(decode_state(&own_name, &later), Err(StateFileError::UnsupportedVersion(3))));
}

#[test]
fn a_state_file_of_format_version_1_is_decoded() {
    // A state file in the format that has no tenants. The names of the subscriber, the service and the server have one
    // letter each.
    const VERSION_1_FILE: [u8; 86] = [
        b'S', b'L', b'S', b'T', b'A', b'T', b'E', b'\n', 0, 0, 0, 1, 0, 1, 0, 0, 0, 0, 0, 0, 0, 31,
        b'b', // The following bytes are the state: the position, then the services.
        1, 7, 99, 1, 1, b's', 1, 7, 5, 1, 1, b's', 1, 1, b'p', 7, 12, b'0', b'0', b'0', b'0', b'0',
        b'0', b'0', b'7', b'.', b'c', b'h', b'g', 12, 0,
        // The 32 bytes of the checksum, which the test computes below as the SHA-256 of all bytes before them.
        0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0,
        0,
    ];
    let mut bytes = VERSION_1_FILE.to_vec();
    let content_length = bytes.len() - 32;
    let checksum = Sha256::digest(&bytes[..content_length]);
    bytes[content_length..].copy_from_slice(&checksum);
    let state = decode_state(&subscriber("b"), &bytes).expect("a state");
    assert_eq!(state.position, Position { epoch: 1, number: 7, chain: 99 });
    assert_eq!(state.services[0].resources[0].name.to_string(), "server p of s");
}

#[test]
fn a_partly_written_temporary_file_does_not_replace_the_previous_state() {
    let folder = Site::new("");
    let (own_name, path) = (subscriber("balancer-17"), folder.path("state.bin"));
    assert!(read_state(&path, &own_name).expect("no file").is_none());
    write_state(&path, &own_name, &state_at(7)).expect("written");
    // A process that crashes during a write leaves part of the newer state in the temporary file.
    let newer = encode_state(&own_name, &state_at(8));
    std::fs::write(folder.path("state.bin.new"), &newer[..newer.len() / 2]).expect("a file");
    assert_eq!(read_state(&path, &own_name).expect("a state"), Some(state_at(7)));
    write_state(&path, &own_name, &state_at(9)).expect("written");
    assert_eq!(read_state(&path, &own_name).expect("a state"), Some(state_at(9)));
    assert!(!folder.path("state.bin.new").exists());
    // A folder at the path of the state file can be neither replaced nor read.
    std::fs::create_dir(folder.path("folder")).expect("a folder");
    assert!(write_state(&folder.path("folder"), &own_name, &state_at(9)).is_err());
    assert!(matches!(
        read_state(&folder.path("folder"), &own_name),
        Err(StateFileError::Unreadable(_))
    ));
}
