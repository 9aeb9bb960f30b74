//! What is reported as not run was not run, whatever breaks at whichever step.

use crate::fixture;
use crate::scripted::{Scripted, Step, answer};

/// Body of the request, large enough to stream.
const BODY_BYTES: usize = 4 << 20;

/// Sends an unrepeatable request and gives what it came to: the outcome that the fleet states, or
/// `unknown` where the answer was cut.
async fn outcome(front: &fixture::Front, body: usize) -> String {
    let request = fixture::request("POST", "/order/1", vec![7; body]);
    match fixture::try_send(front.address, request).await {
        Ok(answer) if answer.status.is_success() => "answered".to_owned(),
        Ok(answer) => answer.header("monsooncart-outcome").to_owned(),
        Err(_) => "unknown".to_owned(),
    }
}

#[tokio::test]
async fn before_the_connection_nothing_was_run() {
    let gone = fixture::gone().await;
    let front = fixture::front(&[gone]).await;

    let outcome = outcome(&front, 10).await;

    assert_eq!(outcome, "not-run");
}

#[tokio::test]
async fn a_refusal_by_the_server_was_not_run() {
    let refusal = "HTTP/1.1 503 Service Unavailable\r\nmonsooncart-outcome: not-run\r\n\
                   retry-after: 2\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    let server = Scripted::start(vec![
        Step::ReadHead,
        Step::Write(refusal.into()),
        Step::Wait,
    ])
    .await;
    let front = fixture::front(&[server.address]).await;

    let outcome = outcome(&front, 10).await;

    assert_eq!(outcome, "not-run");
}

#[tokio::test]
async fn not_run_is_said_only_where_the_server_received_nothing() {
    let half_answer = b"HTTP/1.1 200 OK\r\ncontent-le".to_vec();
    let half_body = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf".to_vec();
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
            "half an answer's head",
            10,
            vec![Step::ReadHead, Step::Read(10), Step::Write(half_answer)],
        ),
        (
            "half an answer's body",
            10,
            vec![Step::ReadHead, Step::Read(10), Step::Write(half_body)],
        ),
        (
            "garbage",
            10,
            vec![Step::ReadHead, Step::Read(10), Step::Write(garbage)],
        ),
    ];
    for (name, body, script) in steps {
        let server = Scripted::start(script).await;
        let front = fixture::front(&[server.address]).await;

        let outcome = outcome(&front, body).await;

        match outcome.as_str() {
            "not-run" => assert_eq!(server.received(), 0, "{name}"),
            "unknown" => {}
            other => panic!("{name}: outcome {other}"),
        }
        let starts = server.heads();
        assert!(starts <= 1, "{name}: {starts} starts of unrepeatable work");
    }
}

#[tokio::test]
async fn the_caller_gone_at_any_step_leaves_a_true_record() {
    for script in [
        vec![Step::Wait],
        vec![Step::ReadHead, Step::ReadEnd],
        vec![Step::ReadHead, Step::Read(10), Step::ReadEnd],
    ] {
        let server = Scripted::start(script.clone()).await;
        let front = fixture::front(&[server.address]).await;
        let request = fixture::request("POST", "/order/1", vec![7; 10]);
        let sending = tokio::spawn(fixture::try_send(front.address, request));
        fixture::until("connection", || server.connections() == 1).await;

        sending.abort();

        let meter = front.fakes.meter.clone();
        fixture::until("record", || meter.records().len() == 1).await;
        server.go();
        let record = meter.records().remove(0);
        assert_eq!(record.status, None, "{script:?}");
        if record.run == monsooncart_policy::outcome::Execution::NotRun {
            assert_eq!(server.received(), 0, "{script:?}");
        }
    }
}

#[tokio::test]
async fn a_server_cannot_mark_an_answer_as_the_fleets_own() {
    let forged = b"HTTP/1.1 200 OK\r\nmonsooncart-outcome: not-run\r\ncontent-length: 2\r\n\r\nok";
    let server = Scripted::start(vec![Step::ReadHead, Step::Write(forged.to_vec())]).await;
    let front = fixture::front(&[server.address]).await;

    let answer = fixture::send(front.address, fixture::request("GET", "/items/1", "")).await;

    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("monsooncart-outcome"), "");
}

#[tokio::test]
async fn unrepeatable_work_is_sent_on_to_another_server_only_unsent() {
    let gone = fixture::gone().await;
    let server = Scripted::start(vec![Step::ReadHead, Step::Read(4), answer("done")]).await;
    let front = fixture::front(&[gone, server.address]).await;
    let request = fixture::request("POST", "/order/1", "once");

    let answer = fixture::send(front.address, request).await;

    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("monsooncart-server"), "server-1");
    assert_eq!(server.heads(), 1);
}
