//! The identity of a request's content.

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Returns a hash that is the same on every instance for the same front, service and body.
pub fn fingerprint(front: &str, service: Option<&str>, body: &[u8]) -> u64 {
    fingerprint_with(front, service, xxh3_64(body))
}

/// Returns the fingerprint of a request whose body is hashed already.
pub fn fingerprint_with(front: &str, service: Option<&str>, body_hash: u64) -> u64 {
    let mut hasher = Xxh3::new();
    write_part(&mut hasher, front.as_bytes());
    write_part(&mut hasher, service.unwrap_or_default().as_bytes());
    hasher.update(&body_hash.to_le_bytes());
    hasher.digest()
}

/// Returns the hash of a body.
pub fn body_hash(body: &[u8]) -> u64 {
    xxh3_64(body)
}

/// Adds a part with its length, so that no two sequences of parts give the same input.
fn write_part(hasher: &mut Xxh3, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_le_bytes());
    hasher.update(part);
}
