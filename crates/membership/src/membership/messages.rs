//! Datagrams: what is put into them, and what is made of those that come.

use std::net::SocketAddr;

use sableloom_types::Time;

use super::{Fleet, Out, Relay};
use crate::wire::{Body, Key, MemberState, Message, Refused, Update, decode, encode, update_bytes};

/// Probes for others that are under way at most; what is asked beyond is not done.
const RELAYS: usize = 64;
/// Updates that are put into a message at most; more never fits.
const MAX_UPDATES_A_MESSAGE: usize = 24;

impl Fleet {
    /// Tells some of those that are there what it has to pass on.
    pub(super) fn pass_around(&mut self, some: usize, out: &mut Out) {
        for n in 0..some {
            let Some(key) = self.table.draw_there(n, &mut self.rng) else { break };
            self.say(key, Body::Ack { seq: 0 }, out);
        }
    }

    pub(super) fn announce(&mut self) {
        let (of, life, incarnation) = (self.own, self.life, self.incarnation);
        let state = if self.leaving { MemberState::Left } else { MemberState::Alive };
        self.pass_on(Update { of, life, incarnation, state, by: of });
    }

    pub(super) fn pass_on(&mut self, news: Update) {
        self.news.add(news);
    }

    pub(super) fn say(&mut self, to: Key, body: Body, out: &mut Out) {
        let Some(peer) = self.peer(to) else { return };
        let echo = peer.nonce;
        let Some(address) = self.listed(to).map(|listed| listed.address) else { return };
        // What is thought of the receiver itself comes first, so that it can object.
        let about = peer.health.state().filter(|state| *state != MemberState::Alive).map(|state| {
            Update { of: to, life: peer.life, incarnation: peer.incarnation, state, by: peer.by }
        });
        let first = about.iter().count();
        // One that does not know this process yet reads nothing of it.
        let news: Vec<Update> = match (echo, &body) {
            (0, _) => Vec::new(),
            (_, Body::Pull(_) | Body::Page(_)) => about.into_iter().collect(),
            _ => about.into_iter().chain(self.updates_with_room()).collect(),
        };
        let message = Message {
            fleet: self.name,
            from: self.own,
            life: self.life,
            incarnation: self.incarnation,
            nonce: self.nonce,
            echo,
            digest: self.digest(),
            listed: u16::try_from(self.table.len() + 1).unwrap_or(u16::MAX),
            servers: self.servers,
            body,
            news,
        };
        let (bytes, held) = encode(&message);
        if echo != 0 {
            self.news.passed_on(held.saturating_sub(first));
            let sent = message.news.iter().take(held).skip(first).map(update_bytes).sum();
            self.meter.updates(self.now, sent);
        }
        self.meter.datagram(self.now, bytes.len());
        out.datagrams.push((address, bytes));
    }

    /// The updates that the next message has, by what it and the last second have room for. What others say of
    /// this member is refuted whatever the room: it is doubted by all that do not hear that in time.
    fn updates_with_room(&mut self) -> Vec<Update> {
        let pulls = self.exchanges.is_under_way();
        // While all call all the budget does not hold, and few members have few updates.
        let mut room = match self.calls_all() {
            true => usize::MAX,
            false => self.meter.room_for_updates(self.now, pulls),
        };
        let mut updates = self.news.first(MAX_UPDATES_A_MESSAGE, self.most_times());
        let own = self.own;
        let fits = updates.iter().take_while(|update| {
            let left = room.checked_sub(update_bytes(update));
            room = left.unwrap_or(room);
            left.is_some() || update.of == own
        });
        let fit = fits.count();
        updates.truncate(fit);
        updates
    }

    /// How often news is passed on.
    pub(super) fn most_times(&self) -> u32 {
        let size = (self.table.len() + 2) as f64;
        (self.times.pass_on * size.log2()).ceil() as u32
    }

    pub(super) fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1).max(1);
        self.seq
    }

    pub(super) fn drop_it(&mut self, why: Refused) {
        *self.dropped.entry(why as u8).or_default() += 1;
    }

    /// A datagram has come.
    pub fn datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8], out: &mut Out) {
        self.now = now;
        self.meter.datagram(now, bytes.len());
        // A process that goes on after a stop may read its socket before it looks at its clock.
        self.late(now, out);
        self.take(now, from, bytes, out);
        self.due = Some(self.next().max(now));
    }

    pub(super) fn take(&mut self, now: Time, from: SocketAddr, bytes: &[u8], out: &mut Out) {
        let message = match decode(bytes) {
            Ok(message) => message,
            Err(why) => return self.drop_it(why),
        };
        if message.fleet != self.name {
            return self.drop_it(Refused::Fleet);
        }
        let Some(i) = self.table.place_at(from) else { return self.drop_it(Refused::Address) };
        let key = self.table.at(i).key;
        if message.from != key {
            return self.drop_it(Refused::Name);
        }
        if message.echo != self.nonce {
            if message.echo != 0 {
                self.drop_it(Refused::Echo);
            }
            // It does not know this process yet. Nothing that it says counts, but it is told whom it
            // speaks to; with that it can say it again.
            if let Body::Ping { seq } = message.body {
                let nonce = message.nonce;
                let before = self.table.change(i, |p| std::mem::replace(&mut p.nonce, nonce));
                self.say(key, Body::Ack { seq }, out);
                self.table.change(i, |p| p.nonce = before);
            }
            return;
        }
        let Message { life, incarnation, nonce, digest, listed, servers, body, news, .. } = message;
        if life >= self.table.at(i).life {
            self.learn(
                now,
                Update { of: key, life, incarnation, state: MemberState::Alive, by: key },
                out,
            );
            self.table.change(i, |peer| {
                (peer.nonce, peer.heard) = (nonce, Some(now));
                (peer.listed, peer.servers) = (listed, servers);
            });
            self.place(out);
        } else {
            // Another process of that name has a later life: it is told so, and makes a later one.
            self.table.change(i, |peer| peer.nonce = nonce);
            self.tell_of_itself(key, out);
        }
        for one in news {
            self.learn(now, one, out);
        }
        if matches!(body, Body::Ack { .. }) {
            self.compare(now, key, digest, out);
        }
        self.body(now, key, body, out);
    }

    pub(super) fn tell_of_itself(&mut self, key: Key, out: &mut Out) {
        let Some(peer) = self.peer(key) else { return };
        let (life, incarnation, by) = (peer.life, peer.incarnation, peer.by);
        self.pass_on(Update { of: key, life, incarnation, state: MemberState::Alive, by });
        self.say(key, Body::Ack { seq: 0 }, out);
    }

    pub(super) fn body(&mut self, now: Time, from: Key, body: Body, out: &mut Out) {
        match body {
            Body::Ping { seq } => self.say(from, Body::Ack { seq }, out),
            Body::Ack { seq } => {
                self.answered(from, seq);
                let found = self.relays.iter().position(|r| (r.of, r.seq) == (from, seq));
                if let Some(relay) = found.map(|i| self.relays.swap_remove(i)) {
                    let body = Body::Answered { seq: relay.theirs, of: relay.of };
                    self.say(relay.back, body, out);
                }
            }
            Body::Ask { seq, of } => {
                if self.relays.len() < RELAYS && of != from && self.peer(of).is_some() {
                    let own = self.next_seq();
                    // It has to be told in time for the one who asked.
                    let until = now.plus(self.times.answer);
                    self.relays.push(Relay { of, seq: own, back: from, theirs: seq, until });
                    self.say(of, Body::Ping { seq: own }, out);
                }
            }
            Body::Answered { seq, of } => self.answered(of, seq),
            Body::Silent { seq } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq) {
                    probe.silent += 1;
                }
            }
            Body::Leave => {
                if let Some(peer) = self.peer(from) {
                    let (life, incarnation) = (peer.life, peer.incarnation);
                    let left =
                        Update { of: from, life, incarnation, state: MemberState::Left, by: from };
                    self.learn(now, left, out);
                }
            }
            Body::Pull(pull) => self.serve(now, from, &pull, out),
            Body::Page(page) => self.page(now, from, &page, out),
        }
    }

    pub(super) fn answered(&mut self, of: Key, seq: u32) {
        if self.probe.is_some_and(|probe| (probe.of, probe.seq) == (of, seq)) {
            self.probe = None;
            self.doubt = self.doubt.saturating_sub(1);
        }
    }

    /// It leaves on purpose, and says so to as many as news is passed on to.
    pub fn leave(&mut self, out: &mut Out) {
        self.leaving = true;
        self.probe = None;
        self.announce();
        for n in 0..self.most_times() as usize {
            let Some(key) = self.table.draw_there(n, &mut self.rng) else { break };
            self.say(key, Body::Leave, out);
        }
        self.changed(out);
    }
}
