//! A JSON value with its path.

use jsonc_parser::common::Ranged as _;
use jsonc_parser::{ast, common};

/// A JSON value and its path, such as `services[0].floor`.
pub(crate) struct Node<'v, 't> {
    pub(crate) path: String,
    pub(crate) value: &'v ast::Value<'t>,
}

impl Node<'_, '_> {
    /// Byte range of the value in the text.
    pub(crate) fn range(&self) -> common::Range {
        self.value.range()
    }

    /// Byte offset of the value in the text.
    pub(crate) fn start(&self) -> usize {
        self.value.start()
    }
}
