//! The command line.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use bpaf::{Parser, construct, long, positional};
use model::Revision;

use crate::{
    error::CommandError,
    exit::{self, Exit},
    explain, notes,
    query::{self, Query},
    status, wait,
};

/// A command and how its result is shown.
#[derive(Clone, Debug)]
pub struct Invocation {
    /// Whether the result is shown in JSON.
    pub is_json: bool,
    /// The command.
    pub command: Command,
}

/// What is wanted.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send a request.
    Query(Query),
    /// Show a row for each instance.
    Status {
        /// Operators' ports.
        instances: Vec<SocketAddr>,
    },
    /// Print the state of an instance.
    Dump {
        /// Operators' port.
        instance: SocketAddr,
    },
    /// Show what logs say about a request.
    Explain {
        /// Identifier of the request.
        request_id: String,
        /// Logs of instances.
        logs: Vec<PathBuf>,
    },
    /// Wait for a revision.
    Wait {
        /// Operators' ports.
        instances: Vec<SocketAddr>,
        /// The revision.
        revision: Revision,
        /// Longest time to wait.
        limit: Duration,
    },
    /// Check a note.
    NoteCheck {
        /// The note before it.
        previous: Option<PathBuf>,
        /// The note.
        note: PathBuf,
    },
    /// Compare two notes.
    NoteDiff {
        /// The earlier note.
        previous: PathBuf,
        /// The later note.
        note: PathBuf,
    },
    /// Make a note out of a change.
    NoteCompose {
        /// The present note.
        previous: PathBuf,
        /// The change.
        change: PathBuf,
    },
}

/// Reads the command line; exits with a message if it is wrong.
pub fn parse() -> Invocation {
    invocation()
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Operators' client")
        .footer(exit::HELP)
        .fallback_to_usage()
        .run()
}

/// Runs a command.
///
/// # Errors
///
/// Returns an error if an instance cannot be reached or a file cannot be read.
pub fn run(invocation: &Invocation) -> Result<Exit, CommandError> {
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

type Parsed = (bool, Command);

fn query() -> impl Parser<Parsed> {
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
        .help("urgent, normal or deferrable")
        .argument::<String>("WORD")
        .guard(
            |word| ["urgent", "normal", "deferrable"].contains(&word.as_str()),
            "must be urgent, normal or deferrable",
        )
        .fallback("normal".to_owned());
    let service = long("service")
        .help("The only service to ask")
        .argument::<String>("NAME")
        .optional();
    let is_once = long("once")
        .help("Run at most once, under a ticket that is fetched first; needs --service")
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
        .descr("Send a request and show its answer")
        .command("query")
}

fn status() -> impl Parser<Parsed> {
    let json = json();
    let instances = instances();
    let command = construct!(Command::Status { instances });
    construct!(json, command)
        .to_options()
        .descr("Show zone, revision, freshness and readiness of each instance")
        .command("status")
}

fn dump() -> impl Parser<Parsed> {
    let json = json();
    let instance = instance("Operators' port of an instance");
    let command = construct!(Command::Dump { instance });
    construct!(json, command)
        .to_options()
        .descr("Print the whole state of an instance in JSON")
        .command("dump")
}

fn explain() -> impl Parser<Parsed> {
    let json = json();
    let request_id = positional::<String>("ID").help("Identifier of the request");
    let logs = positional::<PathBuf>("LOG")
        .help("Log of an instance; those of the whole zone tell most")
        .some("at least one log is needed");
    let command = construct!(Command::Explain { request_id, logs });
    construct!(json, command)
        .to_options()
        .descr("Show what logs say about a request, and what was known at its end")
        .command("explain")
}

fn wait() -> impl Parser<Parsed> {
    let json = json();
    let instances = instances();
    let revision = long("revision")
        .help("Revision that must be in force")
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
        .descr("Wait until every instance is ready at a revision")
        .command("wait")
}

fn note() -> impl Parser<Parsed> {
    construct!([note_check(), note_diff(), note_compose()])
        .to_options()
        .descr("Check, compare and make release notes")
        .command("note")
}

fn note_check() -> impl Parser<Parsed> {
    let json = json();
    let previous = long("previous")
        .help("The note before it, to check what it lists")
        .argument::<PathBuf>("FILE")
        .optional();
    let note = file("NOTE", "The note");
    let command = construct!(Command::NoteCheck { previous, note });
    construct!(json, command)
        .to_options()
        .descr("Report every finding of a note")
        .command("check")
}

fn note_diff() -> impl Parser<Parsed> {
    let json = json();
    let previous = file("PREVIOUS", "The earlier note");
    let note = file("NOTE", "The later note");
    let command = construct!(Command::NoteDiff { previous, note });
    construct!(json, command)
        .to_options()
        .descr("Show what a note adds, changes and withdraws")
        .command("diff")
}

fn note_compose() -> impl Parser<Parsed> {
    let json = json();
    let previous = file("PREVIOUS", "The present note");
    let change = file("CHANGE", "What to add, change and withdraw");
    let command = construct!(Command::NoteCompose { previous, change });
    construct!(json, command)
        .to_options()
        .descr("Print the note that brings a change about")
        .command("compose")
}

fn json() -> impl Parser<bool> {
    long("json").help("Show the result in JSON").switch()
}

fn instance(help: &'static str) -> impl Parser<SocketAddr> {
    long("instance")
        .help(help)
        .argument::<SocketAddr>("ADDRESS")
}

fn instances() -> impl Parser<Vec<SocketAddr>> {
    instance("Operators' port of an instance, once for each")
        .some("at least one --instance is needed")
}

fn file(name: &'static str, help: &'static str) -> impl Parser<PathBuf> {
    positional::<PathBuf>(name).help(help)
}
