//! The sums that the times of a watch have to keep, for many settings.

use sableloom_discovery_schedule::*;
use sableloom_types::{Span, Time};

fn options(pushed: bool, poll_interval: i64, grace: i64, position: u32, balancers: u32) -> Options {
    Options {
        pushed,
        poll_interval: Span(poll_interval * 1000),
        grace: Span(grace * 1000),
        position,
        balancers,
    }
}

#[test]
fn silence_is_known_early_enough_for_an_answer_where_discovery_is_asked() {
    for poll_interval in [500, 1000, 5000, 10_000, 60_000, 3_600_000] {
        for grace in [0, 500, 1000, 5000] {
            let times = Times::of(&options(false, poll_interval, grace, 0, 300));
            assert!(
                times.wait <= Span(10_000_000),
                "what is silent hides news no longer than this"
            );
            // 6 s and the grace, less the longest short wait, 0.25 s of slack and 0.5 s to connect.
            let least = if grace == 500 { 1_400_000 } else { 1_520_000 };
            assert!(
                times.left_after_silence() >= Span(least),
                "{poll_interval} {grace}: {times:?}"
            );
            assert!(times.hedge < times.left_after_silence(), "a second call has time as well");
        }
    }
}

#[test]
fn what_an_agent_gets_at_its_return_is_here_within_the_grace_of_a_drain() {
    for grace in [0, 300, 500, 1000, 5000] {
        let times = Times::of(&options(true, 0, grace, 0, 300));
        let part = if grace == 0 { 1000 } else { grace } * 1000 / 5;
        assert!(times.left_after_return() >= Span(part.min(250_000)), "{grace}: {times:?}");
        assert!(times.left_after_silence() >= Span(4_000_000), "{grace}: {times:?}");
    }
}

#[test]
fn the_waits_of_a_fleet_end_one_by_one_whenever_they_began() {
    for balancers in [1, 2, 6, 300, 350, 1024] {
        let mut ends = Vec::new();
        for position in 0..balancers {
            let times = Times::of(&options(false, 10_000, 1000, position, balancers));
            let mut watch = Watch::new(times, u64::from(position), false);
            // All begin in one moment.
            let now = Time(1_796_173_636_695_000 + i64::from(position % 3));
            assert_eq!(watch.call(now).wait, Some(Span(1000)), "asks before it watches");
            watch.ended(now, Ended::Answered { news: true });
            let wait = watch.call(now).wait.expect("a watch");
            assert!(wait > Span(0) && wait < Span(10_600_000), "{wait:?}");
            let end = now.plus(wait);
            ends.push(end.0.rem_euclid(10_000_000));
            // The next one takes the whole period.
            watch.ended(end, Ended::Answered { news: false });
            assert_eq!(watch.call(end).wait, Some(Span(10_000_000)));
        }
        ends.sort_unstable();
        ends.dedup();
        assert_eq!(ends.len(), balancers as usize, "no two end at once");
        let least = ends.windows(2).map(|w| w[1] - w[0]).min().unwrap_or(10_000_000);
        assert!(least >= 10_000_000 / i64::from(balancers) - 1, "{balancers}: {least} us apart");
    }
}

fn at(ms: i64) -> Time {
    Time(ms * 1000)
}

fn asked() -> Watch {
    let mut watch = Watch::new(Times::of(&options(false, 10_000, 1000, 0, 1)), 1, false);
    watch.call(at(0));
    watch.ended(at(0), Ended::Answered { news: false });
    watch
}

#[test]
fn a_silent_watch_is_asked_anew_at_once_and_owed_until_the_page_says() {
    let mut watch = asked();
    let call = watch.call(at(0));
    assert_eq!((call.wait, call.until), (Some(Span(10_000_000)), at(10_250)));
    assert_eq!(watch.state(at(10_250)), State::Watching);
    watch.ended(at(10_250), Ended::Silent);
    assert_eq!(watch.state(at(10_250)), State::Owed);
    assert_eq!(watch.due(at(10_250)), at(10_250));
    let call = watch.call(at(10_250));
    assert_eq!((call.wait, call.hedge), (Some(Span(1000)), Some(Time(11_241_250))));
    // Told at 12 s, and a second of grace.
    assert_eq!(watch.state(at(12_999)), State::Owed);
    assert_eq!(watch.state(at(13_000)), State::Blind);
    watch.ended(at(13_000), Ended::Answered { news: true });
    assert_eq!(watch.state(at(13_000)), State::Watching);
}

#[test]
fn what_is_owed_is_asked_for_again_soon_and_what_is_not_more_and_more_rarely() {
    let longest = |watch: &mut Watch, now: i64| {
        watch.call(at(now));
        watch.ended(at(now), Ended::Failed);
        watch.due(at(now)).since(at(now)).0 / 1000
    };
    let mut watch = asked();
    let rests: Vec<_> = (0..5).map(|i| longest(&mut watch, i * 10_000)).collect();
    assert!(
        rests.iter().zip([1000, 2000, 4000, 4000, 4000]).all(|(r, most)| *r <= most),
        "{rests:?}"
    );
    assert!(rests[4] > 250);
    let mut watch = asked();
    watch.call(at(0));
    watch.ended(at(10_250), Ended::Silent);
    let rests: Vec<_> = (0..5).map(|i| longest(&mut watch, 10_250 + i * 300)).collect();
    assert!(rests.iter().all(|r| (50..=250).contains(r)), "{rests:?}");
    // Its time is over: a service that is gone is not asked four times a second by everyone.
    assert!(longest(&mut watch, 13_500) > 250);
}

#[test]
fn after_a_move_the_whole_list_is_owed_in_the_time_of_the_page() {
    let mut watch = asked();
    watch.call(at(0));
    watch.moved(at(5000));
    assert_eq!(watch.state(at(9_999)), State::Owed);
    assert_eq!(watch.state(at(10_000)), State::Blind);
    let call = watch.call(at(5000));
    assert_eq!((call.wait, call.hedge), (None, None), "no second call: all move at once");
    watch.ended(at(5100), Ended::Answered { news: true });
    assert_eq!(watch.state(at(5100)), State::Watching);
}

#[test]
fn a_service_that_answers_at_once_all_the_time_is_not_called_in_a_tight_loop() {
    for news in [false, true] {
        let mut watch = asked();
        let (mut now, mut calls) = (0, 0);
        while now < 10_000 {
            watch.call(at(now));
            now += 1;
            watch.ended(at(now), Ended::Answered { news });
            let rest = watch.due(at(now)).since(at(now));
            assert!(rest < GOES_ON_WITHIN, "the watch goes on");
            now += rest.0 / 1000;
            calls += 1;
        }
        assert!(calls < 110, "{calls} in 10 s");
    }
}

/// A balancer of a fleet that starts in one moment at a service that takes this long for a call of each, in
/// ms: the wait of a later call.
fn later_wait(position: u32, balancers: u32, all: i64) -> i64 {
    let times = Times::of(&options(false, 10_000, 1000, position, balancers));
    let mut watch = Watch::new(times, 1, false);
    watch.begin(at(0));
    let due = watch.due(at(0));
    watch.call(due);
    let turn = Time(all * 1000 * i64::from(position + 1) / i64::from(balancers));
    watch.ended(due.max(turn), Ended::Answered { news: false });
    // The first waits lead to where all of this balancer's end.
    let mut now = at(20_000);
    for _ in 0..3 {
        now = now.plus(watch.call(now).wait.expect("a watch"));
        watch.ended(now, Ended::Answered { news: false });
    }
    watch.call(now).wait.expect("a watch").0 / 1000
}

#[test]
fn waits_are_short_at_a_service_that_can_answer_all_that_find_out_and_long_at_others() {
    for balancers in [1, 2, 6, 300, 1024] {
        for position in [0, balancers / 2, balancers - 1] {
            for (all, wait) in
                [(0, 4500), (2000, 4500), (5000, 4500), (6000, 10_000), (8000, 10_000)]
            {
                let came = later_wait(position, balancers, all);
                assert_eq!(came, wait, "{position} of {balancers}, {all} ms for all");
            }
        }
    }
    // One that has a service to itself, as far as it can tell after a move, assumes that it was the first.
    for (took, short) in [(10, true), (2000, false)] {
        let mut watch = Watch::new(Times::of(&options(false, 10_000, 1000, 5, 6)), 1, false);
        watch.moved(at(0));
        watch.call(at(0));
        watch.ended(at(took), Ended::Answered { news: false });
        watch.call(at(20_000));
        watch.ended(at(21_000), Ended::Answered { news: false });
        let wait = watch.call(at(21_000)).wait.expect("a watch");
        assert_eq!(wait <= Span(4_725_000), short, "{took} ms: {wait:?}");
    }
}

#[test]
fn what_a_failed_call_misses_is_owed_in_six_seconds_and_the_grace_for_any_time_of_asking() {
    for poll_interval in [1000, 10_000, 60_000, 3_600_000] {
        let mut watch = Watch::new(Times::of(&options(false, poll_interval, 1000, 0, 6)), 1, false);
        let mut now = at(0);
        for _ in 0..20 {
            watch.call(now);
            watch.ended(now, Ended::Failed);
            let rest = watch.due(now).since(now);
            assert!(rest <= Span(1_000_000), "a service that came back is called: {rest:?}");
            assert_eq!(watch.state(at(6_999)), State::Owed);
            now = watch.due(now);
        }
        assert_eq!(watch.state(at(7_000)), State::Blind, "told at 6 s, and a second of grace");
    }
}

#[test]
fn a_service_that_takes_longer_than_a_turn_is_heard_the_next_time() {
    let mut watch = Watch::new(Times::of(&options(false, 10_000, 1000, 0, 1)), 1, false);
    assert_eq!(watch.call(at(0)).until, at(5_000));
    watch.ended(at(5_000), Ended::Silent);
    let now = watch.due(at(5_000));
    assert_eq!(watch.call(now).until.since(now), Span(10_000_000));
}
