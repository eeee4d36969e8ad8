//! Command-line arguments and dispatch to the commands.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use bpaf::{Parser, construct, long, positional};
use model::Revision;

use crate::{
    error::CommandError,
    exit::{self, ExitStatus},
    explain, notes,
    query::{self, Query},
    status, wait,
};

/// A command and the format of its output.
#[derive(Clone, Debug)]
pub struct Invocation {
    /// Whether the output is JSON instead of text.
    pub is_json: bool,
    /// The command.
    pub command: Command,
}

/// A command and its arguments.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send a query.
    Query(Query),
    /// Show the status of each instance.
    Status {
        /// Operators' ports of the instances.
        instances: Vec<SocketAddr>,
    },
    /// Print the state of an instance.
    Dump {
        /// Operators' port of the instance.
        instance: SocketAddr,
    },
    /// Show a request's log lines and the state of the instances that handled it.
    Explain {
        /// Identifier of the request.
        request_id: String,
        /// Log files of instances.
        logs: Vec<PathBuf>,
    },
    /// Wait until every instance is ready at a revision.
    Wait {
        /// Operators' ports of the instances.
        instances: Vec<SocketAddr>,
        /// Lowest revision that must be in force.
        revision: Revision,
        /// Longest time to wait.
        limit: Duration,
    },
    /// Validate a release note.
    NoteCheck {
        /// The previous note, if the note's lists of changes are to be checked against it.
        previous: Option<PathBuf>,
        /// The note to validate.
        note: PathBuf,
    },
    /// Compare two release notes.
    NoteDiff {
        /// The earlier note.
        previous: PathBuf,
        /// The later note.
        note: PathBuf,
    },
    /// Create a release note by applying a change to the current one.
    NoteCompose {
        /// The current note.
        previous: PathBuf,
        /// The items to add, change and withdraw.
        change: PathBuf,
    },
}

/// Parses the command line; on a usage error it prints a message and exits the process.
pub fn parse() -> Invocation {
    invocation()
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Command-line client for operators")
        .footer(exit::HELP)
        .fallback_to_usage()
        .run()
}

/// Runs a command.
///
/// # Errors
///
/// Returns an error if an instance cannot be reached, replies with an error status or with something
/// other than JSON, or if a file cannot be read.
pub fn run(invocation: &Invocation) -> Result<ExitStatus, CommandError> {
    let is_json = invocation.is_json;
    let system = actix_rt::System::new();
    match &invocation.command {
        Command::Query(query) => system.block_on(query::run(query, is_json)),
        Command::Status { instances } => system.block_on(status::run(instances, is_json)),
        Command::Dump { instance } => system.block_on(status::dump(*instance)),
        Command::Explain { request_id, logs } => explain::run(request_id, logs, is_json),
        Command::Wait {
            instances,
            revision,
            limit,
        } => system.block_on(wait::run(instances, *revision, *limit, is_json)),
        Command::NoteCheck { previous, note } => notes::check(note, previous.as_deref(), is_json),
        Command::NoteDiff { previous, note } => notes::diff(previous, note, is_json),
        Command::NoteCompose { previous, change } => notes::compose(previous, change, is_json),
    }
}

/// Returns the parser of the command line.
pub(crate) fn invocation() -> impl Parser<Invocation> {
    let commands = construct!([query(), status(), dump(), explain(), wait(), note()]);
    commands.map(|(is_json, command)| Invocation { is_json, command })
}

/// Whether the output is JSON, and the command.
type ParsedCommand = (bool, Command);

fn query() -> impl Parser<ParsedCommand> {
    let json = json();
    let instance = instance("Callers' port of an instance");
    let timeout_ms = long("timeout-ms")
        .help("Timeout in milliseconds")
        .argument::<u64>("NUMBER")
        .guard(
            |ms| (1..=3_600_000).contains(ms),
            "must be from 1 to 3600000",
        )
        .fallback(1000);
    let priority = long("priority")
        .help("Priority under overload: urgent, normal or deferrable")
        .argument::<String>("WORD")
        .guard(
            |word| ["urgent", "normal", "deferrable"].contains(&word.as_str()),
            "must be urgent, normal or deferrable",
        )
        .fallback("normal".to_owned());
    let service = long("service")
        .help("Send the query to this service only")
        .argument::<String>("NAME")
        .optional();
    let is_once = long("once")
        .help("Fetch a ticket and run the query at most once under it; needs --service")
        .switch();
    let front = positional::<String>("FRONT").help("Name of the front");
    let body = positional::<String>("BODY").help("The query, a JSON document");
    let query = construct!(Query {
        instance,
        timeout_ms,
        priority,
        service,
        is_once,
        front,
        body,
    })
    .guard(
        |query| !query.is_once || query.service.is_some(),
        "--once needs --service",
    )
    .map(Command::Query);
    construct!(json, query)
        .to_options()
        .descr("Send a query and show its answer")
        .command("query")
}

fn status() -> impl Parser<ParsedCommand> {
    let json = json();
    let instances = instances();
    let command = construct!(Command::Status { instances });
    construct!(json, command)
        .to_options()
        .descr("Show zone, revision, freshness, readiness and load of each instance")
        .command("status")
}

fn dump() -> impl Parser<ParsedCommand> {
    let json = json();
    let instance = instance("Operators' port of an instance");
    let command = construct!(Command::Dump { instance });
    construct!(json, command)
        .to_options()
        .descr("Print the complete state of an instance as JSON")
        .command("dump")
}

fn explain() -> impl Parser<ParsedCommand> {
    let json = json();
    let request_id = positional::<String>("ID").help("Identifier of the request");
    let logs = positional::<PathBuf>("LOG")
        .help("Log file of an instance; pass those of every instance in its zone if possible")
        .some("at least one log is needed");
    let command = construct!(Command::Explain { request_id, logs });
    construct!(json, command)
        .to_options()
        .descr("Show a request's log lines, and the logged state of the instances when it ended")
        .command("explain")
}

fn wait() -> impl Parser<ParsedCommand> {
    let json = json();
    let instances = instances();
    let revision = long("revision")
        .help("Lowest revision that must be in force")
        .argument::<Revision>("NUMBER");
    let limit = long("limit-s")
        .help("Longest time to wait in seconds")
        .argument::<u64>("NUMBER")
        .guard(|seconds| (1..=60).contains(seconds), "must be from 1 to 60")
        .fallback(10)
        .map(Duration::from_secs);
    let command = construct!(Command::Wait {
        instances,
        revision,
        limit,
    });
    construct!(json, command)
        .to_options()
        .descr("Wait until every instance is ready at a revision or a later one")
        .command("wait")
}

fn note() -> impl Parser<ParsedCommand> {
    construct!([note_check(), note_diff(), note_compose()])
        .to_options()
        .descr("Validate, compare and create release notes")
        .command("note")
}

fn note_check() -> impl Parser<ParsedCommand> {
    let json = json();
    let previous = long("previous")
        .help("The previous note; if given, the note's lists of changes are checked against it")
        .argument::<PathBuf>("FILE")
        .optional();
    let note = file("NOTE", "The note to validate");
    let command = construct!(Command::NoteCheck { previous, note });
    construct!(json, command)
        .to_options()
        .descr("Validate a note and print every finding")
        .command("check")
}

fn note_diff() -> impl Parser<ParsedCommand> {
    let json = json();
    let previous = file("PREVIOUS", "The earlier note");
    let note = file("NOTE", "The later note");
    let command = construct!(Command::NoteDiff { previous, note });
    construct!(json, command)
        .to_options()
        .descr("Show what the later of two notes adds, changes and withdraws")
        .command("diff")
}

fn note_compose() -> impl Parser<ParsedCommand> {
    let json = json();
    let previous = file("PREVIOUS", "The current note");
    let change = file("CHANGE", "The items to add, change and withdraw");
    let command = construct!(Command::NoteCompose { previous, change });
    construct!(json, command)
        .to_options()
        .descr("Apply a change to a note and print the resulting note")
        .command("compose")
}

fn json() -> impl Parser<bool> {
    long("json").help("Print the result as JSON").switch()
}

fn instance(help: &'static str) -> impl Parser<SocketAddr> {
    long("instance")
        .help(help)
        .argument::<SocketAddr>("ADDRESS")
}

fn instances() -> impl Parser<Vec<SocketAddr>> {
    instance("Operators' port of an instance; repeat for each instance")
        .some("at least one --instance is needed")
}

fn file(name: &'static str, help: &'static str) -> impl Parser<PathBuf> {
    positional::<PathBuf>(name).help(help)
}
