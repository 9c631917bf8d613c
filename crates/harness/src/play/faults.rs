//! Carries out the steps of the timeline, at once or as soon as their condition holds.

use std::time::{Duration, Instant, SystemTime};

use rustix::process::Signal;
use sableloom_rehearsal::{Condition, Step, StepAction};

use super::{Balancer, Play, ProcessState};
use crate::datagrams::Pair;

/// How long a step waits for its condition before a note says so.
const CONDITION_WITHIN: Duration = Duration::from_secs(5);
/// How long a run goes on for a balancer that has not logged what it does with a file: far past what a loaded
/// machine takes to run each process once.
const READS_WITHIN: Duration = Duration::from_secs(30);

impl Play<'_> {
    /// Carries out a step.
    pub(super) async fn apply(&mut self, action: &StepAction) {
        match action {
            StepAction::Start(b, binary) => self.start_step(*b, binary.as_ref()).await,
            StepAction::Kill(_)
            | StepAction::PowerLoss(..)
            | StepAction::Term(_)
            | StepAction::Freeze(_)
            | StepAction::Thaw(_)
            | StepAction::HangUp(_)
            | StepAction::Twin(_)
            | StepAction::WallClock(..) => self.apply_to_process(action),
            StepAction::Site(..)
            | StepAction::Stale(..)
            | StepAction::HalfList(..)
            | StepAction::ListLate(..)
            | StepAction::Clock(..) => self.apply_to_files(action),
            StepAction::NodeStop(_)
            | StepAction::NodeStart(_)
            | StepAction::NodePause(..)
            | StepAction::NodeFault(..)
            | StepAction::NodeShare(..)
            | StepAction::NodeDrain(..)
            | StepAction::NodeListed(..) => self.apply_to_node(action),
            StepAction::Link { balancer, node, there, back } => {
                self.links[*balancer][*node].set(*there, *back);
            }
            StepAction::Peers { from, to, quality } => {
                if let Some(peer_network) = &self.peer_network {
                    peer_network.net.set(Pair { from: *from, to: *to }, *quality);
                }
            }
            StepAction::Load(_) => {}
        }
        self.look_at_nodes();
    }

    async fn start_step(&mut self, b: usize, binary: Option<&String>) {
        let balancer = &mut self.balancers[b];
        if let Some(binary) = binary {
            balancer.binary = Some(binary.clone());
        }
        match balancer.state {
            ProcessState::Down => self.start_again(b).await,
            ProcessState::Killed | ProcessState::Terminating => balancer.start_again = true,
            ProcessState::Up | ProcessState::Starting => {
                self.notes.push(format!("b{} runs already", b + 1));
            }
        }
    }

    /// Steps on the process of a balancer.
    fn apply_to_process(&mut self, action: &StepAction) {
        match action {
            StepAction::Kill(b) => self.kill(*b, None),
            StepAction::PowerLoss(all, retained) => {
                all.iter().for_each(|b| self.kill(*b, Some(*retained)));
            }
            StepAction::Term(b) if self.balancers[*b].process.is_some() => {
                self.balancers[*b].state = ProcessState::Terminating;
                self.endpoints.withdraw(*b);
                self.signal(*b, Signal::TERM);
            }
            StepAction::Freeze(b) => {
                let balancer = &mut self.balancers[*b];
                if balancer.process.is_some() && !balancer.frozen {
                    balancer.frozen = true;
                    balancer.unavailable_since.get_or_insert_with(Instant::now);
                    self.endpoints.set_paused(*b, true);
                    self.signal(*b, Signal::STOP);
                }
            }
            StepAction::Thaw(b) => self.thaw(*b),
            StepAction::HangUp(b) => self.hang_up(*b),
            StepAction::Twin(b) => match self.spawn(*b) {
                Ok(twin) => drop(self.twins.insert(twin.number, (*b, twin))),
                Err(e) => self.notes.push(format!("the twin of b{} can't start: {e}", b + 1)),
            },
            StepAction::WallClock(b, by) => self.balancers[*b].wall_clock_offset = *by,
            _ => {}
        }
    }

    /// Steps on the site and the list of a balancer.
    fn apply_to_files(&mut self, action: &StepAction) {
        match action {
            StepAction::Site(b, bad) => {
                if *bad {
                    self.balancers[*b].site_refused = false;
                }
                let written = match bad {
                    true => self.balancers[*b].folder.spoil(),
                    false => self.write_site(*b),
                };
                if let Err(e) = written {
                    self.notes.push(format!("b{}: its site: {e}", b + 1));
                }
                self.hang_up(*b);
            }
            StepAction::Stale(b, stale) => {
                self.balancers[*b].list_held_back = *stale;
                if !stale {
                    self.list_now(*b);
                }
            }
            StepAction::HalfList(b, half) => {
                self.balancers[*b].list_truncated = *half;
                if *half {
                    self.balancers[*b].list_refused = false;
                }
                self.list_now(*b);
            }
            StepAction::ListLate(b, late) => self.balancers[*b].list_delay = *late,
            StepAction::Clock(b, by) => {
                self.balancers[*b].clock_offset = *by;
                self.list_now(*b);
            }
            _ => {}
        }
    }

    /// Steps on a node and its entry in the lists.
    fn apply_to_node(&mut self, action: &StepAction) {
        match action {
            StepAction::NodeStop(n) => self.nodes[*n].stop(),
            StepAction::NodeStart(n) => {
                self.nodes[*n].restart();
                self.registry[*n].started = Some(SystemTime::now());
                self.publish();
            }
            StepAction::NodePause(n, time) => {
                self.nodes[*n].pause(Duration::from_micros(*time as u64));
            }
            StepAction::NodeFault(n, class, fault) => self.nodes[*n].set_fault(*class, *fault),
            StepAction::NodeShare(n, share) => self.nodes[*n].set_core_share(*share),
            StepAction::NodeDrain(n, drains) => {
                self.registry[*n].drains = *drains;
                self.publish();
            }
            StepAction::NodeListed(n, listed) => {
                self.registry[*n].listed = *listed;
                self.publish();
            }
            _ => {}
        }
    }

    /// Updates the links to nodes that have started or ended.
    pub(super) fn look_at_nodes(&mut self) {
        for (n, node) in self.nodes.iter().enumerate() {
            let phase = node.look(|node| node.phase());
            if std::mem::replace(&mut self.phases[n], phase) != phase {
                self.links.iter().for_each(|row| row[n].refresh());
            }
        }
    }

    fn hang_up(&mut self, b: usize) {
        self.balancers[b].unanswered_hangup = Some(Instant::now());
        self.signal(b, Signal::HUP);
    }

    /// Whether a balancer may still log what it does with a file: a slow machine must not end the run, or mend
    /// the file, before it has read it.
    pub(super) fn reads_a_file(&self) -> bool {
        let recent = |since: &Instant| since.elapsed() < READS_WITHIN;
        let refuses = |(step, since, _): &(Step, Instant, Option<Step>)| {
            step.when == Some(Condition::Refused) && recent(since)
        };
        let reloads = |b: &Balancer| b.reads_files() && b.unanswered_hangup.iter().any(recent);
        self.pending.iter().any(refuses) || self.balancers.iter().any(reloads)
    }

    /// Whether a balancer has refused the spoilt file that this step mends; one that does not run reads none.
    fn refused(&self, action: &StepAction) -> bool {
        match action {
            // With its site a balancer reads its list again, and refuses both if one is bad: the list is mended
            // first.
            StepAction::Site(b, _) => {
                let balancer = &self.balancers[*b];
                !balancer.reads_files() || (balancer.site_refused && !balancer.list_truncated)
            }
            StepAction::HalfList(b, _) => {
                let balancer = &self.balancers[*b];
                !balancer.reads_files() || balancer.list_refused
            }
            _ => true,
        }
    }

    pub(super) fn holds(&self, step: &Step) -> bool {
        if step.when == Some(Condition::Refused) {
            return self.refused(&step.action);
        }
        let b = match step.action {
            StepAction::Link { balancer, node, .. } => {
                return self.nodes[node].holds_effect(balancer);
            }
            StepAction::Kill(b)
            | StepAction::Term(b)
            | StepAction::Freeze(b)
            | StepAction::HangUp(b)
            | StepAction::Site(b, _) => b,
            // Other steps do not concern a single balancer.
            _ => return true,
        };
        self.nodes.iter().any(|node| node.holds_effect(b))
    }

    pub(super) async fn conditions(&mut self) {
        let now = Instant::now();
        let pending = std::mem::take(&mut self.pending);
        let (done, left): (Vec<_>, Vec<_>) =
            pending.into_iter().partition(|(step, ..)| self.holds(step));
        self.pending = left;
        for (step, _, end) in done {
            self.apply(&step.action).await;
            if let Some(end) = end {
                let time = Duration::from_micros((end.at - step.at).max(0) as u64);
                self.later.push((now + time, end));
            }
        }
        let due: Vec<_> = self.later.extract_if(.., |(due, _)| *due <= now).collect();
        for (_, step) in due {
            match step.when {
                None => self.apply(&step.action).await,
                Some(_) => self.pending.push((step, now, None)),
            }
        }
        // One note for each step, which explains a run in which little happens.
        for (step, since, _) in &mut self.pending {
            let noted = step.when == Some(Condition::EffectOut);
            if noted && now.duration_since(*since) > CONDITION_WITHIN {
                *since = now + Duration::from_secs(86_400);
                self.notes.push(format!("{} waits for its condition", step.action));
            }
        }
    }
}
