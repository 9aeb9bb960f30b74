//! The work of a ticket runs at most once.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use monsooncart_policy::claims::{claim, ticket};

use crate::fixture;
use crate::scripted::{ScriptedServer, Step};

async fn mint_ticket(proxy: &fixture::Proxy) -> ticket::Ticket {
    let response = fixture::send(proxy.address, fixture::request("POST", "/v1/tickets", "")).await;
    assert_eq!(response.status, 201);
    let document: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
    document["ticket"].as_str().unwrap().parse().unwrap()
}

fn title(response: &fixture::Response) -> String {
    let document: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
    document["title"].as_str().unwrap().to_owned()
}

fn with_ticket(target: &str, ticket: &ticket::Ticket) -> Request<Full<Bytes>> {
    let mut request = fixture::request("POST", target, "one story");
    let value = ticket.to_string().parse().unwrap();
    request.headers_mut().insert("monsooncart-ticket", value);
    request
}

#[tokio::test]
async fn ticket_runs_once_and_its_outcome_can_be_queried() {
    let backend = fixture::start_backend("server-0").await;
    let proxy = fixture::start_proxy(&[backend.address()]).await;
    let ticket = mint_ticket(&proxy).await;

    let first = fixture::send(proxy.address, with_ticket("/release", &ticket)).await;
    let claims = proxy.fakes.claims.clone();
    fixture::wait_until("settlement", || {
        claims.state(&ticket) == claim::State::Answered(200)
    })
    .await;
    let second = fixture::send(proxy.address, with_ticket("/release", &ticket)).await;
    let status = fixture::request("GET", &format!("/v1/tickets/{ticket}"), "");
    let status = fixture::send(proxy.address, status).await;

    let status: serde_json::Value = serde_json::from_slice(&status.body).unwrap();
    assert_eq!(first.status, 200);
    assert_eq!(second.status, 409);
    assert_eq!(second.header("monsooncart-outcome"), "unknown");
    assert_eq!(title(&second), "ticket-used");
    assert_eq!(status["state"], "answered");
    assert_eq!(status["status"], 200);
    assert_eq!(backend.starts().count, 1);
}

#[tokio::test]
async fn concurrent_send_with_the_same_ticket_gets_409_with_retry_after() {
    let server = ScriptedServer::start(vec![Step::ReadHead, Step::Wait]).await;
    let proxy = fixture::start_proxy(&[server.address]).await;
    let ticket = mint_ticket(&proxy).await;
    let first = fixture::try_send(proxy.address, with_ticket("/release", &ticket));
    let first = tokio::spawn(first);
    fixture::wait_until("first send", || server.heads() == 1).await;

    let second = fixture::send(proxy.address, with_ticket("/release", &ticket)).await;

    assert_eq!(second.status, 409);
    assert_eq!(title(&second), "ticket-claimed");
    assert_eq!(second.header("retry-after"), "1");
    assert_eq!(server.heads(), 1);
    first.abort();
}

#[tokio::test]
async fn requests_with_refused_claims_are_never_sent() {
    for (refusal, status, retry) in [
        (claim::Refusal::Released, 503, "1"),
        (claim::Refusal::Expired, 409, ""),
        (claim::Refusal::Stopping, 503, "1"),
        (claim::Refusal::Unreachable, 503, "1"),
        (claim::Refusal::Gone, 503, ""),
        (claim::Refusal::Forged, 400, ""),
    ] {
        let backend = fixture::start_backend("server-0").await;
        let proxy = fixture::start_proxy(&[backend.address()]).await;
        let ticket = mint_ticket(&proxy).await;
        proxy.fakes.claims.refuse(refusal);

        let response = fixture::send(proxy.address, with_ticket("/purchase/1", &ticket)).await;

        assert_eq!(response.status, status, "{refusal}");
        // The outcome describes the ticket's work, which an earlier attempt may have run.
        assert_eq!(
            response.header("monsooncart-outcome"),
            "unknown",
            "{refusal}"
        );
        assert_eq!(response.header("retry-after"), retry, "{refusal}");
        assert_eq!(backend.starts().count, 0, "{refusal}");
    }
}

#[tokio::test]
async fn claim_whose_work_was_not_run_is_released() {
    let closed = fixture::closed_address().await;
    let proxy = fixture::start_proxy(&[closed]).await;
    let ticket = mint_ticket(&proxy).await;

    let response = fixture::send(proxy.address, with_ticket("/release", &ticket)).await;

    let claims = proxy.fakes.claims.clone();
    fixture::wait_until("release", || claims.released() == [ticket]).await;
    assert_eq!(response.header("monsooncart-outcome"), "not-run");
    assert_eq!(claims.state(&ticket), claim::State::Open);
}

#[tokio::test]
async fn claim_whose_work_may_have_run_is_settled_as_unknown() {
    let server = ScriptedServer::start(vec![Step::ReadHead, Step::Reset]).await;
    let proxy = fixture::start_proxy(&[server.address]).await;
    let ticket = mint_ticket(&proxy).await;

    let response = fixture::send(proxy.address, with_ticket("/release", &ticket)).await;

    let claims = proxy.fakes.claims.clone();
    fixture::wait_until("settlement", || {
        claims.state(&ticket) == claim::State::Unknown
    })
    .await;
    assert_eq!(response.header("monsooncart-outcome"), "unknown");
    assert!(claims.released().is_empty());
}

#[tokio::test]
async fn claim_whose_caller_disconnected_after_the_send_is_settled_as_unknown() {
    let server = ScriptedServer::start(vec![Step::ReadHead, Step::ReadEnd]).await;
    let proxy = fixture::start_proxy(&[server.address]).await;
    let ticket = mint_ticket(&proxy).await;
    let sending = fixture::try_send(proxy.address, with_ticket("/release", &ticket));
    let sending = tokio::spawn(sending);
    fixture::wait_until("send", || server.heads() == 1).await;

    sending.abort();

    let claims = proxy.fakes.claims.clone();
    fixture::wait_until("settlement", || {
        claims.state(&ticket) == claim::State::Unknown
    })
    .await;
}
