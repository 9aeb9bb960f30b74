//! Parser of zones.

use super::seen;
use crate::{reader, zone};

/// Parses a zone; its data centre must be unique.
pub(super) fn zone(
    reader: &mut reader::Reader<'_>,
    seen: &mut seen::Seen,
    node: &reader::Node<'_, '_>,
) -> Option<zone::Zone> {
    let expected = "a zone, an object with data_centre and region";
    let fields = reader.fields(node, expected, &["data_centre", "region"])?;
    let data_centre = reader.required(&fields, "data_centre", super::NAME);
    let data_centre = data_centre.and_then(|node| {
        let name = reader.parsed(&node, super::NAME)?;
        let all = &mut seen.data_centres.positions;
        seen::unique(reader, all, &node, "data centre", &name);
        Some(name)
    });
    seen.data_centres.incomplete |= data_centre.is_none();
    let region = reader.required(&fields, "region", super::NAME);
    let region = region.and_then(|node| reader.parsed(&node, super::NAME));
    Some(zone::Zone {
        data_centre: data_centre?,
        region: region?,
    })
}
