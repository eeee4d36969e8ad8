//! `balsamctl note`: checks, differences and new notes, on files alone.

use std::{fs, path::Path};

use findings::Findings;
use note::{Difference, Note};
use serde_json::json;

use crate::{error::CommandError, exit::Exit};

/// Reports every finding of a note, and of its difference from the note before it.
///
/// # Errors
///
/// Returns an error if a file cannot be read.
pub fn check(path: &Path, previous: Option<&Path>, is_json: bool) -> Result<Exit, CommandError> {
    let mut findings = Findings::default();
    let note = read(path, &mut findings)?;
    if let Some(previous) = previous {
        let previous = read(previous, &mut findings)?;
        if let (Some(previous), Some(note)) = (&previous, &note) {
            note::check_difference(previous, note, &mut findings);
        }
    }
    Ok(report(path, &findings, is_json))
}

/// Shows how a note differs from an earlier one.
///
/// # Errors
///
/// Returns an error if a file cannot be read.
pub fn diff(previous: &Path, next: &Path, is_json: bool) -> Result<Exit, CommandError> {
    let mut findings = Findings::default();
    let before = read(previous, &mut findings)?;
    let after = read(next, &mut findings)?;
    let (Some(before), Some(after)) = (before, after) else {
        return Ok(report(next, &findings, is_json));
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
        print!("{}", render(&difference));
    }
    Ok(Exit::Success)
}

/// Prints the note that brings a change about.
///
/// # Errors
///
/// Returns an error if a file cannot be read.
pub fn compose(previous: &Path, change: &Path, is_json: bool) -> Result<Exit, CommandError> {
    let mut findings = Findings::default();
    let before = read(previous, &mut findings)?;
    let document = read_file(change)?;
    let wanted = note::read_change(&document, &mut findings);
    let (Some(before), Some(wanted)) = (before, wanted) else {
        return Ok(report(change, &findings, is_json));
    };
    let Some(note) = note::compose(&before, &wanted, &mut findings) else {
        return Ok(report(change, &findings, is_json));
    };
    println!("{:#}", json!(note));
    Ok(Exit::Success)
}

/// Prints the findings and says by an exit code whether there are any.
fn report(path: &Path, findings: &Findings, is_json: bool) -> Exit {
    if is_json {
        println!("{:#}", json!({"findings": findings.list}));
    } else if findings.is_empty() {
        println!("{}: no findings", path.display());
    } else {
        print!("{findings}");
    }
    if findings.is_empty() {
        Exit::Success
    } else {
        Exit::Findings
    }
}

/// Returns one line for each path.
pub(crate) fn render(difference: &Difference) -> String {
    let parts = [
        ('+', &difference.added),
        ('~', &difference.changed),
        ('-', &difference.withdrawn),
    ];
    let lines = parts
        .iter()
        .flat_map(|(sign, paths)| paths.iter().map(move |path| format!("{sign} {path}\n")));
    lines.collect()
}

fn read(path: &Path, findings: &mut Findings) -> Result<Option<Note>, CommandError> {
    let document = read_file(path)?;
    Ok(note::read(&document, findings))
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    fs::read_to_string(path).map_err(|error| CommandError::Read(path.display().to_string(), error))
}
