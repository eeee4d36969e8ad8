//! The table of organisations.

use std::{
    collections::{HashMap, HashSet, hash_map::Entry},
    sync::Arc,
};

use model::{OrganisationEntry, Secret, UsageCap};
use serde::Serialize;
use slotmap::{SlotMap, new_key_type};

use crate::key_hash::{HashKey, KeyHash, hash, new_hash_key};

new_key_type! {
    /// Key of an organisation.
    pub struct OrganisationKey;
}

/// Organisations of the configuration in force; serialised for the state dump.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Organisations {
    /// Whether the configuration names organisations, so that callers need a key.
    pub is_required: bool,
    /// The organisations.
    pub entries: SlotMap<OrganisationKey, Organisation>,
    #[serde(skip)]
    names: HashMap<Arc<str>, OrganisationKey>,
    #[serde(skip)]
    keys: HashMap<KeyHash, OrganisationKey>,
    #[serde(skip)]
    hash_key: HashKey,
}

/// An organisation.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Organisation {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Priority rank that replaces the one of the front; 0 is the highest.
    pub rank: Option<u32>,
    /// Usage cap over all instances together, if there is one.
    pub cap: Option<UsageCap>,
    /// Number of keys that authenticate its callers.
    pub keys_count: u32,
    /// Version of the configuration that last removed one of its keys, or else that first named it.
    pub key_removed_in_version: u64,
}

/// Returns a table without organisations; `seed` determines the key of its hashes.
pub fn new_table(seed: u64) -> Organisations {
    Organisations {
        hash_key: new_hash_key(seed),
        ..Organisations::default()
    }
}

/// Replaces the organisations by those of a newer configuration.
///
/// An entry without a name stands for a refused one: it only makes keys required. Of two entries
/// with the same name or key, the first holds.
pub fn replace(table: &mut Organisations, version: u64, configured: &[OrganisationEntry]) {
    let previous_keys = std::mem::take(&mut table.keys);
    table.is_required = !configured.is_empty();
    let mut kept: HashSet<OrganisationKey> = HashSet::new();
    for entry in configured.iter().filter(|entry| !entry.name.is_empty()) {
        let key = get_or_insert(table, version, &entry.name);
        if kept.insert(key) {
            let keys_count = add_keys(table, key, &entry.keys);
            let organisation = &mut table.entries[key];
            organisation.rank = entry.rank;
            organisation.cap = entry.cap;
            organisation.keys_count = keys_count;
        }
    }
    table.entries.retain(|key, _| kept.contains(&key));
    table.names.retain(|_, key| kept.contains(key));
    for (hash, key) in previous_keys {
        if table.keys.get(&hash) != Some(&key)
            && let Some(organisation) = table.entries.get_mut(key)
        {
            organisation.key_removed_in_version = version;
        }
    }
}

fn get_or_insert(table: &mut Organisations, version: u64, name: &str) -> OrganisationKey {
    if let Some(&key) = table.names.get(name) {
        return key;
    }
    let name: Arc<str> = name.into();
    let key = table.entries.insert(Organisation {
        name: name.clone(),
        rank: None,
        cap: None,
        keys_count: 0,
        // An earlier configuration may have named it, with other keys.
        key_removed_in_version: version,
    });
    table.names.insert(name, key);
    key
}

/// Adds the keys of an organisation that belong to none yet, and returns their number.
fn add_keys(table: &mut Organisations, organisation: OrganisationKey, keys: &[Secret]) -> u32 {
    let mut added_count = 0;
    for key in keys.iter().filter(|key| !key.reveal().is_empty()) {
        if let Entry::Vacant(entry) = table.keys.entry(hash(&table.hash_key, key)) {
            entry.insert(organisation);
            added_count += 1;
        }
    }
    added_count
}

/// Returns the hash by which this process knows a key.
pub fn hash_of(table: &Organisations, key: &Secret) -> KeyHash {
    hash(&table.hash_key, key)
}

/// Returns the organisation that a key belongs to.
pub fn find_by_hash(table: &Organisations, hash: KeyHash) -> Option<&Organisation> {
    table.entries.get(*table.keys.get(&hash)?)
}

/// Returns the organisation with a name.
pub fn find<'a>(table: &'a Organisations, name: &str) -> Option<&'a Organisation> {
    table.entries.get(*table.names.get(name)?)
}

/// Returns the organisations that have a usage cap, and their caps.
pub fn caps(table: &Organisations) -> impl Iterator<Item = (&str, UsageCap)> {
    let entries = table.entries.values();
    entries.filter_map(|organisation| Some((&*organisation.name, organisation.cap?)))
}

/// Returns the number of keys of all organisations.
pub fn keys_count(table: &Organisations) -> usize {
    table.keys.len()
}
