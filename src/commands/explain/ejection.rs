//! `explain ejection`: shows the ejected servers of a service, and the slots that may still be
//! ejected.

use clap::Args;
use monsooncart_policy::floor::record;
use monsooncart_types::id;

use super::{Source, print_json, responses};
use crate::{admin, exit, output};

/// Arguments of `explain ejection`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// The service.
    service: id::Service,
    /// Only this server.
    #[arg(long, value_name = "NAME")]
    server: Option<id::Server>,
    #[command(flatten)]
    source: Source,
}

/// An ejected server.
#[derive(Debug, serde::Serialize)]
struct Ejected {
    server: id::Server,
    slots: u64,
    /// Instance id of the daemon that ejected the server.
    by: String,
    /// Time of the ejection, in seconds since the Unix epoch.
    at: u64,
    evidence: String,
}

/// A suspected server that is not ejected.
#[derive(Debug, serde::Serialize)]
struct Alternative {
    server: id::Server,
    /// Strongest suspicion of any daemon, in thousandths of the ejection threshold.
    suspicion: u32,
    reason: String,
}

/// Ejection tokens of a service, in slots.
#[derive(Debug, serde::Serialize)]
struct Tokens {
    /// Slots in service.
    serving: u64,
    /// Slots that ejections must leave in service.
    floor: u64,
    /// Slots that an update of the record may still eject.
    room: i64,
    /// Slots that token holders may eject while the platform is unavailable.
    held: u64,
    /// Tokens of each holder.
    holders: responses::ByVm<u64>,
}

/// The ejections of a service.
#[derive(Debug, serde::Serialize)]
struct Explained {
    /// Version of the record. The record may lack ejections by token holders while the platform was
    /// unavailable.
    version: Option<u64>,
    tokens: Tokens,
    ejected: Vec<Ejected>,
    alternatives: Vec<Alternative>,
    decisions: responses::ByVm<Vec<responses::Decision>>,
}

impl Arguments {
    /// Shows the ejections.
    pub async fn run(self) -> exit::Code {
        let fleet = self.source.discover().await;
        let Some((version, record)) = self.read_newest_record(&fleet).await else {
            output::error(format_args!(
                "explain: no responding daemon has a record of service {}",
                self.service
            ));
            return exit::Code::Failure;
        };
        let explained = Explained {
            version,
            tokens: tokens(&record),
            ejected: self.ejected(&record),
            alternatives: self.alternatives(&fleet, &record),
            decisions: self.read_decisions(&fleet).await,
        };
        if self.source.json {
            return print_json(&explained);
        }
        print(&explained);
        exit::Code::Success
    }

    fn is_wanted(&self, server: &id::Server) -> bool {
        self.server.as_ref().is_none_or(|only| only == server)
    }

    /// Reads the newest record that any daemon has, with its version. A daemon's response about a
    /// server contains the record of the server's service, so any server of the service will do.
    async fn read_newest_record(
        &self,
        fleet: &admin::Fleet,
    ) -> Option<(Option<u64>, record::Record)> {
        let server = self
            .server
            .clone()
            .or_else(|| any_server(fleet, &self.service))?;
        let path = format!(
            "/v1/explain/server?service={}&server={server}",
            self.service
        );
        let mut newest: Option<(Option<u64>, record::Record)> = None;
        for (_, response) in fleet.get_from_all::<responses::Server>(&path).await {
            let ledger = match response {
                Ok(server) => server.ledger,
                Err(error) => {
                    output::error(format_args!("explain: {error}"));
                    None
                }
            };
            let Some(ledger) = ledger else {
                continue;
            };
            let is_newer = newest.as_ref().is_none_or(|(v, _)| *v < ledger.version);
            if let (true, Some(record)) = (is_newer, ledger.record) {
                newest = Some((ledger.version, record));
            }
        }
        newest
    }

    fn ejected(&self, record: &record::Record) -> Vec<Ejected> {
        let servers = record
            .servers
            .iter()
            .filter(|(name, _)| self.is_wanted(name));
        let ejected = servers.filter_map(|(name, server)| {
            let ejection = server.ejection.as_ref()?;
            Some(Ejected {
                server: name.clone(),
                slots: server.slots,
                by: ejection.by.to_string(),
                at: ejection.at,
                evidence: ejection.evidence.clone(),
            })
        });
        ejected.collect()
    }

    /// Suspected servers in service, with the reason why they are not ejected.
    fn alternatives(&self, fleet: &admin::Fleet, record: &record::Record) -> Vec<Alternative> {
        let mut alternatives = Vec::new();
        for (name, server) in &record.servers {
            if !self.is_wanted(name) || !server.serves() {
                continue;
            }
            let suspicion = max_suspicion(fleet, &self.service, name);
            if suspicion == 0 {
                continue;
            }
            let room = record.room();
            let slots = i64::try_from(server.slots).unwrap_or(i64::MAX);
            let reason = match (suspicion < 1000, slots <= room) {
                (true, _) => "the evidence does not suffice".to_owned(),
                (false, false) => format!("takes {slots} slots, the floor leaves {room}"),
                (false, true) => "not decided yet".to_owned(),
            };
            alternatives.push(Alternative {
                server: name.clone(),
                suspicion,
                reason,
            });
        }
        alternatives
    }

    async fn read_decisions(
        &self,
        fleet: &admin::Fleet,
    ) -> responses::ByVm<Vec<responses::Decision>> {
        let mut all = responses::ByVm::new();
        let responses = fleet
            .get_from_all::<Vec<responses::Decision>>("/v1/decisions")
            .await;
        for (daemon, response) in responses {
            let decisions = match response {
                Ok(decisions) => decisions,
                Err(error) => {
                    output::error(format_args!("explain: {error}"));
                    continue;
                }
            };
            let is_relevant = |d: &responses::Decision| {
                let is_wanted = d.server.as_ref().is_some_and(|s| self.is_wanted(s));
                d.service == self.service && is_wanted && d.concerns_availability()
            };
            let decisions: Vec<_> = decisions.into_iter().filter(is_relevant).collect();
            if !decisions.is_empty() {
                all.insert(daemon.vm.clone(), decisions);
            }
        }
        all
    }
}

/// Returns all daemons' views of the servers of a service.
fn server_views<'a>(
    fleet: &'a admin::Fleet,
    service: &'a id::Service,
) -> impl Iterator<Item = &'a monsooncart_daemon::status::Server> {
    let statuses = fleet
        .daemons
        .values()
        .filter_map(|d| d.status.as_ref().ok());
    let services = statuses.filter_map(|status| status.services.get(service));
    services.flatten()
}

fn any_server(fleet: &admin::Fleet, service: &id::Service) -> Option<id::Server> {
    server_views(fleet, service)
        .next()
        .map(|server| server.name.clone())
}

fn max_suspicion(fleet: &admin::Fleet, service: &id::Service, name: &id::Server) -> u32 {
    let views = server_views(fleet, service).filter(|server| server.name == *name);
    views
        .map(|server| server.suspicion)
        .max()
        .unwrap_or_default()
}

fn tokens(record: &record::Record) -> Tokens {
    let holders = record.holders.values();
    Tokens {
        serving: record.serving(),
        floor: record.floor,
        room: record.room(),
        held: record.tokens(),
        holders: holders.map(|h| (h.vm.to_string(), h.tokens)).collect(),
    }
}

fn print(explained: &Explained) {
    let tokens = &explained.tokens;
    output::line(format_args!(
        "slots: {} in service, floor {}, {} may still be ejected, {} of them with tokens",
        tokens.serving,
        tokens.floor,
        tokens.room + i64::try_from(tokens.held).unwrap_or(i64::MAX),
        tokens.held
    ));
    for (vm, count) in &tokens.holders {
        output::line(format_args!("  tokens of {vm}: {count}"));
    }
    for ejected in &explained.ejected {
        output::line(format_args!(
            "ejected: {}, {} slots, by instance {} at {} s since the Unix epoch",
            ejected.server, ejected.slots, ejected.by, ejected.at
        ));
        output::line(format_args!("  evidence: {}", ejected.evidence));
    }
    if explained.ejected.is_empty() {
        output::line("no server is ejected");
    }
    for alternative in &explained.alternatives {
        output::line(format_args!(
            "not ejected: {}, suspicion {}/1000: {}",
            alternative.server, alternative.suspicion, alternative.reason
        ));
    }
    for (vm, decisions) in &explained.decisions {
        output::line(format_args!(
            "decisions of {vm}, oldest first, in milliseconds since the Unix epoch:"
        ));
        responses::print_decisions(decisions);
    }
}
