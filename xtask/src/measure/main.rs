//! Measures the decisions of an instance's reducer in a discrete-event simulation with a virtual
//! clock and fake targets.
//!
//! The simulation is a reducer too: its events come from one queue, and its effects are data that
//! schedule further events. A policy under test takes events of an instance and returns effects of
//! an instance, which act on the simulation.
//!
//! Invariant: a case and a seed determine all results except the execution time of the reducer.

mod case;
mod effects;
mod error;
mod event;
mod event_loop;
mod fleet;
mod naive;
mod parse;
mod policy;
mod reduce;
mod simulation;
mod stats;
mod target;

#[cfg(test)]
mod tests;

use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

use bpaf::{OptionParser, Parser, construct, long};
use findings::Findings;

use case::Case;
use error::MeasureError;

/// Directory of the cases that run by default, relative to the root of the repository.
const CASES_DIRECTORY: &str = "cases";

/// Command-line arguments.
#[derive(Clone, Debug)]
struct Options {
    /// Case files; if empty, all files of [`CASES_DIRECTORY`].
    cases: Vec<PathBuf>,
    /// Seed of all random draws.
    seed: u64,
    /// Whether to print JSON, which has more fields, instead of key=value pairs.
    is_json: bool,
}

fn main() -> ExitCode {
    match run(&options().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn options() -> OptionParser<Options> {
    let cases = long("case")
        .help("Case file, repeatable; all of cases/ by default")
        .argument("FILE.json")
        .many();
    let seed = long("seed")
        .help("Seed of arrivals, latencies and other random draws")
        .argument("N")
        .fallback(1);
    let is_json = long("json")
        .help("Print JSON, which has more fields")
        .switch();
    construct!(Options {
        cases,
        seed,
        is_json
    })
    .to_options()
    .descr("Measure the reducer's decisions in a simulation with a virtual clock")
}

/// Measures every case with every policy and prints one line of results for each; stops with an
/// error if a policy other than the naive one violates an invariant of answers.
fn run(options: &Options) -> Result<(), MeasureError> {
    let mut paths = options.cases.clone();
    if paths.is_empty() {
        paths = repository_cases()?;
    }
    for path in &paths {
        let case = load_case(path)?;
        for policy in policy::POLICIES {
            let summary = policy::measure(&case, policy, options.seed)?;
            if policy != policy::Policy::Naive && stats::has_invalid_answers(&summary) {
                return Err(MeasureError::InvalidAnswers(summary.case));
            }
            if options.is_json {
                println!("{}", serde_json::json!(summary));
            } else {
                println!("{}", stats::format_line(&summary));
            }
        }
    }
    Ok(())
}

fn repository_cases() -> Result<Vec<PathBuf>, MeasureError> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("..")
        .join(CASES_DIRECTORY);
    let file_error = |error| MeasureError::File(CASES_DIRECTORY.to_owned(), error);
    let mut paths = Vec::new();
    for entry in fs::read_dir(&directory).map_err(file_error)? {
        let path = entry.map_err(file_error)?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

fn load_case(path: &Path) -> Result<Case, MeasureError> {
    let path_name = path.display().to_string();
    let document =
        fs::read_to_string(path).map_err(|error| MeasureError::File(path_name.clone(), error))?;
    let mut findings = Findings::default();
    let case = parse::parse(&document, &mut findings);
    case.ok_or(MeasureError::Findings(path_name, findings))
}
