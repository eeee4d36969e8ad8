//! Everything that must hold before a change lands.

use std::process::Command;

use crate::{codegen, error::TaskError};

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
    cargo(&["test", "--workspace", "--locked"])
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
