//! Resolves a request's path and method to a service and route.
//!
//! The routes of all services are stored in one trie over path segments. Changing a service copies
//! the nodes on the paths of its routes and shares all others, so that requests in progress keep
//! the router that they started with.

use std::sync::Arc;

use bytes::Bytes;
use monsooncart_config::{route, service};
use monsooncart_types::{id, map};

/// A route of a service.
#[derive(Clone, Debug)]
pub struct Target {
    pub service: Arc<service::Service>,
    /// Index of the route within the service.
    index: usize,
}

impl Target {
    pub fn route(&self) -> &route::Route {
        &self.service.routes[self.index]
    }

    fn accepts(&self, method: &str) -> bool {
        let methods = &self.route().methods;
        methods.is_empty()
            || methods.iter().any(|m| m == method)
            || (method == "HEAD" && methods.iter().any(|m| m == "GET"))
    }
}

#[derive(Clone, Debug, Default)]
struct Node {
    literal: map::Map<Bytes, Arc<Node>>,
    wildcard: Option<Arc<Node>>,
    /// Routes whose path ends at this node.
    exact: Vec<Target>,
    /// Routes that match any remaining path (`**`).
    catch_all: Vec<Target>,
}

/// Result of a lookup.
#[derive(Debug)]
pub enum Match {
    /// A route matches.
    Found(Target),
    /// The path matches only routes with other methods, given in upper case and sorted.
    MethodNotAllowed(Vec<String>),
    /// No route matches the path.
    Unknown,
}

/// Routing table of all services.
#[derive(Clone, Debug, Default)]
pub struct Router {
    root: Arc<Node>,
}

fn segments(path: &[u8]) -> impl Iterator<Item = &[u8]> {
    let path = path.strip_prefix(b"/").unwrap_or(path);
    path.split(|b| *b == b'/')
}

impl Router {
    /// Adds the routes of a service.
    pub fn insert(&mut self, service: &Arc<service::Service>) {
        for (index, route) in service.routes.iter().enumerate() {
            let target = Target {
                service: service.clone(),
                index,
            };
            let mut node = Arc::make_mut(&mut self.root);
            let mut is_catch_all = false;
            for segment in segments(&route.path) {
                match segment {
                    b"**" => is_catch_all = true,
                    b"*" => node = Arc::make_mut(node.wildcard.get_or_insert_default()),
                    _ => {
                        let key = Bytes::copy_from_slice(segment);
                        node = Arc::make_mut(node.literal.entry(key).or_default());
                    }
                }
            }
            let targets = if is_catch_all {
                &mut node.catch_all
            } else {
                &mut node.exact
            };
            targets.push(target);
        }
    }

    /// Removes the routes of a service; `service` is the configuration that was inserted.
    pub fn remove(&mut self, service: &service::Service) {
        for route in &service.routes {
            let segments: Vec<&[u8]> = segments(&route.path).collect();
            Arc::make_mut(&mut self.root).remove(&segments, &service.name);
        }
    }

    /// Finds the route of a request. Literal segments take precedence over `*`, and `*` over `**`.
    pub fn find(&self, method: &str, path: &str) -> Match {
        let decoded: Vec<Bytes> = segments(path.as_bytes()).map(decode_segment).collect();
        let mut search = Search {
            method,
            methods: Vec::new(),
        };
        if let Some(target) = search.descend(&self.root, &decoded) {
            return Match::Found(target.clone());
        }
        if search.methods.is_empty() {
            return Match::Unknown;
        }
        search.methods.sort();
        search.methods.dedup();
        Match::MethodNotAllowed(search.methods)
    }
}

impl Node {
    fn is_empty(&self) -> bool {
        self.literal.is_empty()
            && self.wildcard.is_none()
            && self.exact.is_empty()
            && self.catch_all.is_empty()
    }

    fn remove(&mut self, segments: &[&[u8]], service: &id::Service) {
        let Some((segment, remaining)) = segments.split_first() else {
            self.exact.retain(|t| t.service.name != *service);
            return;
        };
        match *segment {
            b"**" => self.catch_all.retain(|t| t.service.name != *service),
            b"*" => {
                if let Some(mut node) = self.wildcard.take() {
                    Arc::make_mut(&mut node).remove(remaining, service);
                    self.wildcard = (!node.is_empty()).then_some(node);
                }
            }
            literal => {
                if let Some(mut node) = self.literal.remove(literal) {
                    Arc::make_mut(&mut node).remove(remaining, service);
                    if !node.is_empty() {
                        self.literal.insert(Bytes::copy_from_slice(literal), node);
                    }
                }
            }
        }
    }
}

/// A lookup of a method and path.
struct Search<'a> {
    method: &'a str,
    /// Methods of the routes that match the path but not the method.
    methods: Vec<String>,
}

impl Search<'_> {
    /// Searches the nodes that match the segments, the most specific first.
    fn descend<'n>(&mut self, node: &'n Node, segments: &[Bytes]) -> Option<&'n Target> {
        let Some((segment, remaining)) = segments.split_first() else {
            return self
                .choose_target(&node.exact)
                .or_else(|| self.choose_target(&node.catch_all));
        };
        if let Some(next) = node.literal.get(segment)
            && let Some(target) = self.descend(next, remaining)
        {
            return Some(target);
        }
        if let Some(next) = &node.wildcard
            && !segment.is_empty()
            && let Some(target) = self.descend(next, remaining)
        {
            return Some(target);
        }
        self.choose_target(&node.catch_all)
    }

    fn choose_target<'n>(&mut self, targets: &'n [Target]) -> Option<&'n Target> {
        let found = targets.iter().find(|t| t.accepts(self.method));
        if found.is_none() {
            let methods = targets.iter().flat_map(|t| t.route().methods.iter());
            self.methods.extend(methods.cloned());
        }
        found
    }
}

/// Decodes percent escapes, as a server may do, except for an escaped slash.
fn decode_segment(segment: &[u8]) -> Bytes {
    if !segment.contains(&b'%') {
        return Bytes::copy_from_slice(segment);
    }
    let mut decoded = Vec::with_capacity(segment.len());
    let mut index = 0;
    while index < segment.len() {
        let mut byte = [0];
        let escape = segment.get(index + 1..index + 3);
        let escape = escape.filter(|_| segment[index] == b'%');
        let is_escape = escape.is_some_and(|e| hex::decode_to_slice(e, &mut byte).is_ok());
        if is_escape && byte[0] != b'/' {
            decoded.push(byte[0]);
            index += 3;
        } else {
            decoded.push(segment[index]);
            index += 1;
        }
    }
    Bytes::from(decoded)
}

/// Whether the path has `.` or `..` segments, which a server may resolve to another path.
pub fn has_dot_segments(path: &str) -> bool {
    segments(path.as_bytes())
        .map(decode_segment)
        .any(|segment| matches!(&segment[..], b"." | b".."))
}
