//! Many seeds, on all cores.

use std::ops::Range;

/// Plays these seeds on all cores.
///
/// # Panics
///
/// If a play panics, so that the test that calls this fails.
pub fn for_each_seed(seeds: Range<u64>, play: impl Fn(u64) + Sync) {
    let threads = std::thread::available_parallelism().map_or(2, |count| count.get()) as u64;
    std::thread::scope(|scope| {
        for thread in 0..threads {
            let (play, seeds) = (&play, seeds.clone());
            scope.spawn(move || seeds.filter(|seed| seed % threads == thread).for_each(play));
        }
    });
}
