//! The command line.

use std::{fs, net::SocketAddr, path::PathBuf, process::ExitCode};

use bpaf::{Parser, construct, long};
use findings::Findings;
use note::Note;

use crate::shell;

/// What the process is asked to do.
#[derive(Clone, Debug)]
pub struct Command {
    /// The release note whose targets are played and which the platform publishes.
    pub note: PathBuf,
    /// Address of the platform's HTTP port.
    pub platform: SocketAddr,
    /// Address of the port on which the stand-ins are steered.
    pub control: SocketAddr,
    /// Seed of the generator of latencies.
    pub seed: u64,
}

/// Reads the command line; exits with a message if it is wrong.
pub fn parse() -> Command {
    let note = long("note")
        .help("Release note to publish and to play")
        .argument("FILE");
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
    let command = construct!(Command {
        note,
        platform,
        control,
        seed
    });
    command
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Platform and targets")
        .run()
}

/// Runs until the process is ended.
pub fn run(command: Command) -> ExitCode {
    let document = match fs::read_to_string(&command.note) {
        Ok(document) => document,
        Err(error) => {
            eprintln!("error: cannot read `{}`: {error}", command.note.display());
            return ExitCode::FAILURE;
        }
    };
    let mut findings = Findings::default();
    let Some(note): Option<Note> = note::read(&document, &mut findings) else {
        eprint!("{findings}");
        return ExitCode::FAILURE;
    };
    match shell::run(&command, &note, document) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
