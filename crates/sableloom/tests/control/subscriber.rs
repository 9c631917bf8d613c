//! A subscriber as a process: the state machine of `sableloom-distribution` over a blocking socket. What happens
//! to it is printed, a line each.

use std::collections::BTreeMap;
use std::env;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use sableloom_distribution::{
    Change, DisconnectReason, FrameReader, PublisherMessage, Rejection, Resource, ResourceName,
    ServiceName, Subscriber, SubscriberEvent, SubscriberName, SubscriberOptions, SubscriberOutput,
    SubscriberTiming, Transaction, encode,
};
use sableloom_testkit::Process;
use sableloom_types::{Span, Time};

const MACHINES: &str = "SABLELOOM_TEST_SUBSCRIBER_MACHINES";
const SERVICES: &str = "SABLELOOM_TEST_SUBSCRIBER_SERVICES";
/// A server with this id is rejected by a subscriber that is started to reject it.
pub(crate) const REJECTED_ID: &str = "refused";
const REJECTS: &str = "SABLELOOM_TEST_SUBSCRIBER_REFUSES";

/// How a subscriber is started.
pub(crate) struct Options<'o> {
    pub(crate) machines: &'o [SocketAddr],
    pub(crate) services: &'o [&'o str],
    pub(crate) rejects: bool,
}

/// Starts a subscriber as a process of its own: this test program with the one test that runs a subscriber.
pub(crate) fn start(options: &Options<'_>) -> Process {
    let machines: Vec<String> = options.machines.iter().map(ToString::to_string).collect();
    let mut command = Command::new(env::current_exe().expect("this program"));
    command.args(["subscriber_process", "--exact", "--nocapture", "--test-threads=1"]);
    command.env(MACHINES, machines.join(",")).env(SERVICES, options.services.join(","));
    if options.rejects {
        command.env(REJECTS, "1");
    }
    let mut child = command.stdout(Stdio::piped()).spawn().expect("a subscriber starts");
    let lines = child.stdout.take().expect("piped");
    Process::new(child, lines)
}

/// What `subscriber_process` does; nothing if it was not started as a subscriber.
pub(crate) fn run() {
    let (Ok(machines), Ok(services)) = (env::var(MACHINES), env::var(SERVICES)) else { return };
    let machines = machines.split(',').map(|m| m.parse().expect("an address")).collect();
    let scope = services.split(',').map(|s| ServiceName::try_from(s).expect("a name")).collect();
    // The test harness has begun a line.
    print_line("");
    SubscriberProcess::new(machines, scope).run();
}

/// The state machine over one blocking connection.
struct SubscriberProcess {
    machines: Vec<SocketAddr>,
    subscriber: Subscriber,
    started: Instant,
    stream: Option<TcpStream>,
    frames: FrameReader,
    applied: BTreeMap<ResourceName, Resource>,
    rejects: bool,
}

impl SubscriberProcess {
    fn new(machines: Vec<SocketAddr>, scope: Vec<ServiceName>) -> Self {
        let name = SubscriberName::try_from("balancer-1").expect("a name");
        let seed = u64::from(std::process::id());
        let mut options = SubscriberOptions::new(name, machines.len(), scope, seed);
        options.timing = SubscriberTiming {
            first_delay_max: Span(1_000),
            backoff_base: Span(20_000),
            backoff_max: Span(100_000),
            ..SubscriberTiming::default()
        };
        Self {
            machines,
            subscriber: Subscriber::new(options),
            started: Instant::now(),
            stream: None,
            frames: FrameReader::new(),
            applied: BTreeMap::new(),
            rejects: env::var_os(REJECTS).is_some(),
        }
    }

    fn now(&self) -> Time {
        Time(self.started.elapsed().as_micros() as i64)
    }

    fn with_subscriber(
        &mut self,
        call: impl FnOnce(&mut Subscriber, Time, &mut Vec<SubscriberOutput>),
    ) {
        let (now, mut outputs) = (self.now(), Vec::new());
        call(&mut self.subscriber, now, &mut outputs);
        for output in outputs {
            self.apply_output(output);
        }
    }

    fn run(mut self) {
        self.with_subscriber(Subscriber::start);
        loop {
            let due = self.subscriber.due().map_or(1_000, |due| due.since(self.now()).0.max(100));
            let wait = Duration::from_micros(due as u64);
            match self.stream.take() {
                None => std::thread::sleep(wait),
                Some(stream) => self.read(stream, wait),
            }
            let now = self.now();
            if self.subscriber.due().is_some_and(|due| due <= now) {
                self.with_subscriber(Subscriber::tick);
            }
        }
    }

    fn read(&mut self, mut stream: TcpStream, wait: Duration) {
        stream.set_read_timeout(Some(wait)).expect("a time");
        let mut buffer = [0; 64 << 10];
        let count = match stream.read(&mut buffer) {
            Ok(0) => return self.lost("closed"),
            Ok(count) => count,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => 0,
            Err(e) => return self.lost(&e.to_string()),
        };
        self.stream = Some(stream);
        self.frames.push(&buffer[..count]);
        while self.stream.is_some() {
            match self.frames.next_message::<PublisherMessage>().expect("control sends messages") {
                None => return,
                Some(message) => {
                    match &message {
                        PublisherMessage::Changes { changes, .. } => {
                            print_line(&format!("received {} changes", changes.len()));
                        }
                        PublisherMessage::Current { position, .. } => {
                            print_line(&format!("current {position}"))
                        }
                        _ => {}
                    }
                    self.with_subscriber(|subscriber, now, out| {
                        subscriber.message(now, message, out)
                    });
                }
            }
        }
    }

    fn lost(&mut self, why: &str) {
        let reason = DisconnectReason::Lost(why.into());
        self.with_subscriber(|subscriber, now, out| subscriber.disconnected(now, reason, out));
    }

    fn apply_output(&mut self, output: SubscriberOutput) {
        match output {
            SubscriberOutput::Connect { control_machine } => {
                self.connect(self.machines[control_machine])
            }
            SubscriberOutput::Send(message) => {
                // A broken connection is found by the next read.
                if let Some(stream) = &mut self.stream {
                    let _ = stream.write_all(&encode(&message));
                }
            }
            SubscriberOutput::Close { .. } => self.stream = None,
            SubscriberOutput::Apply(transaction) => self.apply(transaction),
            SubscriberOutput::Event(event) => print_event(&event),
            SubscriberOutput::Save => {}
        }
    }

    fn connect(&mut self, machine: SocketAddr) {
        self.frames = FrameReader::new();
        match TcpStream::connect(machine) {
            Ok(stream) => {
                self.stream = Some(stream);
                self.with_subscriber(Subscriber::connected);
            }
            Err(e) => {
                let reason = DisconnectReason::ConnectFailed(e.to_string().into());
                self.with_subscriber(|subscriber, now, out| {
                    subscriber.disconnected(now, reason, out)
                });
            }
        }
    }

    fn apply(&mut self, transaction: Transaction) {
        let rejections = self.rejections(&transaction);
        if rejections.is_empty() {
            for update in transaction.services {
                let how = if update.snapshot { "snapshot" } else { "delta" };
                for change in update.changes {
                    match change {
                        Change::Set(resource) => {
                            _ = self.applied.insert(resource.name.clone(), resource);
                        }
                        Change::Remove { name, .. } => _ = self.applied.remove(&name),
                        Change::RemoveService { .. } => panic!("only single removals are sent"),
                    }
                }
                let held =
                    self.applied.keys().filter(|name| name.service == update.service).count();
                print_line(&format!(
                    "applied {how} {} {} {:016x} {held}",
                    update.service, update.version, update.digest
                ));
            }
            self.with_subscriber(|subscriber, _, out| {
                subscriber.apply_finished(transaction.id, Ok(()), out);
            });
        } else {
            self.with_subscriber(|subscriber, _, out| {
                subscriber.apply_finished(transaction.id, Err(rejections), out);
            });
        }
    }

    fn rejections(&self, transaction: &Transaction) -> Vec<Rejection> {
        let changes = transaction.services.iter().flat_map(|update| &update.changes);
        let rejected = changes.filter_map(|change| match change {
            Change::Set(resource) if self.rejects && &*resource.name.key == REJECTED_ID => {
                Some(resource)
            }
            _ => None,
        });
        let rejection = |resource: &Resource| Rejection {
            resource: resource.name.clone(),
            origin: resource.origin.clone(),
            field: Arc::from("zone"),
            problem: Arc::from("no such zone here"),
        };
        rejected.map(rejection).collect()
    }
}

fn print_event(event: &SubscriberEvent) {
    let line = match event {
        SubscriberEvent::Connected { control_machine, position } => {
            format!("connected {control_machine} {position}")
        }
        SubscriberEvent::Disconnected { control_machine, reason } => {
            format!("disconnected {control_machine} {reason}")
        }
        // Every bookmark has this event; the messages are printed instead.
        SubscriberEvent::Current { .. } => return,
        SubscriberEvent::Diverged { control_machine, latest_position, machine_position } => {
            format!("diverged {control_machine} {latest_position} {machine_position}")
        }
        other => format!("{other:?}"),
    };
    print_line(&line);
}

fn print_line(line: &str) {
    // The test that reads the output may be over.
    if writeln!(std::io::stdout().lock(), "{line}").is_err() {
        std::process::exit(0);
    }
}
