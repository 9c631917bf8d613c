//! One attempt at a request.

use std::cell::Cell;
use std::rc::Rc;

use sableloom_types::ServerId;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::attempt_context::AttemptContext;

/// One forwarding of a request to a server.
pub(crate) struct Attempt {
    pub(crate) number: usize,
    pub(crate) server: ServerId,
    /// When the policy forwarded it.
    pub(crate) sent: Instant,
    /// `None` if the server accepted nothing new by the time that the attempt was decided.
    pub(crate) context: Option<Rc<AttemptContext>>,
    /// True until it is proven that the attempt was not executed.
    pub(crate) may_have_executed: Cell<bool>,
    pub(crate) cancel: Notify,
}
