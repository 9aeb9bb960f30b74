//! A panic in a long-lived task ends neither the process nor the task's work.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use monsooncart_cluster::spread::{held, source};
use monsooncart_config::object as config;
use monsooncart_store::object;

use crate::fixture;
use crate::platform::{self, Platform};

/// Number of objects whose decoding panics.
const PANICS: u32 = 2;

/// Decodes objects like [`source::Native`], but panics at the first ones.
#[derive(Default)]
struct Panicking {
    decoded: AtomicU32,
}

impl source::Source for Panicking {
    fn prefixes(&self) -> &[&'static str] {
        source::Native.prefixes()
    }

    fn decode(&self, object: &object::Object) -> Option<held::Object> {
        let decoded = self.decoded.fetch_add(1, Ordering::SeqCst);
        assert!(decoded >= PANICS, "object {decoded} cannot be decoded");
        source::Native.decode(object)
    }

    fn key(&self, prefix: &str, key: &config::Key) -> Option<String> {
        source::Native.key(prefix, key)
    }
}

#[tokio::test]
async fn the_store_is_watched_again_after_an_object_that_makes_the_watch_panic() {
    let platform = Platform::new();
    let source = Arc::new(Panicking::default());
    let daemon = fixture::settings("vm-0", &fixture::recorder()).source(source.clone());
    let daemon = daemon.store(platform.outage.clone()).start().await.unwrap();

    let zones = platform::zones("attica-a");
    let version = platform.write(&config::Key::Zones, &zones).await;

    let stored = || daemon.replica().snapshot().version(&config::Key::Zones) == Some(version);
    fixture::eventually("configuration stored", stored).await;
    assert!(source.decoded.load(Ordering::SeqCst) > PANICS);
}
