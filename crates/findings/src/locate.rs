//! Resolves JSON paths to lines and columns.

use jsonc_parser::{CollectOptions, ParseOptions, ast::Value, common::Ranged, parse_to_ast};

use crate::{Findings, node::finding_at};

/// Fills in the line and column of all findings that have only a path.
///
/// A path that does not exist in the document, such as that of a missing field, gets the position
/// of the innermost enclosing value.
pub fn locate(document: &str, findings: &mut Findings) {
    let parsed = parse_to_ast(
        document,
        &CollectOptions::default(),
        &ParseOptions::default(),
    );
    let Ok(Some(root)) = parsed.map(|parsed| parsed.value) else {
        return;
    };
    let without_position = findings
        .list
        .iter_mut()
        .filter(|finding| finding.line.is_none());
    for finding in without_position {
        let offset = value_offset(&root, &finding.path);
        let message = std::mem::take(&mut finding.message);
        *finding = finding_at(document, offset, &finding.path, message);
    }
}

/// Returns the byte offset of a path's value, or of the innermost enclosing value that exists.
fn value_offset(root: &Value<'_>, path: &str) -> usize {
    let mut value = root;
    let segments = path.trim_start_matches('$').split(['.', '[']);
    for segment in segments.filter(|segment| !segment.is_empty()) {
        let index = segment
            .strip_suffix(']')
            .and_then(|index| index.parse::<usize>().ok());
        let next = match (value, index) {
            (Value::Array(array), Some(index)) => array.elements.get(index),
            (Value::Object(object), None) => object.get(segment).map(|property| &property.value),
            _ => None,
        };
        let Some(next) = next else { break };
        value = next;
    }
    value.range().start
}
