//! The control machines of the simulation: each reads the operators' log at its own pace and publishes it.

use oorandom::Rand64;
use sableloom_distribution::{
    Change, FrameReader, Publisher, PublisherMessage, PublisherOptions, PublisherOutput, Store,
    encode,
};
use sableloom_types::{Span, Time};

use super::connection::Direction;
use super::coverage::close_reason_name;
use super::world::{Event, LARGEST_FRAME_BYTES, MILLISECOND, SECOND, World};

impl World {
    /// Starts the process of a control machine with the log that it can read, unless it is running.
    pub(crate) fn start_control(&mut self, control: usize) {
        if self.controls[control].publisher.is_some() {
            return;
        }
        let store = self.read_store(control);
        let state = &mut self.controls[control];
        state.incarnation += 1;
        state.publisher = Some(Publisher::new(store, self.options));
    }

    /// Returns a store with the changes that a control machine can read.
    pub(crate) fn read_store(&mut self, control: usize) -> Store {
        let mut store = Store::new(self.limits);
        let state = &self.controls[control];
        let history = &self.histories[state.history];
        let up_to = state.read_up_to.unwrap_or(u64::MAX).min(history.number());
        for entry in history.entries.iter().take(up_to as usize) {
            store.append(entry.clone()).expect("a valid change of the operators");
        }
        store
    }

    /// Reads the new changes of the log, and replaces the store if the operators' log is not the one that was read
    /// before. A control machine with a fork of the same epoch keeps the fork while faults are injected.
    pub(crate) fn read_log(&mut self, control: usize) {
        let next_time = self.random_time(5 * MILLISECOND, 150 * MILLISECOND);
        self.schedule(next_time, Event::Read { control });
        let now = self.now;
        let state = &self.controls[control];
        if state.publisher.is_none() || state.reading_paused_until > now || state.paused_until > now
        {
            return;
        }
        let forked = self.schedule_options.allows_forks
            && !self.faults_ended
            && state.history != self.head_history;
        if state.history != self.head_history
            && !(forked
                && self.histories[state.history].epoch == self.histories[self.head_history].epoch)
        {
            self.controls[control].history = self.head_history;
            let store = self.read_store(control);
            self.with_publisher(control, |publisher, now, out| {
                publisher.replace_store(now, store, out)
            });
        }
        let state = &self.controls[control];
        let read =
            state.publisher.as_ref().map_or(0, |publisher| publisher.store().position().number);
        let up_to = state.read_up_to.unwrap_or(u64::MAX);
        let entries: Vec<_> = self.histories[state.history]
            .entries
            .iter()
            .skip(read as usize)
            .filter(|e| e.number <= up_to)
            .cloned()
            .collect();
        for entry in entries {
            self.with_publisher(control, |publisher, now, out| {
                publisher.append(now, entry, out).expect("a valid change of the operators");
            });
        }
    }

    /// Calls a method of a running publisher, checks its invariants, carries out its outputs and sets its timer.
    pub(crate) fn with_publisher(
        &mut self,
        control: usize,
        act: impl FnOnce(&mut Publisher, Time, &mut Vec<PublisherOutput>),
    ) {
        let mut out = Vec::new();
        let Some(publisher) = self.controls[control].publisher.as_mut() else {
            return;
        };
        act(publisher, Time(self.now), &mut out);
        let status = publisher.status();
        assert!(
            status.snapshots as usize <= self.options.max_concurrent_snapshots,
            "more sessions hold a snapshot slot than there are slots"
        );
        assert!(
            publisher.store().log_entries() <= self.limits.log_entries,
            "the log exceeds its limit"
        );
        let due = publisher.due();
        for output in out {
            self.publisher_output(control, output);
        }
        if let Some(Time(due)) = due
            && self.controls[control].timer.is_none_or(|timer| due < timer)
        {
            self.controls[control].timer = Some(due);
            self.schedule(due, Event::ControlTimer { control });
        }
    }

    /// Calls [`Publisher::tick`], or postpones the call while the process is paused.
    pub(crate) fn control_timer(&mut self, control: usize) {
        self.controls[control].timer = None;
        let resume_at = self.controls[control].paused_until;
        if resume_at > self.now {
            self.controls[control].timer = Some(resume_at);
            self.schedule(resume_at, Event::ControlTimer { control });
            return;
        }
        self.with_publisher(control, |publisher, now, out| {
            publisher.tick(now, out);
        });
    }

    /// Carries out an output of a publisher.
    pub(crate) fn publisher_output(&mut self, control: usize, output: PublisherOutput) {
        match output {
            PublisherOutput::Send { session, frame } => {
                let frame = self.process_frame(session.0, frame);
                self.send(session.0, Direction::ToSubscriber, frame);
                let bytes = self.connections.get(&session.0).map_or(0, |c| c.to_subscriber.bytes);
                assert!(
                    bytes <= self.options.max_queued_bytes + LARGEST_FRAME_BYTES,
                    "{bytes} bytes are queued for a session, over the limit and a frame"
                );
            }
            PublisherOutput::Close { session, reason } => {
                self.count_occurrence(&close_reason_name(reason));
                self.close_side(session.0, Direction::ToSubscriber);
            }
        }
        let _ = control;
    }

    /// Counts the transactions that begin, and corrupts the bodies of some frames of changes by flipping a bit in each.
    pub(crate) fn process_frame(&mut self, connection: u64, frame: Vec<u8>) -> Vec<u8> {
        let mut reader = FrameReader::new();
        reader.push(&frame);
        let Ok(Some(message)) = reader.next_message::<PublisherMessage>() else {
            panic!("a publisher sends a frame that can't be decoded");
        };
        match message {
            PublisherMessage::Begin { .. } => {
                if let Some(subscriber) = self.connections.get(&connection).map(|c| c.subscriber) {
                    self.balancers[subscriber].begun_transactions += 1;
                }
                frame
            }
            PublisherMessage::Changes { transaction, mut changes }
                if !self.faults_ended && self.random_below(50) == 0 =>
            {
                for change in &mut changes {
                    if let Change::Set(resource) = change {
                        let mut body = resource.body.as_slice().to_vec();
                        body[0] ^= 1;
                        resource.body = body.into();
                    }
                }
                encode(&PublisherMessage::Changes { transaction, changes })
            }
            _ => frame,
        }
    }
}

/// Returns options with random limits, small enough that the schedules reach them. With `checks_atomicity`, the
/// limit of a transaction's bytes is always 8,000.
pub(crate) fn random_publisher_options(
    random: &mut Rand64,
    checks_atomicity: bool,
) -> PublisherOptions {
    let mut pick = |from: u64, to: u64| random.rand_range(from..to);
    PublisherOptions {
        bytes_per_second: pick(4_000, 200_000),
        burst_bytes: pick(500, 20_000),
        max_concurrent_snapshots: pick(1, 3) as usize,
        max_queued_bytes: pick(100, 3_000) as usize,
        max_unacknowledged: pick(1, 5) as usize,
        max_transaction_bytes: if checks_atomicity { 8_000 } else { pick(300, 4_000) as usize },
        chunk_bytes: pick(60, 1_000) as usize,
        stall_timeout: Span(5 * SECOND),
        acknowledge_timeout: Span(6 * SECOND),
        silence_timeout: Span(5 * SECOND),
        ..PublisherOptions::default()
    }
}
