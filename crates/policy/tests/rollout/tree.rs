//! The distribution tree reaches every member, and no member serves more others than its capacity
//! allows.

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

/// Parent of each member but the root, by name.
fn parents(members: &[Member], root: &Member) -> BTreeMap<String, String> {
    let others = members.iter().filter(|m| m.name != root.name);
    let parent = |own: &Member| {
        let sources = tree::sources(b"routing@7", members, root, own);
        assert_eq!(sources[sources.len() - 1].name, root.name);
        assert!(sources.len() <= 6, "depth {}", sources.len());
        (own.name.to_string(), sources[0].name.to_string())
    };
    others.map(parent).collect()
}

/// Number of members that each member serves.
fn child_counts(parents: &BTreeMap<String, String>) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for parent in parents.values() {
        *counts.entry(parent.clone()).or_default() += 1;
    }
    counts
}

#[test]
fn every_member_is_reached_and_none_serves_more_than_the_fan_out_of_its_capacity() {
    for count in [1, 2, 5, 36, 61, 225] {
        let members = members(count);

        let parents = parents(&members, &members[0]);

        let counts = child_counts(&parents);
        for member in &members {
            // The median capacity is 100.
            let allowed = tree::FAN_OUT * member.capacity as usize / 100;
            let children = counts.get(member.name.as_str()).copied().unwrap_or(0);
            assert!(
                children <= allowed,
                "{count}: {} serves {children}",
                member.name
            );
        }
        assert_eq!(parents.len(), count - 1);
    }
}

/// Pattern: a data centre of 36 daemons, two of which have twenty times the link of the others, and a
/// weak one that has read the version.
#[test]
fn a_version_spreads_in_the_time_of_few_copies_over_a_weak_link() {
    let member = |number| Member {
        name: format!("vm-{number}").parse().expect("a name"),
        capacity: if number == 5 || number == 25 { 500 } else { 25 },
    };
    let members: Vec<_> = (0..36).map(member).collect();
    let parents = parents(&members, &members[0]);
    let counts = child_counts(&parents);
    let copies_time = |name: &str| {
        let member = members.iter().find(|m| m.name.as_str() == name);
        counts[name] as f64 * 25.0 / f64::from(member.expect("a member").capacity)
    };

    // Time until each member has the version if it is passed on only when it is complete, in copies
    // over a weak link.
    let arrival = |own: &str| {
        let mut time = 0.0;
        let mut name = own.to_owned();
        while let Some(parent) = parents.get(&name) {
            time += copies_time(parent);
            name.clone_from(parent);
        }
        time
    };
    let last = parents.keys().map(|name| arrival(name)).fold(0.0, f64::max);

    assert!(last <= 4.0, "{last} copies");
}

#[test]
fn members_of_low_capacity_serve_others_only_after_those_of_high_capacity() {
    let members = members(61);
    let root = &members[0];
    let sources_of = |own| tree::sources(b"routing@7", &members, root, own);

    let parents: Vec<_> = members[1..].iter().map(|m| sources_of(m)[0]).collect();

    let weak = |parent: &&Member| parent.capacity < 500 && parent.name != root.name;
    let strong = members.iter().filter(|m| m.capacity == 500);
    let strong_fan_out = tree::FAN_OUT * 5;
    let served_by_strong = strong.count() * strong_fan_out;
    let served_by_weak = parents.iter().copied().filter(weak).count();
    assert!(served_by_weak <= 60_usize.saturating_sub(served_by_strong));
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
