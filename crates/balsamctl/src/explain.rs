//! `balsamctl explain`: from the id of a request to what decided it, on log files alone.

use std::{fs, path::PathBuf};

use serde_json::json;

use crate::{error::CommandError, exit::Exit};

/// Events that tell what an instance believed about itself and its surroundings.
const STATE_EVENTS: [&str; 10] = [
    "listening",
    "leaving",
    "process-paused",
    "isolated",
    "isolation-over",
    "store-lost",
    "store-regained",
    "catalog-known",
    "configuration-in-force",
    "zone-changed",
];

/// One line of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Line<'a> {
    /// Name of the log.
    pub log: &'a str,
    /// The line, with `ts` first.
    pub text: &'a str,
}

/// What logs say about a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Explanation<'a> {
    /// Lines about the request, in the order of their times.
    pub own: Vec<Line<'a>>,
    /// What the instances that handled it believed at its end: the last line of each kind until
    /// then, about the targets it lacked and about the instance.
    pub beliefs: Vec<Line<'a>>,
}

/// Shows what logs say about a request.
///
/// # Errors
///
/// Returns an error if a file cannot be read.
pub fn run(request_id: &str, files: &[PathBuf], is_json: bool) -> Result<Exit, CommandError> {
    let mut logs: Vec<(String, String)> = Vec::new();
    for file in files {
        let name = file.display().to_string();
        let text = fs::read(file).map_err(|error| CommandError::Read(name.clone(), error))?;
        logs.push((name, String::from_utf8_lossy(&text).into_owned()));
    }
    let explanation = explain(request_id, &logs);
    if is_json {
        let texts = |lines: &[Line<'_>]| -> Vec<String> {
            lines.iter().map(|line| line.text.to_owned()).collect()
        };
        let document = json!({
            "request": texts(&explanation.own),
            "beliefs": texts(&explanation.beliefs),
        });
        println!("{document:#}");
    } else {
        print!("{}", render(request_id, &explanation));
    }
    Ok(match explanation.own.is_empty() {
        true => Exit::Unknown,
        false => Exit::Success,
    })
}

/// Collects what logs say about a request.
pub(crate) fn explain<'a>(request_id: &str, logs: &'a [(String, String)]) -> Explanation<'a> {
    let mut explanation = Explanation::default();
    for (log, text) in logs {
        let own: Vec<&str> = text
            .lines()
            .filter(|line| field(line, "request_id") == Some(request_id))
            .collect();
        let Some(end) = own.iter().filter_map(|line| field(line, "ts")).max() else {
            continue;
        };
        let missing = own.iter().filter_map(|line| field(line, "missing"));
        let targets: Vec<&str> = missing.flat_map(targets).collect();
        let beliefs = last_of_each(text, end, &targets);
        let line = |text| Line { log, text };
        explanation.own.extend(own.into_iter().map(line));
        explanation.beliefs.extend(beliefs.into_iter().map(line));
    }
    for lines in [&mut explanation.own, &mut explanation.beliefs] {
        lines.sort_by_key(|line| field(line.text, "ts"));
    }
    explanation
}

/// Returns the last line of each kind until a time: about each target, and about the instance.
fn last_of_each<'a>(log: &'a str, end: &str, targets: &[&str]) -> Vec<&'a str> {
    let before = |line: &&str| field(line, "ts").is_some_and(|ts| ts <= end);
    let lines: Vec<&str> = log.lines().filter(before).collect();
    let about_targets = targets.iter().filter_map(|target| {
        let mut lines = lines.iter().rev();
        lines.find(|line| field(line, "target") == Some(*target))
    });
    let about_itself = STATE_EVENTS.iter().filter_map(|event| {
        let mut lines = lines.iter().rev();
        lines.find(|line| field(line, "event") == Some(*event))
    });
    about_targets.chain(about_itself).copied().collect()
}

/// Returns the targets in `SERVICE:TARGET/TARGET,SERVICE:…`.
fn targets(missing: &str) -> impl Iterator<Item = &str> {
    let parts = missing.split(',');
    let tried = parts.filter_map(|part| part.split_once(':'));
    let targets = tried.flat_map(|(_, targets)| targets.split('/'));
    targets.filter(|target| !target.is_empty())
}

/// Returns the value of a field of a line.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = line.split_ascii_whitespace();
    fields.find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
}

fn render(request_id: &str, explanation: &Explanation<'_>) -> String {
    if explanation.own.is_empty() {
        return format!("no line about request {request_id}\n");
    }
    let mut shown = format!("request {request_id}\n");
    for line in &explanation.own {
        shown += &format!("  {}: {}\n", line.log, line.text);
    }
    shown += "known at its end\n";
    for line in &explanation.beliefs {
        shown += &format!("  {}: {}\n", line.log, line.text);
    }
    shown
}
