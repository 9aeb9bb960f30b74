//! In-process platform, loaded from a fleet file.

use std::path;
use std::sync::Arc;

use monsooncart_config::{fleet, object};
use monsooncart_store::{memory, object as stored, store::Store as _};

use crate::error;

/// Reads and validates a fleet file and stores its objects in memory.
///
/// # Errors
///
/// Returns an error if the file cannot be read or is invalid.
pub async fn open(path: &path::Path) -> Result<Arc<memory::Memory>, error::Error> {
    let report = fleet::Fleet::read(path).map_err(error::Error::Fleet)?;
    for warning in &report.warnings {
        log::warn!(warning:% = warning; "config: fleet file has a warning");
    }
    let memory = Arc::new(memory::Memory::default());
    store_fleet(&memory, &report.value).await?;
    Ok(memory)
}

/// Stores a fleet's objects in memory.
///
/// # Errors
///
/// Returns an error if an object cannot be encoded or stored.
pub async fn store_fleet(
    memory: &memory::Memory,
    fleet: &fleet::Fleet,
) -> Result<(), error::Error> {
    for (key, value) in object::split(fleet) {
        let error = |reason: String| error::Error::Object {
            key: key.to_string(),
            reason,
        };
        let value = serde_json::to_vec(&value).map_err(|e| error(e.to_string()))?;
        let condition = stored::Condition::Always;
        let result = memory.put(&key.to_string(), value.into(), condition).await;
        result.map_err(|e| error(e.to_string()))?;
    }
    Ok(())
}
