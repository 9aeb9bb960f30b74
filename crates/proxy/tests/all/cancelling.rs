//! Cancellation by callers that disconnect.

use http_body_util::BodyExt as _;

use crate::fixture;
use crate::scripted::{ScriptedServer, Step};

#[tokio::test]
async fn caller_disconnecting_before_the_head_cancels_the_attempt() {
    let server = ScriptedServer::start(vec![Step::ReadHead, Step::ReadEnd]).await;
    let proxy = fixture::start_proxy(&[server.address]).await;
    let request = fixture::request("GET", "/items/1", "");
    let sending = tokio::spawn(fixture::try_send(proxy.address, request));
    fixture::wait_until("send", || server.heads() == 1).await;

    sending.abort();

    fixture::wait_until("close", || server.closed() == 1).await;
    fixture::wait_until("completion", || proxy.engine.in_flight() == 0).await;
    assert_eq!(server.heads(), 1);
}

#[tokio::test]
async fn caller_disconnecting_mid_response_cancels_the_attempt_and_is_recorded_once() {
    let backend = fixture::start_backend("server-0").await;
    let proxy = fixture::start_proxy(&[backend.address()]).await;
    let mut sender = fixture::connect(proxy.address).await;
    let request = fixture::request("GET", "/items/1?bytes=100000000", "");
    let mut body = sender.send_request(request).await.unwrap().into_body();
    body.frame().await.unwrap().unwrap();

    drop(body);
    drop(sender);

    let meter = proxy.fakes.meter.clone();
    fixture::wait_until("record", || !meter.records().is_empty()).await;
    fixture::wait_until("completion", || proxy.engine.in_flight() == 0).await;
    let records = meter.records();
    assert_eq!(records.len(), 1);
    assert!(!records[0].complete);
    assert!(records[0].sent_bytes < 100_000_000);
}

#[tokio::test]
async fn caller_disconnecting_mid_request_body_closes_the_server_connection() {
    let server = ScriptedServer::start(vec![Step::ReadHead, Step::ReadEnd]).await;
    let proxy = fixture::start_proxy(&[server.address]).await;
    let stream = futures_util::stream::unfold(0, |sent: u32| async move {
        if sent == 4 {
            std::future::pending::<()>().await;
        }
        let piece = bytes::Bytes::from(vec![7; 64 << 10]);
        let frame = http_body::Frame::data(piece);
        Some((Ok::<_, std::io::Error>(frame), sent + 1))
    });
    let body = http_body_util::StreamBody::new(Box::pin(stream));
    let request = fixture::request("POST", "/upload", "").map(|_| body);
    let sending = tokio::spawn(fixture::try_send(proxy.address, request));
    fixture::wait_until("send", || server.received_bytes() > 200_000).await;

    sending.abort();

    fixture::wait_until("close", || server.closed() == 1).await;
    let meter = proxy.fakes.meter.clone();
    fixture::wait_until("record", || meter.records().len() == 1).await;
}
