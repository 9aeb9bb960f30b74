//! A short run of the soak. Bounds in time are not judged here; that is for runs by hand.

use crate::fixture::process;

/// Runs the soak with a seed; gives whether no promise was broken, and what it printed.
async fn soak(arguments: &[&str]) -> (bool, String) {
    let mut all = vec!["soak", "--untimed", "--daemons", "4", "--callers", "12"];
    all.extend(arguments);
    let arguments: Vec<_> = all.into_iter().map(str::to_owned).collect();
    let ran = tokio::task::spawn_blocking(move || {
        let arguments: Vec<_> = arguments.iter().map(String::as_str).collect();
        process::output(&process::testbed(), &arguments)
    });
    let (code, out, error) = ran.await.expect("the soak ran");
    (code == Some(0), format!("{out}{error}"))
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_a_short_series_of_troubles() {
    let (held, printed) = soak(&["--seed", "7", "--minutes", "0.5"]).await;

    assert!(held, "{printed}");
}

#[tokio::test(flavor = "multi_thread")]
async fn servers_that_run_what_they_refuse_are_found() {
    let (held, printed) = soak(&["--seed", "8", "--minutes", "0.1", "--liars"]).await;

    assert!(!held, "{printed}");
    assert!(printed.contains("broken: not-run"), "{printed}");
}

#[test]
fn arguments_out_of_range_are_refused() {
    let arguments = ["soak", "--daemons", "61"];

    let (code, _, error) = process::output(&process::testbed(), &arguments);

    assert_eq!(code, Some(2));
    assert!(error.contains("61 is not in 1..=60"), "{error}");
}
