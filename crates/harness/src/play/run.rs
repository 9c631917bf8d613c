//! The event loop of a play, from the first arrival to the last answer, and the planned end.

use std::collections::VecDeque;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use indicatif::{ProgressBar, ProgressStyle};
use rustix::process::Signal;
use sableloom_rehearsal::{MS, Step};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{MissedTickBehavior, interval, sleep_until, timeout};

use super::{Play, ProcessState};
use crate::clients::Progress;
use crate::process::ProcessMessage;

/// How long a process may take to end after SIGTERM, past the longest deadline.
const ENDS_WITHIN: Duration = Duration::from_secs(10);
/// How often nodes, lists and conditions are checked.
const TICK: Duration = Duration::from_millis(2);
/// How often nodes and processes are sampled.
const SAMPLE: Duration = Duration::from_millis(250);

impl Play<'_> {
    pub(super) async fn run(
        &mut self,
        events: &mut UnboundedReceiver<ProcessMessage>,
        progress: &Progress,
        over: impl Fn() -> bool,
    ) {
        let bar = self.bar();
        let mut steps: VecDeque<Step> = self.timeline.steps.clone().into();
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut next_sample = self.start + SAMPLE;
        while !(steps.is_empty()
            && self.later.is_empty()
            && !self.reads_a_file()
            && over()
            && self.agrees())
        {
            let due = steps.front().map(|step| self.start + Duration::from_micros(step.at as u64));
            let next = async {
                match due {
                    Some(due) => sleep_until(due.into()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                () = next => self.next_step(&mut steps).await,
                event = events.recv() => {
                    if let Some(message) = event {
                        self.hear(message).await;
                    }
                }
                _ = ticks.tick() => {
                    self.lists_due();
                    self.conditions().await;
                    self.look_at_nodes();
                    let now = Instant::now();
                    if now >= next_sample {
                        self.sample();
                        next_sample = now + SAMPLE;
                        self.show_progress(bar.as_ref(), progress);
                    }
                }
            }
        }
        if let Some(bar) = bar {
            bar.finish_and_clear();
        }
    }

    /// Carries out the step that is due, or lets it wait for its condition together with the step that ends it.
    async fn next_step(&mut self, steps: &mut VecDeque<Step>) {
        let Some(step) = steps.pop_front() else { return };
        match step.when {
            None => self.apply(&step.action).await,
            Some(_) => {
                let ends = |s: &Step| s.ends && s.pair == step.pair;
                let index = steps.iter().position(ends);
                let end = index.and_then(|index| steps.remove(index));
                self.pending.push((step, Instant::now(), end));
            }
        }
    }

    fn show_progress(&self, bar: Option<&ProgressBar>, progress: &Progress) {
        let Some(bar) = bar else { return };
        bar.set_position((self.now().max(0) / MS) as u64);
        let [sent, served] = [&progress.sent, &progress.served].map(|n| n.load(Ordering::Relaxed));
        bar.set_message(format!("{sent} tries, {served} served"));
    }

    /// Whether the members agree, if the script expects that, or can no longer do so in time.
    pub(super) fn agrees(&self) -> bool {
        let Some(within) = self.script.expect.agree_within else { return true };
        let last = self.timeline.faults().map_or(0, |(_, last)| last);
        self.agreed.is_some() || self.now() > last + within
    }

    pub(super) fn bar(&self) -> Option<ProgressBar> {
        let bar =
            self.options.progress.then(|| ProgressBar::new((self.script.length / MS) as u64))?;
        let style = ProgressStyle::with_template("{bar:40} {percent:>3}%  {msg}");
        if let Ok(style) = style {
            bar.set_style(style);
        }
        Some(bar)
    }

    /// Ends all processes with SIGTERM.
    pub(super) async fn finish(&mut self, events: &mut UnboundedReceiver<ProcessMessage>) {
        self.ending = true;
        self.twins.clear();
        for b in 0..self.balancers.len() {
            self.thaw(b);
            let balancer = &mut self.balancers[b];
            if balancer.process.is_some() && balancer.state != ProcessState::Killed {
                balancer.state = ProcessState::Terminating;
                self.signal(b, Signal::TERM);
            }
        }
        let longest = self.script.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let until = Instant::now() + Duration::from_micros(longest as u64) + ENDS_WITHIN;
        while self.balancers.iter().any(|b| b.process.is_some()) {
            let left = until.saturating_duration_since(Instant::now());
            match timeout(left, events.recv()).await {
                Ok(Some(message)) => self.hear(message).await,
                _ => break,
            }
        }
        for b in 0..self.balancers.len() {
            if self.balancers[b].process.take().is_some() {
                let at = self.now();
                let how = format!("it does not end at SIGTERM{}", self.log_of(b));
                self.facts.crashes.push((b, at, how));
            }
        }
    }
}
