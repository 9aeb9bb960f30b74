//! Short runs of the soak test. Time limits are checked only in manual runs, not here.

use crate::fixture::process;

/// Runs the soak test; returns whether no guarantee was violated, and its output.
async fn run_soak(arguments: &[&str]) -> (bool, String) {
    let mut all = vec!["soak", "--untimed", "--daemons", "4", "--callers", "12"];
    all.extend(arguments);
    let arguments: Vec<_> = all.into_iter().map(str::to_owned).collect();
    let command = tokio::task::spawn_blocking(move || {
        let arguments: Vec<_> = arguments.iter().map(String::as_str).collect();
        process::run_to_exit(&process::testbed(), &arguments)
    });
    let (code, out, error) = command.await.expect("soak task completes");
    (code == Some(0), format!("{out}{error}"))
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_in_a_short_soak() {
    let (passed, printed) = run_soak(&["--seed", "7", "--minutes", "0.5"]).await;

    assert!(passed, "{printed}");
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_detects_servers_that_execute_rejected_requests() {
    let (passed, printed) = run_soak(&["--seed", "8", "--minutes", "0.1", "--liars"]).await;

    assert!(!passed, "{printed}");
    assert!(printed.contains("broken: not-run"), "{printed}");
}

/// Guards against requests that are lost in a planned stop, among them uploads in pieces (LOST).
#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_lost_while_all_daemons_stop() {
    let arguments = [
        "stops",
        "--seed",
        "1",
        "--rounds",
        "1",
        "--all",
        "--daemons",
        "2",
        "--callers",
        "16",
    ];
    let command =
        tokio::task::spawn_blocking(move || process::run_to_exit(&process::testbed(), &arguments));

    let (code, out, error) = command.await.expect("the command completes");

    assert_eq!(code, Some(0), "{out}{error}");
    assert!(out.contains("lost=0"), "{out}");
}

#[test]
fn arguments_out_of_range_are_rejected() {
    let arguments = ["soak", "--daemons", "61"];

    let (code, _, error) = process::run_to_exit(&process::testbed(), &arguments);

    assert_eq!(code, Some(2));
    assert!(error.contains("61 is not in 1..=60"), "{error}");
}
