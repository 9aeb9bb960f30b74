//! Parser of services.

use std::str;

use monsooncart_types::share;
use strum::VariantNames as _;

use super::{route, seen, server};
use crate::{objective, reader, rules, service, warning};

/// Description of a valid objective, for error messages.
const OBJECTIVE: &str = "an objective, an object with availability, fast and latency";

/// Description of valid routes, for error messages.
const ROUTES: &str = "a list of one route or more";

/// Description of valid servers, for error messages.
const SERVERS: &str = "a list of one server or more";

/// Description of a valid health endpoint path, for error messages.
const HEALTH_PATH: &str = "a path that starts with \"/\", such as \"/health\"";

const FIELDS: &[&str] = &[
    "name",
    "floor",
    "detection",
    "objective",
    "health_path",
    "routes",
    "servers",
];

/// Parses a service, which must have at least one route and one server.
pub(super) fn parse(
    reader: &mut reader::Reader<'_>,
    seen: &mut seen::Seen,
    node: &reader::Node<'_, '_>,
) -> Option<service::Service> {
    let expected = "a service, an object with name, floor, objective, routes and servers";
    let fields = reader.read_fields(node, expected, FIELDS)?;
    let name = reader.require_field(&fields, "name", super::NAME);
    let name = name.and_then(|node| {
        let name = reader.read_from_str(&node, super::NAME)?;
        seen::record_unique(
            reader,
            &mut seen.services.positions,
            &node,
            "service",
            &name,
        );
        Some(name)
    });
    seen.services.is_incomplete |= name.is_none();
    let floor_node = reader.require_field(
        &fields,
        "floor",
        "the share of its slots that ejections must leave in service, such as \"70%\"",
    );
    let floor = floor_node.as_ref();
    let floor = floor.and_then(|node| reader.read_from_str(node, super::SHARE));
    let detection = match fields.get("detection") {
        Some(node) => parse_detection(reader, &node),
        None => Some(rules::Detection::default()),
    };
    let objective = reader.require_field(&fields, "objective", OBJECTIVE);
    let objective = objective.and_then(|node| parse_objective(reader, &node));
    let health_path = match fields.get("health_path") {
        Some(node) => parse_health_path(reader, &node).map(Some),
        None => Some(None),
    };
    let routes = reader.require_field(&fields, "routes", ROUTES);
    let routes =
        routes.and_then(|node| parse_list(reader, &node, ROUTES, |r, n| route::parse(r, seen, n)));
    let servers = reader.require_field(&fields, "servers", SERVERS);
    let servers = servers
        .and_then(|node| parse_list(reader, &node, SERVERS, |r, n| server::parse(r, seen, n)));
    let service = service::Service {
        name: name?,
        floor: floor?,
        detection: detection?,
        objective: objective?,
        health_path: health_path?,
        routes: routes?,
        servers: servers?,
    };
    warn_about_floor(reader, floor_node.as_ref().unwrap_or(node), &service);
    Some(service)
}

/// Parses all elements of a non-empty list; `None` if any of them is invalid.
fn parse_list<T>(
    reader: &mut reader::Reader<'_>,
    node: &reader::Node<'_, '_>,
    expected: &str,
    mut parse_element: impl FnMut(&mut reader::Reader<'_>, &reader::Node<'_, '_>) -> Option<T>,
) -> Option<Vec<T>> {
    let nodes = reader.read_list(node, expected)?;
    if nodes.is_empty() {
        reader.report_unexpected(node, expected);
    }
    let values: Vec<_> = nodes
        .iter()
        .map(|node| parse_element(reader, node))
        .collect();
    values.into_iter().collect()
}

fn parse_detection(
    reader: &mut reader::Reader<'_>,
    node: &reader::Node<'_, '_>,
) -> Option<rules::Detection> {
    let names = rules::Detection::VARIANTS.join(", ");
    reader.read_from_str(node, &format!("one of {names}"))
}

fn parse_health_path(
    reader: &mut reader::Reader<'_>,
    node: &reader::Node<'_, '_>,
) -> Option<String> {
    let path = reader.read_string(node, HEALTH_PATH)?;
    if !path.starts_with('/') || !path.bytes().all(|b| b.is_ascii_graphic()) {
        reader.report_unexpected(node, HEALTH_PATH);
        return None;
    }
    Some(path.to_owned())
}

fn parse_objective(
    reader: &mut reader::Reader<'_>,
    node: &reader::Node<'_, '_>,
) -> Option<objective::Objective> {
    let fields = reader.read_fields(node, OBJECTIVE, &["availability", "fast", "latency"])?;
    let mut share = |name| {
        let node = reader.require_field(&fields, name, super::SHARE)?;
        let share: share::Share = reader.read_from_str(&node, super::SHARE)?;
        if share.fraction() >= 1.0 {
            reader.warn(&node, warning::Cause::NoBudget);
        }
        Some(share)
    };
    let availability = share("availability");
    let fast = share("fast");
    let latency = reader.require_field(&fields, "latency", super::SPAN);
    let latency = latency.and_then(|node| super::parse_span(reader, &node));
    Some(objective::Objective {
        availability: availability?,
        fast: fast?,
        latency: latency?,
    })
}

/// Warns about a floor that guarantees no capacity, that allows no ejection, or that exceeds the
/// capacity without the leaving servers.
fn warn_about_floor(
    reader: &mut reader::Reader<'_>,
    node: &reader::Node<'_, '_>,
    service: &service::Service,
) {
    let slots = service.slots();
    let floor = service.floor_slots();
    let ejectable = slots.saturating_sub(floor);
    let smallest = service.servers.iter().map(|s| u64::from(s.slots)).min();
    if floor == 0 {
        let floor = service.floor;
        reader.warn(node, warning::Cause::NoFloor { floor });
    } else if service.servers.len() > 1 && smallest.is_some_and(|smallest| ejectable < smallest) {
        let floor = service.floor;
        reader.warn(
            node,
            warning::Cause::NoEjection {
                floor,
                ejectable,
                slots,
            },
        );
    }
    let remaining = service.servers.iter().filter(|s| !s.leaving);
    let remaining: u64 = remaining.map(|s| u64::from(s.slots)).sum();
    if remaining < floor {
        reader.warn(node, warning::Cause::BelowFloor { remaining, floor });
    }
}
