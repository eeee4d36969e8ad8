//! Everything that must hold before a change lands.

use std::{fs, path::Path, process::Command};

use crate::{codegen, error::TaskError};

/// Tests that fail for a known fault.
const KNOWN_RED_FILE: &str = "KNOWN-RED.txt";
/// Start of the line that names a test in [`KNOWN_RED_FILE`].
const KNOWN_RED_TEST: &str = "test:";

/// Names of the platform's messages, which stand in its folder only.
const WIRE_NAMES_FILE: &str = "platform/wire-names.txt";
/// Folders whose sources must not contain them.
const SOURCE_DIRS: [&str; 2] = ["crates", "xtask"];

/// Seed of the short soak.
const SOAK_SEED: &str = "1";

/// Checks format, lints, generated code and tests.
pub fn ci() -> Result<(), TaskError> {
    cargo(&["fmt", "--all", "--check"])?;
    codegen::verify()?;
    wire_names_in_place()?;
    cargo(&[
        "clippy",
        "--workspace",
        "--all-targets",
        "--locked",
        "--",
        "-D",
        "warnings",
    ])?;
    cargo(&["build", "--workspace", "--locked"])?;
    let known_red = fs::read_to_string(KNOWN_RED_FILE).unwrap_or_default();
    let skipped = known_red_tests(&known_red);
    let mut arguments = vec!["test", "--workspace", "--locked", "--"];
    for &test in &skipped {
        println!("known red, not run: {test}");
        arguments.extend(["--skip", test]);
    }
    cargo(&arguments)?;
    cargo(&[
        "run",
        "--locked",
        "--package",
        "soak",
        "--",
        "--seed",
        SOAK_SEED,
        "--seconds",
        "6",
    ])
}

/// Returns the names of the tests that the list of known faults passes over.
fn known_red_tests(known_red: &str) -> Vec<&str> {
    let names = known_red
        .lines()
        .filter_map(|line| line.strip_prefix(KNOWN_RED_TEST));
    names
        .map(str::trim)
        .filter(|name| !name.is_empty())
        .collect()
}

/// Checks that no source outside the platform's folder contains a name of its messages.
fn wire_names_in_place() -> Result<(), TaskError> {
    let names = fs::read_to_string(WIRE_NAMES_FILE)
        .map_err(|error| TaskError::File(WIRE_NAMES_FILE.to_owned(), error))?;
    let mut found = Vec::new();
    for dir in SOURCE_DIRS {
        find_names(Path::new(dir), &names, &mut found)?;
    }
    match found.is_empty() {
        true => Ok(()),
        false => Err(TaskError::WireNames(found.join("\n"))),
    }
}

fn find_names(dir: &Path, names: &str, found: &mut Vec<String>) -> Result<(), TaskError> {
    let error = |error| TaskError::File(dir.display().to_string(), error);
    for entry in fs::read_dir(dir).map_err(error)? {
        let path = entry.map_err(error)?.path();
        if path.is_dir() {
            find_names(&path, names, found)?;
            continue;
        }
        if path.extension().is_none_or(|extension| extension != "rs") {
            continue;
        }
        let source = fs::read_to_string(&path).map_err(error)?;
        found.extend(names_in(&source, names).map(|name| format!("{}: {name}", path.display())));
    }
    Ok(())
}

/// Returns the names that a source contains, in whatever case.
fn names_in<'a>(source: &str, names: &'a str) -> impl Iterator<Item = &'a str> {
    let source = source.to_ascii_lowercase();
    let names = names.lines().filter(|name| !name.is_empty());
    names.filter(move |name| source.contains(&name.to_ascii_lowercase()))
}

fn cargo(arguments: &[&str]) -> Result<(), TaskError> {
    let shown = format!("cargo {}", arguments.join(" "));
    println!("== {shown}");
    let status = Command::new("cargo").args(arguments).status();
    if status.is_ok_and(|status| status.success()) {
        Ok(())
    } else {
        Err(TaskError::Command(shown))
    }
}

#[cfg(test)]
mod tests;
