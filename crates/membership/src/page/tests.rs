use oorandom::Rand64;
use sableloom_types::Time;

use super::*;
use crate::codec::MAX_PAGE_BYTES;
use crate::peer::Health;

fn peer(key: Key, process_incarnation: u32, health: Health) -> Peer {
    Peer { process_incarnation, health, ..Peer::unknown(key, Time(0), 0) }
}

/// Returns members in the order of their keys, of which nothing is known for some.
fn table(rng: &mut Rand64, count: usize) -> Vec<Peer> {
    let mut keys: Vec<Key> = (0..count).map(|_| rng.rand_u64() as Key).collect();
    keys.sort_unstable();
    keys.dedup();
    let health = |choice| match choice {
        0 => Health::Unknown,
        1 => Health::Dead,
        2 => Health::Left,
        _ => Health::Alive,
    };
    let random_peer =
        |key| peer(key, 1000 + rng.rand_range(0..90_000) as u32, health(rng.rand_range(0..9)));
    keys.into_iter().map(random_peer).collect()
}

/// Pulls and applies all differences. Returns how many pages and entries that took.
fn pull(own: &mut [Peer], others: &[Peer], salt: u32) -> (usize, usize) {
    let (mut from, mut pages, mut entries) = (0, 0, 0);
    loop {
        let grouping = Grouping::for_members(own.len());
        let peers_from = |peers: &[Peer]| -> Vec<Peer> {
            peers.iter().filter(|peer| peer.key >= from).cloned().collect()
        };
        let request = build_request(1, from, salt, grouping, peers_from(own).iter());
        let page =
            build_page(&request, 1000, MAX_PAGE_BYTES, peers_from(others).iter()).expect("a page");
        assert!(
            page.entries.len() + PAGE_OVERHEAD_BYTES <= MAX_PAGE_BYTES && page.last_key >= from
        );
        for entry in decode_entries(&page, from).expect("a valid page") {
            entries += 1;
            if let Some(known) = own.iter_mut().find(|peer| peer.key == entry.member) {
                let found = others
                    .iter()
                    .find(|peer| peer.key == entry.member)
                    .expect("an entry of the table");
                assert_eq!(
                    (entry.process_incarnation, entry.incarnation),
                    (found.process_incarnation, found.incarnation)
                );
                (known.process_incarnation, known.health) =
                    (found.process_incarnation, found.health.clone());
            }
        }
        pages += 1;
        let Some(next) = page.last_key.checked_add(1) else { return (pages, entries) };
        from = next;
    }
}

fn count_differences(own: &[Peer], others: &[Peer]) -> usize {
    let contribution =
        |peer: &Peer| member_digest(peer.key, peer.process_incarnation, &peer.health);
    own.iter()
        .zip(others)
        .filter(|(a, b)| contribution(a) != contribution(b) && b.health != Health::Unknown)
        .count()
}

/// Pulls start from an empty table, and from one that differs in some members. After a few exchanges, each with a salt
/// of its own, nothing differs, even if digests of groups collide by chance.
#[test]
fn pulls_transfer_what_differs_and_little_else() {
    for seed in 0..300u128 {
        let mut rng = Rand64::new(seed);
        let count = 1 + rng.rand_range(0..1500) as usize;
        let others = table(&mut rng, count);
        let mut own: Vec<Peer> = others.iter().map(|p| peer(p.key, 0, Health::Unknown)).collect();
        let (pages, _) = pull(&mut own, &others, rng.rand_u64() as u32);
        assert_eq!(
            count_differences(&own, &others),
            0,
            "seed {seed}: one pull fills an empty table"
        );
        assert!(pages <= count / 100 + 1, "seed {seed}: {pages} pages of {count}");
        let mut changed = 0;
        for peer in own.iter_mut().filter(|peer| peer.health == Health::Alive) {
            if rng.rand_range(0..20) == 0 {
                peer.process_incarnation -= 1;
                changed += 1;
            }
        }
        let mut transferred = 0;
        for _ in 0..6 {
            transferred += pull(&mut own, &others, rng.rand_u64() as u32).1;
        }
        assert_eq!(count_differences(&own, &others), 0, "seed {seed}");
        assert!(
            transferred <= changed * 14 + 30,
            "seed {seed}: {transferred} entries for {changed}"
        );
    }
}

/// Groups that differ and have the same digest under one salt have different digests under another.
#[test]
fn another_salt_separates_groups_whose_digests_collide() {
    let others: Vec<Peer> = (0..4).map(|i| peer(i << 30, 1000, Health::Alive)).collect();
    let mut own = others.clone();
    own[2].process_incarnation -= 1;
    let digest = |peers: &[Peer], salt| group_digest(peers[2..3].iter(), salt);
    let collides = |salt: &u32| digest(&own, *salt) == digest(&others, *salt);
    let salt = (0..100_000).find(collides).expect("a salt under which they collide");
    assert_eq!(
        pull(&mut own.clone(), &others, salt).1,
        0,
        "no entry is transferred under this salt"
    );
    let other = (salt + 1..).find(|salt| !collides(salt)).expect("a salt under which they differ");
    assert!(other < salt + 5);
    pull(&mut own, &others, other);
    assert_eq!(count_differences(&own, &others), 0);
}

/// Pages that are cut off, altered, or do not match the request are rejected or decode to entries; decoding never
/// panics.
#[test]
fn invalid_pages_are_rejected() {
    let mut rng = Rand64::new(4);
    let others = table(&mut rng, 150);
    let request = Pull { seq: 1, first_key: 0, salt: 0, prefix_bits: 5, digests: Vec::new() };
    let page = build_page(&request, 1000, MAX_PAGE_BYTES, others.iter()).expect("a page");
    let whole = decode_entries(&page, 0).expect("a valid page");
    assert!(whole.len() > 100);
    for cut in 0..page.entries.len() {
        let entries = page.entries[..cut].to_vec();
        let read = decode_entries(&Page { entries, ..page.clone() }, 0);
        assert!(read.is_none_or(|entries| whole.starts_with(&entries)), "cut to {cut}");
    }
    let last_key = whole[50].member;
    assert!(
        decode_entries(&Page { last_key, ..page.clone() }, 0).is_none(),
        "a key is past the last one that the page covers"
    );
    assert!(
        decode_entries(&Page { last_key: 5, ..page.clone() }, 6).is_none(),
        "the page ends before the first requested key"
    );
    assert!(
        decode_entries(&Page { base_incarnation: u32::MAX, ..page.clone() }, 0).is_none(),
        "an incarnation is out of range"
    );
    let packed_entry = |distance| PackedEntry {
        key_distance: distance,
        process_incarnation_offset: 0,
        incarnation_and_state: 0,
    };
    let entries =
        [postcard::to_allocvec(&packed_entry(9)), postcard::to_allocvec(&packed_entry(0))];
    let entries: Vec<u8> = entries.into_iter().flatten().flatten().collect();
    assert!(decode_entries(&Page { entries, ..page.clone() }, 0).is_none(), "a key occurs twice");
    for _ in 0..20_000 {
        let mut entries = page.entries.clone();
        let at = rng.rand_range(0..entries.len() as u64) as usize;
        entries[at] ^= rng.rand_range(1..256) as u8;
        let _ = decode_entries(&Page { entries, ..page.clone() }, 0);
    }
}

/// Invalid requests get no answer, and an answer never exceeds its limit of bytes.
#[test]
fn pages_stay_within_the_byte_limit_and_invalid_requests_get_none() {
    let mut rng = Rand64::new(9);
    let others = table(&mut rng, 400);
    for _ in 0..5000 {
        let groups = rng.rand_range(0..200) as usize;
        let from = rng.rand_u64() as Key;
        let bits = rng.rand_range(0..20) as u8;
        let digests = (0..groups).map(|_| rng.rand_u64() as u8).collect();
        let pull = Pull {
            seq: 1,
            first_key: from,
            salt: rng.rand_u64() as u32,
            prefix_bits: bits,
            digests,
        };
        let max_bytes = rng.rand_range(0..1300) as usize;
        let peers_from = others.iter().filter(|peer| peer.key >= from);
        let Some(page) = build_page(&pull, 1000, max_bytes, peers_from) else { continue };
        assert!(bits <= MAX_PREFIX_BITS && groups <= MAX_GROUPS, "{bits} bits, {groups} groups");
        assert!(page.entries.is_empty() || page.entries.len() + PAGE_OVERHEAD_BYTES <= max_bytes);
        assert!(decode_entries(&page, from).is_some());
    }
    let invalid_request_page = build_page(
        &Pull { seq: 1, first_key: 0, salt: 0, prefix_bits: 255, digests: vec![] },
        0,
        1200,
        [].iter(),
    );
    assert_eq!(invalid_request_page, None);
}
