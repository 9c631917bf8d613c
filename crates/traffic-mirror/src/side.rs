//! The side thread: sends copies to the candidate, compares the answers, and keeps the record. The serving
//! thread never waits for it.

use std::cell::Cell;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use sableloom_exchange::{
    Answer, AttemptContext, AttemptOutcome, Clock, EndpointSource, Exchange, ExchangeOptions,
    Fields, LocalFuture, Message, Reply, RequestContext, Service, Transport,
};
use sableloom_http1::{Budget, Upstreams};
use sableloom_server_files::ServerFiles;
use sableloom_shadow::{CopyOutcome, End, Pair, Record, Rules, Side, SkipReason, compare};
use sableloom_toml_diagnostics::Problem;
use sableloom_types::{Idempotency, LoadReport, ServerId, Span};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::{Ending, Ends, Group, ID_END, ID_FIELD, Job, MARK, Options, Shared};

/// Nice value of the thread: it gets a tenth of a contended core. Linux keeps this value for each thread
/// (setpriority(2), section BUGS).
const NICE: i32 = 10;
/// Time after the limit of a copy at which it is abandoned if the decision module has not ended it.
const PAST: Duration = Duration::from_secs(1);
/// How often idle connections are checked.
const SWEEP: Duration = Duration::from_millis(250);
/// Maximum length of an id in the record, in bytes.
const MAX_ID_BYTES: usize = 64;

type ReadySender = oneshot::Sender<Result<(), Vec<Problem>>>;

/// Runs the thread.
pub(crate) fn run(
    options: Options,
    shared: Arc<Shared>,
    jobs: mpsc::Receiver<Job>,
    ends: Ends,
    ready: ReadySender,
    go: oneshot::Receiver<Vec<Ending>>,
) {
    let thread = rustix::thread::gettid();
    if let Err(e) = rustix::process::setpriority_process(Some(thread), NICE) {
        eprintln!("sableloom: shadow {}: no low priority: {e}", options.name);
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            let _ = ready.send(Err(vec![Problem::of_file(&options.name, format!("shadow: {e}"))]));
            return;
        }
    };
    LocalSet::new().block_on(&runtime, async {
        let candidate = Copies::open(&options, &options.candidate).await;
        let control = match &options.control {
            Some(group) => Some(Copies::open(&options, group).await),
            None => None,
        };
        let mut problems = Vec::new();
        let mut take = |opened: Result<Copies, Vec<Problem>>| match opened {
            Ok(copies) => Some(copies),
            Err(wrong) => {
                problems.extend(wrong);
                None
            }
        };
        let (candidate, control) = (take(candidate), control.map(&mut take));
        let (Some(candidate), true) = (candidate, problems.is_empty()) else {
            let _ = ready.send(Err(problems));
            return;
        };
        let at = Rc::new(Carrier {
            candidate,
            control: control.flatten(),
            clock: options.clock,
            time: options.time,
            mark: Bytes::copy_from_slice(options.name.as_bytes()),
            drop: options.drop.clone(),
            rules: options.rules.clone(),
            shared,
        });
        // It was never started: the shadow that it would have replaced continues.
        if ready.send(Ok(())).is_err() {
            return;
        }
        let Ok(before) = go.await else { return };
        for ending in before {
            // Takes at most the time limit of a copy; only copies are missed meanwhile.
            ending.over().await;
        }
        at.serve(&options, jobs, ends).await;
    });
    // Releases the descriptors.
    drop(options);
}

/// Sends copies to one pool.
struct Copies {
    exchange: Rc<Exchange>,
    transport: Rc<Upstreams>,
    files: Rc<ServerFiles>,
}

impl Copies {
    async fn open(options: &Options, group: &Group) -> Result<Self, Vec<Problem>> {
        let mut settings = group.settings.clone();
        // A retry would hide the failure.
        settings.policy_limits.max_attempts = 1;
        let settings = Rc::new(settings);
        let files = ServerFiles::open(group.files.clone(), options.clock).await?;
        let transport = Upstreams::new(Budget::new(options.bounds.in_flight), &settings);
        let source: Rc<dyn EndpointSource> = files.clone();
        let exchange = Exchange::start(ExchangeOptions {
            settings,
            seed: u64::from(std::process::id()),
            clock: options.clock,
            transport: Rc::new(Seen(transport.clone())),
            source,
        })
        .map_err(|e| vec![Problem::of_file(&group.name, format!("pool: {e}"))])?;
        files.watch();
        Ok(Self { exchange, transport, files })
    }

    /// Stops its timers and watches.
    fn close(&self) {
        self.files.stop();
        self.exchange.close();
    }
}

/// Whether any attempt was made for a copy. The decision module refuses a safe request that it gives up, because
/// it may be repeated, whether or not an attempt was made; only the transport knows.
#[derive(Clone, Default)]
struct Begun(Rc<Cell<bool>>);

/// A transport that records the start of attempts.
struct Seen(Rc<Upstreams>);

impl Transport for Seen {
    fn attempt(self: Rc<Self>, call: Rc<AttemptContext>) -> LocalFuture<AttemptOutcome> {
        if let Some(begun) =
            call.message.attachment.as_ref().and_then(|h| h.downcast_ref::<Begun>())
        {
            begun.0.set(true);
        }
        self.0.clone().attempt(call)
    }

    fn check_health(
        self: Rc<Self>,
        server: ServerId,
        to: SocketAddr,
    ) -> LocalFuture<Option<LoadReport>> {
        self.0.clone().check_health(server, to)
    }

    fn set_retired(&self, server: ServerId, retired: bool) {
        self.0.set_retired(server, retired);
    }

    fn address_changed(&self, server: ServerId) {
        self.0.address_changed(server);
    }

    fn forget(&self, server: ServerId) {
        self.0.forget(server);
    }
}

struct Carrier {
    candidate: Copies,
    control: Option<Copies>,
    clock: Clock,
    time: Duration,
    mark: Bytes,
    drop: Vec<String>,
    rules: Rules,
    shared: Arc<Shared>,
}

/// An ended copy and its outcomes.
struct Ended {
    job: Job,
    /// For the gate.
    end: End,
    candidate: CopyOutcome,
    control: Option<CopyOutcome>,
    disturbed: bool,
}

/// The outcome of a copy at one pool.
enum Sent {
    Served(Answer),
    /// Not sent: its id is still in use, or too many are in flight. Proves nothing about the pool.
    Not,
    /// The decision module found no server for it.
    Waited,
    Failed,
}

impl Carrier {
    async fn serve(self: &Rc<Self>, options: &Options, mut jobs: mpsc::Receiver<Job>, ends: Ends) {
        let copied = options.bounds.classes.iter().copied();
        let classes = options.classes.iter().cloned().zip(copied);
        let mut record = Record::new(&options.name, classes);
        record.pools = (options.live.clone(), options.candidate.name.clone());
        record.control = options.control.as_ref().map(|group| group.name.clone());
        record.from_ms = self.clock.now().0 / 1000;
        let mut writes = interval(options.record_every);
        writes.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut sweeps = interval(SWEEP);
        sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut copies = JoinSet::new();
        let mut wrong = None;
        loop {
            tokio::select! {
                job = jobs.recv() => match job {
                    Some(job) => {
                        let carrier = self.clone();
                        copies.spawn_local(async move { carrier.carry(job).await });
                    }
                    None => break,
                },
                Some(ended) = copies.join_next() => {
                    self.ended(&mut record, options, &ends, ended);
                }
                _ = writes.tick() => self.write(&mut record, options, &mut wrong),
                _ = sweeps.tick() => self.sweep(),
            }
        }
        // Each ends within its time limit.
        while let Some(ended) = copies.join_next().await {
            self.ended(&mut record, options, &ends, ended);
        }
        self.write(&mut record, options, &mut wrong);
        self.candidate.close();
        self.control.iter().for_each(Copies::close);
    }

    fn sweep(&self) {
        self.candidate.transport.sweep();
        self.control.iter().for_each(|control| control.transport.sweep());
    }

    fn ended(
        &self,
        record: &mut Record,
        options: &Options,
        ends: &Ends,
        ended: Result<Ended, tokio::task::JoinError>,
    ) {
        let ended = match ended {
            Ok(ended) => ended,
            // What it held stays counted, so that the limits can only become tighter.
            Err(e) => {
                eprintln!("sableloom: shadow {}: a copy's handling panicked: {e}", options.name);
                return;
            }
        };
        let Ended { job, end, candidate, control, disturbed } = ended;
        let id = String::from_utf8_lossy(&job.request.id[..job.request.id.len().min(MAX_ID_BYTES)])
            .into_owned();
        let (class, live) = (job.request.class, job.took);
        let pair = Pair { class, id: &id, live, candidate, control, disturbed };
        record.add(&pair, options.values);
        // The live side may have ended.
        let _ = ends.send((job.copied, end));
    }

    async fn carry(&self, job: Job) -> Ended {
        let candidate = self.send(&self.candidate, &job);
        let (candidate, control) = match &self.control {
            Some(control) => {
                let (candidate, control) = tokio::join!(candidate, self.send(control, &job));
                (candidate, Some(control))
            }
            None => (candidate.await, None),
        };
        let disturbed = self.shared.changes.touched(job.request.key, job.request.taken);
        let end = match candidate.0 {
            Sent::Served(_) => End::Served,
            Sent::Not => End::Refused,
            Sent::Waited | Sent::Failed => End::Failed,
        };
        // Pairs that are not compared cost nothing.
        let tried = |(sent, took): (Sent, Span)| match sent {
            Sent::Served(_) if disturbed => CopyOutcome::Served(took, Vec::new()),
            Sent::Served(answer) => {
                CopyOutcome::Served(took, differences(&self.rules, &job.answer, &answer))
            }
            Sent::Not | Sent::Waited => CopyOutcome::Refused,
            Sent::Failed => CopyOutcome::Failed(took),
        };
        let (candidate, control) = (tried(candidate), control.map(tried));
        Ended { job, end, candidate, control, disturbed }
    }

    /// Sends a copy; returns its outcome and its duration.
    async fn send(&self, to: &Copies, job: &Job) -> (Sent, Span) {
        let sent = self.clock.now();
        let asked = RequestContext {
            class: job.request.class,
            tenant: job.request.tenant,
            key: job.request.key,
            deadline: sent.plus(Span(self.time.as_micros() as i64)),
        };
        let begun = Begun::default();
        let message = Message { attachment: Some(Box::new(begun.clone())), ..self.message(job) };
        let came = match to.exchange.clone().call(asked, message) {
            Ok(work) => match timeout(self.time + PAST, work).await {
                Ok(Reply::Served(answer)) => Sent::Served(answer),
                _ if begun.0.get() => Sent::Failed,
                _ => Sent::Waited,
            },
            Err(_) => Sent::Not,
        };
        (came, self.clock.now().since(sent))
    }

    /// The copy: marked, with an id of its own, and without the dropped fields.
    fn message(&self, job: &Job) -> Message {
        let id = Bytes::from([&job.request.id[..], ID_END].concat());
        let held: Vec<(&[u8], Bytes)> = job.request.fields.iter().collect();
        let fields = Fields::collect(|| {
            let kept = held.iter().filter(|(name, _)| {
                *name != MARK.as_bytes() && !self.drop.iter().any(|drop| drop.as_bytes() == *name)
            });
            kept.map(|(name, value)| match *name == ID_FIELD.as_bytes() {
                true => (*name, &id[..]),
                false => (*name, &value[..]),
            })
            .chain([(MARK.as_bytes(), &self.mark[..])])
        });
        Message {
            id: id.clone(),
            // The gate admits only safe requests, and copies are sent only here.
            idempotency: Idempotency::Idempotent,
            method: job.request.verb.clone(),
            target: job.request.target.clone(),
            fields,
            body: job.request.body.clone(),
            attachment: None,
            client: None,
        }
    }

    fn write(&self, record: &mut Record, options: &Options, wrong: &mut Option<String>) {
        let counts = &self.shared.counts;
        record.until_ms = self.clock.now().0 / 1000;
        record.seen = counts.seen.load(Ordering::Relaxed);
        record.sampled = counts.sampled.load(Ordering::Relaxed);
        record.copied = counts.copied.load(Ordering::Relaxed);
        record.rests = counts.rests.load(Ordering::Relaxed);
        record.skipped = SkipReason::ALL
            .iter()
            .map(|why| (why.name().to_string(), counts.skipped(*why)))
            .collect();
        let failed = replace(&options.record, record).err();
        if failed != *wrong {
            let (name, path) = (&options.name, options.record.display());
            match &failed {
                Some(e) => eprintln!("sableloom: shadow {name}: {path} is not written: {e}"),
                None => eprintln!("sableloom: shadow {name}: {path} is written again"),
            }
            *wrong = failed;
        }
    }
}

/// Replaces the file atomically: a reader finds either the old record or the new one.
fn replace(path: &Path, record: &Record) -> Result<(), String> {
    let text = serde_json::to_vec_pretty(record).map_err(|e| e.to_string())?;
    let mut name = path.file_name().ok_or("it has no name")?.to_os_string();
    name.push(".new");
    let new = path.with_file_name(name);
    fs::write(&new, text).map_err(|e| e.to_string())?;
    fs::rename(&new, path).map_err(|e| e.to_string())
}

fn differences(rules: &Rules, live: &Answer, other: &Answer) -> Vec<sableloom_shadow::Difference> {
    let values = |answer: &Answer| -> Vec<Option<Bytes>> {
        rules.fields.iter().map(|name| answer.fields.get(name)).collect()
    };
    let (a, b) = (values(live), values(other));
    let sides = [&a, &b].map(|side| side.iter().map(|v| v.as_deref()).collect::<Vec<_>>());
    let side = |fields: usize, answer| Side { fields: &sides[fields], body: answer };
    compare(rules, side(0, &live.body), side(1, &other.body))
}
