//! Command line of `balsamd`.

use std::{fs, path::PathBuf, process::ExitCode};

use bpaf::{Parser, construct, long};
use findings::Findings;
use settings::Settings;

use crate::{error::StartError, shell};

/// Exit code for a settings file that cannot be read or has findings.
const EXIT_SETTINGS: u8 = 2;

/// Subcommand with its arguments.
#[derive(Clone, Debug)]
pub enum Command {
    /// Serve until SIGTERM or SIGINT.
    Run {
        /// The settings file.
        settings: PathBuf,
    },
    /// Validate a settings file and print its findings.
    Check {
        /// The settings file.
        settings: PathBuf,
    },
}

/// Parses the command line; exits with a usage message if it is invalid.
pub fn parse() -> Command {
    command()
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Entry instance of balsamfall")
        .run()
}

/// Runs a command and returns the exit code of the process.
pub fn run(command: Command) -> ExitCode {
    let (path, is_check) = match command {
        Command::Run { settings } => (settings, false),
        Command::Check { settings } => (settings, true),
    };
    let settings = match read_settings(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprint!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if is_check {
        println!("{}: no findings", path.display());
        return ExitCode::SUCCESS;
    }
    match shell::run(settings, path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> impl Parser<Command> {
    let check = {
        let settings = settings_path();
        construct!(Command::Check { settings })
            .to_options()
            .descr("Validate a settings file and print its findings")
            .command("check")
    };
    let run = {
        let settings = settings_path();
        construct!(Command::Run { settings })
    };
    construct!([check, run])
}

fn settings_path() -> impl Parser<PathBuf> {
    long("settings")
        .help("Settings file in JSON")
        .argument::<PathBuf>("FILE")
}

fn read_settings(path: &PathBuf) -> Result<Settings, StartError> {
    let document = fs::read_to_string(path)
        .map_err(|error| StartError::SettingsFile(path.display().to_string(), error))?;
    let mut findings = Findings::default();
    match settings::read(&document, &mut findings) {
        Some(settings) => {
            for notice in &findings.notices {
                eprintln!("notice: {notice}");
            }
            Ok(settings)
        }
        None => Err(StartError::Settings(path.display().to_string(), findings)),
    }
}
