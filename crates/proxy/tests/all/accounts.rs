//! Every request is recorded once, when it has completed.

use monsooncart_policy::{handle, outcome};

use crate::fixture;

#[tokio::test]
async fn record_counts_bytes_in_both_directions() {
    let backend = fixture::start_backend("server-0").await;
    let proxy = fixture::start_proxy(&[backend.address()]).await;

    let response =
        fixture::send(proxy.address, fixture::request("POST", "/order/1", "12345")).await;

    let meter = proxy.fakes.meter.clone();
    fixture::wait_until("record", || !meter.records().is_empty()).await;
    let records = meter.records();
    assert_eq!(records.len(), 1);
    let record = &records[0];
    assert_eq!(record.organisation.as_str(), "gazette");
    assert_eq!(record.service.as_str(), "wiredesk");
    assert_eq!(record.server.as_ref().unwrap().as_str(), "server-0");
    assert_eq!(record.status, Some(200));
    assert_eq!(record.attempts, 1);
    assert_eq!(record.received_bytes, 5);
    assert_eq!(record.sent_bytes, response.body.len() as u64);
    assert_eq!(record.execution, outcome::Execution::Unknown);
    assert!(record.complete);
    assert_eq!(record.refusal, None);
}

#[tokio::test]
async fn refusal_is_recorded_with_its_reason() {
    let proxy = fixture::start_proxy(&[]).await;

    fixture::send(proxy.address, fixture::request("GET", "/items/1", "")).await;

    let meter = proxy.fakes.meter.clone();
    fixture::wait_until("record", || !meter.records().is_empty()).await;
    let record = meter.records().remove(0);
    assert_eq!(record.refusal, Some(outcome::Reason::NoServer));
    assert_eq!(record.execution, outcome::Execution::NotRun);
    assert_eq!(record.status, Some(503));
    assert!(record.complete);
}

#[tokio::test]
async fn request_is_traced_and_counted() {
    let closed = fixture::closed_address().await;
    let backend = fixture::start_backend("server-1").await;
    let proxy = fixture::start_proxy(&[closed, backend.address()]).await;

    let response = fixture::send(proxy.address, fixture::request("GET", "/items/1", "")).await;

    let request = handle::Request(response.header("monsooncart-request").parse().unwrap());
    fixture::wait_until("trace", || proxy.engine.trace(request).is_some()).await;
    let trace = proxy.engine.trace(request).unwrap();
    let outcomes: Vec<_> = trace.attempts.iter().map(|a| a.end.as_str()).collect();
    assert_eq!(outcomes, ["unsent", "answered"]);
    let text = proxy.metrics();
    let line = "monsooncart_requests_total{outcome=\"answered\",service=\"wiredesk\"} 1";
    assert!(text.contains(line), "{text}");
}
