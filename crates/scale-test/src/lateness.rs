//! How late an event loop runs: a task that asks to be woken and looks how long past that it was.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use tokio::task::spawn_local;
use tokio::time::sleep_until;

/// From one look to the next.
const EVERY: Duration = Duration::from_millis(5);

/// Lateness of a loop since it was last asked, in microseconds. A timer of the runtime is up to 1 ms late by
/// itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lateness {
    /// The 99th percentile.
    pub p99_us: u64,
    /// The worst.
    pub max_us: u64,
}

impl Lateness {
    /// The worse of two.
    pub fn worse(self, other: Self) -> Self {
        Self { p99_us: self.p99_us.max(other.p99_us), max_us: self.max_us.max(other.max_us) }
    }
}

/// Measures the loop that it was started on.
#[derive(Clone, Debug)]
pub struct LatenessProbe {
    late: Rc<RefCell<Histogram<u64>>>,
}

impl LatenessProbe {
    /// Starts on the `LocalSet` that it is called on.
    ///
    /// # Panics
    ///
    /// Outside of a `LocalSet`.
    pub fn start() -> Self {
        let histogram =
            Histogram::new(3).expect("three digits are within the bounds of a histogram");
        let late = Rc::new(RefCell::new(histogram));
        let own = late.clone();
        spawn_local(async move {
            loop {
                let due = Instant::now() + EVERY;
                sleep_until(due.into()).await;
                // It grows as it has to: no value is out of its bounds.
                let _ = own.borrow_mut().record(due.elapsed().as_micros() as u64);
            }
        });
        Self { late }
    }

    /// Lateness since the last call.
    pub fn take(&self) -> Lateness {
        let mut late = self.late.borrow_mut();
        let seen = Lateness { p99_us: late.value_at_quantile(0.99), max_us: late.max() };
        late.reset();
        seen
    }
}
