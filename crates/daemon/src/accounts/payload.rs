//! Payload of a copy sent to a peer.

use bytes::Bytes;
use monsooncart_types::id;
use monsooncart_usage::burn::snapshot;
use monsooncart_usage::page;
use monsooncart_wire::usage as wire;

/// Payload of a copy, encoded with postcard.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Payload {
    /// A usage page.
    Page(page::Page),
    /// A part of an error budget history.
    History(snapshot::Part),
}

impl Payload {
    /// Encodes the payload.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        postcard::to_stdvec(self).unwrap_or_default().into()
    }

    /// Decodes a payload; `None` if it is malformed.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// Creates a copy of a usage page.
#[must_use]
pub fn copy_of_page(page: &page::Page) -> wire::Copy {
    wire::Copy {
        vm: page.vm.clone(),
        instance: page.name.instance,
        period: page.name.period.0,
        sequence: page.sequence,
        counters: Payload::Page(page.clone()).encode(),
    }
}

/// Creates a copy of a part of an error budget history, sent by the daemon on `vm`.
#[must_use]
pub fn copy_of_history(vm: &id::Vm, part: &snapshot::Part) -> wire::Copy {
    wire::Copy {
        vm: vm.clone(),
        instance: part.name.instance,
        period: 0,
        sequence: part.sequence,
        counters: Payload::History(part.clone()).encode(),
    }
}
