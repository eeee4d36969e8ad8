//! Faults found in a document.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A fault in a document and its position.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Finding {
    /// JSON path of the invalid value, such as `$.fleet.zones[2].name`.
    pub path: String,
    /// Line in the document, counted from 1; `None` if unknown, see [`locate()`](crate::locate()).
    pub line: Option<u32>,
    /// Column in characters, counted from 1; `None` if unknown.
    pub column: Option<u32>,
    /// What is wrong and what was expected.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.line, self.column) {
            (Some(line), Some(column)) => {
                write!(f, "{line}:{column}: {}: {}", self.path, self.message)
            }
            _ => write!(f, "{}: {}", self.path, self.message),
        }
    }
}

/// The faults found in a document.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Findings {
    /// The faults, in the order in which they were found.
    pub list: Vec<Finding>,
    /// Unusual values that were replaced, so that the document is usable despite them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub notices: Vec<Finding>,
}

impl Findings {
    /// Adds a fault without line and column.
    pub fn add(&mut self, path: &str, message: impl Into<String>) {
        let finding = Finding {
            path: path.to_owned(),
            line: None,
            column: None,
            message: message.into(),
        };
        self.list.push(finding);
    }

    /// Returns whether no fault was found.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.list {
            writeln!(f, "{finding}")?;
        }
        Ok(())
    }
}
