//! From a change's file to its being in force at each subscriber.

use std::collections::{BTreeSet, HashMap};
use std::ops::Range;
use std::time::Duration;

use crate::source;
use crate::subscribers::InForce;

/// A change that was made; one that touches several services is there for each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Published {
    /// Its number.
    pub number: u64,
    /// A service that it touches.
    pub service: usize,
    /// Unix time in microseconds, before its file was written.
    pub at_us: u64,
}

/// Times from changes to their being in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Times {
    /// One for each change and subscriber that has its service in scope, in order.
    sorted: Vec<Duration>,
    /// Pairs of change and subscriber of which nothing was seen.
    pub missing: usize,
    /// How many changes there were.
    pub changes: usize,
}

impl Times {
    /// The time at a quantile, 0 to 1; 1 is the longest. Zero if there is none.
    pub fn at(&self, quantile: f64) -> Duration {
        let last = self.sorted.len().saturating_sub(1);
        let place = (self.sorted.len() as f64 * quantile) as usize;
        self.sorted.get(place.min(last)).copied().unwrap_or_default()
    }
}

/// Who is to have changes in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Audience {
    /// Subscribers, numbered from 0.
    pub subscribers: usize,
    /// Services at the source.
    pub services: usize,
    /// Services that each subscribes to.
    pub scope: usize,
    /// Subscribers of which nothing is expected: they don't run, or have just started.
    pub absent: Range<usize>,
}

impl Audience {
    /// The subscribers of a service of which it is expected.
    pub fn of(&self, service: usize) -> impl Iterator<Item = usize> {
        let all = source::subscribers_of(service, self.subscribers, self.services, self.scope);
        all.filter(|subscriber| !self.absent.contains(subscriber))
    }
}

/// The time of each change at each subscriber of its service: until that has this change or a later one.
pub fn times_in_force(published: &[Published], in_force: &[InForce], audience: &Audience) -> Times {
    let mut by_place: HashMap<(usize, usize), Vec<&InForce>> = HashMap::new();
    for seen in in_force {
        by_place.entry((seen.service, seen.subscriber)).or_default().push(seen);
    }
    let changes: BTreeSet<u64> = published.iter().map(|change| change.number).collect();
    let mut times = Times { changes: changes.len(), ..Times::default() };
    for change in published {
        for subscriber in audience.of(change.service) {
            let seen = by_place.get(&(change.service, subscriber)).into_iter().flatten();
            let having = seen.filter(|seen| seen.version >= change.number);
            match having.map(|seen| seen.at_us).min() {
                Some(at_us) => {
                    times.sorted.push(Duration::from_micros(at_us.saturating_sub(change.at_us)));
                }
                None => times.missing += 1,
            }
        }
    }
    times.sorted.sort_unstable();
    times
}
