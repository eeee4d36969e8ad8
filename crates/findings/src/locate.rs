//! Finding the line and column of a JSON path.

use jsonc_parser::{CollectOptions, ParseOptions, ast::Value, common::Ranged, parse_to_ast};

use crate::{Findings, node::finding_at};

/// Fills in the line and column of every finding that has only a path.
///
/// A path that the document does not have, such as a missing field, gets the place of the nearest
/// value around it.
pub fn locate(document: &str, findings: &mut Findings) {
    let parsed = parse_to_ast(
        document,
        &CollectOptions::default(),
        &ParseOptions::default(),
    );
    let Ok(Some(root)) = parsed.map(|parsed| parsed.value) else {
        return;
    };
    let unplaced = findings
        .list
        .iter_mut()
        .filter(|finding| finding.line.is_none());
    for finding in unplaced {
        let offset = offset_of(&root, &finding.path);
        let message = std::mem::take(&mut finding.message);
        *finding = finding_at(document, offset, &finding.path, message);
    }
}

/// Returns where the value of a path, or the nearest value around it, starts.
fn offset_of(root: &Value<'_>, path: &str) -> usize {
    let mut value = root;
    let steps = path.trim_start_matches('$').split(['.', '[']);
    for step in steps.filter(|step| !step.is_empty()) {
        let index = step
            .strip_suffix(']')
            .and_then(|index| index.parse::<usize>().ok());
        let next = match (value, index) {
            (Value::Array(array), Some(index)) => array.elements.get(index),
            (Value::Object(object), None) => object.get(step).map(|property| &property.value),
            _ => None,
        };
        let Some(next) = next else { break };
        value = next;
    }
    value.range().start
}
