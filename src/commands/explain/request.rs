//! `explain request`: shows a request's attempts and its outcome.

use clap::Args;
use monsooncart_types::id;

use super::{Source, evidence, print_json};
use crate::{exit, output};

/// Arguments of `explain request`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// Number of the request.
    request: u64,
    #[command(flatten)]
    source: Source,
}

/// An attempt.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
struct Attempt {
    server: id::Server,
    started_millis: u64,
    ended_millis: u64,
    end: String,
}

/// What became of a request.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
struct Trace {
    request: u64,
    ended_at_millis: u64,
    service: id::Service,
    organisation: id::Organisation,
    attempts: Vec<Attempt>,
    status: Option<u16>,
    refusal: Option<String>,
    run: String,
    whole: bool,
}

/// A request with the decisions about it.
#[derive(Debug, serde::Serialize)]
struct Explained {
    trace: Trace,
    decisions: Vec<evidence::Decision>,
}

impl Arguments {
    /// Shows the request.
    pub async fn run(self) -> exit::Code {
        let fleet = self.source.find().await;
        let path = format!("/v1/explain/request?request={}", self.request);
        let mut known = evidence::ByVm::new();
        for (daemon, answer) in fleet.ask::<Trace>(&path).await {
            match answer {
                Ok(trace) => {
                    let decisions = decisions(daemon.admin, self.request).await;
                    let explained = Explained { trace, decisions };
                    known.insert(daemon.vm.clone(), explained);
                }
                Err(error) if error.status == Some(http::StatusCode::NOT_FOUND) => {}
                Err(error) => output::error(format_args!("explain: {error}")),
            }
        }
        if known.is_empty() {
            output::error(format_args!(
                "explain: none of {} daemons that answer remembers request {}",
                fleet.answering().len(),
                self.request
            ));
            return exit::Code::Failure;
        }
        if self.source.json {
            return print_json(&known);
        }
        for (vm, explained) in &known {
            print(vm, explained);
        }
        exit::Code::Success
    }
}

async fn decisions(admin: std::net::SocketAddr, request: u64) -> Vec<evidence::Decision> {
    let all: Result<Vec<evidence::Decision>, _> = crate::admin::get(admin, "/v1/decisions").await;
    let all = all.unwrap_or_else(|error| {
        output::error(format_args!("explain: {error}"));
        Vec::new()
    });
    let about = |d: &evidence::Decision| d.request == Some(request);
    all.into_iter().filter(about).collect()
}

fn print(vm: &str, explained: &Explained) {
    let trace = &explained.trace;
    output::line(format_args!(
        "{vm}: request {} of {} to {}, ended at {} ms since 1970",
        trace.request, trace.organisation, trace.service, trace.ended_at_millis
    ));
    for attempt in &trace.attempts {
        output::line(format_args!(
            "  attempt at {}: {} ms to {} ms, {}",
            attempt.server, attempt.started_millis, attempt.ended_millis, attempt.end
        ));
    }
    let status = trace
        .status
        .map_or("no answer".to_owned(), |s| format!("status {s}"));
    // A server's answer says that the work was run, whatever it did.
    let run = match (trace.status, &trace.refusal) {
        (Some(_), None) => "run",
        _ => &trace.run,
    };
    let whole = if trace.whole { "whole" } else { "not whole" };
    output::line(format_args!("  outcome: {status}, {whole}; work: {run}"));
    if let Some(refusal) = &trace.refusal {
        output::line(format_args!("  answered by the fleet: {refusal}"));
    }
    evidence::print_decisions(&explained.decisions);
}
