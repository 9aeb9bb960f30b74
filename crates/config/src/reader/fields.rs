//! The fields of one object.

use jsonc_parser::ast;
use jsonc_parser::common::Ranged as _;

use super::{Node, Reader};
use crate::error;

/// Maximum Levenshtein distance between an unknown field and a known one suggested instead.
const MAX_EDITS: usize = 2;

/// The fields of one object.
pub(crate) struct Fields<'v, 't> {
    path: String,
    object: &'v ast::Object<'t>,
}

impl Reader<'_> {
    /// Reads an object; reports fields that are not `known` or occur twice.
    pub(crate) fn read_fields<'v, 't>(
        &mut self,
        node: &Node<'v, 't>,
        expected: &str,
        known: &[&'static str],
    ) -> Option<Fields<'v, 't>> {
        let ast::Value::Object(object) = node.value else {
            self.report_unexpected(node, expected);
            return None;
        };
        for (index, property) in object.properties.iter().enumerate() {
            let name = property.name.as_str();
            let earlier = &object.properties[..index];
            if let Some(first) = earlier.iter().find(|p| p.name.as_str() == name) {
                let line = self.line(first.start());
                let name = name.to_owned();
                let problem = error::Problem::DuplicateField { name, line };
                self.report_error_at(property.start(), node.path.clone(), problem);
            } else if !known.contains(&name) {
                let problem = error::Problem::UnknownField {
                    name: name.to_owned(),
                    similar: find_similar(name, known),
                };
                self.report_error_at(property.start(), node.path.clone(), problem);
            }
        }
        Some(Fields {
            path: node.path.clone(),
            object,
        })
    }

    /// The value of a required field; reports an error if it is missing.
    pub(crate) fn require_field<'v, 't>(
        &mut self,
        fields: &Fields<'v, 't>,
        name: &'static str,
        expected: &'static str,
    ) -> Option<Node<'v, 't>> {
        let node = fields.get(name);
        if node.is_none() {
            let problem = error::Problem::MissingField { name, expected };
            self.report_error_at(fields.object.start(), fields.path.clone(), problem);
        }
        node
    }
}

impl<'v, 't> Fields<'v, 't> {
    /// The value of a field; `None` if it is missing or `null`.
    pub(crate) fn get(&self, name: &str) -> Option<Node<'v, 't>> {
        let property = self.object.get(name)?;
        if let ast::Value::NullKeyword(_) = property.value {
            return None;
        }
        let path = match self.path.as_str() {
            "" => name.to_owned(),
            path => format!("{path}.{name}"),
        };
        Some(Node {
            path,
            value: &property.value,
        })
    }
}

/// The known field closest to `name`, if it is close enough to be suggested.
fn find_similar(name: &str, known: &[&'static str]) -> Option<String> {
    // A longer name is no misspelling of a known field, and computing its distance is slow.
    if name.len() > 64 {
        return None;
    }
    let candidates = known.iter().map(|field| (levenshtein(name, field), *field));
    let (distance, field) = candidates.min()?;
    (distance <= MAX_EDITS).then(|| field.to_owned())
}

/// Levenshtein distance in bytes.
fn levenshtein(a: &str, b: &str) -> usize {
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.bytes().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.bytes().enumerate() {
            let substituted = diagonal + usize::from(x != y);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
