//! Servers that are removed, and that a backup of the platform lists again.

use std::time::Duration;

use monsooncart_config::service;
use monsooncart_types::{id, map};

use super::Service;

impl Service {
    /// Records which servers are removed, and which ones of those are there again; returns for how long any
    /// of these are held back.
    pub(super) fn record_removals(
        &self,
        spec: &service::Service,
        epoch_of: impl Fn(&id::Server) -> u64,
    ) -> Option<Duration> {
        let old = self.active_config.load();
        let listed: map::Set<&id::Server> = spec.servers.iter().map(|s| &s.name).collect();
        for server in old.servers.values() {
            let (name, started_millis) = (&server.spec.name, server.spec.started_millis);
            if !listed.contains(name) {
                self.common
                    .record_removed(name, started_millis, epoch_of(name));
            }
        }
        let added = spec
            .servers
            .iter()
            .filter(|server| !old.handles.contains_key(&server.name));
        let mut held_for = None;
        for server in added {
            let (name, started_millis) = (&server.name, server.started_millis);
            let held = self
                .common
                .record_listed(name, started_millis, epoch_of(name));
            if held.is_some() {
                log::info!(service:% = self.name, server:% = name; "config: server that was removed is in a backup of the platform; waiting for its removal");
            }
            held_for = held_for.max(held);
        }
        held_for
    }
}
