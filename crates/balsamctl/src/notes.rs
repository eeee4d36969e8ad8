//! `balsamctl note`: validates, compares and creates release notes; it contacts no instance.

use std::{fs, path::Path};

use findings::Findings;
use note::{Difference, Note};
use serde_json::json;

use crate::{error::CommandError, exit::ExitStatus};

/// Prints every finding about a note and, if there is a previous note, about its lists of changes.
///
/// # Errors
///
/// Returns an error if a file cannot be read.
pub fn check(
    path: &Path,
    previous: Option<&Path>,
    is_json: bool,
) -> Result<ExitStatus, CommandError> {
    let mut findings = Findings::default();
    let note = read_note(path, &mut findings)?;
    if let Some(previous) = previous {
        let previous = read_note(previous, &mut findings)?;
        if let (Some(previous), Some(note)) = (&previous, &note) {
            note::check_difference(previous, note, &mut findings);
        }
    }
    Ok(print_findings(path, &findings, is_json))
}

/// Prints the items that a note adds, changes and withdraws compared to an earlier one.
///
/// # Errors
///
/// Returns an error if a file cannot be read.
pub fn diff(previous: &Path, note: &Path, is_json: bool) -> Result<ExitStatus, CommandError> {
    let mut findings = Findings::default();
    let before = read_note(previous, &mut findings)?;
    let after = read_note(note, &mut findings)?;
    let (Some(before), Some(after)) = (before, after) else {
        return Ok(print_findings(note, &findings, is_json));
    };
    let difference = note::diff(&before.fleet, &after.fleet);
    if is_json {
        let document = json!({
            "previous_revision": before.revision,
            "revision": after.revision,
            "added": difference.added,
            "changed": difference.changed,
            "withdrawn": difference.withdrawn,
        });
        println!("{document:#}");
    } else {
        println!("revision {} to {}", before.revision, after.revision);
        print!("{}", render_difference(&difference));
    }
    Ok(ExitStatus::Success)
}

/// Applies a change to a note and prints the resulting note.
///
/// # Errors
///
/// Returns an error if a file cannot be read.
pub fn compose(previous: &Path, change: &Path, is_json: bool) -> Result<ExitStatus, CommandError> {
    let mut findings = Findings::default();
    let before = read_note(previous, &mut findings)?;
    let document = read_file(change)?;
    let edits = note::read_change(&document, &mut findings);
    let (Some(before), Some(edits)) = (before, edits) else {
        return Ok(print_findings(change, &findings, is_json));
    };
    let Some(note) = note::compose(&before, &edits, &mut findings) else {
        return Ok(print_findings(change, &findings, is_json));
    };
    println!("{:#}", json!(note));
    Ok(ExitStatus::Success)
}

/// Prints the findings and returns the exit code for them.
fn print_findings(path: &Path, findings: &Findings, is_json: bool) -> ExitStatus {
    if is_json {
        println!("{:#}", json!({"findings": findings.list}));
    } else if findings.is_empty() {
        println!("{}: no findings", path.display());
    } else {
        print!("{findings}");
    }
    if findings.is_empty() {
        ExitStatus::Success
    } else {
        ExitStatus::Findings
    }
}

/// Formats a difference with one line for each item path.
pub(crate) fn render_difference(difference: &Difference) -> String {
    let groups = [
        ('+', &difference.added),
        ('~', &difference.changed),
        ('-', &difference.withdrawn),
    ];
    let lines = groups
        .iter()
        .flat_map(|(sign, paths)| paths.iter().map(move |path| format!("{sign} {path}\n")));
    lines.collect()
}

fn read_note(path: &Path, findings: &mut Findings) -> Result<Option<Note>, CommandError> {
    let document = read_file(path)?;
    Ok(note::read(&document, findings))
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    fs::read_to_string(path).map_err(|error| CommandError::Read(path.display().to_string(), error))
}
