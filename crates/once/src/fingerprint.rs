//! Hashes that identify requests by their content.

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Returns the hash of a request's front, service and body, which is the same on every instance.
pub fn fingerprint(front: &str, service: Option<&str>, body: &[u8]) -> u64 {
    fingerprint_of_hashed(front, service, xxh3_64(body))
}

/// Like [`fingerprint`], for a body that has already been hashed by [`body_hash`].
pub fn fingerprint_of_hashed(front: &str, service: Option<&str>, body_hash: u64) -> u64 {
    let mut hasher = Xxh3::new();
    write_part(&mut hasher, front.as_bytes());
    write_part(&mut hasher, service.unwrap_or_default().as_bytes());
    hasher.update(&body_hash.to_le_bytes());
    hasher.digest()
}

/// Returns the hash that [`fingerprint_of_hashed`] takes.
pub fn body_hash(body: &[u8]) -> u64 {
    xxh3_64(body)
}

/// Hashes a part with its length as prefix, so that different sequences of parts never hash the
/// same bytes.
fn write_part(hasher: &mut Xxh3, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_le_bytes());
    hasher.update(part);
}
