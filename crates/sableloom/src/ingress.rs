//! Where requests come in, and the graceful shutdown: every request that was accepted gets its answer in the time that the
//! process has.

use std::rc::Rc;
use std::time::Duration;

use sableloom_exchange::Task;
use sableloom_http1::Frontend;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, sleep_until};

/// After SIGTERM connections may still come for 0.4 s; for this time they are accepted, then only open requests are
/// finished.
const ACCEPT_TIME: Duration = Duration::from_millis(600);
/// The process ends this long after the longest deadline, short of the 0.7 s that it is given.
const END_AFTER_DEADLINE: Duration = Duration::from_millis(600);
/// How often the state is checked while open requests are finished.
const TURN: Duration = Duration::from_millis(5);
/// In this many turns before the end nothing is forwarded any more, and all open requests get their answers: a client may
/// have said that it waits for longer than its class allows, or have sent a request on a kept connection at the last
/// moment. Turns, and not a time: a process that was suspended still takes them all.
const ABORT_TURNS: u32 = 12;
/// In this many of these, partial requests are rejected as well: their last bytes may be on their way, and there is no
/// later moment to answer them.
const REJECT_TURNS: u32 = 6;

/// Accepts requests until the process ends.
pub(crate) struct Ingress {
    pub frontend: Rc<Frontend>,
    _accepting: Vec<Task>,
    longest_deadline: Duration,
}

impl Ingress {
    /// Accepts on these listeners. `longest_deadline` is the longest that a client waits for an answer.
    pub(crate) fn open(
        frontend: Rc<Frontend>,
        listeners: Vec<TcpListener>,
        longest_deadline: Duration,
    ) -> Self {
        let accept = |listener| Task::spawn(frontend.clone().accept(Rc::new(listener)));
        let accepting = listeners.into_iter().map(accept).collect();
        Self { frontend, _accepting: accepting, longest_deadline }
    }

    /// Accepts no more requests, finishes the open ones, and ends. `open_requests` counts them; `abort_open_requests` answers
    /// them, and forwards nothing from then on.
    pub(crate) async fn shut_down(
        self,
        open_requests: impl Fn() -> usize,
        abort_open_requests: impl Fn(),
    ) {
        let started = Instant::now();
        let frontend = &self.frontend;
        frontend.drain();
        sleep_until(started + ACCEPT_TIME).await;
        // From here on no connection is accepted, and none is left on which a request could come that there is no time to
        // answer.
        frontend.stop_accepting();
        let abort_at = started + self.longest_deadline + END_AFTER_DEADLINE - TURN * ABORT_TURNS;
        while frontend.is_in_use() && Instant::now() < abort_at {
            frontend.close_unused();
            sleep(TURN).await;
        }
        if frontend.is_in_use() {
            eprintln!("sableloom: aborting open requests; {} open", open_requests());
        }
        for turns_left in (0..ABORT_TURNS).rev() {
            if !frontend.is_in_use() {
                break;
            }
            // At each turn, as pools may have been added since.
            abort_open_requests();
            if turns_left < REJECT_TURNS {
                frontend.reject_partial_requests();
            }
            frontend.close_unused();
            sleep(TURN).await;
        }
        let (connections, open) = (frontend.connections(), open_requests());
        eprintln!("sableloom: ending; {connections} connections, {open} open");
    }
}
