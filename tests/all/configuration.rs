//! Guarantee: an accepted configuration is in force everywhere within seconds and never reverts.

use monsooncart_store::{client, configuration};
use monsooncart_testbed::platform;
use rustix::process::Signal;

use crate::fixture::{fleet, wait};

const OBJECT_KEY: &str = "config/service/wiredesk";

fn plan(daemons: usize) -> fleet::Plan {
    fleet::Plan::new(daemons, fleet::Service::new("wiredesk", 2))
}

fn faults_of(outage: platform::Outage) -> platform::Faults {
    platform::Faults {
        outage,
        ..platform::Faults::default()
    }
}

/// The configuration of the fleet with a different floor.
fn with_floor(fleet: &fleet::Fleet, floor: &str) -> String {
    let text = fleet.configuration();
    text.replace("\"floor\": \"50%\"", &format!("\"floor\": \"{floor}\""))
}

async fn versions(fleet: &fleet::Fleet) -> Vec<Option<u64>> {
    let versions = fleet.daemons.iter().map(|d| d.version_in_force(OBJECT_KEY));
    futures_util::future::join_all(versions).await
}

/// Waits until all daemons have the same version in force, higher than `above`, and returns it.
async fn wait_until_in_force(fleet: &fleet::Fleet, above: u64) -> u64 {
    wait::for_value("configuration is in force everywhere", || async {
        let versions = versions(fleet).await;
        let first = versions[0]?;
        (first > above && versions.iter().all(|v| *v == Some(first))).then_some(first)
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn change_is_in_force_on_every_daemon() {
    let fleet = fleet::Fleet::start(plan(4)).await;
    let before = wait_until_in_force(&fleet, 0).await;

    let (code, _, error) = fleet.apply_text("anna", &with_floor(&fleet, "60%"));
    let after = wait_until_in_force(&fleet, before).await;

    assert_eq!(code, Some(0), "{error}");
    assert!(after > before);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_changes_are_ordered_or_conflict() {
    let fleet = fleet::Fleet::start(plan(3)).await;
    let before = wait_until_in_force(&fleet, 0).await;
    let texts = ["60%", "65%", "70%", "75%"].map(|floor| with_floor(&fleet, floor));

    let codes: Vec<_> = std::thread::scope(|scope| {
        let apply = |(n, text): (usize, &String)| {
            let (fleet, operator, text) = (&fleet, format!("operator-{n}"), text.clone());
            scope.spawn(move || fleet.apply_text(&operator, &text))
        };
        let threads: Vec<_> = texts.iter().enumerate().map(apply).collect();
        let join = |t: std::thread::ScopedJoinHandle<'_, _>| t.join().expect("apply completes");
        threads.into_iter().map(join).collect()
    });
    let accepted = codes.iter().filter(|(code, ..)| *code == Some(0)).count();
    let conflicts = codes.iter().filter(|(code, ..)| *code == Some(3)).count();
    wait_until_in_force(&fleet, before).await;

    assert!(accepted >= 1, "{codes:?}");
    assert_eq!(accepted + conflicts, 4, "{codes:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_store_responses_lose_no_change() {
    let fleet = fleet::Fleet::start(plan(3)).await;
    let before = wait_until_in_force(&fleet, 0).await;
    let faults = platform::Faults {
        lose_answers: 2,
        ..platform::Faults::default()
    };
    fleet.set_platform_faults(&faults).await;

    let (code, _, error) = fleet.apply_text("anna", &with_floor(&fleet, "60%"));
    wait_until_in_force(&fleet, before).await;

    assert_eq!(code, Some(0), "{error}");
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_started_in_an_outage_receives_the_newest_version_from_peers() {
    let mut fleet = fleet::Fleet::start(plan(3)).await;
    fleet.list_next_vm().await;
    let before = wait_until_in_force(&fleet, 0).await;
    let (code, _, error) = fleet.apply_text("anna", &with_floor(&fleet, "60%"));
    let newest = wait_until_in_force(&fleet, before).await;
    assert_eq!(code, Some(0), "{error}");
    let seed = fleet.daemons[0].process.address("peers");
    let reads = fleet.vm_list_reads().await;
    wait::until("VM list including the late VM is read", || async {
        fleet.vm_list_reads().await >= reads + 3
    })
    .await;

    fleet
        .set_platform_faults(&faults_of(platform::Outage::Closed))
        .await;
    let late = fleet.add_daemon_with_seed(seed).await;
    let version = wait::for_value("late daemon has a configuration in force", || async {
        fleet.daemons[late].version_in_force(OBJECT_KEY).await
    })
    .await;

    assert_eq!(version, newest);
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_daemon_catches_up_and_reverts_no_other_daemon() {
    let fleet = fleet::Fleet::start(plan(4)).await;
    let before = wait_until_in_force(&fleet, 0).await;
    fleet.daemons[1].process.signal(Signal::STOP);

    let (code, _, error) = fleet.apply_text("anna", &with_floor(&fleet, "60%"));
    let running = [0, 2, 3].map(|n| &fleet.daemons[n]);
    let newest = wait::for_value("running daemons have the change in force", || async {
        let mut newest = None;
        for daemon in running {
            newest = daemon
                .version_in_force(OBJECT_KEY)
                .await
                .filter(|v| *v > before);
            newest?;
        }
        newest
    })
    .await;
    fleet.daemons[1].process.signal(Signal::CONT);
    let after = wait_until_in_force(&fleet, before).await;

    assert_eq!(code, Some(0), "{error}");
    assert_eq!(after, newest);
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_change_of_a_killed_operator_is_completed_by_the_fleet() {
    let fleet = fleet::Fleet::start(plan(3)).await;
    let before = wait_until_in_force(&fleet, 0).await;
    let store = client::Client::new(fleet.platform.address("listen"));
    let held = platform::Faults {
        held_writes: "config/".to_owned(),
        ..platform::Faults::default()
    };
    fleet.set_platform_faults(&held).await;

    let mut operator = fleet.spawn_apply("anna", &with_floor(&fleet, "60%"));
    wait::until("change is accepted", || async {
        let current = configuration::Current::read(&store).await;
        let head = current.ok().and_then(|current| current.head);
        head.is_some_and(|head| head.state == configuration::State::Pending)
    })
    .await;
    operator.kill().expect("process is running");
    operator.wait().expect("process exits");
    fleet
        .set_platform_faults(&platform::Faults::default())
        .await;
    let after = wait_until_in_force(&fleet, before).await;

    assert!(after > before);
}
