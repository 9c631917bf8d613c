//! The network of the simulation, whose connections can be delayed, cut, reset, or ended in the middle of a frame.

use sableloom_distribution::{DisconnectReason, SessionId};

use super::connection::Direction;
use super::world::{Event, MILLISECOND, World};

impl World {
    /// Sends bytes over a connection, with a random delay.
    pub(crate) fn send(&mut self, id: u64, direction: Direction, bytes: Vec<u8>) {
        let max_delay =
            if self.random_below(20) == 0 { 400 * MILLISECOND } else { 40 * MILLISECOND };
        let at = self.random_time(MILLISECOND, max_delay);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.stream(direction).push(at, bytes);
            self.schedule(
                at,
                Event::Deliver { connection: id, to_control: direction == Direction::ToControl },
            );
        }
    }

    /// Closes the stream that a side sends, because the side closes the connection or crashes. The receiver detects the
    /// end after the bytes in flight, whose last chunk is truncated in one of three cases.
    pub(crate) fn close_side(&mut self, id: u64, direction: Direction) {
        let draw = self.random_below(3);
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        match direction {
            Direction::ToControl => connection.closed_by_subscriber = true,
            Direction::ToSubscriber => connection.closed_by_control = true,
        }
        let stream = connection.stream(direction);
        stream.closed = true;
        if let Some((_, chunk)) = stream.chunks.back_mut().filter(|_| draw == 0) {
            chunk.truncate(chunk.len() / 2);
        }
        let at = stream.chunks.back().map_or(self.now, |(at, _)| *at) + MILLISECOND;
        self.schedule(
            at,
            Event::Deliver { connection: id, to_control: direction == Direction::ToControl },
        );
    }

    /// Completes or fails an attempt to connect. If the control machine is not running, the attempt is refused in half
    /// of the cases and not answered in the others. With a partition, it is not answered.
    pub(crate) fn connect(&mut self, id: u64) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let (control, subscriber) = (connection.control, connection.subscriber);
        let is_partitioned = [true, false]
            .iter()
            .any(|to_control| self.partitioned_until(control, subscriber, *to_control) > self.now);
        if is_partitioned || connection.closed_by_subscriber {
            self.connections.remove(&id);
            return;
        }
        if self.controls[control].publisher.is_none() {
            self.connections.remove(&id);
            if self.random_below(2) == 0 && self.balancers[subscriber].connection == Some(id) {
                self.balancers[subscriber].connection = None;
                let reason = DisconnectReason::ConnectFailed("refused".into());
                self.with_subscriber(subscriber, |subscriber, now, out| {
                    subscriber.disconnected(now, reason, out)
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

    /// Returns the time until which bytes from one side to the other are held back; 0 if there is no partition.
    pub(crate) fn partitioned_until(
        &self,
        control: usize,
        subscriber: usize,
        to_control: bool,
    ) -> i64 {
        self.partitions.get(&(control, subscriber, to_control)).copied().unwrap_or(0)
    }

    /// Delivers the bytes of a stream that have arrived, or postpones them while the receiver is paused or partitioned.
    pub(crate) fn deliver(&mut self, id: u64, direction: Direction) {
        let now = self.now;
        let to_control = direction == Direction::ToControl;
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let (control, subscriber, accepted_by) =
            (connection.control, connection.subscriber, connection.accepted_by);
        let receiver_paused_until = if to_control {
            self.controls[control].paused_until
        } else {
            self.balancers[subscriber].paused_until
        };
        let blocked_until =
            receiver_paused_until.max(self.partitioned_until(control, subscriber, to_control));
        if blocked_until > now {
            self.schedule(blocked_until, Event::Deliver { connection: id, to_control });
            return;
        }
        let receiver_closed = match direction {
            Direction::ToControl => self.controls[control].publisher.is_none(),
            Direction::ToSubscriber => connection.closed_by_subscriber,
        };
        let is_not_accepted = to_control && Some(self.controls[control].incarnation) != accepted_by;
        if to_control && receiver_closed {
            return;
        }
        if receiver_closed || is_not_accepted || (to_control && connection.closed_by_control) {
            // The receiver has not accepted the connection since its start, or has closed it, and answers with a reset.
            self.send_reset(id, direction);
            return;
        }
        while let Some(bytes) = self.take_chunk(id, direction) {
            if !to_control {
                self.with_publisher(control, |publisher, now, out| {
                    publisher.written(now, SessionId(id), bytes, out);
                });
            }
            match direction {
                Direction::ToControl => self.deliver_to_control(id, control),
                Direction::ToSubscriber => self.deliver_to_subscriber(id, subscriber),
            }
        }
        let has_ended = self.connections.get(&id).is_some_and(|connection| {
            let stream =
                if to_control { &connection.to_control } else { &connection.to_subscriber };
            stream.closed && stream.chunks.is_empty()
        });
        if has_ended {
            self.end_connection(id, direction, control, subscriber);
        }
    }

    /// Passes the next chunk that has arrived to the frame reader in two parts, and returns its length in bytes.
    pub(crate) fn take_chunk(&mut self, id: u64, direction: Direction) -> Option<usize> {
        let now = self.now;
        let stream = self.connections.get_mut(&id)?.stream(direction);
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

    /// Passes all complete messages to the publisher, up to the first malformed frame.
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

    /// Passes all complete messages to the subscriber, up to the first malformed frame or until it closes the
    /// connection.
    pub(crate) fn deliver_to_subscriber(&mut self, id: u64, index: usize) {
        loop {
            let Some(connection) = self.connections.get_mut(&id) else {
                return;
            };
            if connection.closed_by_subscriber {
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

    /// Answers the sender of a direction with a reset: drops the bytes in flight of both directions, and closes the
    /// reverse stream.
    pub(crate) fn send_reset(&mut self, id: u64, direction: Direction) {
        let reverse = if direction == Direction::ToControl {
            Direction::ToSubscriber
        } else {
            Direction::ToControl
        };
        let at = self.random_time(MILLISECOND, 20 * MILLISECOND);
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.stream(direction).chunks.clear();
        let stream = connection.stream(reverse);
        if stream.closed && stream.chunks.is_empty() {
            return;
        }
        stream.chunks.clear();
        stream.closed = true;
        self.schedule(
            at,
            Event::Deliver { connection: id, to_control: reverse == Direction::ToControl },
        );
    }

    /// Reports the end of a stream to its receiver, unless it has closed the connection itself, and removes the
    /// connection.
    pub(crate) fn end_connection(
        &mut self,
        id: u64,
        direction: Direction,
        control: usize,
        index: usize,
    ) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        match direction {
            Direction::ToControl if connection.closed_by_control => {}
            Direction::ToControl => {
                self.with_publisher(control, |publisher, now, out| {
                    publisher.disconnected(now, SessionId(id), out)
                });
            }
            Direction::ToSubscriber
                if connection.closed_by_subscriber
                    || self.balancers[index].connection != Some(id) => {}
            Direction::ToSubscriber => {
                self.balancers[index].connection = None;
                let reason = DisconnectReason::Lost("reset".into());
                self.with_subscriber(index, |subscriber, now, out| {
                    subscriber.disconnected(now, reason, out)
                });
            }
        }
        self.connections.remove(&id);
    }
}
