//! Organisations and the keys that authenticate their callers.
//!
//! The table holds what the configuration in force says. It knows keys only by a hash, and finds
//! the organisation of a key by hashing the key that a caller sent.
//!
//! Invariants:
//! - no text of a key is stored, so that no dump, log line or panic message can show one;
//! - a key belongs to at most one organisation: the first that the configuration names it for;
//! - a newer configuration replaces the table as a whole; the key of an organisation stays valid
//!   while its name exists;
//! - a configuration whose organisations were all refused still requires keys.

mod key_hash;
mod table;

#[cfg(test)]
mod tests;

pub use key_hash::{HashKey, KeyHash, hash, new_hash_key};
pub use table::{
    Organisation, OrganisationKey, Organisations, caps, find, find_by_hash, hash_of, keys_count,
    new_table, replace,
};
