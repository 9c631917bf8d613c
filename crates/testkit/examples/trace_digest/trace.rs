//! A running digest of values in a form that depends on no name.

use sha2::{Digest, Sha256};

/// Collects values and hashes them in order.
#[derive(Default)]
pub(crate) struct Trace {
    hash: Sha256,
}

impl Trace {
    /// Adds an integer.
    pub(crate) fn integer(&mut self, value: i64) {
        self.hash.update(value.to_le_bytes());
    }

    /// Adds a floating-point number by its bits.
    pub(crate) fn float(&mut self, value: f64) {
        self.hash.update(value.to_bits().to_le_bytes());
    }

    /// Adds bytes with their length.
    pub(crate) fn bytes(&mut self, bytes: &[u8]) {
        self.integer(bytes.len() as i64);
        self.hash.update(bytes);
    }

    /// The digest of all that was added, in hexadecimal digits.
    pub(crate) fn finish(self) -> String {
        let digest = self.hash.finalize();
        digest[..16].iter().map(|byte| format!("{byte:02x}")).collect()
    }
}
