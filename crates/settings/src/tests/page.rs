//! Compares the table of settings for operators with the defaults.

use std::collections::BTreeMap;

use findings::Findings;
use serde_json::Value;

use super::WHOLE;
use crate::{Admit, Fleet, Gateway, Once, Query, Route, read};

const PAGE: &str = include_str!("../../../../docs/OPERATIONS.md");

#[test]
fn the_page_lists_every_setting_with_its_default() {
    assert_eq!(documented(), defaults());
}

/// Returns the numbers in the table by key.
fn documented() -> BTreeMap<String, f64> {
    let rows = PAGE.lines().filter_map(|line| {
        let mut cells = line.strip_prefix("| `")?.split(" | ");
        let key = cells.next()?.strip_suffix('`')?;
        let number = cells.next()?.parse().ok()?;
        key.contains('.').then(|| (key.to_owned(), number))
    });
    rows.collect()
}

/// Returns the default of each setting by the key of the file.
fn defaults() -> BTreeMap<String, f64> {
    let whole = WHOLE.replace(", \"watch_timeout_ms\": 5000", "");
    let settings = read(&whole, &mut Findings::default()).expect("no findings");
    let platform = serde_json::to_value(settings.platform).expect("plain data");
    let areas = [
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
    for (area, fields) in areas {
        for (name, value) in fields.as_object().expect("an area is an object") {
            let number = match area {
                "gateway" => in_gateway(name, value),
                _ => in_file(name, value),
            };
            let Some((key, number)) = number else {
                continue;
            };
            defaults.insert(format!("{area}.{key}"), number);
        }
    }
    defaults
}

/// Returns the key and the number by which the file states a setting.
fn in_file(name: &str, value: &Value) -> Option<(String, f64)> {
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

/// The same for the gateway, whose file is filled in by a platform that states ratios as fractions
/// and most times in seconds.
fn in_gateway(name: &str, value: &Value) -> Option<(String, f64)> {
    let (key, number) = in_file(name, value)?;
    if name.ends_with("_ratio") {
        return Some((name.to_owned(), value.as_f64()?));
    }
    let is_in_seconds = ["retry_window", "shutdown_limit"].contains(&name);
    Some(match is_in_seconds {
        true => (format!("{name}_s"), number / 1e3),
        false => (key, number),
    })
}
