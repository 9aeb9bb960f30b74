//! Parser of organisations.

use monsooncart_types::id;

use super::seen;
use crate::{error, organisation, reader, warning};

/// Description of valid key digests, for error messages.
const KEYS: &str = "a list of key digests";

/// Description of a valid key digest, for error messages.
const KEY: &str = "the SHA-256 digest of a bearer key, 64 hexadecimal digits";

/// Description of a valid list of services, for error messages.
const SERVICES: &str = "a list of services of this file";

/// Parses an organisation; its name and keys must be unique, and its services must exist.
pub(super) fn parse(
    reader: &mut reader::Reader<'_>,
    seen: &mut seen::Seen,
    node: &reader::Node<'_, '_>,
) -> Option<organisation::Organisation> {
    let expected = "an organisation, an object with name and keys";
    let fields = reader.read_fields(node, expected, &["name", "keys", "services", "weight"])?;
    let name = reader.require_field(&fields, "name", super::NAME);
    let name = name.and_then(|node| {
        let name = reader.read_from_str(&node, super::NAME)?;
        let positions = &mut seen.organisations;
        seen::record_unique(reader, positions, &node, "organisation", &name);
        Some(name)
    });
    let keys = reader.require_field(&fields, "keys", KEYS);
    let keys = keys.and_then(|node| parse_keys(reader, seen, &node));
    let services = match fields.get("services") {
        Some(node) => parse_services(reader, seen, &node),
        None => Some(Vec::new()),
    };
    let weight = fields.get("weight");
    let weight = weight.map_or(Some(1), |node| reader.read_count(&node));
    let organisation = organisation::Organisation {
        name: name?,
        keys: keys?,
        services: services?,
        weight: weight?,
    };
    if organisation.keys.is_empty() {
        reader.warn(node, warning::Cause::NoKey);
    }
    Some(organisation)
}

fn parse_keys(
    reader: &mut reader::Reader<'_>,
    seen: &mut seen::Seen,
    node: &reader::Node<'_, '_>,
) -> Option<Vec<organisation::Digest>> {
    let mut keys = Vec::new();
    for node in reader.read_list(node, KEYS)? {
        let Some(text) = reader.read_string(&node, KEY) else {
            continue;
        };
        let Ok(key) = text.parse() else {
            // The text is not quoted, since it may be the bearer key itself.
            let value = format!("a text of {} characters", text.chars().count());
            let expected = KEY.to_owned();
            reader.report_error(&node, error::Problem::Value { value, expected });
            continue;
        };
        seen::record_unique(reader, &mut seen.keys, &node, "key digest", &key);
        keys.push(key);
    }
    Some(keys)
}

fn parse_services(
    reader: &mut reader::Reader<'_>,
    seen: &seen::Seen,
    node: &reader::Node<'_, '_>,
) -> Option<Vec<id::Service>> {
    let mut services = Vec::new();
    for node in reader.read_list(node, SERVICES)? {
        let Some(name) = reader.read_from_str(&node, super::NAME) else {
            continue;
        };
        seen::check_reference(reader, &seen.services, &node, "service", &name);
        services.push(name);
    }
    Some(services)
}
