//! Names and values of a fleet read so far, with their positions.

use std::{fmt, hash, net};

use bytes::Bytes;
use monsooncart_types::{id, map};

use crate::{error, organisation, reader, route};

/// Known names that a message lists.
const MAX_SUGGESTIONS: usize = 10;

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
    /// Whether a name could not be parsed. Undefined references are then not reported, since they may
    /// refer to that name.
    pub(super) incomplete: bool,
}

impl<K> Default for Names<K> {
    fn default() -> Self {
        Self {
            positions: map::Map::default(),
            incomplete: false,
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
    pub(super) fn route(
        &mut self,
        reader: &mut reader::Reader<'_>,
        node: &reader::Node<'_, '_>,
        route: &route::Route,
    ) {
        let same = self.routes.entry(route.path.clone()).or_default();
        let earlier = same.iter().find(|r| overlap(&r.methods, &route.methods));
        if let Some(earlier) = earlier {
            let path = String::from_utf8_lossy(&route.path);
            let problem = error::Problem::Duplicate {
                what: "route",
                value: format!("{path:?} with a method in common"),
                line: reader.line(earlier.start),
            };
            reader.report_error(node, problem);
            return;
        }
        same.push(Route {
            methods: route.methods.clone(),
            start: node.start(),
        });
    }
}

/// Whether two lists of methods have one in common; an empty list means all methods.
fn overlap(a: &[String], b: &[String]) -> bool {
    a.is_empty() || b.is_empty() || a.iter().any(|method| b.contains(method))
}

/// Reports a value that occurred before; records it otherwise.
pub(super) fn unique<K: Eq + hash::Hash + Clone + fmt::Display>(
    reader: &mut reader::Reader<'_>,
    seen: &mut map::Map<K, usize>,
    node: &reader::Node<'_, '_>,
    what: &'static str,
    value: &K,
) {
    let Some(first) = seen.get(value) else {
        seen.insert(value.clone(), node.start());
        return;
    };
    let problem = error::Problem::Duplicate {
        what,
        value: value.to_string(),
        line: reader.line(*first),
    };
    reader.report_error(node, problem);
}

/// Reports a reference to a name that the file does not define.
pub(super) fn resolve<K: Eq + Ord + hash::Hash + fmt::Display>(
    reader: &mut reader::Reader<'_>,
    seen: &Names<K>,
    node: &reader::Node<'_, '_>,
    what: &'static str,
    name: &K,
) {
    if seen.incomplete || seen.positions.contains_key(name) {
        return;
    }
    let mut known: Vec<_> = seen.positions.keys().collect();
    known.sort();
    let names = known
        .iter()
        .take(MAX_SUGGESTIONS)
        .map(|name| name.to_string());
    let mut suggestions = names.collect::<Vec<_>>().join(", ");
    if known.is_empty() {
        suggestions = "none".to_owned();
    } else if known.len() > MAX_SUGGESTIONS {
        suggestions.push_str(", ...");
    }
    let problem = error::Problem::Unresolved {
        what,
        name: name.to_string(),
        known: suggestions,
    };
    reader.report_error(node, problem);
}
