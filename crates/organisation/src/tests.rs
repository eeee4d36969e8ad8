//! Tests of the table: which key belongs to whom, and what a newer configuration changes.

use model::{OrganisationEntry, Secret, UsageCap};

use crate::{Organisations, find, find_by_hash, hash_of, keys_count, new_table, replace};

fn entry(name: &str, keys: &[&str]) -> OrganisationEntry {
    OrganisationEntry {
        name: name.to_owned(),
        keys: keys.iter().map(|&key| secret(key)).collect(),
        rank: Some(2),
        cap: Some(UsageCap {
            per_s: 4.0,
            burst_count: 8.0,
        }),
    }
}

fn secret(key: &str) -> Secret {
    Secret::new(key.to_owned())
}

fn owner<'a>(table: &'a Organisations, key: &str) -> Option<&'a str> {
    let organisation = find_by_hash(table, hash_of(table, &secret(key)));
    organisation.map(|organisation| &*organisation.name)
}

/// Guards against a key that stays valid after its removal, and one that is valid too early.
#[test]
fn a_newer_configuration_replaces_the_keys_as_a_whole() {
    let mut table = new_table(1);
    assert!(!table.is_required);
    assert_eq!(owner(&table, "k1"), None);
    replace(
        &mut table,
        1,
        &[entry("a", &["k1", "k2"]), entry("b", &["k3"])],
    );
    let [k1, k2, k3] = ["k1", "k2", "k3"].map(|key| owner(&table, key));
    assert_eq!([k1, k2, k3], [Some("a"), Some("a"), Some("b")]);
    replace(&mut table, 2, &[entry("a", &["k2", "k4"])]);
    let [k1, k2, k3, k4] = ["k1", "k2", "k3", "k4"].map(|key| owner(&table, key));
    assert_eq!([k1, k2, k3, k4], [None, Some("a"), None, Some("a")]);
    assert_eq!(find(&table, "a").map(|a| a.key_removed_in_version), Some(2));
    replace(&mut table, 3, &[entry("a", &["k2", "k4", "k5"])]);
    assert_eq!(find(&table, "a").map(|a| a.key_removed_in_version), Some(2));
    assert!(find(&table, "b").is_none());
    replace(&mut table, 4, &[]);
    assert!(!table.is_required && keys_count(&table) == 0);
}

/// Guards against a key of two organisations that changes hands, or a second entry of one name
/// that replaces the first.
#[test]
fn the_first_entry_with_a_key_or_a_name_holds() {
    let mut table = new_table(1);
    let entries = [
        entry("a", &["k1", "k1", ""]),
        entry("b", &["k1", "k2"]),
        entry("a", &["k3"]),
    ];
    replace(&mut table, 1, &entries);
    assert_eq!(owner(&table, "k1"), Some("a"));
    assert_eq!(owner(&table, "k2"), Some("b"));
    assert_eq!(owner(&table, "k3"), None);
    assert_eq!(owner(&table, ""), None);
    assert_eq!(find(&table, "a").map(|a| a.keys_count), Some(1));
}

/// Guards against a configuration that lets everybody in because each organisation was refused.
#[test]
fn refused_entries_still_require_keys() {
    let mut table = new_table(1);
    replace(&mut table, 1, &[entry("", &["k1"])]);
    assert!(table.is_required && table.entries.is_empty());
    assert_eq!(owner(&table, "k1"), None);
}

/// Guards against a hash that others can compute, and a table that shows keys or hashes.
#[test]
fn hashes_differ_between_processes_and_nothing_shows_a_key() {
    let mut table = new_table(1);
    replace(&mut table, 1, &[entry("a", &["s3cret-key"])]);
    let other = new_table(2);
    let key = secret("s3cret-key");
    assert!(hash_of(&table, &key) != hash_of(&other, &key));
    let shown = serde_json::to_string(&table).expect("the table is serialisable");
    assert!(shown.contains("\"keys_count\":1") && shown.contains("\"rank\":2"));
    for text in [shown, format!("{table:?} {key:?}")] {
        assert!(!text.contains("s3cret-key"), "{text}");
    }
}
