//! Parsers of the files that operators write, one module for each type.
//!
//! Each parser reads all of its fields before it gives up on one, so that every problem of a file
//! is found in one pass. What must be unique or must exist elsewhere in the file is checked against
//! [`seen::Seen`].

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

/// Expected where a name is.
pub(crate) const NAME: &str = "a name of 1 to 100 letters, digits, dots, underscores or hyphens";

/// Expected where a data centre is.
pub(crate) const DATA_CENTRE: &str = "a data centre of the zones";

/// Expected where a duration is.
pub(crate) const SPAN: &str =
    "a duration above zero, a number followed by ms, s, m, h or d such as \"250ms\"";

/// Expected where a size is.
pub(crate) const SIZE: &str =
    "a size above zero, a whole number followed by B, KiB, MiB or GiB such as \"64KiB\"";

/// Expected where a share is.
pub(crate) const SHARE: &str = "a share from \"0%\" to \"100%\"";

/// Expected where a number is counted from 1.
pub(crate) const COUNT: &str = "a whole number from 1";

/// Expected where a boolean is.
pub(crate) const FLAG: &str = "true or false";

/// A duration above zero.
fn span(reader: &mut reader::Reader<'_>, node: &reader::Node<'_, '_>) -> Option<span::Span> {
    let text = match node.value {
        jsonc_parser::ast::Value::StringLit(literal) => literal.value.as_ref(),
        _ => "",
    };
    let span = text.parse().ok().filter(|s: &span::Span| !s.0.is_zero());
    if span.is_none() {
        reader.unexpected(node, SPAN);
    }
    span
}

/// A size above zero.
fn size(
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
        reader.unexpected(node, SIZE);
    }
    size
}
