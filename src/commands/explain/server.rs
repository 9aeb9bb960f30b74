//! `explain server`: shows each daemon's view of a server.

use clap::Args;
use monsooncart_types::id;

use super::{Source, print_json, responses};
use crate::{exit, output};

/// Arguments of `explain server`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// The service.
    service: id::Service,
    /// The server.
    server: id::Server,
    #[command(flatten)]
    source: Source,
}

impl Arguments {
    /// Shows the server.
    pub async fn run(self) -> exit::Code {
        let Self {
            service,
            server,
            source,
        } = self;
        let fleet = source.discover().await;
        let path = format!("/v1/explain/server?service={service}&server={server}");
        let mut servers = responses::ByVm::new();
        for (daemon, response) in fleet.get_from_all::<responses::Server>(&path).await {
            match response {
                Ok(server) if server.view.is_some() => {
                    servers.insert(daemon.vm.clone(), server);
                }
                Ok(_) => {}
                Err(error) => output::error(format_args!("explain: {error}")),
            }
        }
        if servers.is_empty() {
            output::error(format_args!(
                "explain: no responding daemon knows server {server} of service {service}"
            ));
            return exit::Code::Failure;
        }
        if source.json {
            return print_json(&servers);
        }
        for (vm, server) in &servers {
            print(vm, server);
        }
        exit::Code::Success
    }
}

fn print(vm: &str, server: &responses::Server) {
    if let Some(view) = &server.view {
        output::line(format_args!(
            "{vm}: {}, {} in flight, median {} ms, suspicion {}/1000",
            view.state, view.in_flight, view.median_millis, view.suspicion
        ));
        output::line(format_args!("  evidence: {}", view.evidence));
    }
    if let Some(ledger) = &server.ledger {
        output::line(format_args!(
            "  tokens that {vm} can spend: {}",
            ledger.free
        ));
    }
    if !server.decisions.is_empty() {
        output::line("  decisions, oldest first, in milliseconds since the Unix epoch:");
        responses::print_decisions(&server.decisions);
    }
}
