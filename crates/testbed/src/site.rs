//! A small deployment on the users' platform, for tests and the soak test: the platform's
//! configuration and the settings of the daemons.

use std::net;

use serde_json::{Value, json};

/// Host name of all routes.
pub const HOST: &str = "shop.example";

/// Name of the main service.
pub const SERVICE: &str = "desk";

/// Data centre of all daemons and servers.
pub const ZONE: &str = "north-a";

/// Port of the daemons' directory listener.
pub const DIRECTORY_PORT: u16 = 7101;

/// Port of the daemons' readiness listener.
pub const READINESS_PORT: u16 = 7102;

/// Port of the daemons' listener for callers.
pub const CALLERS_PORT: u16 = 7103;

/// Port of the daemons' listener for operators.
pub const ADMIN_PORT: u16 = 7104;

/// Port of the daemons' listener for other daemons.
pub const PEERS_PORT: u16 = 7105;

/// An organisation of a configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub name: &'static str,
    /// Key of its callers.
    pub key: &'static str,
    /// Requests per second that all daemons together admit; none for no limit.
    pub rate: Option<f64>,
    /// Requests that may come at once.
    pub burst: f64,
}

impl Organisation {
    /// The organisation as an entry of the platform's configuration.
    #[must_use]
    pub fn entry(&self) -> Value {
        json!({
            "name": self.name,
            "api_keys": [self.key],
            "rate_per_s": self.rate.unwrap_or_default(),
            "burst": self.burst,
        })
    }
}

/// Creates a route of the platform's configuration for the paths with a prefix. The type is `safe`
/// or `unsafe`.
#[must_use]
pub fn rule(prefix: &str, route_type: &str, service: &str) -> Value {
    json!({
        "name": format!("r{}", prefix.replace('/', "-")),
        "route_type": route_type,
        "target_latency_s": 0.8,
        "priority": 1,
        "match": {"path_prefix": prefix},
        "action": {"backend": service, "timeout_s": 3.0, "attempts": 2},
    })
}

/// Creates the platform's configuration with the given routes.
#[must_use]
pub fn configuration(version: u64, rules: &[Value]) -> Value {
    json!({
        "config_version": version,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1_048_576,
            "header_timeout_s": 3.0,
            "idle_timeout_s": 15.0,
        },
        "listeners": [{"hostname": HOST, "rules": rules}],
        "clusters": [
            {"name": SERVICE, "health_path": "/health", "max_connections": 330},
            {"name": "other", "health_path": "/health", "max_connections": 330},
        ],
    })
}

/// Creates the settings of a daemon at `ip`, as the template in `deploy/` does. `advertised` is the
/// address at which other daemons reach it, if it differs from its own.
#[must_use]
pub fn settings(
    ip: net::IpAddr,
    store: net::SocketAddr,
    seeds: &[net::SocketAddr],
    advertised: Option<net::SocketAddr>,
) -> Value {
    let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    let address_at = |port: u16| net::SocketAddr::from((ip, port)).to_string();
    let mut settings = json!({
        "name": format!("edge-{}", ip.to_string().replace('.', "-")),
        "data_centre": ZONE,
        "region": "north",
        "callers": address_at(CALLERS_PORT),
        "admin": address_at(ADMIN_PORT),
        "peers": address_at(PEERS_PORT),
        "platform": {"address": store.to_string()},
        "seeds": seeds,
        "entry_lifetime": "1s",
        "entry_count": 3,
        "gateway": {
            "directory": address_at(DIRECTORY_PORT),
            "readiness": address_at(READINESS_PORT),
            "cores": 1,
            "link_mbps": 1000,
            "seeds_port": PEERS_PORT,
            "grace": "6s",
            "lifetime_max": "5s",
            "retries": {"share": 0.2, "slack": 50, "window": "10s"},
            "memory_mb": 260,
            "wait_for_room": true,
            "cover_servers": true,
            "allowance_tolerance": {"share": 0.1, "requests": 20, "window": "5s"},
        },
    });
    if let Some(advertised) = advertised {
        settings["advertise_peers"] = json!(advertised.to_string());
    }
    settings
}
