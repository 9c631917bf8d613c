//! The task of a subscription, which passes events to the state machine and applies the outputs of the state machine.

use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

use sableloom_distribution::{DisconnectReason, SubscriberOutput};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

use crate::link::{Link, LinkEvent};
use crate::shared::Shared;
use crate::state_writer::StateWriter;

/// An event for which the task wakes up.
enum Wake {
    Link(LinkEvent),
    WriteFinished(io::Result<()>),
    TickDue,
    SaveDue,
    OutputsQueued,
}

/// The task of a subscription, which owns the connection and the writer of the state file.
pub(crate) struct SubscriptionTask {
    shared: Rc<Shared>,
    link: Link,
    writer: Option<StateWriter>,
}

impl SubscriptionTask {
    pub(crate) fn new(shared: Rc<Shared>, writer: Option<StateWriter>) -> Self {
        Self { shared, link: Link::None, writer }
    }

    /// Handles events forever.
    pub(crate) async fn run(mut self) {
        loop {
            match self.next_wake().await {
                Wake::Link(event) => self.handle_link_event(event),
                Wake::WriteFinished(result) => self.handle_write_result(result),
                Wake::TickDue => {
                    let outputs =
                        self.shared.call(|subscriber, now, out| subscriber.tick(now, out));
                    self.apply(outputs);
                }
                Wake::SaveDue => self.start_save(),
                Wake::OutputsQueued => {
                    let outputs = self.shared.take_queued_outputs();
                    self.apply(outputs);
                }
            }
            // Yielding after each event lets the thread serve requests, however much a control machine sends.
            yield_now().await;
        }
    }

    async fn next_wake(&mut self) -> Wake {
        let shared = self.shared.clone();
        let tick_at = shared.subscriber.borrow().due().map(|due| shared.instant_at(due));
        let save_at = self.writer.as_ref().and_then(StateWriter::next_write);
        tokio::select! {
            event = self.link.next_event(&shared.traffic) => Wake::Link(event),
            result = wait_for_write(&mut self.writer) => Wake::WriteFinished(result),
            () = sleep_until_or_forever(tick_at) => Wake::TickDue,
            () = sleep_until_or_forever(save_at) => Wake::SaveDue,
            () = shared.wait_for_queued_outputs() => Wake::OutputsQueued,
        }
    }

    fn handle_link_event(&mut self, event: LinkEvent) {
        let reason = match event {
            LinkEvent::Connected => {
                let outputs =
                    self.shared.call(|subscriber, now, out| subscriber.connected(now, out));
                return self.apply(outputs);
            }
            LinkEvent::Received => return self.handle_received(),
            LinkEvent::Failed(error) => DisconnectReason::ConnectFailed(error.to_string().into()),
            LinkEvent::Ended(None) => {
                DisconnectReason::Lost("closed by the control machine".into())
            }
            LinkEvent::Ended(Some(error)) => DisconnectReason::Lost(error.to_string().into()),
        };
        self.disconnect(reason);
    }

    fn disconnect(&mut self, reason: DisconnectReason) {
        self.link = Link::None;
        let outputs =
            self.shared.call(|subscriber, now, out| subscriber.disconnected(now, reason, out));
        self.apply(outputs);
    }

    fn handle_received(&mut self) {
        loop {
            let received = self.link.next_message();
            let outputs = match received {
                Ok(None) => return,
                Ok(Some(message)) => {
                    self.shared.call(|subscriber, now, out| subscriber.message(now, message, out))
                }
                Err(error) => {
                    self.shared.call(|subscriber, now, out| subscriber.malformed(now, error, out))
                }
            };
            // The outputs may close the connection; the next call then returns no message.
            self.apply(outputs);
        }
    }

    fn apply(&mut self, outputs: Vec<SubscriberOutput>) {
        let mut queue = VecDeque::from(outputs);
        while let Some(output) = queue.pop_front() {
            match output {
                SubscriberOutput::Connect { control_machine } => {
                    if let Some(address) = self.shared.control_machines.get(control_machine) {
                        self.link = Link::connect(*address);
                    }
                }
                SubscriberOutput::Send(message) => {
                    if !self.link.send(&message) {
                        self.disconnect(DisconnectReason::Lost(
                            "too many unsent bytes are queued".into(),
                        ));
                    }
                }
                SubscriberOutput::Close { .. } => self.link = Link::None,
                SubscriberOutput::Apply(transaction) => {
                    let result = self.shared.applier.apply(&transaction);
                    queue.extend(self.shared.call(|subscriber, _, out| {
                        subscriber.apply_finished(transaction.id, result, out);
                    }));
                }
                SubscriberOutput::Event(event) => self.shared.handle_event(&event),
                SubscriberOutput::Save => {
                    if let Some(writer) = &mut self.writer {
                        writer.schedule(Instant::now());
                    }
                }
            }
        }
    }

    /// Copies the state, and starts to write the copy to the state file.
    fn start_save(&mut self) {
        let start = Instant::now();
        let state = self.shared.subscriber.borrow().saved_state();
        let longest = self.shared.longest_state_copy.get().max(start.elapsed());
        self.shared.longest_state_copy.set(longest);
        if let Some(writer) = &mut self.writer {
            writer.write(Instant::now(), state);
        }
    }

    /// Handles the result of a write. A failed write is scheduled again, and logged unless the write before it failed
    /// with the same error.
    fn handle_write_result(&mut self, result: io::Result<()>) {
        let Some(writer) = &mut self.writer else { return };
        let path = writer.path().display().to_string();
        let applier = &self.shared.applier;
        let mut save_error = self.shared.save_error.borrow_mut();
        match result {
            Ok(()) => {
                if save_error.take().is_some() {
                    applier.log(&format!("state file {path}: written again"));
                }
            }
            Err(error) => {
                let error = error.to_string();
                if save_error.as_ref() != Some(&error) {
                    applier.log(&format!(
                        "state file {path}: not written; a restart without a control machine would restore an \
                         older state: {error}"
                    ));
                }
                *save_error = Some(error);
                writer.schedule(Instant::now());
            }
        }
    }
}

async fn sleep_until_or_forever(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

async fn wait_for_write(writer: &mut Option<StateWriter>) -> io::Result<()> {
    match writer {
        Some(writer) => writer.wait_for_write().await,
        None => std::future::pending().await,
    }
}
