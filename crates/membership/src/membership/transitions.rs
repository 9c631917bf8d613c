//! The effect of updates on the known state of members, and on how much of the fleet this member reaches.

use arrayvec::ArrayVec;
use sableloom_types::Time;

use super::{Change, Membership, Output};
use crate::message::{MemberState, Update};
use crate::peer::{Health, Suspicion, supersedes};
use crate::view::Reachability;

impl Membership {
    /// Increases the version of the view and recomputes how much of the fleet this member reaches.
    pub(super) fn record_view_change(&mut self, output: &mut Output) {
        self.view_version += 1;
        self.update_reachability(output);
    }

    /// Recomputes how much of the fleet this member reaches, and reports a change.
    pub(super) fn update_reachability(&mut self, output: &mut Output) {
        let reachable = self.table.count_reachable();
        let listed = self.table.len() - self.table.count_left();
        // Messages from half of the reachable members are enough to trust the view again. Gossip corrects the rest of
        // it.
        if self.table.resync().is_some_and(|resync| resync.responders * 2 >= reachable) {
            self.table.set_resync(None);
        }
        let reachability = if self.table.resync().is_some() {
            Reachability::Resumed
        } else if reachable == listed {
            Reachability::Complete
        } else if reachable == 0 {
            Reachability::Isolated
        } else {
            Reachability::Partial { reachable: reachable + 1, listed: listed + 1 }
        };
        if reachability != self.reachability {
            self.reachability = reachability;
            output.changes.push(Change::Reachability(reachability));
        }
    }

    /// Applies an update, from gossip or from this member's own detection, and queues it for gossip.
    pub(super) fn apply_update(&mut self, now: Time, update: Update, output: &mut Output) {
        if update.member == self.own_key {
            return self.refute(update, output);
        }
        let Some(position) = self.table.position(update.member) else { return };
        if !supersedes(&update, self.table.at(position)) {
            return self.confirm_suspicion(position, update);
        }
        self.replace_state(now, position, update, output);
        self.gossip.add(update);
    }

    /// Applies an update from a page. It is not queued for gossip, or each member that pulls a table would have all of
    /// it to send.
    pub(super) fn apply_page_entry(&mut self, now: Time, update: Update, output: &mut Output) {
        if update.member == self.own_key {
            return self.refute(update, output);
        }
        let Some(position) = self.table.position(update.member) else { return };
        if supersedes(&update, self.table.at(position)) {
            self.replace_state(now, position, update, output);
        }
    }

    /// Replaces the known state of a member by an update that supersedes it.
    fn replace_state(&mut self, now: Time, position: usize, update: Update, output: &mut Output) {
        let deadline = self.suspicion_deadline(now, 0);
        let health = match update.state {
            MemberState::Alive => Health::Alive,
            MemberState::Suspect => {
                let confirmers = ArrayVec::new();
                Health::Suspect(Box::new(Suspicion { confirmers, deadline, started: now }))
            }
            MemberState::Dead => Health::Dead,
            MemberState::Left => Health::Left,
        };
        let (health_before, incarnation_before) = self.table.change(position, |peer| {
            let incarnation_before = peer.process_incarnation;
            if update.process_incarnation != incarnation_before {
                peer.nonce = 0;
            }
            peer.process_incarnation = update.process_incarnation;
            peer.incarnation = update.incarnation;
            (peer.reported_by, peer.health_since) = (update.reported_by, now);
            (std::mem::replace(&mut peer.health, health), incarnation_before)
        });
        let is_same_process = incarnation_before == update.process_incarnation;
        if update.state == MemberState::Suspect && !is_same_process {
            let Update { member, process_incarnation, .. } = update;
            output.changes.push(Change::Joined { member, process_incarnation });
        }
        output.changes.extend(view_change(&update, &health_before, is_same_process));
        self.record_view_change(output);
    }
}

/// Returns the change of the view that an update makes, if any.
fn view_change(update: &Update, before: &Health, is_same_process: bool) -> Option<Change> {
    let Update { member, process_incarnation, reported_by, .. } = *update;
    match update.state {
        MemberState::Alive if before.is_reachable() && is_same_process => {
            matches!(before, Health::Suspect(_)).then_some(Change::Refuted(member))
        }
        MemberState::Alive => Some(Change::Joined { member, process_incarnation }),
        MemberState::Suspect => Some(Change::Suspected { member, reported_by }),
        MemberState::Dead => Some(Change::Died { member, reported_by }),
        MemberState::Left => Some(Change::Left(member)),
    }
}
