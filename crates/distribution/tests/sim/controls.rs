//! Control machines: each reads the operators' files at its own pace, and publishes them.

use oorandom::Rand64;
use sableloom_distribution::{
    Change, FrameReader, Publisher, PublisherMessage, PublisherOptions, PublisherOutput, Store,
    encode,
};
use sableloom_types::{Span, Time};

use super::coverage::control_reason_name;
use super::link::Way;
use super::world::{Event, FRAME_SLACK, MS, SECOND, World};

impl World {
    pub(crate) fn start_control(&mut self, control: usize) {
        if self.controls[control].publisher.is_some() {
            return;
        }
        let store = self.read_store(control);
        let state = &mut self.controls[control];
        state.incarnation += 1;
        state.publisher = Some(Publisher::new(store, self.options));
    }

    pub(crate) fn read_store(&mut self, control: usize) -> Store {
        let mut store = Store::new(self.limits);
        let state = &self.controls[control];
        let history = &self.histories[state.history];
        let up_to = state.read_up_to.unwrap_or(u64::MAX).min(history.number());
        for entry in history.entries.iter().take(up_to as usize) {
            store.append(entry.clone()).expect("the operator's change");
        }
        store
    }

    pub(crate) fn read(&mut self, control: usize) {
        let again = self.after(5 * MS, 150 * MS);
        self.at(again, Event::Read { control });
        let now = self.now;
        let state = &self.controls[control];
        if state.publisher.is_none() || state.lags_until > now || state.frozen_until > now {
            return;
        }
        let forked = self.kinds.forks && !self.quiet && state.history != self.head_log;
        if state.history != self.head_log
            && !(forked
                && self.histories[state.history].epoch == self.histories[self.head_log].epoch)
        {
            self.controls[control].history = self.head_log;
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
                publisher.append(now, entry, out).expect("the operator's change");
            });
        }
    }

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
            "more snapshots than turns"
        );
        assert!(publisher.store().log_entries() <= self.limits.log_entries, "the log has no bound");
        let due = publisher.due();
        for output in out {
            self.publisher_output(control, output);
        }
        if let Some(Time(due)) = due
            && self.controls[control].timer.is_none_or(|timer| due < timer)
        {
            self.controls[control].timer = Some(due);
            self.at(due, Event::ControlTimer { control });
        }
    }

    pub(crate) fn control_timer(&mut self, control: usize) {
        self.controls[control].timer = None;
        let thaw = self.controls[control].frozen_until;
        if thaw > self.now {
            self.controls[control].timer = Some(thaw);
            self.at(thaw, Event::ControlTimer { control });
            return;
        }
        self.with_publisher(control, |publisher, now, out| {
            publisher.tick(now, out);
        });
    }

    pub(crate) fn publisher_output(&mut self, control: usize, output: PublisherOutput) {
        match output {
            PublisherOutput::Send { session, frame } => {
                let frame = self.watch_frame(session.0, frame);
                self.send(session.0, Way::PublisherMessage, frame);
                let bytes = self.connections.get(&session.0).map_or(0, |c| c.to_subscriber.bytes);
                assert!(
                    bytes <= self.options.max_queued_bytes + FRAME_SLACK,
                    "{bytes} bytes are queued"
                );
            }
            PublisherOutput::Close { session, reason } => {
                self.count(&control_reason_name(reason));
                self.leave(session.0, Way::PublisherMessage);
            }
        }
        let _ = control;
    }

    /// Counts the transactions that begin, and sometimes flips a bit of a body.
    pub(crate) fn watch_frame(&mut self, connection: u64, frame: Vec<u8>) -> Vec<u8> {
        let mut reader = FrameReader::new();
        reader.push(&frame);
        let Ok(Some(message)) = reader.next_message::<PublisherMessage>() else {
            panic!("a publisher sends no message");
        };
        match message {
            PublisherMessage::Begin { .. } => {
                if let Some(subscriber) = self.connections.get(&connection).map(|c| c.subscriber) {
                    self.balancers[subscriber].begun += 1;
                }
                frame
            }
            PublisherMessage::Changes { transaction, mut changes }
                if !self.quiet && self.below(50) == 0 =>
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

pub(crate) fn publisher_options(random: &mut Rand64, checks_atomicity: bool) -> PublisherOptions {
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
