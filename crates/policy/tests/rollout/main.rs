//! Versions of configuration objects: only newer ones are stored, and two daemons that reconcile
//! converge.

mod comparison;
mod pacer;
mod transfer;
mod tree;
mod watcher;

use monsooncart_policy::rollout::{entry, versions};

fn version(number: u64) -> entry::Version {
    entry::Version(number)
}

fn key(number: u64) -> String {
    format!("config/service/{number}")
}

fn pull(to: &mut versions::Versions<String>, from: &versions::Versions<String>) -> usize {
    let buckets = to.digest().differing_buckets(from.digest());
    let missing = to.missing(&from.entries_in(&buckets));
    let updated = missing.iter().filter(|e| to.update(&e.key, e.version));
    updated.count()
}

#[test]
fn only_a_newer_version_is_stored() {
    let mut versions = versions::Versions::default();

    let updated = [3, 2, 3, 4].map(|v| versions.update(&key(1), version(v)));

    assert_eq!(updated, [true, false, false, true]);
    assert_eq!(versions.version(&key(1)), Some(version(4)));
}

#[test]
fn one_change_differs_in_one_bucket() {
    let mut old = versions::Versions::default();
    for n in 0..5_000 {
        old.update(&key(n), version(1));
    }
    let mut new = old.clone();
    new.update(&key(77), version(9));

    let buckets = old.digest().differing_buckets(new.digest());
    let pulled = pull(&mut old, &new);

    assert_eq!(buckets.len(), 1);
    assert!(new.entries_in(&buckets).len() < 200);
    assert_eq!(pulled, 1);
    assert_eq!(old.digest(), new.digest());
}

#[test]
fn the_digest_does_not_depend_on_order_and_both_sides_converge_to_the_newest() {
    arbtest::arbtest(|u| {
        let steps: Vec<(u8, u8)> = u.arbitrary()?;
        let (mut left, mut right, mut all) = (
            versions::Versions::default(),
            versions::Versions::default(),
            versions::Versions::default(),
        );
        for (step, (object, v)) in steps.iter().enumerate() {
            let (object, v) = (key(u64::from(*object % 40)), version(u64::from(*v)));
            let side = if step % 2 == 0 { &mut left } else { &mut right };
            side.update(&object, v);
        }
        for (object, v) in steps.iter().rev() {
            all.update(&key(u64::from(*object % 40)), version(u64::from(*v)));
        }

        pull(&mut left, &right);
        pull(&mut right, &left);

        assert_eq!(left, right);
        assert_eq!(left, all);
        Ok(())
    });
}

#[test]
fn bucket_indices_out_of_range_are_ignored() {
    let versions = versions::Versions::<String>::default();

    let listing = versions.entries_in(&[0, 63, 64, usize::MAX]);

    assert!(listing.is_empty());
}
