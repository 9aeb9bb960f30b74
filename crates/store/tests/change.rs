//! Conditional writes with lost responses.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "fixtures/faulty.rs"]
mod faulty;

use std::sync::Arc;

use bytes::Bytes;
use faulty::{Faulty, WriteResult};
use monsooncart_store::store::Store as _;
use monsooncart_store::{change, memory, object};

async fn write(
    memory: &Arc<memory::Memory>,
    results: &[WriteResult],
    condition: object::Condition,
) -> Result<object::Version, change::Failure> {
    let store = Faulty::new(memory, results.iter().copied(), []);
    let write = change::write(&store, "key", Bytes::from("mine"), condition);
    store
        .run(write)
        .await
        .expect("these writes do not crash the writer")
}

#[tokio::test(start_paused = true)]
async fn write_with_lost_response_succeeds_and_is_applied_once() {
    let memory = Arc::new(memory::Memory::default());

    let result = write(
        &memory,
        &[WriteResult::ResponseLost],
        object::Condition::Absent,
    )
    .await;

    let object = memory.get("key").await.unwrap().unwrap();
    assert_eq!(result, Ok(object.version));
    assert_eq!(object.version, object::Version(1));
}

#[tokio::test(start_paused = true)]
async fn lost_request_is_sent_again() {
    let memory = Arc::new(memory::Memory::default());
    let results = [
        WriteResult::RequestLost,
        WriteResult::RequestLost,
        WriteResult::Rejected,
        WriteResult::ResponseLost,
    ];

    let result = write(&memory, &results, object::Condition::Absent).await;

    assert_eq!(result, Ok(object::Version(1)));
}

#[tokio::test(start_paused = true)]
async fn delayed_write_is_applied_once() {
    let memory = Arc::new(memory::Memory::default());
    let results = [WriteResult::Delayed];

    let result = write(&memory, &results, object::Condition::Absent).await;
    tokio::time::sleep(std::time::Duration::from_secs(10)).await;

    assert_eq!(result, Ok(object::Version(1)));
    let object = memory.get("key").await.unwrap().unwrap();
    assert_eq!(object.version, object::Version(1));
}

#[tokio::test(start_paused = true)]
async fn rejection_without_a_lost_response_is_not_done() {
    let memory = Arc::new(memory::Memory::default());

    let result = write(&memory, &[WriteResult::Rejected], object::Condition::Absent).await;

    assert!(matches!(result, Err(change::Failure::NotDone { .. })));
    assert_eq!(memory.get("key").await.unwrap(), None);
}

#[tokio::test(start_paused = true)]
async fn persistently_lost_responses_leave_the_effect_unknown() {
    let memory = Arc::new(memory::Memory::default());
    let results = [WriteResult::RequestLost; 100];

    let result = write(&memory, &results, object::Condition::Absent).await;

    assert!(matches!(result, Err(change::Failure::Unknown { .. })));
}

#[tokio::test(start_paused = true)]
async fn conflict_contains_the_write_of_the_other_writer() {
    let memory = Arc::new(memory::Memory::default());
    let always = object::Condition::Always;
    let theirs = memory
        .put("key", Bytes::from("theirs"), always)
        .await
        .unwrap();

    let plain = write(&memory, &[], object::Condition::Absent).await;
    let lost = write(
        &memory,
        &[WriteResult::RequestLost],
        object::Condition::Absent,
    )
    .await;

    let conflict = |response_lost| {
        let found = object::Object {
            key: "key".to_owned(),
            version: theirs,
            value: Some(Bytes::from("theirs")),
        };
        Err(change::Failure::Conflict {
            key: "key".to_owned(),
            found: Some(found),
            response_lost,
        })
    };
    assert_eq!(plain, conflict(false));
    assert_eq!(lost, conflict(true));
}

#[tokio::test(start_paused = true)]
async fn write_of_a_crashed_writer_is_applied_only_if_it_was_sent() {
    for (result, applied) in [
        (WriteResult::CrashBefore, false),
        (WriteResult::CrashAfter, true),
    ] {
        let memory = Arc::new(memory::Memory::default());
        let store = Faulty::new(&memory, [result], []);

        let condition = object::Condition::Absent;
        let write = change::write(&store, "key", Bytes::from("mine"), condition);
        let completed = store.run(write).await;

        assert_eq!(completed, None);
        assert_eq!(memory.get("key").await.unwrap().is_some(), applied);
    }
}
