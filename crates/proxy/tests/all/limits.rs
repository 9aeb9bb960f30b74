//! Limits of the caller listener.

use std::sync::Arc;
use std::time::Duration;

use monsooncart_config::settings;
use monsooncart_types::span;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::scripted::{Scripted, Step};
use crate::{fakes, fixture};

async fn front(limits: settings::Limits) -> fixture::Front {
    fixture::front_with(&[], limits, Arc::new(fakes::Naive)).await
}

/// Reads until the other side closes the connection.
async fn rest(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let reading = stream.read_to_end(&mut bytes);
    let read = tokio::time::timeout(fixture::PATIENCE, reading).await;
    // A reset closes the connection as well.
    let _ = read.expect("connection was not closed");
    String::from_utf8(bytes).unwrap()
}

#[tokio::test]
async fn connections_over_the_limit_are_refused_as_not_run() {
    let front = front(settings::Limits {
        connections: 2,
        ..fixture::limits()
    })
    .await;
    let mut kept = Vec::new();
    for _ in 0..2 {
        let mut stream = TcpStream::connect(front.address).await.unwrap();
        let head = b"GET /v1/entries?service=wiredesk HTTP/1.1\r\nhost: a\r\n\r\n";
        stream.write_all(head).await.unwrap();
        let mut first = [0; 12];
        stream.read_exact(&mut first).await.unwrap();
        assert_eq!(&first, b"HTTP/1.1 200");
        kept.push(stream);
    }

    let mut third = TcpStream::connect(front.address).await.unwrap();
    let answer = rest(&mut third).await;
    drop(kept);
    let address = front.address;

    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    assert!(head.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(head.contains("monsooncart-outcome: not-run"), "{answer}");
    assert!(
        head.contains(&format!("content-length: {}", body.len())),
        "{answer}"
    );
    let limit = std::time::Instant::now() + fixture::PATIENCE;
    loop {
        let request = fixture::request("GET", "/v1/entries?service=wiredesk", "");
        let answer = fixture::try_send(address, request).await;
        if answer.is_ok_and(|a| a.status == 200) {
            break;
        }
        assert!(
            std::time::Instant::now() < limit,
            "place was not given back"
        );
    }
}

#[tokio::test]
async fn a_slow_head_is_closed() {
    let front = front(settings::Limits {
        head_timeout: span::Span(Duration::from_millis(100)),
        ..fixture::limits()
    })
    .await;
    let mut stream = TcpStream::connect(front.address).await.unwrap();
    stream.write_all(b"GET /items").await.unwrap();

    let answer = rest(&mut stream).await;

    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[tokio::test]
async fn an_idle_connection_is_closed() {
    let front = front(settings::Limits {
        idle_timeout: span::Span(Duration::from_millis(100)),
        ..fixture::limits()
    })
    .await;
    let mut stream = TcpStream::connect(front.address).await.unwrap();

    let answer = rest(&mut stream).await;

    assert_eq!(answer, "");
}

#[tokio::test]
async fn a_body_that_does_not_come_gets_408() {
    let server = Scripted::start(vec![Step::ReadHead, Step::ReadEnd]).await;
    let limits = settings::Limits {
        body_timeout: span::Span(Duration::from_millis(100)),
        ..fixture::limits()
    };
    let front = fixture::front_with(&[server.address], limits, Arc::new(fakes::Naive)).await;
    for (length, outcome) in [(100, "not-run"), (1 << 20, "unknown")] {
        let mut stream = TcpStream::connect(front.address).await.unwrap();
        let head = format!(
            "POST /upload HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\n\
             content-length: {length}\r\n\r\nbeginning",
            fixture::KEY
        );
        stream.write_all(head.as_bytes()).await.unwrap();

        let answer = rest(&mut stream).await;

        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
        let outcome = format!("monsooncart-outcome: {outcome}");
        assert!(answer.contains(&outcome), "{answer}");
    }
}

#[tokio::test]
async fn a_caller_that_does_not_read_is_cut() {
    let backend = fixture::backend("server-0").await;
    let limits = settings::Limits {
        body_timeout: span::Span(Duration::from_millis(200)),
        ..fixture::limits()
    };
    let policies = Arc::new(fakes::Naive);
    let front = fixture::front_with(&[backend.address()], limits, policies).await;
    let mut stream = TcpStream::connect(front.address).await.unwrap();
    let head = format!(
        "GET /items/1?bytes=1000000000 HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\n\r\n",
        fixture::KEY
    );

    stream.write_all(head.as_bytes()).await.unwrap();

    let meter = front.fakes.meter.clone();
    fixture::until("record", || meter.records().len() == 1).await;
    assert!(!meter.records()[0].complete);
}
