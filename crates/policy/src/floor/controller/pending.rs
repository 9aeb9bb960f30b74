//! Requested ejections that are not decided yet.

use std::collections::BTreeSet;

use monsooncart_types::{instance, time};

use crate::floor::mark;

/// An ejection requested by this daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Pending {
    /// The evidence.
    pub ejection: mark::Ejection,
    pub requested_at: time::Time,
    /// Whether a record read after the request left no room.
    pub lacks_room: bool,
    /// Whether the record was read after the request.
    pub record_read: bool,
    /// Holders that were asked.
    pub asked: BTreeSet<instance::Instance>,
    /// The holder whose reply is awaited, and when it was asked.
    pub awaited: Option<(instance::Instance, time::Time)>,
}

impl Pending {
    pub fn new(ejection: mark::Ejection, now: time::Time) -> Self {
        Self {
            ejection,
            requested_at: now,
            lacks_room: false,
            record_read: false,
            asked: BTreeSet::new(),
            awaited: None,
        }
    }
}
