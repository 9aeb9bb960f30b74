//! Data centres and regions.

use monsooncart_types::id;

/// A data centre and its region.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name of the data centre.
    pub data_centre: id::DataCentre,
    /// Name of the region that contains it.
    pub region: id::Region,
}
