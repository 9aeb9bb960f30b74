//! Local replies of the fleet.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{Full, StreamBody};
use monsooncart_config::settings;
use monsooncart_types::{size, span};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::scripted::{ScriptedServer, Step};
use crate::{fakes, fixture, host};

/// Asserts that a response is a local reply that reports the request as not run.
fn assert_not_run(response: &fixture::Response, status: u16) {
    assert_eq!(response.status, status, "{response:?}");
    assert_eq!(response.header("content-type"), "application/problem+json");
    assert_eq!(response.header("monsooncart-outcome"), "not-run");
    assert!(!response.header("monsooncart-request").is_empty());
    let document: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
    assert_eq!(document["status"], status);
    assert_eq!(document["outcome"], "not-run");
}

fn with_header(
    mut request: Request<Full<Bytes>>,
    name: &'static str,
    value: &str,
) -> Request<Full<Bytes>> {
    request.headers_mut().insert(name, value.parse().unwrap());
    request
}

async fn send_raw(address: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut response = Vec::new();
    let reading = stream.read_to_end(&mut response);
    tokio::time::timeout(fixture::TEST_TIMEOUT, reading)
        .await
        .unwrap()
        .unwrap();
    String::from_utf8(response).unwrap()
}

#[tokio::test]
async fn unknown_key_gets_401() {
    let proxy = fixture::start_proxy(&[]).await;
    let request = fixture::request("GET", "/items/1", "");
    let unknown = with_header(request, "authorization", "Bearer nobody");
    let mut missing = fixture::request("GET", "/items/1", "");
    missing.headers_mut().remove("authorization");

    let unknown = fixture::send(proxy.address, unknown).await;
    let missing = fixture::send(proxy.address, missing).await;

    assert_not_run(&unknown, 401);
    assert_not_run(&missing, 401);
    assert_eq!(missing.header("www-authenticate"), "Bearer");
}

#[tokio::test]
async fn unknown_path_gets_404() {
    let proxy = fixture::start_proxy(&[]).await;

    let unknown = fixture::send(proxy.address, fixture::request("GET", "/nothing", "")).await;
    let reserved = fixture::send(proxy.address, fixture::request("GET", "/v1/nothing", "")).await;

    assert_not_run(&unknown, 404);
    assert_not_run(&reserved, 404);
}

#[tokio::test]
async fn method_without_a_route_gets_405() {
    let proxy = fixture::start_proxy(&[]).await;

    let response = fixture::send(proxy.address, fixture::request("DELETE", "/items/1", "")).await;

    assert_not_run(&response, 405);
    assert_eq!(response.header("allow"), "GET");
}

#[tokio::test]
async fn organisation_without_access_gets_403() {
    let proxy = fixture::start_proxy(&[]).await;
    let request = fixture::request("GET", "/items/1", "");
    let request = with_header(
        request,
        "authorization",
        &format!("Bearer {}", fixture::OTHER_KEY),
    );

    let response = fixture::send(proxy.address, request).await;

    assert_not_run(&response, 403);
}

#[tokio::test]
async fn malformed_request_gets_400() {
    let proxy = fixture::start_proxy(&[]).await;
    let request = fixture::request("GET", "/items/1", "");
    let timeout = with_header(request, "monsooncart-timeout-ms", "soon");
    let dot_segments = fixture::request("GET", "/items/%2e%2e/order", "");

    let timeout = fixture::send(proxy.address, timeout).await;
    let dot_segments = fixture::send(proxy.address, dot_segments).await;

    assert_not_run(&timeout, 400);
    assert_not_run(&dot_segments, 400);
}

#[tokio::test]
async fn non_http_head_gets_400_marked_as_not_run() {
    let proxy = fixture::start_proxy(&[]).await;

    let response = send_raw(proxy.address, b"this is not http\r\n\r\n").await;

    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    assert!(
        response.contains("monsooncart-outcome: not-run\r\n"),
        "{response}"
    );
}

#[tokio::test]
async fn non_http_head_after_a_complete_request_is_marked_as_not_run() {
    let backend = fixture::start_backend("server-0").await;
    let proxy = fixture::start_proxy(&[backend.address()]).await;
    let valid_head = format!(
        "GET /items/1 HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\n\r\n",
        fixture::KEY
    );
    let mut stream = TcpStream::connect(proxy.address).await.unwrap();
    stream.write_all(valid_head.as_bytes()).await.unwrap();
    let mut first = Vec::new();
    while !first.ends_with(b"}") {
        first.push(stream.read_u8().await.unwrap());
    }

    stream.write_all(b"this is not http\r\n\r\n").await.unwrap();
    let mut second = String::new();
    stream.read_to_string(&mut second).await.unwrap();

    assert!(first.starts_with(b"HTTP/1.1 200"));
    assert!(second.starts_with("HTTP/1.1 400"), "{second}");
    assert!(
        second.contains("monsooncart-outcome: not-run\r\n"),
        "{second}"
    );
}

#[tokio::test]
async fn oversized_head_gets_431() {
    let limits = settings::Limits {
        head: size::Size(8 << 10),
        ..fixture::limits()
    };
    let policies = std::sync::Arc::new(fakes::Naive);
    let proxy = fixture::start_proxy_with(&[], limits, policies).await;
    let request = fixture::request("GET", "/items/1", "");
    let large = with_header(request, "x-large", &"x".repeat(9 << 10));
    let huge = format!(
        "GET /items/1 HTTP/1.1\r\nhost: a\r\nx-huge: {}\r\n\r\n",
        "x".repeat(200 << 10)
    );

    let large = fixture::send(proxy.address, large).await;
    let huge = send_raw(proxy.address, huge.as_bytes()).await;

    assert_not_run(&large, 431);
    assert!(huge.starts_with("HTTP/1.1 431"), "{huge}");
    assert!(huge.contains("monsooncart-outcome: not-run\r\n"), "{huge}");
}

#[tokio::test]
async fn body_over_the_limit_gets_413() {
    let backend = fixture::start_backend("server-0").await;
    let proxy = fixture::start_proxy(&[backend.address()]).await;
    let oversized = fixture::request("POST", "/small", vec![0; 101 << 10]);

    let oversized = fixture::send(proxy.address, oversized).await;

    assert_not_run(&oversized, 413);
    assert_eq!(backend.starts().count, 0);
}

/// A part of a streamed body.
fn piece() -> Result<http_body::Frame<Bytes>, std::io::Error> {
    Ok(http_body::Frame::data(Bytes::from(vec![0; 16 << 10])))
}

#[tokio::test]
async fn streamed_body_over_the_limit_that_was_sent_in_part_gets_413_with_unknown_outcome() {
    let server = ScriptedServer::start(vec![Step::ReadHead, Step::ReadEnd]).await;
    let proxy = fixture::start_proxy(&[server.address]).await;
    let (sender, mut receiver) = tokio::sync::mpsc::unbounded_channel();
    let pieces = futures_util::stream::poll_fn(move |cx| receiver.poll_recv(cx));
    let request = fixture::request("POST", "/small", "").map(|_| StreamBody::new(pieces));
    (0..6).for_each(|_| sender.send(piece()).unwrap());
    let sending = tokio::spawn(fixture::try_send(proxy.address, request));
    fixture::wait_until("the first parts", || server.heads() == 1).await;

    (0..10).for_each(|_| sender.send(piece()).unwrap());

    let response = sending.await.unwrap().unwrap();
    assert_eq!(response.status, 413);
    assert_eq!(response.header("monsooncart-outcome"), "unknown");
}

#[tokio::test]
async fn streamed_body_over_the_limit_gets_413_and_not_run_only_if_nothing_was_sent() {
    let server = ScriptedServer::start(vec![Step::ReadHead, Step::ReadEnd]).await;
    let proxy = fixture::start_proxy(&[server.address]).await;
    let pieces = (0..16).map(|_| piece()).collect::<Vec<_>>();
    let body = StreamBody::new(futures_util::stream::iter(pieces));
    let request = fixture::request("POST", "/small", "").map(|_| body);

    let response = fixture::try_send(proxy.address, request).await.unwrap();

    let is_sent = server.received_bytes() > 0;
    let outcome = response.header("monsooncart-outcome");
    assert_eq!(response.status, 413);
    assert!(
        outcome == "unknown" || outcome == "not-run" && !is_sent,
        "{outcome}"
    );
}

#[tokio::test]
async fn missing_ticket_gets_428() {
    let proxy = fixture::start_proxy(&[]).await;

    let response = fixture::send(proxy.address, fixture::request("POST", "/release", "")).await;

    assert_not_run(&response, 428);
}

#[tokio::test]
async fn no_server_gets_503_with_retry_after() {
    let proxy = fixture::start_proxy(&[]).await;

    let response = fixture::send(proxy.address, fixture::request("GET", "/items/1", "")).await;

    assert_not_run(&response, 503);
    assert_eq!(response.header("retry-after"), "1");
}

#[tokio::test]
async fn entries_are_returned_with_their_lifetime() {
    let proxy = fixture::start_proxy(&[]).await;
    let known = fixture::request("GET", "/v1/entries?service=wiredesk", "");
    let unknown = fixture::request("GET", "/v1/entries?service=nothing", "");
    let malformed = fixture::request("GET", "/v1/entries", "");

    let known = fixture::send(proxy.address, known).await;
    let unknown = fixture::send(proxy.address, unknown).await;
    let malformed = fixture::send(proxy.address, malformed).await;

    let document: serde_json::Value = serde_json::from_slice(&known.body).unwrap();
    assert_eq!(known.status, 200);
    assert_eq!(known.header("cache-control"), "max-age=30");
    assert_eq!(document["entries"][0]["address"], "10.0.0.1:8080");
    assert_not_run(&unknown, 404);
    assert_not_run(&malformed, 400);
}

/// Guards against a status that says that a request was not run, for an upload at which a server has begun
/// (REFUSED).
#[tokio::test]
async fn upload_that_stalls_after_a_server_has_begun_is_not_reported_as_not_run() {
    let server = ScriptedServer::start(vec![Step::ReadHead, Step::ReadEnd]).await;
    let limits = settings::Limits {
        body_timeout: span::Span(Duration::from_millis(200)),
        ..fixture::limits()
    };
    let addresses = [server.address];
    let proxy = host::start_limited(&addresses, fixture::TEST_TIMEOUT, limits).await;
    let mut caller = TcpStream::connect(proxy.address).await.unwrap();
    let half = vec![b'a'; 80 << 10];
    let head = format!(
        "POST /orders/1 HTTP/1.1\r\nhost: wires.example\r\nx-request: 1\r\ncontent-length: {}\r\n\r\n",
        2 * half.len()
    );
    caller.write_all(head.as_bytes()).await.unwrap();
    caller.write_all(&half).await.unwrap();

    let mut reply = vec![0; 4096];
    let count = caller.read(&mut reply).await.unwrap();

    let reply = String::from_utf8_lossy(&reply[..count]).into_owned();
    assert!(reply.starts_with("HTTP/1.1 502"), "{reply}");
    assert_eq!(server.heads(), 1);
}

/// Guards against heads within the limit that are refused for the number of their lines.
#[tokio::test]
async fn heads_with_many_short_lines_are_forwarded_in_both_directions() {
    const LINES: usize = 1400;
    let lines = |name: &str| -> String {
        let line = |number| format!("{name}-{number}: a\r\n");
        (0..LINES).map(line).collect()
    };
    let response = format!(
        "HTTP/1.1 200 OK\r\n{}content-length: 2\r\n\r\nok",
        lines("s")
    );
    let script = vec![Step::ReadHead, Step::Write(response.into_bytes())];
    let server = ScriptedServer::start(script).await;
    let proxy = fixture::start_proxy(&[server.address]).await;
    let request = format!(
        "GET /items/1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\nauthorization: Bearer {}\r\n{}\r\n",
        fixture::KEY,
        lines("c")
    );

    let reply = send_raw(proxy.address, request.as_bytes()).await;

    assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    for number in 0..LINES {
        let received = server.received_text();
        assert!(received.contains(&format!("\r\nc-{number}: a\r\n")));
        assert!(reply.contains(&format!("\r\ns-{number}: a\r\n")));
    }
}
