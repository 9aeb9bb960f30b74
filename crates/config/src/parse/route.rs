//! Parser of routes.

use bytes::Bytes;

use super::seen;
use crate::{error, reader, route, warning};

const MAX_METHOD_BYTES: usize = 20;

const MAX_PATH_BYTES: usize = 1000;

/// First path segment reserved for the fleet's own API.
const RESERVED_SEGMENT: &str = "v1";

/// Description of a valid list of methods, for error messages.
const METHODS: &str = "a list of methods such as [\"GET\", \"HEAD\"]";

/// Description of a valid method, for error messages.
const METHOD: &str = "a method in upper case other than CONNECT, such as \"GET\"";

/// Description of a valid path pattern, for error messages.
const PATH: &str = "a path pattern that starts with \"/\", of literal segments, \"*\" for one \
                    segment and a closing \"**\" for any rest, such as \"/stories/*/purchase\"";

/// Description of a valid ticket rule, for error messages.
const TICKET: &str = "\"none\", \"accepted\" or \"required\"";

const FIELDS: &[&str] = &[
    "methods",
    "path",
    "repeatable",
    "ticket",
    "timeout",
    "body_limit",
];

/// Parses a route; it must not match the same path and method as an earlier one.
pub(super) fn parse(
    reader: &mut reader::Reader<'_>,
    seen: &mut seen::Seen,
    node: &reader::Node<'_, '_>,
) -> Option<route::Route> {
    let expected = "a route, an object with path, repeatable and timeout";
    let fields = reader.read_fields(node, expected, FIELDS)?;
    let methods = match fields.get("methods") {
        Some(node) => parse_methods(reader, &node),
        None => Some(Vec::new()),
    };
    let path_node = reader.require_field(&fields, "path", PATH);
    let path = path_node.as_ref().and_then(|node| parse_path(reader, node));
    let repeatable = reader.require_field(&fields, "repeatable", super::BOOLEAN);
    let repeatable = repeatable.and_then(|node| reader.read_bool(&node));
    let ticket = match fields.get("ticket") {
        Some(node) => reader.read_from_str(&node, TICKET),
        None => Some(route::Ticket::None),
    };
    let timeout = reader.require_field(&fields, "timeout", super::SPAN);
    let timeout = timeout.and_then(|node| super::parse_span(reader, &node));
    let body_limit = fields.get("body_limit");
    let body_limit = body_limit.and_then(|node| super::parse_size(reader, &node));
    let route = route::Route {
        methods: methods?,
        path: path?,
        repeatable: repeatable?,
        ticket: ticket?,
        timeout: timeout?,
        body_limit,
    };
    if !route.repeatable && route.ticket == route::Ticket::None {
        reader.warn(node, warning::Cause::NoTicket);
    }
    seen.record_route(reader, path_node.as_ref().unwrap_or(node), &route);
    Some(route)
}

fn parse_methods(
    reader: &mut reader::Reader<'_>,
    node: &reader::Node<'_, '_>,
) -> Option<Vec<String>> {
    let mut methods: Vec<String> = Vec::new();
    for node in reader.read_list(node, METHODS)? {
        let Some(method) = reader.read_string(&node, METHOD) else {
            continue;
        };
        let is_upper_case = method.bytes().all(|b| b.is_ascii_uppercase() || b == b'-');
        let is_allowed =
            !method.is_empty() && method.len() <= MAX_METHOD_BYTES && method != "CONNECT";
        if !is_upper_case || !is_allowed {
            reader.report_unexpected(&node, METHOD);
        } else if methods.iter().any(|earlier| earlier == method) {
            let problem = error::Problem::Duplicate {
                kind: "method",
                value: method.to_owned(),
                line: reader.line(node.start()),
            };
            reader.report_error(&node, problem);
        } else {
            methods.push(method.to_owned());
        }
    }
    Some(methods)
}

fn parse_path(reader: &mut reader::Reader<'_>, node: &reader::Node<'_, '_>) -> Option<Bytes> {
    let path = reader.read_string(node, PATH)?;
    let Some(rest) = path
        .strip_prefix('/')
        .filter(|_| path.len() <= MAX_PATH_BYTES)
    else {
        reader.report_unexpected(node, PATH);
        return None;
    };
    let segments: Vec<_> = rest.split('/').collect();
    if segments[0] == RESERVED_SEGMENT {
        reader.report_unexpected(node, "a path outside \"/v1\", which is the fleet's own");
        return None;
    }
    let last = segments.len() - 1;
    let is_valid = segments.iter().enumerate().all(|(index, segment)| {
        *segment == "*" || is_literal(segment, index == last) || (*segment == "**" && index == last)
    });
    if !is_valid {
        reader.report_unexpected(node, PATH);
        return None;
    }
    Some(Bytes::copy_from_slice(path.as_bytes()))
}

/// Whether a segment is a valid literal; only the last one may be empty, as in `/` and `/a/`.
fn is_literal(segment: &str, is_last: bool) -> bool {
    let is_plain = |b: u8| b.is_ascii_graphic() && !matches!(b, b'*' | b'?' | b'#' | b'"' | b'\\');
    segment.bytes().all(is_plain) && (is_last || !segment.is_empty())
}
