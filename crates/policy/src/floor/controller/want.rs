//! An ejection that is wanted and not decided.

use std::collections::BTreeSet;

use monsooncart_types::{instance, time};

use crate::floor::mark;

/// An ejection that is wanted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Want {
    /// The evidence.
    pub ejection: mark::Ejection,
    /// When it was asked for.
    pub since: time::Time,
    /// Whether a record that was read since then left no free room.
    pub denied: bool,
    /// Whether the record was read since then.
    pub fresh: bool,
    /// Holders that were asked.
    pub asked: BTreeSet<instance::Instance>,
    /// The holder that is being asked, and since when.
    pub waiting: Option<(instance::Instance, time::Time)>,
}

impl Want {
    pub fn new(ejection: mark::Ejection, now: time::Time) -> Self {
        Self {
            ejection,
            since: now,
            denied: false,
            fresh: false,
            asked: BTreeSet::new(),
            waiting: None,
        }
    }
}
