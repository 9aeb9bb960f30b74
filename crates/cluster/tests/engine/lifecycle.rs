//! Crash, shutdown and restart of daemons, and calls of unknown daemons.

use std::sync::Arc;
use std::time::Duration;

use monsooncart_cluster::call;
use monsooncart_policy::membership::member;
use monsooncart_store::{memory, vms};

use crate::fixture::{self, Daemon};

fn knows(daemon: &Daemon, name: &str) -> bool {
    let members = daemon.engine.members();
    members.iter().any(|m| m.vm.as_str() == name)
}

async fn wait_until_unknown(daemons: &[Daemon], name: &str) {
    for daemon in daemons {
        fixture::eventually("member removed", || !knows(daemon, name)).await;
    }
}

#[tokio::test]
async fn a_crashed_daemon_is_removed_but_not_reported_as_terminated() {
    let mut daemons = fixture::fleet(4).await;
    let crashed = daemons.remove(2);
    let instance = crashed.engine.local().instance;

    drop(crashed);

    wait_until_unknown(&daemons, "vm-2").await;
    assert!(!daemons[0].engine.is_terminated(instance));
}

#[tokio::test]
async fn a_daemon_that_leaves_is_known_to_have_terminated() {
    let mut daemons = fixture::fleet(4).await;
    let left = daemons.remove(2);
    let instance = left.engine.local().instance;

    left.engine.leave().await;

    wait_until_unknown(&daemons, "vm-2").await;
    for daemon in &daemons {
        let terminated = || daemon.engine.is_terminated(instance);
        fixture::eventually("terminated", terminated).await;
    }
}

#[tokio::test]
async fn a_draining_daemon_is_no_longer_eligible() {
    let daemons = fixture::fleet(3).await;
    let draining = daemons[1].engine.local().instance;

    daemons[1].engine.drain();

    for daemon in &daemons {
        let leaving = || {
            let members = daemon.engine.members();
            let member = members.iter().find(|m| m.instance == draining);
            member.is_some_and(|m| !m.is_eligible())
        };
        fixture::eventually("not eligible", leaving).await;
    }
}

#[tokio::test]
async fn a_restarted_daemon_replaces_its_previous_instance() {
    let mut daemons = fixture::fleet(3).await;
    let previous = daemons.remove(2);
    let instance = previous.engine.local().instance;
    let seed = daemons[0].engine.local().peers;
    drop(previous);

    let restarted = fixture::start("vm-2", vec![seed]).await;

    let later = restarted.engine.local().instance;
    for daemon in &daemons {
        let engine = &daemon.engine;
        let replaced = || engine.member(later).is_some() && engine.is_terminated(instance);
        fixture::eventually("replaced", replaced).await;
    }
    let client = daemons[0].engine.client(instance);
    let call = client.claim(fixture::claim(instance), Duration::from_secs(10));
    let error = call.await.unwrap_err();
    assert_eq!(error.delivery, call::Delivery::NotDelivered);
    assert!(error.peer_terminated);
}

#[tokio::test]
async fn the_vm_list_provides_seeds_and_confirms_terminated_instances() {
    let platform = Arc::new(memory::Memory::default());
    let mut daemons = Vec::new();
    for name in ["vm-0", "vm-1", "vm-2"] {
        let recorder = fixture::recorder();
        let config = fixture::settings(name, &recorder).vms(platform.clone());
        let engine = config.start().await.unwrap();
        platform.set_vm(vm(engine.local(), vms::State::Live));
        daemons.push(Daemon { engine, recorder });
    }
    for daemon in &daemons {
        let joined = || daemon.engine.members().len() == 3;
        fixture::eventually("joined by the list", joined).await;
    }
    let gone = daemons.remove(2).engine;
    let instance = gone.local().instance;

    platform.set_vm(vm(gone.local(), vms::State::Gone));
    drop(gone);

    for daemon in &daemons {
        let terminated = || daemon.engine.is_terminated(instance);
        fixture::eventually("terminated by the list", terminated).await;
    }
}

fn vm(member: &member::Member, state: vms::State) -> vms::Vm {
    vms::Vm {
        name: member.vm.clone(),
        peers: member.peers,
        data_centre: member.data_centre.clone(),
        state,
    }
}

#[tokio::test]
async fn an_unknown_daemon_is_refused_with_a_reason() {
    let daemons = fixture::fleet(2).await;
    let recorder = fixture::recorder();
    let outsider = fixture::settings_at("stranger", fixture::loopback(9), &recorder);
    let outsider = outsider.start().await.unwrap();
    let member = daemons[0].engine.local();

    let call = outsider.client(member.peers);
    let call = call.claim(fixture::claim(member.instance), Duration::from_secs(10));
    let error = call.await.unwrap_err();

    assert_eq!(error.step, call::Step::Handshake);
    assert_eq!(error.delivery, call::Delivery::NotDelivered);
    let reason = "address 127.0.0.9 is not one of a member, a seed or a listed VM";
    assert!(error.reason.contains(reason), "{error}");
    assert!(daemons[0].recorder.claims.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_call_without_a_listener_was_not_delivered() {
    let daemons = fixture::fleet(1).await;
    let free = tokio::net::TcpListener::bind(fixture::loopback(1))
        .await
        .unwrap();
    let address = free.local_addr().unwrap();
    drop(free);

    let call = daemons[0].engine.client(address);
    let call = call.claim(
        fixture::claim(daemons[0].engine.local().instance),
        Duration::from_secs(10),
    );
    let error = call.await.unwrap_err();

    assert_eq!(error.step, call::Step::Dial);
    assert_eq!(error.delivery, call::Delivery::NotDelivered);
    assert!(error.peer.contains(&address.to_string()), "{error}");
}
