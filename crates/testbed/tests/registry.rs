//! The simulated store of the users' platform during an injected fault.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt;
use monsooncart_testbed::registry;
use serde_json::json;

/// Objects on a page of the store.
const PAGE_OBJECTS: usize = 10;

/// Repetitions of the race between a change and the start of the outage.
const ROUNDS: u32 = 200;

async fn serve(registry: &Arc<registry::Registry>) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    registry.serve(listener).unwrap()
}

/// Status code of a GET request.
async fn get(address: net::SocketAddr, path: &str) -> http::StatusCode {
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let io = rt::TokioIo::new(stream);
    let (mut sender, connection) = http1::handshake(io).await.unwrap();
    let driver = tokio::spawn(connection);
    let request = http::Request::builder()
        .uri(path)
        .header("host", "store")
        .body(Empty::<Bytes>::new())
        .unwrap();
    let response = sender.send_request(request).await.unwrap();
    driver.abort();
    response.status()
}

/// A watch that waits at the start of an outage must not deliver a change that is made during it: a
/// daemon would otherwise know of the change although it cannot reach the store.
#[tokio::test(flavor = "multi_thread")]
async fn watch_delivers_no_change_made_during_an_outage() {
    let registry = registry::Registry::new(PAGE_OBJECTS);
    let address = serve(&registry).await;
    for round in 0..ROUNDS {
        registry.set_fault(registry::Fault::None);
        registry.put("servers", "i-0000", &json!({ "round": round }));
        // Each round makes two changes; a new store is at revision 1.
        let since = 2 * u64::from(round) + 2;
        let path = format!("/api/objects/servers?watch={since}&wait_ms=60000");
        let watch = tokio::spawn(async move { get(address, &path).await });
        // Rounds differ in how far the watch has come when the outage begins.
        tokio::time::sleep(Duration::from_micros(u64::from(round) * 20)).await;

        registry.set_fault(registry::Fault::Busy);
        registry.delete("servers", "i-0000");

        let status = watch.await.unwrap();
        assert_eq!(
            status,
            http::StatusCode::SERVICE_UNAVAILABLE,
            "round {round}"
        );
    }
}
