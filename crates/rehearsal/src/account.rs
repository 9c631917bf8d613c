//! The account of a run, computed from the recorded facts: how each request ended, and every breach of a rule.

use std::collections::{HashMap, HashSet};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::script::{Idempotency, MS, S, Script};
use crate::timeline::Timeline;

/// What a client received for one try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// 200, with the answer to this request.
    Served,
    /// 200, with anything else.
    Wrong,
    /// 429 or 503.
    Refused,
    /// Any other status.
    Failed,
    /// The connection ended before a whole answer.
    Broken,
    /// No connection was established.
    Unreached,
    /// Nothing, until long after the deadline.
    Silent,
    /// The client left before it.
    Left,
}

/// One try of a client. Times in microseconds from the first arrival.
#[derive(Clone, Debug)]
pub struct Try {
    /// The request id; each try has its own.
    pub id: String,
    /// Index of the arrival that it belongs to.
    pub arrival: usize,
    /// The balancer that it was sent to.
    pub balancer: usize,
    /// When it was sent.
    pub sent: i64,
    /// When the last byte of its answer came, or it ended otherwise.
    pub ended: i64,
    /// What the client received.
    pub answer: Answer,
}

/// A period in which a balancer could not answer: from a kill until it listened again, or while stopped.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Which.
    pub balancer: usize,
    /// From when.
    pub from: i64,
    /// To when.
    pub to: i64,
}

/// An attempt that arrived at a node.
#[derive(Clone, Debug)]
pub struct Arrived {
    /// The id of the try.
    pub id: String,
    /// The node.
    pub node: usize,
    /// The balancer that sent it.
    pub from: usize,
    /// When its last byte left the balancer.
    pub at: i64,
}

/// A period in which a balancer's list said that a node drains or is gone.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// The balancer.
    pub balancer: usize,
    /// The node.
    pub node: usize,
    /// From when; the grace period is over by then.
    pub from: i64,
    /// To when.
    pub to: i64,
}

/// The load of a node at one time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeRow {
    /// When.
    pub at: i64,
    /// Work that it was sent since the previous row, as a share of what it could do in that time.
    pub sent: f64,
    /// Share of its full capacity that was available.
    pub present: f64,
    /// Requests in progress or queued.
    pub here: usize,
    /// Whether it was up.
    pub up: bool,
}

/// Everything that was recorded during a run.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// Time, class and zone of each arrival.
    pub arrivals: Vec<(i64, usize, usize)>,
    /// In the order in which they ended.
    pub tries: Vec<Try>,
    /// Of the balancers.
    pub outages: Vec<Outage>,
    /// At the nodes.
    pub arrived: Vec<Arrived>,
    /// Of the lists.
    pub drains: Vec<Drain>,
    /// How often each try with an effect ran, over all nodes.
    pub runs: HashMap<String, u32>,
    /// Of each node, over time.
    pub nodes: Vec<Vec<NodeRow>>,
    /// Peak load of each node while cold, in multiples of its capacity at that time.
    pub peaks: Vec<f64>,
    /// How often each node crashed from overload.
    pub falls: Vec<u32>,
    /// Crashes of balancers: which, when, and how.
    pub crashes: Vec<(usize, i64, String)>,
    /// Since when all running balancers agreed on the membership, up to the end.
    pub agreed: Option<i64>,
}

/// The outcome of an arrival, over all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served within its latency objective, counted from its arrival.
    Served,
    /// Served later.
    Late,
    /// Refused.
    Refused,
    /// Failed.
    Failed,
    /// Interrupted by the end or stop of a balancer.
    Caught,
    /// It found no balancer.
    Unreached,
    /// Its client left.
    Left,
    /// No answer in its time from a balancer that ran.
    Lost,
}

/// Arrivals by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// All.
    pub asked: u64,
    /// In time.
    pub served: u64,
    /// Too late.
    pub late: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Interrupted by the end or stop of a balancer.
    pub caught: u64,
    /// Found no balancer.
    pub unreached: u64,
    /// Left early.
    pub left: u64,
    /// Lost.
    pub lost: u64,
}

impl Count {
    fn add(&mut self, end: End) {
        self.asked += 1;
        *match end {
            End::Served => &mut self.served,
            End::Late => &mut self.late,
            End::Refused => &mut self.refused,
            End::Failed => &mut self.failed,
            End::Caught => &mut self.caught,
            End::Unreached => &mut self.unreached,
            End::Left => &mut self.left,
            End::Lost => &mut self.lost,
        } += 1;
    }

    /// Adds another.
    pub fn sum(&mut self, other: &Count) {
        let pairs = [
            (&mut self.asked, other.asked),
            (&mut self.served, other.served),
            (&mut self.late, other.late),
            (&mut self.refused, other.refused),
            (&mut self.failed, other.failed),
            (&mut self.caught, other.caught),
            (&mut self.unreached, other.unreached),
            (&mut self.left, other.left),
            (&mut self.lost, other.lost),
        ];
        pairs.into_iter().for_each(|(to, n)| *to += n);
    }

    /// Share served in time; 1 if nothing was asked.
    pub fn served_share(&self) -> f64 {
        self.share(self.served, 1.0)
    }

    /// Share refused.
    pub fn refused_share(&self) -> f64 {
        self.share(self.refused, 0.0)
    }

    fn share(&self, of: u64, none: f64) -> f64 {
        if self.asked == 0 { none } else { of as f64 / self.asked as f64 }
    }
}

/// Counts of rule breaches, with descriptions of the first cases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Breaches {
    /// No answer in its time.
    pub lost: u64,
    /// Ran more than once.
    pub doubled: u64,
    /// Refused, though it had run.
    pub refused_ran: u64,
    /// Sent on after its answer.
    pub after_end: u64,
    /// Sent to a draining node.
    pub drained: u64,
    /// An answer that no node made.
    pub invented: u64,
    /// The first cases.
    pub cases: Vec<String>,
}

/// Maximum number of cases that are described.
const MAX_CASES: usize = 20;

impl Breaches {
    fn note(&mut self, which: impl FnOnce(&mut Self) -> &mut u64, case: impl FnOnce() -> String) {
        *which(self) += 1;
        if self.cases.len() < MAX_CASES {
            self.cases.push(case());
        }
    }
}

/// The counts of one period, or of one balancer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Its name.
    pub name: String,
    /// From when, in microseconds.
    pub from: i64,
    /// To when.
    pub to: i64,
    /// By class.
    pub classes: Vec<Count>,
    /// Median and 99th percentile of the latency of served requests, late ones included, in microseconds.
    pub times: Option<(i64, i64)>,
}

impl Row {
    /// All classes.
    pub fn all(&self) -> Count {
        let mut all = Count::default();
        self.classes.iter().for_each(|c| all.sum(c));
        all
    }
}

/// The account of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// The script's name.
    pub script: String,
    /// The seed.
    pub seed: u64,
    /// The classes' names.
    pub classes: Vec<String>,
    /// By second of arrival.
    pub seconds: Vec<Row>,
    /// The script's phases, and the whole at the end.
    pub phases: Vec<Row>,
    /// By balancer of the last try.
    pub balancers: Vec<Row>,
    /// Of each node, over time.
    pub nodes: Vec<Vec<NodeRow>>,
    /// Peak load of a cold node, in multiples of its capacity at that time.
    pub cold_peak: f64,
    /// How often nodes crashed from overload.
    pub falls: u64,
    /// Descriptions of the crashes of balancers.
    pub crashes: Vec<String>,
    /// The steps of the timeline: time, description, and whether it ends a fault.
    #[serde(rename = "deeds")]
    pub steps: Vec<(i64, String, bool)>,
    /// Time from the last fault until service had recovered; `None` if it did not.
    pub back_after: Option<i64>,
    /// Time from the last step until the members of the fleet agreed, up to the end.
    #[serde(default)]
    pub agreed_after: Option<i64>,
    /// The share served before the first fault, which recovery is measured against.
    pub before: Option<f64>,
    /// Tries of clients for each arrival.
    pub tries: f64,
    /// Attempts at nodes for each arrival.
    pub attempts: f64,
    /// The rules.
    pub breaches: Breaches,
}

impl Account {
    /// The whole.
    pub fn whole(&self) -> Count {
        self.phases.last().map(Row::all).unwrap_or_default()
    }
}

/// Length of the windows in which recovery is measured.
const WINDOW: i64 = S / 2;
/// Number of good windows in a row that count as recovery: a single one may be chance.
const WINDOWS: usize = 2;

/// Whether a balancer's outage overlaps a time.
fn caught(script: &Script, facts: &Facts, balancer: usize, from: i64, to: i64) -> bool {
    let slack = script.machine.slack;
    let meets = |o: &&Outage| {
        o.balancer == balancer && o.from <= to.saturating_add(slack) && o.to >= from - slack
    };
    facts.outages.iter().any(|o| meets(&o))
}

/// The outcome of a try, for its client.
fn end_of(script: &Script, facts: &Facts, read: &HashSet<&str>, one: &Try) -> End {
    let (moment, class, _) = facts.arrivals[one.arrival];
    let class = &script.classes[class];
    let out = caught(script, facts, one.balancer, one.sent, one.ended);
    let overdue = one.ended - one.sent > class.deadline + script.machine.slack;
    match one.answer {
        Answer::Left => End::Left,
        // A try that arrived at a node had been read by a balancer, so its connection was established
        // whatever the client saw.
        Answer::Unreached if !read.contains(one.id.as_str()) => End::Unreached,
        Answer::Broken | Answer::Silent | Answer::Unreached if out => End::Caught,
        Answer::Broken | Answer::Silent | Answer::Unreached => End::Lost,
        _ if overdue && !out => End::Lost,
        _ if overdue => End::Caught,
        Answer::Served if one.ended - moment <= class.aim => End::Served,
        Answer::Served => End::Late,
        Answer::Refused => End::Refused,
        Answer::Failed | Answer::Wrong => End::Failed,
    }
}

fn breaches(script: &Script, facts: &Facts, ends: &[End]) -> Breaches {
    let mut breaches = Breaches::default();
    let slack = script.machine.slack;
    let mut by_id: HashMap<&str, &Try> = HashMap::with_capacity(facts.tries.len());
    for (one, end) in facts.tries.iter().zip(ends) {
        by_id.insert(&one.id, one);
        let class = &script.classes[facts.arrivals[one.arrival].1];
        let idempotency = class.idempotency == Idempotency::NonIdempotent;
        let describe = || {
            let (sent, ended) = (one.sent as f64 / 1e6, one.ended as f64 / 1e6);
            let (name, b) = (&class.name, one.balancer + 1);
            format!("{name} {} at b{b}, {sent:.3} to {ended:.3} s", one.id)
        };
        let ran = facts.runs.get(&one.id).copied().unwrap_or(0);
        if *end == End::Lost {
            breaches.note(|b| &mut b.lost, || format!("lost: {}: {:?}", describe(), one.answer));
        }
        if idempotency && ran > 1 {
            breaches
                .note(|b| &mut b.doubled, || format!("doubled: {} ran {ran} times", describe()));
        }
        if idempotency && ran > 0 && one.answer == Answer::Refused {
            breaches.note(|b| &mut b.refused_ran, || format!("refused and ran: {}", describe()));
        }
        let made_up = one.answer == Answer::Wrong
            || (one.answer == Answer::Served && idempotency && ran == 0);
        if made_up {
            breaches.note(|b| &mut b.invented, || format!("answer of no node: {}", describe()));
        }
    }
    for arrived in &facts.arrived {
        let place = || {
            let Arrived { id, node, from, at } = arrived;
            format!("{id} from b{} at n{}, {:.3} s", from + 1, node + 1, *at as f64 / 1e6)
        };
        if let Some(one) = by_id.get(arrived.id.as_str()) {
            let answered = matches!(
                one.answer,
                Answer::Served | Answer::Wrong | Answer::Refused | Answer::Failed
            );
            if answered && arrived.at > one.ended + slack {
                let case = || format!("sent on after its answer: {}", place());
                breaches.note(|b| &mut b.after_end, case);
            }
        }
        let drains = |d: &Drain| {
            (d.balancer, d.node) == (arrived.from, arrived.node)
                && arrived.at > d.from + slack
                && arrived.at < d.to
        };
        if facts.drains.iter().any(drains) {
            breaches.note(|b| &mut b.drained, || format!("sent to a draining node: {}", place()));
        }
    }
    breaches
}

/// Computes the account of a run.
pub fn account(script: &Script, timeline: &Timeline, seed: u64, facts: &Facts) -> Account {
    let read: HashSet<&str> = facts.arrived.iter().map(|a| a.id.as_str()).collect();
    let ends: Vec<End> = facts.tries.iter().map(|one| end_of(script, facts, &read, one)).collect();
    let rows = Rows { script, facts, deciding: deciding_tries(facts, &ends), ends: &ends };
    let seconds = (script.length + S - 1) / S;
    let by_second = (0..seconds).map(|s| rows.span(format!("{s}"), s * S, (s + 1) * S)).collect();
    let mut phases: Vec<Row> =
        script.phases.iter().map(|p| rows.span(p.name.clone(), p.from, p.to)).collect();
    phases.push(rows.span("whole".to_string(), 0, i64::MAX));
    let (before, back_after) = recovery(script, timeline, &rows);
    let asked = facts.arrivals.len().max(1) as f64;
    Account {
        script: script.name.clone(),
        seed,
        classes: script.classes.iter().map(|c| c.name.clone()).collect(),
        seconds: by_second,
        phases,
        balancers: rows.by_balancer(),
        nodes: facts.nodes.clone(),
        cold_peak: facts.peaks.iter().copied().fold(0.0, f64::max),
        falls: facts.falls.iter().map(|n| u64::from(*n)).sum(),
        crashes: facts
            .crashes
            .iter()
            .map(|(b, at, how)| format!("b{} at {:.3} s: {how}", b + 1, *at as f64 / 1e6))
            .collect(),
        steps: timeline.steps.iter().map(|s| (s.at, s.action.to_string(), s.ends)).collect(),
        back_after,
        agreed_after: facts.agreed.map(|at| at - timeline.faults().map_or(0, |(_, last)| last)),
        before,
        tries: facts.tries.len() as f64 / asked,
        attempts: facts.arrived.len() as f64 / asked,
        breaches: breaches(script, facts, &ends),
    }
}

/// The try that decides how each arrival ended: the last one, except that a served or lost one stays.
fn deciding_tries(facts: &Facts, ends: &[End]) -> Vec<Option<usize>> {
    let mut deciding: Vec<Option<usize>> = vec![None; facts.arrivals.len()];
    for (i, one) in facts.tries.iter().enumerate() {
        let is_final = |end: End| matches!(end, End::Served | End::Lost);
        let decides = &mut deciding[one.arrival];
        if decides.is_none_or(|before| !is_final(ends[before])) {
            *decides = Some(i);
        }
    }
    deciding
}

/// Counts arrivals into rows.
struct Rows<'a> {
    script: &'a Script,
    facts: &'a Facts,
    ends: &'a [End],
    /// The try that decides how each arrival ended.
    deciding: Vec<Option<usize>>,
}

impl Rows<'_> {
    /// The arrivals from one time to another.
    fn span(&self, name: String, from: i64, to: i64) -> Row {
        // Arrivals are sorted by time.
        let before = |at: i64| self.facts.arrivals.partition_point(|arrival| arrival.0 < at);
        self.row(name, (from, to), before(from)..before(to))
    }

    /// The arrivals that each balancer answered last.
    fn by_balancer(&self) -> Vec<Row> {
        let mut arrivals = vec![Vec::new(); self.script.fleet.balancers];
        for (arrival, deciding) in self.deciding.iter().enumerate() {
            if let Some(i) = *deciding {
                arrivals[self.facts.tries[i].balancer].push(arrival);
            }
        }
        let span = (0, self.script.length);
        let balancers = arrivals.into_iter().enumerate();
        balancers.map(|(b, arrivals)| self.row(format!("b{}", b + 1), span, arrivals)).collect()
    }

    fn row(
        &self,
        name: String,
        (from, to): (i64, i64),
        arrivals: impl IntoIterator<Item = usize>,
    ) -> Row {
        let mut classes = vec![Count::default(); self.script.classes.len()];
        let mut times = Histogram::<u64>::new(3).ok();
        for arrival in arrivals {
            let (moment, class, _) = self.facts.arrivals[arrival];
            let deciding = self.deciding[arrival];
            // Without a try there was no balancer to connect to.
            let end = deciding.map_or(End::Unreached, |i| self.ends[i]);
            classes[class].add(end);
            let one = deciding.map(|i| &self.facts.tries[i]);
            if let (End::Served | End::Late, Some(one), Some(times)) = (end, one, &mut times) {
                // The histogram resizes itself: no value is out of its bounds.
                let _ = times.record((one.ended - moment).max(1) as u64);
            }
        }
        let quantiles = |times: Histogram<u64>| {
            [0.5, 0.99].map(|quantile| times.value_at_quantile(quantile) as i64).into()
        };
        let times = times.filter(|times| !times.is_empty()).map(quantiles);
        Row { name, from, to, classes, times }
    }
}

/// The share of served requests before the first fault, and how long after the last one it was back.
fn recovery(script: &Script, timeline: &Timeline, rows: &Rows<'_>) -> (Option<f64>, Option<i64>) {
    let Some((first, last)) = timeline.faults() else { return (None, None) };
    let share = |from: i64, to: i64| rows.span(String::new(), from, to).all().served_share();
    // The first second is left out: connections are being opened.
    let from = if first >= 2 * S { S } else { 0 };
    if first <= from {
        return (None, None);
    }
    let before = share(from, first);
    let mut good = 0;
    let mut at = last;
    while at + WINDOW <= script.length {
        let back = share(at, at + WINDOW) >= script.expect.back_to * before;
        good = if back { good + 1 } else { 0 };
        if good == WINDOWS {
            return (Some(before), Some(at + WINDOW - last - WINDOWS as i64 * WINDOW));
        }
        at += WINDOW;
    }
    (Some(before), None)
}

/// Microseconds as milliseconds, for messages.
pub(crate) fn ms(us: i64) -> f64 {
    us as f64 / MS as f64
}
