//! Shadow traffic: sends copies of answered safe requests to a candidate pool, and compares the answers. The
//! requests are observed on the thread that serves them ([`Mirror`]). Everything else, from connections to
//! the comparison, happens on a second thread of low priority, so that a candidate that hangs delays nothing
//! else. `sableloom-shadow` decides what is copied and how answers differ.

mod live;
mod side;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sableloom_exchange::{Answer, Clock, Fields, Message, RequestContext};
use sableloom_server_files::Files;
use sableloom_shadow::{Bounds, Changes, Copied, Counts, End, Gate, Rules};
use sableloom_toml_diagnostics::Problem;
use sableloom_types::settings::DeploymentSettings;
use sableloom_types::{Span, Time};
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot, watch};

pub use live::Mirror;

/// Descriptors of the side thread besides those of its pools (event queue, waker, record).
pub const SOCKETS_SIDE: usize = 4;
/// Descriptors of each of its pools besides its connections (a watch, files that are read).
pub const SOCKETS_POOL: usize = 4;
/// The header field that marks a copy; its value is the name of the shadow.
pub const MARK: &str = "x-shadow";
/// The header field of the request id, in the mapping of every protocol.
const ID_FIELD: &str = "x-trace-id";
/// Suffix of the ids of copies.
pub const ID_END: &[u8] = b"-shadow";

/// A pool that receives copies.
pub struct Group {
    /// Its name.
    pub name: String,
    /// Facts for its decision module.
    pub settings: DeploymentSettings,
    /// Its servers.
    pub files: Files,
}

/// The configuration of a shadow.
pub struct Options {
    /// Its name.
    pub name: String,
    /// The live pool's name.
    pub live: String,
    /// The pool that is tested.
    pub candidate: Group,
    /// A second pool of the live version, which shows differences that are not the candidate's.
    pub control: Option<Group>,
    /// Limits on the cost of copying.
    pub bounds: Bounds,
    /// How answers are compared.
    pub rules: Rules,
    /// Names and latency objectives in milliseconds of the classes.
    pub classes: Vec<(String, f64)>,
    /// Time limit of a copy.
    pub time: Duration,
    /// How long after its end a change is visible at every server.
    pub settle: Span,
    /// How long after its failure a change whose outcome is unknown may still take effect.
    pub doubt: Span,
    /// Header fields that are not copied, in lower case.
    pub drop: Vec<String>,
    /// Whether differing values are recorded.
    pub values: bool,
    /// The file of the record.
    pub record: PathBuf,
    /// How often the record is written.
    pub record_every: Duration,
    /// The clock of the live side.
    pub clock: Clock,
    /// The descriptors that it may use, released when it has ended.
    pub sockets: OwnedSemaphorePermit,
}

impl Options {
    /// Descriptors that a shadow with this many copies in flight and pools needs.
    pub fn sockets(in_flight: usize, pools: usize) -> usize {
        SOCKETS_SIDE + pools * (SOCKETS_POOL + in_flight)
    }
}

/// A request and its live answer, handed to the side thread.
struct Job {
    copied: Copied,
    request: CapturedRequest,
    answer: Answer,
    /// How long the live side took.
    took: Span,
}

/// A sampled request, as the live side received it.
struct CapturedRequest {
    class: usize,
    tenant: usize,
    key: Option<u64>,
    id: Bytes,
    verb: Bytes,
    target: Bytes,
    fields: Fields,
    body: Bytes,
    /// When it was received.
    taken: Time,
}

impl CapturedRequest {
    /// Shares the buffers of the live request.
    fn of(asked: &RequestContext, message: &Message, taken: Time) -> Self {
        Self {
            class: asked.class,
            tenant: asked.tenant,
            key: asked.key,
            id: message.id.clone(),
            verb: message.method.clone(),
            target: message.target.clone(),
            fields: message.fields.clone(),
            body: message.body.clone(),
            taken,
        }
    }

    /// Copies it into buffers of its own: a slice of a shared buffer would keep the whole buffer in memory,
    /// beyond the limit on bytes.
    fn detached(self) -> Self {
        let owned = |bytes: &Bytes| Bytes::copy_from_slice(bytes);
        Self {
            id: owned(&self.id),
            verb: owned(&self.verb),
            target: owned(&self.target),
            body: owned(&self.body),
            ..self
        }
    }
}

/// State that both threads share.
struct Shared {
    changes: Changes,
    counts: Arc<Counts>,
}

/// Reports ended copies to the gate. Bounded by the number of copies in flight.
type Ends = mpsc::UnboundedSender<(Copied, End)>;

/// A shadow that makes no more copies, and may have some in flight.
#[derive(Clone, Debug)]
pub struct Ending {
    /// The pools that received its copies.
    pools: Vec<String>,
    /// Closed when its thread has ended, for whatever reason.
    alive: watch::Receiver<()>,
}

impl Ending {
    /// Whether its thread has ended.
    pub fn is_over(&self) -> bool {
        self.alive.has_changed().is_err()
    }

    /// Whether its copies went to one of these pools.
    pub fn shares<'p>(&self, mut pools: impl Iterator<Item = &'p str>) -> bool {
        pools.any(|pool| self.pools.iter().any(|own| own == pool))
    }

    async fn over(mut self) {
        while self.alive.changed().await.is_ok() {}
    }
}

/// A shadow that is ready to be started by [`Ready::go`].
pub struct Ready {
    mirror: Mirror,
    go: oneshot::Sender<Vec<Ending>>,
}

impl Ready {
    /// Reads its files and prepares its thread; on failure all problems are returned.
    pub async fn new(options: Options) -> Result<Self, Vec<Problem>> {
        let gate = Gate::new(options.bounds.clone(), options.clock.now());
        let shared = Shared { changes: Changes::new(options.settle), counts: gate.counts() };
        let shared = Arc::new(shared);
        let (jobs, taken) = mpsc::channel(options.bounds.in_flight);
        let (ends, ended) = mpsc::unbounded_channel();
        let (ready, is_ready) = oneshot::channel();
        let (go, goes) = oneshot::channel();
        let (lives, alive) = watch::channel(());
        let groups = std::iter::once(&options.candidate).chain(&options.control);
        let pools = groups.map(|group| group.name.clone()).collect();
        let name = options.name.clone();
        let live = live::Settings::of(&options);
        let theirs = shared.clone();
        let failed = |what: String| vec![Problem::of_file(&name, format!("shadow: {what}"))];
        std::thread::Builder::new()
            .name("shadow".into())
            .spawn(move || {
                // Dropped with the thread, also when it panics.
                let _lives = lives;
                side::run(options, theirs, taken, ends, ready, goes);
            })
            .map_err(|e| failed(format!("no thread: {e}")))?;
        match is_ready.await {
            Ok(Ok(())) => {}
            Ok(Err(wrong)) => return Err(wrong),
            Err(_) => return Err(failed("its thread ended".into())),
        }
        let ending = Ending { pools, alive };
        Ok(Self { mirror: Mirror::new(live, gate, shared, jobs, ended, ending), go })
    }

    /// Starts it as soon as earlier shadows of the same servers have ended: otherwise two decision modules would
    /// each use the full concurrency limit of those servers.
    pub fn go(self, after: Vec<Ending>) -> Mirror {
        // If the thread has ended meanwhile, the first copy detects it.
        let _ = self.go.send(after);
        self.mirror
    }
}
