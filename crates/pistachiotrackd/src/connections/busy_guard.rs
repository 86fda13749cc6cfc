//! Marks connections that carry a request, which must not be closed like idle ones.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// Marks a connection as busy with a request until it is dropped.
#[derive(Debug)]
pub(crate) struct BusyGuard(Arc<AtomicBool>);

impl BusyGuard {
    /// Marks a connection as busy by setting `is_busy`.
    pub(crate) fn new(is_busy: &Arc<AtomicBool>) -> BusyGuard {
        is_busy.store(true, Ordering::Relaxed);
        BusyGuard(Arc::clone(is_busy))
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}
