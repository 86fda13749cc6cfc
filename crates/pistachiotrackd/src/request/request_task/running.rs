//! Attempts of a request that are at endpoints.

use std::{
    future::{Future, poll_fn},
    pin::Pin,
    task::Poll,
};

use pistachiotrack_core::{copies::OutstandingCopy, request::AttemptId};

use crate::{
    connections::exchange::AbandonSignal,
    request::attempt::AttemptEnd,
    stats::{traffic::Locality, work_times::AttemptTimer},
};

/// An attempt whose answer has not started.
pub(super) struct RunningAttempt {
    pub(super) attempt: AttemptId,
    pub(super) copy: OutstandingCopy,
    pub(super) end: Pin<Box<dyn Future<Output = AttemptEnd> + Send>>,
    pub(super) locality: Locality,
    pub(super) abandon: AbandonSignal,
    pub(super) timer: AttemptTimer,
}

/// An attempt that has ended or whose answer has started.
pub(super) struct Ended {
    pub(super) attempt: AttemptId,
    pub(super) copy: OutstandingCopy,
    pub(super) locality: Locality,
    pub(super) timer: AttemptTimer,
    pub(super) end: AttemptEnd,
}

/// Waits until one of the running attempts ends, and removes it.
pub(super) async fn next_end(running: &mut Vec<RunningAttempt>) -> Ended {
    poll_fn(|cx| {
        for index in 0..running.len() {
            if let Poll::Ready(end) = running[index].end.as_mut().poll(cx) {
                let RunningAttempt { attempt, copy, locality, timer, .. } =
                    running.swap_remove(index);
                return Poll::Ready(Ended { attempt, copy, locality, timer, end });
            }
        }
        Poll::Pending
    })
    .await
}
