//! Expands the events of a script into single steps at definite times, with all random choices drawn.

use std::fmt;

use oorandom::Rand64;
use sableloom_emulator::Fault;

use crate::link::{LinkQuality, LinkState};
use crate::script::{Condition, Event, EventAction, Group, Pick, RetainedState, Role, S, Script};

/// An action on a single process, node or link. Balancers and nodes are numbered from 0.
#[derive(Clone, Debug, PartialEq)]
pub enum StepAction {
    /// SIGKILL.
    Kill(usize),
    /// SIGTERM.
    Term(usize),
    /// All of these are killed at once.
    PowerLoss(Vec<usize>, RetainedState),
    /// Start, with another program if one is named.
    Start(usize, Option<String>),
    /// SIGSTOP.
    Freeze(usize),
    /// SIGCONT.
    Thaw(usize),
    /// SIGHUP.
    HangUp(usize),
    /// The configuration is made invalid or valid again, and SIGHUP is sent.
    Site(usize, bool),
    /// A second process of the same name.
    Twin(usize),
    /// Updates of the list are held back, or no longer.
    Stale(usize, bool),
    /// The list is truncated, or whole again.
    HalfList(usize, bool),
    /// Delay of its list updates, from and to, in microseconds.
    ListLate(usize, (i64, i64)),
    /// Offset of the clock of its list's source, in microseconds.
    Clock(usize, i64),
    /// Offset of the wall clock that its process reads, from its next start on, in microseconds.
    WallClock(usize, i64),
    /// The node is killed.
    NodeStop(usize),
    /// The node starts, cold.
    NodeStart(usize),
    /// The node makes no progress for so many microseconds.
    NodePause(usize, i64),
    /// Injects a fault, for one class or for all.
    NodeFault(usize, Option<usize>, Fault),
    /// Sets the share of its cores that its neighbours leave it.
    NodeShare(usize, f64),
    /// The list says that it drains, or serves.
    NodeDrain(usize, bool),
    /// The list names it, or does not.
    NodeListed(usize, bool),
    /// A link between a balancer and a node.
    Link {
        /// The balancer.
        balancer: usize,
        /// The node.
        node: usize,
        /// Direction from the balancer, if it changes.
        there: Option<LinkQuality>,
        /// Direction from the node, if it changes.
        back: Option<LinkQuality>,
    },
    /// One direction of a link between two balancers.
    Peers {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
        /// Its quality from now on.
        quality: LinkQuality,
    },
    /// The load changes. Arrivals are drawn beforehand, so this serves the report only.
    Load(String),
}

/// An action and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When, in microseconds from the first arrival.
    pub at: i64,
    /// The condition that it waits for then.
    pub when: Option<Condition>,
    /// What is done.
    pub action: StepAction,
    /// Whether it ends a fault, or begins one.
    pub ends: bool,
    /// Shared by the step that begins a fault and the one that ends it: if the first is delayed by its
    /// condition, the second is delayed by as much.
    pub pair: Option<usize>,
}

/// All steps of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Timeline {
    /// Sorted by time.
    pub steps: Vec<Step>,
    /// The members of each group.
    pub groups: Vec<Vec<usize>>,
}

impl Timeline {
    /// Times of the first and the last step.
    pub fn faults(&self) -> Option<(i64, i64)> {
        Some((self.steps.first()?.at, self.steps.last()?.at))
    }
}

fn quality(f: &mut fmt::Formatter<'_>, name: &str, q: &LinkQuality) -> fmt::Result {
    match q.state {
        LinkState::Silent => return write!(f, " {name} silent"),
        LinkState::Cut => return write!(f, " {name} cut"),
        LinkState::Open if *q == LinkQuality::default() => return write!(f, " {name} open"),
        LinkState::Open => write!(f, " {name}")?,
    }
    if q.delay > 0 {
        write!(f, " delay {} us", q.delay)?;
    }
    if q.jitter > 0 {
        write!(f, " jitter {} us", q.jitter)?;
    }
    let shares = [
        ("loss", q.loss),
        ("doubled", q.doubled),
        ("reordered", q.reordered),
        ("breaks", q.breaks),
    ];
    for (what, share) in shares {
        if share > 0.0 {
            write!(f, " {what} {share}")?;
        }
    }
    q.rate.map_or(Ok(()), |rate| write!(f, " {rate} bytes/s"))
}

impl fmt::Display for StepAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let on = |on: bool| if on { "on" } else { "off" };
        match self {
            StepAction::Kill(b) => write!(f, "kill b{}", b + 1),
            StepAction::Term(b) => write!(f, "term b{}", b + 1),
            StepAction::PowerLoss(all, retained) => {
                let names: Vec<String> = all.iter().map(|b| format!("b{}", b + 1)).collect();
                write!(f, "power-loss {} keep {retained:?}", names.join(" "))
            }
            StepAction::Start(b, None) => write!(f, "start b{}", b + 1),
            StepAction::Start(b, Some(binary)) => write!(f, "start b{} as {binary}", b + 1),
            StepAction::Freeze(b) => write!(f, "freeze b{}", b + 1),
            StepAction::Thaw(b) => write!(f, "thaw b{}", b + 1),
            StepAction::HangUp(b) => write!(f, "hang-up b{}", b + 1),
            StepAction::Site(b, bad) => write!(f, "bad-site b{} {}", b + 1, on(*bad)),
            StepAction::Twin(b) => write!(f, "twin b{}", b + 1),
            StepAction::Stale(b, stale) => write!(f, "list-stale b{} {}", b + 1, on(*stale)),
            StepAction::HalfList(b, half) => write!(f, "list-bad b{} {}", b + 1, on(*half)),
            StepAction::ListLate(b, late) => {
                write!(f, "list-late b{} {} to {} us", b + 1, late.0, late.1)
            }
            StepAction::Clock(b, by) => write!(f, "clock b{} {by} us", b + 1),
            StepAction::WallClock(b, by) => write!(f, "wall-clock b{} {by} us", b + 1),
            StepAction::NodeStop(n) => write!(f, "node-stop n{}", n + 1),
            StepAction::NodeStart(n) => write!(f, "node-start n{}", n + 1),
            StepAction::NodePause(n, time) => write!(f, "node-pause n{} {time} us", n + 1),
            StepAction::NodeFault(n, class, fault) => {
                let class = class.map_or("all".to_string(), |c| c.to_string());
                let Fault { slower, failing, spoilt, cut } = fault;
                write!(f, "node-fault n{} class {class} slower {slower} ", n + 1)?;
                write!(f, "failing {failing} spoilt {spoilt} cut {cut}")
            }
            StepAction::NodeShare(n, share) => write!(f, "node-neighbours n{} {share}", n + 1),
            StepAction::NodeDrain(n, drains) => write!(f, "node-drain n{} {}", n + 1, on(*drains)),
            StepAction::NodeListed(n, listed) => {
                write!(f, "node-listed n{} {}", n + 1, on(*listed))
            }
            StepAction::Link { balancer, node, there, back } => {
                write!(f, "link b{} n{}", balancer + 1, node + 1)?;
                there.iter().try_for_each(|q| quality(f, "there", q))?;
                back.iter().try_for_each(|q| quality(f, "back", q))
            }
            StepAction::Peers { from, to, quality: q } => {
                write!(f, "peers b{} b{}", from + 1, to + 1)?;
                quality(f, "there", q)
            }
            StepAction::Load(what) => f.write_str(what),
        }
    }
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for step in &self.steps {
            write!(f, "{:>10.3} s  {}", step.at as f64 / 1e6, step.action)?;
            f.write_str(match step.when {
                Some(Condition::EffectOut) => " once an effect is out",
                Some(Condition::Refused) => " once it was refused",
                None => "",
            })?;
            f.write_str("\n")?;
        }
        Ok(())
    }
}

fn members(script: &Script, group: &Group, rng: &mut Rand64) -> Vec<usize> {
    let all = 0..script.count(group.role);
    match &group.pick {
        Pick::All => all.collect(),
        Pick::Count { count, drawn: false } => all.take(*count).collect(),
        Pick::Count { count, drawn: true } => {
            // A partial Fisher-Yates shuffle.
            let mut all: Vec<usize> = all.collect();
            for i in 0..all.len().saturating_sub(1) {
                let j = rng.rand_range(i as u64..all.len() as u64) as usize;
                all.swap(i, j);
            }
            all.truncate(*count);
            all.sort_unstable();
            all
        }
        Pick::Zone(zone) => all.filter(|m| script.zone(*m) == *zone).collect(),
        Pick::Members(members) => members.clone(),
    }
}

fn between(rng: &mut Rand64, (least, most): (i64, i64)) -> i64 {
    least + ((most - least) as f64 * rng.rand_float()) as i64
}

/// Draws the timeline of a script from a seed.
pub fn timeline(script: &Script, seed: u64) -> Timeline {
    let mut rng = Rand64::new(u128::from(seed) ^ 0x0071_e11e);
    let groups: Vec<Vec<usize>> =
        script.groups.iter().map(|group| members(script, group, &mut rng)).collect();
    let mut expansion = Expansion { script, groups: &groups, rng: &mut rng, steps: Vec::new() };
    for event in &script.events {
        for at in event.moments() {
            expansion.event(event, at);
        }
    }
    let mut steps = expansion.steps;
    // A stable sort: steps of the same time keep the order of the script.
    steps.sort_by_key(|step: &Step| step.at);
    Timeline { steps, groups }
}

/// Expands the events of a script into steps.
struct Expansion<'a> {
    script: &'a Script,
    groups: &'a [Vec<usize>],
    rng: &'a mut Rand64,
    steps: Vec<Step>,
}

impl Expansion<'_> {
    /// Adds the steps of one occurrence of an event.
    fn event(&mut self, event: &Event, at: i64) {
        let groups = self.groups;
        let members = groups.get(event.group).map(Vec::as_slice).unwrap_or_default();
        match &event.action {
            EventAction::PowerLoss { retained, back } => {
                self.power_loss(event, at, members, *retained, *back);
                return;
            }
            EventAction::Load { .. } | EventAction::Storm { .. } | EventAction::Shift { .. } => {
                let change = StepAction::Load(self.load_change(&event.action));
                self.begin(event, at, change);
                return;
            }
            _ => {}
        }
        for (i, &member) in members.iter().enumerate() {
            let at = at + event.spread * i as i64 / members.len().max(1) as i64;
            self.member(event, at, member);
        }
    }

    /// Adds a step that begins a fault, or has no end.
    fn begin(&mut self, event: &Event, at: i64, action: StepAction) {
        let pair = Some(self.steps.len());
        self.steps.push(Step { at, when: event.when, action, ends: false, pair });
    }

    /// Adds the step that ends the fault of the step before; sorting comes later.
    fn end(&mut self, event: &Event, at: i64, action: StepAction) {
        let pair = Some(self.steps.len() - 1);
        self.steps.push(Step { at, when: event.until, action, ends: true, pair });
    }

    /// Adds the step that begins a fault, and the one that ends it if it ends.
    fn pair(
        &mut self,
        event: &Event,
        at: i64,
        begin: StepAction,
        end: StepAction,
        time: Option<i64>,
    ) {
        self.begin(event, at, begin);
        if let Some(time) = time {
            self.end(event, at + time, end);
        }
    }

    /// One power loss and several starts: no pairs, and no condition.
    fn power_loss(
        &mut self,
        event: &Event,
        at: i64,
        members: &[usize],
        retained: RetainedState,
        back: Option<(i64, i64)>,
    ) {
        self.begin(event, at, StepAction::PowerLoss(members.to_vec(), retained));
        if let Some(back) = back {
            for &member in members {
                let at = at + between(self.rng, back);
                self.end(event, at, StepAction::Start(member, None));
            }
        }
        // Without restarts the range reaches into the steps of earlier events.
        let first = self.steps.len().saturating_sub(members.len() + 1);
        for step in &mut self.steps[first..] {
            (step.when, step.pair) = (None, None);
        }
    }

    /// What a report says of a change of the load.
    fn load_change(&self, action: &EventAction) -> String {
        let seconds = |us: &i64| *us as f64 / 1e6;
        match action {
            EventAction::Load { per_second, over } => {
                format!("load {per_second} a second over {} s", seconds(over))
            }
            EventAction::Storm { count, over, .. } => {
                format!("storm {count} over {} s", seconds(over))
            }
            EventAction::Shift { zone, times } => {
                format!("shift {} to {times} times", self.script.fleet.zones[*zone])
            }
            _ => String::new(),
        }
    }

    /// Adds the steps of an event for one member of its group.
    fn member(&mut self, event: &Event, at: i64, member: usize) {
        match target_role(&event.action) {
            Some(Role::Balancer) => self.balancer(event, at, member),
            Some(Role::Node) => self.node(event, at, member),
            None => {}
        }
    }

    fn balancer(&mut self, event: &Event, at: i64, b: usize) {
        use StepAction::{Freeze, HalfList, Site, Stale, Thaw};
        match &event.action {
            EventAction::Kill { back } => {
                let back = self.draw(*back);
                self.pair(event, at, StepAction::Kill(b), StepAction::Start(b, None), back);
            }
            EventAction::Term { back, binary } => {
                let back = self.draw(*back);
                let start = StepAction::Start(b, binary.clone());
                self.pair(event, at, StepAction::Term(b), start, back);
            }
            EventAction::Start => self.begin(event, at, StepAction::Start(b, None)),
            EventAction::Freeze { time } => {
                self.pair(event, at, Freeze(b), Thaw(b), Some(*time));
            }
            EventAction::HangUp => self.begin(event, at, StepAction::HangUp(b)),
            EventAction::BadSite { time } => {
                self.pair(event, at, Site(b, true), Site(b, false), Some(*time));
            }
            EventAction::Twin => self.begin(event, at, StepAction::Twin(b)),
            EventAction::ListStale { time } => {
                self.pair(event, at, Stale(b, true), Stale(b, false), Some(*time));
            }
            EventAction::ListBad { time } => {
                self.pair(event, at, HalfList(b, true), HalfList(b, false), Some(*time));
            }
            EventAction::ListLate { late } => {
                self.begin(event, at, StepAction::ListLate(b, *late));
            }
            EventAction::Clock { by } => self.begin(event, at, StepAction::Clock(b, *by)),
            EventAction::WallClock { by } => self.begin(event, at, StepAction::WallClock(b, *by)),
            EventAction::Link { .. } => self.links(event, at, b),
            EventAction::Peers { .. } => self.peers(event, at, b),
            _ => {}
        }
    }

    fn node(&mut self, event: &Event, at: i64, n: usize) {
        use StepAction::{NodeDrain, NodeFault, NodeListed, NodeShare};
        match &event.action {
            EventAction::NodeKill { back } => {
                let back = self.draw(*back);
                self.pair(event, at, StepAction::NodeStop(n), StepAction::NodeStart(n), back);
            }
            EventAction::NodeStart => self.begin(event, at, StepAction::NodeStart(n)),
            EventAction::NodePause { time } => {
                self.begin(event, at, StepAction::NodePause(n, *time));
            }
            EventAction::NodeFault { class, fault, time } => {
                let healthy = NodeFault(n, *class, Fault::default());
                self.pair(event, at, NodeFault(n, *class, *fault), healthy, *time);
            }
            EventAction::NodeNeighbours { share, time } => {
                self.pair(event, at, NodeShare(n, *share), NodeShare(n, 1.0), *time);
            }
            EventAction::NodeDrain { time } => {
                self.pair(event, at, NodeDrain(n, true), NodeDrain(n, false), *time);
            }
            EventAction::NodeRemove { time } => {
                self.pair(event, at, NodeListed(n, false), NodeListed(n, true), *time);
            }
            _ => {}
        }
    }

    /// Adds the steps of links between a balancer and nodes.
    fn links(&mut self, event: &Event, at: i64, balancer: usize) {
        let EventAction::Link { to, there, back, time } = &event.action else { return };
        let groups = self.groups;
        for &node in &groups[*to] {
            let link = |there, back| StepAction::Link { balancer, node, there, back };
            let open = |q: &Option<LinkQuality>| q.map(|_| LinkQuality::default());
            let (fault, healthy) = (link(*there, *back), link(open(there), open(back)));
            self.pair(event, at, fault, healthy, *time);
        }
    }

    /// Adds the steps of links between a balancer and others.
    fn peers(&mut self, event: &Event, at: i64, balancer: usize) {
        let EventAction::Peers { to, there, back, time } = &event.action else { return };
        let groups = self.groups;
        for &other in groups[*to].iter().filter(|other| **other != balancer) {
            for (from, to, quality) in [(balancer, other, there), (other, balancer, back)] {
                let Some(quality) = *quality else { continue };
                let link = |quality| StepAction::Peers { from, to, quality };
                self.pair(event, at, link(quality), link(LinkQuality::default()), *time);
            }
        }
    }

    /// Draws a time, if there is one.
    fn draw(&mut self, span: Option<(i64, i64)>) -> Option<i64> {
        span.map(|span| between(self.rng, span))
    }
}

/// The role of the members that an action applies to; `None` for changes of the load.
pub(crate) fn target_role(action: &EventAction) -> Option<Role> {
    match action {
        EventAction::Load { .. } | EventAction::Storm { .. } | EventAction::Shift { .. } => None,
        EventAction::NodeKill { .. }
        | EventAction::NodeStart
        | EventAction::NodePause { .. }
        | EventAction::NodeFault { .. }
        | EventAction::NodeNeighbours { .. }
        | EventAction::NodeDrain { .. }
        | EventAction::NodeRemove { .. } => Some(Role::Node),
        _ => Some(Role::Balancer),
    }
}

/// The latest time at which the last step of an event may be due.
pub(crate) fn latest_end(event: &Event) -> i64 {
    let (times, apart) = event.every;
    let more = match &event.action {
        EventAction::Kill { back }
        | EventAction::Term { back, .. }
        | EventAction::PowerLoss { back, .. } => back.map_or(0, |b| b.1),
        EventAction::NodeKill { back } => back.map_or(0, |b| b.1),
        EventAction::Freeze { time }
        | EventAction::BadSite { time }
        | EventAction::ListStale { time }
        | EventAction::ListBad { time }
        | EventAction::NodePause { time } => *time,
        EventAction::NodeFault { time, .. }
        | EventAction::NodeNeighbours { time, .. }
        | EventAction::NodeDrain { time }
        | EventAction::NodeRemove { time }
        | EventAction::Link { time, .. }
        | EventAction::Peers { time, .. } => time.unwrap_or(0),
        EventAction::Load { over, .. } | EventAction::Storm { over, .. } => *over,
        _ => 0,
    };
    event.at + i64::from(times.saturating_sub(1)) * apart + event.spread + more
}

/// Microseconds as seconds, for messages.
pub(crate) fn seconds(us: i64) -> f64 {
    us as f64 / S as f64
}
