//! One attempt at a request.

use std::cell::Cell;
use std::rc::Rc;

use sableloom_types::ServerId;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::attempt_context::AttemptContext;

/// One forwarding of a request to a server.
pub(crate) struct Attempt {
    /// The index of the attempt among those of its request.
    pub(crate) number: usize,
    pub(crate) server: ServerId,
    /// When the policy decided to forward the request.
    pub(crate) sent: Instant,
    /// The context for the transport; `None` if the server accepted no new attempts when this one was decided.
    pub(crate) context: Option<Rc<AttemptContext>>,
    /// True until it is proven that the attempt was not executed.
    pub(crate) may_have_executed: Cell<bool>,
    /// Notified when the policy cancels the attempt.
    pub(crate) cancel: Notify,
}
