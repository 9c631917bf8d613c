//! The mapping of calls, results and errors: the vectors of docs/specs/msgpack-rpc.md, and every way in which they
//! can be wrong.

use bytes::Bytes;
use sableloom_msgpack_rpc::*;

const SPEC: &str = include_str!("../../../docs/specs/msgpack-rpc.md");

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text.chars().filter_map(|c| c.to_digit(16)).collect();
    digits.chunks(2).map(|d| (d[0] * 16 + d[1]) as u8).collect()
}

/// The bytes of the vector with this name, as the specification has them.
fn vector(name: &str) -> Vec<u8> {
    let from = SPEC.find(&format!("vector: {name}\n")).unwrap_or_else(|| panic!("no {name}"));
    let lines = SPEC[from..].lines().skip(1).skip_while(|line| line.is_empty());
    let lines = lines.take_while(|line| line.starts_with("    "));
    // What follows a semicolon explains.
    hex(&lines.map(|line| line.split(';').next().unwrap_or_default()).collect::<String>())
}

fn one(bytes: &[u8]) -> Message {
    let mut decoder = Decoder::new(Limits::STANDARD);
    decoder.push(bytes);
    let message = decoder.message().expect("a good one").expect("a whole one");
    assert!(!decoder.is_within());
    message
}

fn raw(bytes: &[u8]) -> Raw {
    Raw::read(Bytes::copy_from_slice(bytes), &Limits::STANDARD).expect("a value")
}

fn redeem() -> Call {
    Call {
        id: Some("t-1".into()),
        expires_ms: Some(1500),
        key: Some("card-7".into()),
        fields: vec![("x-till".into(), "9".into())],
        ..Call::bare(Body::Octets(Bytes::from_static(b"10")))
    }
}

#[test]
fn the_vectors_of_the_specification_are_read_and_written() {
    let Message::Request { msgid, method, params } = one(&vector("request")) else { panic!() };
    assert_eq!((msgid, method.text().as_deref()), (1, Some(&b"redeem"[..])));
    assert_eq!(Call::read(&params, false), Ok(redeem()));
    let (mut params, mut written) = (Vec::new(), Vec::new());
    redeem().write(&mut params);
    request(&mut written, 1, "redeem", &params);
    assert_eq!(written, vector("request"));

    let served = Served {
        fields: vec![("x-node".into(), "n1".into())],
        body: Body::Octets(Bytes::from_static(b"done")),
    };
    let Message::Response { msgid: 1, error, result } = one(&vector("served")) else { panic!() };
    assert!(error.is_nil());
    assert_eq!(Served::read(&result, false), Ok(served.clone()));
    let (mut result, mut written) = (Vec::new(), Vec::new());
    served.write(&mut result);
    response_ok(&mut written, 1, &result);
    assert_eq!(written, vector("served"));

    for (name, failure) in [
        (
            "refused",
            Failure {
                code: FailureCode::Rejected,
                text: "busy".into(),
                safe_to_retry: true,
                retry_after_ms: Some(250),
            },
        ),
        (
            "failed",
            Failure {
                code: FailureCode::Failed,
                text: "given up".into(),
                safe_to_retry: false,
                retry_after_ms: None,
            },
        ),
    ] {
        let Message::Response { msgid: 1, error, result } = one(&vector(name)) else { panic!() };
        assert!(result.is_nil());
        assert_eq!(Failure::read(&error), Ok(failure.clone()));
        let (mut error, mut written) = (Vec::new(), Vec::new());
        failure.write(&mut error);
        response_err(&mut written, 1, &error);
        assert_eq!(written, vector(name));
    }

    let Message::Request { params, .. } = one(&vector("bare")) else { panic!() };
    assert_eq!(Call::read(&params, true), Ok(Call::bare(Body::Value(params.clone()))));
}

#[test]
fn params_of_the_wrong_shape_have_an_error_that_names_the_part() {
    for (params, says) in [
        ("c0", "params are no array"),
        ("80", "params are no array"),
        ("90", "expected the params [meta, body], found 0"),
        ("91 80", "found 1"),
        ("93 80 c0 c0", "found 3"),
        ("92 90 c0", "meta is no map"),
        ("92 81 01 a1 61 c0", "a name that is no text"),
        ("92 81 c4 02 69 64 a1 61 c0", "a name that is no text"),
        ("92 81 a2 ff fe a1 61 c0", "a name that is no text"),
        ("92 82 a2 69 64 a1 61 a2 69 64 a1 62 c0", "meta has \"id\" twice"),
        ("92 82 a1 78 a1 61 d9 01 78 a1 62 c0", "meta has \"x\" twice"),
        ("92 81 a2 69 64 07 c0", "\"id\" is no text"),
        ("92 81 a2 69 64 c0 c0", "\"id\" is no text"),
        ("92 81 a2 69 64 d4 01 00 c0", "\"id\" is no text"),
        ("92 81 aa 65 78 70 69 72 65 73 5f 6d 73 cb 7f f8 00 00 00 00 00 00 c0", "no whole number"),
        ("92 81 aa 65 78 70 69 72 65 73 5f 6d 73 ff c0", "no whole number"),
        ("92 81 a1 78 92 01 02 c0", "\"x\" is no text"),
    ] {
        let told = Call::read(&raw(&hex(params)), false).expect_err(params).to_string();
        assert!(told.contains(says), "{params}: {told}");
    }
    let many: String =
        (0..101).map(|i| format!("a2 {:02x} {:02x} a0", 0x30 + i / 70, 0x30 + i % 70)).collect();
    let told = Call::read(&raw(&hex(&format!("92 de 00 65 {many} c0"))), false).expect_err("many");
    assert!(told.to_string().contains("over 100 names"), "{told}");
    let mut long = hex("92 81 a1 78 da 20 01");
    long.resize(long.len() + 8193, b'a');
    long.push(0xc0);
    let told = Call::read(&raw(&long), false).expect_err("long");
    assert!(told.to_string().contains("over 8192 bytes"), "{told}");
}

#[test]
fn bodies_are_octets_or_values() {
    for (body, read) in [
        ("c0", Some(&b""[..])),
        ("c4 02 ff 00", Some(b"\xff\x00")),
        ("a2 68 69", Some(b"hi")),
        ("92 01 02", None),
        ("cb 7f f8 00 00 00 00 00 00", None),
        ("d4 01 00", None),
    ] {
        let call = Call::read(&raw(&hex(&format!("92 80 {body}"))), false).expect(body);
        let expected = match read {
            Some(octets) => Body::Octets(Bytes::copy_from_slice(octets)),
            None => Body::Value(raw(&hex(body))),
        };
        assert_eq!(call.body, expected, "{body}");
        // What is written again says the same.
        let mut again = Vec::new();
        call.write(&mut again);
        assert_eq!(Call::read(&raw(&again), false), Ok(call), "{body}");
    }
}

#[test]
fn errors_that_are_not_as_specified_are_rejected() {
    for error in [
        "c0",
        "a2 6e 6f",
        "90",
        "94 07 a0 c3 c0",
        "94 00 a0 c3 c0",
        "94 01 c0 c3 c0",
        "94 01 a0 01 c0",
        "94 01 a0 c3 a0",
        "93 01 a0 c3",
    ] {
        assert!(Failure::read(&raw(&hex(error))).is_err(), "{error}");
    }
    for result in ["c0", "2a", "91 80", "92 90 c0", "92 81 a1 78 01 c0"] {
        assert!(Served::read(&raw(&hex(result)), false).is_err(), "{result}");
        assert!(Served::read(&raw(&hex(result)), true).is_ok(), "{result}");
    }
}
