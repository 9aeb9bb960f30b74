//! Guarantee: a daemon whose secret differs from that of the fleet does not become a member.

use crate::fixture::{fleet, wait};

#[tokio::test(flavor = "multi_thread")]
async fn daemon_with_another_secret_does_not_join() {
    let mut plan = fleet::Plan::new(2, fleet::Service::new("wiredesk", 1));
    plan.secret = Some("0123456789abcdef0123456789abcdef");
    let mut fleet = fleet::Fleet::start(plan).await;

    fleet.set_secret("fedcba9876543210fedcba9876543210");
    let outsider = fleet.add_daemon().await;
    let reads = fleet.vm_list_reads().await;
    wait::until("VM list is read with the outsider", || async {
        fleet.vm_list_reads().await >= reads + 6
    })
    .await;

    assert!(!fleet.daemons[0].has_member("entry-02").await);
    assert!(!fleet.daemons[1].has_member("entry-02").await);
    assert!(!fleet.daemons[outsider].has_member("entry-00").await);
}
