//! Time as the decision modules see it: integers of microseconds that the caller passes in.

/// A point on the caller's clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub i64);

/// A length of time in microseconds; may be negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub i64);

impl Time {
    /// The span from `earlier` to this time; negative if `earlier` is later.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// This time moved by a span.
    pub fn plus(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Span {
    /// The length in microseconds as a floating-point number, for arithmetic.
    pub fn as_micros_f64(self) -> f64 {
        self.0 as f64
    }

    /// The span of this many microseconds, truncated to whole ones.
    pub fn from_micros_f64(micros: f64) -> Span {
        Span(micros as i64)
    }
}
