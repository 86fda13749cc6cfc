//! Tracks the copies of a request that were sent, to decide whether it certainly wasn't run.
//!
//! Failure guarded against: one copy of a request is refused while another one is at an
//! endpoint, and the refusal is passed on as that of the request. Callers repeat requests that
//! were refused as not run, so that it shows as a duplicate booking. The guard holds because
//! only [`Undispatched`] can refuse with [`Execution::NotRun`]: sending the first copy consumes
//! it, and it can be had again only when every copy is certainly not run.
//!
//! ```compile_fail
//! use pistachiotrack_core::{copies::Undispatched, name::Name, refusal::Reason, time::Time};
//!
//! let undispatched = Undispatched::on_arrival();
//! let (copies, copy) = undispatched.send(Name::from("endpoint-1"), Time::ZERO);
//! undispatched.refuse(Reason::QueueFull, None); // `undispatched` has moved into `copies`
//! ```
//!
//! ```compile_fail
//! use pistachiotrack_core::{copies::Undispatched, name::Name, refusal::Reason, time::Time};
//!
//! let (copies, copy) = Undispatched::on_arrival().send(Name::from("endpoint-1"), Time::ZERO);
//! copies.refuse_not_run(Reason::QueueFull, None); // there is no such method
//! ```

use std::mem;

use crate::{
    name::Name,
    refusal::{Execution, Reason, Refusal, RefusalDecision},
    request::Outcome,
    time::Time,
};

/// A request without outstanding copies: it certainly was not run.
#[derive(Debug)]
#[must_use]
pub struct Undispatched {
    sent: Vec<CopyRecord>,
}

impl Undispatched {
    /// Creates the state of a request that this process has just read from its connection.
    pub fn on_arrival() -> Undispatched {
        Undispatched { sent: Vec::new() }
    }

    /// Takes a refusal back that has not been given to the caller, so that the request can be sent
    /// to another VM.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request may have run.
    pub fn from_refusal(refusal: Refusal) -> Result<Undispatched, Refusal> {
        match refusal.execution() {
            Execution::NotRun => Ok(Undispatched { sent: refusal.into_sent() }),
            Execution::Unknown => Err(refusal),
        }
    }

    /// Refuses the request as not run; it can't be sent afterwards.
    pub fn refuse(self, reason: Reason, retry_after_ms: Option<u64>) -> Refusal {
        Refusal::new(Execution::NotRun, reason, retry_after_ms, self.sent)
    }

    /// Sends a copy to an endpoint or a VM.
    pub fn send(self, to: Name, now: Time) -> (Copies, OutstandingCopy) {
        let mut copies = Copies::from(self);
        let copy = copies.send(to, now);
        (copies, copy)
    }
}

/// Destination and state of a copy of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyRecord {
    /// Name of the endpoint or VM.
    pub to: Name,
    /// Time of sending.
    pub sent_at: Time,
    /// Whether the copy certainly was not run and won't be.
    pub is_not_run: bool,
}

/// A request that may have outstanding copies.
#[derive(Debug)]
#[must_use]
pub struct Copies {
    sent: Vec<CopyRecord>,
    /// Whether the final answer has been given.
    is_finished: bool,
}

impl From<Undispatched> for Copies {
    fn from(request: Undispatched) -> Copies {
        Copies { sent: request.sent, is_finished: false }
    }
}

impl Copies {
    /// Sends a copy to an endpoint or a VM.
    pub fn send(&mut self, to: Name, now: Time) -> OutstandingCopy {
        self.sent.push(CopyRecord { to, sent_at: now, is_not_run: false });
        OutstandingCopy { index: self.sent.len() - 1 }
    }

    /// Records that a copy was certainly not run.
    pub fn record_not_run(&mut self, copy: NotRunCopy) {
        if let Some(sent) = self.sent.get_mut(copy.index) {
            sent.is_not_run = true;
        }
    }

    /// Returns whether no copy is outstanding and no final answer has been given.
    pub fn is_certainly_not_run(&self) -> bool {
        !self.is_finished && self.sent.iter().all(|sent| sent.is_not_run)
    }

    /// Converts the request to one without outstanding copies.
    ///
    /// # Errors
    ///
    /// Returns `self` if a copy is outstanding or the final answer was given.
    pub fn into_undispatched(self) -> Result<Undispatched, Copies> {
        if self.is_certainly_not_run() { Ok(Undispatched { sent: self.sent }) } else { Err(self) }
    }

    /// Refuses the request, as not run only if every copy certainly was not run.
    pub fn refuse(self, reason: Reason, retry_after_ms: Option<u64>) -> Refusal {
        match self.into_undispatched() {
            Ok(undispatched) => undispatched.refuse(reason, retry_after_ms),
            Err(copies) => copies.refuse_as_unknown(reason),
        }
    }

    /// Refuses the request with a decision; as not run only if that also holds for the copies.
    pub fn refuse_with(self, decision: RefusalDecision) -> Refusal {
        match decision.execution {
            Execution::NotRun => self.refuse(decision.reason, decision.retry_after_ms),
            Execution::Unknown => self.refuse_as_unknown(decision.reason),
        }
    }

    /// Refuses the request as one that may have run.
    pub fn refuse_as_unknown(self, reason: Reason) -> Refusal {
        Refusal::new(Execution::Unknown, reason, None, self.sent)
    }

    /// Takes the copies of a request for its final answer; the request can't be refused as not
    /// run afterwards.
    pub fn finish(&mut self) -> Copies {
        mem::replace(self, Copies { sent: Vec::new(), is_finished: true })
    }
}

/// An outstanding copy. If it is dropped, the copy stays outstanding.
#[derive(Debug)]
#[must_use]
pub struct OutstandingCopy {
    index: usize,
}

impl OutstandingCopy {
    /// Returns the copy as not run if the outcome of its attempt shows that it certainly wasn't.
    pub fn on_outcome(self, outcome: Outcome) -> Option<NotRunCopy> {
        outcome.certainly_not_run().then_some(NotRunCopy { index: self.index })
    }

    /// Returns the copy as not run if the VM that got it reports so.
    pub fn on_reported_execution(self, execution: Execution) -> Option<NotRunCopy> {
        (execution == Execution::NotRun).then_some(NotRunCopy { index: self.index })
    }

    /// Returns the copy as not run, because no byte of it was sent.
    pub fn unsent(self) -> NotRunCopy {
        NotRunCopy { index: self.index }
    }
}

/// A copy that certainly was not run and won't be.
#[derive(Debug)]
#[must_use]
pub struct NotRunCopy {
    index: usize,
}
