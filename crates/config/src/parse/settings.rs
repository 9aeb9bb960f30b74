//! Parser of daemon settings.

use std::{net, path};

use crate::{error, reader, report, settings};

/// Description of a valid listener address, for error messages.
const LISTENER: &str = "an address to listen at, an IP number and a port such as \"10.0.0.1:80\"";

/// Description of a valid listener address that is advertised to others, for error messages.
const ADVERTISED: &str =
    "an address that others can reach, an IP number of this VM and a port such as \"10.0.0.1:80\"";

/// Description of a valid address of another process, for error messages.
const PEER: &str = "an address, an IP number and a port such as \"10.0.0.1:80\"";

/// Description of a valid platform, for error messages.
const PLATFORM: &str =
    "the platform, an object with either address, or embedded and the name of a fleet file";

/// Description of a valid file name, for error messages.
const FILE: &str = "the name of a file";

/// Description of valid TLS keys, for error messages.
const KEYS: &str = "keys, an object with certificate, key and authority";

/// Description of valid limits, for error messages.
const LIMITS: &str = "limits, an object";

/// Description of a valid non-negative number, for error messages.
const NON_NEGATIVE: &str = "a number from 0";

/// Description of a valid port, for error messages.
const PORT: &str = "a port, a whole number from 1 to 65535";

/// Description of valid seeds, for error messages.
const SEEDS: &str = "a list of addresses of other daemons";

/// Description of a valid gateway, for error messages.
const GATEWAY: &str = "a gateway, an object with directory, readiness, cores, link_mbps, grace, lifetime_max and retries";

/// Description of a valid retry budget, for error messages.
const RETRIES: &str = "a retry budget, an object with share, slack and window";

/// Description of a valid tolerance of allowances, for error messages.
const TOLERANCE: &str = "a tolerance, an object with share, requests and window";

/// Default lifetime of a response of `/v1/entries`.
const DEFAULT_ENTRY_LIFETIME: std::time::Duration = std::time::Duration::from_secs(10);

/// Default number of daemons in a response of `/v1/entries`.
const DEFAULT_ENTRY_COUNT: u32 = 3;

const FIELDS: &[&str] = &[
    "name",
    "data_centre",
    "region",
    "callers",
    "admin",
    "peers",
    "advertise_peers",
    "platform",
    "seeds",
    "keys",
    "secret",
    "limits",
    "entry_lifetime",
    "entry_count",
    "gateway",
];

impl settings::Settings {
    /// Parses and validates settings; `file` is their name in messages. File names in them are
    /// relative to the directory of `file`.
    ///
    /// # Errors
    ///
    /// Returns all problems of the text, in the order of their positions.
    pub fn parse(file: &str, text: &str) -> Result<Self, error::Errors> {
        let mut reader = reader::Reader::new(file, text);
        let root = reader.parse();
        let root = root.as_ref().map(|value| reader::Node {
            path: String::new(),
            value,
        });
        let directory = path::Path::new(file).parent();
        let directory = directory.unwrap_or(path::Path::new(""));
        let settings = root.and_then(|root| parse_settings(&mut reader, &root, directory));
        let report: report::Report<Self> = reader.finish(settings)?;
        Ok(report.value)
    }

    /// Reads, parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns all problems of the text, or one if the file cannot be read.
    pub fn read(path: &path::Path) -> Result<Self, error::Errors> {
        let text = crate::text::read(path)?;
        Self::parse(&path.to_string_lossy(), &text)
    }
}

fn parse_settings(
    reader: &mut reader::Reader<'_>,
    root: &reader::Node<'_, '_>,
    directory: &path::Path,
) -> Option<settings::Settings> {
    let expected = "settings, an object with name, data_centre, region, callers, admin, peers \
                    and platform";
    let fields = reader.read_fields(root, expected, FIELDS)?;
    let name = reader.require_field(&fields, "name", super::NAME);
    let name = name.and_then(|node| reader.read_from_str(&node, super::NAME));
    let data_centre = reader.require_field(&fields, "data_centre", super::NAME);
    let data_centre = data_centre.and_then(|node| reader.read_from_str(&node, super::NAME));
    let region = reader.require_field(&fields, "region", super::NAME);
    let region = region.and_then(|node| reader.read_from_str(&node, super::NAME));
    let mut listeners = Vec::new();
    let callers = parse_listener(reader, &fields, "callers", ADVERTISED, &mut listeners);
    let admin = parse_listener(reader, &fields, "admin", LISTENER, &mut listeners);
    let peers = parse_listener(reader, &fields, "peers", ADVERTISED, &mut listeners);
    let advertise_peers = fields.get("advertise_peers");
    let advertise_peers = advertise_peers.map(|node| parse_address(reader, &node));
    let advertise_peers = match advertise_peers {
        Some(address) => Some(address?),
        None => None,
    };
    let platform = reader.require_field(&fields, "platform", PLATFORM);
    let platform = platform.and_then(|node| parse_platform(reader, &node, directory));
    let seeds = fields.get("seeds");
    let seeds = seeds.map_or(Some(Vec::new()), |node| parse_seeds(reader, &node));
    let keys = fields.get("keys");
    let keys = keys.map(|node| parse_keys(reader, &node, directory));
    let secret = fields.get("secret");
    let secret = secret.map(|node| parse_file_name(reader, &node, directory));
    let limits = fields.get("limits");
    let limits = limits.map_or(Some(settings::Limits::default()), |node| {
        parse_limits(reader, &node)
    });
    let entry_lifetime = fields.get("entry_lifetime");
    let entry_lifetime = entry_lifetime.and_then(|node| super::parse_span(reader, &node));
    let entry_count = fields.get("entry_count");
    let entry_count = entry_count.and_then(|node| reader.read_count(&node));
    let gateway = fields.get("gateway");
    let gateway = gateway.map(|node| parse_gateway(reader, &node, &mut listeners));
    let gateway = match gateway {
        Some(gateway) => Some(gateway?),
        None => None,
    };
    let keys = match keys {
        Some(keys) => Some(keys?),
        None => None,
    };
    let secret = match secret {
        Some(secret) => Some(secret?),
        None => None,
    };
    Some(settings::Settings {
        name: name?,
        data_centre: data_centre?,
        region: region?,
        callers: callers?,
        admin: admin?,
        peers: peers?,
        advertise_peers,
        platform: platform?,
        seeds: seeds?,
        keys,
        secret,
        limits: limits?,
        entry_lifetime: entry_lifetime
            .unwrap_or(monsooncart_types::span::Span(DEFAULT_ENTRY_LIFETIME)),
        entry_count: entry_count.unwrap_or(DEFAULT_ENTRY_COUNT),
        gateway,
    })
}

fn parse_gateway(
    reader: &mut reader::Reader<'_>,
    node: &reader::Node<'_, '_>,
    listeners: &mut Vec<(net::SocketAddr, usize)>,
) -> Option<settings::Gateway> {
    let known = &[
        "directory",
        "readiness",
        "metrics",
        "cores",
        "link_mbps",
        "seeds_port",
        "grace",
        "lifetime_max",
        "retries",
        "memory_mb",
        "cover_servers",
        "wait_for_room",
        "allowance_tolerance",
    ];
    let fields = reader.read_fields(node, GATEWAY, known)?;
    let directory = parse_listener(reader, &fields, "directory", LISTENER, listeners);
    let readiness = parse_listener(reader, &fields, "readiness", LISTENER, listeners);
    let metrics = match fields.get("metrics") {
        Some(_) => Some(parse_listener(
            reader, &fields, "metrics", LISTENER, listeners,
        )?),
        None => None,
    };
    let cores = reader.require_field(&fields, "cores", NON_NEGATIVE);
    let cores = cores.and_then(|node| reader.read_non_negative(&node, NON_NEGATIVE));
    let link_mbps = reader.require_field(&fields, "link_mbps", NON_NEGATIVE);
    let link_mbps = link_mbps.and_then(|node| reader.read_non_negative(&node, NON_NEGATIVE));
    let seeds_port = fields.get("seeds_port");
    let seeds_port = match seeds_port {
        Some(node) => Some(parse_port(reader, &node)?),
        None => None,
    };
    let grace = reader.require_field(&fields, "grace", super::SPAN);
    let grace = grace.and_then(|node| super::parse_span(reader, &node));
    let lifetime_max = reader.require_field(&fields, "lifetime_max", super::SPAN);
    let lifetime_max = lifetime_max.and_then(|node| super::parse_span(reader, &node));
    let retries = reader.require_field(&fields, "retries", RETRIES);
    let retries = retries.and_then(|node| parse_retry_budget(reader, &node));
    let cover_servers = match fields.get("cover_servers") {
        Some(node) => reader.read_bool(&node)?,
        None => false,
    };
    let memory_mb = match fields.get("memory_mb") {
        Some(node) => Some(reader.read_non_negative(&node, NON_NEGATIVE)?),
        None => None,
    };
    let wait_for_room = match fields.get("wait_for_room") {
        Some(node) => reader.read_bool(&node)?,
        None => false,
    };
    let allowance_tolerance = match fields.get("allowance_tolerance") {
        Some(node) => parse_allowance_tolerance(reader, &node)?,
        None => settings::AllowanceTolerance::default(),
    };
    Some(settings::Gateway {
        directory: directory?,
        readiness: readiness?,
        metrics,
        cores: cores?,
        link_mbps: link_mbps?,
        seeds_port,
        grace: grace?,
        lifetime_max: lifetime_max?,
        retries: retries?,
        memory_mb,
        cover_servers,
        wait_for_room,
        allowance_tolerance,
    })
}

fn parse_allowance_tolerance(
    reader: &mut reader::Reader<'_>,
    node: &reader::Node<'_, '_>,
) -> Option<settings::AllowanceTolerance> {
    let fields = reader.read_fields(node, TOLERANCE, &["share", "requests", "window"])?;
    let share = reader.require_field(&fields, "share", NON_NEGATIVE);
    let share = share.and_then(|node| reader.read_non_negative(&node, NON_NEGATIVE));
    let requests = reader.require_field(&fields, "requests", NON_NEGATIVE);
    let requests = requests.and_then(|node| reader.read_non_negative(&node, NON_NEGATIVE));
    let window = reader.require_field(&fields, "window", super::SPAN);
    let window = window.and_then(|node| super::parse_span(reader, &node));
    Some(settings::AllowanceTolerance {
        share: share?,
        requests: requests?,
        window: window?,
    })
}

fn parse_retry_budget(
    reader: &mut reader::Reader<'_>,
    node: &reader::Node<'_, '_>,
) -> Option<settings::RetryBudget> {
    let fields = reader.read_fields(node, RETRIES, &["share", "slack", "window"])?;
    let share = reader.require_field(&fields, "share", NON_NEGATIVE);
    let share = share.and_then(|node| reader.read_non_negative(&node, NON_NEGATIVE));
    let slack = reader.require_field(&fields, "slack", NON_NEGATIVE);
    let slack = slack.and_then(|node| reader.read_non_negative(&node, NON_NEGATIVE));
    let window = reader.require_field(&fields, "window", super::SPAN);
    let window = window.and_then(|node| super::parse_span(reader, &node));
    Some(settings::RetryBudget {
        share: share?,
        slack: slack?,
        window: window?,
    })
}

fn parse_port(reader: &mut reader::Reader<'_>, node: &reader::Node<'_, '_>) -> Option<u16> {
    let port = reader.read_count(node)?;
    let port = u16::try_from(port).ok();
    if port.is_none() {
        reader.report_unexpected(node, PORT);
    }
    port
}

/// Parses the address of a listener; port 0 selects a free port. An unspecified address is rejected
/// if `expected` is [`ADVERTISED`].
fn parse_listener(
    reader: &mut reader::Reader<'_>,
    fields: &reader::Fields<'_, '_>,
    name: &'static str,
    expected: &'static str,
    listeners: &mut Vec<(net::SocketAddr, usize)>,
) -> Option<net::SocketAddr> {
    let node = reader.require_field(fields, name, expected)?;
    let address: net::SocketAddr = reader.read_from_str(&node, expected)?;
    let is_advertised = expected == ADVERTISED;
    if address.ip().is_multicast() || (is_advertised && address.ip().is_unspecified()) {
        reader.report_unexpected(&node, expected);
        return None;
    }
    let duplicate = listeners.iter().find(|(other, _)| *other == address);
    if let Some((_, start)) = duplicate.filter(|_| address.port() != 0) {
        let problem = error::Problem::Duplicate {
            kind: "listener",
            value: address.to_string(),
            line: reader.line(*start),
        };
        reader.report_error(&node, problem);
    }
    listeners.push((address, node.start()));
    Some(address)
}

/// Parses the address of another process.
fn parse_address(
    reader: &mut reader::Reader<'_>,
    node: &reader::Node<'_, '_>,
) -> Option<net::SocketAddr> {
    let address: net::SocketAddr = reader.read_from_str(node, PEER)?;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        reader.report_unexpected(node, PEER);
        return None;
    }
    Some(address)
}

fn parse_seeds(
    reader: &mut reader::Reader<'_>,
    node: &reader::Node<'_, '_>,
) -> Option<Vec<net::SocketAddr>> {
    let nodes = reader.read_list(node, SEEDS)?;
    let seeds: Vec<_> = nodes
        .iter()
        .map(|node| parse_address(reader, node))
        .collect();
    seeds.into_iter().collect()
}

fn parse_file_name(
    reader: &mut reader::Reader<'_>,
    node: &reader::Node<'_, '_>,
    directory: &path::Path,
) -> Option<path::PathBuf> {
    let name = reader.read_string(node, FILE)?;
    if name.is_empty() || name.contains('\0') {
        reader.report_unexpected(node, FILE);
        return None;
    }
    Some(directory.join(name))
}

fn parse_platform(
    reader: &mut reader::Reader<'_>,
    node: &reader::Node<'_, '_>,
    directory: &path::Path,
) -> Option<settings::Platform> {
    let fields = reader.read_fields(node, PLATFORM, &["address", "embedded"])?;
    match (fields.get("address"), fields.get("embedded")) {
        (Some(node), None) => parse_address(reader, &node).map(settings::Platform::Remote),
        (None, Some(node)) => {
            parse_file_name(reader, &node, directory).map(settings::Platform::Embedded)
        }
        _ => {
            reader.report_unexpected(node, PLATFORM);
            None
        }
    }
}

fn parse_keys(
    reader: &mut reader::Reader<'_>,
    node: &reader::Node<'_, '_>,
    directory: &path::Path,
) -> Option<settings::Keys> {
    let fields = reader.read_fields(node, KEYS, &["certificate", "key", "authority"])?;
    let mut field = |name| {
        let node = reader.require_field(&fields, name, FILE)?;
        parse_file_name(reader, &node, directory)
    };
    let certificate = field("certificate");
    let key = field("key");
    let authority = field("authority");
    Some(settings::Keys {
        certificate: certificate?,
        key: key?,
        authority: authority?,
    })
}

fn parse_limits(
    reader: &mut reader::Reader<'_>,
    node: &reader::Node<'_, '_>,
) -> Option<settings::Limits> {
    let known = &[
        "connections",
        "head",
        "head_timeout",
        "idle_timeout",
        "body_timeout",
    ];
    let fields = reader.read_fields(node, LIMITS, known)?;
    let mut limits = settings::Limits::default();
    if let Some(node) = fields.get("connections") {
        limits.connections = reader.read_count(&node).unwrap_or(limits.connections);
    }
    if let Some(node) = fields.get("head") {
        limits.head = super::parse_size(reader, &node).unwrap_or(limits.head);
    }
    if let Some(node) = fields.get("head_timeout") {
        limits.head_timeout = super::parse_span(reader, &node).unwrap_or(limits.head_timeout);
    }
    if let Some(node) = fields.get("idle_timeout") {
        limits.idle_timeout = super::parse_span(reader, &node).unwrap_or(limits.idle_timeout);
    }
    if let Some(node) = fields.get("body_timeout") {
        limits.body_timeout = super::parse_span(reader, &node).unwrap_or(limits.body_timeout);
    }
    Some(limits)
}
