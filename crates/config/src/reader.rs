//! Reads typed values out of JSON with comments and collects every problem with its place.
//!
//! A value that cannot be read is refused once, and reading goes on with the next, so that one
//! pass reports all problems of a file. A reader that holds a problem gives no result at its end.

use std::str;

use jsonc_parser::{ast, common};

use crate::{error, report, warning};

mod fields;
mod node;

pub(crate) use fields::Fields;
pub(crate) use node::Node;

/// Problems kept of one file; as many doubts.
const MAX_PROBLEMS: usize = 1000;

/// Characters of a value that a message repeats.
const MAX_SHOWN: usize = 80;

/// A reader of one file.
pub(crate) struct Reader<'t> {
    file: &'t str,
    text: &'t str,
    lines: Vec<usize>,
    errors: Vec<error::Error>,
    warnings: Vec<warning::Warning>,
}

impl<'t> Reader<'t> {
    /// A reader of `text`, which is called `file` in messages.
    pub(crate) fn new(file: &'t str, text: &'t str) -> Self {
        let ends = text.match_indices('\n').map(|(at, _)| at + 1);
        Self {
            file,
            text,
            lines: std::iter::once(0).chain(ends).collect(),
            errors: Vec::new(),
            warnings: Vec::new(),
        }
    }

    /// Parses the text; `None` where it is no JSON with comments.
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
        self.refuse_at(start, String::new(), error::Problem::Syntax { reason });
        None
    }

    /// Notes a problem of a node.
    pub(crate) fn refuse(&mut self, node: &Node<'_, '_>, problem: error::Problem) {
        self.refuse_at(node.start(), node.path.clone(), problem);
    }

    /// Notes that a node's value is not what is expected.
    pub(crate) fn unexpected(&mut self, node: &Node<'_, '_>, expected: impl Into<String>) {
        let problem = error::Problem::Value {
            value: self.shown(node.range()),
            expected: expected.into(),
        };
        self.refuse(node, problem);
    }

    pub(crate) fn refuse_at(&mut self, start: usize, path: String, problem: error::Problem) {
        if self.errors.len() > MAX_PROBLEMS {
            return;
        }
        let problem = match self.errors.len() {
            MAX_PROBLEMS => error::Problem::TooMany {
                limit: MAX_PROBLEMS,
            },
            _ => problem,
        };
        let (line, column) = self.place(start);
        self.errors.push(error::Error {
            file: self.file.to_owned(),
            line,
            column,
            path,
            problem,
        });
    }

    /// Notes a doubt about a node.
    pub(crate) fn warn(&mut self, node: &Node<'_, '_>, doubt: warning::Doubt) {
        if self.warnings.len() >= MAX_PROBLEMS {
            return;
        }
        let (line, column) = self.place(node.start());
        self.warnings.push(warning::Warning {
            file: self.file.to_owned(),
            line,
            column,
            path: node.path.clone(),
            doubt,
        });
    }

    /// Line of a byte of the text, from 1.
    pub(crate) fn line(&self, start: usize) -> usize {
        self.lines.partition_point(|line| *line <= start)
    }

    fn place(&self, start: usize) -> (usize, usize) {
        let line = self.line(start);
        let line_start = self.lines[line - 1];
        let before = self.text.get(line_start..start).unwrap_or_default();
        (line, before.chars().count() + 1)
    }

    /// A value as written, cut where it is long.
    fn shown(&self, range: common::Range) -> String {
        let written = self.text.get(range.start..range.end).unwrap_or_default();
        let mut shown: String = written.chars().take(MAX_SHOWN).collect();
        if shown.len() < written.len() {
            shown.push_str("...");
        }
        shown.replace(['\n', '\r'], " ")
    }

    /// The result: the value where no problem was noted.
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

    /// Text of a string.
    pub(crate) fn string<'v>(&mut self, node: &Node<'v, '_>, expected: &str) -> Option<&'v str> {
        let ast::Value::StringLit(literal) = node.value else {
            self.unexpected(node, expected);
            return None;
        };
        Some(literal.value.as_ref())
    }

    /// A value that is written as a string.
    pub(crate) fn parsed<T: str::FromStr>(
        &mut self,
        node: &Node<'_, '_>,
        expected: &str,
    ) -> Option<T> {
        let text = self.string(node, expected)?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.unexpected(node, expected);
        }
        parsed
    }

    /// A whole number from 1.
    pub(crate) fn count(&mut self, node: &Node<'_, '_>) -> Option<u32> {
        let count = match node.value {
            ast::Value::NumberLit(literal) => literal.value.parse().ok().filter(|n| *n > 0),
            _ => None,
        };
        if count.is_none() {
            self.unexpected(node, format!("a whole number from 1 to {}", u32::MAX));
        }
        count
    }

    /// A number from 0.
    pub(crate) fn amount(&mut self, node: &Node<'_, '_>, expected: &str) -> Option<f64> {
        let amount = match node.value {
            ast::Value::NumberLit(literal) => literal.value.parse().ok(),
            _ => None,
        };
        let amount = amount.filter(|n: &f64| n.is_finite() && *n >= 0.0);
        if amount.is_none() {
            self.unexpected(node, expected);
        }
        amount
    }

    /// A boolean.
    pub(crate) fn flag(&mut self, node: &Node<'_, '_>) -> Option<bool> {
        let ast::Value::BooleanLit(literal) = node.value else {
            self.unexpected(node, "true or false");
            return None;
        };
        Some(literal.value)
    }

    /// Elements of an array.
    pub(crate) fn list<'v, 'a>(
        &mut self,
        node: &Node<'v, 'a>,
        expected: &str,
    ) -> Option<Vec<Node<'v, 'a>>> {
        let ast::Value::Array(array) = node.value else {
            self.unexpected(node, expected);
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
