//! The simulated platform and the client of its service, tested against each other.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1;
use hyper_util::rt;
use monsooncart_store::store::Store as _;
use monsooncart_store::vms::List as _;
use monsooncart_store::{client, error, memory, object, vms};
use monsooncart_testbed::platform;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Timeout of events that must occur.
const TIMEOUT: Duration = Duration::from_secs(60);

struct Fixture {
    platform: Arc<platform::Platform>,
    client: client::Client,
    control: net::SocketAddr,
}

/// Starts a platform with its control listener, and a client of it.
async fn fixture() -> Fixture {
    let platform = platform::Platform::new(Arc::new(memory::Memory::default()));
    let (listener, address) = listen().await;
    tokio::spawn(platform.clone().serve(listener));
    let (listener, control) = listen().await;
    tokio::spawn(platform.clone().serve_control(listener));
    Fixture {
        platform,
        client: client::Client::new(address),
        control,
    }
}

async fn listen() -> (tokio::net::TcpListener, net::SocketAddr) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn outage(outage: platform::Outage) -> platform::Faults {
    platform::Faults {
        outage,
        ..platform::Faults::default()
    }
}

fn text(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}

fn vm(name: &str, state: vms::State) -> vms::Vm {
    vms::Vm {
        name: name.parse().unwrap(),
        peers: "127.0.0.1:1".parse().unwrap(),
        data_centre: "here-a".parse().unwrap(),
        state,
    }
}

async fn call(
    address: net::SocketAddr,
    method: http::Method,
    target: &str,
    body: &str,
) -> (http::StatusCode, Bytes) {
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let io = rt::TokioIo::new(stream);
    let (mut sender, connection) = http1::handshake(io).await.unwrap();
    tokio::spawn(connection);
    let request = http::Request::builder()
        .method(method)
        .uri(target)
        .header(http::header::HOST, "platform")
        .body(Full::new(text(body)))
        .unwrap();
    let response = sender.send_request(request).await.unwrap();
    let status = response.status();
    (
        status,
        response.into_body().collect().await.unwrap().to_bytes(),
    )
}

/// Starts a server that reads the start of each request and closes the connection.
async fn closing_server() -> net::SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut start = [0; 16];
            let _ = stream.read(&mut start).await;
        }
    });
    address
}

/// Starts a server that sends `response` to every request.
async fn responding_server(response: &'static str) -> net::SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut start = [0; 1024];
            let _ = stream.read(&mut start).await;
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    address
}

#[tokio::test]
async fn client_and_store_give_the_same_results() {
    let fixture = fixture().await;
    let key = "config/service/a b?%/ü";
    let value = Bytes::from(vec![0, 255, 10, 34]);

    let first = fixture
        .client
        .put(key, value.clone(), object::Condition::Absent)
        .await
        .unwrap();
    let read = fixture.client.get(key).await.unwrap().unwrap();
    let absent = fixture.client.get("none").await.unwrap();
    let page = fixture.client.list("config/", "").await.unwrap();
    let watched = fixture
        .client
        .watch("config/", object::Version(0), TIMEOUT)
        .await
        .unwrap();
    let second = fixture
        .client
        .put(key, text("2"), object::Condition::At(first))
        .await
        .unwrap();
    fixture
        .client
        .delete(key, object::Condition::At(second))
        .await
        .unwrap();

    assert_eq!(read.version, first);
    assert_eq!(read.value.as_ref(), Some(&value));
    assert_eq!(read.key, key);
    assert_eq!(absent, None);
    assert_eq!(page.objects, [read]);
    assert_eq!(watched.objects, page.objects);
    assert_eq!(fixture.client.get(key).await.unwrap(), None);
}

#[tokio::test]
async fn conflict_reports_the_current_version() {
    let fixture = fixture().await;
    let always = object::Condition::Always;
    let version = fixture.client.put("a", text("1"), always).await.unwrap();

    let present = fixture
        .client
        .put("a", text("2"), object::Condition::Absent)
        .await;
    let absent = fixture
        .client
        .delete("b", object::Condition::At(version))
        .await;

    let found = |error| match error {
        error::Error::Conflict { found, .. } => found,
        other => panic!("no conflict: {other}"),
    };
    assert_eq!(found(present.unwrap_err()), Some(version));
    assert_eq!(found(absent.unwrap_err()), None);
}

#[tokio::test]
async fn largest_value_is_stored_and_a_larger_one_is_rejected() {
    let fixture = fixture().await;
    let always = object::Condition::Always;
    let largest = Bytes::from(vec![b'x'; memory::MAX_OBJECT_BYTES]);
    let larger = Bytes::from(vec![b'x'; memory::MAX_OBJECT_BYTES + 1]);

    let stored = fixture.client.put("a", largest.clone(), always).await;
    let rejected = fixture.client.put("b", larger, always).await;

    assert!(stored.is_ok());
    assert!(
        matches!(rejected, Err(error::Error::NotDone { .. })),
        "{rejected:?}"
    );
    assert_eq!(
        fixture.client.get("a").await.unwrap().unwrap().value,
        Some(largest)
    );
}

#[tokio::test]
async fn lost_response_to_an_applied_write_is_unknown() {
    let fixture = fixture().await;
    fixture.platform.set_faults(platform::Faults {
        lose_answers: 2,
        ..platform::Faults::default()
    });
    let always = object::Condition::Always;

    let put = fixture.client.put("a", text("1"), always).await;
    let read = fixture.client.get("a").await.unwrap();
    let delete = fixture.client.delete("a", always).await;
    let after = fixture
        .client
        .put("a", text("2"), object::Condition::Absent)
        .await;

    assert!(matches!(put, Err(error::Error::Unknown { .. })), "{put:?}");
    assert_eq!(read.unwrap().value, Some(text("1")));
    assert!(
        matches!(delete, Err(error::Error::Unknown { .. })),
        "{delete:?}"
    );
    assert!(after.is_ok(), "the delete was applied: {after:?}");
}

#[tokio::test]
async fn call_in_an_outage_has_no_effect_and_a_correct_outcome() {
    let fixture = fixture().await;
    let always = object::Condition::Always;
    let mut results = Vec::new();
    for kind in [
        platform::Outage::Refused,
        platform::Outage::Closed,
        platform::Outage::Silent,
    ] {
        fixture.platform.set_faults(outage(kind));
        let put = fixture.client.put("a", text("1"), always).await;
        let get = fixture.client.get("a").await;
        results.push((put.unwrap_err(), get.unwrap_err()));
    }

    fixture.platform.set_faults(platform::Faults::default());

    assert_eq!(fixture.client.get("a").await.unwrap(), None);
    let unknown = |error: &error::Error| matches!(error, error::Error::Unknown { .. });
    let puts: Vec<_> = results.iter().map(|(put, _)| unknown(put)).collect();
    let gets: Vec<_> = results.iter().map(|(_, get)| unknown(get)).collect();
    assert_eq!(puts, [false, true, true], "{results:?}");
    assert_eq!(gets, [false, false, false], "{results:?}");
}

#[tokio::test]
async fn outage_aborts_a_waiting_watch_and_the_client_recovers() {
    let fixture = Arc::new(fixture().await);
    let watcher = fixture.clone();
    let waiting =
        tokio::spawn(async move { watcher.client.watch("a", object::Version(0), TIMEOUT).await });
    while fixture
        .platform
        .memory()
        .counter()
        .calls(error::Operation::Watch)
        == 0
    {
        tokio::task::yield_now().await;
    }

    fixture
        .platform
        .set_faults(outage(platform::Outage::Closed));
    let cut = waiting.await.unwrap();
    fixture.platform.set_faults(platform::Faults::default());
    let always = object::Condition::Always;
    fixture.client.put("a", text("1"), always).await.unwrap();
    let page = fixture
        .client
        .watch("a", object::Version(0), TIMEOUT)
        .await
        .unwrap();

    assert!(matches!(cut, Err(error::Error::NotDone { .. })), "{cut:?}");
    assert_eq!(page.objects.len(), 1);
}

#[tokio::test]
async fn write_is_not_done_without_a_listener_and_unknown_without_a_response() {
    let (listener, unbound) = listen().await;
    drop(listener);
    let closing = closing_server().await;
    let failing = responding_server("HTTP/1.1 500 x\r\ncontent-length: 0\r\n\r\n").await;
    let garbled = responding_server("who knows\r\n\r\n").await;
    let cut = responding_server("HTTP/1.1 200 x\r\ncontent-length: 9\r\n\r\n1").await;
    let always = object::Condition::Always;

    let mut unknown = Vec::new();
    for address in [unbound, closing, failing, garbled, cut] {
        let client = client::Client::new(address);
        let put = client.put("a", text("1"), always).await;
        unknown.push(matches!(put, Err(error::Error::Unknown { .. })));
    }

    assert_eq!(unknown, [false, true, true, true, true]);
}

#[tokio::test]
async fn connection_closed_while_idle_is_replaced_without_an_error() {
    let fixture = fixture().await;
    let always = object::Condition::Always;
    for number in 0..20 {
        fixture.client.put("a", text("1"), always).await.unwrap();
        // Closes the connection that the next call would reuse.
        fixture
            .platform
            .set_faults(outage(platform::Outage::Closed));
        assert!(fixture.client.get("a").await.is_err(), "call {number}");
        fixture.platform.set_faults(platform::Faults::default());
    }

    let read = fixture.client.get("a").await;

    assert!(read.unwrap().is_some());
}

#[tokio::test]
async fn frozen_vm_list_does_not_change() {
    let fixture = fixture().await;
    fixture
        .platform
        .memory()
        .set_vms(vec![vm("vm-1", vms::State::Live)]);
    fixture.platform.set_faults(platform::Faults {
        frozen_vms: true,
        ..platform::Faults::default()
    });
    let gone = serde_json::to_string(&[vm("vm-1", vms::State::Gone)]).unwrap();
    let address = fixture.client.address();
    let (status, _) = call(address, http::Method::PUT, "/v1/vms", &gone).await;

    let frozen = fixture.client.vms().await.unwrap();
    fixture.platform.set_faults(platform::Faults::default());
    let present = fixture.client.vms().await.unwrap();

    assert_eq!(status, http::StatusCode::NO_CONTENT);
    assert_eq!(frozen, [vm("vm-1", vms::State::Live)]);
    assert_eq!(present, [vm("vm-1", vms::State::Gone)]);
}

#[tokio::test]
async fn control_sets_faults_and_reports_calls() {
    let fixture = fixture().await;
    let always = object::Condition::Always;
    fixture.client.put("a", text("1"), always).await.unwrap();
    fixture.client.get("a").await.unwrap();
    let faults = r#"{"outage":"refused","lose_answers":1}"#;

    let (set, _) = call(fixture.control, http::Method::PUT, "/v1/faults", faults).await;
    let (wrong, _) = call(
        fixture.control,
        http::Method::PUT,
        "/v1/faults",
        r#"{"x":1}"#,
    )
    .await;
    let (_, shown) = call(fixture.control, http::Method::GET, "/v1/faults", "").await;
    let (_, report) = call(fixture.control, http::Method::GET, "/v1/calls", "").await;

    assert_eq!(set, http::StatusCode::NO_CONTENT);
    assert_eq!(wrong, http::StatusCode::BAD_REQUEST);
    let shown: platform::Faults = serde_json::from_slice(&shown).unwrap();
    assert_eq!(shown, fixture.platform.faults());
    assert_eq!(shown.outage, platform::Outage::Refused);
    let report: platform::Report = serde_json::from_slice(&report).unwrap();
    assert_eq!(report.calls["put"].calls, 1);
    assert_eq!(report.calls["get"].calls, 1);
    assert!(report.calls["put"].per_second > 0.0);
}
