//! Decides when discovery is polled, how long a poll may take, and what a poll without an answer means.
//!
//! A balancer keeps its endpoint list by long polls: it asks discovery to answer once the list changes. Long polls that
//! each begin right after the answer to the one before are one watch. A long poll that has gone silent can't be told
//! from one without changes. The changes that it misses, such as the drain of a server, are nevertheless binding for
//! the balancer once the platform counts it as notified. Each poll therefore has a deadline by which its silence is
//! detected, and [`PollTiming`] puts that deadline, and all that follows it, before the time at which changes become
//! binding. `docs/design/discovery.md` has the calculations.
//!
//! These time limits are defined in this crate alone. This crate does no I/O and reads no clock; `sableloom-discovery`
//! makes the polls and reports how they ended.
//!
//! The state of a [`PollSchedule`] is a [`SyncState`]: `Syncing` until the first answer, `Watching` while a long poll
//! is on time, `Resyncing` once a poll was silent or failed or discovery has moved to another address, and `Stale` once
//! the time has passed by which an answer was due. An answer leads to `Watching` from every state. In every state the
//! servers of the last list are used.
//!
//! ```
//! use sableloom_discovery_schedule::{PollOutcome, PollSchedule, PollTiming, ScheduleOptions, SyncState};
//! use sableloom_types::{Span, Time};
//!
//! let options = ScheduleOptions {
//!     local_agent: false,
//!     poll_interval: Span(10_000_000),
//!     drain_grace: Span(1_000_000),
//!     position: 0,
//!     balancers: 1,
//! };
//! let mut schedule = PollSchedule::new(PollTiming::new(&options), 1, true);
//! let now = Time(0);
//! assert_eq!(schedule.start_poll(now).wait, None, "the full list at once");
//! schedule.poll_ended(now, PollOutcome::Answered { changed: true });
//! assert_eq!(schedule.state(now), SyncState::Watching);
//! assert!(schedule.start_poll(now).wait.is_some(), "a long poll");
//! ```

mod backoff;
mod notification;
mod poll;
mod poll_timing;
mod schedule;
mod service_time;

pub use notification::{
    MAX_CONTINUATION_GAP, NOTIFIED_AFTER_FAILURE, NOTIFIED_AFTER_MOVE, NOTIFIED_AFTER_SILENCE,
    NOTIFIED_AFTER_WAIT,
};
pub use poll::{PollOutcome, PollRequest};
pub use poll_timing::{PollTiming, ScheduleOptions};
pub use schedule::{PollSchedule, SyncState};
