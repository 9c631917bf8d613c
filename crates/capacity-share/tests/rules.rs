//! The rules of parts, one by one. That the parts add up whatever happens is shown in simulation by the
//! crate that joins them with the members' talk.

use sableloom_capacity_share::{Part, Standing, Times, Why};
use sableloom_types::{Span, Time};

const S: i64 = 1_000_000;

fn at(seconds: f64) -> Time {
    Time((seconds * S as f64) as i64)
}

/// One of `n`, which all others have spoken to.
fn known(n: u16) -> Standing {
    let mut standing = Standing::new(at(0.0), 1..u32::from(n), Times::default());
    (1..n).for_each(|key| standing.spoke(at(0.1), key.into(), n));
    standing
}

fn number(standing: &Standing, now: f64) -> (u32, Why) {
    let part = standing.part(at(now));
    (part.balancers, part.why)
}

/// Whom it asks of these, all of whom are to be asked after.
fn ask(standing: &mut Standing, now: f64, which: impl Fn(u32) -> bool) -> Vec<u32> {
    let of: Vec<u32> = standing.in_turn().filter(|key| which(*key)).collect();
    standing.ask(at(now), usize::MAX, of).to
}

#[test]
fn alone_on_the_list_it_has_all() {
    let alone = Standing::new(at(0.0), [], Times::default());
    assert_eq!(number(&alone, 0.0), (1, Why::Shares));
}

#[test]
fn it_has_no_part_until_all_have_spoken_or_their_proofs_are_over() {
    let times = Times::default();
    let mut standing = Standing::new(at(0.0), 1..4, times);
    assert_eq!(number(&standing, 0.0), (0, Why::Waits(3)));
    standing.spoke(at(0.1), 1, 4);
    standing.sign(at(0.1), 2);
    assert_eq!(number(&standing, 0.1), (0, Why::Waits(2)), "a sign of life is no word to it");
    standing.spoke(at(0.2), 2, 4);
    assert_eq!(number(&standing, 0.2), (0, Why::Waits(1)));
    let wait = times.wait().as_micros_f64() / 1e6;
    assert!(
        wait > times.claim.as_micros_f64() / 1e6 * 1.2,
        "a clock 10% slow against one 10% fast: {wait}"
    );
    assert_eq!(number(&standing, wait - 0.001).0, 0);
    assert_eq!(number(&standing, wait), (4, Why::Shares));
    // One that is proved not to act holds no proofs.
    let mut standing = Standing::new(at(0.0), 1..3, times);
    standing.spoke(at(0.1), 1, 3);
    standing.refused(2, at(0.05));
    assert_eq!(number(&standing, 0.1), (2, Why::Shares));
}

#[test]
fn a_proof_makes_the_part_larger_for_as_long_as_it_holds() {
    let mut standing = known(4);
    assert_eq!(number(&standing, 0.2), (4, Why::Shares));
    assert!(standing.refused(2, at(0.3)), "it is news");
    let part = standing.part(at(0.4));
    assert_eq!((part.balancers, part.until, part.after), (3, Some(at(2.3)), 4));
    // Whoever does not look again in time has the part of all.
    assert_eq!((part.share(at(2.29)), part.share(at(2.3))), (1.0 / 3.0, 0.25));
    assert!(!standing.refused(2, at(0.9)), "it was known");
    assert_eq!(number(&standing, 2.8).0, 3, "it was renewed");
    // An answer that comes late is as old as its question.
    standing.refused(3, at(0.5));
    assert_eq!(number(&standing, 2.8).0, 3);
    assert_eq!(number(&standing, 2.9).0, 4);
}

#[test]
fn whoever_shows_itself_has_its_part_back_at_once() {
    let mut standing = known(4);
    standing.refused(2, at(0.3));
    standing.sign(at(0.5), 2);
    assert_eq!(number(&standing, 0.5).0, 4);
    // A question from before it showed itself is not answered by it.
    standing.refused(2, at(0.45));
    standing.refused(2, at(0.5));
    assert_eq!(number(&standing, 0.6).0, 4);
    standing.refused(2, at(0.7));
    assert_eq!(number(&standing, 0.8).0, 3, "it is gone again");
}

#[test]
fn one_that_woke_believes_nothing_that_it_believed() {
    let mut standing = known(4);
    standing.refused(2, at(0.3));
    standing.woke(true);
    assert_eq!(number(&standing, 0.5), (4, Why::Woken));
    standing.woke(false);
    assert_eq!(number(&standing, 0.5), (4, Why::Shares));
}

#[test]
fn a_twin_has_half() {
    let mut standing = known(4);
    standing.twin();
    assert_eq!(number(&standing, 0.5), (8, Why::Twin));
}

#[test]
fn where_lists_differ_the_longer_holds() {
    let mut standing = known(3);
    standing.spoke(at(0.3), 1, 7);
    assert_eq!(number(&standing, 0.3).0, 7);
    // Of one that is gone nothing counts, neither its part nor what it said.
    standing.refused(1, at(0.4));
    assert_eq!(number(&standing, 0.5).0, 2);
    // Who is added takes its part at once.
    standing.refused(1, at(5.0));
    standing.list(1..10);
    let part = standing.part(at(5.1));
    assert_eq!((part.balancers, part.after), (9, 10));
    standing.list([5]);
    assert_eq!(number(&standing, 5.2).0, 2, "who is removed for good leaves it");
    // Whoever is added to the list of one that has just started may hold a proof against it.
    let mut standing = known(2);
    standing.list(1..3);
    assert_eq!(number(&standing, 0.3), (0, Why::Waits(1)));
}

#[test]
fn questions_are_few_and_everyone_has_a_turn() {
    let times = Times { questions: 10, ..Times::default() };
    let mut standing = Standing::new(at(0.0), 1..31, times);
    assert_eq!(ask(&mut standing, 0.0, |key| key % 2 == 0).len(), 10);
    assert_eq!(ask(&mut standing, 1.9, |key| key % 2 == 0), Vec::<u32>::new(), "none is left");
    let mut asked: Vec<u32> = Vec::new();
    let mut now = 0.0;
    for _ in 0..2 {
        now += 2.0;
        asked.extend(ask(&mut standing, now, |key| key % 2 == 0));
    }
    asked.sort_unstable();
    asked.dedup();
    assert_eq!(asked.len(), 15, "{asked:?}");
    // The same one not before its time.
    let mut standing = known(3);
    assert_eq!(ask(&mut standing, 1.0, |_| true), [1, 2]);
    assert_eq!(ask(&mut standing, 1.49, |_| true), Vec::<u32>::new());
    assert_eq!(ask(&mut standing, 1.5, |_| true), [1, 2]);
}

/// Of a long list few are asked in any second, and each has its turn; of a short one all at once.
#[test]
fn questions_about_a_long_list_are_paced() {
    let times = Times { claim: Span(60 * S), ..Times::default() };
    let mut standing = Standing::new(at(0.0), 1..7600, times);
    let mut asked: Vec<(f64, u32)> = Vec::new();
    for step in 0..1000 {
        let now = f64::from(step) / 50.0;
        asked
            .extend(ask(&mut standing, now, |key| key % 19 == 0).into_iter().map(|key| (now, key)));
    }
    for (from, _) in &asked {
        let within = asked.iter().filter(|(now, _)| now >= from && *now < from + 1.0).count();
        assert!(within <= 32, "{within} from {from} on");
    }
    let mut who: Vec<u32> = asked.iter().map(|(_, key)| *key).collect();
    who.sort_unstable();
    who.dedup();
    assert_eq!(who.len(), 399, "each that is missing had its turn");
    let mut standing = Standing::new(at(0.0), 1..512, Times::default());
    assert_eq!(ask(&mut standing, 0.0, |_| true).len(), 511);
}

/// Parts of lists of any length never overflow, and are never more than all.
#[test]
fn a_part_is_never_more_than_all() {
    let mut rng = oorandom::Rand64::new(5);
    for _ in 0..2000 {
        let n = 1 + rng.rand_range(0..40) as u32;
        let mut standing =
            Standing::new(Time(0), 1..n, Times { claim: Span(S), ..Times::default() });
        let mut now = Time(0);
        for _ in 0..60 {
            now = now.plus(Span(rng.rand_range(0..400_000) as i64));
            let key = rng.rand_range(0..45) as u32;
            match rng.rand_range(0..5) {
                0 => standing.sign(now, key),
                1 => standing.spoke(now, key, rng.rand_range(0..65_536) as u16),
                2 => standing.woke(rng.rand_range(0..2) == 0),
                _ => {
                    standing.refused(key, Time(now.0 - rng.rand_range(0..1_500_000) as i64));
                }
            }
            let Part { balancers, until, after, why } = standing.part(now);
            assert!(after >= n && (balancers <= after), "{balancers} {after}");
            assert!(balancers > 0 || matches!(why, Why::Waits(_)));
            assert!(until.is_none_or(|until| until > now), "an end in the past");
            assert!(standing.next(now) > now, "it would be called for ever");
        }
    }
}
