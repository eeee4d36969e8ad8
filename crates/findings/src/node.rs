//! Borrowed views of JSON values that know their path and position in the document.

use std::{net::SocketAddr, ops::RangeInclusive, time::Duration};

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{ObjectProp, Value},
    common::Ranged,
    parse_to_ast,
};

use crate::{Finding, Findings};

/// One JSON value of a document.
#[derive(Clone, Debug)]
pub struct Node<'a> {
    value: &'a Value<'a>,
    document: &'a str,
    path: String,
}

/// The fields of a JSON object. [`Fields::report_unread`] reports those that were not read.
#[derive(Debug)]
pub struct Fields<'a> {
    object: Node<'a>,
    properties: Vec<&'a ObjectProp<'a>>,
}

/// Parses a document and passes its root to `read`.
///
/// Returns the result of `read`, or `None` with a finding if the document is not valid JSON.
pub fn with_document<T>(
    document: &str,
    findings: &mut Findings,
    read: impl FnOnce(Node<'_>, &mut Findings) -> Option<T>,
) -> Option<T> {
    // serde_json limits the nesting depth; `parse_to_ast`, which records positions, does not.
    if let Err(error) = serde_json::from_str::<serde::de::IgnoredAny>(document) {
        findings.list.push(Finding {
            path: "$".to_owned(),
            line: u32::try_from(error.line()).ok(),
            column: u32::try_from(error.column()).ok(),
            message: format!("not a JSON document: {error}"),
        });
        return None;
    }
    let parsed = parse_to_ast(
        document,
        &CollectOptions::default(),
        &ParseOptions::default(),
    );
    let value = match parsed {
        Ok(parsed) => parsed.value,
        Err(error) => {
            findings.add("$", format!("not a JSON document: {error}"));
            return None;
        }
    };
    let Some(value) = value else {
        findings.add("$", "the document is empty");
        return None;
    };
    read(
        Node {
            value: &value,
            document,
            path: "$".to_owned(),
        },
        findings,
    )
}

impl<'a> Node<'a> {
    /// Returns the JSON path of the value.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Adds a finding at the position of the value.
    pub fn report(&self, findings: &mut Findings, message: impl Into<String>) {
        findings.list.push(self.finding(message.into()));
    }

    /// Adds a notice at the position of the value, which is ignored or replaced.
    pub fn notice(&self, findings: &mut Findings, message: impl Into<String>) {
        findings.notices.push(self.finding(message.into()));
    }

    fn finding(&self, message: String) -> Finding {
        let start = self.value.range().start;
        finding_at(self.document, start, &self.path, message)
    }

    /// Returns whether the value is null.
    pub fn is_null(&self) -> bool {
        matches!(self.value, Value::NullKeyword(_))
    }

    /// Reads a JSON object.
    pub fn fields(self, findings: &mut Findings) -> Option<Fields<'a>> {
        let Value::Object(object) = self.value else {
            self.report(findings, "expected an object");
            return None;
        };
        let properties = object.properties.iter().collect();
        Some(Fields {
            object: self,
            properties,
        })
    }

    /// Reads a JSON array.
    pub fn items(&self, findings: &mut Findings) -> Vec<Node<'a>> {
        let Value::Array(array) = self.value else {
            self.report(findings, "expected an array");
            return Vec::new();
        };
        let elements = array.elements.iter().enumerate();
        elements
            .map(|(index, value)| self.child(value, format!("[{index}]")))
            .collect()
    }

    /// Reads a string that is not empty.
    pub fn non_empty_string(&self, findings: &mut Findings) -> Option<&'a str> {
        let text = self.string(findings)?;
        if text.is_empty() {
            self.report(findings, "must not be empty");
            return None;
        }
        Some(text)
    }

    /// Reads a string that may be empty.
    pub fn string(&self, findings: &mut Findings) -> Option<&'a str> {
        let Value::StringLit(text) = self.value else {
            self.report(findings, "expected a string");
            return None;
        };
        Some(&text.value)
    }

    /// Reads a boolean.
    pub fn boolean(&self, findings: &mut Findings) -> Option<bool> {
        let Value::BooleanLit(boolean) = self.value else {
            self.report(findings, "expected true or false");
            return None;
        };
        Some(boolean.value)
    }

    /// Reads an unsigned integer within bounds.
    pub fn number(&self, bounds: RangeInclusive<u64>, findings: &mut Findings) -> Option<u64> {
        let number = match self.value {
            Value::NumberLit(number) => number.value.parse().ok(),
            _ => None,
        };
        let Some(number) = number.filter(|number| bounds.contains(number)) else {
            let message = format!(
                "expected a whole number from {} to {}",
                bounds.start(),
                bounds.end()
            );
            self.report(findings, message);
            return None;
        };
        Some(number)
    }

    /// Reads an unsigned 32-bit integer within bounds.
    pub fn count(&self, bounds: RangeInclusive<u32>, findings: &mut Findings) -> Option<u32> {
        let bounds = u64::from(*bounds.start())..=u64::from(*bounds.end());
        let number = self.number(bounds, findings)?;
        u32::try_from(number).ok()
    }

    /// Reads a number within bounds, with or without decimals.
    pub fn decimal(&self, bounds: RangeInclusive<f64>, findings: &mut Findings) -> Option<f64> {
        let number: Option<f64> = match self.value {
            Value::NumberLit(number) => number.value.parse().ok(),
            _ => None,
        };
        let Some(number) = number.filter(|number| bounds.contains(number)) else {
            let message = format!(
                "expected a number from {} to {}",
                bounds.start(),
                bounds.end()
            );
            self.report(findings, message);
            return None;
        };
        Some(number)
    }

    /// Reads a number and moves it to the nearest bound if it lies outside.
    ///
    /// Returns `None` if the value is not a number. Each value that is not taken as it is adds a
    /// notice, except null, which stands for an absent value.
    pub fn clamped_decimal(
        &self,
        bounds: RangeInclusive<f64>,
        findings: &mut Findings,
    ) -> Option<f64> {
        let number: Option<f64> = match self.value {
            Value::NullKeyword(_) => return None,
            Value::NumberLit(number) => number.value.parse().ok(),
            _ => None,
        };
        let Some(number) = number else {
            self.notice(findings, "is not a number; the default is used");
            return None;
        };
        let clamped = number.clamp(*bounds.start(), *bounds.end());
        if clamped != number {
            self.notice(
                findings,
                format!("{number} is out of range; {clamped} is used"),
            );
        }
        Some(clamped)
    }

    /// Reads a number of milliseconds within bounds.
    pub fn millis(
        &self,
        bounds_ms: RangeInclusive<u64>,
        findings: &mut Findings,
    ) -> Option<Duration> {
        self.number(bounds_ms, findings).map(Duration::from_millis)
    }

    /// Reads a socket address: an IP address with a port.
    pub fn address(&self, findings: &mut Findings) -> Option<SocketAddr> {
        let text = self.non_empty_string(findings)?;
        let Ok(address) = text.parse() else {
            self.report(
                findings,
                format!("`{text}` is not an IP address with a port"),
            );
            return None;
        };
        Some(address)
    }

    /// Reads a string that must be one of `words` and returns the value paired with it.
    pub fn one_of<T: Copy>(&self, words: &[(&str, T)], findings: &mut Findings) -> Option<T> {
        let text = self.non_empty_string(findings)?;
        let found = words.iter().find(|(word, _)| *word == text);
        let Some((_, value)) = found else {
            let known: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
            self.report(
                findings,
                format!("`{text}` is not one of {}", known.join(", ")),
            );
            return None;
        };
        Some(*value)
    }

    fn child(&self, value: &'a Value<'a>, segment: String) -> Node<'a> {
        Node {
            value,
            document: self.document,
            path: format!("{}{segment}", self.path),
        }
    }
}

impl<'a> Fields<'a> {
    /// Takes out a field that may be absent.
    pub fn optional(&mut self, name: &str) -> Option<Node<'a>> {
        let index = self
            .properties
            .iter()
            .position(|property| property.name.as_str() == name)?;
        let property = self.properties.remove(index);
        Some(self.object.child(&property.value, format!(".{name}")))
    }

    /// Takes out a field, or adds a finding if it is absent.
    pub fn required(&mut self, name: &str, findings: &mut Findings) -> Option<Node<'a>> {
        let found = self.optional(name);
        if found.is_none() {
            self.object
                .report(findings, format!("the field `{name}` is missing"));
        }
        found
    }

    /// Adds a finding for every field that was not taken out because it is unknown or repeated.
    pub fn report_unread(self, findings: &mut Findings) {
        for property in &self.properties {
            let name = property.name.as_str();
            let path = format!("{}.{name}", self.object.path);
            let start = property.range().start;
            let message = "unknown or repeated field".to_owned();
            findings
                .list
                .push(finding_at(self.object.document, start, &path, message));
        }
    }
}

pub(crate) fn finding_at(document: &str, offset: usize, path: &str, message: String) -> Finding {
    let before = document.get(..offset).unwrap_or(document);
    let line_number = before.matches('\n').count() + 1;
    let last_line = before.rsplit('\n').next().unwrap_or(before);
    let column_number = last_line.chars().count() + 1;
    Finding {
        path: path.to_owned(),
        line: u32::try_from(line_number).ok(),
        column: u32::try_from(column_number).ok(),
        message,
    }
}
