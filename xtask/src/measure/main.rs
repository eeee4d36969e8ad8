//! Measures the decisions of the reducer on a virtual clock against fake targets.
//!
//! The measured world is a reducer of its own: happenings come from one queue, and what follows from
//! them is data that goes back into the queue. Whatever the measured policy learns is an event of an
//! instance, and whatever it does is an effect.
//!
//! Invariant: the same case and seed give the same figures, but for the time of the reducer.

mod case;
mod drive;
mod effects;
mod error;
mod fleet;
mod happening;
mod naive;
mod policy;
mod read;
mod reduce;
mod tally;
mod target;
mod world;

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

/// Directory of the cases that are measured if none is named.
const CASES_DIRECTORY: &str = "cases";

/// Arguments of the program.
#[derive(Clone, Debug)]
struct Options {
    /// Case files; all of `cases/` if empty.
    cases: Vec<PathBuf>,
    /// Seed of arrivals and latencies.
    seed: u64,
    /// Whether to print JSON with more figures instead of key=value pairs.
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
        .help("Case file; all of cases/ if none is given")
        .argument("FILE.json")
        .many();
    let seed = long("seed")
        .help("Seed of arrivals and latencies")
        .argument("N")
        .fallback(1);
    let is_json = long("json").help("Print JSON with more figures").switch();
    construct!(Options {
        cases,
        seed,
        is_json
    })
    .to_options()
    .descr("Measure the decisions of the reducer on a virtual clock")
}

/// Measures every case with every policy and prints a line for each.
fn run(options: &Options) -> Result<(), MeasureError> {
    let mut paths = options.cases.clone();
    if paths.is_empty() {
        paths = shipped_cases()?;
    }
    for path in &paths {
        let case = read_case(path)?;
        for policy in policy::POLICIES {
            let figures = policy::measure(&case, policy, options.seed)?;
            if policy != policy::Policy::Naive && tally::is_broken(&figures) {
                return Err(MeasureError::Broken(figures.case));
            }
            if options.is_json {
                println!("{}", serde_json::json!(figures));
            } else {
                println!("{}", tally::line(&figures));
            }
        }
    }
    Ok(())
}

fn shipped_cases() -> Result<Vec<PathBuf>, MeasureError> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("..")
        .join(CASES_DIRECTORY);
    let failed = |error| MeasureError::File(CASES_DIRECTORY.to_owned(), error);
    let mut paths = Vec::new();
    for entry in fs::read_dir(&directory).map_err(failed)? {
        let path = entry.map_err(failed)?.path();
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

fn read_case(path: &Path) -> Result<Case, MeasureError> {
    let shown = path.display().to_string();
    let document =
        fs::read_to_string(path).map_err(|error| MeasureError::File(shown.clone(), error))?;
    let mut findings = Findings::default();
    let case = read::read(&document, &mut findings);
    case.ok_or(MeasureError::Findings(shown, findings))
}
