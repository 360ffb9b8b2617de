//! Locks that a panic in another task does not make unusable.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, poisoned or not: what these mutexes hold is consistent after every statement that changes it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
