//! Locks that coroutines may hold over a wait. Whoever waits for one gives its worker to others.
//!
//! They are those of `may`, in functions that are never inlined: see [`Waiter`](crate::waiter::Waiter).

use std::ops::{Deref, DerefMut};
use std::sync::{LockResult, PoisonError, TryLockError};

/// A counter of free places.
pub struct Semaphore {
    semaphore: may::sync::Semphore,
}

impl Semaphore {
    pub fn new(free: usize) -> Self {
        Semaphore { semaphore: may::sync::Semphore::new(free) }
    }

    /// Takes a place, waiting until one is free.
    #[inline(never)]
    pub fn acquire(&self) {
        self.semaphore.wait();
    }

    /// Gives a place back.
    #[inline(never)]
    pub fn release(&self) {
        self.semaphore.post();
    }
}

/// A mutual exclusion lock. A panic while it is held poisons it.
#[derive(Default)]
pub struct Mutex<T> {
    mutex: may::sync::Mutex<T>,
}

impl<T> Mutex<T> {
    pub fn new(value: T) -> Self {
        Mutex { mutex: may::sync::Mutex::new(value) }
    }

    /// Locks it, waiting until it is free.
    #[inline(never)]
    pub fn lock(&self) -> LockResult<MutexGuard<'_, T>> {
        match self.mutex.lock() {
            Ok(guard) => Ok(MutexGuard::new(guard)),
            Err(poisoned) => Err(PoisonError::new(MutexGuard::new(poisoned.into_inner()))),
        }
    }

    /// Locks it if it is free and not poisoned.
    #[inline(never)]
    pub fn try_lock(&self) -> Option<MutexGuard<'_, T>> {
        match self.mutex.try_lock() {
            Ok(guard) => Some(MutexGuard::new(guard)),
            Err(TryLockError::Poisoned(_) | TryLockError::WouldBlock) => None,
        }
    }
}

/// Access to the value of a [`Mutex`], unlocked on drop.
pub struct MutexGuard<'a, T> {
    /// Present until the drop.
    guard: Option<may::sync::MutexGuard<'a, T>>,
}

impl<'a, T> MutexGuard<'a, T> {
    fn new(guard: may::sync::MutexGuard<'a, T>) -> Self {
        MutexGuard { guard: Some(guard) }
    }
}

impl<T> Deref for MutexGuard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        self.guard.as_ref().expect("present until the drop")
    }
}

impl<T> DerefMut for MutexGuard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        self.guard.as_mut().expect("present until the drop")
    }
}

impl<T> Drop for MutexGuard<'_, T> {
    #[inline(never)]
    fn drop(&mut self) {
        self.guard = None;
    }
}
