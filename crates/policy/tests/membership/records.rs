use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use monsooncart_policy::membership::{member, record, table};
use monsooncart_types::time;

use crate::network;

fn record(u: &mut Unstructured<'_>) -> Result<record::Record> {
    let mut member = network::member(1, u.int_in_range(1..=2)?, "attica");
    member.state = *u.choose(&[
        member::State::Alive,
        member::State::Suspect,
        member::State::Dead,
        member::State::Left,
        member::State::Gone,
    ])?;
    member.leaving = u.arbitrary()?;
    // Two instances on one VM have different incarnations once the later one has raised its own.
    let parity = member.instance.0 & 1;
    let incarnation = 10 * (2 - parity) + u.int_in_range(0..=2)?;
    Ok(record::Record {
        member,
        incarnation,
    })
}

fn table(records: &[record::Record]) -> table::Table {
    let mut first = network::member(1, 1, "attica");
    first.state = member::State::Alive;
    let mut table = table::Table::default();
    let first = record::Record {
        member: first,
        incarnation: 0,
    };
    for record in std::iter::once(&first).chain(records) {
        table.merge(time::Time::ZERO, record);
    }
    table
}

#[test]
fn tables_converge_whatever_the_order_and_number_of_merges() {
    arbtest(|u| {
        let count = u.int_in_range(0..=6)?;
        let records: Vec<_> = (0..count).map(|_| record(u)).collect::<Result<_>>()?;
        let mut other = records.clone();
        other.reverse();
        other.extend(records.iter().cloned());

        let (one, two) = (table(&records), table(&other));

        assert_eq!(one.get(&network::vm(1)), two.get(&network::vm(1)));
        assert_eq!(one.digest(), two.digest());
        Ok(())
    });
}

#[test]
fn a_terminated_instance_never_becomes_live_again() {
    arbtest(|u| {
        let count = u.int_in_range(0..=10)?;
        let records: Vec<_> = (0..count).map(|_| record(u)).collect::<Result<_>>()?;
        let mut table = table(&[]);
        let mut terminated = std::collections::BTreeSet::new();

        for record in &records {
            table.merge(time::Time::ZERO, record);

            let recorded = table.get(&network::vm(1)).unwrap();
            let instance = recorded.member.instance;
            assert!(recorded.member.state.is_final() || !terminated.contains(&instance));
            for number in 1..=2 {
                let instance = network::member(1, number, "attica").instance;
                if table.is_terminated(instance) {
                    terminated.insert(instance);
                }
            }
        }
        Ok(())
    });
}
