use std::time::Duration;

use monsooncart_policy::claims::{claim, register, secret, table, ticket};
use monsooncart_types::{instance, time};

pub fn minter(number: u64) -> table::Table {
    minter_with_limits(number, register::Limits::default())
}

fn minter_with_limits(number: u64, limits: register::Limits) -> table::Table {
    let secret = secret::Secret([number as u8; secret::LEN_BYTES]);
    table::Table::new(instance::Instance(number), secret, limits)
}

pub fn claimant(daemon: u64, request: u64) -> claim::Claimant {
    let daemon = instance::Instance(daemon);
    claim::Claimant { daemon, request }
}

pub fn mint(table: &mut table::Table) -> ticket::Ticket {
    table.mint(time::Time::ZERO).expect("the table mints")
}

#[test]
fn only_one_claimant_is_granted_and_a_repeated_claim_gets_the_same_decision() {
    let mut table = minter(1);
    let ticket = mint(&mut table);

    let first = table.claim(&ticket, claimant(2, 7));
    let again = table.claim(&ticket, claimant(2, 7));
    let other = table.claim(&ticket, claimant(3, 7));

    assert_eq!(first, Ok(()));
    assert_eq!(again, Ok(()));
    let state = claim::State::Claimed;
    assert_eq!(other, Err(claim::Refusal::Taken { state }));
}

#[test]
fn a_release_reopens_the_ticket_but_not_for_a_late_copy_of_the_claim() {
    let mut table = minter(1);
    let ticket = mint(&mut table);
    table.claim(&ticket, claimant(2, 7)).expect("granted");

    table.release(&ticket, claimant(2, 7)).expect("known");
    let late = table.claim(&ticket, claimant(2, 7));
    let open = table.outcome(&ticket);
    let other = table.claim(&ticket, claimant(3, 1));

    assert_eq!(late, Err(claim::Refusal::Released));
    assert_eq!(open, Ok(claim::State::Open));
    assert_eq!(other, Ok(()));
}

#[test]
fn a_release_that_arrives_before_its_claim_refuses_it() {
    let mut table = minter(1);
    let ticket = mint(&mut table);

    table.release(&ticket, claimant(2, 7)).expect("known");
    let late = table.claim(&ticket, claimant(2, 7));
    let next = table.claim(&ticket, claimant(2, 8));

    assert_eq!(late, Err(claim::Refusal::Released));
    assert_eq!(next, Ok(()));
}

#[test]
fn a_duplicate_release_does_not_reopen_another_claim() {
    let mut table = minter(1);
    let ticket = mint(&mut table);
    table.claim(&ticket, claimant(2, 7)).expect("granted");
    table.release(&ticket, claimant(2, 7)).expect("known");
    table.claim(&ticket, claimant(3, 1)).expect("granted");

    table.release(&ticket, claimant(2, 7)).expect("known");
    let third = table.claim(&ticket, claimant(4, 1));

    let state = claim::State::Claimed;
    assert_eq!(third, Err(claim::Refusal::Taken { state }));
}

#[test]
fn a_settled_ticket_is_never_reopened() {
    let mut table = minter(1);
    let ticket = mint(&mut table);
    let state = claim::State::Answered(201);
    table.claim(&ticket, claimant(2, 7)).expect("granted");
    table.settle(&ticket, claimant(2, 7), state).expect("known");

    table.release(&ticket, claimant(2, 7)).expect("known");
    let same = table.claim(&ticket, claimant(2, 7));
    let other = table.claim(&ticket, claimant(3, 1));

    assert_eq!(same, Err(claim::Refusal::Taken { state }));
    assert_eq!(other, Err(claim::Refusal::Taken { state }));
    assert_eq!(table.outcome(&ticket), Ok(state));
}

#[test]
fn only_the_granted_claimant_can_settle() {
    let mut table = minter(1);
    let ticket = mint(&mut table);
    table.claim(&ticket, claimant(2, 7)).expect("granted");

    let state = claim::State::Answered(201);
    table.settle(&ticket, claimant(3, 7), state).expect("known");

    assert_eq!(table.outcome(&ticket), Ok(claim::State::Claimed));
}

#[test]
fn forged_tickets_and_numbers_not_yet_minted_are_refused() {
    let mut table = minter(1);
    let ticket = mint(&mut table);
    let forged = ticket::Ticket {
        number: 5,
        ..ticket
    };
    let future = secret::Secret([1; secret::LEN_BYTES]).ticket(instance::Instance(1), 5);

    let answers = [forged, future].map(|t| table.claim(&t, claimant(2, 7)));

    assert_eq!(answers, [Err(claim::Refusal::Forged); 2]);
}

#[test]
fn expired_tickets_are_refused_forever_and_take_no_memory() {
    let limits = register::Limits {
        lifetime: Duration::from_secs(10),
        entries: 100,
    };
    let mut table = minter_with_limits(1, limits);
    let old = mint(&mut table);
    table.claim(&old, claimant(2, 7)).expect("granted");
    let later = time::Time::from_millis(9_000);
    let young = table.mint(later).expect("the table mints");

    table.expire(time::Time::from_millis(12_000));
    let expired = table.claim(&old, claimant(3, 1));
    let granted = table.claim(&young, claimant(3, 2));

    assert_eq!(expired, Err(claim::Refusal::Expired));
    assert_eq!(granted, Ok(()));
    assert_eq!(table.entries(), 1);
}

#[test]
fn the_number_of_entries_is_bounded_and_the_oldest_tickets_expire_first() {
    let limits = register::Limits {
        entries: 3,
        ..register::Limits::default()
    };
    let mut table = minter_with_limits(1, limits);
    let tickets: Vec<_> = (0..10).map(|_| mint(&mut table)).collect();

    for (request, ticket) in tickets.iter().enumerate() {
        let granted = table.claim(ticket, claimant(2, request as u64));
        assert_eq!(granted, Ok(()), "ticket {request}");
    }
    let oldest = table.claim(&tickets[0], claimant(3, 1));

    assert_eq!(table.entries(), 3);
    assert_eq!(oldest, Err(claim::Refusal::Expired));
}

#[test]
fn releases_recorded_for_a_ticket_are_bounded() {
    let mut table = minter(1);
    let ticket = mint(&mut table);

    let granted = (0..100).filter(|&daemon| {
        let granted = table.claim(&ticket, claimant(daemon, 1)).is_ok();
        table.release(&ticket, claimant(daemon, 1)).expect("known");
        granted
    });
    let granted = granted.count();

    assert!(granted < 100, "granted {granted} times");
}
