//! The in-memory store: versions, conditions, pages, watches and the bounded history.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use monsooncart_store::store::Store as _;
use monsooncart_store::vms::List as _;
use monsooncart_store::{error, memory, object, vms};

/// Maximum wait of watches that are expected to return early.
const WATCH_WAIT: Duration = Duration::from_secs(60);

fn text(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}

async fn put(memory: &memory::Memory, key: &str, value: &str) -> object::Version {
    let always = object::Condition::Always;
    memory.put(key, text(value), always).await.unwrap()
}

fn keys(page: &object::Page) -> Vec<&str> {
    page.objects.iter().map(|o| o.key.as_str()).collect()
}

fn vm(name: &str) -> vms::Vm {
    vms::Vm {
        name: name.parse().unwrap(),
        peers: "127.0.0.1:1".parse().unwrap(),
        data_centre: "here-a".parse().unwrap(),
        state: vms::State::Live,
    }
}

#[tokio::test]
async fn versions_increase_across_objects_and_are_never_reused() {
    let memory = memory::Memory::default();

    let first = put(&memory, "a", "1").await;
    let other = put(&memory, "b", "1").await;
    memory.delete("a", object::Condition::Always).await.unwrap();
    let recreated = put(&memory, "a", "1").await;

    assert!(first < other && other < recreated);
    let read = memory.get("a").await.unwrap().unwrap();
    assert_eq!(read.version, recreated);
    assert_eq!(read.value, Some(text("1")));
}

#[tokio::test]
async fn write_takes_effect_only_if_its_condition_holds() {
    let memory = memory::Memory::default();
    let first = put(&memory, "a", "1").await;
    let second = put(&memory, "a", "2").await;

    let absent = memory.put("a", text("3"), object::Condition::Absent).await;
    let old = memory
        .put("a", text("3"), object::Condition::At(first))
        .await;
    let none = memory.delete("b", object::Condition::At(first)).await;
    let present = memory
        .put("a", text("3"), object::Condition::At(second))
        .await;

    let found = |result: Result<object::Version, error::Error>| match result {
        Err(error::Error::Conflict { found, .. }) => found,
        other => panic!("not a conflict: {other:?}"),
    };
    assert_eq!(found(absent), Some(second));
    assert_eq!(found(old), Some(second));
    assert!(matches!(
        none,
        Err(error::Error::Conflict { found: None, .. })
    ));
    assert!(present.unwrap() > second);
}

#[tokio::test]
async fn value_at_the_size_limit_is_accepted_and_a_larger_one_rejected() {
    let memory = memory::Memory::default();
    let largest = Bytes::from(vec![0; memory::MAX_OBJECT_BYTES]);
    let too_large = Bytes::from(vec![0; memory::MAX_OBJECT_BYTES + 1]);
    let always = object::Condition::Always;

    let accepted = memory.put("a", largest, always).await;
    let rejected = memory.put("b", too_large, always).await;

    assert!(accepted.is_ok());
    assert!(matches!(rejected, Err(error::Error::NotDone { .. })));
    assert_eq!(memory.get("b").await.unwrap(), None);
}

#[tokio::test]
async fn pages_contain_each_object_under_the_prefix_once_and_in_order() {
    let memory = memory::Memory::default();
    for number in 0..2500 {
        put(&memory, &format!("a/{number:04}"), "x").await;
    }
    put(&memory, "a", "outside").await;
    put(&memory, "b/0", "outside").await;

    let mut all = Vec::new();
    let mut after = String::new();
    let mut pages = 0;
    loop {
        let page = memory.list("a/", &after).await.unwrap();
        all.extend(page.objects.into_iter().map(|o| o.key));
        pages += 1;
        match page.next {
            Some(next) => after = next,
            None => break,
        }
    }

    let expected: Vec<_> = (0..2500).map(|number| format!("a/{number:04}")).collect();
    assert_eq!(all, expected);
    assert!(pages > 1, "2500 objects are more than a page holds");
}

#[tokio::test]
async fn watch_returns_changes_after_a_version_including_removals() {
    let memory = memory::Memory::default();
    let since = put(&memory, "a/1", "1").await;
    put(&memory, "a/2", "2").await;
    put(&memory, "b/1", "outside").await;
    memory
        .delete("a/1", object::Condition::Always)
        .await
        .unwrap();

    let page = memory.watch("a/", since, Duration::ZERO).await.unwrap();

    assert_eq!(keys(&page), ["a/2", "a/1"]);
    assert_eq!(page.objects[1].value, None);
    assert!(!page.compacted);
}

#[tokio::test]
async fn waiting_watch_returns_on_a_change_under_its_prefix_and_counts_once() {
    let memory = Arc::new(memory::Memory::default());
    let since = put(&memory, "a/1", "1").await;
    let watcher = memory.clone();
    let waiting = tokio::spawn(async move { watcher.watch("a/", since, WATCH_WAIT).await });
    while memory.counter().calls(error::Operation::Watch) == 0 {
        tokio::task::yield_now().await;
    }

    put(&memory, "b/1", "outside").await;
    let version = put(&memory, "a/1", "2").await;

    let page = waiting.await.unwrap().unwrap();
    assert_eq!(keys(&page), ["a/1"]);
    assert_eq!(page.objects[0].version, version);
    assert_eq!(memory.counter().calls(error::Operation::Watch), 1);
}

#[tokio::test]
async fn watch_without_changes_returns_the_revision_it_covers() {
    let memory = memory::Memory::default();
    let since = put(&memory, "a/1", "1").await;
    let later = put(&memory, "b/1", "outside").await;

    let page = memory
        .watch("a/", since, Duration::from_millis(1))
        .await
        .unwrap();

    assert!(page.objects.is_empty() && !page.compacted);
    assert_eq!(page.revision, later);
}

#[tokio::test]
async fn watch_from_before_the_history_is_compacted() {
    let limits = memory::Limits {
        changes: 10,
        bytes: 1000,
    };
    let memory = memory::Memory::new(limits);
    let since = put(&memory, "a", "0").await;
    for _ in 0..11 {
        put(&memory, "a", "x").await;
    }
    let large = "x".repeat(990);

    let behind = memory.watch("a", since, WATCH_WAIT).await.unwrap();
    let recent = memory.list("a", "").await.unwrap().revision;
    put(&memory, "a", &large).await;
    put(&memory, "a", &large).await;
    let by_bytes = memory.watch("a", recent, WATCH_WAIT).await.unwrap();
    let future = object::Version(1_000_000);
    let after_data_loss = memory.watch("a", future, WATCH_WAIT).await.unwrap();

    assert!(behind.compacted && behind.objects.is_empty());
    assert!(by_bytes.compacted);
    assert!(after_data_loss.compacted);
}

#[tokio::test]
async fn calls_are_counted_by_operation() {
    let memory = memory::Memory::default();
    memory.set_vm(vm("vm-1"));

    put(&memory, "a", "1").await;
    put(&memory, "a", "2").await;
    memory.get("a").await.unwrap();
    memory.list("", "").await.unwrap();
    memory.delete("a", object::Condition::Always).await.unwrap();
    let list = memory.vms().await.unwrap();

    assert_eq!(list, [vm("vm-1")]);
    let counted: Vec<_> = memory.counter().iter().map(|(_, calls)| calls).collect();
    assert_eq!(counted, [1, 2, 1, 1, 0, 1]);
}

/// Applies random writes to the store and to a map. Both must give the same results, and a replica
/// that is updated by watches must never miss a change.
#[test]
fn random_writes_match_a_map_model() {
    arbtest::arbtest(|u| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()
            .unwrap();
        let memory = memory::Memory::default();
        let mut model = std::collections::BTreeMap::new();
        let mut replica = std::collections::BTreeMap::new();
        let mut last_revision = object::Version::default();
        for _ in 0..u.int_in_range(0..=40)? {
            let key = format!("k{}", u.int_in_range(0..=3)?);
            let current_version = model.get(&key).map(|(version, _)| *version);
            let condition = match u.int_in_range(0..=3)? {
                0 => object::Condition::Always,
                1 => object::Condition::Absent,
                2 => object::Condition::At(current_version.unwrap_or_default()),
                _ => object::Condition::At(object::Version(u.int_in_range(0..=40)?)),
            };
            let value: [u8; 2] = u.arbitrary()?;
            let value = Bytes::copy_from_slice(&value);
            if u.ratio(1, 4)? {
                let result = runtime.block_on(memory.delete(&key, condition));
                assert_eq!(result.is_ok(), condition.holds(current_version));
                if result.is_ok() {
                    model.remove(&key);
                }
            } else {
                let result = runtime.block_on(memory.put(&key, value.clone(), condition));
                assert_eq!(result.is_ok(), condition.holds(current_version));
                if let Ok(version) = result {
                    model.insert(key, (version, value));
                }
            }
            if u.ratio(1, 3)? {
                let page = runtime
                    .block_on(memory.watch("", last_revision, Duration::ZERO))
                    .unwrap();
                last_revision = page.revision;
                for object in page.objects {
                    match object.value {
                        Some(value) => replica.insert(object.key, (object.version, value)),
                        None => replica.remove(&object.key),
                    };
                }
                assert_eq!(replica, model);
            }
        }
        Ok(())
    });
}
