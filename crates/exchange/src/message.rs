//! Requests and answers in a form that belongs to no protocol.

use std::any::Any;
use std::rc::Weak;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use sableloom_types::{Idempotency, Time};

/// Named values that go along with a request or an answer, in their order. Names are in lower case.
/// All text lies in one buffer: what is kept of a request is two allocations, however many fields
/// it has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields {
    text: Bytes,
    /// Where each field's name and value end in the text.
    ends: Vec<(u32, u32)>,
}

impl Fields {
    /// The names and values that the function gives, twice over: first to measure them, then to copy
    /// them into a buffer of that size. What does not fit into 4 GiB is left out.
    pub fn collect<'a, I>(pairs: impl Fn() -> I) -> Self
    where
        I: Iterator<Item = (&'a [u8], &'a [u8])>,
    {
        let (mut bytes, mut count) = (0, 0);
        for (name, value) in pairs() {
            bytes += name.len() + value.len();
            count += 1;
        }
        let (mut text, mut ends) = (BytesMut::with_capacity(bytes), Vec::with_capacity(count));
        for (name, value) in pairs() {
            let name_end = text.len() + name.len();
            let (Ok(n), Ok(v)) = (u32::try_from(name_end), u32::try_from(name_end + value.len()))
            else {
                break;
            };
            text.extend_from_slice(name);
            text.extend_from_slice(value);
            ends.push((n, v));
        }
        Self { text: text.freeze(), ends }
    }

    /// Each name and value; a value shares the buffer.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], Bytes)> {
        let mut from = 0;
        self.ends.iter().map(move |&(name, value)| {
            let (start, name, value) = (from, name as usize, value as usize);
            from = value;
            (&self.text[start..name], self.text.slice(name..value))
        })
    }

    /// The first value of a name.
    pub fn get(&self, name: &str) -> Option<Bytes> {
        self.iter().find(|(n, _)| *n == name.as_bytes()).map(|(_, value)| value)
    }
}

/// The client that waits for a request's answer.
pub trait Client {
    /// Whether it has closed its connection or cancelled its request, as far as the system can tell now:
    /// also where nobody has read so far yet.
    fn is_gone(&self) -> bool;
}

/// A request as it goes on to servers, whole.
pub struct Message {
    /// Its id, as the client named it.
    pub id: Bytes,
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// What is done with its target, as HTTP's methods are named.
    pub verb: Bytes,
    /// What it is about, in the form of a path with its query.
    pub target: Bytes,
    /// What else the client said of it, the id included.
    pub fields: Fields,
    /// Its body.
    pub body: Bytes,
    /// Whatever must be held for as long as the body is: a share of a budget.
    pub hold: Option<Box<dyn Any>>,
    /// Who waits for the answer; `None` for one that can't leave. Not held: attempts outlive connections.
    pub client: Option<Weak<dyn Client>>,
}

impl Message {
    /// Whether its client has left.
    pub fn client_is_gone(&self) -> bool {
        let gone = |client: &Weak<dyn Client>| client.upgrade().is_none_or(|c| c.is_gone());
        self.client.as_ref().is_some_and(gone)
    }
}

/// What the decision module is told of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestContext {
    /// Its class, by index.
    pub class: usize,
    /// Its tenant, by index.
    pub tenant: usize,
    /// Hash of what it is about, if that is known.
    pub key: Option<u64>,
    /// When its client stops waiting.
    pub deadline: Time,
}

/// A server's answer, whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// What goes along with it.
    pub fields: Fields,
    /// Its body.
    pub body: Bytes,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// What a server made for it.
    Served(Answer),
    /// It never ran and is harmless to ask again; perhaps with advice on when.
    Refused(Option<Duration>),
    /// It is given up, and may have run.
    Failed,
}

/// Why a request is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestRejection {
    /// Too many are open.
    TooMany,
    /// Its id is another's that is open.
    SameId,
    /// No route leads it to a server: the status that says so, numbered as HTTP's are.
    NoRoute(u16),
    /// Its tenant is over its limit; after this time one more is within.
    OverLimit(Duration),
}

#[cfg(test)]
mod tests;
