//! Overload: demand above the capacity of all servers, for longer than their queues can absorb.
//!
//! The servers process requests in order of arrival, so that a full queue makes every response
//! late without serving more of them.

use std::collections::BTreeMap;
use std::time::Duration;

use monsooncart_policy::{event, outcome, rank};

use crate::fixture::{self, MS};
use crate::load::{Job, Server};

const SERVERS: u32 = 8;
const SLOTS: u32 = 6;

/// Time within which a response has its full value.
const OBJECTIVE: Duration = Duration::from_millis(1200);

/// Bounds of the work of a request, in milliseconds.
const WORK_MILLIS: [u64; 2] = [210, 630];

/// Requests per second that the servers can process.
const CAPACITY: f64 = (SERVERS * SLOTS) as f64 / 0.42;

/// Counts of a run.
#[derive(Debug, Default)]
struct Counts {
    in_objective: u32,
    late: u32,
    refused: u32,
}

/// Work of the request with this number.
fn work(number: u64) -> Duration {
    let [min, max] = WORK_MILLIS;
    Duration::from_millis(min + rank::hash(&number.to_be_bytes()) % (max - min))
}

/// Runs `duration` with `load` times the capacity as demand, and counts the results.
fn run(load: f64, duration: Duration) -> Counts {
    let mut harness = fixture::harness(
        (0..SERVERS)
            .map(|number| monsooncart_policy::inventory::Server {
                slots: SLOTS,
                ..fixture::server(number)
            })
            .collect(),
    );
    let mut servers: BTreeMap<u32, Server> =
        (0..SERVERS).map(|n| (n, Server::new(SLOTS))).collect();
    let mut counts = Counts::default();
    let millis = u64::try_from(duration.as_millis()).expect("a short run");
    let mut sent_requests = 0_u64;
    for step in 0..millis {
        harness.advance(MS);
        let now = harness.now;
        let due = (step as f64 / 1000.0 * CAPACITY * load) as u64;
        while sent_requests < due {
            sent_requests += 1;
            let mut arrival = harness.arrival(false);
            arrival.objective = Some(OBJECTIVE);
            arrival.max_attempts = 1;
            let actions = harness.handle(event::Event::Arrive(arrival));
            counts.refused += fixture::refusals(&actions).len() as u32;
            for sent in fixture::sent_attempts(&actions) {
                let server = servers.get_mut(&sent.server.0).expect("a known server");
                server.queue.push_back(Job {
                    attempt: sent.attempt,
                    arrived_at: now,
                    work: work(sent_requests),
                });
            }
        }
        for server in servers.values_mut() {
            for job in server.finished(now) {
                harness.finish(job.attempt, outcome::Outcome::Answered(200));
                if now.since(job.arrived_at) <= OBJECTIVE {
                    counts.in_objective += 1;
                } else {
                    counts.late += 1;
                }
            }
            server.start_queued(now);
        }
        if step % 50 == 0 {
            harness.handle(event::Event::Tick);
        }
    }
    counts
}

#[test]
fn sustained_overload_is_refused_early_and_what_is_accepted_is_served_in_its_objective() {
    let duration = Duration::from_secs(20);

    let counts = run(1.4, duration);

    let served = counts.in_objective + counts.late;
    let capacity = CAPACITY * duration.as_secs_f64();
    assert!(
        f64::from(served) >= 0.93 * capacity,
        "{counts:?} of {capacity}"
    );
    assert!(counts.late * 10 <= served, "{counts:?}");
}

#[test]
fn demand_within_the_capacity_is_served_whole() {
    let counts = run(0.8, Duration::from_secs(20));

    let served = counts.in_objective + counts.late;
    assert!(counts.refused * 200 <= served, "{counts:?}");
    assert!(counts.late * 100 <= served, "{counts:?}");
}

#[test]
fn a_short_burst_is_absorbed_by_the_queues() {
    let counts = run(1.6, Duration::from_millis(700));

    assert_eq!(counts.refused, 0, "{counts:?}");
}
