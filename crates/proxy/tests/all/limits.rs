//! Limits of the caller listener.

use std::sync::Arc;
use std::time::Duration;

use monsooncart_config::settings;
use monsooncart_types::span;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::scripted::{ScriptedServer, Step};
use crate::{fakes, fixture};

async fn start_proxy(limits: settings::Limits) -> fixture::Proxy {
    fixture::start_proxy_with(&[], limits, Arc::new(fakes::Naive)).await
}

/// Reads until the peer closes the connection.
async fn read_to_close(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let reading = stream.read_to_end(&mut bytes);
    let read = tokio::time::timeout(fixture::TEST_TIMEOUT, reading).await;
    // A reset closes the connection too.
    let _ = read.expect("connection was not closed");
    String::from_utf8(bytes).unwrap()
}

#[tokio::test]
async fn connections_over_the_limit_are_refused_as_not_run() {
    let proxy = start_proxy(settings::Limits {
        connections: 2,
        ..fixture::limits()
    })
    .await;
    let mut open = Vec::new();
    for _ in 0..2 {
        let mut stream = TcpStream::connect(proxy.address).await.unwrap();
        let head = b"GET /v1/entries?service=wiredesk HTTP/1.1\r\nhost: a\r\n\r\n";
        stream.write_all(head).await.unwrap();
        let mut first = [0; 12];
        stream.read_exact(&mut first).await.unwrap();
        assert_eq!(&first, b"HTTP/1.1 200");
        open.push(stream);
    }

    let mut third = TcpStream::connect(proxy.address).await.unwrap();
    let response = read_to_close(&mut third).await;
    drop(open);
    let address = proxy.address;

    let (head, body) = response.split_once("\r\n\r\n").unwrap();
    assert!(head.starts_with("HTTP/1.1 503"), "{response}");
    assert!(head.contains("monsooncart-outcome: not-run"), "{response}");
    assert!(
        head.contains(&format!("content-length: {}", body.len())),
        "{response}"
    );
    let deadline = std::time::Instant::now() + fixture::TEST_TIMEOUT;
    loop {
        let request = fixture::request("GET", "/v1/entries?service=wiredesk", "");
        let response = fixture::try_send(address, request).await;
        if response.is_ok_and(|a| a.status == 200) {
            break;
        }
        assert!(
            std::time::Instant::now() < deadline,
            "the slot of the closed connection was not released"
        );
    }
}

#[tokio::test]
async fn connection_with_a_slow_head_is_closed() {
    let proxy = start_proxy(settings::Limits {
        head_timeout: span::Span(Duration::from_millis(100)),
        ..fixture::limits()
    })
    .await;
    let mut stream = TcpStream::connect(proxy.address).await.unwrap();
    stream.write_all(b"GET /items").await.unwrap();

    let response = read_to_close(&mut stream).await;

    assert!(!response.starts_with("HTTP/1.1 200"), "{response}");
}

#[tokio::test]
async fn idle_connection_is_closed() {
    let proxy = start_proxy(settings::Limits {
        idle_timeout: span::Span(Duration::from_millis(100)),
        ..fixture::limits()
    })
    .await;
    let mut stream = TcpStream::connect(proxy.address).await.unwrap();

    let response = read_to_close(&mut stream).await;

    assert_eq!(response, "");
}

#[tokio::test]
async fn stalled_request_body_gets_408() {
    let server = ScriptedServer::start(vec![Step::ReadHead, Step::ReadEnd]).await;
    let limits = settings::Limits {
        body_timeout: span::Span(Duration::from_millis(100)),
        ..fixture::limits()
    };
    let proxy = fixture::start_proxy_with(&[server.address], limits, Arc::new(fakes::Naive)).await;
    for (length, outcome) in [(100, "not-run"), (1 << 20, "unknown")] {
        let mut stream = TcpStream::connect(proxy.address).await.unwrap();
        let head = format!(
            "POST /upload HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\n\
             content-length: {length}\r\n\r\nbeginning",
            fixture::KEY
        );
        stream.write_all(head.as_bytes()).await.unwrap();

        let response = read_to_close(&mut stream).await;

        assert!(response.starts_with("HTTP/1.1 408"), "{response}");
        let outcome = format!("monsooncart-outcome: {outcome}");
        assert!(response.contains(&outcome), "{response}");
    }
}

#[tokio::test]
async fn caller_that_does_not_read_is_disconnected() {
    let backend = fixture::start_backend("server-0").await;
    let limits = settings::Limits {
        body_timeout: span::Span(Duration::from_millis(200)),
        ..fixture::limits()
    };
    let policies = Arc::new(fakes::Naive);
    let proxy = fixture::start_proxy_with(&[backend.address()], limits, policies).await;
    let mut stream = TcpStream::connect(proxy.address).await.unwrap();
    let head = format!(
        "GET /items/1?bytes=1000000000 HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\n\r\n",
        fixture::KEY
    );

    stream.write_all(head.as_bytes()).await.unwrap();

    let meter = proxy.fakes.meter.clone();
    fixture::wait_until("record", || meter.records().len() == 1).await;
    assert!(!meter.records()[0].complete);
}
