use std::time::Duration;

use monsooncart_cluster::scope;

use crate::fixture;

#[tokio::test]
async fn daemons_discover_each_other_through_a_seed() {
    let daemons = fixture::fleet(5).await;

    let members = daemons[4].engine.members();

    let names: Vec<_> = members.iter().map(|m| m.vm.to_string()).collect();
    assert_eq!(names, ["vm-0", "vm-1", "vm-2", "vm-3", "vm-4"]);
}

#[tokio::test]
async fn a_call_reaches_the_daemon_of_an_instance() {
    let daemons = fixture::fleet(2).await;
    let minter = daemons[1].engine.local().instance;

    let client = daemons[0].engine.client(minter);
    let granted = client
        .claim(fixture::claim(minter), Duration::from_secs(10))
        .await;

    assert_eq!(granted, Ok(Ok(())));
    let claims = daemons[1].recorder.claims.lock().unwrap().clone();
    assert_eq!(claims, [fixture::claim(minter)]);
}

#[tokio::test]
async fn a_fleet_update_reaches_every_other_daemon_once() {
    let daemons = fixture::fleet(5).await;

    daemons[2]
        .engine
        .publish(fixture::leaving_update(), scope::Scope::Fleet);

    for (number, daemon) in daemons.iter().enumerate() {
        let expected = usize::from(number != 2);
        let received = || daemon.recorder.updates.lock().unwrap().len();
        fixture::eventually("update received", || received() >= expected).await;
    }
    let total = daemons
        .iter()
        .map(|d| d.recorder.updates.lock().unwrap().len());
    assert_eq!(total.sum::<usize>(), 4);
}
