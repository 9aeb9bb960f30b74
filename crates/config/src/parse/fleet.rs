//! Parser of fleets.

use jsonc_parser::ast;
use monsooncart_types::map;

use super::{organisation, seen, service, zone};
use crate::{error, fleet, object, reader, report, warning};

/// Description of valid zones, for error messages.
const ZONES: &str = "a list of zones";

/// Description of valid services, for error messages.
const SERVICES: &str = "a list of services";

/// Description of valid organisations, for error messages.
const ORGANISATIONS: &str = "a list of organisations";

/// Parser of one list element.
type ParseElement<T> =
    fn(&mut reader::Reader<'_>, &mut seen::Seen, &reader::Node<'_, '_>) -> Option<T>;

impl fleet::Fleet {
    /// Parses and validates a fleet; `file` is its name in messages.
    ///
    /// # Errors
    ///
    /// Returns all problems of the text, in the order of their positions.
    pub fn parse(file: &str, text: &str) -> Result<report::Report<Self>, error::Errors> {
        let mut reader = reader::Reader::new(file, text);
        let root = reader.parse();
        let root = root.as_ref().map(|value| reader::Node {
            path: String::new(),
            value,
        });
        let fleet = root.and_then(|root| parse_fleet(&mut reader, &root));
        reader.finish(fleet)
    }
}

/// Parses zones, services and organisations in this order, whatever their order in the file, because
/// servers refer to data centres and organisations to services.
fn parse_fleet(
    reader: &mut reader::Reader<'_>,
    root: &reader::Node<'_, '_>,
) -> Option<fleet::Fleet> {
    let expected = "a fleet, an object with zones, services and organisations";
    let fields = reader.read_fields(root, expected, &["zones", "services", "organisations"])?;
    let mut seen = seen::Seen::default();
    let zones = reader.require_field(&fields, "zones", ZONES);
    let zones = zones.and_then(|node| parse_list(reader, &mut seen, &node, ZONES, zone::parse));
    seen.data_centres.is_incomplete |= zones.is_none();
    let services_node = reader.require_field(&fields, "services", SERVICES);
    let services = services_node
        .as_ref()
        .and_then(|node| parse_list(reader, &mut seen, node, SERVICES, service::parse));
    seen.services.is_incomplete |= services_node.is_none();
    let organisations_node = reader.require_field(&fields, "organisations", ORGANISATIONS);
    let organisations = organisations_node.as_ref().and_then(|node| {
        let parse_element = organisation::parse;
        parse_list(reader, &mut seen, node, ORGANISATIONS, parse_element)
    });
    let fleet = fleet::Fleet {
        zones: zones?,
        services: services?,
        organisations: organisations?,
    };
    let services_node = services_node?;
    if fleet.services.is_empty() {
        reader.warn(&services_node, warning::Cause::NoService);
    }
    validate_sizes(reader, &fleet, &services_node, &organisations_node?);
    Some(fleet)
}

/// Parses all elements of a list; `None` if any of them is invalid.
fn parse_list<T>(
    reader: &mut reader::Reader<'_>,
    seen: &mut seen::Seen,
    node: &reader::Node<'_, '_>,
    expected: &str,
    parse_element: ParseElement<T>,
) -> Option<Vec<T>> {
    let nodes = reader.read_list(node, expected)?;
    let values: Vec<_> = nodes
        .iter()
        .map(|node| parse_element(reader, seen, node))
        .collect();
    values.into_iter().collect()
}

/// Reports objects that exceed the platform's size limit.
fn validate_sizes(
    reader: &mut reader::Reader<'_>,
    fleet: &fleet::Fleet,
    services: &reader::Node<'_, '_>,
    organisations: &reader::Node<'_, '_>,
) {
    let indices: map::Map<_, _> = fleet.services.iter().map(|s| &s.name).zip(0..).collect();
    for (key, value) in object::split(fleet) {
        let size = value.encode().len();
        if size <= object::MAX_OBJECT_BYTES {
            continue;
        }
        let problem = error::Problem::TooLarge {
            key: key.to_string(),
            size,
            limit: object::MAX_OBJECT_BYTES,
        };
        let element = match &key {
            object::Key::Service(name) => indices
                .get(name)
                .and_then(|index| list_element(services, *index)),
            _ => None,
        };
        let node = match &key {
            object::Key::Organisations(_) => organisations,
            _ => services,
        };
        reader.report_error(element.as_ref().unwrap_or(node), problem);
    }
}

fn list_element<'v, 't>(list: &reader::Node<'v, 't>, index: usize) -> Option<reader::Node<'v, 't>> {
    let ast::Value::Array(array) = list.value else {
        return None;
    };
    let value = array.elements.get(index)?;
    let path = format!("{}[{index}]", list.path);
    Some(reader::Node { path, value })
}
