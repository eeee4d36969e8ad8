//! Tasks of the project's developers: `cargo xtask <task>`.
//!
//! Invariant: every task ends by itself, with exit code 0 only if what it checks holds.

mod check;
mod codegen;
mod error;

use std::process::ExitCode;

use bpaf::{Parser, construct, pure};

/// A task and its arguments.
#[derive(Clone, Debug)]
enum Task {
    /// Everything that must hold before a change lands.
    Ci,
    /// Generate the Rust code of the messages between instances.
    Codegen,
}

fn main() -> ExitCode {
    let task = task()
        .to_options()
        .descr("Tasks of the project's developers")
        .run();
    let result = match task {
        Task::Ci => check::ci(),
        Task::Codegen => codegen::write(),
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
    construct!([ci, codegen])
}
