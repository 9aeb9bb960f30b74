//! `explain route`: shows where a request would go now, without sending it.

use clap::Args;
use monsooncart_types::id;

use super::{Source, print_json, responses};
use crate::{exit, output};

/// Number of servers that are shown of each service.
const SHOWN_SERVERS: usize = 8;

/// Arguments of `explain route`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// Host of the request.
    #[arg(value_parser = parse_host)]
    host: String,
    /// Path of the request, which begins with a slash.
    #[arg(value_parser = parse_path)]
    path: String,
    /// Organisation of the caller, whose priority and allowance apply.
    #[arg(long)]
    organisation: Option<id::Organisation>,
    #[command(flatten)]
    source: Source,
}

/// Characters that end a host or a path in a URL, or part a query.
const DELIMITERS: [char; 3] = ['&', '?', '#'];

fn parse_host(text: &str) -> Result<String, String> {
    let is_valid = !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic());
    match is_valid && !text.contains('/') && !text.contains(DELIMITERS) {
        true => Ok(text.to_owned()),
        false => Err("expected a host name, without a scheme or path".to_owned()),
    }
}

fn parse_path(text: &str) -> Result<String, String> {
    let is_valid = text.starts_with('/') && text.bytes().all(|b| b.is_ascii_graphic());
    match is_valid && !text.contains(DELIMITERS) {
        true => Ok(text.to_owned()),
        false => Err("expected a path that begins with a slash, without a query".to_owned()),
    }
}

impl Arguments {
    /// Shows each daemon's explanation.
    pub async fn run(self) -> exit::Code {
        let Self {
            host,
            path,
            organisation,
            source,
        } = self;
        let fleet = source.discover().await;
        let mut target = format!("/v1/explain/route?host={host}&path={path}");
        if let Some(organisation) = &organisation {
            target.push_str(&format!("&organisation={organisation}"));
        }
        let mut routes = responses::ByVm::new();
        for (daemon, response) in fleet.get_from_all::<responses::Route>(&target).await {
            match response {
                Ok(route) => {
                    routes.insert(daemon.vm.clone(), route);
                }
                Err(error) if error.status == Some(http::StatusCode::NOT_FOUND) => {}
                Err(error) => output::error(format_args!("explain: {error}")),
            }
        }
        if routes.is_empty() {
            output::error(format_args!(
                "explain: no responding daemon has a route for host {host} and path {path}"
            ));
            return exit::Code::Failure;
        }
        if let Some(organisation) = &organisation
            && routes.values().all(|route| route.organisation.is_none())
        {
            output::error(format_args!(
                "explain: no responding daemon has an organisation {organisation}; expected one \
                 with keys in the configuration"
            ));
            return exit::Code::Failure;
        }
        if source.json {
            return print_json(&routes);
        }
        for (vm, route) in &routes {
            print(vm, route, organisation.as_ref());
        }
        exit::Code::Success
    }
}

fn print(vm: &str, route: &responses::Route, organisation: Option<&id::Organisation>) {
    let kind = if route.repeatable {
        "repeatable"
    } else {
        "unrepeatable"
    };
    output::line(format_args!(
        "{vm}: route {} ({}), {kind}, priority {}, routing version {}",
        route.name, route.prefix, route.priority, route.routing
    ));
    if let Some(organisation) = &route.organisation {
        let share = organisation.share.map_or_else(
            || "no share yet".to_owned(),
            |share| format!("a share of {share:.2}"),
        );
        output::line(format_args!(
            "  organisation {}: this daemon has {share} of its allowance",
            organisation.name
        ));
    } else if let Some(organisation) = organisation {
        output::line(format_args!(
            "  organisation {organisation}: unknown to this daemon, which answers its keys with 401"
        ));
    }
    for service in &route.services {
        print_service(service);
    }
}

fn print_service(service: &responses::RouteService) {
    let name = &service.service;
    let Some(explanation) = &service.explanation else {
        output::line(format_args!(
            "  {name}: not configured, or nothing is explained"
        ));
        return;
    };
    output::line(format_args!(
        "  {name} (weight {}): {}; {}",
        service.weight, explanation.verdict, explanation.reason
    ));
    output::line(format_args!(
        "    {} requests wait, for {} ms",
        explanation.waiting, explanation.wait_millis
    ));
    let candidates = explanation.candidates.iter().zip(&service.servers);
    for (candidate, server) in candidates.take(SHOWN_SERVERS) {
        let server = server.as_ref().map_or("unknown", |server| server.as_str());
        let cost = match (&candidate.excluded, candidate.cost) {
            (Some(reason), _) => reason.clone(),
            (None, Some(cost)) => format!("cost {cost:.3}"),
            (None, None) => "full".to_owned(),
        };
        output::line(format_args!(
            "    {server}: {cost}, fails {}/1000, load {} of {} slots, evidence {} ms old",
            candidate.risk, candidate.load, candidate.slots, candidate.evidence_age_millis
        ));
    }
}
