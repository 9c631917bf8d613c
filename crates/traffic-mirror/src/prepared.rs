//! A mirror that is ready to be started.

use std::sync::Arc;

use sableloom_shadow::{Changes, Gate};
use sableloom_toml_diagnostics::Problem;
use tokio::sync::{mpsc, oneshot, watch};

use crate::ending::MirrorEnding;
use crate::job::Shared;
use crate::mirror::{Handover, Mirror, MirrorSettings};
use crate::options::MirrorOptions;
use crate::worker::{self, WorkerChannels};

/// A mirror that is ready to be started by [`PreparedMirror::start`].
pub struct PreparedMirror {
    mirror: Mirror,
    start: oneshot::Sender<Vec<MirrorEnding>>,
}

impl PreparedMirror {
    /// Reads the files of its pools and prepares its thread.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with the files, or why there is no thread.
    pub async fn new(options: MirrorOptions) -> Result<Self, Vec<Problem>> {
        let gate = Gate::new(options.limits.clone(), options.clock.now());
        let changes = Changes::new(options.settle);
        let shared = Arc::new(Shared { changes, counts: gate.counts() });
        let (jobs, received_jobs) = mpsc::channel(options.limits.max_in_flight);
        let (ended, received_ended) = mpsc::unbounded_channel();
        let (ready, is_ready) = oneshot::channel();
        let (start, starts) = oneshot::channel();
        let (alive, still_alive) = watch::channel(());
        let copied_to = std::iter::once(&options.candidate).chain(&options.control_group);
        let pools = copied_to.map(|pool| pool.name.clone()).collect();
        let name = options.name.clone();
        let settings = MirrorSettings::of(&options);
        let channels = WorkerChannels { jobs: received_jobs, ended, ready, start: starts };
        let worker_shared = shared.clone();
        let failed = |what: String| vec![Problem::of_file(&name, format!("shadow: {what}"))];
        std::thread::Builder::new()
            .name("shadow".into())
            .spawn(move || {
                // Dropped with the thread, also when it panics.
                let _alive = alive;
                worker::run(options, worker_shared, channels);
            })
            .map_err(|e| failed(format!("no thread: {e}")))?;
        match is_ready.await {
            Ok(Ok(())) => {}
            Ok(Err(problems)) => return Err(problems),
            Err(_) => return Err(failed("its thread ended".into())),
        }
        let ending = MirrorEnding { pools, alive: still_alive };
        let handover = Handover { jobs, ended: received_ended, ending };
        Ok(Self { mirror: Mirror::new(settings, gate, shared, handover), start })
    }

    /// Starts it as soon as earlier mirrors of the same servers have ended: otherwise two decision modules would
    /// each use the full concurrency limit of those servers.
    pub fn start(self, after: Vec<MirrorEnding>) -> Mirror {
        // If the thread has ended meanwhile, the first copy detects it.
        let _ = self.start.send(after);
        self.mirror
    }
}
