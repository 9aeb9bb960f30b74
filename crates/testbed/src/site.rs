//! A small deployment on the users' platform: its configuration and the settings of its daemons, as
//! tests and the soak use them.

use std::net;

use serde_json::{Value, json};

/// Host of all routes.
pub const HOST: &str = "shop.example";

/// Service of the routes.
pub const SERVICE: &str = "desk";

/// Data centre of all daemons and servers.
pub const ZONE: &str = "north-a";

/// Port of the directory.
pub const DIRECTORY: u16 = 7101;

/// Port of readiness.
pub const READINESS: u16 = 7102;

/// Port of callers.
pub const CALLERS: u16 = 7103;

/// Port of operators.
const ADMIN: u16 = 7104;

/// Port between daemons.
pub const PEERS: u16 = 7105;

/// A route of a configuration.
#[must_use]
pub fn rule(prefix: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": format!("r{}", prefix.replace('/', "-")),
        "route_type": kind,
        "target_latency_s": 0.8,
        "priority": 1,
        "match": {"path_prefix": prefix},
        "action": {"backend": service, "timeout_s": 3.0, "attempts": 2},
    })
}

/// A configuration with these rules.
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

/// The settings of a daemon at `ip`, as the template of `deploy/` fills them in. Other daemons reach
/// it at `advertised` where that is not its own address.
#[must_use]
pub fn settings(
    ip: net::IpAddr,
    store: net::SocketAddr,
    seeds: &[net::SocketAddr],
    advertised: Option<net::SocketAddr>,
) -> Value {
    let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    let at = |port: u16| net::SocketAddr::from((ip, port)).to_string();
    let mut settings = json!({
        "name": format!("edge-{}", ip.to_string().replace('.', "-")),
        "data_centre": ZONE,
        "region": "north",
        "callers": at(CALLERS),
        "admin": at(ADMIN),
        "peers": at(PEERS),
        "platform": {"address": store.to_string()},
        "seeds": seeds,
        "entry_lifetime": "1s",
        "entry_count": 3,
        "gateway": {
            "directory": at(DIRECTORY),
            "readiness": at(READINESS),
            "cores": 1,
            "link_mbps": 1000,
            "seeds_port": PEERS,
            "grace": "6s",
            "lifetime_max": "5s",
            "retries": {"share": 0.2, "slack": 50, "window": "10s"},
        },
    });
    if let Some(advertised) = advertised {
        settings["advertise_peers"] = json!(advertised.to_string());
    }
    settings
}
