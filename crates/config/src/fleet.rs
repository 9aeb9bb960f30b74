//! The fleet configuration: zones, services with their servers, organisations.

use std::path;

use crate::{error, organisation, report, service, text, zone};

/// The fleet configuration: the inventory from the asset register and the operators' rules.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// All data centres of servers and daemons.
    pub zones: Vec<zone::Zone>,
    /// Services, each with its servers, routes and rules.
    pub services: Vec<service::Service>,
    /// Organisations that may send requests.
    pub organisations: Vec<organisation::Organisation>,
}

impl Fleet {
    /// Reads, parses and validates a fleet file.
    ///
    /// # Errors
    ///
    /// Returns all problems of the text, or one if the file cannot be read.
    pub fn read(path: &path::Path) -> Result<report::Report<Self>, error::Errors> {
        let text = text::read(path)?;
        Self::parse(&path.to_string_lossy(), &text)
    }
}
