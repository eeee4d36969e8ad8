//! Measures how the cost of each role grows with its size: `cargo xtask slopes`.
//!
//! Every sweep measures some quantities at several sizes and fits a line. The figures go to
//! `docs/slopes/results.txt`, the plots beside it, and the figures of `docs/CAPACITY.md` are taken
//! from them.
//!
//! Invariants:
//! - seeds, sizes and schedules are fixed, so that only times differ between two runs;
//! - every process that is started ends before the command does.

mod connections;
mod document;
mod figures;
mod frames;
mod idle;
mod instance;
mod memory;
mod page;
mod peers;
mod plan;
mod plot;
mod process;
mod readers;
mod reducer;
mod sweep;
#[cfg(test)]
mod tests;
mod tickets;
mod worked;

use std::{fs, path::Path, process::ExitCode};

use bpaf::{Parser, construct, long};

use crate::figures::Figures;

const DIRECTORY: &str = "docs/slopes";
const RESULTS_FILE: &str = "docs/slopes/results.txt";
const PAGE_FILE: &str = "docs/CAPACITY.md";

/// What the command is asked to do.
#[derive(Clone, Debug)]
struct Arguments {
    only: Option<String>,
    write: bool,
}

fn main() -> ExitCode {
    let arguments = arguments()
        .to_options()
        .descr("Slopes of the cost of each role")
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
        .help("Run only the sweeps whose name contains TEXT")
        .argument::<String>("TEXT")
        .optional();
    let write = long("write")
        .help("Write docs/slopes and the figures of docs/CAPACITY.md")
        .switch();
    construct!(Arguments { only, write })
}

fn run(arguments: &Arguments) -> Result<(), String> {
    let only = arguments.only.as_deref().unwrap_or("");
    let mut figures = match arguments.only {
        Some(_) => figures::read(&fs::read_to_string(RESULTS_FILE).unwrap_or_default()),
        None => Figures::default(),
    };
    for sweep in plan::sweeps()
        .iter()
        .filter(|sweep| sweep.name.contains(only))
    {
        for slope in sweep::run(sweep) {
            println!("{}", figures::line(&slope));
            figures::add_slope(&mut figures, &slope);
            if arguments.write {
                draw(&slope)?;
            }
        }
    }
    worked::add_all(&mut figures);
    if arguments.write {
        write(&figures)?;
    }
    Ok(())
}

fn draw(slope: &sweep::Slope) -> Result<(), String> {
    fs::create_dir_all(DIRECTORY).map_err(|error| error.to_string())?;
    let name = format!("{}-{}.svg", slope.sweep, slope.quantity);
    plot::draw(slope, &Path::new(DIRECTORY).join(name)).map_err(|error| error.to_string())
}

fn write(figures: &Figures) -> Result<(), String> {
    fs::write(RESULTS_FILE, figures.to_string()).map_err(|error| error.to_string())?;
    let page = fs::read_to_string(PAGE_FILE).map_err(|error| error.to_string())?;
    let page = page::filled(&page, figures).map_err(|unknown| {
        format!("{PAGE_FILE} names figures that were not measured: {unknown:?}")
    })?;
    fs::write(PAGE_FILE, page).map_err(|error| error.to_string())
}
