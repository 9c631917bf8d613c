//! A service's release, the loss of a rack and that of a zone, and their return.

use std::time::Duration;

use super::changes::{PlannedChange, ServerEdit, ServerState};
use super::measure::Stretch;
use super::{Distribution, RACK_WORKER, ZONE_WORKER, ms};
use crate::processes::WorkerError;

/// A release drains a server or takes it back so often: ten times as fast as one that gives a server a second.
const BETWEEN_RELEASE_CHANGES: Duration = Duration::from_millis(100);
/// Servers of a rack, each of another service.
const SERVERS_OF_RACK: usize = 40;
/// One server in so many is in a zone.
const ZONES: usize = 10;
/// A zone's changes come so far apart: 500 a second, as many as one machine takes that carries all the control
/// machines. Those of the full size take 5 s.
const BETWEEN_ZONE_CHANGES: Duration = Duration::from_millis(2);
/// What a server that is back serves with.
const WEIGHT: f64 = 1.0;

impl Distribution<'_> {
    /// All servers of a service drain and return, one after the other.
    pub(super) fn release(&mut self) -> Result<(), WorkerError> {
        let service = self.options.source.services / 2;
        let states = (0..self.options.source.servers_each)
            .flat_map(|server| [(server, ServerState::Draining), (server, SERVING)]);
        let changes = states.enumerate().map(|(place, (server, state))| PlannedChange {
            due: BETWEEN_RELEASE_CHANGES * place as u32,
            edits: vec![ServerEdit { service, server, state }],
        });
        let stretch = self.changes_in_force(changes.collect())?;
        self.add_loss("release of a service", &stretch);
        Ok(())
    }

    /// One change removes a rack's servers, the balancers of the rack die; then both return.
    pub(super) fn rack(&mut self) -> Result<(), WorkerError> {
        let services = self.options.source.services;
        let count = SERVERS_OF_RACK.min(services);
        let servers = (0..count).map(|number| (number * services / count, 0));
        let change = |state| PlannedChange {
            due: Duration::ZERO,
            edits: servers.clone().map(edit_to(state)).collect(),
        };
        let (lost, back) = (vec![change(ServerState::Removed)], vec![change(SERVING)]);
        self.lose("a rack", RACK_WORKER, lost)?;
        self.regain("a rack", RACK_WORKER, back)
    }

    /// A burst of changes, one for each service, removes a tenth of all servers, and a tenth of the balancers dies;
    /// then both return.
    pub(super) fn zone(&mut self) -> Result<(), WorkerError> {
        let (lost, back) = (self.zone_changes(ServerState::Removed), self.zone_changes(SERVING));
        self.lose("a zone", ZONE_WORKER, lost)?;
        self.regain("a zone", ZONE_WORKER, back)
    }

    fn zone_changes(&self, state: ServerState) -> Vec<PlannedChange> {
        let source = self.options.source;
        let of_service = |service: usize| {
            let in_zone = move |server: &usize| {
                (service * source.servers_each + server).is_multiple_of(ZONES)
            };
            let servers = (0..source.servers_each).filter(in_zone);
            let edits = servers.map(|server| (service, server)).map(edit_to(state)).collect();
            PlannedChange { due: BETWEEN_ZONE_CHANGES * service as u32, edits }
        };
        let changes = (0..source.services).map(of_service);
        changes.filter(|change| !change.edits.is_empty()).collect()
    }

    fn lose(
        &mut self,
        what: &str,
        worker: usize,
        changes: Vec<PlannedChange>,
    ) -> Result<(), WorkerError> {
        self.kill(worker);
        let stretch = self.changes_in_force(changes)?;
        self.add_loss(&format!("{what} lost"), &stretch);
        Ok(())
    }

    fn regain(
        &mut self,
        what: &str,
        worker: usize,
        changes: Vec<PlannedChange>,
    ) -> Result<(), WorkerError> {
        let returned = self.absent.clone();
        let stretch = self.until_all_current(|run| {
            run.write_changes(changes);
            run.restart(worker)
        })?;
        // Those that start are given snapshots; the times are those of the others.
        self.absent = returned;
        self.add_loss(&format!("{what} returns"), &stretch);
        self.absent = 0..0;
        Ok(())
    }

    fn add_loss(&mut self, what: &str, stretch: &Stretch) {
        let times = self.take_times();
        let void = stretch.void.as_deref();
        self.add(&format!("{what}, ms until all are current"), ms(stretch.took), void);
        self.add_times(what, &times, stretch);
        self.add_worst_second(what, stretch);
        self.add(&format!("{what}, snapshots in all"), stretch.report.snapshots as f64, None);
    }
}

const SERVING: ServerState = ServerState::Serving(WEIGHT);

fn edit_to(state: ServerState) -> impl Fn((usize, usize)) -> ServerEdit {
    move |(service, server)| ServerEdit { service, server, state }
}
