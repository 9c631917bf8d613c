//! The second thread of a mirror: sends copies to the candidate, compares the answers, and keeps the record. The
//! serving thread never waits for it.

mod copy_pool;
mod copy_sender;
mod record_file;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sableloom_shadow::{Pair, Record};
use sableloom_toml_diagnostics::Problem;
use tokio::runtime;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinError, JoinSet, LocalSet};
use tokio::time::{Interval, MissedTickBehavior, interval};

use crate::ending::MirrorEnding;
use crate::job::{CopyJob, EndedCopies, EndedCopy, Shared};
use crate::options::MirrorOptions;
use copy_pool::CopyPool;
use copy_sender::{ComparedCopy, CopySender};
use record_file::RecordFile;

/// Nice value of the thread: it gets a tenth of a contended core. Linux keeps this value for each thread
/// (setpriority(2), section BUGS).
const NICE: i32 = 10;
/// How often idle connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum length of an id in the record, in bytes.
const MAX_ID_BYTES: usize = 64;

/// The second thread's ends of the channels to the live thread.
pub(crate) struct WorkerChannels {
    pub(crate) jobs: mpsc::Receiver<CopyJob>,
    pub(crate) ended: EndedCopies,
    /// Told once the pools are open, or what is wrong with them.
    pub(crate) ready: oneshot::Sender<Result<(), Vec<Problem>>>,
    /// The mirrors that must end first; closed if the mirror is never started.
    pub(crate) start: oneshot::Receiver<Vec<MirrorEnding>>,
}

/// Runs the thread until the mirror is stopped and its copies have ended.
pub(crate) fn run(options: MirrorOptions, shared: Arc<Shared>, channels: WorkerChannels) {
    let thread = rustix::thread::gettid();
    if let Err(e) = rustix::process::setpriority_process(Some(thread), NICE) {
        eprintln!("sableloom: shadow {}: no low priority: {e}", options.name);
    }
    match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => {
            LocalSet::new().block_on(&runtime, open_and_serve(&options, shared, channels));
        }
        Err(e) => {
            let problem = Problem::of_file(&options.name, format!("shadow: {e}"));
            let _ = channels.ready.send(Err(vec![problem]));
        }
    }
    // Releases the descriptors.
    drop(options);
}

async fn open_and_serve(options: &MirrorOptions, shared: Arc<Shared>, channels: WorkerChannels) {
    let WorkerChannels { jobs, ended, ready, start } = channels;
    let sender = match CopySender::open(options, shared.clone()).await {
        Ok(sender) => Rc::new(sender),
        Err(problems) => {
            let _ = ready.send(Err(problems));
            return;
        }
    };
    // The mirror was never started: the one that it would have replaced continues.
    if ready.send(Ok(())).is_err() {
        return;
    }
    let Ok(earlier) = start.await else { return };
    for ending in earlier {
        // Takes at most the timeout of a copy; only copies are missed meanwhile.
        ending.ended().await;
    }
    let file = RecordFile::new(options, shared);
    Worker { options, sender, ended, file }.serve(jobs).await;
}

/// The event loop of the thread.
struct Worker<'o> {
    options: &'o MirrorOptions,
    sender: Rc<CopySender>,
    ended: EndedCopies,
    file: RecordFile,
}

impl Worker<'_> {
    async fn serve(mut self, mut jobs: mpsc::Receiver<CopyJob>) {
        let mut record = self.new_record();
        let mut writes = delayed_interval(self.options.record_interval);
        let mut sweeps = delayed_interval(SWEEP_INTERVAL);
        let mut copies = JoinSet::new();
        loop {
            tokio::select! {
                job = jobs.recv() => match job {
                    Some(job) => {
                        let sender = self.sender.clone();
                        copies.spawn_local(async move { sender.send_and_compare(job).await });
                    }
                    None => break,
                },
                Some(compared) = copies.join_next() => self.add(&mut record, compared),
                _ = writes.tick() => self.file.write(&mut record),
                _ = sweeps.tick() => self.sender.pools().for_each(CopyPool::sweep),
            }
        }
        // Each copy ends within its timeout.
        while let Some(compared) = copies.join_next().await {
            self.add(&mut record, compared);
        }
        self.file.write(&mut record);
        self.sender.pools().for_each(CopyPool::close);
    }

    fn new_record(&self) -> Record {
        let options = self.options;
        let copied = options.limits.classes.iter().copied();
        let classes = options.classes.iter().cloned().zip(copied);
        let mut record = Record::new(&options.name, classes);
        record.pools.live = options.live_pool.clone();
        record.pools.candidate = options.candidate.name.clone();
        record.control = options.control_group.as_ref().map(|pool| pool.name.clone());
        record.started_ms = options.clock.now().0 / 1000;
        record
    }

    /// Adds a pair to the record, and reports the end of the copy to the gate.
    fn add(&self, record: &mut Record, compared: Result<ComparedCopy, JoinError>) {
        let ComparedCopy { job, end, candidate, control, disturbed } = match compared {
            Ok(compared) => compared,
            // What the copy held stays counted, so that the limits can only become tighter.
            Err(e) => {
                let name = &self.options.name;
                eprintln!("sableloom: shadow {name}: a copy's handling panicked: {e}");
                return;
            }
        };
        let request = &job.request;
        let id = String::from_utf8_lossy(&request.id[..request.id.len().min(MAX_ID_BYTES)]);
        let (class, live) = (request.class, job.live_latency);
        let pair = Pair { class, id: &id, live, candidate, control, disturbed };
        record.add(&pair, self.options.records_values);
        // The live side may have ended.
        let _ = self.ended.send(EndedCopy { copy: job.copy, end });
    }
}

fn delayed_interval(period: Duration) -> Interval {
    let mut interval = interval(period);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval
}
