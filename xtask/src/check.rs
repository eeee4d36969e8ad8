//! Everything that must hold before a change lands.

use std::{fs, process::Command};

use crate::{codegen, error::TaskError};

/// Tests that fail for a known fault.
const KNOWN_RED_FILE: &str = "KNOWN-RED.txt";
/// Start of the line that names a test in [`KNOWN_RED_FILE`].
const KNOWN_RED_TEST: &str = "test:";

/// Checks format, lints, generated code and tests.
pub fn ci() -> Result<(), TaskError> {
    cargo(&["fmt", "--all", "--check"])?;
    codegen::verify()?;
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
    cargo(&arguments)
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
