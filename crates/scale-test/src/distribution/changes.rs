//! Changes of servers, written at their times, and how long they take until they are in force.

use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Mutex;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::measure::{LATE, Stretch};
use super::{Distribution, ms};
use crate::latency::{Published, Times, times_in_force};
use crate::processes::WorkerError;
use crate::real::set_marker;
use crate::source::ChangeText;
use crate::subscribers::unix_us;
use crate::usage::{Machine, Shortage};

/// Single changes come so far apart: 86 times the users' mean of 6,200 a day.
const BETWEEN_CHANGES: Duration = Duration::from_millis(160);

/// What becomes of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ServerState {
    /// It serves with this weight.
    Serving(f64),
    /// It takes no new requests.
    Draining,
    /// It is gone.
    Removed,
}

/// A server of a numbered service, and what becomes of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ServerEdit {
    pub service: usize,
    pub server: usize,
    pub state: ServerState,
}

/// A change that is to be written.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PlannedChange {
    /// When, from the first one's time on.
    pub due: Duration,
    pub edits: Vec<ServerEdit>,
}

impl Distribution<'_> {
    pub(super) fn single_changes(&mut self) -> Result<(), WorkerError> {
        let at = |number: usize| BETWEEN_CHANGES * number as u32;
        let changes = self.weight_changes(self.options.single_changes, 37, at);
        let stretch = self.changes_in_force(changes)?;
        let times = self.take_times();
        self.add_times("single changes", &times, &stretch);
        Ok(())
    }

    pub(super) fn burst(&mut self) -> Result<(), WorkerError> {
        let count = self.options.burst_changes;
        let at = |number: usize| Duration::from_secs_f64(number as f64 / count.max(1) as f64);
        let changes = self.weight_changes(count, 41, at);
        let stretch = self.changes_in_force(changes)?;
        let times = self.take_times();
        self.add_times("burst within 1 s", &times, &stretch);
        self.add_worst_second("burst within 1 s", &stretch);
        Ok(())
    }

    pub(super) fn changes_at_real(&mut self) -> Result<(), WorkerError> {
        let machine = Machine::now();
        let (mut times, mut missing) = (Vec::new(), 0_u32);
        for _ in 0..self.options.marker_changes {
            // A balancer that refuses requests can't show a change; each that is asked for in vain takes 10 s.
            if missing > 0 {
                break;
            }
            self.last += 1;
            let mut change = ChangeText::new(self.last);
            set_marker(&mut change, self.last);
            let since = Instant::now();
            change.write(self.folder.path())?;
            for seen in self.real.await_marker(self.last, since) {
                match seen {
                    Ok(time) => times.push(time),
                    Err(last) => {
                        missing += 1;
                        self.report.not_reached.push(last);
                    }
                }
            }
        }
        times.sort_unstable();
        let busy = Machine::now().busy_since(machine);
        let void = Shortage { late: Duration::ZERO, busy }.beyond(LATE);
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
            let place = (times.len() as f64 * quantile) as usize;
            let time = times.get(place.min(times.len().saturating_sub(1)));
            let value = ms(time.copied().unwrap_or_default());
            self.add(&format!("real balancers, ms to in force, {name}"), value, void.as_deref());
        }
        self.add("real balancers, never in force", f64::from(missing), None);
        Ok(())
    }

    /// So many changes of one server's weight each, in services this far from each other.
    pub(super) fn weight_changes(
        &self,
        count: usize,
        stride: usize,
        at: impl Fn(usize) -> Duration,
    ) -> Vec<PlannedChange> {
        let source = self.options.source;
        let change = |place: usize| {
            let number = self.last as usize + 1 + place;
            let weight = 1.0 + (number % 100) as f64 / 100.0;
            let edit = ServerEdit {
                service: place * stride % source.services,
                server: number % source.servers_each,
                state: ServerState::Serving(weight),
            };
            PlannedChange { due: at(place), edits: vec![edit] }
        };
        (0..count).map(change).collect()
    }

    /// Writes changes at their times from now on, on a thread of its own.
    pub(super) fn write_changes(&mut self, changes: Vec<PlannedChange>) -> JoinHandle<()> {
        let (first, folder) = (self.last + 1, self.folder.path().to_path_buf());
        self.last += changes.len() as u64;
        let published = self.published.clone();
        thread::spawn(move || {
            let begun = Instant::now();
            for (number, change) in (first..).zip(changes) {
                thread::sleep(change.due.saturating_sub(begun.elapsed()));
                if write_change(number, &change.edits, &folder, &published).is_err() {
                    // Whoever waits for the change finds that it never comes in force.
                    return;
                }
            }
        })
    }

    /// Makes these changes, and measures until they are in force everywhere.
    pub(super) fn changes_in_force(
        &mut self,
        changes: Vec<PlannedChange>,
    ) -> Result<Stretch, WorkerError> {
        self.until_all_current(|run| {
            run.write_changes(changes);
            Ok(())
        })
    }

    /// How long the changes took that were made since the last call, at the subscribers that ran on.
    pub(super) fn take_times(&mut self) -> Times {
        let published = self.published.lock().map(|mut all| std::mem::take(&mut *all));
        let published = published.unwrap_or_default();
        let in_force = std::mem::take(&mut self.in_force);
        times_in_force(&published, &in_force, &self.audience())
    }

    pub(super) fn add_times(&mut self, what: &str, times: &Times, stretch: &Stretch) {
        let void = stretch.void.as_deref();
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
            self.add(&format!("{what}, ms to in force, {name}"), ms(times.at(quantile)), void);
        }
        self.add(&format!("{what}, never in force"), times.missing as f64, None);
        let changes = times.changes.max(1) as f64;
        let bytes = stretch.report.bytes() as f64 / changes;
        self.add(&format!("{what}, bytes a change, all balancers"), bytes, None);
        let machines = self.options.machines as f64;
        let processor = stretch.machines.processor_us as f64 / 1e3 / machines / changes;
        self.add(
            &format!("{what}, ms of processor time a change and control machine"),
            processor,
            void,
        );
    }

    /// What one balancer and one control machine spent in the worst second.
    pub(super) fn add_worst_second(&mut self, what: &str, stretch: &Stretch) {
        let void = stretch.void.as_deref();
        let (running, machines) = (self.running() as f64, self.options.machines as f64);
        let worst = stretch.worst;
        let bytes = worst.bytes / running;
        self.add(&format!("{what}, bytes a balancer in its worst second"), bytes, void);
        let bytes = stretch.most_loaded_bytes;
        self.add(
            &format!("{what}, bytes of the most loaded balancer in its worst second"),
            bytes,
            void,
        );
        let share = worst.subscribers_us / 1e4 / running;
        self.add(&format!("{what}, % of a core a balancer in its worst second"), share, void);
        let share = worst.machines_us / 1e4 / machines;
        self.add(
            &format!("{what}, % of a core a control machine in its worst second"),
            share,
            void,
        );
    }
}

fn write_change(
    number: u64,
    edits: &[ServerEdit],
    folder: &Path,
    published: &Mutex<Vec<Published>>,
) -> std::io::Result<()> {
    let mut text = ChangeText::new(number);
    for &ServerEdit { service, server, state } in edits {
        match state {
            ServerState::Serving(weight) => text.set_server(service, server, weight),
            ServerState::Draining => text.drain_server(service, server),
            ServerState::Removed => text.remove_server(service, server),
        }
    }
    let at_us = unix_us();
    text.write(folder)?;
    let services: BTreeSet<usize> = edits.iter().map(|edit| edit.service).collect();
    if let Ok(mut published) = published.lock() {
        published.extend(services.into_iter().map(|service| Published { number, service, at_us }));
    }
    Ok(())
}
