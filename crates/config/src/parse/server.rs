//! Parser of backend servers.

use std::net;

use super::seen;
use crate::{reader, server, warning};

/// Description of a valid server address, for error messages.
const ADDRESS: &str = "the address of a server, an IP number and a port such as \"10.0.0.1:80\"";

const FIELDS: &[&str] = &[
    "name",
    "address",
    "data_centre",
    "slots",
    "connections",
    "leaving",
];

/// Parses a server; its name and address must be unique, and its data centre must exist.
pub(super) fn parse(
    reader: &mut reader::Reader<'_>,
    seen: &mut seen::Seen,
    node: &reader::Node<'_, '_>,
) -> Option<server::Server> {
    let expected = "a server, an object with name, address, data_centre, slots and connections";
    let fields = reader.read_fields(node, expected, FIELDS)?;
    let name = reader.require_field(&fields, "name", super::NAME);
    let name = name.and_then(|node| {
        let name = reader.read_from_str(&node, super::NAME)?;
        seen::record_unique(reader, &mut seen.servers, &node, "server", &name);
        Some(name)
    });
    let address = reader.require_field(&fields, "address", ADDRESS);
    let address = address.and_then(|node| parse_address(reader, seen, &node));
    let data_centre = reader.require_field(&fields, "data_centre", super::DATA_CENTRE);
    let data_centre = data_centre.and_then(|node| {
        let name = reader.read_from_str(&node, super::DATA_CENTRE)?;
        seen::check_reference(reader, &seen.data_centres, &node, "data centre", &name);
        Some(name)
    });
    let slots = reader.require_field(&fields, "slots", super::COUNT);
    let slots = slots.and_then(|node| reader.read_count(&node));
    let connections = reader.require_field(&fields, "connections", super::COUNT);
    let connections = connections.and_then(|node| reader.read_count(&node));
    let leaving = fields.get("leaving");
    let leaving = leaving.and_then(|node| reader.read_bool(&node));
    let server = server::Server {
        name: name?,
        address: address?,
        data_centre: data_centre?,
        slots: slots?,
        connections: connections?,
        leaving: leaving.unwrap_or(false),
        remaining_warm_up: monsooncart_types::span::Span::default(),
        started_millis: 0,
    };
    let (connections, slots) = (server.connections, server.slots);
    if connections < slots {
        let cause = warning::Cause::FewConnections { connections, slots };
        reader.warn(node, cause);
    }
    Some(server)
}

fn parse_address(
    reader: &mut reader::Reader<'_>,
    seen: &mut seen::Seen,
    node: &reader::Node<'_, '_>,
) -> Option<net::SocketAddr> {
    let address: net::SocketAddr = reader.read_from_str(node, ADDRESS)?;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        reader.report_unexpected(node, ADDRESS);
        return None;
    }
    seen::record_unique(reader, &mut seen.addresses, node, "address", &address);
    Some(address)
}
