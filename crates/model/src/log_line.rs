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
pub enum Value {
    /// A number, whose unit is the suffix of the field's name.
    Number(u64),
    /// A short string.
    Text(String),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Number(number) => write!(f, "{number}"),
            Value::Text(text) => write!(f, "{text}"),
        }
    }
}

impl From<u64> for Value {
    fn from(number: u64) -> Value {
        Value::Number(number)
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Value {
        Value::Text(text.to_owned())
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
    pub fields: Vec<(String, Value)>,
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
    pub fn with(mut self, field: &str, value: impl Into<Value>) -> LogLine {
        self.fields.push((field.to_owned(), value.into()));
        self
    }
}
