//! Parsers of fleet and settings files, one module for each type.
//!
//! Each parser reads all of its fields even after one fails, so that all problems of a file are
//! found in one pass. Uniqueness and references within the file are checked against [`seen::Seen`].

mod fleet;
mod organisation;
mod route;
mod seen;
mod server;
mod service;
mod settings;
mod zone;

use monsooncart_types::span;

use crate::reader;

/// Description of a valid name, for error messages.
pub(crate) const NAME: &str = "a name of 1 to 100 letters, digits, dots, underscores or hyphens";

/// Description of a valid data centre, for error messages.
pub(crate) const DATA_CENTRE: &str = "a data centre of the zones";

/// Description of a valid duration, for error messages.
pub(crate) const SPAN: &str =
    "a duration above zero, a number followed by ms, s, m, h or d such as \"250ms\"";

/// Description of a valid size, for error messages.
pub(crate) const SIZE: &str =
    "a size above zero, a whole number followed by B, KiB, MiB or GiB such as \"64KiB\"";

/// Description of a valid share, for error messages.
pub(crate) const SHARE: &str = "a share from \"0%\" to \"100%\"";

/// Description of a valid count, for error messages.
pub(crate) const COUNT: &str = "a whole number from 1";

/// Description of a valid boolean, for error messages.
pub(crate) const BOOLEAN: &str = "true or false";

/// Parses a duration above zero.
fn parse_span(reader: &mut reader::Reader<'_>, node: &reader::Node<'_, '_>) -> Option<span::Span> {
    let text = match node.value {
        jsonc_parser::ast::Value::StringLit(literal) => literal.value.as_ref(),
        _ => "",
    };
    let span = text.parse().ok().filter(|s: &span::Span| !s.0.is_zero());
    if span.is_none() {
        reader.report_unexpected(node, SPAN);
    }
    span
}

/// Parses a size above zero.
fn parse_size(
    reader: &mut reader::Reader<'_>,
    node: &reader::Node<'_, '_>,
) -> Option<monsooncart_types::size::Size> {
    let text = match node.value {
        jsonc_parser::ast::Value::StringLit(literal) => literal.value.as_ref(),
        _ => "",
    };
    let size = text.parse().ok();
    let size = size.filter(|size: &monsooncart_types::size::Size| size.0 > 0);
    if size.is_none() {
        reader.report_unexpected(node, SIZE);
    }
    size
}
