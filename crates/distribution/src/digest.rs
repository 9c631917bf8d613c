//! The hashes by which a control machine and a subscriber detect that their states differ. They detect bit flips, lost
//! changes and logs that differ; they are not cryptographic and do not protect against forgery.

use crate::name::{ResourceKind, ServiceName};
use crate::resource::Resource;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Continues an FNV-1a hash with further bytes.
fn fnv1a(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// The finalizer of MurmurHash3: each bit of the input changes about half of the bits of the output, so that the terms
/// of a sum of hashes do not cancel each other out.
fn finalize(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// Returns a 64-bit hash of bytes, FNV-1a with a finalizer. It is the same in every build.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    finalize(fnv1a(FNV_OFFSET, bytes))
}

/// Returns the term of a resource in the digest of its service: a hash of kind, key, version and body. The digest of a
/// service is the wrapping sum of these terms.
pub fn resource_digest(resource: &Resource) -> u64 {
    let kind = match resource.name.kind {
        ResourceKind::Pool => 0u8,
        ResourceKind::Server => 1,
        ResourceKind::Route => 2,
        ResourceKind::Tenant => 3,
    };
    let mut hash = fnv1a(FNV_OFFSET, &[kind]);
    hash = fnv1a(hash, &(resource.name.key.len() as u32).to_le_bytes());
    hash = fnv1a(hash, resource.name.key.as_bytes());
    hash = fnv1a(hash, &resource.version.to_le_bytes());
    hash = fnv1a(hash, resource.body.as_slice());
    finalize(hash)
}

/// Returns the term of a service, with its version and digest, in the digest of a subscriber's scope. The digest of a
/// scope is the wrapping sum of these terms.
pub fn scope_digest_term(service: &ServiceName, version: u64, digest: u64) -> u64 {
    let mut hash = fnv1a(FNV_OFFSET, service.as_str().as_bytes());
    hash = fnv1a(hash, &version.to_le_bytes());
    hash = fnv1a(hash, &digest.to_le_bytes());
    finalize(hash)
}

/// Returns the running hash of a log that continues with one more change file, given the running hash so far and the
/// epoch, the number and the hash of that file. See [`crate::Position::chain`].
pub fn next_chain_hash(chain: u64, epoch: u32, number: u64, hash: u64) -> u64 {
    let mut next = fnv1a(FNV_OFFSET, &chain.to_le_bytes());
    next = fnv1a(next, &epoch.to_le_bytes());
    next = fnv1a(next, &number.to_le_bytes());
    next = fnv1a(next, &hash.to_le_bytes());
    finalize(next)
}
