//! `status`: shows the daemons of a fleet and the servers that are not active.

use std::collections::{BTreeMap, BTreeSet};
use std::net;

use clap::Args;
use monsooncart_daemon::status;
use monsooncart_types::id;

use crate::{admin, exit, output};

/// State of a server that receives its full share of requests.
const ACTIVE: &str = "active";

/// Maximum number of differing objects in the printed list.
const MAX_LISTED: usize = 20;

/// Arguments of `status`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// Admin addresses of daemons, separated by commas; the members that they know are queried too.
    #[arg(long, value_delimiter = ',', value_name = "ADDRESS", required = true)]
    admin: Vec<net::SocketAddr>,
    /// Write JSON.
    #[arg(long)]
    json: bool,
}

/// A daemon in the overview.
#[derive(Debug, serde::Serialize)]
struct Daemon {
    vm: String,
    admin: net::SocketAddr,
    phase: Option<status::Phase>,
    in_flight: Option<usize>,
    members: Option<usize>,
    error: Option<String>,
}

/// A configuration object whose version differs between daemons.
#[derive(Debug, serde::Serialize)]
struct Difference {
    object: String,
    /// VMs by version; `None` if the object is absent.
    versions: Vec<(Option<u64>, Vec<String>)>,
}

/// A server that is not active in the view of some daemon.
#[derive(Debug, serde::Serialize)]
struct Server {
    service: id::Service,
    server: id::Server,
    /// VMs by the state of the server in their view.
    states: BTreeMap<String, Vec<String>>,
    /// Strongest suspicion of any daemon, in thousandths of the ejection threshold.
    suspicion: u32,
}

/// The overview of a fleet.
#[derive(Debug, serde::Serialize)]
struct Overview {
    daemons: Vec<Daemon>,
    differences: Vec<Difference>,
    servers: Vec<Server>,
}

impl Arguments {
    /// Shows the overview.
    ///
    /// If a daemon does not respond, the error is printed and the exit code is 1.
    pub async fn run(self) -> exit::Code {
        let fleet = admin::Fleet::discover(&self.admin).await;
        let overview = Overview {
            daemons: daemons(&fleet),
            differences: differences(&fleet),
            servers: servers(&fleet),
        };
        if self.json {
            match serde_json::to_string_pretty(&overview) {
                Ok(json) => output::line(json),
                Err(error) => {
                    output::error(format_args!("status: {error}"));
                    return exit::Code::Failure;
                }
            }
        } else {
            print(&overview);
        }
        let mut code = exit::Code::Success;
        for error in fleet.failures() {
            output::error(format_args!("status: {error}"));
            code = exit::Code::Failure;
        }
        code
    }
}

fn daemons(fleet: &admin::Fleet) -> Vec<Daemon> {
    let to_daemon = |daemon: &admin::Daemon| {
        let status = daemon.status.as_ref().ok();
        Daemon {
            vm: daemon.vm.clone(),
            admin: daemon.admin,
            phase: status.map(|s| s.phase),
            in_flight: status.map(|s| s.in_flight),
            members: status.map(|s| s.members.len()),
            error: daemon.status.as_ref().err().map(ToString::to_string),
        }
    };
    let mut daemons: Vec<_> = fleet.daemons.values().map(to_daemon).collect();
    daemons.sort_by(|a, b| a.vm.cmp(&b.vm));
    daemons
}

fn statuses(fleet: &admin::Fleet) -> impl Iterator<Item = &status::Status> {
    let daemons = fleet.daemons.values();
    daemons.filter_map(|daemon| daemon.status.as_ref().ok())
}

fn differences(fleet: &admin::Fleet) -> Vec<Difference> {
    let objects = statuses(fleet).flat_map(|s| s.configuration.keys());
    let objects: BTreeSet<_> = objects.collect();
    let mut differences = Vec::new();
    for object in objects {
        let mut versions = BTreeMap::<_, Vec<String>>::new();
        for status in statuses(fleet) {
            let version = status.configuration.get(object).copied();
            versions
                .entry(version)
                .or_default()
                .push(status.vm.to_string());
        }
        if versions.len() > 1 {
            differences.push(Difference {
                object: object.clone(),
                versions: versions.into_iter().collect(),
            });
        }
    }
    differences
}

fn servers(fleet: &admin::Fleet) -> Vec<Server> {
    let mut servers = BTreeMap::<(&id::Service, &id::Server), Server>::new();
    for status in statuses(fleet) {
        for (service, servers_of_service) in &status.services {
            for server in servers_of_service
                .iter()
                .filter(|server| server.state != ACTIVE)
            {
                let entry = servers.entry((service, &server.name));
                let entry = entry.or_insert_with(|| Server {
                    service: service.clone(),
                    server: server.name.clone(),
                    states: BTreeMap::new(),
                    suspicion: 0,
                });
                let vms = entry.states.entry(server.state.clone()).or_default();
                vms.push(status.vm.to_string());
                entry.suspicion = entry.suspicion.max(server.suspicion);
            }
        }
    }
    servers.into_values().collect()
}

fn print(overview: &Overview) {
    output::line(format_args!(
        "{:<20} {:<22} {:<10} {:>9} {:>8}",
        "daemon", "admin", "phase", "in flight", "members"
    ));
    for daemon in &overview.daemons {
        let phase = daemon.phase.map_or("silent".to_owned(), |p| p.to_string());
        let format_count = |n: Option<usize>| n.map_or("-".to_owned(), |n| n.to_string());
        output::line(format_args!(
            "{:<20} {:<22} {phase:<10} {:>9} {:>8}",
            daemon.vm,
            daemon.admin.to_string(),
            format_count(daemon.in_flight),
            format_count(daemon.members)
        ));
    }
    print_differences(&overview.differences);
    print_servers(&overview.servers);
}

fn print_differences(differences: &[Difference]) {
    if differences.is_empty() {
        output::line("\nconfiguration: the same versions in all daemons that responded");
        return;
    }
    output::line(format_args!(
        "\nconfiguration: {} objects differ",
        differences.len()
    ));
    for difference in differences.iter().take(MAX_LISTED) {
        for (version, vms) in &difference.versions {
            let version = version.map_or("absent".to_owned(), |v| format!("version {v}"));
            output::line(format_args!(
                "  {} {version}: {}",
                difference.object,
                vms.join(", ")
            ));
        }
    }
}

fn print_servers(servers: &[Server]) {
    if servers.is_empty() {
        output::line("\nservers: all active");
        return;
    }
    output::line("\nservers that are not active:");
    for server in servers {
        let Server {
            service,
            server,
            states,
            suspicion,
        } = server;
        for (state, vms) in states {
            let vms = vms.join(", ");
            output::line(format_args!(
                "  {service} {server}: {state} at {vms}; suspicion {suspicion}/1000"
            ));
        }
    }
}
