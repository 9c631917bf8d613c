//! Every interleaving of three members to a depth: starts, ends, questions, answers, words and time, each
//! datagram delivered at any later moment or never. The parts add up to one at most in every state, those
//! told last and not looked at again included, as a process that is stopped has them.

use std::collections::HashSet;
use std::fmt::Write as _;
use std::hash::{DefaultHasher, Hasher};

use sableloom_capacity_share::{CapacityShare, Share, Timing};
use sableloom_types::{Span, Time};

const N: usize = 3;
/// Datagrams on the way at most.
const ON_THE_WAY: usize = 3;

/// A proof holds for two steps of time, and one that starts waits for three.
fn times() -> Timing {
    let times = Timing {
        lease: Span(2),
        query_interval: Span(0),
        probe_interval: Span(0),
        max_queries: 100,
        clock_drift: 0.2,
    };
    assert_eq!(times.start_wait(), Span(3));
    times
}

#[derive(Clone, Debug)]
struct Member {
    standing: CapacityShare,
    told: Share,
    life: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Datagram {
    /// To a member, whatever process that is by then.
    Call { from: usize, life: u32, to: usize },
    /// The answer, to this process alone.
    Word { from: usize, to: usize, meant: u32 },
    /// Whether anybody is there.
    Knock { from: usize, life: u32, to: usize, asked: i64 },
    /// Nobody is.
    Absent { to: usize, life: u32, of: usize, asked: i64 },
}

#[derive(Clone, Debug)]
struct State {
    now: i64,
    lives: u32,
    members: [Option<Member>; N],
    way: Vec<Datagram>,
}

/// What is left out, to see that the search finds what then goes wrong.
#[derive(Clone, Copy, PartialEq)]
enum Without {
    Nothing,
    /// A process acts as soon as it has started.
    Waiting,
    /// What was told last holds for good.
    Ends,
    /// A call from a member does not end the proof that it is gone.
    Signs,
}

impl State {
    fn now(&self) -> Time {
        Time(self.now)
    }

    fn starts(&mut self, i: usize) {
        self.lives += 1;
        let others = (0..N as u32).filter(|k| *k != i as u32);
        let standing = CapacityShare::new(self.now(), others, times());
        let told = standing.share(self.now());
        self.members[i] = Some(Member { standing, told, life: self.lives });
    }

    /// The process of this life, if it still runs, is called and looks at its part.
    fn with(&mut self, i: usize, life: Option<u32>, what: impl FnOnce(&mut CapacityShare, Time)) {
        let now = self.now();
        let member = self.members[i].as_mut();
        if let Some(member) = member.filter(|m| life.is_none_or(|life| m.life == life)) {
            what(&mut member.standing, now);
            member.told = member.standing.share(now);
        }
    }

    fn arrives(&mut self, datagram: Datagram, without: Without) {
        match datagram {
            Datagram::Call { from, life, to } => {
                if self.members[to].is_some() {
                    self.with(to, None, |standing, now| {
                        if without != Without::Signs {
                            standing.heard(now, from as u32);
                        }
                    });
                    self.way.push(Datagram::Word { from: to, to: from, meant: life });
                }
            }
            Datagram::Word { from, to, meant } => {
                let n = N as u16;
                self.with(to, Some(meant), |standing, now| {
                    standing.acknowledged(now, from as u32, n)
                });
                self.with(to, None, |standing, now| standing.heard(now, from as u32));
            }
            Datagram::Knock { from, life, to, asked } => {
                if self.members[to].is_none() {
                    self.way.push(Datagram::Absent { to: from, life, of: to, asked });
                }
            }
            Datagram::Absent { to, life, of, asked } => {
                let asked = Time(asked);
                self.with(to, Some(life), |standing, _| {
                    standing.proved_absent(of as u32, asked);
                });
            }
        }
    }

    /// All states that one step leads to.
    fn next(&self, without: Without) -> Vec<State> {
        let mut all = Vec::new();
        let mut step = |change: &dyn Fn(&mut State)| {
            let mut next = self.clone();
            change(&mut next);
            if next.way.len() <= ON_THE_WAY {
                next.way.sort();
                all.push(next);
            }
        };
        step(&|s| s.now += 1);
        for i in 0..N {
            let Some(member) = &self.members[i] else {
                step(&|s| s.starts(i));
                continue;
            };
            step(&|s| s.members[i] = None);
            // It is called by its timer.
            step(&|s| s.with(i, None, |_, _| {}));
            let life = member.life;
            // All at once, as one that has just started does.
            let others = (0..N).filter(|to| *to != i);
            let calls: Vec<_> = others.map(|to| Datagram::Call { from: i, life, to }).collect();
            step(&|s| s.way.extend(calls.clone()));
            for to in (0..N).filter(|to| *to != i) {
                step(&|s| s.way.push(Datagram::Call { from: i, life, to }));
                step(&|s| s.way.push(Datagram::Knock { from: i, life, to, asked: s.now }));
            }
        }
        for (k, datagram) in self.way.iter().enumerate() {
            step(&|s| {
                s.way.remove(k);
                s.arrives(datagram.clone(), without);
            });
        }
        all
    }

    fn sum(&self, without: Without) -> f64 {
        let share = |member: &Member| match without {
            Without::Ends => Share { until: None, ..member.told }.fraction(self.now()),
            Without::Waiting if member.told.balancers == 0 => {
                1.0 / f64::from(member.told.balancers_after)
            }
            _ => member.told.fraction(self.now()),
        };
        self.members.iter().flatten().map(share).sum()
    }

    fn hash(&self) -> u64 {
        struct Text(DefaultHasher);
        impl std::fmt::Write for Text {
            fn write_str(&mut self, text: &str) -> std::fmt::Result {
                self.0.write(text.as_bytes());
                Ok(())
            }
        }
        let mut text = Text(DefaultHasher::new());
        let _ = write!(text, "{self:?}");
        text.0.finish()
    }
}

/// All three have spoken to one another, long ago.
fn settled() -> State {
    let mut state = State { now: 0, lives: 0, members: [const { None }; N], way: Vec::new() };
    (0..N).for_each(|i| state.starts(i));
    state.now = 10;
    for (i, k) in (0..N * N).map(|ik| (ik / N, ik % N)).filter(|(i, k)| i != k) {
        state.with(i, None, |standing, now| standing.acknowledged(now, k as u32, N as u16));
    }
    assert!((state.sum(Without::Nothing) - 1.0).abs() < 1e-9);
    state
}

/// The same, and then one has died, which both others know for certain.
fn one_absent() -> State {
    let mut state = settled();
    state.members[2] = None;
    state.now += 1;
    let asked = state.now();
    for i in 0..2 {
        state.with(i, None, |standing, _| assert!(standing.proved_absent(2, asked)));
    }
    assert!((state.sum(Without::Nothing) - 1.0).abs() < 1e-9, "two share");
    state
}

/// How many states there are to this depth, or the first in which the parts are too much.
fn search(from: State, depth: usize, without: Without) -> Result<usize, Box<State>> {
    let mut seen = HashSet::from([from.hash()]);
    let mut level = vec![from];
    for _ in 0..depth {
        let mut next_level = Vec::new();
        for state in &level {
            for next in state.next(without) {
                if !seen.insert(next.hash()) {
                    continue;
                }
                if next.sum(without) > 1.0 + 1e-9 {
                    return Err(Box::new(next));
                }
                next_level.push(next);
            }
        }
        level = next_level;
    }
    Ok(seen.len())
}

#[test]
fn three_that_are_settled_never_have_too_much_within_six_steps() {
    let states = search(settled(), 6, Without::Nothing);
    let states = states.unwrap_or_else(|state| panic!("too much: {state:#?}"));
    println!("{states} states");
    assert!(states > 100_000, "{states}");
}

/// The same from after the death of one, the question about it answered: deeper into what matters.
#[test]
fn three_of_which_one_is_proved_absent_never_have_too_much_within_six_steps() {
    let state = one_absent();
    let states = search(state, 6, Without::Nothing);
    let states = states.unwrap_or_else(|state| panic!("too much: {state:#?}"));
    println!("{states} states");
    assert!(states > 100_000, "{states}");
}

/// The search finds what goes wrong without each of the rules.
#[test]
fn without_a_rule_the_search_finds_too_much() {
    for without in [Without::Waiting, Without::Ends, Without::Signs] {
        assert!(search(one_absent(), 6, without).is_err());
    }
}
