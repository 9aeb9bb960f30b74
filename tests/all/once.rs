//! Guarantee: an unrepeatable request is executed at most once, and one reported as "not run" was
//! never started.

use std::time::Duration;

use monsooncart_testbed::{backend::mode, fault::rule, platform};
use rustix::process::Signal;

use crate::fixture::{fleet, http, wait};

const PURCHASE: &str = "/wiredesk/purchase";

fn plan(daemons: usize) -> fleet::Plan {
    fleet::Plan::new(daemons, fleet::Service::new("wiredesk", 3))
}

async fn purchase(
    fleet: &fleet::Fleet,
    daemon: usize,
    ticket: &str,
) -> Result<http::Reply, http::Error> {
    let headers = [("monsooncart-ticket", ticket)];
    fleet.daemons[daemon].post(PURCHASE, &headers, "one").await
}

/// Status of each response; 0 if there was none.
fn statuses(replies: &[Result<http::Reply, http::Error>]) -> Vec<u16> {
    let status = |r: &Result<http::Reply, http::Error>| r.as_ref().map_or(0, |r| r.status);
    replies.iter().map(status).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn resent_request_without_a_ticket_is_executed_twice() {
    let fleet = fleet::Fleet::start(plan(2)).await;
    let headers = [("x-request-id", "no-ticket")];

    let first = fleet.daemons[0].post("/wiredesk/once", &headers, "one");
    let second = fleet.daemons[1].post("/wiredesk/once", &headers, "one");
    let (first, second) = tokio::join!(first, second);

    assert_eq!(first.expect("response").status, 200);
    assert_eq!(second.expect("response").status, 200);
    assert_eq!(fleet.count_starts("no-ticket").await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn ticket_sent_concurrently_through_all_daemons_is_executed_once() {
    let fleet = fleet::Fleet::start(plan(3)).await;

    for _ in 0..20 {
        let ticket = fleet.daemons[0].request_ticket().await;
        let sends = (0..9).map(|n| purchase(&fleet, n % 3, &ticket));
        let replies = futures_util::future::join_all(sends).await;
        let late = purchase(&fleet, 1, &ticket).await.expect("response");

        let statuses = statuses(&replies);
        assert_eq!(statuses.iter().filter(|s| **s == 200).count(), 1);
        assert!(statuses.iter().all(|s| matches!(s, 200 | 409)));
        assert_eq!(late.status, 409);
        assert_eq!(late.header("monsooncart-outcome"), "unknown");
        assert_eq!(fleet.count_starts(&ticket).await, 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn resend_during_execution_is_asked_to_retry_later() {
    let mut plan = plan(2);
    plan.services[0].service_time = "1500ms";
    let fleet = fleet::Fleet::start(plan).await;
    let ticket = fleet.daemons[0].request_ticket().await;

    let second = async {
        wait::until("first request is executing", || async {
            fleet.count_starts(&ticket).await == 1
        })
        .await;
        purchase(&fleet, 1, &ticket).await
    };
    let (first, second) = tokio::join!(purchase(&fleet, 0, &ticket), second);
    let second = second.expect("response");

    assert_eq!(first.expect("response").status, 200);
    assert_eq!(second.status, 409);
    assert!(!second.header("retry-after").is_empty());
    assert_eq!(fleet.count_starts(&ticket).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn ticket_of_a_killed_minter_is_lost_and_never_executed_twice() {
    let mut fleet = fleet::Fleet::start(plan(3)).await;
    let used_ticket = fleet.daemons[0].request_ticket().await;
    let unused_ticket = fleet.daemons[0].request_ticket().await;
    let first = purchase(&fleet, 1, &used_ticket).await.expect("response");

    fleet.daemons[0].process.kill();
    let resent = purchase(&fleet, 2, &used_ticket).await.expect("response");
    let unused_ticket_reply = purchase(&fleet, 2, &unused_ticket).await.expect("response");

    assert_eq!(first.status, 200);
    assert_eq!(resent.status, 503);
    assert_eq!(resent.header("monsooncart-outcome"), "unknown");
    assert_eq!(unused_ticket_reply.status, 503);
    assert_eq!(fleet.count_starts(&used_ticket).await, 1);
    assert_eq!(fleet.count_starts(&unused_ticket).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_claimant_leaves_at_most_one_execution() {
    let mut plan = plan(3);
    plan.services[0].service_time = "800ms";
    let mut fleet = fleet::Fleet::start(plan).await;
    let ticket = fleet.daemons[0].request_ticket().await;

    let address = fleet.daemons[1].caller_address();
    let sent = {
        let ticket = ticket.clone();
        tokio::spawn(async move {
            let headers = [
                ("authorization", crate::fixture::daemon::AUTHORIZATION),
                ("monsooncart-ticket", &*ticket),
            ];
            http::send(address, "POST", PURCHASE, &headers, "one").await
        })
    };
    wait::until("request is executing", || async {
        fleet.count_starts(&ticket).await == 1
    })
    .await;
    fleet.daemons[1].process.kill();
    let resent = purchase(&fleet, 2, &ticket).await.expect("response");

    assert!(sent.await.expect("task completes").is_err());
    assert_eq!(resent.status, 409);
    assert_eq!(fleet.count_starts(&ticket).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_claimant_executes_no_request_twice() {
    let fleet = fleet::Fleet::start(plan(3)).await;
    let mut tickets = Vec::new();
    for _ in 0..40 {
        tickets.push(fleet.daemons[0].request_ticket().await);
    }

    // The pause may fall anywhere between claiming and sending these requests.
    let first = tickets.iter().map(|t| purchase(&fleet, 1, t));
    let first = futures_util::future::join_all(first);
    let second = async {
        tokio::time::sleep(Duration::from_millis(5)).await;
        fleet.daemons[1].process.signal(Signal::STOP);
        let sends = tickets.iter().map(|t| purchase(&fleet, 2, t));
        let replies = futures_util::future::join_all(sends).await;
        fleet.daemons[1].process.signal(Signal::CONT);
        replies
    };
    let (_first, second) = tokio::join!(first, second);

    for ticket in &tickets {
        assert!(
            fleet.count_starts(ticket).await <= 1,
            "ticket {ticket} was executed twice"
        );
    }
    assert!(
        statuses(&second)
            .iter()
            .all(|s| matches!(s, 200 | 409 | 503))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn tickets_stay_valid_after_a_planned_stop_of_the_minter() {
    let mut fleet = fleet::Fleet::start(plan(3)).await;
    let used_ticket = fleet.daemons[0].request_ticket().await;
    let unused_ticket = fleet.daemons[0].request_ticket().await;
    let first = purchase(&fleet, 1, &used_ticket).await.expect("response");

    fleet.daemons[0].process.signal(Signal::TERM);
    let status = fleet.daemons[0].process.wait(wait::TIMEOUT);
    let resent = purchase(&fleet, 1, &used_ticket).await.expect("response");
    let reply = wait::for_value("open ticket is decided by the successor", || async {
        let reply = purchase(&fleet, 2, &unused_ticket).await.expect("response");
        (reply.status != 503).then_some(reply)
    })
    .await;

    assert!(status.success());
    assert_eq!(first.status, 200);
    assert_ne!(resent.status, 200);
    assert_eq!(reply.status, 200);
    assert_eq!(fleet.count_starts(&used_ticket).await, 1);
    assert_eq!(fleet.count_starts(&unused_ticket).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn first_attempts_succeed_in_a_platform_outage() {
    let fleet = fleet::Fleet::start(plan(3)).await;
    let outage = platform::Faults {
        outage: platform::Outage::Silent,
        ..platform::Faults::default()
    };
    fleet.set_platform_faults(&outage).await;

    let mut answered = 0;
    for number in 0..60 {
        let ticket = fleet.daemons[number % 3].request_ticket().await;
        let reply = purchase(&fleet, (number + 1) % 3, &ticket).await;
        answered += usize::from(reply.is_ok_and(|r| r.status == 200));
    }

    assert_eq!(answered, 60);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_reported_as_not_run_were_not_started() {
    let fleet = fleet::Fleet::start(plan(2)).await;
    let modes = [
        mode::Mode {
            refuse: true,
            ..mode::Mode::default()
        },
        mode::Mode {
            shed: true,
            ..mode::Mode::default()
        },
        mode::Mode {
            cut_after: Some(0),
            ..mode::Mode::default()
        },
        mode::Mode {
            silent: true,
            ..mode::Mode::default()
        },
        mode::Mode {
            stall: true,
            ..mode::Mode::default()
        },
    ];

    for (round, mode) in modes.into_iter().enumerate() {
        for backend in &fleet.backends {
            backend.set_mode(mode.clone()).await;
        }
        let ids: Vec<_> = (0..12).map(|n| format!("step-{round}-{n}")).collect();
        let sends = ids.iter().enumerate().map(|(n, id)| {
            let daemon = &fleet.daemons[n % 2];
            async move {
                let headers = [
                    ("x-request-id", id.as_str()),
                    ("monsooncart-timeout-ms", "1000"),
                ];
                daemon.post("/wiredesk/once", &headers, "one").await
            }
        });
        let replies = futures_util::future::join_all(sends).await;
        for (id, reply) in ids.iter().zip(replies) {
            let not_run = reply.is_ok_and(|r| r.header("monsooncart-outcome") == "not-run");
            let starts = fleet.count_starts(id).await;
            assert!(!not_run || starts == 0, "{id} is reported as not run");
            assert!(starts <= 1, "{id} was executed {starts} times");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_grant_executes_nothing_and_the_ticket_stays_valid() {
    let mut plan = plan(2);
    plan.has_fault_proxy = true;
    let fleet = fleet::Fleet::start(plan).await;
    let ticket = fleet.daemons[0].request_ticket().await;
    let warmup_ticket = fleet.daemons[0].request_ticket().await;
    let warmup = purchase(&fleet, 1, &warmup_ticket).await.expect("response");

    // Daemon 0 receives the claims of daemon 1, and its grants are lost.
    let rule = rule::Rule::one_way(rule::Direction::FromTarget, rule::Fault::Cut);
    fleet
        .set_link_rules(0, &[rule.for_source(fleet.daemons[1].ip)])
        .await;
    let rejected = purchase(&fleet, 1, &ticket).await.expect("response");
    let starts_without_grant = fleet.count_starts(&ticket).await;
    fleet.set_link_rules(0, &[]).await;
    let resent = wait::for_value("ticket is open again", || async {
        let reply = purchase(&fleet, 1, &ticket).await.ok()?;
        (reply.status == 200).then_some(reply)
    });
    let resent = resent.await;

    assert_eq!(warmup.status, 200);
    assert_eq!(rejected.status, 503);
    assert!(!rejected.header("retry-after").is_empty());
    assert_eq!(starts_without_grant, 0);
    assert_eq!(resent.status, 200);
    assert_eq!(fleet.count_starts(&ticket).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn aborted_execution_is_reported_as_unknown() {
    let mut plan = plan(1);
    plan.services[0].service_time = "10s";
    let fleet = fleet::Fleet::start(plan).await;
    let headers = [("x-request-id", "broken")];

    let executing = wait::for_value("request is executing", || async {
        let starts = fleet.backends.iter().map(|b| b.fetch_starts());
        let starts = futures_util::future::join_all(starts).await;
        starts.iter().position(|s| s.count > 0)
    });
    let send = fleet.daemons[0].post("/wiredesk/once", &headers, "one");
    tokio::pin!(send, executing);
    let crashed = tokio::select! {
        biased;
        executing = &mut executing => executing,
        reply = &mut send => panic!("response before the request was executing: {reply:?}"),
    };
    // The response to the caller may come before the one to the crashing call.
    let (reply, ()) = tokio::join!(send, fleet.backends[crashed].crash());
    let reply = reply.expect("response");

    assert_eq!(reply.status, 502);
    assert_eq!(reply.header("monsooncart-outcome"), "unknown");
    for (index, backend) in fleet.backends.iter().enumerate() {
        if index != crashed {
            assert_eq!(
                backend.fetch_starts().await.count,
                0,
                "the request was executed again"
            );
        }
    }
}
