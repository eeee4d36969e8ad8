//! Compares the table of settings in the operations page with the defaults.

use std::collections::BTreeMap;

use findings::Findings;
use serde_json::Value;

use super::COMPLETE;
use crate::{Admit, Fleet, Gateway, Once, Query, Route, read};

const OPERATIONS_PAGE: &str = include_str!("../../../../docs/OPERATIONS.md");

#[test]
fn operations_page_lists_every_setting_with_its_default() {
    assert_eq!(documented(), defaults());
}

/// Returns the defaults in the page's table, by key.
fn documented() -> BTreeMap<String, f64> {
    let rows = OPERATIONS_PAGE.lines().filter_map(|line| {
        let mut cells = line.strip_prefix("| `")?.split(" | ");
        let key = cells.next()?.strip_suffix('`')?;
        let number = cells.next()?.parse().ok()?;
        key.contains('.').then(|| (key.to_owned(), number))
    });
    rows.collect()
}

/// Returns the defaults of all settings, by key in the settings file.
fn defaults() -> BTreeMap<String, f64> {
    let complete = COMPLETE.replace(", \"watch_timeout_ms\": 5000", "");
    let settings = read(&complete, &mut Findings::default()).expect("no findings");
    let platform = serde_json::to_value(settings.platform).expect("plain data");
    let sections = [
        ("platform", platform),
        (
            "query",
            serde_json::to_value(Query::default()).expect("plain data"),
        ),
        (
            "route",
            serde_json::to_value(Route::default()).expect("plain data"),
        ),
        (
            "admit",
            serde_json::to_value(Admit::default()).expect("plain data"),
        ),
        (
            "once",
            serde_json::to_value(Once::default()).expect("plain data"),
        ),
        (
            "gateway",
            serde_json::to_value(Gateway::default()).expect("plain data"),
        ),
        (
            "fleet",
            serde_json::to_value(Fleet::default()).expect("plain data"),
        ),
    ];
    let mut defaults = BTreeMap::new();
    for (section, fields) in sections {
        for (name, value) in fields.as_object().expect("a section is an object") {
            let number = match section {
                "gateway" => gateway_file_entry(name, value),
                _ => file_entry(name, value),
            };
            let Some((key, number)) = number else {
                continue;
            };
            defaults.insert(format!("{section}.{key}"), number);
        }
    }
    defaults
}

/// Converts a serialized setting to its key and number in the settings file.
fn file_entry(name: &str, value: &Value) -> Option<(String, f64)> {
    if let Some(secs) = value["secs"].as_f64() {
        let nanos = value["nanos"].as_f64()?;
        return Some((format!("{name}_ms"), secs * 1e3 + nanos / 1e6));
    }
    let number = value.as_f64()?;
    match name.strip_suffix("_ratio") {
        Some(stem) => {
            let percent = (number * 1e4).round() / 100.0;
            Some((format!("{stem}_percent"), percent))
        }
        None => Some((name.to_owned(), number)),
    }
}

/// Like [`file_entry`], for the gateway: the platform that generates its section states ratios as
/// fractions, and the retry window and shutdown limit in seconds.
fn gateway_file_entry(name: &str, value: &Value) -> Option<(String, f64)> {
    let (key, number) = file_entry(name, value)?;
    if name.ends_with("_ratio") {
        return Some((name.to_owned(), value.as_f64()?));
    }
    let is_in_seconds = ["retry_window", "shutdown_limit"].contains(&name);
    Some(match is_in_seconds {
        true => (format!("{name}_s"), number / 1e3),
        false => (key, number),
    })
}
