//! Guarantee: a poison request, which crashes every backend server that executes it, crashes at
//! most two.

use monsooncart_testbed::backend::server;

use crate::fixture::{daemon, fleet, http};

#[tokio::test(flavor = "multi_thread")]
async fn poison_request_crashes_at_most_two_servers() {
    let plan = fleet::Plan::new(3, fleet::Service::new("wiredesk", 6));
    let mut fleet = fleet::Fleet::start(plan).await;

    let mut last_status = 0;
    for number in 0..40 {
        let headers = [
            ("authorization", daemon::AUTHORIZATION),
            (server::POISON_HEADER, "yes"),
        ];
        let address = fleet.daemons[number % 3].caller_address();
        let reply = http::get(address, "/wiredesk/poison", &headers).await;
        last_status = reply.map_or(0, |r| r.status);
    }
    let mut crashed = 0;
    for backend in &mut fleet.backends {
        crashed += usize::from(!backend.process.is_running());
    }
    let healthy = fleet.daemons[0].get("/wiredesk/item").await;

    assert!(crashed <= 2, "{crashed} servers crashed");
    assert_eq!(last_status, 503, "the request is rejected in the end");
    assert_eq!(healthy.expect("response").status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn unrepeatable_poison_request_through_many_daemons_crashes_at_most_two_servers() {
    let plan = fleet::Plan::new(4, fleet::Service::new("wiredesk", 6));
    let mut fleet = fleet::Fleet::start(plan).await;

    for number in 0..40 {
        let headers = [
            ("authorization", daemon::AUTHORIZATION),
            (server::POISON_HEADER, "yes"),
        ];
        let address = fleet.daemons[number % 4].caller_address();
        let _ignored = http::send(address, "POST", "/wiredesk/once", &headers, "same").await;
    }
    let mut crashed = 0;
    for backend in &mut fleet.backends {
        crashed += usize::from(!backend.process.is_running());
    }

    assert!(crashed <= 2, "{crashed} servers crashed");
}
