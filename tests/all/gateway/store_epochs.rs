//! A store that is restored from a backup, after which its revisions are used again.

use std::time::Duration;

use serde_json::json;

use crate::fixture::gateway::{self, Gateway};
use crate::fixture::wait;

/// Routing rules of most tests and one more.
fn rules_with(prefix: &str) -> Vec<serde_json::Value> {
    let mut rules = gateway::rules();
    rules.push(gateway::route(prefix, "safe", gateway::SERVICE));
    rules
}

/// Waits until every daemon serves a route.
async fn wait_until_in_force(gateway: &Gateway, path: &str) {
    for daemon in &gateway.daemons {
        wait::until("new route is in force", || async {
            let reply = daemon.send("GET", path, "in-force").await;
            reply.is_ok_and(|reply| reply.status == 200)
        })
        .await;
    }
}

/// Guards against a configuration that goes back, or stands still, after the store was restored from
/// a backup, in which revisions are used again.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_does_not_revert_and_goes_on_after_the_store_is_restored_from_a_backup() {
    let gateway = Gateway::start(3, 2).await;
    let backup = gateway.registry.back_up();
    let new_rules = rules_with("/new/");
    let new = gateway::configuration(9, &new_rules);
    // Revisions that the backup does not have.
    for number in 0..5 {
        gateway.registry.put("other", "object", &json!(number));
    }
    gateway.registry.put("config", "main", &new);
    wait_until_in_force(&gateway, "/new/x").await;

    gateway.registry.restore(&backup);
    tokio::time::sleep(Gateway::PROPAGATION_TIME).await;

    for (number, daemon) in gateway.daemons.iter().enumerate() {
        let reply = daemon
            .send("GET", "/new/x", &format!("kept-{number}"))
            .await;
        assert_eq!(reply.expect("response").status, 200);
    }
    gateway.registry.put("config", "main", &new);
    let mut newer_rules = new_rules;
    newer_rules.push(gateway::route("/newer/", "safe", gateway::SERVICE));
    let newer = gateway::configuration(12, &newer_rules);
    gateway.registry.put("config", "main", &newer);
    wait_until_in_force(&gateway, "/newer/x").await;
}

/// Guards against work for servers that leave after the store was restored from a backup, and
/// for those that had left before.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_servers_receive_no_work_after_the_store_is_restored_from_a_backup() {
    let gateway = Gateway::start(3, 3).await;
    let backup = gateway.registry.back_up();
    for number in 0..5 {
        gateway.registry.put("other", "object", &json!(number));
    }
    // Its entry has a revision that the store uses again.
    let id = gateway.servers[1].id();
    gateway.registry.delete("servers", id);
    gateway.register(1, "ready");
    gateway.register(0, "draining");
    tokio::time::sleep(Gateway::PROPAGATION_TIME).await;

    gateway.registry.restore(&backup);
    tokio::time::sleep(Gateway::PROPAGATION_TIME).await;
    gateway.register(1, "draining");
    tokio::time::sleep(Gateway::PROPAGATION_TIME).await;
    let before = [0, 1].map(|server| gateway.executions_by(server));

    for number in 0..60 {
        let daemon = &gateway.daemons[number % 3];
        let reply = daemon.send("GET", "/read/x", &format!("e{number}")).await;
        assert_eq!(reply.expect("response").status, 200);
    }

    assert_eq!([0, 1].map(|server| gateway.executions_by(server)), before);
    let logs = gateway.daemons.iter().map(|d| d.process.log());
    let resets = logs.filter(|log| log.contains("restored from a backup"));
    assert!(resets.count() > 0);
}

/// Guards against the loss of servers that a backup of the store does not have yet.
#[tokio::test(flavor = "multi_thread")]
async fn servers_missing_from_a_backup_are_used_until_they_register_again() {
    let gateway = Gateway::start(2, 1).await;
    gateway.registry.delete("servers", gateway.servers[0].id());
    let backup = gateway.registry.back_up();
    gateway.register(0, "ready");
    wait_until_in_force(&gateway, "/read/x").await;

    for drill in 0..2 {
        gateway.registry.restore(&backup);
        for number in 0..20 {
            let daemon = &gateway.daemons[number % 2];
            let id = format!("missing-{drill}-{number}");
            let reply = daemon.send("GET", "/read/x", &id).await;
            assert_eq!(reply.expect("response").status, 200);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        gateway.register(0, "ready");
        tokio::time::sleep(Gateway::PROPAGATION_TIME).await;
    }

    let reply = gateway.daemons[0].send("GET", "/read/x", "after").await;
    assert_eq!(reply.expect("response").status, 200);
}
