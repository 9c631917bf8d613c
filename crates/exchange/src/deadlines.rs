//! The longest deadline of a deployment's classes.

use std::time::Duration;

use sableloom_types::Span;
use sableloom_types::settings::{DeploymentSettings, span_from_ms};

use crate::clock::duration_of;

/// The longest deadline of any class; zero without a class.
pub fn longest_deadline(settings: &DeploymentSettings) -> Duration {
    duration_of(longest_deadline_span(settings))
}

/// The longest deadline of any class, in the policy's form.
pub(crate) fn longest_deadline_span(settings: &DeploymentSettings) -> Span {
    let deadlines = settings.classes.iter().map(|class| span_from_ms(class.deadline));
    deadlines.max().unwrap_or(Span(0))
}
