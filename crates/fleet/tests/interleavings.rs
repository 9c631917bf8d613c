//! Every interleaving of three members to a depth: starts, ends, absence queries, their answers, pings, acks and time,
//! each datagram delivered at any later time or never. The shares add up to one at most in every state, those that were
//! published last and not looked at again included, as a stopped process has them.

use std::collections::HashSet;
use std::fmt::Write as _;
use std::hash::{DefaultHasher, Hasher};

use sableloom_capacity_share::{CapacityShare, Share, Timing};
use sableloom_types::{Span, Time};

const N: usize = 3;
/// Datagrams in flight at most.
const MAX_IN_FLIGHT: usize = 3;

/// A proof holds for two steps of time, and a process that starts waits for three.
fn times() -> Timing {
    let times = Timing {
        lease: Span(2),
        query_interval: Span(0),
        probe_interval: Span(0),
        max_queries_per_lease: 100,
        clock_drift: 0.2,
    };
    assert_eq!(times.start_wait(), Span(3));
    times
}

#[derive(Clone, Debug)]
struct Member {
    capacity_share: CapacityShare,
    published: Share,
    process: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Datagram {
    /// To a member, whatever process that is by then.
    Ping { from: usize, process: u32, to: usize },
    /// The answer, to this process alone.
    Ack { from: usize, to: usize, meant: u32 },
    /// Whether anybody is there.
    AbsenceQuery { from: usize, process: u32, to: usize, queried: i64 },
    /// Nobody is.
    Absent { to: usize, process: u32, of: usize, queried: i64 },
}

#[derive(Clone, Debug)]
struct State {
    now: i64,
    processes: u32,
    members: [Option<Member>; N],
    in_flight: Vec<Datagram>,
}

/// A rule that is left out, to see that the search finds the violation.
#[derive(Clone, Copy, PartialEq)]
enum Without {
    Nothing,
    /// A process acts as soon as it has started.
    Waiting,
    /// A published share never expires.
    Expiry,
    /// A ping from a member does not end the proof that it is absent.
    EndingProofs,
}

impl State {
    fn now(&self) -> Time {
        Time(self.now)
    }

    fn start(&mut self, i: usize) {
        self.processes += 1;
        let others = (0..N as u32).filter(|k| *k != i as u32);
        let share = CapacityShare::new(self.now(), others, times());
        let published = share.share(self.now());
        self.members[i] =
            Some(Member { capacity_share: share, published, process: self.processes });
    }

    /// Calls this process, if it still runs, and publishes its share.
    fn with(
        &mut self,
        i: usize,
        process: Option<u32>,
        what: impl FnOnce(&mut CapacityShare, Time),
    ) {
        let now = self.now();
        let member = self.members[i].as_mut();
        if let Some(member) = member.filter(|m| process.is_none_or(|process| m.process == process))
        {
            what(&mut member.capacity_share, now);
            member.published = member.capacity_share.share(now);
        }
    }

    fn deliver(&mut self, datagram: Datagram, without: Without) {
        match datagram {
            Datagram::Ping { from, process, to } => {
                if self.members[to].is_some() {
                    self.with(to, None, |share, now| {
                        if without != Without::EndingProofs {
                            share.datagram_received(now, from as u32);
                        }
                    });
                    self.in_flight.push(Datagram::Ack { from: to, to: from, meant: process });
                }
            }
            Datagram::Ack { from, to, meant } => {
                let n = N as u16;
                self.with(to, Some(meant), |share, now| share.acknowledged(now, from as u32, n));
                self.with(to, None, |share, now| share.datagram_received(now, from as u32));
            }
            Datagram::AbsenceQuery { from, process, to, queried } => {
                if self.members[to].is_none() {
                    self.in_flight.push(Datagram::Absent { to: from, process, of: to, queried });
                }
            }
            Datagram::Absent { to, process, of, queried } => {
                let queried = Time(queried);
                self.with(to, Some(process), |share, _| {
                    share.proved_absent(of as u32, queried);
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
            if next.in_flight.len() <= MAX_IN_FLIGHT {
                next.in_flight.sort();
                all.push(next);
            }
        };
        step(&|s| s.now += 1);
        for i in 0..N {
            let Some(member) = &self.members[i] else {
                step(&|s| s.start(i));
                continue;
            };
            step(&|s| s.members[i] = None);
            // Its timer fires.
            step(&|s| s.with(i, None, |_, _| {}));
            let process = member.process;
            // All at once, as a process that has just started does.
            let others = (0..N).filter(|to| *to != i);
            let pings: Vec<_> = others.map(|to| Datagram::Ping { from: i, process, to }).collect();
            step(&|s| s.in_flight.extend(pings.clone()));
            for to in (0..N).filter(|to| *to != i) {
                step(&|s| s.in_flight.push(Datagram::Ping { from: i, process, to }));
                step(&|s| {
                    s.in_flight.push(Datagram::AbsenceQuery {
                        from: i,
                        process,
                        to,
                        queried: s.now,
                    })
                });
            }
        }
        for (k, datagram) in self.in_flight.iter().enumerate() {
            step(&|s| {
                s.in_flight.remove(k);
                s.deliver(datagram.clone(), without);
            });
        }
        all
    }

    fn sum(&self, without: Without) -> f64 {
        let share = |member: &Member| match without {
            Without::Expiry => Share { until: None, ..member.published }.fraction(self.now()),
            Without::Waiting if member.published.balancers == 0 => {
                1.0 / f64::from(member.published.balancers_after)
            }
            _ => member.published.fraction(self.now()),
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

/// All three have acknowledged each other, long ago.
fn settled() -> State {
    let mut state =
        State { now: 0, processes: 0, members: [const { None }; N], in_flight: Vec::new() };
    (0..N).for_each(|i| state.start(i));
    state.now = 10;
    for (i, k) in (0..N * N).map(|ik| (ik / N, ik % N)).filter(|(i, k)| i != k) {
        state.with(i, None, |share, now| share.acknowledged(now, k as u32, N as u16));
    }
    assert!((state.sum(Without::Nothing) - 1.0).abs() < 1e-9);
    state
}

/// The same, and then one has ended, which is proved to both others.
fn one_absent() -> State {
    let mut state = settled();
    state.members[2] = None;
    state.now += 1;
    let queried = state.now();
    for i in 0..2 {
        state.with(i, None, |share, _| assert!(share.proved_absent(2, queried)));
    }
    assert!((state.sum(Without::Nothing) - 1.0).abs() < 1e-9, "two share");
    state
}

/// How many states there are to this depth, or the first in which the shares exceed one.
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
fn shares_of_three_settled_members_never_exceed_one_within_six_steps() {
    let states = search(settled(), 6, Without::Nothing);
    let states = states.unwrap_or_else(|state| panic!("too much: {state:#?}"));
    println!("{states} states");
    assert!(states > 100_000, "{states}");
}

/// The same from a state with a proof of absence, which is deeper into what matters.
#[test]
fn shares_never_exceed_one_within_six_steps_after_a_proof_of_absence() {
    let state = one_absent();
    let states = search(state, 6, Without::Nothing);
    let states = states.unwrap_or_else(|state| panic!("too much: {state:#?}"));
    println!("{states} states");
    assert!(states > 100_000, "{states}");
}

/// The search finds what goes wrong without each of the rules.
#[test]
fn without_a_rule_the_search_finds_too_much() {
    for without in [Without::Waiting, Without::Expiry, Without::EndingProofs] {
        assert!(search(one_absent(), 6, without).is_err());
    }
}
