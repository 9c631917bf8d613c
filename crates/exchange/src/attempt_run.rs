//! Runs one attempt until its single outcome is reported to the policy.

use std::future::pending;
use std::rc::Rc;

use tokio::time::sleep_until;

use crate::attempt::Attempt;
use crate::open_requests::OpenRequest;
use crate::outcome::AttemptEnd;
use crate::traits::{AttemptOutcome, Transport};

/// An attempt that reports exactly one outcome to `report`. If its task panics, it reports a lost connection, so that
/// the request counts as possibly executed if it was written completely.
pub(crate) struct PendingAttempt<R>
where
    R: FnOnce(&OpenRequest, &Attempt, AttemptOutcome),
{
    request: Rc<OpenRequest>,
    attempt: Rc<Attempt>,
    /// Taken when the outcome is reported.
    report: Option<R>,
}

impl<R> PendingAttempt<R>
where
    R: FnOnce(&OpenRequest, &Attempt, AttemptOutcome),
{
    pub(crate) fn new(request: Rc<OpenRequest>, attempt: Rc<Attempt>, report: R) -> Self {
        Self { request, attempt, report: Some(report) }
    }

    /// Runs the attempt to its end and reports its outcome. An attempt beyond `max_attempts` is not started.
    pub(crate) async fn run_attempt(mut self, transport: Rc<dyn Transport>, max_attempts: usize) {
        let outcome = self.outcome(transport, max_attempts).await;
        self.report_once(outcome);
    }

    /// Waits for whichever ends the attempt first: the end of its request, the transport, the policy's
    /// cancellation, the deadline.
    async fn outcome(&self, transport: Rc<dyn Transport>, max_attempts: usize) -> AttemptOutcome {
        let Self { request, attempt, .. } = self;
        let allowed = attempt.number < max_attempts;
        let Some(context) = attempt.context.as_ref().filter(|_| allowed) else {
            return AttemptOutcome::without_answer(AttemptEnd::NotStarted);
        };
        let request_finished = async {
            request.finish_signal.notified().await;
            if context.fully_written() {
                pending::<()>().await;
            }
        };
        tokio::select! {
            biased;
            // This branch is polled first, because the transport may be about to write in the same poll: no byte is
            // sent after the final answer, and a partly written request stays incomplete.
            () = request_finished => AttemptOutcome::without_answer(AttemptEnd::RequestFinished),
            outcome = transport.attempt(context.clone()) => outcome,
            () = attempt.cancel.notified() => AttemptOutcome::without_answer(AttemptEnd::Cancelled),
            () = sleep_until(context.deadline) => AttemptOutcome::without_answer(AttemptEnd::TimedOut),
        }
    }

    fn report_once(&mut self, outcome: AttemptOutcome) {
        if let Some(report) = self.report.take() {
            report(&self.request, &self.attempt, outcome);
        }
    }
}

impl<R> Drop for PendingAttempt<R>
where
    R: FnOnce(&OpenRequest, &Attempt, AttemptOutcome),
{
    fn drop(&mut self) {
        self.report_once(AttemptOutcome::without_answer(AttemptEnd::ConnectionLost));
    }
}
