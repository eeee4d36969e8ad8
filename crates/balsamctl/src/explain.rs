//! `balsamctl explain`: finds in log files what led to the end of a request.

use std::{fs, path::PathBuf};

use serde_json::json;

use crate::{error::CommandError, exit::ExitStatus};

/// Events that report the state of the instance, its configuration or its connection to the store.
const STATE_EVENTS: [&str; 14] = [
    "listening",
    "leaving",
    "process-paused",
    "isolated",
    "isolation-over",
    "store-lost",
    "store-regained",
    "era-given-up",
    "store-restored",
    "configuration-behind",
    "configuration-caught-up",
    "catalog-known",
    "configuration-in-force",
    "zone-changed",
];

/// Event of an item of the store that was refused; shown for requests without a valid key, which
/// the item may hold.
const REFUSED_ITEM_EVENT: &str = "item-unreadable";
/// Maximum number of those lines from each log.
const REFUSED_ITEMS_MAX_COUNT: usize = 4;

/// One line of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Line<'a> {
    /// Path of the log file.
    pub log: &'a str,
    /// The line; it starts with the field `ts`.
    pub text: &'a str,
}

/// The log lines that explain how a request ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Explanation<'a> {
    /// Lines about the request, ordered by timestamp.
    pub request_lines: Vec<Line<'a>>,
    /// State of the instances that handled the request when it ended: from each log the last line
    /// up to then about each target whose answer was missing, and of each event in [`STATE_EVENTS`].
    /// Ordered by timestamp.
    pub state_lines: Vec<Line<'a>>,
    /// The cause in one sentence, where the lines tell it.
    pub conclusion: Option<String>,
}

/// Prints the explanation of a request.
///
/// # Errors
///
/// Returns an error if a file cannot be read.
pub fn run(request_id: &str, files: &[PathBuf], is_json: bool) -> Result<ExitStatus, CommandError> {
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
            "request": texts(&explanation.request_lines),
            "beliefs": texts(&explanation.state_lines),
            "conclusion": explanation.conclusion,
        });
        println!("{document:#}");
    } else {
        print!("{}", render(request_id, &explanation));
    }
    Ok(match explanation.request_lines.is_empty() {
        true => ExitStatus::Unknown,
        false => ExitStatus::Success,
    })
}

/// Collects the lines that explain a request; `logs` holds the path and the text of each log.
pub(crate) fn explain<'a>(request_id: &str, logs: &'a [(String, String)]) -> Explanation<'a> {
    let mut explanation = Explanation::default();
    for (log, text) in logs {
        let request_lines: Vec<&str> = text
            .lines()
            .filter(|line| field(line, "request_id") == Some(request_id))
            .collect();
        let Some(ended_at) = request_lines
            .iter()
            .filter_map(|line| field(line, "ts"))
            .max()
        else {
            continue;
        };
        let missing = request_lines
            .iter()
            .filter_map(|line| field(line, "missing"));
        let targets: Vec<&str> = missing.flat_map(missing_targets).collect();
        let mut state_lines = latest_state_lines(text, ended_at, &targets);
        if request_lines.iter().any(|line| is_unauthenticated(line)) {
            state_lines.extend(latest_refused_items(text, ended_at));
        }
        let line = |text| Line { log, text };
        explanation
            .request_lines
            .extend(request_lines.into_iter().map(line));
        explanation
            .state_lines
            .extend(state_lines.into_iter().map(line));
    }
    let mut lines = explanation.request_lines.iter();
    explanation.conclusion = lines.find_map(|line| conclusion(line.text));
    for lines in [&mut explanation.request_lines, &mut explanation.state_lines] {
        lines.sort_by_key(|line| field(line.text, "ts"));
    }
    explanation
}

/// Returns the last line up to a time about each target and of each event in [`STATE_EVENTS`].
fn latest_state_lines<'a>(log: &'a str, ended_at: &str, targets: &[&str]) -> Vec<&'a str> {
    let is_in_time = |line: &&str| field(line, "ts").is_some_and(|ts| ts <= ended_at);
    let lines: Vec<&str> = log.lines().filter(is_in_time).collect();
    let about_targets = targets.iter().filter_map(|target| {
        let mut lines = lines.iter().rev();
        lines.find(|line| field(line, "target") == Some(*target))
    });
    let about_instance = STATE_EVENTS.iter().filter_map(|event| {
        let mut lines = lines.iter().rev();
        lines.find(|line| field(line, "event") == Some(*event))
    });
    about_targets.chain(about_instance).copied().collect()
}

/// Returns the last lines up to a time about items of the store that were refused.
fn latest_refused_items<'a>(log: &'a str, ended_at: &str) -> Vec<&'a str> {
    let lines = log.lines().rev();
    let refused = lines.filter(|line| {
        let is_in_time = field(line, "ts").is_some_and(|ts| ts <= ended_at);
        is_in_time && field(line, "event") == Some(REFUSED_ITEM_EVENT)
    });
    refused.take(REFUSED_ITEMS_MAX_COUNT).collect()
}

fn is_unauthenticated(line: &str) -> bool {
    field(line, "reason") == Some("unauthenticated")
}

/// Returns the cause of a request's end in one sentence, if its line tells it.
fn conclusion(line: &str) -> Option<String> {
    if let Some(text) = cap_conclusion(line) {
        return Some(text);
    }
    if !is_unauthenticated(line) {
        return None;
    }
    let version = field(line, "version").unwrap_or("unknown");
    let text = match (field(line, "event")?, field(line, "key")) {
        ("request-refused", Some("absent")) => {
            "the caller sent no key, and the front is not public".to_owned()
        }
        ("request-refused", Some("malformed")) => {
            "the caller's credential does not have the form \"Bearer KEY\"".to_owned()
        }
        ("request-refused", _) => format!(
            "no organisation of configuration {version} has the caller's key: it was never \
             published, was removed, or stands in an item that was refused"
        ),
        ("request-ended", _) => "a newer configuration removed the caller's key while the \
             request waited; no target received it"
            .to_owned(),
        _ => return None,
    };
    Some(text)
}

/// Returns in one sentence why a request of a capped organisation was refused.
fn cap_conclusion(line: &str) -> Option<String> {
    let organisation = field(line, "organisation").unwrap_or("unknown");
    match field(line, "reason")? {
        "over-cap" => Some(format!(
            "the organisation {organisation} had used up its cap over all instances"
        )),
        "no-permit-issuer" => Some(format!(
            "no reachable instance could grant a permit to the organisation {organisation}"
        )),
        _ => None,
    }
}

/// Returns the targets in the value of a field `missing`: `SERVICE:TARGET/TARGET,SERVICE:…`.
fn missing_targets(missing: &str) -> impl Iterator<Item = &str> {
    let services = missing.split(',');
    let pairs = services.filter_map(|service| service.split_once(':'));
    let targets = pairs.flat_map(|(_, targets)| targets.split('/'));
    targets.filter(|target| !target.is_empty())
}

/// Returns the value of a `name=value` field of a line.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = line.split_ascii_whitespace();
    fields.find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
}

fn render(request_id: &str, explanation: &Explanation<'_>) -> String {
    if explanation.request_lines.is_empty() {
        return format!("no log line about request {request_id}\n");
    }
    let mut text = format!("request {request_id}\n");
    for line in &explanation.request_lines {
        text += &format!("  {}: {}\n", line.log, line.text);
    }
    if let Some(conclusion) = &explanation.conclusion {
        text += &format!("conclusion: {conclusion}\n");
    }
    text += "state when the request ended\n";
    for line in &explanation.state_lines {
        text += &format!("  {}: {}\n", line.log, line.text);
    }
    text
}
