//! An in-memory platform that can be made unavailable.

use std::sync::Arc;

use monsooncart_config::{object as config, zone};
use monsooncart_store::{memory, object, store};
use monsooncart_testbed::local::outage;

/// Platform that answers while it is available.
pub struct Platform {
    pub outage: Arc<outage::Outage>,
}

impl Platform {
    pub fn new() -> Self {
        Self::with_memory(Arc::default())
    }

    /// Another link to the same platform, with outages of its own.
    pub fn other_link(&self) -> Self {
        Self::with_memory(self.outage.memory().clone())
    }

    fn with_memory(memory: Arc<memory::Memory>) -> Self {
        let outage = Arc::new(outage::Outage::new(memory));
        Self { outage }
    }

    pub fn set_available(&self, available: bool) {
        self.outage.set_unavailable(!available);
    }

    /// Writes an object and returns its version.
    pub async fn write(&self, key: &config::Key, value: &config::Value) -> u64 {
        let key = key.to_string();
        let written = store::Store::put(
            self.outage.memory().as_ref(),
            &key,
            value.encode(),
            object::Condition::Always,
        );
        written.await.unwrap().0
    }
}

/// Zones with a single data centre.
pub fn zones(data_centre: &str) -> config::Value {
    config::Value::Zones(vec![zone::Zone {
        data_centre: data_centre.parse().unwrap(),
        region: "attica".parse().unwrap(),
    }])
}
