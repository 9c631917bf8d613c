//! The codec against the specification's forms, against another implementation (`rmpv`), at every
//! cut, and under seeded mutations. `SEED=n` replays one.

use bytes::Bytes;
use oorandom::Rand64;
use rmpv::Value;
use sableloom_msgpack_rpc::*;

fn small() -> Limits {
    Limits { bytes: 4096, depth: 8, elements: 256 }
}

fn all(limits: Limits, bytes: &[u8], chunk: usize) -> Result<Vec<Message>, DecodeError> {
    let mut decoder = Decoder::new(limits);
    let mut messages = Vec::new();
    for part in bytes.chunks(chunk.max(1)) {
        decoder.push(part);
        while let Some(message) = decoder.message()? {
            messages.push(message);
        }
        assert!(decoder.buffered() <= limits.bytes + part.len(), "{} buffered", decoder.buffered());
    }
    Ok(messages)
}

fn raw(bytes: &[u8]) -> Raw {
    Raw::read(Bytes::copy_from_slice(bytes), &small()).expect("a value")
}

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text.chars().filter_map(|c| c.to_digit(16)).collect();
    digits.chunks(2).map(|d| (d[0] * 16 + d[1]) as u8).collect()
}

#[test]
fn the_forms_of_the_specification_are_read_and_written() {
    // request, response, notification; the map is the example on msgpack.org.
    let map = "82 a7 63 6f 6d 70 61 63 74 c3 a6 73 63 68 65 6d 61 00";
    let params = hex(&format!("91 {map}"));
    let request_bytes = hex(&format!("94 00 ce 00 01 02 03 a3 73 75 6d 91 {map}"));
    let method = raw(&hex("a3 73 75 6d"));
    let expected =
        Message::Request { msgid: 0x0001_0203, method: method.clone(), params: raw(&params) };
    assert_eq!(all(small(), &request_bytes, 99), Ok(vec![expected]));
    let mut written = Vec::new();
    request(&mut written, 0x0001_0203, "sum", &params);
    assert_eq!(written, request_bytes);

    let mut written = Vec::new();
    response_ok(&mut written, 7, &hex("2a"));
    assert_eq!(written, hex("94 01 07 c0 2a"));
    response_err(&mut written, 255, &hex("a2 6e 6f"));
    assert_eq!(written, hex("94 01 07 c0 2a 94 01 cc ff a2 6e 6f c0"));
    notification(&mut written, "sum", &hex("90"));
    let nil = || raw(&hex("c0"));
    let expected = vec![
        Message::Response { msgid: 7, error: nil(), result: raw(&hex("2a")) },
        Message::Response { msgid: 255, error: raw(&hex("a2 6e 6f")), result: nil() },
        Message::Notification { method, params: raw(&hex("90")) },
    ];
    for chunk in [1, 2, 3, 99] {
        assert_eq!(all(small(), &written, chunk), Ok(expected.clone()), "{chunk}");
    }
}

/// Formats of a fixed length: the first byte, and how many bytes follow it.
const FIXED_LENGTH: [(u8, usize); 15] = [
    (0xca, 4),
    (0xcb, 8),
    (0xcc, 1),
    (0xcd, 2),
    (0xce, 4),
    (0xcf, 8),
    (0xd0, 1),
    (0xd1, 2),
    (0xd2, 4),
    (0xd3, 8),
    (0xd4, 2),
    (0xd5, 3),
    (0xd6, 5),
    (0xd7, 9),
    (0xd8, 17),
];

/// Formats that state their length: the first byte, the bytes of the length, the bytes of one unit of it, and the
/// bytes beyond it.
const STATED_LENGTH: [(u8, usize, usize, usize); 13] = [
    (0xc4, 1, 1, 0),
    (0xc5, 2, 1, 0),
    (0xc6, 4, 1, 0),
    (0xc7, 1, 1, 1),
    (0xc8, 2, 1, 1),
    (0xc9, 4, 1, 1),
    (0xd9, 1, 1, 0),
    (0xda, 2, 1, 0),
    (0xdb, 4, 1, 0),
    (0xdc, 2, 1, 0),
    (0xdd, 4, 1, 0),
    (0xde, 2, 2, 0),
    (0xdf, 4, 2, 0),
];

/// A value of each first byte of the specification's table, at its least length and, where it has one, at greater ones.
fn values_of_every_format() -> Vec<Vec<u8>> {
    let fill = |n: usize| vec![0x61; n];
    let mut values: Vec<Vec<u8>> = Vec::new();
    for small in (0x00..=0x7f).chain([0xc0, 0xc2, 0xc3]).chain(0xe0..=0xff) {
        values.push(vec![small]);
    }
    for (first, behind) in FIXED_LENGTH {
        values.push([vec![first], fill(behind)].concat());
    }
    for n in 0..32 {
        values.push([vec![0xa0 + n as u8], fill(n)].concat());
    }
    for n in 0..16 {
        values.push([vec![0x90 + n as u8], fill(n)].concat());
        values.push([vec![0x80 + n as u8], fill(2 * n)].concat());
    }
    for (first, width, unit, extra) in STATED_LENGTH {
        for n in [0usize, 1, 100] {
            let length = &(n as u32).to_be_bytes()[4 - width..];
            values.push([&[first], length, &fill(n * unit + extra)].concat());
        }
    }
    values
}

#[test]
fn every_format_has_its_length() {
    for value in &values_of_every_format() {
        let read = Raw::read(Bytes::copy_from_slice(value), &small());
        assert_eq!(read.map(|r| r.bytes().to_vec()), Ok(value.clone()), "{value:02x?}");
        // rmpv reads the same bytes as one value.
        let mut rest = &value[..];
        rmpv::decode::read_value(&mut rest).expect("a value");
        assert!(rest.is_empty(), "{value:02x?}");
        for cut in 0..value.len() {
            let cut = Raw::read(Bytes::copy_from_slice(&value[..cut]), &small());
            assert_eq!(cut, Err(DecodeError::NoMessage), "{value:02x?}");
        }
    }
    assert_eq!(Raw::read(Bytes::from_static(&[0xc1]), &small()), Err(DecodeError::NeverUsed));
}

#[test]
fn bytes_that_are_no_message_are_an_error_as_early_as_possible() {
    let four_gib = "ff ff ff ff";
    for (text, error) in [
        ("47", DecodeError::NoMessage), // "G" of a GET
        ("c0", DecodeError::NoMessage),
        ("92", DecodeError::NoMessage),
        ("95", DecodeError::NoMessage),
        ("c1", DecodeError::NeverUsed),
        ("94 03", DecodeError::NoMessage),
        ("94 ff", DecodeError::NoMessage), // -1
        ("94 a1 30", DecodeError::NoMessage),
        ("94 00 a1 30", DecodeError::NoId),
        ("94 00 ff", DecodeError::NoId),
        ("94 00 cf 00 00 00 01 00 00 00 00", DecodeError::NoId), // 2^32
        ("94 01 cb 00 00 00 00 00 00 00 00", DecodeError::NoId),
        ("94 02 a1 61 90 c0", DecodeError::NoMessage),
        ("93 00 01 a1 61", DecodeError::NoMessage),
        (&format!("94 00 01 db {four_gib}"), DecodeError::TooLong),
        (&format!("94 00 01 c6 {four_gib}"), DecodeError::TooLong),
        (&format!("94 00 01 c9 {four_gib}"), DecodeError::TooLong),
        (&format!("94 00 01 a1 61 dd {four_gib}"), DecodeError::TooMany),
        (&format!("94 00 01 a1 61 df {four_gib}"), DecodeError::TooMany),
        (&format!("dd {four_gib}"), DecodeError::NoMessage),
        ("94 00 01 a1 61 91 91 91 91 91 91 91 91", DecodeError::TooDeep),
        ("94 00 01 a1 61 c1", DecodeError::NeverUsed),
    ] {
        let bytes = hex(text);
        for chunk in [1, bytes.len()] {
            assert_eq!(all(small(), &bytes, chunk), Err(error), "{text}");
        }
        // And not before: without its last byte more is awaited.
        let early = all(small(), &bytes[..bytes.len() - 1], 1);
        assert_eq!(early, Ok(vec![]), "{text}");
    }
    // The limit of bytes holds for the whole, and not by a byte less.
    let message = |len: usize| {
        let mut bytes = hex("94 00 01 a1 61 c5");
        bytes.extend(((len - 8) as u16).to_be_bytes());
        bytes.resize(len, 0);
        bytes
    };
    assert_eq!(all(small(), &message(4096), 7).map(|m| m.len()), Ok(1));
    assert_eq!(all(small(), &message(4097), 7), Err(DecodeError::TooLong));
    // Every later call returns the error, and nothing more is kept.
    let mut decoder = Decoder::new(small());
    decoder.push(b"GET / HTTP/1.1\r\n");
    assert_eq!(decoder.message(), Err(DecodeError::NoMessage));
    decoder.push(&hex("94 01 07 c0 2a"));
    assert_eq!((decoder.message(), decoder.buffered()), (Err(DecodeError::NoMessage), 0));
}

#[test]
fn nesting_a_hundred_thousand_deep_is_an_error_without_recursion() {
    let mut bytes = hex("94 00 01 a1 61");
    bytes.resize(100_000, 0x91);
    let limits = Limits { bytes: 1 << 20, elements: 1 << 20, ..small() };
    assert_eq!(all(limits, &bytes, 4096), Err(DecodeError::TooDeep));
    // Where that depth is allowed, there is no recursion either.
    let deep = Limits { depth: 200_000, ..limits };
    bytes.push(0xc0);
    assert_eq!(all(deep, &bytes, 4096).map(|m| m.len()), Ok(1));
}

fn value(rng: &mut Rand64, depth: u32) -> Value {
    let most = if depth == 0 { 8 } else { 10 };
    let n = rng.rand_range(0..40) as usize;
    match rng.rand_range(0..most) {
        0 => Value::Nil,
        1 => Value::Boolean(rng.rand_range(0..2) == 0),
        2 => Value::from(rng.rand_u64() >> rng.rand_range(0..64)),
        3 => Value::from((rng.rand_u64() >> rng.rand_range(0..64)) as i64),
        4 => Value::F64(rng.rand_float()),
        5 => Value::from("\u{e9}x".repeat(n)),
        6 => Value::Binary(vec![7; n * 10]),
        7 => Value::Ext(n as i8, vec![1; n]),
        8 => Value::Array((0..n % 5).map(|_| value(rng, depth - 1)).collect()),
        _ => {
            Value::Map((0..n % 4).map(|_| (value(rng, depth - 1), value(rng, depth - 1))).collect())
        }
    }
}

/// A message by the other implementation.
fn message(rng: &mut Rand64) -> Value {
    let id = || Value::from(rng.clone().rand_u64() as u32);
    let id = id();
    let (a, b) = (value(rng, 3), value(rng, 3));
    Value::Array(match rng.rand_range(0..3) {
        0 => vec![0.into(), id, a, b],
        1 => vec![1.into(), id, a, b],
        _ => vec![2.into(), a, b],
    })
}

fn same(raw: &Raw, value: &Value) -> bool {
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, value).expect("memory");
    let parts = match value {
        Value::Array(list) => raw.array().is_some_and(|raws| {
            raws.len() == list.len() && raws.iter().zip(list).all(|(r, v)| same(r, v))
        }),
        Value::Map(entries) => raw.map().is_some_and(|raws| {
            raws.len() == entries.len()
                && raws
                    .iter()
                    .zip(entries)
                    .all(|((k, v), (key, value))| same(k, key) && same(v, value))
        }),
        Value::Integer(n) => raw.uint() == n.as_u64(),
        Value::String(s) => raw.text().as_deref() == s.as_str().map(str::as_bytes),
        Value::Binary(b) => raw.octets().as_deref() == Some(b) && raw.text().is_none(),
        Value::Nil => raw.is_nil(),
        Value::Boolean(b) => raw.flag() == Some(*b),
        _ => {
            raw.uint().is_none()
                && raw.octets().is_none()
                && raw.array().is_none()
                && raw.map().is_none()
        }
    };
    parts && raw.bytes()[..] == bytes[..]
}

#[test]
fn messages_of_another_implementation_are_decoded_alike_at_every_split() {
    for seed in 0..1000 {
        let mut rng = Rand64::new(seed);
        let sent: Vec<Value> = (0..4).map(|_| message(&mut rng)).collect();
        let mut bytes = Vec::new();
        sent.iter().for_each(|v| rmpv::encode::write_value(&mut bytes, v).expect("memory"));
        let limits = Limits { bytes: 1 << 20, depth: 16, elements: 1 << 16 };
        let chunk = 1 + rng.rand_range(0..bytes.len() as u64) as usize;
        for chunk in [1, chunk, bytes.len()] {
            let got = all(limits, &bytes, chunk).unwrap_or_else(|e| panic!("SEED={seed}: {e}"));
            assert_eq!(got.len(), sent.len(), "SEED={seed}");
            for (got, sent) in got.iter().zip(&sent) {
                let sent = sent.as_array().expect("an array");
                let alike = match got {
                    Message::Request { msgid, method, params } => {
                        sent[0] == 0.into()
                            && sent[1] == (*msgid).into()
                            && same(method, &sent[2])
                            && same(params, &sent[3])
                    }
                    Message::Response { msgid, error, result } => {
                        sent[0] == 1.into()
                            && sent[1] == (*msgid).into()
                            && same(error, &sent[2])
                            && same(result, &sent[3])
                    }
                    Message::Notification { method, params } => {
                        sent[0] == 2.into() && same(method, &sent[1]) && same(params, &sent[2])
                    }
                };
                assert!(alike, "SEED={seed}: {got:?} is not {sent:?}");
            }
        }
        // Cut anywhere, the messages before the cut are there, and nothing is made up.
        let cut = rng.rand_range(0..bytes.len() as u64) as usize;
        let whole = all(limits, &bytes, bytes.len()).expect("messages");
        let before = all(limits, &bytes[..cut], 5).expect("no error in a part of what is good");
        assert_eq!(before[..], whole[..before.len()], "SEED={seed}");
    }
}

#[test]
fn mutated_messages_never_panic_and_never_exceed_the_limits() {
    let replay = std::env::var("SEED").ok().and_then(|s| s.parse().ok());
    let seeds = replay.map_or(0..200_000u64, |seed| seed..seed + 1);
    let (mut read, mut refused) = (0, 0);
    for seed in seeds {
        let mut rng = Rand64::new(u128::from(seed));
        let mut bytes = Vec::new();
        rmpv::encode::write_value(&mut bytes, &message(&mut rng)).expect("memory");
        for _ in 0..rng.rand_range(1..5) {
            let at = rng.rand_range(0..bytes.len() as u64) as usize;
            match rng.rand_range(0..4) {
                0 => bytes[at] = rng.rand_u64() as u8,
                1 => bytes[at] ^= 1 << rng.rand_range(0..8),
                2 => bytes.insert(at, rng.rand_u64() as u8),
                _ if bytes.len() > 1 => drop(bytes.remove(at)),
                _ => {}
            }
        }
        let chunk = 1 + rng.rand_range(0..64) as usize;
        let outcome = all(small(), &bytes, chunk);
        // However it is cut, the outcome is one.
        assert_eq!(outcome, all(small(), &bytes, bytes.len()), "SEED={seed}");
        match outcome {
            Ok(messages) => {
                read += messages.len();
                for message in messages {
                    if let Message::Request { params, .. } = message {
                        // Whatever it is, it is judged without a panic.
                        let _ = (Call::read(&params, false), Call::read(&params, true));
                        let _ = (Served::read(&params, false), Failure::read(&params));
                    }
                }
            }
            Err(_) => refused += 1,
        }
    }
    assert!(
        replay.is_some() || (read > 20_000 && refused > 20_000),
        "{read} read, {refused} refused"
    );
}
