//! Organisations with keys and allowances, on the users' platform.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::fixture::gateway::{self, Daemon, Gateway};
use crate::fixture::{http, process, wait};

const KEY: &str = "key-of-paper";

/// Allowance of the organisation, in requests per second and requests at once.
const RATE: f64 = 20.0;
const BURST: f64 = 10.0;

/// A configuration with one organisation that has these keys.
fn configuration(version: u64, keys: &[&str]) -> Value {
    let mut configuration = gateway::configuration(version, &gateway::rules());
    configuration["tenants"] = json!([
        {"name": "paper", "api_keys": keys, "rate_per_s": RATE, "burst": BURST},
    ]);
    configuration
}

async fn send(daemon: &Daemon, id: &str, key: &str) -> Result<http::Reply, http::Error> {
    let headers = [("x-credential", key), ("x-tenant", "made-up")];
    daemon
        .send_with_headers("POST", "/buy/x", id, &headers)
        .await
}

async fn wait_for_status(gateway: &Gateway, key: &str, status: u16) {
    for daemon in &gateway.daemons {
        wait::until("the configuration is in force", || async {
            let reply = send(daemon, "settle", key).await;
            reply.is_ok_and(|reply| reply.status == status)
        })
        .await;
    }
}

/// Guards against keys that reach servers (UNASKED), and withdrawn ones that are still accepted, also
/// by a restarted daemon while the store is away (CONFIG, ROUTE).
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_is_refused_by_every_daemon_also_after_a_restart() {
    let mut gateway = Gateway::start(3, 2).await;
    let put = |version, keys: &[&str]| {
        gateway
            .registry
            .put("config", "main", &configuration(version, keys));
    };
    put(9, &[KEY, "other"]);
    wait_for_status(&gateway, "unknown", 401).await;
    let reply = send(&gateway.daemons[0], "valid", KEY).await;
    assert_eq!(reply.expect("response").status, 200);
    put(11, &["other"]);
    wait_for_status(&gateway, KEY, 401).await;

    gateway
        .registry
        .set_fault(monsooncart_testbed::registry::Fault::Silent);
    gateway.daemons[0].kill_and_restart();
    wait::until("the restarted daemon serves", || async {
        let reply = send(&gateway.daemons[0], "restarted", "other").await;
        reply.is_ok_and(|reply| reply.status == 200)
    })
    .await;
    let reply = send(&gateway.daemons[0], "withdrawn", KEY).await;

    assert_eq!(reply.expect("response").status, 401);
    assert_eq!(gateway.executions("withdrawn"), 0);
    let heads = gateway.servers.iter().flat_map(|server| server.heads());
    let is_of_key = |head: &String| head.contains("valid") || head.contains("restarted");
    let heads: Vec<_> = heads.filter(is_of_key).collect();
    assert!(heads.len() >= 2);
    for head in heads {
        assert!(head.contains("x-tenant: paper"), "{head}");
        assert!(!head.contains("x-credential"), "{head}");
    }
}

/// Guards against daemons that each admit a whole allowance (QUOTA).
#[tokio::test(flavor = "multi_thread")]
async fn all_daemons_together_keep_to_an_allowance() {
    let gateway = Arc::new(Gateway::start(3, 3).await);
    gateway
        .registry
        .put("config", "main", &configuration(9, &[KEY]));
    wait_for_status(&gateway, "unknown", 401).await;
    let window = Duration::from_secs(4);
    let started_at = Instant::now();

    let flood = |caller: usize| {
        let gateway = gateway.clone();
        async move {
            let mut admitted = 0_u32;
            let mut number = 0;
            while started_at.elapsed() < window {
                number += 1;
                let id = format!("f{caller}-{number}");
                let reply = send(&gateway.daemons[caller % 3], &id, KEY).await;
                match reply.expect("response").status {
                    200 => admitted += 1,
                    429 => assert_eq!(gateway.executions(&id), 0),
                    status => panic!("{id}: status {status}"),
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            admitted
        }
    };
    let callers: Vec<_> = (0..6).map(|caller| tokio::spawn(flood(caller))).collect();
    let mut admitted = 0;
    for caller in callers {
        admitted += caller.await.expect("a caller");
    }

    let elapsed = started_at.elapsed().as_secs_f64();
    let allowed = (RATE * elapsed + BURST) * 1.1 + 20.0;
    assert!(
        f64::from(admitted) <= allowed,
        "{admitted} admitted in {elapsed:.1} s, {allowed:.0} allowed"
    );
    assert!(admitted > 0);
}

/// Guards against an explanation that differs from what the daemon would do, or sends the request, and
/// against a mistyped organisation or host that is explained as if it were none.
#[tokio::test(flavor = "multi_thread")]
async fn a_route_is_explained_without_sending_a_request() {
    let gateway = Gateway::start(2, 2).await;
    gateway
        .registry
        .put("config", "main", &configuration(9, &[KEY]));
    wait_for_status(&gateway, "unknown", 401).await;
    let before = gateway.executions_by(0) + gateway.executions_by(1);
    let admin = gateway.daemons[0].admin_address().to_string();
    let route = ["explain", "route", gateway::HOST, "/buy/x"];
    let options = ["--organisation", "paper", "--json", "--admin", &admin];
    let arguments: Vec<_> = route.iter().chain(&options).copied().collect();

    let (code, out, error) = process::run_to_exit(&process::monsooncart(), &arguments);
    let unknown = [
        "explain",
        "route",
        gateway::HOST,
        "/none/x",
        "--admin",
        &admin,
    ];
    let (unknown_code, _, unknown_error) = process::run_to_exit(&process::monsooncart(), &unknown);
    let options = ["--organisation", "nobody", "--admin", &admin];
    let nobody: Vec<_> = route.iter().chain(&options).copied().collect();
    let (nobody_code, _, nobody_error) = process::run_to_exit(&process::monsooncart(), &nobody);
    let url = ["explain", "route", "https://a.example", "/buy/x"];
    let (url_code, _, url_error) = process::run_to_exit(&process::monsooncart(), &url);

    assert_eq!(code, Some(0), "{error}");
    let explained: Value = serde_json::from_str(&out).expect("output is JSON");
    let daemons = explained.as_object().expect("daemons by name");
    let (_, first) = daemons.iter().next().expect("a daemon");
    assert_eq!(first["routing"], 9);
    assert_eq!(first["repeatable"], false);
    assert_eq!(first["organisation"]["name"], "paper");
    let explanation = &first["services"][0]["explanation"];
    assert_eq!(explanation["verdict"], "send");
    assert_eq!(explanation["candidates"].as_array().map(Vec::len), Some(2));
    assert_eq!(unknown_code, Some(1));
    assert!(unknown_error.contains("/none/x"), "{unknown_error}");
    assert_eq!(nobody_code, Some(1));
    assert!(
        nobody_error.contains("organisation nobody"),
        "{nobody_error}"
    );
    assert_eq!(url_code, Some(2));
    assert!(url_error.contains("expected a host name"), "{url_error}");
    assert_eq!(gateway.executions_by(0) + gateway.executions_by(1), before);
}
