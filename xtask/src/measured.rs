//! Measurements, which run in programs of their own that are built for speed.

use std::{ffi::OsString, process::Command};

use crate::error::TaskError;

/// Runs the measurement of decisions.
pub fn measure(arguments: &[OsString]) -> Result<(), TaskError> {
    release("measure", arguments)
}

/// Runs the measurement of slopes.
pub fn slopes(arguments: &[OsString]) -> Result<(), TaskError> {
    release("slopes", arguments)
}

/// Runs the measurement of the spreading of configurations.
pub fn spread(arguments: &[OsString]) -> Result<(), TaskError> {
    release("spread", arguments)
}

/// Runs the measurement of orders under faults.
pub fn orders(arguments: &[OsString]) -> Result<(), TaskError> {
    release("orders", arguments)
}

/// Soaks the real programs under faults.
pub fn soak(arguments: &[OsString]) -> Result<(), TaskError> {
    let programs = [
        "--package",
        "balsamd",
        "--package",
        "standin",
        "--package",
        "soak",
    ];
    let mut build = Command::new("cargo");
    build.args(["build", "--quiet", "--release"]).args(programs);
    let mut run = Command::new("cargo");
    run.args(["run", "--quiet", "--release", "--package", "soak", "--"]);
    run.args(arguments);
    for command in [&mut build, &mut run] {
        let status = command.status();
        if !status.is_ok_and(|status| status.success()) {
            return Err(TaskError::Command("soak".to_owned()));
        }
    }
    Ok(())
}

fn release(program: &str, arguments: &[OsString]) -> Result<(), TaskError> {
    let status = Command::new("cargo")
        .args(["run", "--quiet", "--release", "--package", "xtask", "--bin"])
        .arg(program)
        .arg("--")
        .args(arguments)
        .status();
    if status.is_ok_and(|status| status.success()) {
        Ok(())
    } else {
        Err(TaskError::Command(program.to_owned()))
    }
}
