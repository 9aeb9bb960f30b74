//! Configuration objects: split, merge, keys, differences and snapshots.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use monsooncart_config::{diff, fleet, object, organisation, snapshot};

fn example() -> fleet::Fleet {
    let text = include_str!("../../../examples/aigaion.jsonc");
    fleet::Fleet::parse("f", text).unwrap().value
}

/// The fleet with services and organisations sorted by name.
fn sorted(mut fleet: fleet::Fleet) -> fleet::Fleet {
    fleet.services.sort_by(|a, b| a.name.cmp(&b.name));
    fleet.organisations.sort_by(|a, b| a.name.cmp(&b.name));
    fleet
}

fn snapshot(fleet: &fleet::Fleet) -> snapshot::Snapshot {
    let empty = snapshot::Snapshot::default();
    let objects = object::split(fleet).into_iter();
    objects.fold(empty, |snapshot, (key, value)| {
        snapshot.with_object(&key, 1, value).unwrap()
    })
}

/// Changed keys and fields, formatted as `KIND KEY: FIELD, FIELD`.
fn lines(diff: &diff::Diff) -> Vec<String> {
    let line = |change: &diff::Change| {
        let fields: Vec<_> = change.fields.iter().map(|f| f.path.as_str()).collect();
        format!("{} {}: {}", change.kind, change.key, fields.join(", "))
    };
    diff.0.iter().map(line).collect()
}

#[test]
fn merged_objects_equal_the_fleet() {
    let fleet = example();

    let objects = object::split(&fleet);
    let merged = object::merge(objects.into_iter().map(|(_, value)| value));

    assert_eq!(merged, sorted(fleet));
}

#[test]
fn keys_and_values_round_trip() {
    for (key, value) in object::split(&example()) {
        let text = key.to_string();

        assert_eq!(text.parse(), Ok(key));
        assert_eq!(object::Value::decode(&value.encode()).unwrap(), value);
    }
}

#[test]
fn invalid_keys_are_rejected() {
    for text in [
        "",
        "zones",
        "config/",
        "config/zones/",
        "config/service/",
        "config/service/a/b",
        "config/organisations/1",
        "config/organisations/256",
        "config/organisations/+01",
    ] {
        let parsed: Result<object::Key, _> = text.parse();

        assert!(parsed.is_err(), "{text}");
    }
}

#[test]
fn difference_lists_each_object_and_field() {
    let old = example();
    let mut new = old.clone();
    new.services[0].floor = "80%".parse().unwrap();
    new.services[0].servers[3].slots = 4;
    new.services[0].servers.remove(21);
    new.services[0].routes[0].timeout = "9s".parse().unwrap();
    new.services.remove(1);
    new.organisations[0].weight = 7;

    let forward = diff::Diff::new(&old, &new);
    let backward = diff::Diff::new(&new, &old);

    let block = object::block(&old.organisations[0].name);
    let block = format!(
        "config/organisations/{block:03}: [{}].weight",
        old.organisations[0].name
    );
    let fields = "floor, routes[[\"GET\",\"HEAD\"] /headlines].timeout, \
                  servers[wiredesk-4].slots, servers[wiredesk-22]";
    let expected = [
        "removed config/service/mediavault: ".to_owned(),
        format!("changed config/service/wiredesk: {fields}"),
        format!("changed {block}"),
    ];
    assert_eq!(lines(&forward), expected);
    assert!(lines(&backward)[0].starts_with("added config/service/mediavault"));
    assert!(diff::Diff::new(&old, &old).is_empty());
}

#[test]
fn difference_of_order_is_reported() {
    let old = example();
    let mut new = old.clone();
    new.services[0].servers.swap(0, 1);

    let diff = diff::Diff::new(&old, &new);

    assert_eq!(lines(&diff), ["changed config/service/wiredesk: servers"]);
}

#[test]
fn applying_the_difference_yields_the_new_fleet() {
    let old = example();
    let mut new = old.clone();
    new.services.remove(0);
    new.organisations.truncate(2);

    let mut snapshot = snapshot(&old);
    for change in diff::Diff::new(&old, &new).0 {
        snapshot = snapshot.with_object(&change.key, 2, change.value).unwrap();
    }

    let values = snapshot
        .versions()
        .filter_map(|(key, _)| snapshot.value(key));
    assert_eq!(object::merge(values), sorted(new));
}

#[test]
fn snapshot_accepts_only_newer_objects() {
    let fleet = example();
    let snapshot = snapshot(&fleet);
    let (key, value) = object::split(&fleet).remove(1);

    let same = snapshot.with_object(&key, 1, value.clone());
    let older = snapshot.with_object(&key, 0, value.clone());
    let other_kind = snapshot.with_object(&key, 2, object::Value::Zones(Vec::new()));
    let newer = snapshot.with_object(&key, 2, value);

    assert!(same.is_none() && older.is_none() && other_kind.is_none());
    assert_eq!(newer.unwrap().version(&key), Some(2));
}

/// While a key moves from the first organisation to the second, their blocks may be updated in any
/// order, and an older version of a block may arrive late.
#[test]
fn key_moved_between_organisations_belongs_to_the_new_one() {
    let mut before = example();
    let key = before.organisations[0].keys[0];
    let block = |fleet: &fleet::Fleet, organisation: usize| {
        let organisation = fleet.organisations[organisation].clone();
        let key = object::Key::Organisations(object::block(&organisation.name));
        (key, object::Value::Organisations(vec![organisation]))
    };
    let with = |snapshot: &snapshot::Snapshot, version, (key, value)| {
        snapshot.with_object(&key, version, value).unwrap()
    };
    let snapshot = with(&snapshot(&before), 2, block(&before, 0));
    let mut after = before.clone();
    after.organisations[0].keys.clear();
    after.organisations[1].keys.push(key);
    before.organisations[0].weight += 1;

    let removed_first = with(&with(&snapshot, 5, block(&after, 0)), 5, block(&after, 1));
    let added_first = with(&with(&snapshot, 5, block(&after, 1)), 5, block(&after, 0));
    let delayed = with(&with(&snapshot, 5, block(&after, 1)), 3, block(&before, 0));
    let delayed = with(&delayed, 5, block(&after, 0));

    for snapshot in [removed_first, added_first, delayed] {
        let owner = snapshot.organisation(&key);
        assert_eq!(
            owner.map(|o| o.name.clone()),
            Some(after.organisations[1].name.clone())
        );
    }
}

#[test]
fn key_of_a_removed_organisation_is_unknown() {
    let fleet = example();
    let key = fleet.organisations[0].keys[0];
    let block = object::Key::Organisations(object::block(&fleet.organisations[0].name));

    let snapshot = snapshot(&fleet)
        .with_object(&block, 2, block.empty_value())
        .unwrap();

    assert!(snapshot.organisation(&key).is_none());
    assert!(
        snapshot
            .organisation(&fleet.organisations[1].keys[0])
            .is_some()
    );
}

fn organisation(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
    number: u32,
) -> arbtest::arbitrary::Result<organisation::Organisation> {
    let digest = |seed: u8| {
        // Digests that differ only in their last byte have the same prefix in the index.
        let mut digest = [seed % 2; 32];
        digest[31] = seed;
        organisation::Digest(digest)
    };
    let keys: [u8; 2] = u.arbitrary()?;
    let services: [u8; 2] = u.arbitrary()?;
    Ok(organisation::Organisation {
        name: format!("o-{number}").parse().unwrap(),
        keys: keys.iter().map(|seed| digest(seed % 8)).collect(),
        services: services
            .iter()
            .map(|s| format!("s-{s}").parse().unwrap())
            .collect(),
        weight: u.arbitrary()?,
    })
}

/// Applies random blocks to a snapshot and to a map. Each key must belong to an organisation of the
/// newest block that contains it, and each block must be returned as stored, whatever it replaced.
#[test]
fn random_blocks_match_a_map_model() {
    arbtest::arbtest(|u| {
        let mut snapshot = snapshot::Snapshot::default();
        let mut model = std::collections::BTreeMap::new();
        for version in 1..=u.int_in_range(1..=12)? {
            let block = u.int_in_range(0..=3)?;
            let organisations: Result<Vec<_>, _> = (0..u.int_in_range(0..=5)?)
                .map(|n| organisation(u, n * 4 + block))
                .collect();
            let organisations = organisations?;
            let key = object::Key::Organisations(block);
            snapshot.apply(
                &key,
                version,
                object::Value::Organisations(organisations.clone()),
            );
            model.insert(block, (version, organisations));
        }

        for (block, (_, organisations)) in &model {
            let value = snapshot.value(&object::Key::Organisations(*block));
            assert_eq!(
                value,
                Some(object::Value::Organisations(organisations.clone()))
            );
        }
        for seed in 0..8 {
            let mut digest = [seed % 2; 32];
            digest[31] = seed;
            let digest = organisation::Digest(digest);
            let has_key = |o: &&organisation::Organisation| o.keys.contains(&digest);
            let newest = model
                .values()
                .filter(|(_, all)| all.iter().any(|o| has_key(&o)));
            let newest = newest.max_by_key(|(version, _)| *version);
            match (snapshot.organisation(&digest), newest) {
                (Some(found), Some((_, all))) => {
                    assert!(all.iter().filter(has_key).any(|o| o == found.as_ref()));
                }
                (None, None) => {}
                other => panic!("{other:?}"),
            }
        }
        Ok(())
    })
    .size_min(256);
}
