//! The checks of continuous integration, run by `cargo xtask ci`.

use std::{
    fs,
    path::Path,
    process::{Command, Stdio},
};

use crate::{codegen, error::TaskError};

/// List of the tests and soak findings that fail because of a known fault.
const KNOWN_FAILURES_FILE: &str = "KNOWN-RED.txt";
/// Prefix of a line of [`KNOWN_FAILURES_FILE`] that names a test.
const TEST_PREFIX: &str = "test:";
/// Prefix of a line of [`KNOWN_FAILURES_FILE`] with the text of a finding of the soak run in CI.
const FINDING_PREFIX: &str = "soak finding:";

/// Names of the platform's protocol, one per line; only sources in `platform/` may contain them.
const WIRE_NAMES_FILE: &str = "platform/wire-names.txt";
/// Directories whose sources must not contain a name of [`WIRE_NAMES_FILE`].
const CHECKED_DIRS: [&str; 2] = ["crates", "xtask"];

/// Seed of the soak run that is part of CI.
const SOAK_SEED: &str = "1";
/// Options that select the layouts of the soak that is part of CI.
const SOAK_LAYOUTS: [&[&str]; 3] = [&[], &["--relays"], &["--silences"]];

/// Checks formatting, generated code, protocol names and lints, then runs tests and a short soak.
pub fn ci() -> Result<(), TaskError> {
    run_cargo(&["fmt", "--all", "--check"])?;
    codegen::verify()?;
    check_wire_names()?;
    run_cargo(&[
        "clippy",
        "--workspace",
        "--all-targets",
        "--locked",
        "--",
        "-D",
        "warnings",
    ])?;
    run_cargo(&["build", "--workspace", "--locked"])?;
    let known_failures = fs::read_to_string(KNOWN_FAILURES_FILE).unwrap_or_default();
    let skipped = parse_known_failures(&known_failures, TEST_PREFIX);
    let mut arguments = vec!["test", "--workspace", "--locked", "--"];
    for &test in &skipped {
        println!("skipping known failure: {test}");
        arguments.extend(["--skip", test]);
    }
    run_cargo(&arguments)?;
    let known_findings = parse_known_failures(&known_failures, FINDING_PREFIX);
    for layout_options in SOAK_LAYOUTS {
        run_soak(layout_options, &known_findings)?;
    }
    Ok(())
}

/// Runs the soak. A run whose findings are all known passes, and the findings are printed.
fn run_soak(layout_options: &[&str], known_findings: &[&str]) -> Result<(), TaskError> {
    let mut arguments = vec![
        "run",
        "--locked",
        "--package",
        "soak",
        "--",
        "--seed",
        SOAK_SEED,
        "--seconds",
        "6",
    ];
    arguments.extend(layout_options);
    let command_line = format!("cargo {}", arguments.join(" "));
    println!("== {command_line}");
    let mut command = Command::new("cargo");
    let output = command.args(arguments).stderr(Stdio::inherit()).output();
    let Ok(output) = output else {
        return Err(TaskError::Command(command_line));
    };
    let report = String::from_utf8_lossy(&output.stdout);
    print!("{report}");
    if output.status.success() {
        return Ok(());
    }
    if !has_only_known_findings(&report, known_findings) {
        return Err(TaskError::Command(command_line));
    }
    println!("passing over known soak findings of {KNOWN_FAILURES_FILE}");
    Ok(())
}

/// Returns whether the soak's report has findings and lists all of them, each with a known text.
fn has_only_known_findings(report: &str, known_findings: &[&str]) -> bool {
    let findings: Vec<&str> = report
        .lines()
        .filter_map(|line| line.strip_prefix("  "))
        .collect();
    // The report lists only the first findings, so their number is compared with its total.
    let total = format!(", {} findings", findings.len());
    let is_complete = report.lines().any(|line| line.ends_with(&total));
    let is_known = |finding: &&str| {
        finding
            .split_once(": ")
            .is_some_and(|(_, text)| known_findings.contains(&text))
    };
    !findings.is_empty() && is_complete && findings.iter().all(is_known)
}

/// Returns what the content of [`KNOWN_FAILURES_FILE`] lists in the lines with a prefix.
fn parse_known_failures<'a>(known_failures: &'a str, prefix: &str) -> Vec<&'a str> {
    let entries = known_failures
        .lines()
        .filter_map(|line| line.strip_prefix(prefix));
    entries
        .map(str::trim)
        .filter(|entry| !entry.is_empty())
        .collect()
}

/// Checks that no source in [`CHECKED_DIRS`] contains a name of the platform's protocol.
fn check_wire_names() -> Result<(), TaskError> {
    let names = fs::read_to_string(WIRE_NAMES_FILE)
        .map_err(|error| TaskError::File(WIRE_NAMES_FILE.to_owned(), error))?;
    let mut found = Vec::new();
    for dir in CHECKED_DIRS {
        find_wire_names(Path::new(dir), &names, &mut found)?;
    }
    match found.is_empty() {
        true => Ok(()),
        false => Err(TaskError::WireNames(found.join("\n"))),
    }
}

fn find_wire_names(dir: &Path, names: &str, found: &mut Vec<String>) -> Result<(), TaskError> {
    let file_error = |error| TaskError::File(dir.display().to_string(), error);
    for entry in fs::read_dir(dir).map_err(file_error)? {
        let path = entry.map_err(file_error)?.path();
        if path.is_dir() {
            find_wire_names(&path, names, found)?;
            continue;
        }
        if path.extension().is_none_or(|extension| extension != "rs") {
            continue;
        }
        let source = fs::read_to_string(&path).map_err(file_error)?;
        found.extend(
            wire_names_in(&source, names).map(|name| format!("{}: {name}", path.display())),
        );
    }
    Ok(())
}

/// Returns the names that a source contains, ignoring ASCII case.
fn wire_names_in<'a>(source: &str, names: &'a str) -> impl Iterator<Item = &'a str> {
    let source = source.to_ascii_lowercase();
    let names = names.lines().filter(|name| !name.is_empty());
    names.filter(move |name| source.contains(&name.to_ascii_lowercase()))
}

fn run_cargo(arguments: &[&str]) -> Result<(), TaskError> {
    let command_line = format!("cargo {}", arguments.join(" "));
    println!("== {command_line}");
    let status = Command::new("cargo").args(arguments).status();
    if status.is_ok_and(|status| status.success()) {
        Ok(())
    } else {
        Err(TaskError::Command(command_line))
    }
}

#[cfg(test)]
mod tests;
