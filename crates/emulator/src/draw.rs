//! Draws that both shells make: noise, and the kinds of machine of a mixed fleet.

use oorandom::Rand64;

use crate::cores::Shape;

/// A kind of machine.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// Its share of a fleet.
    pub part: f64,
    /// Cores.
    pub cores: f64,
    /// Speed of a core, the mean of a fleet's machines.
    pub speed: f64,
}

/// Half of the breadth of a kind's speeds, as a share of their mean.
const SPREAD: f64 = 0.15;

/// The kinds of the operators' fleet.
pub const KINDS: [Kind; 3] = [
    Kind { name: "large", part: 0.25, cores: 3.0, speed: 2.0 },
    Kind { name: "medium", part: 0.4, cores: 3.0, speed: 1.2 },
    Kind { name: "small", part: 0.35, cores: 2.0, speed: 0.75 },
];

impl Kind {
    /// A machine of this kind; `lot` is from 0 to 1.
    pub fn shape(&self, lot: f64) -> Shape {
        let speed = self.speed * (1.0 - SPREAD + 2.0 * SPREAD * lot);
        let (slots, room) = ((self.cores * 12.0) as usize, (self.cores * 15.0) as usize);
        Shape { cores: self.cores, speed, slots, room }
    }
}

/// The kind of the machine with this number: the kinds in their parts among each twenty.
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
