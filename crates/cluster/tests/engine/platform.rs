//! An in-memory platform that can be taken away.

use std::sync::Arc;

use monsooncart_config::{object as config, zone};
use monsooncart_store::{memory, object, store};
use monsooncart_testbed::local::outage;

/// The platform, which answers while it is up.
pub struct Platform {
    pub outage: Arc<outage::Outage>,
}

impl Platform {
    pub fn new() -> Self {
        Self::over(Arc::default())
    }

    /// Another way to the same platform, which can be cut on its own.
    pub fn other_way(&self) -> Self {
        Self::over(self.outage.memory().clone())
    }

    fn over(memory: Arc<memory::Memory>) -> Self {
        let outage = Arc::new(outage::Outage::new(memory));
        Self { outage }
    }

    pub fn set_up(&self, up: bool) {
        self.outage.set(!up);
    }

    /// Writes an object, and gives its version.
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

/// Zones with one data centre of this name.
pub fn zones(data_centre: &str) -> config::Value {
    config::Value::Zones(vec![zone::Zone {
        data_centre: data_centre.parse().unwrap(),
        region: "attica".parse().unwrap(),
    }])
}
