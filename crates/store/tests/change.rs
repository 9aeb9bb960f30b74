//! Conditional writes whose answers are lost.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "fixtures/faulty.rs"]
mod faulty;

use std::sync::Arc;

use bytes::Bytes;
use faulty::{Fate, Faulty};
use monsooncart_store::store::Store as _;
use monsooncart_store::{change, memory, object};

async fn settle(
    memory: &Arc<memory::Memory>,
    plan: &[Fate],
    condition: object::Condition,
) -> Result<object::Version, change::Failure> {
    let store = Faulty::new(memory, plan.iter().copied(), []);
    let settled = change::settle(&store, "key", Bytes::from("mine"), condition);
    store
        .run(settled)
        .await
        .expect("no plan of this file kills the writer")
}

#[tokio::test(start_paused = true)]
async fn lost_answer_is_settled_as_done_and_written_once() {
    let memory = Arc::new(memory::Memory::default());

    let settled = settle(&memory, &[Fate::Lost], object::Condition::Absent).await;

    let object = memory.get("key").await.unwrap().unwrap();
    assert_eq!(settled, Ok(object.version));
    assert_eq!(object.version, object::Version(1));
}

#[tokio::test(start_paused = true)]
async fn write_that_was_dropped_is_sent_again() {
    let memory = Arc::new(memory::Memory::default());
    let plan = [Fate::Dropped, Fate::Dropped, Fate::Refused, Fate::Lost];

    let settled = settle(&memory, &plan, object::Condition::Absent).await;

    assert_eq!(settled, Ok(object::Version(1)));
}

#[tokio::test(start_paused = true)]
async fn write_that_takes_effect_late_stands_once() {
    let memory = Arc::new(memory::Memory::default());
    let plan = [Fate::Late];

    let settled = settle(&memory, &plan, object::Condition::Absent).await;
    tokio::time::sleep(std::time::Duration::from_secs(10)).await;

    assert_eq!(settled, Ok(object::Version(1)));
    let object = memory.get("key").await.unwrap().unwrap();
    assert_eq!(object.version, object::Version(1));
}

#[tokio::test(start_paused = true)]
async fn refusal_without_a_lost_answer_is_not_done() {
    let memory = Arc::new(memory::Memory::default());

    let settled = settle(&memory, &[Fate::Refused], object::Condition::Absent).await;

    assert!(matches!(settled, Err(change::Failure::NotDone { .. })));
    assert_eq!(memory.get("key").await.unwrap(), None);
}

#[tokio::test(start_paused = true)]
async fn answers_that_stay_lost_leave_the_effect_unknown() {
    let memory = Arc::new(memory::Memory::default());
    let plan = [Fate::Dropped; 100];

    let settled = settle(&memory, &plan, object::Condition::Absent).await;

    assert!(matches!(settled, Err(change::Failure::Unknown { .. })));
}

#[tokio::test(start_paused = true)]
async fn write_of_another_is_a_conflict_that_shows_it() {
    let memory = Arc::new(memory::Memory::default());
    let always = object::Condition::Always;
    let theirs = memory
        .put("key", Bytes::from("theirs"), always)
        .await
        .unwrap();

    let plain = settle(&memory, &[], object::Condition::Absent).await;
    let lost = settle(&memory, &[Fate::Dropped], object::Condition::Absent).await;

    let conflict = |lost| {
        let found = object::Object {
            key: "key".to_owned(),
            version: theirs,
            value: Some(Bytes::from("theirs")),
        };
        Err(change::Failure::Conflict {
            key: "key".to_owned(),
            found: Some(found),
            lost,
        })
    };
    assert_eq!(plain, conflict(false));
    assert_eq!(lost, conflict(true));
}

#[tokio::test(start_paused = true)]
async fn write_of_a_writer_that_died_stands_or_not_as_it_was_sent() {
    for (fate, stands) in [(Fate::DiesBefore, false), (Fate::DiesAfter, true)] {
        let memory = Arc::new(memory::Memory::default());
        let store = Faulty::new(&memory, [fate], []);

        let condition = object::Condition::Absent;
        let settled = change::settle(&store, "key", Bytes::from("mine"), condition);
        let died = store.run(settled).await;

        assert_eq!(died, None);
        assert_eq!(memory.get("key").await.unwrap().is_some(), stands);
    }
}
