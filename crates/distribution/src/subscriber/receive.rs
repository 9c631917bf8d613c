//! The handling of transactions and bookmarks from the control machine. Transactions are buffered up to a limit,
//! checked by digest, and handed to the caller only when they are complete.

use super::Subscriber;
use super::disconnect_reason::DisconnectReason;
use super::event::SubscriberEvent;
use super::output::{ServiceUpdate, SubscriberOutput, Transaction};
use super::service_transfer::ServiceTransfer;
use super::transaction::{IncomingTransaction, PendingTransaction};
use crate::message::{MAX_REJECTIONS, NackReason, ServiceBase, SubscriberMessage};
use crate::name::ServiceName;
use crate::position::{Position, ServiceVersion};
use crate::rejection::Rejection;
use crate::resource::Change;
use crate::violation::PublisherViolation;

/// The number of consecutive bookmarks that may mismatch the applied state before the connection is closed. The first
/// mismatch makes the subscriber send its complete scope again.
const MAX_MISMATCHED_BOOKMARKS: u32 = 1;

impl Subscriber {
    /// Begins a transaction, or adds further services to the one that has begun.
    pub(super) fn begin_transaction(
        &mut self,
        id: u64,
        generation: u32,
        services: Vec<ServiceBase>,
    ) -> Result<(), DisconnectReason> {
        let incoming =
            self.incoming.get_or_insert_with(|| IncomingTransaction::new(id, generation));
        incoming.begin(id, generation, services)?;
        self.check_buffered_bytes()
    }

    /// Adds changes to the incoming transaction.
    pub(super) fn add_changes(
        &mut self,
        id: u64,
        changes: Vec<Change>,
    ) -> Result<(), DisconnectReason> {
        let incoming = self.incoming.as_mut().filter(|incoming| incoming.id() == id);
        let Some(incoming) = incoming else {
            return Err(PublisherViolation::ChangesWithoutBegin.into());
        };
        incoming.add_changes(changes)?;
        self.check_buffered_bytes()
    }

    /// Completes the incoming transaction. It is handed to the caller if it matches the applied state, and answered at
    /// once if it does not match or if none of its services is expected any more.
    pub(super) fn commit_transaction(
        &mut self,
        id: u64,
        position: Position,
        targets: Vec<ServiceVersion>,
        out: &mut Vec<SubscriberOutput>,
    ) -> Result<(), DisconnectReason> {
        let Some(incoming) = self.incoming.take().filter(|incoming| incoming.id() == id) else {
            return Err(PublisherViolation::CommitWithoutBegin.into());
        };
        let bytes = incoming.bytes;
        let mut transfers = incoming.commit(position, targets)?;
        transfers.retain(|transfer| self.applied.expects(transfer));
        let mismatched: Vec<ServiceName> = transfers
            .iter()
            .filter(|transfer| !self.applied.matches(transfer))
            .map(|transfer| transfer.target.service.clone())
            .collect();
        if !mismatched.is_empty() {
            self.report_mismatch(id, mismatched, out);
            return Ok(());
        }
        if transfers.is_empty() {
            out.push(SubscriberOutput::Send(SubscriberMessage::Ack { transaction: id }));
            return Ok(());
        }
        let services = transfers.iter().map(|transfer| self.service_update(transfer)).collect();
        self.pending.push_back(PendingTransaction { id, transfers, bytes });
        out.push(SubscriberOutput::Apply(Transaction { id, position, services }));
        Ok(())
    }

    /// Records a transaction that the caller has applied, and acknowledges it.
    pub(super) fn acknowledge(
        &mut self,
        transaction: PendingTransaction,
        out: &mut Vec<SubscriberOutput>,
    ) {
        self.counters.applied += 1;
        for transfer in transaction.transfers {
            self.counters.snapshots += u64::from(transfer.is_snapshot());
            self.applied.apply(transfer);
        }
        out.push(SubscriberOutput::Save);
        self.send_answer(SubscriberMessage::Ack { transaction: transaction.id }, out);
    }

    /// Records a transaction that the caller has rejected, and reports the rejection.
    pub(super) fn reject(
        &mut self,
        transaction: PendingTransaction,
        mut rejections: Vec<Rejection>,
        out: &mut Vec<SubscriberOutput>,
    ) {
        self.counters.rejected += 1;
        rejections.truncate(MAX_REJECTIONS);
        for transfer in &transaction.transfers {
            self.applied.record_rejection(transfer);
        }
        let services = transaction.services().cloned().collect();
        let event = SubscriberEvent::Rejected { services, rejections: rejections.clone() };
        out.push(SubscriberOutput::Event(event));
        let reason = NackReason::Rejected(rejections);
        self.send_answer(SubscriberMessage::Nack { transaction: transaction.id, reason }, out);
    }

    /// Compares a bookmark with the applied state. On a first mismatch the complete scope is sent again; on the next
    /// one the connection is closed.
    pub(super) fn check_bookmark(
        &mut self,
        position: Position,
        generation: u32,
        digest: u64,
        out: &mut Vec<SubscriberOutput>,
    ) -> Result<(), DisconnectReason> {
        // A bookmark can only match if the control machine had processed the last scope message and all answers.
        if generation != self.scope_generation
            || !self.pending.is_empty()
            || self.incoming.is_some()
        {
            return Ok(());
        }
        if digest != self.applied.scope_digest() {
            self.mismatched_bookmarks += 1;
            if self.mismatched_bookmarks > MAX_MISMATCHED_BOOKMARKS {
                return Err(PublisherViolation::BookmarkMismatch.into());
            }
            self.send_complete_scope(out);
            return Ok(());
        }
        self.mismatched_bookmarks = 0;
        self.bookmark = position;
        self.selector.record_success();
        if self.connection.mark_current() {
            out.push(SubscriberOutput::Event(SubscriberEvent::Current { position }));
        }
        Ok(())
    }

    /// Reports the applied versions of services whose changes do not match; the control machine then sends snapshots of
    /// these services.
    fn report_mismatch(
        &mut self,
        id: u64,
        services: Vec<ServiceName>,
        out: &mut Vec<SubscriberOutput>,
    ) {
        self.counters.mismatches += 1;
        let versions = services.iter().filter_map(|service| self.applied.version(service));
        let reason = NackReason::Mismatch(versions.collect());
        out.push(SubscriberOutput::Send(SubscriberMessage::Nack { transaction: id, reason }));
        out.push(SubscriberOutput::Event(SubscriberEvent::Mismatch { services }));
    }

    fn service_update(&self, transfer: &ServiceTransfer) -> ServiceUpdate {
        transfer.service_update(self.applied.state(&transfer.target.service))
    }

    /// Sends the answer to a transaction, unless the connection on which the transaction came has ended.
    fn send_answer(&self, message: SubscriberMessage, out: &mut Vec<SubscriberOutput>) {
        if self.connection.scope_sent() {
            out.push(SubscriberOutput::Send(message));
        }
    }

    /// Checks the limits of buffered bytes: the maximum size of a transaction for the incoming one, and twice that size
    /// together with the transactions that the caller has not answered.
    fn check_buffered_bytes(&self) -> Result<(), DisconnectReason> {
        let incoming = self.incoming.as_ref().map_or(0, |incoming| incoming.bytes);
        if incoming > self.max_transaction_bytes
            || self.buffered_bytes() > 2 * self.max_transaction_bytes
        {
            return Err(DisconnectReason::TransactionTooLarge);
        }
        Ok(())
    }
}
