use std::collections::BTreeSet;

use arbtest::arbtest;
use monsooncart_policy::membership::member;
use monsooncart_policy::rank;

use crate::network;

fn members(count: u8) -> Vec<member::Member> {
    let member = |host| network::member(host, 1, "attica");
    (1..=count).map(member).collect()
}

fn names(top: &[&member::Member]) -> Vec<String> {
    top.iter().map(|m| m.vm.to_string()).collect()
}

#[test]
fn the_order_of_members_does_not_matter() {
    arbtest(|u| {
        let key: Vec<u8> = u.arbitrary()?;
        let members = members(u.int_in_range(0..=30)?);
        let count = u.int_in_range(0..=10)?;
        let mut reversed = members.clone();
        reversed.reverse();

        let top = rank::top(&key, &members, count);
        let same = rank::top(&key, &reversed, count);

        assert_eq!(names(&top), names(&same));
        assert_eq!(top.len(), count.min(members.len()));
        Ok(())
    });
}

#[test]
fn removing_a_member_moves_only_its_own_keys() {
    let members = members(20);
    let rest: Vec<_> = members
        .iter()
        .filter(|m| m.vm != network::vm(7))
        .cloned()
        .collect();

    for key in 0..500_u32 {
        let key = key.to_be_bytes();
        let before = names(&rank::top(&key, &members, 3));
        let after = names(&rank::top(&key, &rest, 3));

        let kept: BTreeSet<_> = before.iter().filter(|name| *name != "vm-7").collect();
        assert!(kept.into_iter().all(|name| after.contains(name)));
    }
}

#[test]
fn keys_are_distributed_evenly() {
    const KEYS: u32 = 20_000;
    let members = members(20);
    let mut counts = std::collections::BTreeMap::<String, u32>::new();

    for key in 0..KEYS {
        let top = rank::top(format!("service-{key}").as_bytes(), &members, 1);
        *counts.entry(names(&top)[0].clone()).or_default() += 1;
    }

    // Six standard deviations around an even share of 1,000.
    let bounds = 1000 - 6 * 31..=1000 + 6 * 31;
    assert_eq!(counts.len(), 20);
    assert!(counts.values().all(|n| bounds.contains(n)), "{counts:?}");
}
