//! Links between balancers and control machines: delayed, cut, reset, or ended in the middle of a frame.

use sableloom_distribution::{DisconnectReason, SessionId};

use super::link::Way;
use super::world::{Event, MS, World};

impl World {
    pub(crate) fn send(&mut self, id: u64, way: Way, bytes: Vec<u8>) {
        let late = if self.below(20) == 0 { 400 * MS } else { 40 * MS };
        let at = self.after(MS, late);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.stream(way).push(at, bytes);
            self.at(
                at,
                Event::Arrive { connection: id, to_control: way == Way::SubscriberMessage },
            );
        }
    }

    /// A side closes or fails: the other learns of it after all bytes that arrive, of which the last may be missing.
    pub(crate) fn leave(&mut self, id: u64, way: Way) {
        let lost = self.below(3);
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        match way {
            Way::SubscriberMessage => connection.left_by_subscriber = true,
            Way::PublisherMessage => connection.left_by_control = true,
        }
        let stream = connection.stream(way);
        stream.closed = true;
        if let Some((_, chunk)) = stream.chunks.back_mut().filter(|_| lost == 0) {
            chunk.truncate(chunk.len() / 2);
        }
        let at = stream.chunks.back().map_or(self.now, |(at, _)| *at) + MS;
        self.at(at, Event::Arrive { connection: id, to_control: way == Way::SubscriberMessage });
    }

    pub(crate) fn connect(&mut self, id: u64) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let (control, subscriber) = (connection.control, connection.subscriber);
        let cut =
            [true, false].iter().any(|way| self.cut_until(control, subscriber, *way) > self.now);
        if cut || connection.left_by_subscriber {
            self.connections.remove(&id);
            return;
        }
        if self.controls[control].publisher.is_none() {
            self.connections.remove(&id);
            if self.below(2) == 0 && self.balancers[subscriber].connection == Some(id) {
                self.balancers[subscriber].connection = None;
                let why = DisconnectReason::ConnectFailed("refused".into());
                self.with_subscriber(subscriber, |subscriber, now, out| {
                    subscriber.disconnected(now, why, out)
                });
            }
            return;
        }
        let incarnation = self.controls[control].incarnation;
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.accepted_by = Some(incarnation);
        }
        self.with_publisher(control, |publisher, now, _| publisher.connected(now, SessionId(id)));
        self.with_subscriber(subscriber, |subscriber, now, out| subscriber.connected(now, out));
    }

    pub(crate) fn cut_until(&self, control: usize, subscriber: usize, to_control: bool) -> i64 {
        self.cuts.get(&(control, subscriber, to_control)).copied().unwrap_or(0)
    }

    pub(crate) fn arrive(&mut self, id: u64, way: Way) {
        let now = self.now;
        let to_control = way == Way::SubscriberMessage;
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let (control, subscriber, accepted_by) =
            (connection.control, connection.subscriber, connection.accepted_by);
        let frozen = if to_control {
            self.controls[control].frozen_until
        } else {
            self.balancers[subscriber].frozen_until
        };
        let wait = frozen.max(self.cut_until(control, subscriber, to_control));
        if wait > now {
            self.at(wait, Event::Arrive { connection: id, to_control });
            return;
        }
        let receiver_gone = match way {
            Way::SubscriberMessage => self.controls[control].publisher.is_none(),
            Way::PublisherMessage => connection.left_by_subscriber,
        };
        let unknown = to_control && Some(self.controls[control].incarnation) != accepted_by;
        if to_control && receiver_gone {
            return;
        }
        if receiver_gone || unknown || (to_control && connection.left_by_control) {
            // The answer is a reset.
            self.reset(id, way);
            return;
        }
        while let Some(bytes) = self.take_chunk(id, way) {
            if !to_control {
                self.with_publisher(control, |publisher, now, out| {
                    publisher.written(now, SessionId(id), bytes, out);
                });
            }
            match way {
                Way::SubscriberMessage => self.deliver_to_control(id, control),
                Way::PublisherMessage => self.deliver_to_subscriber(id, subscriber),
            }
        }
        let ended = self.connections.get(&id).is_some_and(|connection| {
            let stream =
                if to_control { &connection.to_control } else { &connection.to_subscriber };
            stream.closed && stream.chunks.is_empty()
        });
        if ended {
            self.ended(id, way, control, subscriber);
        }
    }

    pub(crate) fn take_chunk(&mut self, id: u64, way: Way) -> Option<usize> {
        let now = self.now;
        let stream = self.connections.get_mut(&id)?.stream(way);
        let (at, _) = stream.chunks.front()?;
        if *at > now {
            return None;
        }
        let (_, bytes) = stream.chunks.pop_front()?;
        stream.bytes = stream.bytes.saturating_sub(bytes.len());
        let middle = bytes.len() / 2;
        stream.reader.push(&bytes[..middle]);
        stream.reader.push(&bytes[middle..]);
        Some(bytes.len())
    }

    pub(crate) fn deliver_to_control(&mut self, id: u64, control: usize) {
        loop {
            let Some(connection) = self.connections.get_mut(&id) else {
                return;
            };
            match connection.to_control.reader.next_message() {
                Ok(None) => return,
                Ok(Some(message)) => self.with_publisher(control, |publisher, now, out| {
                    publisher.message(now, SessionId(id), message, out);
                }),
                Err(error) => {
                    self.with_publisher(control, |publisher, now, out| {
                        publisher.malformed(now, SessionId(id), error, out);
                    });
                    return;
                }
            }
        }
    }

    pub(crate) fn deliver_to_subscriber(&mut self, id: u64, index: usize) {
        loop {
            let Some(connection) = self.connections.get_mut(&id) else {
                return;
            };
            if connection.left_by_subscriber {
                return;
            }
            match connection.to_subscriber.reader.next_message() {
                Ok(None) => return,
                Ok(Some(message)) => {
                    self.with_subscriber(index, |subscriber, now, out| {
                        subscriber.message(now, message, out)
                    });
                }
                Err(error) => {
                    self.with_subscriber(index, |subscriber, now, out| {
                        subscriber.malformed(now, error, out)
                    });
                    return;
                }
            }
        }
    }

    pub(crate) fn reset(&mut self, id: u64, way: Way) {
        let back = if way == Way::SubscriberMessage {
            Way::PublisherMessage
        } else {
            Way::SubscriberMessage
        };
        let at = self.after(MS, 20 * MS);
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.stream(way).chunks.clear();
        let stream = connection.stream(back);
        if stream.closed && stream.chunks.is_empty() {
            return;
        }
        stream.chunks.clear();
        stream.closed = true;
        self.at(at, Event::Arrive { connection: id, to_control: back == Way::SubscriberMessage });
    }

    pub(crate) fn ended(&mut self, id: u64, way: Way, control: usize, index: usize) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        match way {
            Way::SubscriberMessage if connection.left_by_control => {}
            Way::SubscriberMessage => {
                self.with_publisher(control, |publisher, now, out| {
                    publisher.disconnected(now, SessionId(id), out)
                });
            }
            Way::PublisherMessage
                if connection.left_by_subscriber
                    || self.balancers[index].connection != Some(id) => {}
            Way::PublisherMessage => {
                self.balancers[index].connection = None;
                let why = DisconnectReason::Lost("reset".into());
                self.with_subscriber(index, |subscriber, now, out| {
                    subscriber.disconnected(now, why, out)
                });
            }
        }
        self.connections.remove(&id);
    }
}
