//! The command line.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
};

use bpaf::{Parser, construct, long};
use findings::Findings;
use note::Note;

use crate::shell;

/// What the process is asked to do.
#[derive(Clone, Debug)]
pub struct Options {
    /// The release note whose targets are played and which the platform publishes.
    pub note: PathBuf,
    /// The list of instances that the platform gives at first; an empty one if there is no file.
    pub instances: Option<PathBuf>,
    /// Address of the platform's HTTP port.
    pub platform: SocketAddr,
    /// Address of the port on which the stand-ins are steered.
    pub control: SocketAddr,
    /// Seed of the generator of latencies.
    pub seed: u64,
}

/// Reads the command line; exits with a message if it is wrong.
pub fn parse() -> Options {
    let note = long("note")
        .help("Release note to publish and to play")
        .argument("FILE");
    let instances = long("instances")
        .help("List of instances that the platform gives at first")
        .argument("FILE")
        .optional();
    let platform = long("platform")
        .help("Address of the platform's port")
        .argument("ADDRESS");
    let control = long("control")
        .help("Address of the port on which the stand-ins are steered")
        .argument("ADDRESS");
    let seed = long("seed")
        .help("Seed of the latencies")
        .argument("NUMBER")
        .fallback(1);
    let options = construct!(Options {
        note,
        instances,
        platform,
        control,
        seed
    });
    options
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Platform and targets")
        .run()
}

/// Runs until the process is ended.
pub fn run(options: Options) -> ExitCode {
    let Some(document) = read_file(&options.note) else {
        return ExitCode::FAILURE;
    };
    let instances = match &options.instances {
        Some(path) => read_file(path),
        None => Some("[]".to_owned()),
    };
    let Some(instances) = instances else {
        return ExitCode::FAILURE;
    };
    let mut findings = Findings::default();
    let Some(note): Option<Note> = note::read(&document, &mut findings) else {
        eprint!("{findings}");
        return ExitCode::FAILURE;
    };
    match shell::run(&options, &note, document, instances) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads a file, or tells why it cannot be read.
fn read_file(path: &Path) -> Option<String> {
    let content = fs::read_to_string(path);
    if let Err(error) = &content {
        eprintln!("error: cannot read `{}`: {error}", path.display());
    }
    content.ok()
}
