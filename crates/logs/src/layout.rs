//! The form of a line.

use std::fmt::Write;

use jiff::Timestamp;
use logforth::{
    Diagnostic, Error, Layout,
    kv::{KeyView, ValueView, Visitor},
    record::Record,
};

use crate::write::TARGET;

/// Writes `ts`, `level`, `event` and the fields of the event.
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
        add_pair(&mut line.text, "level", &level);
        let payload = record.payload().to_string();
        if record.target() == TARGET {
            add_pair(&mut line.text, "event", &payload);
        } else {
            add_pair(&mut line.text, "event", "library");
            add_pair(&mut line.text, "module", record.target());
            add_pair(&mut line.text, "message", &payload);
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
        add_pair(&mut self.text, key.as_str(), &value.to_string());
        Ok(())
    }
}

/// Appends one pair; the value is quoted if it would not be read back as one word.
pub(crate) fn add_pair(text: &mut String, key: &str, value: &str) {
    if !text.is_empty() {
        text.push(' ');
    }
    let is_word = |character: char| {
        !character.is_whitespace() && !character.is_control() && !"=\"\\".contains(character)
    };
    // Writing to a string does not fail.
    let _ = if !value.is_empty() && value.chars().all(is_word) {
        write!(text, "{key}={value}")
    } else {
        write!(text, "{key}=\"{}\"", value.escape_debug())
    };
}
