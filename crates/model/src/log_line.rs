//! One line of the log.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Importance of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// Something is wrong and an operator should look.
    Warn,
    /// A change of state.
    Info,
    /// Detail for a person who is searching for a cause.
    Debug,
}

/// A value in a log line.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Value {
    /// A number; its unit is the suffix of the field's name.
    Number(u64),
    /// A short text.
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

/// One event of the log: a name and its fields.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LogLine {
    /// Importance.
    pub level: Level,
    /// Name of the event, in kebab case.
    pub name: String,
    /// Fields in the order they are written.
    pub fields: Vec<(String, Value)>,
}

impl LogLine {
    /// Returns a line without fields.
    pub fn new(level: Level, name: &str) -> LogLine {
        LogLine {
            level,
            name: name.to_owned(),
            fields: Vec::new(),
        }
    }

    /// Returns the line with one more field.
    pub fn with(mut self, field: &str, value: impl Into<Value>) -> LogLine {
        self.fields.push((field.to_owned(), value.into()));
        self
    }
}
