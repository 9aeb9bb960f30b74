//! Forwarding of requests that succeed.

use std::time::Duration;

use http_body_util::BodyExt as _;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use monsooncart_config::settings;
use monsooncart_types::span;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::scripted::{ScriptedServer, Step};
use crate::{fakes, fixture};

#[tokio::test]
async fn get_receives_its_own_complete_response() {
    let backend = fixture::start_backend("server-0").await;
    let proxy = fixture::start_proxy(&[backend.address()]).await;

    let response = fixture::send(proxy.address, fixture::request("GET", "/items/1?a=b", "")).await;

    assert_eq!(response.status, 200);
    assert_eq!(response.echo().target, "/items/1?a=b");
    assert_eq!(response.echo().organisation, "gazette");
    assert_eq!(response.header("monsooncart-server"), "server-0");
    assert!(!response.header("monsooncart-request").is_empty());
    assert!(response.header("monsooncart-attempt").is_empty());
}

#[tokio::test]
async fn large_bodies_are_forwarded_unchanged_in_both_directions() {
    const BODY_BYTES: u64 = 64 << 20;
    let backend = fixture::start_backend("server-0").await;
    let proxy = fixture::start_proxy(&[backend.address()]).await;
    let pattern = monsooncart_testbed::backend::pattern::Pattern::new("/upload");
    let body = pattern.bytes(0, BODY_BYTES);
    let digest = <sha2::Sha256 as sha2::Digest>::digest(&body);

    let download = fixture::request("GET", &format!("/items/1?bytes={BODY_BYTES}"), "");
    let download = fixture::send(proxy.address, download).await;
    let upload = fixture::request("POST", "/upload", body);
    let upload = fixture::send(proxy.address, upload).await;

    let pattern = monsooncart_testbed::backend::pattern::Pattern::new(&format!(
        "/items/1?bytes={BODY_BYTES}"
    ));
    assert_eq!(download.body.len() as u64, BODY_BYTES);
    assert!(pattern.matches(0, &download.body));
    assert_eq!(upload.echo().length, BODY_BYTES);
    assert_eq!(upload.echo().sha256, hex::encode(digest));
}

/// Guards against bodies that are lost because few clients send one with such a method (UNASKED).
#[tokio::test]
async fn bodies_of_all_methods_and_framings_are_forwarded_whole() {
    let backend = fixture::start_backend("server-0").await;
    let proxy = fixture::start_proxy(&[backend.address()]).await;
    for method in ["GET", "POST", "DELETE", "OPTIONS", "PATCH"] {
        for body_bytes in [100, 70_000, 400_000] {
            for chunked in [true, false] {
                let pattern = monsooncart_testbed::backend::pattern::Pattern::new(method);
                let body = pattern.bytes(0, body_bytes);
                let digest = <sha2::Sha256 as sha2::Digest>::digest(&body);
                let mut request = fixture::request(method, "/documents/1", body.clone());
                let headers = request.headers_mut();
                match chunked {
                    true => headers.insert("transfer-encoding", "chunked".parse().unwrap()),
                    false => headers.insert("content-length", body_bytes.into()),
                };

                let response = fixture::send(proxy.address, request).await;

                let echo = response.echo();
                assert_eq!(echo.length, body_bytes, "{method}, chunked: {chunked}");
                assert_eq!(echo.sha256, hex::encode(digest));
                assert_eq!(echo.method, method);
            }
        }
    }
}

/// Guards against the same where an HTTP/2 caller states no length.
#[tokio::test]
async fn body_of_a_stream_without_a_length_is_forwarded_whole() {
    const BODY_BYTES: u64 = 150_000;
    let backend = fixture::start_backend("server-0").await;
    let proxy = fixture::start_proxy(&[backend.address()]).await;
    let pattern = monsooncart_testbed::backend::pattern::Pattern::new("GET");
    let body = pattern.bytes(0, BODY_BYTES);
    let frames =
        futures_util::stream::iter([Ok::<_, std::io::Error>(http_body::Frame::data(body))]);
    let (head, _) = fixture::request("GET", "http://wires.example/documents/1", "").into_parts();
    let request = http::Request::from_parts(head, http_body_util::StreamBody::new(frames));
    let io = TokioIo::new(TcpStream::connect(proxy.address).await.unwrap());
    let (mut sender, connection) = http2::handshake(TokioExecutor::new(), io).await.unwrap();
    tokio::spawn(connection);

    let response = sender.send_request(request).await.unwrap();

    let body = response.into_body().collect().await.unwrap().to_bytes();
    let echo: monsooncart_testbed::backend::server::Echo = serde_json::from_slice(&body).unwrap();
    assert_eq!(echo.length, BODY_BYTES);
}

#[tokio::test]
async fn head_request_gets_the_length_and_no_body() {
    let backend = fixture::start_backend("server-0").await;
    let proxy = fixture::start_proxy(&[backend.address()]).await;
    let mut sender = fixture::connect(proxy.address).await;

    let head = sender.send_request(fixture::request("HEAD", "/items/1?bytes=100000", ""));
    let (head, body) = head.await.unwrap().into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    sender.ready().await.unwrap();
    let refused = sender.send_request(fixture::request("HEAD", "/nothing", ""));
    let refused = refused.await.unwrap();
    sender.ready().await.unwrap();
    let next = sender.send_request(fixture::request("GET", "/items/2", ""));
    let next = next.await.unwrap();

    assert_eq!(head.status, 200);
    assert_eq!(head.headers["content-length"], "100000");
    assert!(body.is_empty());
    assert_eq!(refused.status(), 404);
    assert_eq!(next.status(), 200);
}

#[tokio::test]
async fn unread_streamed_body_is_sent_whole_to_another_server() {
    const BODY_BYTES: u64 = 4 << 20;
    let closed = fixture::closed_address().await;
    let backend = fixture::start_backend("server-1").await;
    let proxy = fixture::start_proxy(&[closed, backend.address()]).await;
    let pattern = monsooncart_testbed::backend::pattern::Pattern::new("stream");
    let body = pattern.bytes(0, BODY_BYTES);
    let digest = <sha2::Sha256 as sha2::Digest>::digest(&body);

    let response = fixture::send(proxy.address, fixture::request("POST", "/upload", body)).await;

    assert_eq!(response.status, 200);
    assert_eq!(response.echo().length, BODY_BYTES);
    assert_eq!(response.echo().sha256, hex::encode(digest));
}

#[tokio::test]
async fn response_with_length_and_chunked_framing_is_read_as_chunked() {
    let both = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n\
                 5\r\nwhole\r\n0\r\n\r\n";
    let server = ScriptedServer::start(vec![Step::ReadHead, Step::Write(both.to_vec())]).await;
    let proxy = fixture::start_proxy(&[server.address]).await;

    let response = fixture::try_send(proxy.address, fixture::request("GET", "/items/1", "")).await;

    // Rejecting the response is also correct, but a part must not be presented as complete.
    if let Ok(response) = response
        && response.status == 200
    {
        assert_eq!(response.body, "whole");
    }
}

#[tokio::test]
async fn hop_by_hop_headers_and_the_key_are_not_forwarded() {
    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: x-hop\r\nx-hop: 1\r\n\
                   keep-alive: timeout=5\r\nx-end: 1\r\n\r\n";
    let server = ScriptedServer::start(vec![Step::ReadHead, Step::Write(response.to_vec())]).await;
    let proxy = fixture::start_proxy(&[server.address]).await;
    let mut request = fixture::request("GET", "/items/1", "");
    let headers = request.headers_mut();
    headers.insert("connection", "x-private, te".parse().unwrap());
    headers.insert("x-private", "1".parse().unwrap());
    headers.insert("te", "trailers".parse().unwrap());
    headers.insert("x-public", "1".parse().unwrap());
    headers.insert("monsooncart-organisation", "forged".parse().unwrap());

    let response = fixture::send(proxy.address, request).await;

    let sent = server.received_text().to_lowercase();
    assert!(sent.contains("x-public: 1"), "{sent}");
    assert!(sent.contains("monsooncart-organisation: gazette"), "{sent}");
    assert!(sent.contains("monsooncart-deadline-ms: "), "{sent}");
    for absent in ["x-private", "te:", "authorization", "forged"] {
        assert!(!sent.contains(absent), "{absent} in {sent}");
    }
    assert_eq!(response.header("x-end"), "1");
    assert_eq!(response.header("x-hop"), "");
    assert_eq!(response.header("keep-alive"), "");
}

#[tokio::test]
async fn expect_100_continue_is_answered() {
    let backend = fixture::start_backend("server-0").await;
    let proxy = fixture::start_proxy(&[backend.address()]).await;
    let mut stream = TcpStream::connect(proxy.address).await.unwrap();
    let head = format!(
        "POST /upload HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\nconnection: close\r\n\
         content-length: 4\r\nexpect: 100-continue\r\n\r\n",
        fixture::KEY
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).await.unwrap();

    stream.write_all(b"body").await.unwrap();

    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

#[tokio::test]
async fn http2_connection_may_be_idle_beyond_the_head_timeout() {
    let backend = fixture::start_backend("server-0").await;
    let limits = settings::Limits {
        head_timeout: span::Span(Duration::from_millis(50)),
        ..fixture::limits()
    };
    let policies = std::sync::Arc::new(fakes::Naive);
    let proxy = fixture::start_proxy_with(&[backend.address()], limits, policies).await;
    let stream = TcpStream::connect(proxy.address).await.unwrap();
    let (mut sender, connection) = http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .unwrap();
    tokio::spawn(connection);
    // Several times the head timeout, which applies to HTTP/1.1 only.
    tokio::time::sleep(Duration::from_millis(200)).await;

    let mut request = fixture::request("GET", "http://wires.example/items/1", "");
    request.headers_mut().remove("host");
    let headers = request.headers_mut();
    headers.append("cookie", "a=1".parse().unwrap());
    headers.append("cookie", "b=2".parse().unwrap());
    let response = sender.send_request(request).await.unwrap();

    assert_eq!(response.status(), 200);
}

#[tokio::test]
async fn idle_http2_connection_is_closed_gracefully() {
    let limits = settings::Limits {
        idle_timeout: span::Span(Duration::from_millis(100)),
        ..fixture::limits()
    };
    let policies = std::sync::Arc::new(fakes::Naive);
    let proxy = fixture::start_proxy_with(&[], limits, policies).await;
    let stream = TcpStream::connect(proxy.address).await.unwrap();
    let (sender, connection) = http2::handshake::<_, _, http_body_util::Full<bytes::Bytes>>(
        TokioExecutor::new(),
        TokioIo::new(stream),
    )
    .await
    .unwrap();

    let ended = tokio::time::timeout(fixture::TEST_TIMEOUT, connection).await;

    ended.unwrap().unwrap();
    assert!(sender.is_closed());
}
