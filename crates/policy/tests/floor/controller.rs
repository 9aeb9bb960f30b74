use std::collections::BTreeSet;

use monsooncart_policy::event::Ejection;
use monsooncart_policy::floor::decision;
use monsooncart_policy::floor::event::Event;

use crate::fleet::{Fleet, Platform, capacity, instance, server};

#[test]
fn holders_are_granted_half_of_the_room_in_whole_servers() {
    let fleet = Fleet::new(3, 2, &capacity(1, 10, 20, 2));

    let record = fleet.record();

    assert_eq!(record.tokens(), 16);
    assert_eq!(record.tokens_of(instance(1)), 8);
    assert_eq!(record.tokens_of(instance(2)), 8);
    assert_eq!(record.room(), 14);
}

#[test]
fn an_ejection_is_granted_and_reported_on_every_daemon() {
    let mut fleet = Fleet::new(3, 2, &capacity(1, 10, 20, 2));

    let by_other = fleet.eject(3, 0);
    let by_holder = fleet.eject(1, 1);

    assert_eq!(by_other, Some(Ejection::Granted));
    assert_eq!(by_holder, Some(Ejection::Granted));
    assert_eq!(fleet.record().serving(), 36);
    let expected = (2, server(1), Ejection::Granted);
    assert!(fleet.reported.contains(&expected));
}

#[test]
fn no_daemon_goes_below_the_floor_while_the_platform_is_available() {
    let mut fleet = Fleet::new(3, 2, &capacity(1, 5, 6, 2));

    let outcomes: Vec<_> = (0..6).map(|n| fleet.eject(1 + n % 3, n as usize)).collect();

    let granted = outcomes.iter().filter(|o| **o == Some(Ejection::Granted));
    assert_eq!(granted.count(), 3);
    let denied = outcomes.iter().filter(|o| **o == Some(Ejection::Denied));
    assert_eq!(denied.count(), 3);
    assert_eq!(fleet.record().serving(), 6);
}

#[test]
fn holders_spend_their_tokens_for_other_daemons_during_an_outage() {
    let mut fleet = Fleet::new(3, 2, &capacity(1, 4, 6, 2));
    fleet.platform = Platform::Unavailable;

    let outcomes: Vec<_> = (0..6).map(|n| fleet.eject(3, n)).collect();

    let granted = outcomes.iter().filter(|o| **o == Some(Ejection::Granted));
    assert_eq!(granted.count(), 2);
    assert_eq!(outcomes[5], Some(Ejection::Denied));
}

#[test]
fn spends_during_an_outage_are_written_back() {
    let mut fleet = Fleet::new(3, 2, &capacity(1, 4, 6, 2));
    fleet.platform = Platform::Unavailable;
    let outcome = fleet.eject(3, 0);

    fleet.platform = Platform::Available;
    fleet.tick();

    assert_eq!(outcome, Some(Ejection::Granted));
    let record = fleet.record();
    assert!(record.servers[&server(0)].ejection.is_some());
    assert_eq!(record.serving(), 10);
    assert!(record.room() >= 0);
}

#[test]
fn a_write_without_a_response_is_resolved_by_reading_back() {
    let mut fleet = Fleet::new(3, 1, &capacity(1, 4, 6, 2));
    fleet.platform = Platform::LosesResponses;
    fleet.send(2, eject(2, 0));

    fleet.platform = Platform::Available;
    fleet.tick();
    fleet.tick();

    let reported = (2, server(0), Ejection::Granted);
    assert!(fleet.reported.contains(&reported));
    assert_eq!(fleet.record().serving(), 10);
}

#[test]
fn a_restore_takes_effect_at_once_and_is_written_back_later() {
    let mut fleet = Fleet::new(2, 1, &capacity(1, 4, 6, 2));
    fleet.eject(2, 0);
    fleet.platform = Platform::Unavailable;

    fleet.send(2, Event::Restore(server(0)));
    let restored_everywhere = fleet
        .controllers
        .values()
        .all(|controller| controller.view().ejected().is_empty());
    fleet.platform = Platform::Available;
    fleet.tick();

    assert!(restored_everywhere);
    assert_eq!(fleet.record().serving(), 12);
}

#[test]
fn tokens_of_a_killed_holder_are_freed_only_when_it_is_proven_gone() {
    let mut fleet = Fleet::new(3, 1, &capacity(1, 10, 6, 2));
    fleet.controllers.remove(&1);
    for daemon in [2, 3] {
        fleet.send(daemon, Event::Holders(vec![instance(2)]));
    }

    let before = fleet.eject(2, 0);
    for daemon in [2, 3] {
        fleet.send(daemon, Event::Gone(BTreeSet::from([instance(1)])));
    }
    let after = fleet.eject(2, 0);

    assert_eq!(before, Some(Ejection::Denied));
    assert_eq!(after, Some(Ejection::Granted));
}

/// The platform's limit of 2,000 reads per second, divided among 5,100 services with three holders
/// each.
const READS_PER_HOLDER_HOUR: u64 = 2_000 * 3_600 / (5_100 * 3);

#[test]
fn reads_during_an_outage_stay_within_the_platforms_limit() {
    let mut fleet = Fleet::new(3, 3, &capacity(1, 4, 6, 2));
    fleet.platform = Platform::Unavailable;
    fleet.eject(1, 0);
    fleet.reads = 0;

    for _ in 0..3_600 {
        fleet.tick();
    }

    let reads = fleet.reads;
    assert!(reads <= 3 * READS_PER_HOLDER_HOUR, "{reads} reads");
    assert!(reads > 0, "the platform was never retried");
}

#[test]
fn after_a_drain_a_holder_accounts_for_the_tokens_of_other_holders() {
    let mut fleet = Fleet::new(2, 2, &capacity(1, 4, 6, 2));
    fleet.deliver_record();
    fleet.platform = Platform::Unavailable;
    let mut drained = capacity(2, 4, 6, 2);
    for server in &mut drained.servers[3..] {
        server.available = false;
    }

    for daemon in [1, 2] {
        fleet.send(daemon, Event::Capacity(drained.clone()));
    }
    let outcomes = [fleet.eject(1, 0), fleet.eject(2, 1)];

    assert_eq!(outcomes, [Some(Ejection::Denied); 2]);
}

/// One of four servers is ejected with the first holder's token and two are drained. The second
/// holder is unreachable and may still spend its token on the last one, so the first ejection must
/// be undone.
#[test]
fn a_spend_written_back_after_a_drain_leaves_room_for_granted_tokens() {
    let mut fleet = Fleet::new(2, 2, &capacity(1, 1, 4, 1));
    fleet.controllers.remove(&2);
    fleet.platform = Platform::Unavailable;
    let outcome = fleet.eject(1, 0);
    let mut drained = capacity(2, 1, 4, 1);
    for server in &mut drained.servers[2..] {
        server.available = false;
    }

    fleet.send(1, Event::Capacity(drained));
    fleet.platform = Platform::Available;
    for _ in 0..5 {
        fleet.tick();
    }

    assert_eq!(outcome, Some(Ejection::Granted));
    let record = fleet.record();
    assert_eq!(record.tokens_of(instance(2)), 1);
    assert_eq!(record.serving(), 2);
    assert_eq!(record.room(), 0);
}

#[test]
fn decisions_record_their_reasons() {
    let mut fleet = Fleet::new(3, 2, &capacity(1, 4, 6, 2));
    fleet.platform = Platform::Unavailable;
    for number in 0..3 {
        fleet.eject(3, number);
    }

    let decisions: Vec<_> = fleet.controllers[&3].decisions().collect();

    let spent_token = |d: &&&decision::Decision| {
        let unrecorded = matches!(
            d.verdict,
            decision::Verdict::Ejected {
                recorded: false,
                ..
            }
        );
        unrecorded && d.evidence == Some(crate::fleet::ejection(3))
    };
    assert_eq!(decisions.iter().filter(spent_token).count(), 2);
    let last = decisions.last().expect("a decision");
    let denied = decision::Verdict::Denied {
        room: 4,
        free: 0,
        tokens: 4,
        asked: vec![instance(1), instance(2)],
        outage: true,
    };
    assert_eq!((&last.server, &last.verdict), (&server(2), &denied));
}

#[test]
fn a_planned_shutdown_returns_the_tokens() {
    let mut fleet = Fleet::new(2, 1, &capacity(1, 4, 6, 2));

    fleet.send(1, Event::Stop);

    assert_eq!(fleet.stopped, [1]);
    assert_eq!(fleet.record().tokens(), 0);
}

fn eject(by: u64, number: usize) -> Event {
    Event::Eject {
        server: server(number),
        ejection: crate::fleet::ejection(by),
    }
}
