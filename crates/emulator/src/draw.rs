//! Random quantities that both drivers of the model need: noise, and the machine kinds of a mixed fleet.

use oorandom::Rand64;

use crate::cores::NodeCapacity;

/// A kind of machine.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// Its share of the fleet.
    pub share: f64,
    /// Number of cores.
    pub cores: f64,
    /// Mean speed of a core.
    pub speed: f64,
}

/// Half the range of the speeds of a kind, as a share of their mean.
const SPREAD: f64 = 0.15;

/// The kinds of the operators' fleet.
pub const KINDS: [Kind; 3] = [
    Kind { name: "large", share: 0.25, cores: 3.0, speed: 2.0 },
    Kind { name: "medium", share: 0.4, cores: 3.0, speed: 1.2 },
    Kind { name: "small", share: 0.35, cores: 2.0, speed: 0.75 },
];

impl Kind {
    /// The capacity of a machine of this kind; `draw` is uniform from 0 to 1.
    pub fn capacity(&self, draw: f64) -> NodeCapacity {
        let speed = self.speed * (1.0 - SPREAD + 2.0 * SPREAD * draw);
        let (slots, queue_limit) = ((self.cores * 12.0) as usize, (self.cores * 15.0) as usize);
        NodeCapacity { cores: self.cores, speed, slots, queue_limit }
    }
}

/// The kind of the machine with this number: every twenty machines have the shares of [`KINDS`].
pub fn kind(i: usize) -> usize {
    match i % 20 {
        0..5 => 0,
        5..13 => 1,
        _ => 2,
    }
}

/// Log-normal with mean 1 and this coefficient of variation.
pub fn noise(rng: &mut Rand64, cv: f64) -> f64 {
    let (a, b) = (rng.rand_float().max(1e-12), rng.rand_float());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    let var = (1.0 + cv * cv).ln();
    (normal * var.sqrt() - var / 2.0).exp()
}
