//! Formats a record as one line in logfmt.

use std::fmt::Write;

use jiff::Timestamp;
use logforth::{
    Diagnostic, Error, Layout,
    kv::{KeyView, ValueView, Visitor},
    record::Record,
};

use crate::write::TARGET;

/// Layout of `ts`, `level`, `event` and the fields of the event.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EventLayout;

impl Layout for EventLayout {
    fn format(&self, record: &Record<'_>, _: &[Box<dyn Diagnostic>]) -> Result<Vec<u8>, Error> {
        let mut line = Line {
            text: String::new(),
        };
        if let Ok(time) = Timestamp::try_from(record.time()) {
            line.text = format!("ts={time:.6}");
        }
        let level = record.level().name().to_ascii_lowercase();
        push_pair(&mut line.text, "level", &level);
        let payload = record.payload().to_string();
        if record.target() == TARGET {
            push_pair(&mut line.text, "event", &payload);
        } else {
            push_pair(&mut line.text, "event", "library");
            push_pair(&mut line.text, "module", record.target());
            push_pair(&mut line.text, "message", &payload);
        }
        record.key_values().visit(&mut line)?;
        Ok(line.text.into_bytes())
    }
}

struct Line {
    text: String,
}

impl Visitor for Line {
    fn visit(&mut self, key: KeyView<'_>, value: ValueView<'_>) -> Result<(), Error> {
        push_pair(&mut self.text, key.as_str(), &value.to_string());
        Ok(())
    }
}

/// Appends one pair. The value is quoted and escaped if it is empty or contains white space,
/// control characters, `=`, `"` or `\`.
pub(crate) fn push_pair(text: &mut String, key: &str, value: &str) {
    if !text.is_empty() {
        text.push(' ');
    }
    let is_unquoted = |character: char| {
        !character.is_whitespace() && !character.is_control() && !"=\"\\".contains(character)
    };
    // Writing to a string does not fail.
    let _ = if !value.is_empty() && value.chars().all(is_unquoted) {
        write!(text, "{key}={value}")
    } else {
        write!(text, "{key}=\"{}\"", value.escape_debug())
    };
}
