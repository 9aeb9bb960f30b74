//! Following changes: of the configuration and of the members.

use std::sync::Arc;

use monsooncart_config::{object, service, snapshot};
use monsooncart_types::{id, map};

use crate::{core, floors};

/// Puts each new configuration in force in the request path and the ledgers, and has the entry
/// sets follow it and the members.
pub async fn run(core: Arc<core::Core>, floors: Option<floors::Floors>) {
    let (Some(cluster), Some(proxy)) = (core.cluster(), core.proxy()) else {
        return;
    };
    let mut configurations = cluster.held().changes();
    let mut memberships = cluster.changes();
    let mut told = map::Map::<id::Service, u64>::default();
    loop {
        let snapshot = cluster.held().snapshot();
        let members = cluster.members();
        let moved = match &core.gateway {
            Some(gateway) => {
                let services = snapshot.services().map(|s| s.name.clone());
                let moved = gateway.follow(&members);
                services.filter(|_| moved).collect()
            }
            None => core.entries.update(&snapshot, &members),
        };
        if !Arc::ptr_eq(&snapshot, &proxy.snapshot()) {
            proxy.configure(snapshot.clone());
        }
        if let Some(floors) = &floors {
            for (service, version) in changed(&snapshot, &mut told) {
                floors.tell(floors::Input::Configuration(service, version));
            }
            for service in &moved {
                tell_holders(&core, floors, service);
            }
        }
        if !moved.is_empty() {
            proxy.refresh_daemon_counts();
        }
        tokio::select! {
            changed = configurations.changed() => if changed.is_err() {
                return;
            },
            changed = memberships.changed() => if changed.is_err() {
                return;
            },
        }
    }
}

/// The services that are at another version than was told.
fn changed(
    snapshot: &snapshot::Snapshot,
    told: &mut map::Map<id::Service, u64>,
) -> Vec<(Arc<service::Service>, u64)> {
    let mut changed = Vec::new();
    for service in snapshot.services() {
        let key = object::Key::Service(service.name.clone());
        let version = snapshot.version(&key).unwrap_or_default();
        if told.get(&service.name) != Some(&version) {
            told.insert(service.name.clone(), version);
            changed.push((service.clone(), version));
        }
    }
    changed
}

fn tell_holders(core: &core::Core, floors: &floors::Floors, service: &id::Service) {
    let set = core.entries.entry_set(service);
    let holders = set.iter().map(|m| m.instance).collect();
    floors.tell(floors::Input::Holders(service.clone(), holders));
}
