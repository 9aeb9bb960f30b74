//! A planned stop aborts no request in flight.

use bytes::Bytes;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use monsooncart_testbed::backend::pattern;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::scripted::{ScriptedServer, Step, response};
use crate::{fakes, fixture};

/// Length of a body, half of which does not fit into the buffers on its way.
const BODY_BYTES: u64 = 64 << 20;

async fn exclusive_proxy(server: std::net::SocketAddr) -> fixture::Proxy {
    let listener = fixture::bind_exclusive_listener().await;
    let policies = std::sync::Arc::new(fakes::Naive);
    fixture::start_proxy_at(listener, &[server], fixture::limits(), policies)
}

#[tokio::test]
async fn large_response_in_flight_completes() {
    let backend = fixture::start_backend("server-0").await;
    let mut proxy = fixture::start_proxy(&[backend.address()]).await;
    let target = format!("/items/1?bytes={BODY_BYTES}");
    let mut sender = fixture::connect(proxy.address).await;
    let request = fixture::request("GET", &target, "");
    let mut body = sender.send_request(request).await.unwrap().into_body();
    let pattern = pattern::Pattern::new(&target);
    let mut received = 0;
    let mut stopped = false;

    while let Some(frame) = body.frame().await {
        let data = frame.unwrap().into_data().unwrap();
        assert!(pattern.matches(received, &data));
        received += data.len() as u64;
        if received > BODY_BYTES / 2 && !stopped {
            stopped = true;
            proxy.engine.drain();
            proxy.stop();
            assert_eq!(proxy.engine.in_flight(), 1);
        }
    }

    assert_eq!(received, BODY_BYTES);
    proxy.join().await;
}

#[tokio::test]
async fn large_request_body_in_flight_completes() {
    let backend = fixture::start_backend("server-0").await;
    let mut proxy = fixture::start_proxy(&[backend.address()]).await;
    let (pieces, receiver) = mpsc::channel::<Bytes>(1);
    let stream = futures_util::stream::unfold(receiver, |mut receiver| async move {
        let piece = receiver.recv().await?;
        let frame = http_body::Frame::data(piece);
        Some((Ok::<_, std::io::Error>(frame), receiver))
    });
    let request = fixture::request("POST", "/upload", "").map(|_| StreamBody::new(stream));
    let sending = tokio::spawn(fixture::try_send(proxy.address, request));
    let pattern = pattern::Pattern::new("upload");
    let mut offset = 0;

    while let Some(piece) = pattern.piece(offset, BODY_BYTES) {
        offset += piece.len() as u64;
        pieces.send(piece).await.unwrap();
        if offset == BODY_BYTES / 2 {
            proxy.engine.drain();
            proxy.stop();
        }
    }
    drop(pieces);

    let response = sending.await.unwrap().unwrap();
    let body = pattern.bytes(0, BODY_BYTES);
    let digest = <sha2::Sha256 as sha2::Digest>::digest(&body);
    assert_eq!(response.echo().length, BODY_BYTES);
    assert_eq!(response.echo().sha256, hex::encode(digest));
    assert_eq!(response.header("connection"), "close");
    proxy.join().await;
}

#[tokio::test]
async fn request_waiting_for_its_response_is_answered() {
    let server = ScriptedServer::start(vec![Step::ReadHead, Step::Wait, response("done")]).await;
    let mut proxy = exclusive_proxy(server.address).await;
    let request = fixture::request("POST", "/order/1", "");
    let sending = tokio::spawn(fixture::try_send(proxy.address, request));
    fixture::wait_until("send", || server.heads() == 1).await;

    proxy.engine.drain();
    proxy.stop();
    while TcpStream::connect(proxy.address).await.is_ok() {
        tokio::task::yield_now().await;
    }
    // The listener is closed. Yield often enough that an engine that does not wait would finish.
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    assert!(!proxy.is_finished());
    server.resume();

    let response = sending.await.unwrap().unwrap();
    assert_eq!(response.body, "done");
    assert_eq!(response.header("connection"), "close");
    proxy.join().await;
}

#[tokio::test]
async fn connection_in_use_gets_its_next_response_with_close() {
    let backend = fixture::start_backend("server-0").await;
    let proxy = fixture::start_proxy(&[backend.address()]).await;
    let mut sender = fixture::connect(proxy.address).await;
    let first = sender.send_request(fixture::request("GET", "/items/1", ""));
    let first = first.await.unwrap();
    first.into_body().collect().await.unwrap();

    proxy.engine.drain();
    sender.ready().await.unwrap();
    let second = sender.send_request(fixture::request("GET", "/items/2", ""));
    let second = second.await.unwrap();

    assert_eq!(second.status(), 200);
    assert_eq!(second.headers()["connection"], "close");
}

#[tokio::test]
async fn idle_connections_are_closed_and_new_ones_accepted_until_the_stop() {
    let backend = fixture::start_backend("server-0").await;
    let mut proxy = exclusive_proxy(backend.address()).await;
    let mut idle = TcpStream::connect(proxy.address).await.unwrap();

    proxy.engine.drain();
    let during_drain = fixture::send(proxy.address, fixture::request("GET", "/items/1", "")).await;
    let mut byte = [0];
    let read = tokio::io::AsyncReadExt::read(&mut idle, &mut byte);
    let read = tokio::time::timeout(fixture::TEST_TIMEOUT, read)
        .await
        .unwrap();
    proxy.stop();
    let address = proxy.address;
    proxy.join().await;

    assert_eq!(during_drain.status, 200);
    assert_eq!(read.unwrap(), 0);
    assert!(TcpStream::connect(address).await.is_err());
}

#[tokio::test]
async fn http2_requests_on_one_connection_complete_before_it_closes() {
    let server = ScriptedServer::start(vec![Step::ReadHead, Step::Wait, response("done")]).await;
    let mut proxy = fixture::start_proxy(&[server.address]).await;
    let stream = TcpStream::connect(proxy.address).await.unwrap();
    let (mut sender, connection) = http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .unwrap();
    let connection = tokio::spawn(connection);
    let request = |number: u32| {
        let uri = format!("http://wires.example/order/{number}");
        let mut request = fixture::request("POST", &uri, "");
        request.headers_mut().remove("host");
        request
    };
    let first = tokio::spawn(sender.send_request(request(1)));
    let second = tokio::spawn(sender.send_request(request(2)));
    fixture::wait_until("sends", || server.heads() == 2).await;

    proxy.engine.drain();
    proxy.stop();
    server.resume();

    for response in [first, second] {
        let body = response.await.unwrap().unwrap().into_body();
        assert_eq!(body.collect().await.unwrap().to_bytes(), "done");
    }
    connection.await.unwrap().unwrap();
    proxy.join().await;
}

#[tokio::test]
async fn response_to_a_slow_caller_is_not_truncated() {
    // Larger than the buffers of hyper and of the kernel as set below.
    const BODY_BYTES: u64 = 1 << 20;
    const KERNEL_BUFFER_BYTES: u32 = 4096;
    let backend = fixture::start_backend("server-0").await;
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(KERNEL_BUFFER_BYTES).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(16).unwrap();
    let policies = std::sync::Arc::new(fakes::Naive);
    let limits = fixture::limits();
    let mut proxy = fixture::start_proxy_at(listener, &[backend.address()], limits, policies);
    let caller = tokio::net::TcpSocket::new_v4().unwrap();
    caller.set_recv_buffer_size(KERNEL_BUFFER_BYTES).unwrap();
    let mut caller = caller.connect(proxy.address).await.unwrap();
    let target = format!("/items/1?bytes={BODY_BYTES}");
    let head = format!(
        "GET {target} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\nx-request-id: {target}\r\n\r\n",
        fixture::KEY
    );
    caller.write_all(head.as_bytes()).await.unwrap();
    let meter = proxy.fakes.meter.clone();
    let mut response: Vec<u8> = Vec::new();
    // Read only until hyper has buffered the rest of the response.
    while meter.records().is_empty() {
        response.push(caller.read_u8().await.unwrap());
    }

    let mut idle = TcpStream::connect(proxy.address).await.unwrap();
    proxy.engine.drain();
    // Once this idle connection is closed, the drain timeout of the other one has passed too.
    assert_eq!(idle.read(&mut [0]).await.unwrap(), 0);
    assert!((response.len() as u64) < BODY_BYTES);
    proxy.stop();
    caller.read_to_end(&mut response).await.unwrap();

    let body_start = response.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
    let pattern = pattern::Pattern::new(&target);
    assert_eq!((response.len() - body_start) as u64, BODY_BYTES);
    assert!(pattern.matches(0, &response[body_start..]));
    proxy.join().await;
}
