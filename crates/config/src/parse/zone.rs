//! Parser of zones.

use super::seen;
use crate::{reader, zone};

/// Parses a zone; its data centre must be unique.
pub(super) fn parse(
    reader: &mut reader::Reader<'_>,
    seen: &mut seen::Seen,
    node: &reader::Node<'_, '_>,
) -> Option<zone::Zone> {
    let expected = "a zone, an object with data_centre and region";
    let fields = reader.read_fields(node, expected, &["data_centre", "region"])?;
    let data_centre = reader.require_field(&fields, "data_centre", super::NAME);
    let data_centre = data_centre.and_then(|node| {
        let name = reader.read_from_str(&node, super::NAME)?;
        let positions = &mut seen.data_centres.positions;
        seen::record_unique(reader, positions, &node, "data centre", &name);
        Some(name)
    });
    seen.data_centres.is_incomplete |= data_centre.is_none();
    let region = reader.require_field(&fields, "region", super::NAME);
    let region = region.and_then(|node| reader.read_from_str(&node, super::NAME));
    Some(zone::Zone {
        data_centre: data_centre?,
        region: region?,
    })
}
