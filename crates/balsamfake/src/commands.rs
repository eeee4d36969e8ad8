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

/// Command-line options.
#[derive(Clone, Debug)]
pub struct Options {
    /// File of the release note that the platform publishes and whose targets are simulated.
    pub note: PathBuf,
    /// File of the initial list of instances; the list is empty if absent.
    pub instances: Option<PathBuf>,
    /// Address of the fake platform's HTTP server.
    pub platform: SocketAddr,
    /// Address of the control port's HTTP server.
    pub control: SocketAddr,
    /// Seed of the generator of execution times.
    pub seed: u64,
}

/// Parses the command line; exits with a message if it is invalid.
pub fn parse() -> Options {
    let note = long("note")
        .help("Release note to publish and whose targets to simulate")
        .argument("FILE");
    let instances = long("instances")
        .help("Initial list of instances of the fake platform; empty if not given")
        .argument("FILE")
        .optional();
    let platform = long("platform")
        .help("Address of the fake platform's HTTP server")
        .argument("ADDRESS");
    let control = long("control")
        .help("Address of the control port, which takes commands over HTTP")
        .argument("ADDRESS");
    let seed = long("seed")
        .help("Seed of the simulated execution times")
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
        .descr("Fake platform and fake targets for tests")
        .run()
}

/// Runs until the process is terminated.
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

/// Reads a file; prints an error and returns nothing if it cannot be read.
fn read_file(path: &Path) -> Option<String> {
    let content = fs::read_to_string(path);
    if let Err(error) = &content {
        eprintln!("error: cannot read `{}`: {error}", path.display());
    }
    content.ok()
}
