//! Reads typed values from JSON with comments and collects all problems with their positions.
//!
//! An invalid value is reported once and reading continues with the next, so that one pass reports
//! all problems of a file. If any error was reported, the reader returns no value.

use std::str;

use jsonc_parser::{ast, common};

use crate::{error, report, warning};

mod fields;
mod node;

pub(crate) use fields::Fields;
pub(crate) use node::Node;

/// Maximum number of errors reported for a file, and of warnings.
const MAX_PROBLEMS: usize = 1000;

/// Maximum number of characters of a value quoted in a message.
const MAX_EXCERPT_CHARS: usize = 80;

/// A reader of one file.
pub(crate) struct Reader<'t> {
    file: &'t str,
    text: &'t str,
    /// Byte offset of the start of each line.
    line_starts: Vec<usize>,
    errors: Vec<error::Error>,
    warnings: Vec<warning::Warning>,
}

impl<'t> Reader<'t> {
    /// Creates a reader of `text`; `file` is its name in messages.
    pub(crate) fn new(file: &'t str, text: &'t str) -> Self {
        let later_starts = text.match_indices('\n').map(|(index, _)| index + 1);
        Self {
            file,
            text,
            line_starts: std::iter::once(0).chain(later_starts).collect(),
            errors: Vec::new(),
            warnings: Vec::new(),
        }
    }

    /// Parses the text; `None` if it is not JSON with comments.
    pub(crate) fn parse(&mut self) -> Option<ast::Value<'t>> {
        let options = jsonc_parser::ParseOptions {
            allow_comments: true,
            allow_trailing_commas: true,
            allow_loose_object_property_names: false,
            allow_missing_commas: false,
            allow_single_quoted_strings: false,
            allow_hexadecimal_numbers: false,
            allow_unary_plus_numbers: false,
            allow_bare_decimal_point_numbers: false,
            allow_non_finite_numbers: false,
            allow_extended_string_escapes: false,
        };
        let parsed = jsonc_parser::parse_to_ast(self.text, &Default::default(), &options);
        let (start, reason) = match parsed.map(|result| result.value) {
            Ok(Some(value)) => return Some(value),
            Ok(None) => (0, "the file is empty".to_owned()),
            Err(error) => (error.range().start, error.kind().to_string()),
        };
        self.report_error_at(start, String::new(), error::Problem::Syntax { reason });
        None
    }

    /// Reports an error at a node.
    pub(crate) fn report_error(&mut self, node: &Node<'_, '_>, problem: error::Problem) {
        self.report_error_at(node.start(), node.path.clone(), problem);
    }

    /// Reports that a node's value is not of the expected form.
    pub(crate) fn report_unexpected(&mut self, node: &Node<'_, '_>, expected: impl Into<String>) {
        let problem = error::Problem::Value {
            value: self.excerpt(node.range()),
            expected: expected.into(),
        };
        self.report_error(node, problem);
    }

    /// Reports an error at a byte offset.
    pub(crate) fn report_error_at(&mut self, offset: usize, path: String, problem: error::Problem) {
        if self.errors.len() > MAX_PROBLEMS {
            return;
        }
        let problem = match self.errors.len() {
            MAX_PROBLEMS => error::Problem::TooMany {
                limit: MAX_PROBLEMS,
            },
            _ => problem,
        };
        let (line, column) = self.position(offset);
        self.errors.push(error::Error {
            file: self.file.to_owned(),
            line,
            column,
            path,
            problem,
        });
    }

    /// Reports a warning at a node.
    pub(crate) fn warn(&mut self, node: &Node<'_, '_>, cause: warning::Cause) {
        if self.warnings.len() >= MAX_PROBLEMS {
            return;
        }
        let (line, column) = self.position(node.start());
        self.warnings.push(warning::Warning {
            file: self.file.to_owned(),
            line,
            column,
            path: node.path.clone(),
            cause,
        });
    }

    /// Line of a byte offset, from 1.
    pub(crate) fn line(&self, offset: usize) -> usize {
        self.line_starts
            .partition_point(|line_start| *line_start <= offset)
    }

    /// Line, and column in characters, of a byte offset, both from 1.
    fn position(&self, offset: usize) -> (usize, usize) {
        let line = self.line(offset);
        let line_start = self.line_starts[line - 1];
        let before = self.text.get(line_start..offset).unwrap_or_default();
        (line, before.chars().count() + 1)
    }

    /// The text of a value, truncated and on one line.
    fn excerpt(&self, range: common::Range) -> String {
        let written = self.text.get(range.start..range.end).unwrap_or_default();
        let mut excerpt: String = written.chars().take(MAX_EXCERPT_CHARS).collect();
        if excerpt.len() < written.len() {
            excerpt.push_str("...");
        }
        excerpt.replace(['\n', '\r'], " ")
    }

    /// Returns the value with its warnings, or the errors if any were reported.
    pub(crate) fn finish<T>(
        mut self,
        value: Option<T>,
    ) -> Result<report::Report<T>, error::Errors> {
        match value {
            Some(value) if self.errors.is_empty() => {
                self.warnings.sort_by_key(|w| (w.line, w.column));
                Ok(report::Report {
                    value,
                    warnings: self.warnings,
                })
            }
            _ => {
                self.errors.sort_by_key(|e| (e.line, e.column));
                Err(error::Errors(self.errors))
            }
        }
    }

    /// Reads a string.
    pub(crate) fn read_string<'v>(
        &mut self,
        node: &Node<'v, '_>,
        expected: &str,
    ) -> Option<&'v str> {
        let ast::Value::StringLit(literal) = node.value else {
            self.report_unexpected(node, expected);
            return None;
        };
        Some(literal.value.as_ref())
    }

    /// Reads a string and parses it as `T`.
    pub(crate) fn read_from_str<T: str::FromStr>(
        &mut self,
        node: &Node<'_, '_>,
        expected: &str,
    ) -> Option<T> {
        let text = self.read_string(node, expected)?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.report_unexpected(node, expected);
        }
        parsed
    }

    /// Reads a whole number of at least 1.
    pub(crate) fn read_count(&mut self, node: &Node<'_, '_>) -> Option<u32> {
        let count = match node.value {
            ast::Value::NumberLit(literal) => literal.value.parse().ok().filter(|n| *n > 0),
            _ => None,
        };
        if count.is_none() {
            self.report_unexpected(node, format!("a whole number from 1 to {}", u32::MAX));
        }
        count
    }

    /// Reads a finite number of at least 0.
    pub(crate) fn read_non_negative(&mut self, node: &Node<'_, '_>, expected: &str) -> Option<f64> {
        let number = match node.value {
            ast::Value::NumberLit(literal) => literal.value.parse().ok(),
            _ => None,
        };
        let number = number.filter(|n: &f64| n.is_finite() && *n >= 0.0);
        if number.is_none() {
            self.report_unexpected(node, expected);
        }
        number
    }

    /// Reads a boolean.
    pub(crate) fn read_bool(&mut self, node: &Node<'_, '_>) -> Option<bool> {
        let ast::Value::BooleanLit(literal) = node.value else {
            self.report_unexpected(node, "true or false");
            return None;
        };
        Some(literal.value)
    }

    /// Reads an array; returns its elements unparsed.
    pub(crate) fn read_list<'v, 'a>(
        &mut self,
        node: &Node<'v, 'a>,
        expected: &str,
    ) -> Option<Vec<Node<'v, 'a>>> {
        let ast::Value::Array(array) = node.value else {
            self.report_unexpected(node, expected);
            return None;
        };
        let elements = array.elements.iter().enumerate();
        let element = |(index, value)| Node {
            path: format!("{}[{index}]", node.path),
            value,
        };
        Some(elements.map(element).collect())
    }
}
