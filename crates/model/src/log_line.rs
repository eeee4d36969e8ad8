//! Structured log lines.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// A fault that an operator should look into.
    Warn,
    /// A state change in normal operation.
    Info,
    /// Detail for diagnosis.
    Debug,
}

/// Value of a log field.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum LogValue {
    /// A number, whose unit is the suffix of the field's name.
    Number(u64),
    /// A short string.
    Text(String),
}

impl fmt::Display for LogValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogValue::Number(number) => write!(f, "{number}"),
            LogValue::Text(text) => write!(f, "{text}"),
        }
    }
}

impl From<u64> for LogValue {
    fn from(number: u64) -> LogValue {
        LogValue::Number(number)
    }
}

impl From<&str> for LogValue {
    fn from(text: &str) -> LogValue {
        LogValue::Text(text.to_owned())
    }
}

/// One log line: a level, an event name and fields.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LogLine {
    /// Severity.
    pub level: Level,
    /// Name of the event, in kebab case.
    pub name: String,
    /// Fields in output order.
    pub fields: Vec<(String, LogValue)>,
}

impl LogLine {
    /// Creates a line without fields.
    pub fn new(level: Level, name: &str) -> LogLine {
        LogLine {
            level,
            name: name.to_owned(),
            fields: Vec::new(),
        }
    }

    /// Appends a field.
    pub fn with(mut self, field: &str, value: impl Into<LogValue>) -> LogLine {
        self.fields.push((field.to_owned(), value.into()));
        self
    }
}
