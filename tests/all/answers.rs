//! Guarantee: every caller receives the complete response to its own request.

use monsooncart_testbed::backend::mode;

use crate::fixture::{fleet, http, wait};

/// Number of concurrent requests in one round.
const REQUESTS: usize = 60;

fn plan() -> fleet::Plan {
    fleet::Plan::new(2, fleet::Service::new("wiredesk", 4))
}

/// Sends concurrent requests through all daemons, each with its own id and path, and returns the
/// number of complete responses.
///
/// # Panics
///
/// Panics if a response with status 200 belongs to another request.
async fn count_complete_responses(fleet: &fleet::Fleet, round: &str, timeout: &str) -> usize {
    let send = |number: usize| async move {
        let id = format!("{round}-{number}");
        let path = format!("/wiredesk/item/{id}");
        let headers = [
            ("authorization", crate::fixture::daemon::AUTHORIZATION),
            ("x-request-id", &*id),
            ("monsooncart-timeout-ms", timeout),
        ];
        let daemon = &fleet.daemons[number % fleet.daemons.len()];
        let reply = http::get(daemon.caller_address(), &path, &headers).await;
        let complete = reply.ok().filter(|r| r.status == 200);
        if let Some(reply) = &complete {
            let echo = reply.json();
            assert_eq!(echo["target"], path, "response to another request");
            assert_eq!(echo["id"], id, "response to another request");
        }
        usize::from(complete.is_some())
    };
    let sends = (0..REQUESTS).map(send);
    futures_util::future::join_all(sends)
        .await
        .into_iter()
        .sum()
}

async fn set_mode_of_all(fleet: &fleet::Fleet, mode: &mode::Mode) {
    for backend in &fleet.backends {
        backend.set_mode(mode.clone()).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn responses_to_other_requests_are_not_forwarded() {
    let fleet = fleet::Fleet::start(plan()).await;
    let crossed = mode::Mode {
        crossed: true,
        ..mode::Mode::default()
    };
    set_mode_of_all(&fleet, &crossed).await;

    count_complete_responses(&fleet, "crossed", "2000").await;
    set_mode_of_all(&fleet, &mode::Mode::default()).await;
    let recovered = count_complete_responses(&fleet, "recovered", "5000").await;

    assert!(recovered > 0, "no response after the fault was cleared");
}

#[tokio::test(flavor = "multi_thread")]
async fn late_responses_are_not_forwarded_to_later_requests() {
    let mut plan = plan();
    plan.services[0].service_time = "20ms";
    let fleet = fleet::Fleet::start(plan).await;
    let slow = mode::Mode {
        slow: 30.0,
        ..mode::Mode::default()
    };
    set_mode_of_all(&fleet, &slow).await;

    // Each of these times out, and its response arrives while later requests are in flight.
    for round in 0..4 {
        count_complete_responses(&fleet, &format!("late-{round}"), "300").await;
    }
    set_mode_of_all(&fleet, &mode::Mode::default()).await;
    let recovered = count_complete_responses(&fleet, "recovered", "5000").await;

    assert!(recovered > 0, "no response after the fault was cleared");
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_body_is_never_a_complete_response() {
    let fleet = fleet::Fleet::start(plan()).await;
    let cut = mode::Mode {
        cut_after: Some(100_000),
        ..mode::Mode::default()
    };
    set_mode_of_all(&fleet, &cut).await;

    let mut complete = 0;
    for number in 0..20 {
        let daemon = &fleet.daemons[number % 2];
        let reply = daemon.get("/wiredesk/package?bytes=1000000").await;
        complete += usize::from(reply.is_ok_and(|r| r.status == 200));
    }

    assert_eq!(complete, 0, "a truncated body was delivered as complete");
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_lose_no_repeatable_request() {
    let fleet = fleet::Fleet::start(plan()).await;
    let before = count_complete_responses(&fleet, "before", "5000").await;
    let silent = mode::Mode {
        silent: true,
        ..mode::Mode::default()
    };
    set_mode_of_all(&fleet, &silent).await;

    wait::until("requests use new connections", || async {
        count_complete_responses(&fleet, "after", "5000").await == REQUESTS
    })
    .await;

    assert!(before > 0);
    for daemon in &fleet.daemons {
        for backend in &fleet.backends {
            let state = daemon.server_state("wiredesk", &backend.name).await;
            assert_ne!(
                state, "ejected",
                "{} was ejected for its connections",
                backend.name
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn disconnected_caller_frees_its_slot() {
    let mut plan = plan();
    plan.services[0].servers = 1;
    plan.services[0].floor = "100%";
    let fleet = fleet::Fleet::start(plan).await;
    let stall = mode::Mode {
        stall: true,
        ..mode::Mode::default()
    };
    fleet.backends[0].set_mode(stall).await;

    for _ in 0..8 {
        let request = fleet.daemons[0].get("/wiredesk/item");
        let result = tokio::time::timeout(std::time::Duration::from_millis(200), request).await;
        assert!(result.is_err(), "{result:?}");
    }
    fleet.backends[0].set_mode(mode::Mode::default()).await;

    wait::until("slots are released", || async {
        let reply = fleet.daemons[0].get("/wiredesk/item").await;
        reply.is_ok_and(|r| r.status == 200)
    })
    .await;
}
