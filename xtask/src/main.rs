//! Tasks of the project's developers: `cargo xtask <task>`.
//!
//! Invariant: every task ends by itself, with exit code 0 only if what it checks holds.

mod check;
mod codegen;
mod cost;
mod demo;
mod error;
mod measured;

use std::{ffi::OsString, process::ExitCode};

use bpaf::{Parser, any, construct, long, pure};

/// A task and its arguments.
#[derive(Clone, Debug)]
enum Task {
    /// Everything that must hold before a change lands.
    Ci,
    /// Generate the Rust code of the messages between instances.
    Codegen,
    /// Measure the decisions of the reducer.
    Measure {
        /// Arguments of the measuring program.
        arguments: Vec<OsString>,
    },
    /// Measure what the tier itself costs on loopback.
    Cost,
    /// Show a fleet on loopback under load and failures.
    Demo {
        /// Leave it running instead.
        is_kept: bool,
    },
    /// Measure what becomes of orders under faults.
    Orders {
        /// Arguments of the measuring program.
        arguments: Vec<OsString>,
    },
    /// Measure how the cost of each role grows.
    Slopes {
        /// Arguments of the measuring program.
        arguments: Vec<OsString>,
    },
    /// Soak the real programs under faults.
    Soak {
        /// Arguments of the soak.
        arguments: Vec<OsString>,
    },
    /// Measure how configurations spread.
    Spread {
        /// Arguments of the measuring program.
        arguments: Vec<OsString>,
    },
}

fn main() -> ExitCode {
    let task = task()
        .to_options()
        .descr("Tasks of the project's developers")
        .run();
    let result = match task {
        Task::Ci => check::ci(),
        Task::Codegen => codegen::write(),
        Task::Measure { arguments } => measured::measure(&arguments),
        Task::Cost => cost::run(),
        Task::Demo { is_kept } => demo::run(is_kept),
        Task::Orders { arguments } => measured::orders(&arguments),
        Task::Slopes { arguments } => measured::slopes(&arguments),
        Task::Soak { arguments } => measured::soak(&arguments),
        Task::Spread { arguments } => measured::spread(&arguments),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn task() -> impl Parser<Task> {
    let ci = pure(Task::Ci)
        .to_options()
        .descr("Check format, lints, generated code and tests")
        .command("ci");
    let codegen = pure(Task::Codegen)
        .to_options()
        .descr("Generate the code of the messages between instances")
        .command("codegen");
    let measure = {
        let arguments = any::<OsString, _, _>("ARGUMENT", Some)
            .help("`--case FILE.json`, `--seed N`, `--json`; all of cases/ if none is named")
            .many();
        construct!(Task::Measure { arguments })
            .to_options()
            .descr("Measure the decisions of the reducer on a virtual clock")
            .command("measure")
    };
    let cost = pure(Task::Cost)
        .to_options()
        .descr("Measure what the tier itself costs on loopback")
        .command("cost");
    let demo = {
        let is_kept = long("keep")
            .help("Leave everything running for a person to try")
            .switch();
        construct!(Task::Demo { is_kept })
            .to_options()
            .descr("Show a fleet on loopback under load and failures")
            .command("demo")
    };
    let orders = {
        let arguments = any::<OsString, _, _>("ARGUMENT", Some)
            .help("`--seconds NUMBER` under each fault, `--only TEXT` for some faults")
            .many();
        construct!(Task::Orders { arguments })
            .to_options()
            .descr("Measure what becomes of orders under faults, against naive callers")
            .command("orders")
    };
    let slopes = {
        let arguments = any::<OsString, _, _>("ARGUMENT", Some)
            .help("`--only TEXT` for some sweeps, `--write` to update docs/slopes and the page")
            .many();
        construct!(Task::Slopes { arguments })
            .to_options()
            .descr("Measure how the cost of each role grows with its size")
            .command("slopes")
    };
    let spread = {
        let arguments = any::<OsString, _, _>("ARGUMENT", Some)
            .help("`--size COUNT` for one fleet only")
            .many();
        construct!(Task::Spread { arguments })
            .to_options()
            .descr("Measure how configurations spread and what the exchange costs")
            .command("spread")
    };
    let soak = {
        let arguments = any::<OsString, _, _>("ARGUMENT", Some)
            .help("`--size COUNT` for one fleet only")
            .many();
        construct!(Task::Soak { arguments })
            .to_options()
            .descr("Soak the real programs under faults")
            .command("soak")
    };
    construct!([
        ci, codegen, cost, demo, measure, orders, slopes, soak, spread
    ])
}
