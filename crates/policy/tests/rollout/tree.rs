//! The distribution tree reaches every member and no member serves more than a few others.

use std::collections::BTreeMap;

use monsooncart_policy::rank;
use monsooncart_policy::rollout::tree;
use monsooncart_types::id;

struct Member {
    name: id::Vm,
    capacity: u32,
}

impl rank::Ranked for Member {
    fn name(&self) -> &id::Vm {
        &self.name
    }
}

impl tree::Node for Member {
    fn capacity(&self) -> u32 {
        self.capacity
    }
}

/// Members of which one in ten has five times the capacity of the others.
fn members(count: usize) -> Vec<Member> {
    let member = |number| Member {
        name: format!("vm-{number}").parse().expect("a name"),
        capacity: if number % 10 == 1 { 500 } else { 100 },
    };
    (0..count).map(member).collect()
}

#[test]
fn every_member_is_reached_and_none_serves_more_than_the_fan_out() {
    for count in [1, 2, 5, 36, 61, 225] {
        let members = members(count);
        let root = &members[0];

        let mut children = BTreeMap::<String, usize>::new();
        for own in members.iter().filter(|m| m.name != root.name) {
            let sources = tree::sources(b"routing@7", &members, root, own);
            *children.entry(sources[0].name.to_string()).or_default() += 1;
            assert_eq!(sources[sources.len() - 1].name, root.name);
            assert!(sources.len() <= 6, "{count}: depth {}", sources.len());
        }

        assert!(children.values().all(|n| *n <= tree::FAN_OUT), "{count}");
        assert_eq!(children.values().sum::<usize>(), count - 1);
    }
}

#[test]
fn members_of_low_capacity_serve_others_only_after_those_of_high_capacity() {
    let members = members(61);
    let root = &members[0];
    let sources_of = |own| tree::sources(b"routing@7", &members, root, own);

    let parents: Vec<_> = members[1..].iter().map(|m| sources_of(m)[0]).collect();

    let strong = members.iter().filter(|m| m.capacity == 500);
    for strong in strong {
        let children = parents.iter().filter(|p| p.name == strong.name).count();
        assert_eq!(children, tree::FAN_OUT, "{}", strong.name);
    }
}

#[test]
fn different_versions_have_different_inner_members() {
    let members = members(61);
    let path = |key: &[u8]| tree::sources(key, &members, &members[0], &members[60])[0];

    let parents: std::collections::BTreeSet<_> = (0..20)
        .map(|version| {
            path(format!("routing@{version}").as_bytes())
                .name
                .to_string()
        })
        .collect();

    assert!(parents.len() > 3, "{parents:?}");
}
