//! Generates the Rust types of the messages between instances from their protobuf definitions.

use std::{fs, path::PathBuf, process::Command};

use crate::error::TaskError;

const PROTO_DIR: &str = "crates/wire/proto";
const PROTO_FILE: &str = "crates/wire/proto/peer.proto";
const GENERATED_FILE: &str = "crates/wire/src/generated.rs";

/// Regenerates the committed code.
pub fn write() -> Result<(), TaskError> {
    let code = generate()?;
    fs::write(GENERATED_FILE, code).map_err(|error| file_error(GENERATED_FILE, error))
}

/// Checks that the committed code matches the protobuf definitions.
pub fn verify() -> Result<(), TaskError> {
    let code = generate()?;
    let committed =
        fs::read_to_string(GENERATED_FILE).map_err(|error| file_error(GENERATED_FILE, error))?;
    if code == committed {
        Ok(())
    } else {
        Err(TaskError::Outdated(GENERATED_FILE))
    }
}

fn generate() -> Result<String, TaskError> {
    let definitions = protox::compile([PROTO_FILE], [PROTO_DIR])
        .map_err(|error| TaskError::Protobuf(error.to_string()))?;
    let directory = PathBuf::from("target/codegen");
    let directory_name = directory.display().to_string();
    fs::create_dir_all(&directory).map_err(|error| file_error(&directory_name, error))?;
    prost_build::Config::new()
        .bytes(["."])
        .out_dir(&directory)
        .compile_fds(definitions)
        .map_err(|error| TaskError::Protobuf(error.to_string()))?;
    let generated = directory.join("balsamfall.peer.rs");
    let code =
        fs::read_to_string(&generated).map_err(|error| file_error(&directory_name, error))?;
    let header = "//! Messages between instances, generated from `proto/peer.proto`.\n\
                  #![allow(missing_docs, clippy::all)]\n\n";
    fs::write(&generated, format!("{header}{code}"))
        .map_err(|error| file_error(&directory_name, error))?;
    let status = Command::new("rustfmt")
        .arg("--edition=2024")
        .arg(&generated)
        .status();
    if !status.is_ok_and(|status| status.success()) {
        return Err(TaskError::Command("rustfmt".to_owned()));
    }
    fs::read_to_string(&generated).map_err(|error| file_error(&directory_name, error))
}

fn file_error(path: &str, error: std::io::Error) -> TaskError {
    TaskError::File(path.to_owned(), error)
}
