//! Applies changes of the configuration and of the membership to the daemon's components.

use std::sync::Arc;

use monsooncart_config::{object, service, snapshot};
use monsooncart_types::{id, map};
use tokio::sync::watch;

use crate::gateway::paths;
use crate::{core, floors};

/// Applies each new configuration to the proxy and the ejection ledgers, and updates the entry sets
/// on changes of the configuration or the membership.
pub async fn run(core: Arc<core::Core>, floors: Option<floors::Handle>) {
    let (Some(cluster), Some(proxy)) = (core.cluster(), core.proxy()) else {
        return;
    };
    let mut configurations = cluster.replica().changes();
    let mut memberships = cluster.changes();
    let mut paths = core.gateway_paths.as_ref().map(paths::Paths::changes);
    let mut paths_changed = false;
    let mut sent_versions = map::Map::<id::Service, u64>::default();
    loop {
        let snapshot = cluster.replica().snapshot();
        let members = cluster.members();
        let changed_sets = match &core.gateway_entries {
            Some(entries) => {
                let services = snapshot.services().map(|s| s.name.clone());
                if let Some(paths) = &core.gateway_paths {
                    paths.retain_members(&members);
                }
                let lost = core.gateway_paths.as_ref().map(paths::Paths::lost_daemons);
                let has_changed = entries.update(&members, &lost.unwrap_or_default());
                if let Some(allowances) = core.gateway_allowances.as_ref().filter(|_| has_changed) {
                    let data_centre = &core.settings.data_centre;
                    allowances.set_holders(core.now(), data_centre, &entries.all());
                }
                services.filter(|_| has_changed).collect()
            }
            None => core.entries.update(&snapshot, &members),
        };
        if !Arc::ptr_eq(&snapshot, &proxy.snapshot()) {
            proxy.configure(snapshot.clone());
        }
        if let Some(floors) = &floors {
            for (service, version) in take_changed_services(&snapshot, &mut sent_versions) {
                floors.send(floors::Input::Configuration(service, version));
            }
            for service in &changed_sets {
                send_holders(&core, floors, service);
            }
        }
        if !changed_sets.is_empty() || paths_changed {
            proxy.refresh_daemons();
        }
        paths_changed = false;
        tokio::select! {
            () = wait_for_change(&mut paths) => paths_changed = true,
            changed = configurations.changed() => if changed.is_err() {
                return;
            },
            changed = memberships.changed() => if changed.is_err() {
                return;
            },
        }
    }
}

/// Waits for a change of the lost paths; forever if there are none to follow.
async fn wait_for_change(paths: &mut Option<watch::Receiver<u64>>) {
    let changed = match paths {
        Some(paths) => paths.changed().await,
        None => std::future::pending().await,
    };
    if changed.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Services whose version differs from the last one sent; records the new versions as sent.
fn take_changed_services(
    snapshot: &snapshot::Snapshot,
    sent_versions: &mut map::Map<id::Service, u64>,
) -> Vec<(Arc<service::Service>, u64)> {
    let mut changed = Vec::new();
    for service in snapshot.services() {
        let key = object::Key::Service(service.name.clone());
        let version = snapshot.version(&key).unwrap_or_default();
        if sent_versions.get(&service.name) != Some(&version) {
            sent_versions.insert(service.name.clone(), version);
            changed.push((service.clone(), version));
        }
    }
    changed
}

fn send_holders(core: &core::Core, floors: &floors::Handle, service: &id::Service) {
    let set = core.entries.entry_set(service);
    let holders = set.iter().map(|m| m.instance).collect();
    floors.send(floors::Input::Holders(service.clone(), holders));
}
