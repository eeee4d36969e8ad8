//! The page's figures: links whose text is the figure and whose address names it.

use crate::figures::Figures;

/// Address of the results file, seen from the page.
pub const RESULTS: &str = "slopes/results.txt#";

/// Returns the page with the text of every link to a figure replaced by the figure.
///
/// # Errors
///
/// Returns the names that no figure has.
pub fn filled(page: &str, figures: &Figures) -> Result<String, Vec<String>> {
    let mark = format!("]({RESULTS}");
    let mut filled = String::new();
    let mut unknown = Vec::new();
    let mut rest = page;
    while let Some((before, after)) = rest.split_once(&mark) {
        let (name, behind) = after.split_once(')').unwrap_or((after, ""));
        let text_start = before.rfind('[').map_or(0, |place| place + 1);
        filled.push_str(&before[..text_start]);
        match figures.0.get(name) {
            Some(value) => filled.push_str(value),
            None => unknown.push(name.to_owned()),
        }
        filled.push_str(&format!("{mark}{name})"));
        rest = behind;
    }
    filled.push_str(rest);
    if unknown.is_empty() {
        Ok(filled)
    } else {
        Err(unknown)
    }
}
