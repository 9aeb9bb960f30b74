//! Work that is reported as not run was not run, for failures at every step of an exchange.

use crate::scripted::{ScriptedServer, Step, response};
use crate::{fixture, host};

/// Length of a request body that is large enough to be streamed.
const BODY_BYTES: usize = 4 << 20;

/// Sends an unrepeatable request and returns its outcome as reported by the fleet, or `unknown` if
/// the response was truncated.
async fn request_outcome(proxy: &fixture::Proxy, body: usize) -> String {
    let request = fixture::request("POST", "/order/1", vec![7; body]);
    match fixture::try_send(proxy.address, request).await {
        Ok(response) if response.status.is_success() => "answered".to_owned(),
        Ok(response) => response.header("monsooncart-outcome").to_owned(),
        Err(_) => "unknown".to_owned(),
    }
}

#[tokio::test]
async fn failure_to_connect_is_reported_as_not_run() {
    let closed = fixture::closed_address().await;
    let proxy = fixture::start_proxy(&[closed]).await;

    let outcome = request_outcome(&proxy, 10).await;

    assert_eq!(outcome, "not-run");
}

#[tokio::test]
async fn refusal_by_the_server_is_reported_as_not_run() {
    let refusal = "HTTP/1.1 503 Service Unavailable\r\nmonsooncart-outcome: not-run\r\n\
                   retry-after: 2\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    let server = ScriptedServer::start(vec![
        Step::ReadHead,
        Step::Write(refusal.into()),
        Step::Wait,
    ])
    .await;
    let proxy = fixture::start_proxy(&[server.address]).await;

    let outcome = request_outcome(&proxy, 10).await;

    assert_eq!(outcome, "not-run");
}

/// Guards against a second copy of a refusal that is taken for the answer to the next request on the
/// connection, which the server runs (REFUSED, TWICE).
#[tokio::test]
async fn a_refusal_written_once_more_on_a_kept_connection_refuses_no_later_request() {
    let refusal = b"HTTP/1.1 503 Service Unavailable\r\nmonsooncart-outcome: not-run\r\n\
                    content-length: 0\r\n\r\n";
    let script = vec![
        Step::ReadHead,
        Step::Write(refusal.to_vec()),
        Step::ReadHead,
        Step::Write(refusal.to_vec()),
        Step::ReadEnd,
    ];
    let server = ScriptedServer::start(script).await;
    let proxy = fixture::start_proxy(&[server.address]).await;

    for _ in 0..2 {
        let outcome = request_outcome(&proxy, 0).await;

        assert_eq!(outcome, "not-run");
    }

    // Each attempt was refused as the first one of its connection.
    assert_eq!(server.connections(), server.heads());
}

/// Guards against the same with host routing, where the copy bears the id of the earlier request.
#[tokio::test]
async fn a_refusal_with_the_id_of_an_earlier_request_is_no_promise() {
    let refusal = |id: &str| {
        let head = "HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\ncontent-length: 0\r\n";
        Step::Write(format!("{head}x-request: {id}\r\n\r\n").into_bytes())
    };
    for earlier in ["0", "2"] {
        let script = vec![Step::ReadHead, refusal(earlier), Step::ReadEnd];
        let server = ScriptedServer::start(script).await;
        let proxy = host::start(&[server.address], fixture::TEST_TIMEOUT).await;

        let answer = fixture::send(proxy.address, host::request("POST", "/orders/1")).await;

        assert_eq!(answer.status, 502);
        assert_eq!(server.heads(), 1);
    }
}

#[tokio::test]
async fn not_run_is_reported_only_if_the_server_received_nothing() {
    let partial_head = b"HTTP/1.1 200 OK\r\ncontent-le".to_vec();
    let partial_body = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf".to_vec();
    let garbage = b"not an answer at all\r\n\r\n".to_vec();
    let steps = [
        ("after connect", 10, vec![Step::Reset]),
        ("half a head", 10, vec![Step::Read(20), Step::Reset]),
        ("head sent", BODY_BYTES, vec![Step::ReadHead, Step::Reset]),
        (
            "half a body",
            BODY_BYTES,
            vec![Step::ReadHead, Step::Read(BODY_BYTES / 2), Step::Reset],
        ),
        (
            "all sent",
            BODY_BYTES,
            vec![Step::ReadHead, Step::Read(BODY_BYTES), Step::Reset],
        ),
        (
            "half a response's head",
            10,
            vec![Step::ReadHead, Step::Read(10), Step::Write(partial_head)],
        ),
        (
            "half a response's body",
            10,
            vec![Step::ReadHead, Step::Read(10), Step::Write(partial_body)],
        ),
        (
            "garbage",
            10,
            vec![Step::ReadHead, Step::Read(10), Step::Write(garbage)],
        ),
    ];
    for (name, body, script) in steps {
        let server = ScriptedServer::start(script).await;
        let proxy = fixture::start_proxy(&[server.address]).await;

        let outcome = request_outcome(&proxy, body).await;

        match outcome.as_str() {
            "not-run" => assert_eq!(server.received_bytes(), 0, "{name}"),
            "unknown" => {}
            other => panic!("{name}: outcome {other}"),
        }
        let starts = server.heads();
        assert!(starts <= 1, "{name}: {starts} starts of unrepeatable work");
    }
}

#[tokio::test]
async fn caller_disconnecting_at_any_step_leaves_a_correct_record() {
    for script in [
        vec![Step::Wait],
        vec![Step::ReadHead, Step::ReadEnd],
        vec![Step::ReadHead, Step::Read(10), Step::ReadEnd],
    ] {
        let server = ScriptedServer::start(script.clone()).await;
        let proxy = fixture::start_proxy(&[server.address]).await;
        let request = fixture::request("POST", "/order/1", vec![7; 10]);
        let sending = tokio::spawn(fixture::try_send(proxy.address, request));
        fixture::wait_until("connection", || server.connections() == 1).await;

        sending.abort();

        let meter = proxy.fakes.meter.clone();
        fixture::wait_until("record", || meter.records().len() == 1).await;
        server.resume();
        let record = meter.records().remove(0);
        assert_eq!(record.status, None, "{script:?}");
        if record.execution == monsooncart_policy::outcome::Execution::NotRun {
            assert_eq!(server.received_bytes(), 0, "{script:?}");
        }
    }
}

#[tokio::test]
async fn server_cannot_forge_the_outcome_header() {
    let forged = b"HTTP/1.1 200 OK\r\nmonsooncart-outcome: not-run\r\ncontent-length: 2\r\n\r\nok";
    let server = ScriptedServer::start(vec![Step::ReadHead, Step::Write(forged.to_vec())]).await;
    let proxy = fixture::start_proxy(&[server.address]).await;

    let response = fixture::send(proxy.address, fixture::request("GET", "/items/1", "")).await;

    assert_eq!(response.status, 200);
    assert_eq!(response.header("monsooncart-outcome"), "");
}

#[tokio::test]
async fn unrepeatable_work_is_retried_only_if_nothing_was_sent() {
    let closed = fixture::closed_address().await;
    let server = ScriptedServer::start(vec![Step::ReadHead, Step::Read(4), response("done")]).await;
    let proxy = fixture::start_proxy(&[closed, server.address]).await;
    let request = fixture::request("POST", "/order/1", "once");

    let response = fixture::send(proxy.address, request).await;

    assert_eq!(response.status, 200);
    assert_eq!(response.header("monsooncart-server"), "server-1");
    assert_eq!(server.heads(), 1);
}
