//! Keyed hashes of callers' keys.

use std::{fmt, hash::Hasher};

use model::Secret;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use siphasher::sip128::{Hasher128, SipHasher24};

/// Stream of the random numbers that the hash key is drawn from. Other parts of the process draw
/// from stream 0 of the same seed and show some of those numbers, as the jitter of delays.
const HASH_KEY_STREAM: u64 = 1;

/// Key of the hash; a new one for each process, so that nobody can compute a collision.
#[derive(Clone, Copy, Default)]
pub struct HashKey([u64; 2]);

impl fmt::Debug for HashKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("HashKey")
    }
}

/// Hash of a caller's key: 128 bits, so that a guessed key matches none of 100,000 by chance.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyHash([u64; 2]);

impl fmt::Debug for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyHash")
    }
}

/// Draws the hash key of a process; `seed` must be unpredictable in production.
pub fn new_hash_key(seed: u64) -> HashKey {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(HASH_KEY_STREAM);
    HashKey([rng.next_u64(), rng.next_u64()])
}

/// Hashes a caller's key.
pub fn hash(hash_key: &HashKey, key: &Secret) -> KeyHash {
    let HashKey([first, second]) = *hash_key;
    let mut hasher = SipHasher24::new_with_keys(first, second);
    hasher.write(key.reveal());
    let hash = hasher.finish128();
    KeyHash([hash.h1, hash.h2])
}
