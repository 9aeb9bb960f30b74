//! Time series of request counts, with a separate resolution for each window.
//!
//! Empty buckets take no memory. Buckets are aligned to multiples of their length since the Unix
//! epoch, so that series of several daemons can be merged.

use std::collections::VecDeque;

use crate::burn::{bucket, window};

/// A bucket with its position in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct Slot {
    /// Start of the bucket, in bucket lengths since the Unix epoch.
    pub number: u64,
    /// Counts of the bucket.
    pub bucket: bucket::Bucket,
}

/// Encoded form of a slot, without field names: a series has hundreds of slots, and the names would
/// take most of the space.
#[derive(serde::Serialize, serde::Deserialize)]
struct Packed(u64, u32, u32, u32);

impl From<Packed> for Slot {
    fn from(Packed(number, total, bad, slow): Packed) -> Self {
        let bucket = bucket::Bucket { total, bad, slow };
        Self { number, bucket }
    }
}

impl From<Slot> for Packed {
    fn from(slot: Slot) -> Self {
        let bucket::Bucket { total, bad, slow } = slot.bucket;
        Self(slot.number, total, bad, slow)
    }
}

/// Request counts over time, by window.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Series {
    slots: [VecDeque<Slot>; window::Window::ALL.len()],
}

impl Series {
    /// Adds counts at a time in seconds since the Unix epoch.
    pub fn add(&mut self, seconds: u64, bucket: bucket::Bucket) {
        for window in window::Window::ALL {
            let number = seconds / window.bucket_seconds();
            self.add_slot(window, Slot { number, bucket });
        }
    }

    /// Adds the counts of another series.
    pub fn merge(&mut self, other: &Self) {
        for window in window::Window::ALL {
            for slot in &other.slots[window.index()] {
                self.add_slot(window, *slot);
            }
        }
    }

    /// Sums the counts of the window that ends at `seconds`.
    #[must_use]
    pub fn sum(&self, window: window::Window, seconds: u64) -> bucket::Bucket {
        let mut sum = bucket::Bucket::default();
        for slot in self.window(window, seconds) {
            sum += slot.bucket;
        }
        sum
    }

    /// Non-empty buckets of the window that ends at `seconds`, oldest first.
    pub fn window(&self, window: window::Window, seconds: u64) -> impl Iterator<Item = &Slot> {
        let last = seconds / window.bucket_seconds();
        let first = (last + 1).saturating_sub(window.bucket_count());
        let slots = self.slots[window.index()].iter();
        slots.filter(move |slot| (first..=last).contains(&slot.number))
    }

    /// Start of the newest hour with counts, in hours since the Unix epoch; 0 if there are no counts.
    #[must_use]
    pub fn newest_hour(&self) -> u64 {
        let hours = &self.slots[window::Window::ThreeDays.index()];
        hours.back().map_or(0, |slot| slot.number)
    }

    /// Number of bad and slow requests in the series.
    #[must_use]
    pub fn faults(&self) -> u64 {
        let hours = &self.slots[window::Window::ThreeDays.index()];
        let faults = |slot: &Slot| u64::from(slot.bucket.bad) + u64::from(slot.bucket.slow);
        hours.iter().map(faults).sum()
    }

    fn add_slot(&mut self, window: window::Window, slot: Slot) {
        let slots = &mut self.slots[window.index()];
        let index = slots.partition_point(|existing| existing.number < slot.number);
        match slots.get_mut(index) {
            Some(existing) if existing.number == slot.number => existing.bucket += slot.bucket,
            _ => slots.insert(index, slot),
        }
        let newest = slots.back().map_or(0, |slot| slot.number);
        let is_expired = |slot: &Slot| slot.number + window.bucket_count() <= newest;
        while slots.front().is_some_and(is_expired) {
            slots.pop_front();
        }
    }
}
