//! Mutex access that ignores poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex` even if a thread panicked while holding it. Critical sections leave the data
/// consistent at every point where they can panic.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
