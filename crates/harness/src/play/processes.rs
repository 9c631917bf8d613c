//! The processes of the balancers: their starts, signals, logs and ends.

use std::time::{Duration, Instant};

use rustix::process::Signal;
use sableloom_rehearsal::{MS, Outage, RetainedState};
use tokio::sync::mpsc::UnboundedReceiver;

use super::{Balancer, Play, ProcessState};
use crate::error::PlayError;
use crate::process::{Process, ProcessEvent, ProcessMessage, ProcessSpec};

/// How long a process may take to listen.
const STARTS_WITHIN: Duration = Duration::from_secs(30);
/// Last lines of a log that an error shows.
const LINES: usize = 4;

impl Play<'_> {
    pub(super) fn spawn(&mut self, b: usize) -> Result<Process, PlayError> {
        self.numbers += 1;
        let balancer = &self.balancers[b];
        let program = match &balancer.binary {
            Some(binary) => &self.options.binaries[binary],
            None => &self.options.program,
        };
        let mut spec = ProcessSpec {
            name: format!("b{}", b + 1),
            launcher: self.options.launcher.clone(),
            program: program.clone(),
            arguments: Vec::new(),
            variables: Vec::new(),
            descriptors: None,
            memory_mb: None,
            log: balancer.folder.path("log"),
        };
        match balancer.agent {
            None => {
                let site = balancer.folder.path("site.toml").into();
                spec.arguments = vec!["serve".into(), "--config".into(), site];
                if balancer.wall_clock_offset != 0 {
                    let by = (balancer.wall_clock_offset / MS).to_string();
                    spec.arguments.extend(["--wall-clock-ms".into(), by.into()]);
                }
            }
            Some(_) => {
                let config = balancer.folder.path("config.json").into();
                spec.variables = vec![("ROUTER_CONFIG", config)];
            }
        }
        for special in &self.script.processes {
            if self.timeline.groups[special.group].contains(&b) {
                spec.descriptors = special.descriptors.or(spec.descriptors);
                spec.memory_mb = special.memory_mb.or(spec.memory_mb);
            }
        }
        Process::start(&spec, self.numbers, self.events.clone())
    }

    /// Writes the files of a balancer and starts its process.
    pub(super) async fn start_one(&mut self, b: usize) -> Result<(), PlayError> {
        let named = || PlayError::io(format!("b{}: its files", b + 1));
        let folder = self.balancers[b].folder.clone();
        folder.sync().map_err(named())?;
        self.write_site(b).map_err(named())?;
        self.write_list(b).map_err(named())?;
        if let Some(peer_network) = &self.peer_network {
            peer_network
                .net
                .reopen(b)
                .await
                .map_err(PlayError::io(format!("b{}: the net", b + 1)))?;
        }
        let process = self.spawn(b)?;
        let balancer = &mut self.balancers[b];
        balancer.capacity_share = 0.0;
        balancer.process = Some(process);
        balancer.state = ProcessState::Starting;
        balancer.unanswered_hangup = None;
        balancer.log.clear();
        Ok(())
    }

    /// Writes the configuration of a balancer.
    pub(super) fn write_site(&self, b: usize) -> std::io::Result<()> {
        let Balancer { folder, address, announced, agent, .. } = &self.balancers[b];
        match agent {
            None => {
                let view = self.peer_network.as_ref().map(|network| network.view(b));
                folder.site(self.script, b, *address, *announced, view.as_ref())
            }
            Some((_, agent)) => folder.platform(self.script, b, *address, *announced, *agent),
        }
    }

    pub(super) async fn start_all(
        &mut self,
        events: &mut UnboundedReceiver<ProcessMessage>,
    ) -> Result<(), PlayError> {
        for b in 0..self.balancers.len() {
            self.start_one(b).await?;
        }
        let until = tokio::time::Instant::now() + STARTS_WITHIN;
        while let Some(b) = self.balancers.iter().position(|b| b.state != ProcessState::Up) {
            let received = tokio::time::timeout_at(until, events.recv()).await;
            let Ok(Some(message)) = received else {
                let log = self.log_of(b);
                let balancer = format!("b{}", b + 1);
                return Err(PlayError::NotListening { balancer, within: STARTS_WITHIN, log });
            };
            let owner = self.owner_of(message.process);
            let ended = matches!(message.event, ProcessEvent::Exited);
            self.hear(message).await;
            if let (true, Some(b)) = (ended, owner) {
                let how = self.facts.crashes.pop().map(|c| c.2).unwrap_or_default();
                return Err(PlayError::EndedAtStart { balancer: format!("b{}", b + 1), how });
            }
        }
        Ok(())
    }

    pub(super) fn log_of(&self, b: usize) -> String {
        let lines: Vec<&str> = self.balancers[b].log.iter().map(String::as_str).collect();
        if lines.is_empty() {
            String::new()
        } else {
            format!("; its last words: {}", lines.join(" | "))
        }
    }

    pub(super) fn owner_of(&self, number: u64) -> Option<usize> {
        let is = |b: &Balancer| b.process.as_ref().is_some_and(|process| process.number == number);
        self.balancers.iter().position(is)
    }

    /// Handles an event of a process.
    pub(super) async fn hear(&mut self, message: ProcessMessage) {
        let ProcessMessage { process, event } = message;
        if let Some(b) = self.owner_of(process) {
            return match event {
                ProcessEvent::LogLine(line) => self.line(b, line),
                ProcessEvent::Exited => self.ended(b).await,
            };
        }
        if let ProcessEvent::Exited = event
            && let Some((b, mut twin)) = self.twins.remove(&process)
        {
            let how = twin.reap().map_or("unknown".to_string(), |how| how.to_string());
            let at = self.now() as f64 / 1e6;
            self.notes.push(format!("the twin of b{} ended at {at:.3} s: {how}", b + 1));
        }
    }

    pub(super) fn line(&mut self, b: usize, line: String) {
        if let Some((_, status)) = line.split_once("sableloom: status ") {
            if let Ok(status) = serde_json::from_str(status) {
                self.statuses[b] = Some(status);
            }
            return;
        }
        let now = Instant::now();
        let at = self.micros(now);
        let balancer = &mut self.balancers[b];
        if let Some((_, part)) = line.split_once("sableloom: fleet: part: ") {
            let of = part.strip_prefix("1 of ").map(|of| of.split(',').next().unwrap_or(of));
            balancer.capacity_share =
                of.and_then(|of| of.parse::<f64>().ok()).map_or(0.0, f64::recip);
        }
        if balancer.state == ProcessState::Starting && line.contains("listening on") {
            balancer.state = ProcessState::Up;
            let waited = balancer.process.as_ref().and_then(Process::scheduled).map_or(0, |s| s.1);
            balancer.judged_from = Some((now, waited));
            if let Some(from) = balancer.unavailable_since.take() {
                let from = self.micros(from);
                self.facts.outages.push(Outage { balancer: b, from, to: at });
            }
            self.endpoints.mark_listening(b);
            self.forget_views();
        }
        let balancer = &mut self.balancers[b];
        if line.contains("sableloom: SIGHUP; ") {
            balancer.unanswered_hangup = None;
        }
        balancer.site_refused |= line.contains("SIGHUP; nothing is changed");
        balancer.list_refused |= line.contains(": not changed: ");
        if balancer.log.len() == LINES {
            balancer.log.pop_front();
        }
        balancer.log.push_back(line);
    }

    pub(super) async fn ended(&mut self, b: usize) {
        let now = Instant::now();
        let balancer = &mut self.balancers[b];
        let status = balancer.process.take().and_then(|mut process| process.reap());
        // From now on the system reports its port as unreachable.
        if let Some(peer_network) = &self.peer_network {
            peer_network.net.close(b);
        }
        self.forget_views();
        let balancer = &mut self.balancers[b];
        let state = std::mem::replace(&mut balancer.state, ProcessState::Down);
        let well = status.is_some_and(|status| status.success());
        let asked = state == ProcessState::Killed || (state == ProcessState::Terminating && well);
        if !asked {
            balancer.unavailable_since.get_or_insert(now);
            self.endpoints.mark_failed(b);
            let how = status.map_or("unknown".to_string(), |status| status.to_string());
            let how = format!("{how}{}", self.log_of(b));
            let at = self.micros(now);
            self.facts.crashes.push((b, at, how));
        }
        let balancer = &mut self.balancers[b];
        balancer.frozen = false;
        if let Some(retained) = balancer.pending_loss.take()
            && let Err(e) = balancer.folder.lose(retained)
        {
            self.notes.push(format!("b{}: its state: {e}", b + 1));
        }
        if std::mem::take(&mut self.balancers[b].start_again) && !self.ending {
            self.start_again(b).await;
        }
    }

    /// The membership has changed: earlier statuses no longer count.
    pub(super) fn forget_views(&mut self) {
        // The report shows the statuses from before the planned end.
        if self.peer_network.is_some() && !self.ending {
            self.agreed = None;
            self.statuses.fill(None);
        }
    }

    pub(super) async fn start_again(&mut self, b: usize) {
        if let Err(e) = self.start_one(b).await {
            let at = self.now();
            self.facts.crashes.push((b, at, format!("it can't start: {e}")));
        }
    }

    pub(super) fn signal(&self, b: usize, signal: Signal) {
        if let Some(process) = &self.balancers[b].process {
            process.signal(signal);
        }
    }

    pub(super) fn kill(&mut self, b: usize, retained: Option<RetainedState>) {
        let balancer = &mut self.balancers[b];
        if balancer.process.is_none() {
            // Nothing runs, but a power loss affects its files all the same.
            if let Some(retained) = retained
                && let Err(e) = balancer.folder.lose(retained)
            {
                self.notes.push(format!("b{}: its state: {e}", b + 1));
            }
            return;
        }
        // Marked before the signal, so that clients attribute what they see to the kill.
        balancer.unavailable_since.get_or_insert_with(Instant::now);
        balancer.state = ProcessState::Killed;
        // A later SIGCONT must not end the outage.
        balancer.frozen = false;
        balancer.pending_loss = retained;
        balancer.start_again = false;
        self.endpoints.mark_failed(b);
        self.signal(b, Signal::KILL);
    }

    pub(super) fn thaw(&mut self, b: usize) {
        let now = Instant::now();
        if !std::mem::take(&mut self.balancers[b].frozen) {
            return;
        }
        self.forget_views();
        self.signal(b, Signal::CONT);
        self.endpoints.set_paused(b, false);
        if let Some(from) = self.balancers[b].unavailable_since.take() {
            let (from, to) = (self.micros(from), self.micros(now));
            self.facts.outages.push(Outage { balancer: b, from, to });
        }
    }
}
