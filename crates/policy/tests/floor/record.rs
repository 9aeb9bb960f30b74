use std::collections::BTreeSet;

use monsooncart_policy::floor::{capacity, denial, mark, record};

use crate::fleet::{capacity, ejection, instance, server, vm};

fn new_record(capacity: &capacity::Capacity) -> record::Record {
    record::Record::default().reconcile(capacity, &BTreeSet::new(), instance(1))
}

fn mark(record: &record::Record, number: usize, ejected: bool) -> mark::Mark {
    mark::Mark {
        server: server(number),
        stamp: record.next_stamp(instance(1)),
        ejection: ejected.then(|| ejection(1)),
    }
}

fn eject(record: record::Record, number: usize) -> Result<record::Record, denial::Denial> {
    let mark = mark(&record, number, true);
    record.eject(mark)
}

#[test]
fn ejections_stop_at_the_floor() {
    let record = new_record(&capacity(1, 5, 4, 2));

    let one = eject(record, 0).expect("8 - 2 slots are above the floor of 5");
    let two = eject(one.clone(), 1);

    assert_eq!(one.serving(), 6);
    let denial = denial::Denial::Floor {
        server: server(1),
        slots: 2,
        room: 1,
    };
    assert_eq!(two, Err(denial));
}

#[test]
fn a_repeated_ejection_costs_once() {
    let record = new_record(&capacity(1, 5, 4, 2));

    let once = eject(record, 0).expect("room");
    let twice = eject(once.clone(), 0).expect("the server is already ejected");

    assert_eq!(once, twice);
}

#[test]
fn granted_tokens_leave_no_room() {
    let record = new_record(&capacity(1, 4, 4, 2));

    let granted = record.set_tokens(instance(7), &vm(7), 100);
    let denied = eject(granted.clone(), 0);

    assert_eq!(granted.tokens(), 4);
    assert_eq!(granted.room(), 0);
    assert!(denied.is_err());
}

#[test]
fn a_spend_recorded_twice_costs_once() {
    let record = new_record(&capacity(1, 4, 4, 2)).set_tokens(instance(7), &vm(7), 4);
    let spend = mark(&record, 0, true);

    let once = record.record_spend(instance(7), 1, spend.clone());
    let twice = once.clone().record_spend(instance(7), 1, spend);

    assert_eq!(once.tokens(), 2);
    assert_eq!(once.room(), 0);
    assert_eq!(once, twice);
}

#[test]
fn a_spend_on_an_ejected_server_keeps_its_tokens() {
    let record = new_record(&capacity(1, 2, 4, 2)).set_tokens(instance(7), &vm(7), 2);
    let spend = mark(&record, 0, true);
    let record = eject(record, 0).expect("room");

    let after = record.record_spend(instance(7), 1, spend);

    assert_eq!(after.tokens(), 2);
    assert_eq!(after.room(), 2);
}

#[test]
fn a_drain_restores_the_last_ejected_server() {
    let record = new_record(&capacity(1, 4, 4, 2));
    let record = eject(record, 0).expect("room");
    let record = eject(record, 1).expect("room");
    let mut drained = capacity(2, 4, 4, 2);
    drained.servers[2].available = false;

    let after = record.reconcile(&drained, &BTreeSet::new(), instance(1));

    assert!(after.servers[&server(0)].ejection.is_some());
    assert!(after.servers[&server(1)].ejection.is_none());
    assert_eq!(after.serving(), 4);
}

#[test]
fn an_older_configuration_changes_nothing() {
    let record = new_record(&capacity(2, 4, 4, 2));

    let after = record
        .clone()
        .reconcile(&capacity(1, 0, 1, 2), &BTreeSet::new(), instance(1));

    assert_eq!(after, record);
}

#[test]
fn within_a_version_only_a_newer_generation_makes_a_server_available() {
    let mut cold = capacity(1, 4, 4, 2);
    cold.servers[0].available = false;
    let record = new_record(&cold);

    let stale = record
        .clone()
        .reconcile(&capacity(1, 4, 4, 2), &BTreeSet::new(), instance(1));
    let mut warm = capacity(1, 4, 4, 2);
    warm.servers[0].generation = 1;
    let back = record.reconcile(&warm, &BTreeSet::new(), instance(1));

    assert_eq!(stale.serving(), 6);
    assert_eq!(back.serving(), 8);
}

#[test]
fn a_record_survives_json_and_postcard_encoding() {
    let record = new_record(&capacity(1, 4, 4, 2)).set_tokens(instance(7), &vm(7), 2);
    let record = eject(record, 0).expect("room");

    let text = serde_json::to_string(&record).expect("records are JSON");
    let read: record::Record = serde_json::from_str(&text).expect("the record parses");
    let bytes = postcard::to_stdvec(&record).expect("records encode");
    let decoded: record::Record = postcard::from_bytes(&bytes).expect("the record decodes");

    assert_eq!(read, record);
    assert_eq!(decoded, record);
}

#[test]
fn removing_a_holder_that_is_gone_frees_its_tokens() {
    let capacity = capacity(1, 4, 4, 2);
    let record = new_record(&capacity).set_tokens(instance(7), &vm(7), 4);

    let after = record.reconcile(&capacity, &BTreeSet::from([instance(7)]), instance(1));

    assert_eq!(after.room(), 4);
}
