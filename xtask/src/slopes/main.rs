//! `cargo xtask slopes`: measures how the cost of each part of an instance scales.
//!
//! A sweep measures some quantities while one parameter varies, and fits a line to each quantity.
//! With `--write`, the results go to `docs/slopes/results.txt`, the plots to the same directory,
//! and the values that `docs/CAPACITY.md` links to are updated.
//!
//! Invariants:
//! - seeds, sizes and schedules are fixed, so that only measured times differ between two runs;
//! - every process that is started ends before the command does.

mod connections;
mod fixtures;
mod frames;
mod idle;
mod memory;
mod page;
mod peers;
mod plan;
mod plot;
mod process;
mod projection;
mod readers;
mod reducer;
mod results;
mod simulated_instance;
mod sweep;
#[cfg(test)]
mod tests;
mod tickets;

use std::{fs, path::Path, process::ExitCode};

use bpaf::{Parser, construct, long};

use crate::results::Results;

const DIRECTORY: &str = "docs/slopes";
const RESULTS_FILE: &str = "docs/slopes/results.txt";
const PAGE_FILE: &str = "docs/CAPACITY.md";

/// Command-line arguments.
#[derive(Clone, Debug)]
struct Arguments {
    only: Option<String>,
    write: bool,
}

fn main() -> ExitCode {
    let arguments = arguments()
        .to_options()
        .descr("Measure how the cost of each part of an instance scales")
        .run();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn arguments() -> impl Parser<Arguments> {
    let only = long("only")
        .help("Run only the sweeps whose names contain TEXT")
        .argument::<String>("TEXT")
        .optional();
    let write = long("write")
        .help("Write docs/slopes and update the values in docs/CAPACITY.md")
        .switch();
    construct!(Arguments { only, write })
}

fn run(arguments: &Arguments) -> Result<(), String> {
    let only = arguments.only.as_deref().unwrap_or("");
    let mut results = match arguments.only {
        Some(_) => results::parse(&fs::read_to_string(RESULTS_FILE).unwrap_or_default()),
        None => Results::default(),
    };
    for sweep in plan::sweeps()
        .iter()
        .filter(|sweep| sweep.name.contains(only))
    {
        for series in sweep::run(sweep) {
            println!("{}", results::format_series(&series));
            results::add_series(&mut results, &series);
            if arguments.write {
                draw_plot(&series)?;
            }
        }
    }
    projection::add_all(&mut results);
    if arguments.write {
        write_results(&results)?;
    }
    Ok(())
}

fn draw_plot(series: &sweep::Series) -> Result<(), String> {
    fs::create_dir_all(DIRECTORY).map_err(|error| error.to_string())?;
    let name = format!("{}-{}.svg", series.sweep, series.quantity);
    plot::draw(series, &Path::new(DIRECTORY).join(name)).map_err(|error| error.to_string())
}

fn write_results(results: &Results) -> Result<(), String> {
    fs::write(RESULTS_FILE, results.to_string()).map_err(|error| error.to_string())?;
    let page = fs::read_to_string(PAGE_FILE).map_err(|error| error.to_string())?;
    let page = page::update_links(&page, results).map_err(|unknown| {
        format!("{PAGE_FILE} links to results that do not exist: {unknown:?}")
    })?;
    fs::write(PAGE_FILE, page).map_err(|error| error.to_string())
}
