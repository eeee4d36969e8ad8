//! Builds the programs that a rig runs from this workspace.

use std::{
    env,
    path::{Path, PathBuf},
    process::Command,
};

use crate::RigError;

/// Cargo profile of the programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Profile {
    /// Unoptimised, for tests.
    #[default]
    Debug,
    /// Optimised, for measurements.
    Release,
}

/// Builds the programs and returns the directory that holds them.
///
/// # Errors
///
/// Returns an error if cargo cannot be run or the build fails.
pub fn build(profile: Profile) -> Result<PathBuf, RigError> {
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.toml");
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--locked", "--manifest-path"]);
    command.arg(&manifest);
    for program in ["balsamd", "balsamfake", "balsamctl", "balsamload"] {
        command.args(["--package", program]);
    }
    let profile_directory = match profile {
        Profile::Debug => "debug",
        Profile::Release => {
            command.arg("--release");
            "release"
        }
    };
    let status = command.status().map_err(|_| RigError::Build)?;
    if !status.success() {
        return Err(RigError::Build);
    }
    let target_directory = match env::var_os("CARGO_TARGET_DIR") {
        Some(path) => PathBuf::from(path),
        None => Path::new(env!("CARGO_MANIFEST_DIR")).join("../../target"),
    };
    Ok(target_directory.join(profile_directory))
}
