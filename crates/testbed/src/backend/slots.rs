//! Slots with a bounded queue.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Slots with a bounded queue.
#[derive(Debug)]
pub struct Slots {
    free: Arc<Semaphore>,
    taken: Arc<AtomicUsize>,
    /// Number of slots and queue positions together.
    capacity: usize,
}

/// A slot or a queue position; released when dropped.
#[derive(Debug)]
pub struct Slot {
    taken: Arc<AtomicUsize>,
    permit: Option<OwnedSemaphorePermit>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.permit = None;
        self.taken.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Slots {
    /// Creates free slots with a queue.
    pub fn new(slots: usize, queue: usize) -> Self {
        Self {
            free: Arc::new(Semaphore::new(slots)),
            taken: Arc::default(),
            capacity: slots + queue,
        }
    }

    /// Waits for a slot; `None` if the queue is full.
    pub async fn take(&self) -> Option<Slot> {
        let mut slot = Slot {
            taken: self.taken.clone(),
            permit: None,
        };
        if self.taken.fetch_add(1, Ordering::AcqRel) >= self.capacity {
            return None;
        }
        slot.permit = self.free.clone().acquire_owned().await.ok();
        Some(slot)
    }
}
