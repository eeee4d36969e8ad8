//! Drivers of the scripts of the second review. Each starts the project's program as separate
//! processes on loopback addresses, disturbs what lies around it, and checks one rule.
//!
//! Usage: `review-standins-2 CASE PROGRAM RECORD`. The variable `TROUBLE`, if 0, leaves out the
//! disturbance. Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.

mod backend;
mod far_over;
mod fleet;
mod grey_refusal;
mod http;
mod lost_contact;
mod proxy;
mod record;
mod requester;
mod silent_store;
mod store;

use std::env;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use far_over::Crowd;
use record::Record;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

/// What a case needs to run.
pub struct Context {
    pub program: PathBuf,
    /// Directory for settings and logs; removed at the end.
    pub directory: PathBuf,
    pub record: Record,
    /// Whether the disturbance takes place.
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, program, record] = &arguments[..] else {
        eprintln!("usage: review-standins-2 CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let directory = env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let record = match Record::create(Path::new(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(2);
        }
    };
    if let Err(error) = std::fs::create_dir_all(&directory) {
        eprintln!("no temporary folder: {error}");
        return ExitCode::from(2);
    }
    let context = Context {
        program: PathBuf::from(program),
        directory: directory.clone(),
        record: record.clone(),
        has_trouble: env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    let verdict = match case.as_str() {
        "far-over" => far_over::run(&context, Crowd::FarOver),
        "sent-ahead" => far_over::run(&context, Crowd::Ahead),
        "lost-contact" => lost_contact::run(&context),
        "silent-store" => silent_store::run(&context),
        "grey-refusal" => grey_refusal::run(&context),
        other => Verdict::NotRun(format!("no case {other}")),
    };
    // Logs stay only where the variable asks for them.
    if env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&directory);
    }
    match verdict {
        Verdict::Held => {
            record.say("result: the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.say("result: the rule was broken");
            ExitCode::from(1)
        }
        Verdict::NotRun(reason) => {
            record.say(&format!("result: the case couldn't run: {reason}"));
            ExitCode::from(2)
        }
    }
}
