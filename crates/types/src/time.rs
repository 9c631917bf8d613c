//! Points and lengths of time in whole microseconds. The caller of a decision passes the time in.

/// A point on the caller's clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub i64);

/// A length of time in microseconds; may be negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub i64);

impl Time {
    /// The span from `earlier` to this time, negative if `earlier` is later; saturates instead of overflowing.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// The time after this span, or before it if the span is negative; saturates instead of overflowing.
    pub fn plus(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Span {
    /// The length in microseconds as a floating-point number.
    pub fn as_micros_f64(self) -> f64 {
        self.0 as f64
    }

    /// Converts microseconds to a span, truncated to whole ones; NaN gives 0, and values out of range are clamped.
    pub fn from_micros_f64(micros: f64) -> Span {
        Span(micros as i64)
    }
}
