//! The list of servers from a discovery service over HTTP: its form, and the watch that keeps it. When
//! it is called is decided in `sableloom-watch`.

mod call;
mod list;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use sableloom_discovery_schedule::{Ended, State, Watch};
use sableloom_exchange::{Clock, EndpointListener, EndpointSource, Task};
use sableloom_types::ListKind;
use tokio::time::sleep_until;

use call::{Asked, Call, Line, call};
pub use call::{Dial, Stream, over_tcp};
pub use list::Snapshot;

/// A discovery service, as a source of servers.
pub struct Discovery {
    at: Cell<SocketAddr>,
    clock: Clock,
    dial: Dial,
    revision: Cell<Option<u64>>,
    sink: RefCell<Option<Rc<dyn EndpointListener>>>,
    watch: RefCell<Watch>,
    /// The running watch, if there is one.
    runs: RefCell<Option<Task>>,
    /// The problem that was logged last.
    logged: RefCell<Option<&'static str>>,
}

/// What a discovery service is reached and watched by.
pub struct Options {
    /// Where it is.
    pub at: SocketAddr,
    /// The clock that all parts share.
    pub clock: Clock,
    /// How it is reached.
    pub dial: Dial,
    /// The version of the list that is known.
    pub revision: Option<u64>,
    /// When it is called.
    pub watch: Watch,
}

impl Discovery {
    /// A service that is not watched yet.
    pub fn new(options: Options) -> Rc<Self> {
        let Options { at, clock, dial, revision, watch } = options;
        Rc::new(Self {
            at: Cell::new(at),
            clock,
            dial,
            revision: Cell::new(revision),
            sink: RefCell::new(None),
            watch: RefCell::new(watch),
            runs: RefCell::new(None),
            logged: RefCell::new(None),
        })
    }

    /// Tells this sink, also before it first subscribes.
    pub fn attach(&self, sink: Rc<dyn EndpointListener>) {
        *self.sink.borrow_mut() = Some(sink);
    }

    /// It is at this address from now on, and watched there at once, also if no watch runs. Its
    /// list is asked for whole: versions of one service need not be those of another. Guards
    /// against an old service that still answers for a while, or says nothing more; costs one whole
    /// list if the address is the same.
    pub fn move_to(self: &Rc<Self>, at: SocketAddr) {
        self.at.set(at);
        self.revision.set(None);
        self.watch.borrow_mut().moved(self.clock.now());
        self.begin();
    }

    /// Begins to watch; a watch that runs already ends. Without a sink it begins with the first.
    fn begin(self: &Rc<Self>) {
        if let Some(sink) = self.sink.borrow().clone() {
            *self.runs.borrow_mut() = Some(Task::spawn(self.clone().run(sink)));
        }
    }

    /// Watches for ever.
    async fn run(self: Rc<Self>, sink: Rc<dyn EndpointListener>) {
        let mut kept = None;
        loop {
            let now = self.clock.now();
            let due = self.watch.borrow().due(now);
            if due > now {
                sleep_until(self.clock.instant_of(due)).await;
            }
            let ended = match self.ask(kept.take()).await {
                Call::Whole(snapshot, line) => {
                    kept = Some(line);
                    self.took(snapshot, &sink)
                }
                Call::Broken(why, text) => {
                    // What has come whole and leaves is true. The revision stays: the rest must come
                    // again.
                    let leaving = list::leaving(&text);
                    if !leaving.is_empty() {
                        sink.clone().endpoints_updated(ListKind::Update, leaving);
                    }
                    self.say(Some(why));
                    Ended::Failed
                }
                Call::Silent => {
                    self.say(Some("a call was not answered in its time"));
                    Ended::Silent
                }
            };
            self.watch.borrow_mut().ended(self.clock.now(), ended);
        }
    }

    /// Makes the next call, and one beside it if it is late.
    async fn ask(&self, kept: Option<Line>) -> Call {
        let now = self.clock.now();
        let (next, times) = {
            let mut watch = self.watch.borrow_mut();
            if watch.state(now) == State::Blind {
                self.say(Some("what it tells is overdue; the last list is used on"));
            }
            (watch.call(now), *watch.times())
        };
        let asked = Asked {
            dial: &self.dial,
            at: self.at.get(),
            after: self.revision.get().filter(|_| next.wait.is_some()),
            wait: next.wait,
            until: self.clock.instant_of(next.until),
            times: &times,
        };
        let mut first = pin!(call(kept, &asked));
        let Some(hedge) = next.hedge else { return first.await };
        tokio::select! {
            came = &mut first => return came,
            () = sleep_until(self.clock.instant_of(hedge)) => {}
        }
        let until = self.clock.instant_of(self.clock.now().plus(times.timeout));
        let again = Asked { until, ..asked };
        let mut second = pin!(call(None, &again));
        // Whichever has a list; one that fails leaves the other its time.
        tokio::select! {
            came = &mut first => if let Call::Whole(..) = came { came } else { second.await },
            came = &mut second => if let Call::Whole(..) = came { came } else { first.await },
        }
    }

    /// Takes an answer in.
    fn took(&self, snapshot: Snapshot, sink: &Rc<dyn EndpointListener>) -> Ended {
        let before = self.revision.get();
        let back = before.is_some_and(|before| snapshot.revision < before);
        if back && !snapshot.complete {
            // Its changes are to a list that is not ours: a service that lost its memory.
            self.watch.borrow_mut().want_whole();
            self.say(Some("its version went back"));
            return Ended::Failed;
        }
        let news = before != Some(snapshot.revision);
        self.revision.set(Some(snapshot.revision));
        let kind = if snapshot.complete { ListKind::Full } else { ListKind::Update };
        let entries = snapshot.entries();
        let news = news || !entries.is_empty();
        if kind == ListKind::Full || !entries.is_empty() {
            sink.clone().endpoints_updated(kind, entries);
        }
        self.say(None);
        Ended::Answered { news }
    }

    /// Says what is wrong with discovery, and when it is well again; once each.
    fn say(&self, wrong: Option<&'static str>) {
        let before = self.logged.replace(wrong);
        let at = self.at.get();
        match (before, wrong) {
            (None, Some(why)) => eprintln!("sableloom: discovery at {at}: {why}"),
            (Some(_), None) => eprintln!("sableloom: discovery at {at}: it answers again"),
            _ => {}
        }
    }
}

impl EndpointSource for Discovery {
    fn subscribe(self: Rc<Self>, sink: Rc<dyn EndpointListener>) {
        self.attach(sink);
        if self.runs.borrow().is_none() {
            self.watch.borrow_mut().begin(self.clock.now());
            self.begin();
        }
    }
}
