//! The schedule of requests, drawn before the run: the load generator is open-loop.

use oorandom::Rand64;

use crate::script::{EventAction, S, Script};

/// A scheduled request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When, in microseconds.
    pub at: i64,
    /// Its class.
    pub class: usize,
    /// The zone of its client.
    pub zone: usize,
    /// The number of its key.
    pub key: usize,
    /// Uniform from 0 to 1: selects one of the balancers that are reachable at that time.
    pub balancer_draw: f64,
    /// Uniform from 0 to 1: decides whether its client leaves early.
    pub leave_draw: f64,
}

/// Requests a second at a given time, without storms.
fn rate(script: &Script, at: i64) -> f64 {
    let mut rate = script.load.per_second;
    for event in &script.events {
        if let EventAction::Load { per_second, over } = event.action {
            for moment in event.moments() {
                let part = (at - moment) as f64 / over.max(1) as f64;
                rate += (per_second - rate) * part.clamp(0.0, 1.0);
            }
        }
    }
    rate
}

fn weights(script: &Script, at: i64) -> Vec<f64> {
    let zones = script.fleet.zones.len().max(1);
    let mut weights = vec![0.0; zones];
    (0..script.fleet.balancers).for_each(|b| weights[script.zone(b)] += 1.0);
    for event in &script.events {
        if let EventAction::Shift { zone, times } = event.action {
            let past = event.moments().filter(|moment| *moment <= at).count();
            weights[zone] *= times.powi(past as i32);
        }
    }
    weights
}

/// The index that a uniform draw from 0 to 1 falls on among these weights.
fn pick(weights: &[f64], draw: f64) -> usize {
    let mut left = draw * weights.iter().sum::<f64>();
    let found = weights.iter().position(|w| {
        left -= w;
        left < 0.0
    });
    found.unwrap_or(weights.len() - 1)
}

/// All requests that this seed draws, in the order of their times.
pub fn arrivals(script: &Script, seed: u64) -> Vec<Arrival> {
    let mut rng = Rand64::new(u128::from(seed) ^ 0xa11_1fa1);
    let most = max_rate(script);
    let classes: Vec<f64> = script.classes.iter().map(|c| c.share).collect();
    let mut all = Vec::new();
    let request = |at: i64, class: Option<usize>, rng: &mut Rand64| {
        let drawn = pick(&classes, rng.rand_float());
        let zone = pick(&weights(script, at), rng.rand_float());
        // A few keys are far more popular than the rest.
        let key = (rng.rand_float().powi(3) * script.load.keys as f64) as usize;
        let (balancer_draw, leave_draw) = (rng.rand_float(), rng.rand_float());
        Arrival { at, class: class.unwrap_or(drawn), zone, key, balancer_draw, leave_draw }
    };
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.rand_float()).ln() / most * S as f64;
        // With a rate of 0 the first gap is infinite or not a number.
        if at.is_nan() || at >= script.length as f64 {
            break;
        }
        // Thinning: arrivals of the maximum rate are kept with the probability of the current one.
        if rng.rand_float() * most < rate(script, at as i64) {
            all.push(request(at as i64, None, &mut rng));
        }
    }
    for event in &script.events {
        if let EventAction::Storm { count, over, class } = event.action {
            for moment in event.moments() {
                for _ in 0..count {
                    let at = moment + (rng.rand_float() * over as f64) as i64;
                    all.push(request(at, class, &mut rng));
                }
            }
        }
    }
    all.sort_by_key(|a| a.at);
    all
}

/// The highest rate, without storms.
pub(crate) fn max_rate(script: &Script) -> f64 {
    let rates = script.events.iter().map(|event| match event.action {
        EventAction::Load { per_second, .. } => per_second,
        _ => 0.0,
    });
    rates.fold(script.load.per_second, f64::max)
}

/// Approximate maximum of the number of requests of a script.
pub(crate) fn max_requests(script: &Script) -> f64 {
    let storms = script.events.iter().map(|event| match event.action {
        EventAction::Storm { count, .. } => count as f64 * f64::from(event.every.0),
        _ => 0.0,
    });
    max_rate(script) * script.length as f64 / S as f64 + storms.sum::<f64>()
}
