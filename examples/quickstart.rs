//! A complete fleet in one process: backend servers, three daemons and callers on loopback.
//!
//! During the run one backend server turns gray: it accepts requests and does not respond, while
//! its health endpoint reports it as healthy. The table shows the requests that each server starts
//! per second, and the last line sums up the results of the callers and the backend servers. A
//! purchase that the gray server started while its stall could not yet be distinguished from a slow
//! response is counted separately, as unforeseeable. Run it with
//! `cargo run --release --example quickstart`.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

use monsooncart_daemon::engine;
use monsooncart_testbed::backend::{mode, starts};
use monsooncart_testbed::caller::{options, report, run};
use monsooncart_testbed::local::{self, plan};
use monsooncart_types::id;

/// Duration of the load.
const DURATION_SECONDS: usize = 12;

/// Second of the run in which a server turns gray.
const GRAY_SECOND: usize = 4;

/// Index of the server that turns gray.
const GRAY_INDEX: usize = 2;

const REQUESTS_PER_SECOND: f64 = 240.0;

/// Fraction of requests that are purchases, which are unrepeatable.
const PURCHASE_FRACTION: f64 = 0.2;

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    let service = plan::Service::new("wiredesk", 6, 2, Duration::from_millis(20));
    let fleet = match local::Fleet::start(plan::Plan::new(3, service)).await {
        Ok(fleet) => fleet,
        Err(error) => {
            eprintln!("quickstart: {error}");
            return ExitCode::FAILURE;
        }
    };
    println!(
        "6 backend servers with 2 slots each, 3 daemons, {REQUESTS_PER_SECOND} requests per second."
    );
    println!(
        "Each cell: requests started in that second, and the state that most daemons report.\n"
    );
    let load = tokio::spawn(run::run(caller_options(&fleet)));
    let (states, starts_before_gray) = watch(&fleet).await;
    fleet.backends[GRAY_INDEX].set_mode(mode::Mode::default());
    let report = match load.await {
        Ok(report) => report,
        Err(error) => {
            eprintln!("quickstart: callers: {error}");
            return ExitCode::FAILURE;
        }
    };
    print_summary(&fleet, report, &states, starts_before_gray)
}

fn caller_options(fleet: &local::Fleet) -> options::Options {
    options::Options {
        daemons: fleet.caller_addresses(),
        service: "wiredesk".to_owned(),
        key: local::KEY.to_owned(),
        get: "/wiredesk/items/".to_owned(),
        post: "/wiredesk/purchases/".to_owned(),
        unrepeatable: PURCHASE_FRACTION,
        bytes: None,
        workers: 64,
        rate: Some(REQUESTS_PER_SECOND),
        count: None,
        duration: Duration::from_secs(DURATION_SECONDS as u64),
        retries: 5,
        timeout: Duration::from_secs(30),
        seed: 1,
    }
}

/// Prints a row every second; returns the last state of each server, and the number of requests
/// that the gray one started before it turned gray.
async fn watch(fleet: &local::Fleet) -> (BTreeMap<id::Server, String>, usize) {
    let names: Vec<_> = fleet.configuration.services[0]
        .servers
        .iter()
        .map(|s| s.name.clone())
        .collect();
    let headings: Vec<_> = names.iter().map(|name| format!("{name:<16}")).collect();
    println!("second  {}", headings.join(" "));
    let mut previous_counts = vec![0; names.len()];
    let mut last_states = BTreeMap::new();
    let mut starts_before_gray = 0;
    for second in 1..=DURATION_SECONDS {
        if second == GRAY_SECOND {
            println!(
                "        {} turns gray: it stalls while its health endpoint reports it as healthy",
                names[GRAY_INDEX]
            );
            fleet.backends[GRAY_INDEX].set_mode(mode::Mode {
                stall: true,
                lying: true,
                ..mode::Mode::default()
            });
            starts_before_gray = fleet.backends[GRAY_INDEX].starts().starts.len();
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        last_states = states(&fleet.daemons);
        let mut cells = Vec::new();
        for (index, name) in names.iter().enumerate() {
            let count = fleet.backends[index].starts().count;
            let state = last_states.get(name).map_or("", String::as_str);
            let cell = format!("{:>3} {state}", count - previous_counts[index]);
            cells.push(format!("{cell:<16}"));
            previous_counts[index] = count;
        }
        println!("{second:>6}  {}", cells.join(" "));
    }
    (last_states, starts_before_gray)
}

/// The state of each server that most daemons report.
fn states(daemons: &[engine::Engine]) -> BTreeMap<id::Server, String> {
    let service: Result<id::Service, _> = "wiredesk".parse();
    let Ok(service) = service else {
        return BTreeMap::new();
    };
    let mut votes = BTreeMap::<id::Server, BTreeMap<&str, usize>>::new();
    for proxy in daemons.iter().filter_map(|d| d.core().proxy()) {
        for (name, view) in proxy.views(&service) {
            *votes
                .entry(name)
                .or_default()
                .entry(view.state)
                .or_default() += 1;
        }
    }
    let most_reported = |votes: BTreeMap<&str, usize>| {
        let winner = votes.into_iter().max_by_key(|(_, count)| *count);
        winner.map_or(String::new(), |(state, _)| state.to_owned())
    };
    votes
        .into_iter()
        .map(|(name, counts)| (name, most_reported(counts)))
        .collect()
}

/// Prints where each lost purchase was started, and when, relative to the first request that the
/// gray server did not answer.
fn print_losses(fleet: &local::Fleet, report: &report::Report, logs: &[starts::Starts]) {
    let lost = |r: &&report::UnrepeatableRequest| r.outcome == report::Outcome::Lost;
    for request in report.works.iter().filter(lost) {
        let servers = fleet.configuration.services[0].servers.iter().zip(logs);
        let mut starts = servers.flat_map(|(server, log)| {
            let of_request = log.starts.iter().filter(|start| start.id == request.id);
            of_request.map(move |start| format!("{} at {} ms", server.name, start.at_millis))
        });
        let started = starts.next().unwrap_or_else(|| "no server".to_owned());
        println!(
            "purchase {} has no outcome; started by {started}",
            request.id
        );
    }
}

fn print_summary(
    fleet: &local::Fleet,
    mut report: report::Report,
    states: &BTreeMap<id::Server, String>,
    starts_before_gray: usize,
) -> ExitCode {
    let logs: Vec<_> = fleet.backends.iter().map(|b| b.starts()).collect();
    report.audit(&logs);
    let is_ejected =
        |(_, state): &(&id::Server, &String)| *state == "ejected" || *state == "returning";
    let ejected: Vec<_> = states
        .iter()
        .filter(is_ejected)
        .map(|(name, _)| name.to_string())
        .collect();
    let gray_starts = logs[GRAY_INDEX]
        .starts
        .get(starts_before_gray..)
        .unwrap_or_default();
    if let Some(first) = gray_starts.first() {
        println!(
            "\nfirst request at the gray server: {} ms after its start",
            first.at_millis
        );
    }
    let unforeseeable = report.count_unforeseeable_losses(gray_starts);
    let lost = report.lost + report.wrong - unforeseeable;
    print_losses(fleet, &report, &logs);
    let doubled = report.doubled.unwrap_or_default();
    let falsely_not_run = report.falsely_not_run.unwrap_or_default();
    println!(
        "\np50 {:.1} ms, p99 {:.1} ms; {} requests refused, {} retries, {falsely_not_run} falsely reported as not run.",
        report.latency.p50_millis, report.latency.p99_millis, report.refused, report.retries,
    );
    println!(
        "quickstart: sent={} answered={} unforeseeable={unforeseeable} lost={lost} doubled={doubled} ejected={}",
        report.sent,
        report.answered,
        ejected.join(","),
    );
    let gray = &fleet.configuration.services[0].servers[GRAY_INDEX].name;
    let gray_detected = ejected.len() == 1 && ejected[0] == gray.to_string();
    let guarantees_hold = lost + doubled + falsely_not_run == 0;
    match gray_detected && guarantees_hold && report.answered > 0 {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
