//! Every caller gets the whole answer to its own request or an error.

use std::sync::Arc;
use std::time::Duration;

use monsooncart_config::settings;
use monsooncart_testbed::backend::mode;
use monsooncart_types::span;

use crate::scripted::{Scripted, Step, answer};
use crate::{fakes, fixture};

fn mode(change: impl FnOnce(&mut mode::Mode)) -> mode::Mode {
    let mut mode = mode::Mode::default();
    change(&mut mode);
    mode
}

#[tokio::test]
async fn crossed_answers_reach_nobody() {
    let backend = fixture::backend("server-0").await;
    backend.set_mode(mode(|m| m.crossed = true));
    let front = fixture::front(&[backend.address()]).await;

    let first = fixture::send(front.address, fixture::request("POST", "/order/1", "a"));
    let second = fixture::send(front.address, fixture::request("POST", "/order/2", "b"));
    let (first, second) = tokio::join!(first, second);

    for answer in [first, second] {
        assert_eq!(answer.status, 502);
        assert_eq!(answer.header("monsooncart-outcome"), "unknown");
    }
}

#[tokio::test]
async fn a_late_answer_reaches_nobody() {
    let late = vec![Step::ReadHead, Step::Wait, answer("late"), Step::ReadEnd];
    let server = Scripted::start(late).await;
    let front = fixture::front(&[server.address]).await;
    let first = fixture::send(front.address, fixture::request("POST", "/quick", "")).await;
    let before = server.connections();

    server.go();
    let second = fixture::send(front.address, fixture::request("GET", "/items/2", "")).await;

    assert_eq!(first.header("monsooncart-outcome"), "unknown");
    assert_eq!(second.status, 200);
    assert!(server.connections() > before);
}

#[tokio::test]
async fn a_connection_is_closed_after_a_timeout() {
    let server = Scripted::start(vec![Step::ReadHead, Step::ReadEnd]).await;
    let front = fixture::front(&[server.address]).await;

    let answer = fixture::send(front.address, fixture::request("POST", "/quick", "")).await;

    fixture::until("close", || server.ended() == server.heads()).await;
    assert_eq!(answer.header("monsooncart-outcome"), "unknown");
}

#[tokio::test]
async fn a_large_answer_cut_short_ends_with_an_error() {
    let backend = fixture::backend("server-0").await;
    backend.set_mode(mode(|m| m.cut_after = Some(300_000)));
    let front = fixture::front(&[backend.address()]).await;
    let request = fixture::request("GET", "/items/1?bytes=1000000", "");

    let answer = fixture::try_send(front.address, request).await;

    assert!(answer.is_err(), "{answer:?}");
}

#[tokio::test]
async fn a_small_answer_cut_short_is_asked_for_again_elsewhere() {
    let sick = fixture::backend("server-0").await;
    sick.set_mode(mode(|m| m.cut_after = Some(10)));
    let well = fixture::backend("server-1").await;
    let front = fixture::front(&[sick.address(), well.address()]).await;

    for number in 0..4 {
        let target = format!("/items/{number}");
        let answer = fixture::send(front.address, fixture::request("GET", &target, "")).await;

        assert_eq!(answer.status, 200);
        assert_eq!(answer.echo().target, target);
        assert_eq!(answer.header("monsooncart-server"), "server-1");
    }
    assert!(sick.starts().count > 0);
}

#[tokio::test]
async fn an_unrepeatable_answer_cut_short_ends_with_an_error_and_runs_once() {
    let backend = fixture::backend("server-0").await;
    backend.set_mode(mode(|m| m.cut_after = Some(10)));
    let front = fixture::front(&[backend.address()]).await;

    let request = fixture::request("POST", "/order/1", "once");
    let answer = fixture::try_send(front.address, request).await;

    assert!(answer.is_err(), "{answer:?}");
    assert_eq!(backend.starts().count, 1);
}

#[tokio::test]
async fn an_answer_that_stops_half_way_ends_with_an_error() {
    let half = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf".to_vec();
    let server = Scripted::start(vec![Step::ReadHead, Step::Write(half), Step::ReadEnd]).await;
    let limits = settings::Limits {
        body_timeout: span::Span(Duration::from_millis(200)),
        ..fixture::limits()
    };
    let front = fixture::front_with(&[server.address], limits, Arc::new(fakes::Naive)).await;

    let answer = fixture::try_send(front.address, fixture::request("POST", "/order/1", "")).await;

    assert!(answer.is_err(), "{answer:?}");
}

#[tokio::test]
async fn a_connection_gone_silent_is_left_for_a_new_one() {
    let backend = fixture::backend("server-0").await;
    let front = fixture::front(&[backend.address()]).await;
    let first = fixture::send(front.address, fixture::request("GET", "/items/1", "")).await;
    backend.set_mode(mode(|m| m.silent = true));

    let silent = fixture::send(front.address, fixture::request("POST", "/quick", "")).await;
    let third = fixture::send(front.address, fixture::request("GET", "/items/3", "")).await;

    assert_eq!(first.status, 200);
    assert_eq!(silent.header("monsooncart-outcome"), "unknown");
    assert_eq!(third.echo().target, "/items/3");
}

#[tokio::test]
async fn a_caller_that_cuts_its_body_cuts_the_request_too() {
    let server = Scripted::start(vec![Step::ReadHead, Step::ReadEnd]).await;
    let front = fixture::front(&[server.address]).await;
    let (pieces, receiver) = tokio::sync::mpsc::channel(1);
    let stream = futures_util::stream::unfold(receiver, |mut receiver| async move {
        let piece: Result<_, std::io::Error> = receiver.recv().await?;
        Some((piece, receiver))
    });
    let body = http_body_util::StreamBody::new(stream);
    let request = fixture::request("POST", "/upload", "").map(|_| body);
    let sending = tokio::spawn(fixture::try_send(front.address, request));
    let piece = bytes::Bytes::from(vec![7; 128 << 10]);
    pieces
        .send(Ok(http_body::Frame::data(piece)))
        .await
        .unwrap();
    fixture::until("send", || server.received() > 128 << 10).await;

    let fault = std::io::Error::other("caller breaks off");
    pieces.send(Err(fault)).await.unwrap();

    let answer = sending.await.unwrap();
    fixture::until("close", || server.ended() == 1).await;
    assert!(answer.is_err());
    assert!(
        !server.text().ends_with("0\r\n\r\n"),
        "a whole body was made up"
    );
}

#[tokio::test]
async fn a_server_that_says_so_is_leaving() {
    let backend = fixture::backend("server-0").await;
    backend.set_mode(mode(|m| m.leaving = true));
    let front = fixture::front(&[backend.address()]).await;

    let first = fixture::send(front.address, fixture::request("GET", "/items/1", "")).await;
    let second = fixture::send(front.address, fixture::request("GET", "/items/2", "")).await;

    let fleet = front.fakes.fleet.clone();
    fixture::until("news", || !fleet.leaving().is_empty()).await;
    assert_eq!(first.status, 200);
    assert_eq!(second.status, 503);
    assert_eq!(backend.starts().count, 1);
}

#[tokio::test]
async fn failures_in_a_row_ask_for_an_ejection() {
    let backend = fixture::backend("server-0").await;
    backend.set_mode(mode(|m| m.errors = 1.0));
    let front = fixture::front(&[backend.address()]).await;

    for _ in 0..8 {
        fixture::send(front.address, fixture::request("GET", "/items/1", "")).await;
    }

    let fleet = front.fakes.fleet.clone();
    fixture::until("ejection", || !fleet.ejected().is_empty()).await;
    let decisions = front.engine.decisions();
    assert!(
        decisions
            .iter()
            .any(|d| d.evidence == "5 failures in a row")
    );
}

#[tokio::test]
async fn a_chunked_answer_cut_short_is_never_complete() {
    let half = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n".to_vec();
    let server = Scripted::start(vec![Step::ReadHead, Step::Write(half)]).await;
    let front = fixture::front(&[server.address]).await;

    let request = fixture::request("POST", "/order/1", "");
    let answer = fixture::try_send(front.address, request).await;

    assert!(answer.is_err(), "{answer:?}");
}

#[tokio::test]
async fn an_answer_without_a_length_comes_whole_to_its_end() {
    let open = b"HTTP/1.1 200 OK\r\n\r\nuntil the end".to_vec();
    let server = Scripted::start(vec![Step::ReadHead, Step::Write(open)]).await;
    let front = fixture::front(&[server.address]).await;

    let answer = fixture::send(front.address, fixture::request("GET", "/items/1", "")).await;

    assert_eq!(answer.body, "until the end");
}

#[tokio::test]
async fn refusals_do_not_crowd_out_decisions_about_servers() {
    const REFUSALS: usize = 1100;
    let front = fixture::front(&[]).await;
    let (service, name) = ("wiredesk".parse().unwrap(), "server-0".parse().unwrap());
    let moved = fixture::service(vec![fixture::spec("server-0", fixture::gone().await)]);
    front.engine.configure(Arc::new(fixture::snapshot(&moved)));
    front
        .engine
        .record_ejection(&service, &name, monsooncart_policy::event::Ejection::Denied);
    let mut sender = fixture::connect(front.address).await;

    for _ in 0..REFUSALS {
        sender.ready().await.unwrap();
        let refused = sender.send_request(fixture::request("GET", "/items/1", ""));
        let body = refused.await.unwrap().into_body();
        http_body_util::BodyExt::collect(body).await.unwrap();
    }

    let decisions = front.engine.decisions();
    let denied = monsooncart_proxy::decision::Kind::Denied;
    assert!(decisions.len() <= 2048);
    assert!(decisions.iter().any(|d| d.kind == denied));
}
