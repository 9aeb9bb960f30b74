//! Configuration changes under concurrency, crashes and lost responses.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod fixtures;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fixtures::faulty::{Faulty, WriteResult};
use monsooncart_config::{fleet, object as config};
use monsooncart_store::store::Store as _;
use monsooncart_store::{configuration, memory, object};
use monsooncart_types::id;

/// Servers of a service whose change is too large for the head.
const STAGED_SERVERS: u32 = 400;

/// Servers of a service whose change needs several staged parts.
const MULTI_PART_SERVERS: u32 = 3000;

fn operator(number: u32) -> id::Operator {
    format!("operator-{number}").parse().unwrap()
}

async fn apply(
    store: &dyn monsooncart_store::store::Store,
    number: u32,
    fleet: &fleet::Fleet,
) -> Result<configuration::Applied, configuration::Failure> {
    configuration::apply(store, &operator(number), fleet, None).await
}

async fn current(memory: &memory::Memory) -> configuration::Current {
    configuration::Current::read(memory).await.unwrap()
}

/// Operators of the accepted changes, in order of acceptance.
fn accepted_operators(current: &configuration::Current) -> Vec<String> {
    let history = current.head.as_ref().map(configuration::Head::history);
    let past = history.unwrap_or_default();
    past.iter().rev().map(|p| p.operator.to_string()).collect()
}

/// Marks of all values of the service `a`, in order of their versions.
async fn marks(memory: &memory::Memory) -> Vec<u32> {
    let page = memory
        .watch("config/service/a", object::Version(0), Duration::ZERO)
        .await
        .unwrap();
    let mark = |object: object::Object| match config::Value::decode(&object.value.unwrap()).unwrap()
    {
        config::Value::Service(Some(service)) => fixtures::service_mark(&service),
        other => panic!("not a service: {other:?}"),
    };
    page.objects.into_iter().map(mark).collect()
}

async fn keys(memory: &memory::Memory, prefix: &str) -> Vec<String> {
    let page = memory.list(prefix, "").await.unwrap();
    page.objects.into_iter().map(|object| object.key).collect()
}

#[tokio::test]
async fn change_is_applied_and_read_back() {
    let memory = memory::Memory::default();
    let fleet = fixtures::fleet(1, 2);

    let applied = apply(&memory, 1, &fleet).await.unwrap();

    let current = current(&memory).await;
    assert_eq!(current.fleet(), fleet);
    assert_eq!(applied.written.len(), 4);
    for written in &applied.written {
        let stored = &current.objects[&written.key.parse().unwrap()];
        assert_eq!(stored.version, written.version);
    }
}

#[tokio::test]
async fn change_writes_only_the_objects_that_differ() {
    let memory = memory::Memory::default();
    let mut fleet = fixtures::fleet(1, 2);
    apply(&memory, 1, &fleet).await.unwrap();

    fleet.services[0].floor = "60%".parse().unwrap();
    let second = apply(&memory, 2, &fleet).await.unwrap();
    let nothing = apply(&memory, 3, &fleet).await.unwrap();

    let written: Vec<_> = second.written.iter().map(|w| w.key.as_str()).collect();
    assert_eq!(written, ["config/service/a"]);
    assert_eq!(nothing.id, None);
    assert_eq!(
        accepted_operators(&current(&memory).await),
        ["operator-1", "operator-2"]
    );
}

#[tokio::test]
async fn removed_service_and_organisations_are_written_as_empty_values_not_deleted() {
    let memory = memory::Memory::default();
    let mut fleet = fixtures::fleet(1, 2);
    apply(&memory, 1, &fleet).await.unwrap();
    let before = keys(&memory, config::PREFIX).await;

    fleet.services.pop();
    fleet.organisations.clear();
    apply(&memory, 2, &fleet).await.unwrap();
    let again = apply(&memory, 3, &fleet).await.unwrap();

    let current = current(&memory).await;
    let removed = &current.objects[&"config/service/b".parse().unwrap()];
    assert_eq!(keys(&memory, config::PREFIX).await, before);
    assert_eq!(removed.value, config::Value::Service(None));
    assert_eq!(current.fleet(), fleet);
    assert_eq!(again.id, None);
}

#[tokio::test]
async fn large_change_is_staged_and_its_parts_are_removed() {
    let memory = memory::Memory::default();
    let fleet = fixtures::fleet(1, MULTI_PART_SERVERS);

    apply(&memory, 1, &fleet).await.unwrap();

    let current = current(&memory).await;
    assert_eq!(current.fleet(), fleet);
    assert_eq!(current.head.unwrap().state, configuration::State::Done);
    assert!(keys(&memory, configuration::STAGED).await.is_empty());
}

#[tokio::test(start_paused = true)]
async fn change_whose_writer_crashed_after_acceptance_is_completed_by_another() {
    for servers in [2, MULTI_PART_SERVERS] {
        let memory = Arc::new(memory::Memory::default());
        apply(memory.as_ref(), 1, &fixtures::fleet(1, servers))
            .await
            .unwrap();
        let staged = if servers == MULTI_PART_SERVERS { 2 } else { 0 };
        let accepted = std::iter::repeat_n(WriteResult::Acknowledged, staged + 1);
        let crashing = Faulty::new(&memory, accepted.chain([WriteResult::CrashAfter]), []);
        let second = fixtures::fleet(2, servers);
        let crashed = crashing.run(apply(&crashing, 2, &second)).await;
        let between = current(&memory).await;

        let completed = configuration::complete(memory.as_ref()).await.unwrap();

        assert!(crashed.is_none(), "{crashed:?}");
        assert_eq!(
            fixtures::mark(&between.fleet()),
            None,
            "objects are only partly written"
        );
        assert_eq!(completed.head.unwrap().state, configuration::State::Done);
        assert_eq!(current(&memory).await.fleet(), second);
        assert!(keys(&memory, configuration::STAGED).await.is_empty());
    }
}

#[tokio::test(start_paused = true)]
async fn staged_change_whose_writer_crashed_before_acceptance_has_no_effect_and_is_removed() {
    let memory = Arc::new(memory::Memory::default());
    apply(memory.as_ref(), 1, &fixtures::fleet(1, 2))
        .await
        .unwrap();
    let crashing = Faulty::new(
        &memory,
        [WriteResult::Acknowledged, WriteResult::CrashAfter],
        [],
    );
    let crashed = crashing
        .run(apply(&crashing, 2, &fixtures::fleet(2, MULTI_PART_SERVERS)))
        .await;
    let orphans = keys(&memory, configuration::STAGED).await.len();

    apply(memory.as_ref(), 3, &fixtures::fleet(3, 2))
        .await
        .unwrap();

    assert!(crashed.is_none());
    assert_eq!(orphans, 2);
    assert_eq!(marks(&memory).await, [1, 3]);
    assert!(keys(&memory, configuration::STAGED).await.is_empty());
}

#[tokio::test(start_paused = true)]
async fn concurrent_change_gets_a_conflict_with_both_changes() {
    let memory = Arc::new(memory::Memory::default());
    apply(memory.as_ref(), 1, &fixtures::fleet(1, 2))
        .await
        .unwrap();
    // Two reads of the head and the listing are not delayed; the first write is.
    let slow = Faulty::new(&memory, [], [0, 0, 0, 200]);
    let (first, second) = (fixtures::fleet(2, 2), fixtures::fleet(3, 2));

    let (conflicting, accepted_first) = tokio::join!(apply(&slow, 2, &first), async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        apply(memory.as_ref(), 3, &second).await
    });

    assert!(accepted_first.is_ok());
    let Err(configuration::Failure::Conflict {
        others,
        more,
        wanted,
    }) = conflicting
    else {
        panic!("no conflict: {conflicting:?}");
    };
    assert_eq!(others.len(), 1);
    assert_eq!(others[0].operator, operator(3));
    assert!(
        others[0]
            .lines
            .iter()
            .any(|l| l.contains(r#""/1" -> "/3""#)),
        "{others:?}"
    );
    assert!(!more);
    assert_eq!(wanted.0.len(), 2);
    assert_eq!(marks(&memory).await, [1, 3]);
}

#[tokio::test]
async fn change_with_an_older_base_gets_the_later_changes() {
    let memory = memory::Memory::default();
    let base = apply(&memory, 1, &fixtures::fleet(1, 2)).await.unwrap().id;
    apply(&memory, 2, &fixtures::fleet(2, 2)).await.unwrap();
    let latest = apply(&memory, 3, &fixtures::fleet(3, 2)).await.unwrap().id;
    let fleet = fixtures::fleet(4, 2);

    let old = configuration::apply(&memory, &operator(4), &fleet, base).await;
    let unknown = Some(configuration::Id(7));
    let unknown = configuration::apply(&memory, &operator(4), &fleet, unknown).await;
    let new = configuration::apply(&memory, &operator(4), &fleet, latest).await;

    let others = |result| match result {
        Err(configuration::Failure::Conflict { others, more, .. }) => (others.len(), more),
        other => panic!("no conflict: {other:?}"),
    };
    assert_eq!(others(old), (2, false));
    assert_eq!(others(unknown), (3, true));
    assert!(new.is_ok());
    assert_eq!(marks(&memory).await, [1, 2, 3, 4]);
}

#[tokio::test(start_paused = true)]
async fn lost_responses_are_resolved_and_no_object_is_written_twice() {
    let memory = Arc::new(memory::Memory::default());
    let results =
        std::iter::repeat_n([WriteResult::ResponseLost, WriteResult::Acknowledged], 100).flatten();
    let store = Faulty::new(&memory, results, []);

    let first = apply(&store, 1, &fixtures::fleet(1, 2)).await;
    let second = apply(&store, 2, &fixtures::fleet(2, MULTI_PART_SERVERS)).await;

    assert!(first.is_ok() && second.is_ok(), "{first:?} {second:?}");
    assert_eq!(marks(&memory).await, [1, 2]);
}

#[tokio::test(start_paused = true)]
async fn acceptance_with_a_lost_response_is_recognised_after_a_later_change() {
    let memory = Arc::new(memory::Memory::default());
    apply(memory.as_ref(), 1, &fixtures::fleet(1, 2))
        .await
        .unwrap();
    // Two reads of the head, the listing and the write of the head are not delayed; the retry of
    // that write is.
    let slow = Faulty::new(&memory, [WriteResult::ResponseLost], [0, 0, 0, 0, 200]);
    let (second, third) = (fixtures::fleet(2, 2), fixtures::fleet(3, 2));

    let (accepted, later) = tokio::join!(apply(&slow, 2, &second), async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        apply(memory.as_ref(), 3, &third).await
    });

    assert!(accepted.is_ok(), "{accepted:?}");
    assert!(later.is_ok(), "{later:?}");
    assert_eq!(marks(&memory).await, [1, 2, 3]);
}

#[tokio::test(start_paused = true)]
async fn change_that_becomes_pending_after_the_first_read_is_not_lost() {
    let memory = Arc::new(memory::Memory::default());
    apply(memory.as_ref(), 1, &fixtures::fleet(1, 2))
        .await
        .unwrap();
    // The first read of the head finds it done; the second is delayed.
    let slow = Faulty::new(&memory, [], [0, 200]);
    let crashing = Faulty::new(&memory, [WriteResult::CrashAfter], []);
    let (second, third) = (fixtures::fleet(2, 2), fixtures::fleet(3, 2));

    let (later, crashed) = tokio::join!(apply(&slow, 3, &third), async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        crashing.run(apply(&crashing, 2, &second)).await
    });

    assert!(crashed.is_none());
    assert!(later.is_ok(), "{later:?}");
    assert_eq!(marks(&memory).await, [1, 2, 3]);
}

#[tokio::test(start_paused = true)]
async fn object_modified_outside_of_any_change_is_not_overwritten() {
    let memory = Arc::new(memory::Memory::default());
    apply(memory.as_ref(), 1, &fixtures::fleet(1, 2))
        .await
        .unwrap();
    let crashing = Faulty::new(&memory, [WriteResult::CrashAfter], []);
    crashing
        .run(apply(&crashing, 2, &fixtures::fleet(2, 2)))
        .await;
    let key = "config/service/a";
    let service = fixtures::fleet(9, 2).services.remove(0);
    let external = config::Value::Service(Some(Box::new(service))).encode();
    let always = object::Condition::Always;
    memory.put(key, external, always).await.unwrap();

    let completed = configuration::complete(memory.as_ref()).await;
    let next = apply(memory.as_ref(), 3, &fixtures::fleet(3, 2)).await;

    assert!(
        matches!(&completed, Err(configuration::Failure::ModifiedExternally { keys, .. }) if keys == &[key]),
        "{completed:?}"
    );
    assert!(next.is_ok(), "{next:?}");
    assert_eq!(marks(&memory).await, [1, 9, 3]);
}

#[tokio::test]
async fn undecodable_object_is_reported_by_key() {
    let memory = memory::Memory::default();
    let always = object::Condition::Always;
    memory
        .put("config/service/a", Bytes::from("{"), always)
        .await
        .unwrap();

    let read = configuration::Current::read(&memory).await;

    let Err(configuration::Failure::Corrupt { key, .. }) = read else {
        panic!("not corrupt: {read:?}");
    };
    assert_eq!(key, "config/service/a");
}

fn write_result(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<WriteResult> {
    Ok(match u.int_in_range(0..=15)? {
        9 | 10 => WriteResult::ResponseLost,
        11 => WriteResult::RequestLost,
        12 | 13 => WriteResult::Delayed,
        14 => WriteResult::Rejected,
        15 => match u.arbitrary()? {
            true => WriteResult::CrashBefore,
            false => WriteResult::CrashAfter,
        },
        _ => WriteResult::Acknowledged,
    })
}

/// Several operators apply changes concurrently, each with its own faults. The accepted changes must
/// be totally ordered, each applied completely and once, and each reported result be correct.
#[test]
fn concurrent_changes_with_faults_are_totally_ordered() {
    arbtest::arbtest(|u| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let memory = Arc::new(memory::Memory::default());
        let mut writers = Vec::new();
        for _ in 0..u.int_in_range(1..=5)? {
            let results: Result<Vec<_>, _> = (0..12).map(|_| write_result(u)).collect();
            let delays_ms: [u8; 24] = u.arbitrary()?;
            // The generator returns the minimum when its input is exhausted: the small fleet.
            let servers = match u.int_in_range(0..=40)? {
                35.. => STAGED_SERVERS,
                _ => 2,
            };
            writers.push((Faulty::new(&memory, results?, delays_ms), servers));
        }

        let results = runtime.block_on(async {
            let runs = writers
                .iter()
                .zip(1..)
                .map(|((store, servers), number)| async move {
                    let fleet = fixtures::fleet(number, *servers);
                    store.run(apply(store, number, &fleet)).await
                });
            let results = futures_util::future::join_all(runs).await;
            // Longer than the delay of any write.
            tokio::time::sleep(Duration::from_secs(10)).await;
            configuration::complete(memory.as_ref()).await.unwrap();
            results
        });

        let current = runtime.block_on(current(&memory));
        let accepted_operators = accepted_operators(&current);
        let marks = runtime.block_on(marks(&memory));
        let names: Vec<_> = marks.iter().map(|m| operator(*m).to_string()).collect();
        assert_eq!(names, accepted_operators);
        assert_eq!(fixtures::mark(&current.fleet()), marks.last().copied());
        for (result, number) in results.iter().zip(1..) {
            let accepted = marks.contains(&number);
            match result {
                Some(Ok(_)) => assert!(accepted, "{result:?}"),
                Some(Err(
                    configuration::Failure::Conflict { .. }
                    | configuration::Failure::NotDone { .. },
                )) => assert!(!accepted, "{result:?}"),
                _ => {}
            }
        }
        Ok(())
    })
    .size_min(512)
    .budget_ms(3_000);
}
