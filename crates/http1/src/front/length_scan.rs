//! Whether a request names a length beside its transfer coding.

use std::cell::Cell;

/// Whether a request's head may have named a length beside its transfer coding. hyper takes such a request as chunked
/// and hides the length, as the RFC allows; but an intermediary that goes by the length sees another request in the
/// body. So the lines are scanned as they come. Guards against every order and spelling of the two; where requests are
/// pipelined, or a line of a chunked body looks like a length, an honest chunked request may be rejected.
pub(super) struct LengthScan {
    /// How much of the name the current line has matched; [`Self::NO_MATCH`] if it can't match.
    matched: Cell<usize>,
    found: Cell<bool>,
    /// An answer was handed over since the current request began.
    answered: Cell<bool>,
    /// Bytes of the next request may have come with those of this one: they are never forgotten.
    pipelined: Cell<bool>,
}

impl LengthScan {
    const NAME: &[u8] = b"content-length";
    const NO_MATCH: usize = usize::MAX;

    pub(super) fn new() -> Self {
        Self {
            matched: Cell::new(0),
            found: Cell::new(false),
            answered: Cell::new(false),
            pipelined: Cell::new(false),
        }
    }

    /// Whether a length was found.
    pub(super) fn found(&self) -> bool {
        self.found.get()
    }

    /// Bytes come; those behind an answer begin a request.
    pub(super) fn begin(&self) {
        if self.answered.replace(false) && !self.pipelined.get() {
            self.matched.set(0);
            self.found.set(false);
        }
    }

    /// Bytes come while a request waits for its answer.
    pub(super) fn set_pipelined(&self) {
        self.pipelined.set(true);
    }

    /// The answer was handed over.
    pub(super) fn set_answered(&self) {
        self.answered.set(true);
    }

    pub(super) fn scan(&self, bytes: &[u8]) {
        for byte in bytes {
            let at = self.matched.get();
            if *byte == b'\n' {
                self.matched.set(0);
            } else if Self::NAME.get(at).is_some_and(|n| n.eq_ignore_ascii_case(byte)) {
                self.matched.set(at + 1);
                if at + 1 == Self::NAME.len() {
                    self.found.set(true);
                }
            } else {
                self.matched.set(Self::NO_MATCH);
            }
        }
    }
}
