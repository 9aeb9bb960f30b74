//! Guarantee: a planned stop aborts no request in flight.

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use monsooncart_testbed::{backend::pattern, platform};
use rustix::process::Signal;

use crate::fixture::{daemon, fleet, http, wait};

/// Size of the package that each daemon transfers while it stops.
const PACKAGE_BYTES: u64 = 1 << 30;

/// Size of a smaller body, for tests that do not depend on the size.
const SMALL_PACKAGE_BYTES: u64 = 256 << 20;

/// Maximum growth of a daemon's resident memory by the buffers of a transfer, in KiB.
const MAX_GROWTH_KIB: u64 = 16 << 10;

/// Lifetime of a response that lists entry addresses, as in the fixture's plan.
const ENTRY_LIFETIME: std::time::Duration = std::time::Duration::from_secs(1);

/// Reads a body of `total` bytes, verifies it as the response to the request `id`, and calls
/// `at_half` once half of it has arrived. Returns the number of bytes read.
async fn read_body(
    mut body: hyper::body::Incoming,
    id: &str,
    total: u64,
    mut at_half: impl FnMut(),
) -> Result<u64, hyper::Error> {
    let pattern = pattern::Pattern::new(id);
    let mut read = 0;
    let mut called = false;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        assert!(pattern.matches(read, &data), "byte {read} differs");
        read += data.len() as u64;
        if !called && read >= total / 2 {
            called = true;
            at_half();
        }
    }
    Ok(read)
}

fn package_request(daemon: &daemon::Daemon, id: &str, bytes: u64) -> ::http::Request<Full<Bytes>> {
    ::http::Request::get(format!("/mediavault/package?bytes={bytes}"))
        .header("host", daemon.caller_address().to_string())
        .header("authorization", daemon::AUTHORIZATION)
        .header("x-request-id", id)
        .body(Full::default())
        .expect("request is valid")
}

#[tokio::test(flavor = "multi_thread")]
async fn transfer_of_1_gib_completes_through_each_daemon_stopped_half_way() {
    let plan = fleet::Plan::new(3, fleet::Service::new("mediavault", 2));
    let mut fleet = fleet::Fleet::start(plan).await;

    for number in 0..3 {
        let stopping = &fleet.daemons[number];
        let before_kib = stopping.process.resident_kib();
        let response = http::send_streaming(
            stopping.caller_address(),
            package_request(stopping, "package", PACKAGE_BYTES),
        )
        .await;
        let body = response.expect("response head arrives").into_body();
        let mut half_way_kib = 0;
        let read = read_body(body, "package", PACKAGE_BYTES, || {
            stopping.process.signal(Signal::TERM);
            half_way_kib = stopping.process.resident_kib();
        });
        let read = read.await.expect("complete body");
        let status = fleet.daemons[number].process.wait(wait::TIMEOUT);

        assert_eq!(read, PACKAGE_BYTES);
        assert!(status.success());
        assert!(
            half_way_kib < before_kib + MAX_GROWTH_KIB,
            "{before_kib} KiB grew to {half_way_kib} KiB"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_with_a_stale_vm_list_in_a_platform_outage_aborts_no_request() {
    let plan = fleet::Plan::new(3, fleet::Service::new("mediavault", 2));
    let mut fleet = fleet::Fleet::start(plan).await;
    let faults = platform::Faults {
        outage: platform::Outage::Silent,
        frozen_vms: true,
        ..platform::Faults::default()
    };
    fleet.set_platform_faults(&faults).await;
    let stopping = &fleet.daemons[0];

    let response = http::send_streaming(
        stopping.caller_address(),
        package_request(stopping, "export", SMALL_PACKAGE_BYTES),
    )
    .await;
    let body = response.expect("response head arrives").into_body();
    let read = read_body(body, "export", SMALL_PACKAGE_BYTES, || {
        stopping.process.signal(Signal::TERM);
    });
    let read = read.await.expect("complete body");
    let status = fleet.daemons[0].process.wait(wait::TIMEOUT);

    assert_eq!(read, SMALL_PACKAGE_BYTES);
    assert!(status.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_stop_under_load_aborts_no_request() {
    let mut plan = fleet::Plan::new(3, fleet::Service::new("wiredesk", 3));
    plan.services[0].service_time = "20ms";
    let mut fleet = fleet::Fleet::start(plan).await;

    for number in 0..2 {
        let address = fleet.daemons[number].caller_address();
        let (stop, mut stopped) = tokio::sync::oneshot::channel::<()>();
        let load = tokio::spawn(async move {
            let mut answered = 0;
            while stopped.try_recv() == Err(tokio::sync::oneshot::error::TryRecvError::Empty) {
                let headers = [("authorization", daemon::AUTHORIZATION)];
                let reply = http::get(address, "/wiredesk/item", &headers).await;
                let reply = reply.map_err(|e| e.to_string())?;
                assert_eq!(reply.status, 200, "{reply:?}");
                answered += 1;
            }
            Ok::<_, String>(answered)
        });
        fleet.daemons[number].process.signal(Signal::TERM);
        // The caller keeps using the address for the lifetime of the entry response.
        wait::until("daemon is draining", || async {
            fleet.daemons[number].fetch_status().await["phase"] == "draining"
        })
        .await;
        tokio::time::sleep(ENTRY_LIFETIME).await;
        stop.send(()).expect("load is running");
        let answered = load.await.expect("load task completes");
        let status = fleet.daemons[number].process.wait(wait::TIMEOUT);

        assert!(status.success());
        assert!(answered.is_ok_and(|n| n > 0));
    }
}
