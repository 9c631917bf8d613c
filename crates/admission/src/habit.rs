//! What connections of one kind have been seen to do next, by how long they have waited.
//!
//! Each kind has a piecewise constant hazard (the occurrences over exposure estimator of event
//! history analysis, e.g. Aalen, Borgan, Gjessing 2008, section 5.1): in each stretch of age, how
//! often the awaited thing happened, and how often the client left instead, for each second that
//! a connection stood there. Connections that were closed early count for as long as they were
//! seen, so the estimate holds under the module's own closing.

use sableloom_types::Span;

/// Where the stretches of age end, in seconds; the last has no end of its own.
const ENDS: [f64; 10] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0];
/// Number of stretches.
pub(crate) const STRETCHES: usize = ENDS.len() + 1;
/// The last stretch is taken to be as long as this when its value is estimated.
const LAST_S: f64 = 2.0;
/// What every stretch is taken to have seen before anything was: so many connections passed through
/// it, and for this share of them what was awaited came. As stretches grow with age, so that the
/// value of the unknown falls with its age. Failure: with one rate for all ages, the few that rested
/// first kept their places, and every later client was closed at its first answer, unknown.
const PRIOR_PASSED: f64 = 4.0;
const PRIOR_SHARE: f64 = 0.2;

/// How a wait ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ended {
    /// What was awaited came: a first byte, a whole request, a next request.
    Happened,
    /// The client closed.
    Left,
    /// Closed from here, or still waiting: nothing is known of what would have come.
    Cut,
}

/// The history of one kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct Habit {
    exposure: [f64; STRETCHES],
    happened: [f64; STRETCHES],
    left: [f64; STRETCHES],
    /// For each stretch, the value of a place held from there: awaited things a second.
    value: [f64; STRETCHES],
}

/// The stretch that an age falls in.
pub(crate) fn stretch(age: Span) -> usize {
    let seconds = age.as_micros_f64() / 1e6;
    ENDS.iter().position(|end| seconds < *end).unwrap_or(ENDS.len())
}

/// When a stretch begins.
pub(crate) fn begins(stretch: usize) -> Span {
    Span::from_micros_f64(if stretch == 0 { 0.0 } else { ENDS[stretch - 1] * 1e6 })
}

fn length(stretch: usize) -> f64 {
    let start = if stretch == 0 { 0.0 } else { ENDS[stretch - 1] };
    ENDS.get(stretch).map_or(LAST_S, |end| end - start)
}

fn add_exposure(to: &mut [f64; STRETCHES], age: Span) {
    let mut rest = age.as_micros_f64().max(0.0) / 1e6;
    for (i, seconds) in to.iter_mut().enumerate() {
        let here = if i < ENDS.len() { rest.min(length(i)) } else { rest };
        *seconds += here;
        rest -= here;
        if rest <= 0.0 {
            return;
        }
    }
}

impl Habit {
    /// A wait of this length has ended.
    pub(crate) fn note(&mut self, age: Span, how: Ended) {
        add_exposure(&mut self.exposure, age);
        match how {
            Ended::Happened => self.happened[stretch(age)] += 1.0,
            Ended::Left => self.left[stretch(age)] += 1.0,
            Ended::Cut => {}
        }
    }

    /// Lets what was seen fade.
    pub(crate) fn fade(&mut self, keep: f64) {
        for part in [&mut self.exposure, &mut self.happened, &mut self.left] {
            part.iter_mut().for_each(|x| *x *= keep);
        }
    }

    /// Estimates anew the value of a place at each age. `waiting` are the ages of those that wait
    /// now: left out, a crowd that says nothing would count for nothing until it is closed.
    pub(crate) fn weigh(&mut self, waiting: impl Iterator<Item = Span>) {
        let mut exposure = self.exposure;
        waiting.for_each(|age| add_exposure(&mut exposure, age));
        let rate = |counts: &[f64; STRETCHES], prior: f64, i: usize| {
            (counts[i] + prior * PRIOR_PASSED) / (exposure[i] + PRIOR_PASSED * length(i))
        };
        for from in 0..STRETCHES {
            // What is yet to come may be better than what is next: the best ratio of things
            // awaited to time spent, over every age at which one could stop waiting.
            let (mut alive, mut got, mut spent, mut best) = (1.0, 0.0, 0.0, 0.0f64);
            for i in from..STRETCHES {
                let (comes, leaves) =
                    (rate(&self.happened, PRIOR_SHARE, i), rate(&self.left, 0.0, i));
                let both = comes + leaves;
                let stays = (-both * length(i)).exp();
                let time = alive * (1.0 - stays) / both;
                got += comes * time;
                spent += time;
                alive *= stays;
                best = best.max(got / spent);
            }
            self.value[from] = best;
        }
    }

    /// The value of a place held by a connection that has waited so long: awaited things a second.
    pub(crate) fn value(&self, stretch: usize) -> f64 {
        self.value[stretch]
    }
}

#[cfg(test)]
mod tests;
