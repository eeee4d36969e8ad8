//! Runs the measurements and the soak test, which are separate programs, in the release profile.

use std::{ffi::OsString, process::Command};

use crate::error::TaskError;

/// Measures the reducer's decisions in a simulation.
pub fn measure(arguments: &[OsString]) -> Result<(), TaskError> {
    run("measure", arguments)
}

/// Measures how the cost of each part of an instance scales.
pub fn slopes(arguments: &[OsString]) -> Result<(), TaskError> {
    run("slopes", arguments)
}

/// Measures the propagation of configurations and the cost of membership.
pub fn spread(arguments: &[OsString]) -> Result<(), TaskError> {
    run("spread", arguments)
}

/// Measures the outcomes of orders under faults.
pub fn orders(arguments: &[OsString]) -> Result<(), TaskError> {
    run("orders", arguments)
}

/// Builds the programs that the soak test starts, then runs it.
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

fn run(program: &str, arguments: &[OsString]) -> Result<(), TaskError> {
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
