//! When which request comes, drawn beforehand: an open loop waits for no answer.

use oorandom::Rand64;

use crate::script::{Deed, S, Script};

/// A request to come.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When, in microseconds.
    pub at: i64,
    /// Its class.
    pub class: usize,
    /// The zone of its client.
    pub zone: usize,
    /// What it is about.
    pub key: usize,
    /// From 0 to 1: chooses among the balancers that the front has then.
    pub lot: f64,
    /// From 0 to 1: chooses what its client does later.
    pub mood: f64,
}

/// Requests a second at a time, without storms.
fn rate(script: &Script, at: i64) -> f64 {
    let mut rate = script.load.per_second;
    for event in &script.events {
        if let Deed::Load { per_second, over } = event.deed {
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
        if let Deed::Shift { zone, times } = event.deed {
            let past = event.moments().filter(|moment| *moment <= at).count();
            weights[zone] *= times.powi(past as i32);
        }
    }
    weights
}

/// The lot's place among weights.
fn pick(weights: &[f64], lot: f64) -> usize {
    let mut left = lot * weights.iter().sum::<f64>();
    let found = weights.iter().position(|w| {
        left -= w;
        left < 0.0
    });
    found.unwrap_or(weights.len() - 1)
}

/// All requests that this seed draws, in the order of their times.
pub fn arrivals(script: &Script, seed: u64) -> Vec<Arrival> {
    let mut rng = Rand64::new(u128::from(seed) ^ 0xa11_1fa1);
    let most = most_rate(script);
    let classes: Vec<f64> = script.classes.iter().map(|c| c.share).collect();
    let mut all = Vec::new();
    let request = |at: i64, class: Option<usize>, rng: &mut Rand64| {
        let drawn = pick(&classes, rng.rand_float());
        let zone = pick(&weights(script, at), rng.rand_float());
        // A few keys are far more popular than the rest.
        let key = (rng.rand_float().powi(3) * script.load.keys as f64) as usize;
        let (lot, mood) = (rng.rand_float(), rng.rand_float());
        Arrival { at, class: class.unwrap_or(drawn), zone, key, lot, mood }
    };
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.rand_float()).ln() / most * S as f64;
        // With no rate at all the first gap has no end, or is no number.
        if at.is_nan() || at >= script.length as f64 {
            break;
        }
        // Thinned to the rate of that moment.
        if rng.rand_float() * most < rate(script, at as i64) {
            all.push(request(at as i64, None, &mut rng));
        }
    }
    for event in &script.events {
        if let Deed::Storm { count, over, class } = event.deed {
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
pub(crate) fn most_rate(script: &Script) -> f64 {
    let rates = script.events.iter().map(|event| match event.deed {
        Deed::Load { per_second, .. } => per_second,
        _ => 0.0,
    });
    rates.fold(script.load.per_second, f64::max)
}

/// How many requests a script comes to, at most about.
pub(crate) fn most_requests(script: &Script) -> f64 {
    let storms = script.events.iter().map(|event| match event.deed {
        Deed::Storm { count, .. } => count as f64 * f64::from(event.every.0),
        _ => 0.0,
    });
    most_rate(script) * script.length as f64 / S as f64 + storms.sum::<f64>()
}
