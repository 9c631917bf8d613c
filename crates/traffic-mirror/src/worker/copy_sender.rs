//! Sends a copy to the candidate and the control group, and compares their answers with the live one.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sableloom_exchange::{Answer, Clock, Fields, Message, Reply, RequestContext, Service};
use sableloom_shadow::{
    ComparedAnswer, ComparisonRules, CopyEnd, CopyOutcome, Difference, compare,
};
use sableloom_toml_diagnostics::Problem;
use sableloom_types::{Idempotency, Span};
use tokio::time::timeout;

use super::copy_pool::{AttemptMade, CopyPool};
use crate::job::{CopyJob, Shared};
use crate::options::MirrorOptions;

/// The header field that marks a copy; its value is the name of the shadow.
const MARK_HEADER: &str = "x-shadow";
/// The header field of the request id, in the mapping of every protocol.
const ID_HEADER: &str = "x-trace-id";
/// Suffix of the ids of copies.
const COPY_ID_SUFFIX: &[u8] = b"-shadow";
/// Time after the timeout of a copy at which it is abandoned if the policy has not ended it.
const ABANDON_DELAY: Duration = Duration::from_secs(1);

/// A copy that has ended, with its outcomes.
pub(super) struct ComparedCopy {
    pub(super) job: CopyJob,
    /// For the gate.
    pub(super) end: CopyEnd,
    pub(super) candidate: CopyOutcome,
    pub(super) control: Option<CopyOutcome>,
    pub(super) disturbed: bool,
}

/// The result of a copy at one pool.
enum SendResult {
    Served(Answer),
    /// Not sent: its id is still in use, or too many are in flight. Shows nothing about the pool.
    NotSent,
    /// The policy found no server for it.
    NoServer,
    Failed,
}

/// Sends copies, and compares the answers.
pub(super) struct CopySender {
    candidate: CopyPool,
    control_group: Option<CopyPool>,
    clock: Clock,
    copy_timeout: Duration,
    mark: Bytes,
    dropped_headers: Vec<String>,
    rules: ComparisonRules,
    shared: Arc<Shared>,
}

impl CopySender {
    /// Opens the pools; returns all problems of both.
    pub(super) async fn open(
        options: &MirrorOptions,
        shared: Arc<Shared>,
    ) -> Result<Self, Vec<Problem>> {
        let candidate = CopyPool::open(options, &options.candidate).await;
        let control_group = match &options.control_group {
            Some(pool) => CopyPool::open(options, pool).await.map(Some),
            None => Ok(None),
        };
        let (candidate, control_group) = match (candidate, control_group) {
            (Ok(candidate), Ok(control_group)) => (candidate, control_group),
            (candidate, control_group) => {
                let problems = candidate.err().into_iter().chain(control_group.err());
                return Err(problems.flatten().collect());
            }
        };
        Ok(Self {
            candidate,
            control_group,
            clock: options.clock,
            copy_timeout: options.copy_timeout,
            mark: Bytes::copy_from_slice(options.name.as_bytes()),
            dropped_headers: options.dropped_headers.clone(),
            rules: options.rules.clone(),
            shared,
        })
    }

    pub(super) fn pools(&self) -> impl Iterator<Item = &CopyPool> {
        std::iter::once(&self.candidate).chain(&self.control_group)
    }

    pub(super) async fn send_and_compare(&self, job: CopyJob) -> ComparedCopy {
        let candidate = self.send(&self.candidate, &job);
        let (candidate, control) = match &self.control_group {
            Some(pool) => {
                let (candidate, control) = tokio::join!(candidate, self.send(pool, &job));
                (candidate, Some(control))
            }
            None => (candidate.await, None),
        };
        let disturbed = self.shared.changes.touched(job.request.key, job.request.received);
        let end = match candidate.0 {
            SendResult::Served(_) => CopyEnd::Served,
            SendResult::NotSent => CopyEnd::NotSent,
            SendResult::NoServer | SendResult::Failed => CopyEnd::Failed,
        };
        let outcome = |(result, latency): (SendResult, Span)| match result {
            // The pair is not compared, so its differences are not needed.
            SendResult::Served(_) if disturbed => CopyOutcome::Served(latency, Vec::new()),
            SendResult::Served(answer) => {
                CopyOutcome::Served(latency, differences(&self.rules, &job.answer, &answer))
            }
            SendResult::NotSent | SendResult::NoServer => CopyOutcome::NotSent,
            SendResult::Failed => CopyOutcome::Failed(latency),
        };
        let (candidate, control) = (outcome(candidate), control.map(outcome));
        ComparedCopy { job, end, candidate, control, disturbed }
    }

    /// Sends a copy; returns its result and its latency.
    async fn send(&self, pool: &CopyPool, job: &CopyJob) -> (SendResult, Span) {
        let sent_at = self.clock.now();
        let context = RequestContext {
            class: job.request.class,
            tenant: job.request.tenant,
            key: job.request.key,
            deadline: sent_at.plus(Span(self.copy_timeout.as_micros() as i64)),
        };
        let attempt_made = AttemptMade::default();
        let attachment: Option<Box<dyn std::any::Any>> = Some(Box::new(attempt_made.clone()));
        let message = Message { attachment, ..self.message(job) };
        let result = match pool.exchange.clone().call(context, message) {
            Ok(reply) => match timeout(self.copy_timeout + ABANDON_DELAY, reply).await {
                Ok(Reply::Served(answer)) => SendResult::Served(answer),
                _ if attempt_made.get() => SendResult::Failed,
                _ => SendResult::NoServer,
            },
            Err(_) => SendResult::NotSent,
        };
        (result, self.clock.now().since(sent_at))
    }

    /// The copy: marked, with an id of its own, and without the dropped header fields.
    fn message(&self, job: &CopyJob) -> Message {
        let request = &job.request;
        let id = Bytes::from([&request.id[..], COPY_ID_SUFFIX].concat());
        let headers: Vec<(&[u8], Bytes)> = request.headers.iter().collect();
        let fields = Fields::collect(|| {
            let kept = headers.iter().filter(|(name, _)| {
                *name != MARK_HEADER.as_bytes()
                    && !self.dropped_headers.iter().any(|dropped| dropped.as_bytes() == *name)
            });
            kept.map(|(name, value)| match *name == ID_HEADER.as_bytes() {
                true => (*name, &id[..]),
                false => (*name, &value[..]),
            })
            .chain([(MARK_HEADER.as_bytes(), &self.mark[..])])
        });
        Message {
            id: id.clone(),
            // The gate admits only idempotent requests, and copies are sent only here.
            idempotency: Idempotency::Idempotent,
            method: request.method.clone(),
            target: request.target.clone(),
            fields,
            body: request.body.clone(),
            attachment: None,
            client: None,
        }
    }
}

fn differences(rules: &ComparisonRules, live: &Answer, copy: &Answer) -> Vec<Difference> {
    let values = |answer: &Answer| -> Vec<Option<Bytes>> {
        rules.headers.iter().map(|name| answer.fields.get(name)).collect()
    };
    let (live_values, copy_values) = (values(live), values(copy));
    let [live_headers, copy_headers] = [&live_values, &copy_values]
        .map(|values| values.iter().map(|value| value.as_deref()).collect::<Vec<_>>());
    compare(
        rules,
        ComparedAnswer { headers: &live_headers, body: &live.body },
        ComparedAnswer { headers: &copy_headers, body: &copy.body },
    )
}
