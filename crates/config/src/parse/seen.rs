//! Names and unique values of the part of a fleet that is already parsed, with their positions.

use std::{fmt, hash, net};

use bytes::Bytes;
use monsooncart_types::{id, map};

use crate::{error, organisation, reader, route};

/// Maximum number of defined names that a message lists.
const MAX_LISTED_NAMES: usize = 10;

/// Values that must be unique in a fleet, each with its byte offset in the file.
#[derive(Default)]
pub(super) struct Seen {
    pub(super) data_centres: Names<id::DataCentre>,
    pub(super) services: Names<id::Service>,
    pub(super) servers: map::Map<id::Server, usize>,
    pub(super) addresses: map::Map<net::SocketAddr, usize>,
    pub(super) organisations: map::Map<id::Organisation, usize>,
    pub(super) keys: map::Map<organisation::Digest, usize>,
    pub(super) routes: map::Map<Bytes, Vec<Route>>,
}

/// Names that can be referenced, with their byte offsets.
pub(super) struct Names<K> {
    pub(super) positions: map::Map<K, usize>,
    /// Whether some names are unknown because their definitions are missing or invalid. Unresolved
    /// references are then not reported, since they may refer to these names.
    pub(super) is_incomplete: bool,
}

impl<K> Default for Names<K> {
    fn default() -> Self {
        Self {
            positions: map::Map::default(),
            is_incomplete: false,
        }
    }
}

/// A parsed route.
pub(super) struct Route {
    pub(super) methods: Vec<String>,
    pub(super) start: usize,
}

impl Seen {
    /// Reports a route that matches the same requests as an earlier one; records it otherwise.
    pub(super) fn record_route(
        &mut self,
        reader: &mut reader::Reader<'_>,
        node: &reader::Node<'_, '_>,
        route: &route::Route,
    ) {
        let same_path = self.routes.entry(route.path.clone()).or_default();
        let earlier = same_path
            .iter()
            .find(|r| methods_overlap(&r.methods, &route.methods));
        if let Some(earlier) = earlier {
            let path = String::from_utf8_lossy(&route.path);
            let problem = error::Problem::Duplicate {
                kind: "route",
                value: format!("{path:?} with a method in common"),
                line: reader.line(earlier.start),
            };
            reader.report_error(node, problem);
            return;
        }
        same_path.push(Route {
            methods: route.methods.clone(),
            start: node.start(),
        });
    }
}

/// Whether two lists of methods have one in common; an empty list means all methods.
fn methods_overlap(a: &[String], b: &[String]) -> bool {
    a.is_empty() || b.is_empty() || a.iter().any(|method| b.contains(method))
}

/// Reports a value that occurred before; records it otherwise.
pub(super) fn record_unique<K: Eq + hash::Hash + Clone + fmt::Display>(
    reader: &mut reader::Reader<'_>,
    positions: &mut map::Map<K, usize>,
    node: &reader::Node<'_, '_>,
    kind: &'static str,
    value: &K,
) {
    let Some(first) = positions.get(value) else {
        positions.insert(value.clone(), node.start());
        return;
    };
    let problem = error::Problem::Duplicate {
        kind,
        value: value.to_string(),
        line: reader.line(*first),
    };
    reader.report_error(node, problem);
}

/// Reports a reference to a name that the file does not define.
pub(super) fn check_reference<K: Eq + Ord + hash::Hash + fmt::Display>(
    reader: &mut reader::Reader<'_>,
    names: &Names<K>,
    node: &reader::Node<'_, '_>,
    kind: &'static str,
    name: &K,
) {
    if names.is_incomplete || names.positions.contains_key(name) {
        return;
    }
    let mut known: Vec<_> = names.positions.keys().collect();
    known.sort();
    let texts = known
        .iter()
        .take(MAX_LISTED_NAMES)
        .map(|name| name.to_string());
    let mut listed = texts.collect::<Vec<_>>().join(", ");
    if known.is_empty() {
        listed = "none".to_owned();
    } else if known.len() > MAX_LISTED_NAMES {
        listed.push_str(", ...");
    }
    let problem = error::Problem::Unresolved {
        kind,
        name: name.to_string(),
        known: listed,
    };
    reader.report_error(node, problem);
}
