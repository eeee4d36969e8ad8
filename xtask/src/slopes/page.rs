//! Updates the results quoted in `docs/CAPACITY.md`.
//!
//! The page quotes a result as a link: `[value](slopes/results.txt#name)`.

use crate::results::Results;

/// Link to the results file, relative to the page; the name of a result follows.
pub const RESULTS_LINK: &str = "slopes/results.txt#";

/// Replaces the text of every link to a result by the value of that result.
///
/// # Errors
///
/// Returns the linked names that are not in `results`.
pub fn update_links(page: &str, results: &Results) -> Result<String, Vec<String>> {
    let link_start = format!("]({RESULTS_LINK}");
    let mut updated = String::new();
    let mut unknown = Vec::new();
    let mut rest = page;
    while let Some((before, after)) = rest.split_once(&link_start) {
        let (name, after_link) = after.split_once(')').unwrap_or((after, ""));
        let label_start = before.rfind('[').map_or(0, |place| place + 1);
        updated.push_str(&before[..label_start]);
        match results.0.get(name) {
            Some(value) => updated.push_str(value),
            None => unknown.push(name.to_owned()),
        }
        updated.push_str(&format!("{link_start}{name})"));
        rest = after_link;
    }
    updated.push_str(rest);
    if unknown.is_empty() {
        Ok(updated)
    } else {
        Err(unknown)
    }
}
