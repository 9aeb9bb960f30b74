use monsooncart_policy::claims::{claim, handover, successor};
use monsooncart_types::{instance, time};

use crate::table::{claimant, mint, minter};

const NOW: time::Time = time::Time::from_millis(1_000);

fn instance(number: u64) -> instance::Instance {
    instance::Instance(number)
}

#[test]
fn the_successor_decides_and_knows_earlier_claims() {
    let (mut old, mut new) = (minter(1), minter(2));
    let (claimed, open) = (mint(&mut old), mint(&mut old));
    old.claim(&claimed, claimant(7, 1)).expect("granted");

    let offer = old.export(NOW, instance(2)).expect("first offer");
    let reply = new.import(NOW, offer);
    old.record_reply(instance(2), reply);

    assert!(old.is_handed_over());
    assert_eq!(
        old.claim(&open, claimant(8, 1)),
        Err(claim::Refusal::Stopping)
    );
    assert_eq!(new.claim(&open, claimant(8, 1)), Ok(()));
    assert_eq!(new.claim(&claimed, claimant(7, 1)), Ok(()));
    let state = claim::State::Claimed;
    assert_eq!(
        new.claim(&claimed, claimant(8, 2)),
        Err(claim::Refusal::Taken { state })
    );
}

#[test]
fn a_lost_reply_allows_only_the_same_successor() {
    let mut old = minter(1);
    let ticket = mint(&mut old);

    let later = time::Time::from_millis(10_000_000);
    let first = old.export(NOW, instance(2));
    old.expire(later);
    let again = old.export(later, instance(2));
    let other = old.export(later, instance(3));

    assert!(first.is_some());
    assert_eq!(again, first);
    assert_eq!(other, None);
    assert_eq!(
        old.claim(&ticket, claimant(7, 1)),
        Err(claim::Refusal::Stopping)
    );
}

#[test]
fn after_a_refused_offer_the_table_grants_again() {
    let (mut old, mut stopping) = (minter(1), minter(2));
    let ticket = mint(&mut old);
    stopping.stop();

    let offer = old.export(NOW, instance(2)).expect("first offer");
    let reply = stopping.import(NOW, offer);
    old.record_reply(instance(2), reply);

    assert_eq!(reply, handover::Reply::Refused);
    assert_eq!(old.claim(&ticket, claimant(7, 1)), Ok(()));
    assert!(old.export(NOW, instance(3)).is_some());
    assert_eq!(old.mint(NOW), None);
}

#[test]
fn a_late_copy_of_an_offer_does_not_overwrite_the_table() {
    let (mut old, mut new) = (minter(1), minter(2));
    let ticket = mint(&mut old);
    let offer = old.export(NOW, instance(2)).expect("first offer");
    new.import(NOW, offer.clone());
    new.claim(&ticket, claimant(7, 1)).expect("granted");

    let reply = new.import(NOW, offer.clone());
    let second = new.claim(&ticket, claimant(8, 1));
    new.stop();
    let stopping = new.import(NOW, offer);

    assert_eq!(reply, handover::Reply::Taken);
    assert_eq!(stopping, handover::Reply::Taken);
    let state = claim::State::Claimed;
    assert_eq!(second, Err(claim::Refusal::Taken { state }));
}

#[test]
fn a_new_instance_at_the_same_address_does_not_take_the_table() {
    let (mut old, mut new_instance) = (minter(1), minter(9));
    let ticket = mint(&mut old);
    let offer = old.export(NOW, instance(2)).expect("first offer");

    let reply = new_instance.import(NOW, offer);
    old.record_reply(instance(2), reply);

    assert_eq!(reply, handover::Reply::Misaddressed);
    assert_eq!(
        new_instance.claim(&ticket, claimant(7, 1)),
        Err(claim::Refusal::Gone)
    );
    assert_eq!(old.export(NOW, instance(3)), None);
}

#[test]
fn crossed_handovers_leave_each_table_with_its_own_daemon() {
    let (mut left, mut right) = (minter(1), minter(2));
    let ticket = mint(&mut left);
    let to_right = left.export(NOW, instance(2)).expect("first offer");
    let to_left = right.export(NOW, instance(1)).expect("first offer");

    let from_right = right.import(NOW, to_right);
    let from_left = left.import(NOW, to_left);
    left.record_reply(instance(2), from_right);
    right.record_reply(instance(1), from_left);

    assert_eq!([from_left, from_right], [handover::Reply::Refused; 2]);
    assert_eq!(left.claim(&ticket, claimant(7, 1)), Ok(()));
    assert_eq!(
        right.claim(&ticket, claimant(8, 1)),
        Err(claim::Refusal::Gone)
    );
}

#[test]
fn inherited_tables_are_handed_over_to_the_next_successor() {
    let (mut first, mut second, mut third) = (minter(1), minter(2), minter(3));
    let ticket = mint(&mut first);
    let offer = first.export(NOW, instance(2)).expect("first offer");
    second.import(NOW, offer);

    let offer = second.export(NOW, instance(3)).expect("first offer");
    let reply = third.import(NOW, offer);
    second.record_reply(instance(3), reply);

    assert_eq!(
        second.claim(&ticket, claimant(7, 1)),
        Err(claim::Refusal::Stopping)
    );
    assert_eq!(third.claim(&ticket, claimant(7, 1)), Ok(()));
}

#[test]
fn a_handover_decodes_as_encoded_and_invalid_bytes_do_not_panic() {
    let mut old = minter(1);
    let ticket = mint(&mut old);
    old.claim(&ticket, claimant(7, 1)).expect("granted");
    let offer = old.export(NOW, instance(2)).expect("first offer");

    let bytes = postcard::to_stdvec(&offer).expect("offers encode");
    let decoded: handover::Handover = postcard::from_bytes(&bytes).expect("the offer decodes");

    assert_eq!(decoded, offer);
    arbtest::arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        if let Ok(offer) = postcard::from_bytes::<handover::Handover>(&bytes) {
            minter(2).import(NOW, offer);
        }
        Ok(())
    });
}

#[test]
fn the_decider_is_the_last_in_the_chain_of_successors() {
    let mut successors = successor::Successors::default();
    let pair = |from, to| successor::Succession {
        from: instance(from),
        to: instance(to),
    };

    let inserted = [pair(1, 2), pair(2, 3), pair(1, 9), pair(4, 4)].map(|s| successors.insert(s));

    assert_eq!(inserted, [true, true, false, false]);
    assert_eq!(successors.decider(instance(1)), instance(3));
    assert_eq!(successors.decider(instance(5)), instance(5));
    assert_eq!(successors.iter().count(), 2);
}
