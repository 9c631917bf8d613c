//! The state of one attempt at a request.

use std::cell::Cell;
use std::rc::Rc;

use sableloom_types::ServerId;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::attempt_context::AttemptContext;

/// One attempt to have a request answered by a server. A request may have several.
pub(crate) struct Attempt {
    /// The index of the attempt among those of its request.
    pub(crate) number: usize,
    pub(crate) server: ServerId,
    /// When the policy decided to forward the request.
    pub(crate) forwarded_at: Instant,
    /// The context for the transport; `None` if the server accepted no new attempts when the attempt was decided.
    pub(crate) context: Option<Rc<AttemptContext>>,
    /// True until it is proven that the attempt was not executed.
    pub(crate) may_have_executed: Cell<bool>,
    /// Notified when the policy cancels the attempt.
    pub(crate) cancel: Notify,
}
