//! Deployments whose servers register themselves and whose callers resolve addresses through a
//! directory.
//!
//! [`Protocols`] abstracts what differs between deployments: the store's protocol, the directory's
//! protocol and the names of headers. The proxy, the cluster engine and the policies are the same
//! as in other deployments.
//!
//! Traffic between data centres is assumed to cost much more than traffic inside one. Members
//! therefore probe each other only inside their data centre, each data centre has its own watcher
//! of the store, and callers are directed to daemons in their own data centre.

pub mod allowances;
pub mod discovery;
pub mod endpoints;
pub mod entries;
pub mod evidence;
pub mod observers;
pub mod paths;

use std::collections::BTreeSet;
use std::net;
use std::sync::Arc;
use std::time::Duration;

use monsooncart_cluster::config as cluster;
use monsooncart_cluster::spread::source;
use monsooncart_config::settings;
use monsooncart_policy::membership::timings;
use monsooncart_policy::selector::budget;
use monsooncart_proxy::{host_routing, pool};
use monsooncart_store::{client, dialect, memory};
use monsooncart_types::{id, rate};

use crate::{components, error};

/// Timeout for connecting to the store, which usually responds within a few milliseconds.
const STORE_CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout of a call to the store, excluding the wait of a watch; a slow store takes some tenths of
/// a second.
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time without an acknowledgement after which a connection to the store is closed; keepalive
/// probes have a resolution of whole seconds.
const STORE_ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a watch waits for a change; bounds the time until the loss of the store, or of the
/// daemon that watches, is noticed.
const WATCH_WAIT: Duration = Duration::from_millis(1000);

/// Timeout of the response to a watch, in addition to its wait.
const WATCH_RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// Age of the last response from the store after which more daemons watch it: one wait plus the response
/// of a slow store. A change must be in force within two seconds, also if the daemons that watch are
/// lost just before it.
const STALE_AFTER: Duration = Duration::from_millis(1400);

/// Timeout of an anti-entropy call or a pull from a peer: half of the two seconds within which a
/// change must be in force.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay after a failed call to the store.
const STORE_BACKOFF: Duration = Duration::from_millis(400);

/// Time for which servers that are missing from the store after its outage are retained: live
/// servers register again within two seconds.
const MISSING_SERVER_RETENTION: Duration = Duration::from_millis(2200);

/// Silence of the store from which entries of live servers may have expired. They expire after three
/// heartbeat intervals of 1.5 s, the first of which may precede the silence.
const MIN_EXPIRY_SILENCE: Duration = Duration::from_secs(2);

/// Bandwidth used per core, in Mbit/s: about 700 requests per second of 70 KB each.
const LINK_MBPS_PER_CORE: f64 = 400.0;

/// Share of the link on which the routing is served to other daemons; the rest is left for
/// callers' responses and membership probes.
const UPLOAD_LINK_SHARE: f64 = 0.4;

/// Share of the VM's memory that bodies may take; connections, tables and the process itself take the
/// rest.
const BODY_MEMORY_SHARE: f64 = 0.25;

const BYTES_PER_MEGABYTE: f64 = 1_000_000.0;

/// Bytes per second of one Mbit/s.
const BYTES_PER_SECOND_PER_MBPS: f64 = 125_000.0;

/// Timeout for connecting to a server in the same region.
const SERVER_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Idle time up to which a pooled connection to a server serves attempts that need a fresh one.
const SERVER_FRESHNESS_WINDOW: Duration = Duration::from_secs(1);

/// Idle time after which connections to servers are closed, which is before the servers close them.
const SERVER_IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Time without an acknowledgement after which a connection to a server is closed.
const SERVER_ACK_TIMEOUT: Duration = Duration::from_millis(1500);

/// Protocols of one kind of deployment.
#[derive(Clone)]
pub struct Protocols {
    /// Protocol of the store.
    pub store: Arc<dyn dialect::Dialect>,
    /// Mapping of the store's objects to configuration objects.
    pub source: Arc<dyn source::Source>,
    /// Names of request and response headers.
    pub headers: host_routing::HeaderNames,
    /// Protocol of the directory and of readiness checks.
    pub discovery: Arc<dyn discovery::Codec>,
}

/// Connects to the store named in the settings.
///
/// # Errors
///
/// Returns an error if the settings embed a fleet, as its servers do not register themselves.
pub fn open_store(
    settings: &settings::Settings,
    protocols: &Protocols,
) -> Result<components::Platform, error::Error> {
    let address = match &settings.platform {
        settings::Platform::Remote(address) => *address,
        settings::Platform::Embedded(_) => return Err(error::Error::Embedded),
    };
    let timeouts = client::Timeouts {
        connect: STORE_CONNECT_TIMEOUT,
        call: STORE_CALL_TIMEOUT,
        keepalive: STORE_ACK_TIMEOUT,
    };
    let store = client::Client::with_dialect(address, protocols.store.clone(), timeouts);
    Ok(components::Platform {
        store: Arc::new(store),
        vms: Arc::new(memory::Memory::default()),
    })
}

/// Retry budget of a service. The daemon and the seeds at other addresses are daemons that there are
/// at least.
#[must_use]
pub fn retry_limits(settings: &settings::Settings, gateway: &settings::Gateway) -> budget::Limits {
    let own = settings.peers.ip();
    let seeds: BTreeSet<_> = settings.seeds.iter().map(net::SocketAddr::ip).collect();
    let others = seeds.iter().filter(|seed| **seed != own).count();
    budget::Limits {
        share: gateway.retries.share,
        slack: gateway.retries.slack,
        window: gateway.retries.window.0,
        min_daemons: u32::try_from(others + 1).unwrap_or(u32::MAX),
    }
}

/// Maximum number of bytes of bodies that the daemon holds; `None` for no bound.
#[must_use]
pub fn max_body_bytes(settings: &settings::Settings) -> Option<u64> {
    let memory_mb = settings.gateway.as_ref()?.memory_mb?;
    Some((memory_mb * BYTES_PER_MEGABYTE * BODY_MEMORY_SHARE) as u64)
}

/// Bytes per second of the VM's link, if they are known.
#[must_use]
pub fn link_rate(settings: &settings::Settings) -> Option<rate::Rate> {
    let link_mbps = settings.gateway.as_ref()?.link_mbps;
    let is_known = link_mbps > 0.0;
    is_known.then_some(rate::Rate(link_mbps * BYTES_PER_SECOND_PER_MBPS))
}

/// Limits of the connection pools to servers. Connections are opened from the address at which the
/// VM is known, so that servers and firewalls see the same address as callers.
#[must_use]
pub fn pool_limits(settings: &settings::Settings) -> pool::Limits {
    let address = settings.callers.ip();
    pool::Limits {
        local_address: (!address.is_unspecified()).then_some(address),
        idle_timeout: SERVER_IDLE_TIMEOUT,
        freshness_window: Some(SERVER_FRESHNESS_WINDOW),
        ack_timeout: Some(SERVER_ACK_TIMEOUT),
        connect_timeout: SERVER_CONNECT_TIMEOUT,
        ..pool::Limits::default()
    }
}

/// Timings of the cluster engine.
#[must_use]
pub fn cluster_timings() -> cluster::Timings {
    cluster::Timings {
        membership: timings::Timings {
            probe_interval: Duration::from_millis(500),
            suspicion_timeout: Duration::from_secs(2),
            gossip_interval: Duration::from_millis(100),
            ..timings::Timings::default()
        },
        max_watch_wait: WATCH_WAIT,
        answer_timeout: WATCH_RESPONSE_TIMEOUT,
        list_timeout: STORE_CALL_TIMEOUT,
        stale_after: STALE_AFTER,
        exchange_timeout: EXCHANGE_TIMEOUT,
        backoff: STORE_BACKOFF,
        watchers: 1,
        reads_at_start: true,
        removal_delay: MISSING_SERVER_RETENTION,
        expiry_time: MIN_EXPIRY_SILENCE,
        ..cluster::Timings::default()
    }
}

/// Capacity of the daemon in thousandths of a core, limited by its processor or its link.
#[must_use]
pub fn capacity_millicores(settings: &settings::Settings) -> u32 {
    let cores = settings.gateway.as_ref().map_or(1.0, |gateway| {
        gateway.cores.min(gateway.link_mbps / LINK_MBPS_PER_CORE)
    });
    (cores * 1000.0) as u32
}

/// Maximum rate at which the routing is served to other daemons, in bytes per second; zero means no
/// limit.
#[must_use]
pub fn upload_bytes_per_second(gateway: &settings::Gateway) -> f64 {
    gateway.link_mbps * BYTES_PER_SECOND_PER_MBPS * UPLOAD_LINK_SHARE
}

/// Region of the daemon for membership. In gateway deployments it is the data centre, as members
/// probe each other only inside their region and traffic between data centres costs the most.
#[must_use]
pub fn membership_region(settings: &settings::Settings) -> id::Region {
    let data_centre = settings.data_centre.as_str().parse();
    match (&settings.gateway, data_centre) {
        (Some(_), Ok(region)) => region,
        _ => settings.region.clone(),
    }
}

/// Addresses of the seeds' peer listeners.
#[must_use]
pub fn seed_addresses(settings: &settings::Settings) -> Vec<net::SocketAddr> {
    let port = settings.gateway.as_ref().and_then(|g| g.seeds_port);
    let seeds = settings.seeds.iter();
    let seed = |seed: &net::SocketAddr| {
        net::SocketAddr::new(seed.ip(), port.unwrap_or_else(|| seed.port()))
    };
    seeds.map(seed).collect()
}
