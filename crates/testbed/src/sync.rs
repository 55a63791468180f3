//! Lock helper.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks and ignores poisoning: a panicking handler must not take the whole fake down.
pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
