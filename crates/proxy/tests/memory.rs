//! Bodies are streamed in bounded memory.
//!
//! This is a separate test binary, since it measures the memory of the whole process.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that cannot be made fails its test"
)]

#[path = "all/fakes.rs"]
#[expect(dead_code, reason = "shared with the other test binary")]
mod fakes;
#[path = "all/fixture.rs"]
#[expect(dead_code, reason = "shared with the other test binary")]
mod fixture;

use bytes::Bytes;
use futures_util::StreamExt as _;
use http_body_util::{BodyExt as _, StreamBody};

/// Length of the bodies, many times the limit.
const BODY_BYTES: u64 = 512 << 20;

/// Maximum memory that a body may add, regardless of its length.
const MAX_ADDED_BYTES: u64 = 16 << 20;

/// Returns the resident memory of the process, in bytes.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap();
    let kibibytes: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kibibytes << 10
}

/// The backend server and the caller run in this process too and count towards the limit.
#[tokio::test]
async fn streaming_a_large_body_uses_bounded_memory() {
    let backend = fixture::start_backend("server-0").await;
    let proxy = fixture::start_proxy(&[backend.address()]).await;
    fixture::send(proxy.address, fixture::request("GET", "/items/0", "")).await;
    let before = resident_bytes();
    let mut max_resident = before;

    let target = format!("/items/1?bytes={BODY_BYTES}");
    let mut sender = fixture::connect(proxy.address).await;
    let response = sender.send_request(fixture::request("GET", &target, ""));
    let mut body = response.await.unwrap().into_body();
    let mut received = 0;
    while let Some(frame) = body.frame().await {
        received += frame.unwrap().data_ref().map_or(0, |d| d.len() as u64);
        max_resident = max_resident.max(resident_bytes());
    }
    let added_by_response = max_resident - before;

    let piece = Bytes::from(vec![7; 64 << 10]);
    let piece_count = BODY_BYTES / piece.len() as u64;
    let (peak_sender, peak) = tokio::sync::watch::channel(before);
    let stream = futures_util::stream::iter(0..piece_count).map(move |_| {
        peak_sender.send_modify(|peak| *peak = resident_bytes().max(*peak));
        Ok::<_, std::io::Error>(http_body::Frame::data(piece.clone()))
    });
    let request = fixture::request("POST", "/upload", "").map(|_| StreamBody::new(stream));
    let response = fixture::try_send(proxy.address, request).await.unwrap();
    let added_by_request = *peak.borrow() - before;

    assert_eq!(received, BODY_BYTES);
    assert_eq!(response.echo().length, BODY_BYTES);
    assert!(
        added_by_response < MAX_ADDED_BYTES,
        "response added {added_by_response} bytes"
    );
    assert!(
        added_by_request < MAX_ADDED_BYTES,
        "request added {added_by_request} bytes"
    );
}
