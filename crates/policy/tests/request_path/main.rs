//! The decisions on the path of a request: slots, queue, admission, selection and slow start.

#[path = "../common/mod.rs"]
mod common;

mod concurrency;
mod endpoints_and_settings;
mod queue;
mod selection;
mod slow_start;

use common::{MS, World};
use sableloom_types::{Outcome, Span};

/// Lets the first attempt of a request succeed after `ms` milliseconds.
fn serve(w: &mut World, id: u64, ms: i64) {
    w.advance(Span(ms * MS));
    w.end_attempt(id, 0, Outcome::Ok);
}

/// Sends all these requests at once, and lets all succeed after `ms` milliseconds.
fn serve_together(w: &mut World, ids: std::ops::Range<u64>, ms: i64) {
    ids.clone().for_each(|id| w.request(id, 0));
    w.advance(Span(ms * MS));
    ids.for_each(|id| w.end_attempt(id, 0, Outcome::Ok));
}

/// Sends 200 requests at once whose clients wait for `wait_ms`, and returns how many are not rejected.
fn admitted_of_flood(w: &mut World, wait_ms: i64) -> usize {
    let until = w.now.plus(Span(wait_ms * MS));
    (200..400).for_each(|id| w.request_until(id, 0, until));
    (200..400).filter(|&id| !w.rejected(id)).count()
}
