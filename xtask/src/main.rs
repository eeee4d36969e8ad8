//! Developer tasks: `cargo xtask <task>`.
//!
//! Invariant: every task ends without intervention (except `demo --keep`, which runs until Ctrl-C),
//! and exits with code 0 only if all its checks pass.

mod check;
mod codegen;
mod cost;
mod demo;
mod error;
mod release;

use std::{ffi::OsString, process::ExitCode};

use bpaf::{Parser, any, construct, long, pure};

/// A task and its arguments.
#[derive(Clone, Debug)]
enum Task {
    /// Run the checks of continuous integration.
    Ci,
    /// Generate the Rust types of the messages between instances.
    Codegen,
    /// Measure the reducer's decisions in a simulation.
    Measure {
        /// Arguments passed on to the program `measure`.
        arguments: Vec<OsString>,
    },
    /// Measure the latency and processor time that the tier adds on loopback.
    Cost,
    /// Run a fleet on loopback under load and with injected failures.
    Demo {
        /// Start the fleet only and run until Ctrl-C.
        is_interactive: bool,
    },
    /// Measure the outcomes of orders (non-idempotent requests) under faults.
    Orders {
        /// Arguments passed on to the program `orders`.
        arguments: Vec<OsString>,
    },
    /// Measure how the cost of each part of an instance scales.
    Slopes {
        /// Arguments passed on to the program `slopes`.
        arguments: Vec<OsString>,
    },
    /// Run a soak test of the real programs under faults.
    Soak {
        /// Arguments passed on to the program `soak`.
        arguments: Vec<OsString>,
    },
    /// Measure the propagation of configurations and the cost of membership.
    Spread {
        /// Arguments passed on to the program `spread`.
        arguments: Vec<OsString>,
    },
}

fn main() -> ExitCode {
    let task = task().to_options().descr("Developer tasks").run();
    let result = match task {
        Task::Ci => check::ci(),
        Task::Codegen => codegen::write(),
        Task::Measure { arguments } => release::measure(&arguments),
        Task::Cost => cost::run(),
        Task::Demo { is_interactive } => demo::run(is_interactive),
        Task::Orders { arguments } => release::orders(&arguments),
        Task::Slopes { arguments } => release::slopes(&arguments),
        Task::Soak { arguments } => release::soak(&arguments),
        Task::Spread { arguments } => release::spread(&arguments),
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
        .descr("Check formatting, generated code and lints, and run the tests and a short soak")
        .command("ci");
    let codegen = pure(Task::Codegen)
        .to_options()
        .descr("Generate the Rust types of the messages between instances")
        .command("codegen");
    let measure = {
        let arguments = any::<OsString, _, _>("ARGUMENT", Some)
            .help("`--case FILE.json`, `--seed N`, `--json`; runs all of cases/ without `--case`")
            .many();
        construct!(Task::Measure { arguments })
            .to_options()
            .descr("Measure the reducer's decisions in a simulation with a virtual clock")
            .command("measure")
    };
    let cost = pure(Task::Cost)
        .to_options()
        .descr("Measure the latency and processor time that the tier adds on loopback")
        .command("cost");
    let demo = {
        let is_interactive = long("keep")
            .help("Start the fleet only and keep it running until Ctrl-C")
            .switch();
        construct!(Task::Demo { is_interactive })
            .to_options()
            .descr("Run a fleet on loopback under load and with injected failures")
            .command("demo")
    };
    let orders = {
        let arguments = any::<OsString, _, _>("ARGUMENT", Some)
            .help("`--seconds NUMBER` per fault, `--only TEXT` to select faults by name")
            .many();
        construct!(Task::Orders { arguments })
            .to_options()
            .descr("Measure outcomes of orders under faults, compared with naive callers")
            .command("orders")
    };
    let slopes = {
        let arguments = any::<OsString, _, _>("ARGUMENT", Some)
            .help("`--only TEXT` to select sweeps, `--write` to update docs/slopes and the page")
            .many();
        construct!(Task::Slopes { arguments })
            .to_options()
            .descr("Measure how the cost of each part of an instance scales")
            .command("slopes")
    };
    let spread = {
        let arguments = any::<OsString, _, _>("ARGUMENT", Some)
            .help("`--size COUNT` for one fleet only")
            .many();
        construct!(Task::Spread { arguments })
            .to_options()
            .descr("Measure the propagation of configurations and the cost of membership")
            .command("spread")
    };
    let soak = {
        let arguments = any::<OsString, _, _>("ARGUMENT", Some)
            .help("`--seed N` of the faults, `--seconds N` with faults, `--relays` for unequal instances, `--silences` for silent connections alone")
            .many();
        construct!(Task::Soak { arguments })
            .to_options()
            .descr("Run a soak test of the real programs under faults")
            .command("soak")
    };
    construct!([
        ci, codegen, cost, demo, measure, orders, slopes, soak, spread
    ])
}
