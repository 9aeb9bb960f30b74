//! Settings.

use std::{net, path};

use crate::{error, reader, report, settings};

/// Expected where a listener's address is.
const LISTENER: &str = "an address to listen at, an IP number and a port such as \"10.0.0.1:80\"";

/// Expected where an address is that others are told.
const ADVERTISED: &str =
    "an address that others can reach, an IP number of this VM and a port such as \"10.0.0.1:80\"";

/// Expected where the address of another process is.
const PEER: &str = "an address, an IP number and a port such as \"10.0.0.1:80\"";

/// Expected where the platform is.
const PLATFORM: &str =
    "the platform, an object with either address, or embedded and the name of a fleet file";

/// Expected where the name of a file is.
const FILE: &str = "the name of a file";

/// Expected where the keys of a daemon are.
const KEYS: &str = "keys, an object with certificate, key and authority";

/// Expected where limits are.
const LIMITS: &str = "limits, an object";

/// Expected where a number of requests or a share of them is.
const AMOUNT: &str = "a number from 0";

/// Expected where a port is.
const PORT: &str = "a port, a whole number from 1 to 65535";

/// Expected where seeds are.
const SEEDS: &str = "a list of addresses of other daemons";

/// Expected where a gateway is.
const GATEWAY: &str = "a gateway, an object with directory, readiness, cores, link_mbps, grace, lifetime_max and retries";

/// Expected where the bounds of retries are.
const RETRIES: &str = "bounds of retries, an object with share, slack and window";

/// Default lifetime of an answer of `/v1/entries`.
const ENTRY_LIFETIME: std::time::Duration = std::time::Duration::from_secs(10);

/// Default number of daemons named in an answer of `/v1/entries`.
const ENTRY_COUNT: u32 = 3;

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
    /// Parses and checks settings; `file` is their name in messages. File names in them are taken
    /// relative to the directory of `file`.
    ///
    /// # Errors
    ///
    /// Every problem of the text, in the order of their places.
    pub fn parse(file: &str, text: &str) -> Result<Self, error::Errors> {
        let mut reader = reader::Reader::new(file, text);
        let root = reader.parse();
        let root = root.as_ref().map(|value| reader::Node {
            path: String::new(),
            value,
        });
        let directory = path::Path::new(file).parent();
        let directory = directory.unwrap_or(path::Path::new(""));
        let settings = root.and_then(|root| read(&mut reader, &root, directory));
        let report: report::Report<Self> = reader.finish(settings)?;
        Ok(report.value)
    }

    /// Reads, parses and checks the settings of a file.
    ///
    /// # Errors
    ///
    /// The file could not be read, or every problem of its text.
    pub fn read(path: &path::Path) -> Result<Self, error::Errors> {
        let text = crate::text::read(path)?;
        Self::parse(&path.to_string_lossy(), &text)
    }
}

fn read(
    reader: &mut reader::Reader<'_>,
    root: &reader::Node<'_, '_>,
    directory: &path::Path,
) -> Option<settings::Settings> {
    let expected = "settings, an object with name, data_centre, region, callers, admin, peers \
                    and platform";
    let fields = reader.fields(root, expected, FIELDS)?;
    let name = reader.required(&fields, "name", super::NAME);
    let name = name.and_then(|node| reader.parsed(&node, super::NAME));
    let data_centre = reader.required(&fields, "data_centre", super::NAME);
    let data_centre = data_centre.and_then(|node| reader.parsed(&node, super::NAME));
    let region = reader.required(&fields, "region", super::NAME);
    let region = region.and_then(|node| reader.parsed(&node, super::NAME));
    let mut listeners = Vec::new();
    let callers = listener(reader, &fields, "callers", ADVERTISED, &mut listeners);
    let admin = listener(reader, &fields, "admin", LISTENER, &mut listeners);
    let peers = listener(reader, &fields, "peers", ADVERTISED, &mut listeners);
    let advertise = fields.get("advertise_peers");
    let advertise = advertise.map(|node| peer(reader, &node));
    let advertise = match advertise {
        Some(address) => Some(address?),
        None => None,
    };
    let platform = reader.required(&fields, "platform", PLATFORM);
    let platform = platform.and_then(|node| platform_of(reader, &node, directory));
    let seeds = fields.get("seeds");
    let seeds = seeds.map_or(Some(Vec::new()), |node| seeds_of(reader, &node));
    let keys = fields.get("keys");
    let keys = keys.map(|node| keys_of(reader, &node, directory));
    let secret = fields.get("secret");
    let secret = secret.map(|node| file(reader, &node, directory));
    let limits = fields.get("limits");
    let limits = limits.map_or(Some(settings::Limits::default()), |node| {
        limits_of(reader, &node)
    });
    let lifetime = fields.get("entry_lifetime");
    let lifetime = lifetime.and_then(|node| super::span(reader, &node));
    let count = fields.get("entry_count");
    let count = count.and_then(|node| reader.count(&node));
    let gateway = fields.get("gateway");
    let gateway = gateway.map(|node| gateway_of(reader, &node, &mut listeners));
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
        advertise_peers: advertise,
        platform: platform?,
        seeds: seeds?,
        keys,
        secret,
        limits: limits?,
        entry_lifetime: lifetime.unwrap_or(monsooncart_types::span::Span(ENTRY_LIFETIME)),
        entry_count: count.unwrap_or(ENTRY_COUNT),
        gateway,
    })
}

fn gateway_of(
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
    ];
    let fields = reader.fields(node, GATEWAY, known)?;
    let directory = listener(reader, &fields, "directory", LISTENER, listeners);
    let readiness = listener(reader, &fields, "readiness", LISTENER, listeners);
    let metrics = match fields.get("metrics") {
        Some(_) => Some(listener(reader, &fields, "metrics", LISTENER, listeners)?),
        None => None,
    };
    let cores = reader.required(&fields, "cores", AMOUNT);
    let cores = cores.and_then(|node| reader.amount(&node, AMOUNT));
    let link = reader.required(&fields, "link_mbps", AMOUNT);
    let link = link.and_then(|node| reader.amount(&node, AMOUNT));
    let port = fields.get("seeds_port");
    let port = match port {
        Some(node) => Some(port_of(reader, &node)?),
        None => None,
    };
    let grace = reader.required(&fields, "grace", super::SPAN);
    let grace = grace.and_then(|node| super::span(reader, &node));
    let lifetime = reader.required(&fields, "lifetime_max", super::SPAN);
    let lifetime = lifetime.and_then(|node| super::span(reader, &node));
    let retries = reader.required(&fields, "retries", RETRIES);
    let retries = retries.and_then(|node| retries_of(reader, &node));
    Some(settings::Gateway {
        directory: directory?,
        readiness: readiness?,
        metrics,
        cores: cores?,
        link_mbps: link?,
        seeds_port: port,
        grace: grace?,
        lifetime_max: lifetime?,
        retries: retries?,
    })
}

fn retries_of(
    reader: &mut reader::Reader<'_>,
    node: &reader::Node<'_, '_>,
) -> Option<settings::Retries> {
    let fields = reader.fields(node, RETRIES, &["share", "slack", "window"])?;
    let share = reader.required(&fields, "share", AMOUNT);
    let share = share.and_then(|node| reader.amount(&node, AMOUNT));
    let slack = reader.required(&fields, "slack", AMOUNT);
    let slack = slack.and_then(|node| reader.amount(&node, AMOUNT));
    let window = reader.required(&fields, "window", super::SPAN);
    let window = window.and_then(|node| super::span(reader, &node));
    Some(settings::Retries {
        share: share?,
        slack: slack?,
        window: window?,
    })
}

fn port_of(reader: &mut reader::Reader<'_>, node: &reader::Node<'_, '_>) -> Option<u16> {
    let port = reader.count(node)?;
    let port = u16::try_from(port).ok();
    if port.is_none() {
        reader.unexpected(node, PORT);
    }
    port
}

/// A listener's address; port 0 takes a free one.
fn listener(
    reader: &mut reader::Reader<'_>,
    fields: &reader::Fields<'_, '_>,
    name: &'static str,
    expected: &'static str,
    listeners: &mut Vec<(net::SocketAddr, usize)>,
) -> Option<net::SocketAddr> {
    let node = reader.required(fields, name, expected)?;
    let address: net::SocketAddr = reader.parsed(&node, expected)?;
    let told = expected == ADVERTISED;
    if address.ip().is_multicast() || (told && address.ip().is_unspecified()) {
        reader.unexpected(&node, expected);
        return None;
    }
    let same = listeners.iter().find(|(other, _)| *other == address);
    if let Some((_, start)) = same.filter(|_| address.port() != 0) {
        let problem = error::Problem::Duplicate {
            what: "listener",
            value: address.to_string(),
            line: reader.line(*start),
        };
        reader.refuse(&node, problem);
    }
    listeners.push((address, node.start()));
    Some(address)
}

/// The address of another process.
fn peer(reader: &mut reader::Reader<'_>, node: &reader::Node<'_, '_>) -> Option<net::SocketAddr> {
    let address: net::SocketAddr = reader.parsed(node, PEER)?;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        reader.unexpected(node, PEER);
        return None;
    }
    Some(address)
}

fn seeds_of(
    reader: &mut reader::Reader<'_>,
    node: &reader::Node<'_, '_>,
) -> Option<Vec<net::SocketAddr>> {
    let nodes = reader.list(node, SEEDS)?;
    let seeds: Vec<_> = nodes.iter().map(|node| peer(reader, node)).collect();
    seeds.into_iter().collect()
}

fn file(
    reader: &mut reader::Reader<'_>,
    node: &reader::Node<'_, '_>,
    directory: &path::Path,
) -> Option<path::PathBuf> {
    let name = reader.string(node, FILE)?;
    if name.is_empty() || name.contains('\0') {
        reader.unexpected(node, FILE);
        return None;
    }
    Some(directory.join(name))
}

fn platform_of(
    reader: &mut reader::Reader<'_>,
    node: &reader::Node<'_, '_>,
    directory: &path::Path,
) -> Option<settings::Platform> {
    let fields = reader.fields(node, PLATFORM, &["address", "embedded"])?;
    match (fields.get("address"), fields.get("embedded")) {
        (Some(node), None) => peer(reader, &node).map(settings::Platform::Remote),
        (None, Some(node)) => file(reader, &node, directory).map(settings::Platform::Embedded),
        _ => {
            reader.unexpected(node, PLATFORM);
            None
        }
    }
}

fn keys_of(
    reader: &mut reader::Reader<'_>,
    node: &reader::Node<'_, '_>,
    directory: &path::Path,
) -> Option<settings::Keys> {
    let fields = reader.fields(node, KEYS, &["certificate", "key", "authority"])?;
    let mut field = |name| {
        let node = reader.required(&fields, name, FILE)?;
        file(reader, &node, directory)
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

fn limits_of(
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
    let fields = reader.fields(node, LIMITS, known)?;
    let mut limits = settings::Limits::default();
    if let Some(node) = fields.get("connections") {
        limits.connections = reader.count(&node).unwrap_or(limits.connections);
    }
    if let Some(node) = fields.get("head") {
        limits.head = super::size(reader, &node).unwrap_or(limits.head);
    }
    if let Some(node) = fields.get("head_timeout") {
        limits.head_timeout = super::span(reader, &node).unwrap_or(limits.head_timeout);
    }
    if let Some(node) = fields.get("idle_timeout") {
        limits.idle_timeout = super::span(reader, &node).unwrap_or(limits.idle_timeout);
    }
    if let Some(node) = fields.get("body_timeout") {
        limits.body_timeout = super::span(reader, &node).unwrap_or(limits.body_timeout);
    }
    Some(limits)
}
