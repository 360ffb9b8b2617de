//! Mutex locking that ignores poisoning, so that a panic in one task does not affect others.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex even if it is poisoned: the data behind these mutexes is consistent after every statement that changes it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
