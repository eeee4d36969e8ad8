//! The programs that a rig runs: built by cargo, from this workspace.

use std::{
    env,
    path::{Path, PathBuf},
    process::Command,
};

use crate::RigError;

/// Which build of the programs to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Profile {
    /// Without optimisation, for tests.
    #[default]
    Debug,
    /// With optimisation, for measurements.
    Release,
}

/// Builds the programs and returns the directory that holds them.
///
/// # Errors
///
/// Returns an error if the build fails.
pub fn build(profile: Profile) -> Result<PathBuf, RigError> {
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.toml");
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--locked", "--manifest-path"]);
    command.arg(&manifest);
    for program in ["balsamd", "balsamfake", "balsamctl", "balsamload"] {
        command.args(["--package", program]);
    }
    let directory = match profile {
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
    let target = match env::var_os("CARGO_TARGET_DIR") {
        Some(target) => PathBuf::from(target),
        None => Path::new(env!("CARGO_MANIFEST_DIR")).join("../../target"),
    };
    Ok(target.join(directory))
}
