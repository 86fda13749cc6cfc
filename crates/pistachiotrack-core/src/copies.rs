//! Copies of a request on their way, and what may be said of the request because of them.
//!
//! Failure guarded against: one copy of a request is refused while another one is at an
//! endpoint, and the refusal is passed on as the request's. Callers repeat what was refused
//! as not run, so that it shows as a doubled booking. The guard holds because
//! [`Execution::NotRun`] is said by [`Undispatched`] alone, which a request stops being with its
//! first copy and becomes again only when each copy has come back.
//!
//! ```compile_fail
//! use pistachiotrack_core::{copies::Undispatched, name::Name, refusal::Reason, time::Time};
//!
//! let held = Undispatched::on_arrival();
//! let (copies, copy) = held.send(Name::from("endpoint-1"), Time::ZERO);
//! held.refuse(Reason::QueueFull, None); // `held` has moved into `copies`
//! ```
//!
//! ```compile_fail
//! use pistachiotrack_core::{copies::Undispatched, name::Name, refusal::Reason, time::Time};
//!
//! let (copies, copy) = Undispatched::on_arrival().send(Name::from("endpoint-1"), Time::ZERO);
//! copies.refuse_not_run(Reason::QueueFull, None); // there is no such thing
//! ```

use std::mem;

use crate::{
    name::Name,
    refusal::{Execution, Reason, Refusal, RefusalDecision},
    request::Outcome,
    time::Time,
};

/// A request of which no copy is out.
#[derive(Debug)]
#[must_use]
pub struct Undispatched {
    sent: Vec<CopyRecord>,
}

impl Undispatched {
    /// Takes a request that this process has just read from its connection; nothing else
    /// makes one.
    pub fn on_arrival() -> Undispatched {
        Undispatched { sent: Vec::new() }
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

/// Where a copy of a request went, and whether it came back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyRecord {
    /// Name of the endpoint or VM.
    pub to: Name,
    /// Moment of sending.
    pub sent_at: Time,
    /// Whether it is certain that the copy was not run and won't be.
    pub is_not_run: bool,
}

/// A request of which copies may be out.
#[derive(Debug)]
#[must_use]
pub struct Copies {
    sent: Vec<CopyRecord>,
    /// Whether the final answer has been given.
    is_finished: bool,
}

impl From<Undispatched> for Copies {
    fn from(held: Undispatched) -> Copies {
        Copies { sent: held.sent, is_finished: false }
    }
}

impl Copies {
    /// Sends a copy to an endpoint or a VM.
    pub fn send(&mut self, to: Name, now: Time) -> OutstandingCopy {
        self.sent.push(CopyRecord { to, sent_at: now, is_not_run: false });
        OutstandingCopy { index: self.sent.len() - 1 }
    }

    /// Takes a copy back.
    pub fn record_not_run(&mut self, copy: NotRunCopy) {
        if let Some(sent) = self.sent.get_mut(copy.index) {
            sent.is_not_run = true;
        }
    }

    /// Returns whether no copy is out and no final answer has been given.
    pub fn is_certainly_not_run(&self) -> bool {
        !self.is_finished && self.sent.iter().all(|sent| sent.is_not_run)
    }

    /// Returns the request as one without copies.
    ///
    /// # Errors
    ///
    /// Returns the copies again if one is out, or if the request was answered.
    pub fn into_undispatched(self) -> Result<Undispatched, Copies> {
        if self.is_certainly_not_run() { Ok(Undispatched { sent: self.sent }) } else { Err(self) }
    }

    /// Refuses the request, as not run only if every copy has come back.
    pub fn refuse(self, reason: Reason, retry_after_ms: Option<u64>) -> Refusal {
        match self.into_undispatched() {
            Ok(held) => held.refuse(reason, retry_after_ms),
            Err(copies) => copies.refuse_as_unknown(reason),
        }
    }

    /// Refuses the request as a decision says; as not run only if that is so here too.
    pub fn refuse_with(self, verdict: RefusalDecision) -> Refusal {
        match verdict.execution {
            Execution::NotRun => self.refuse(verdict.reason, verdict.retry_after_ms),
            Execution::Unknown => self.refuse_as_unknown(verdict.reason),
        }
    }

    /// Refuses the request as one that may have run.
    pub fn refuse_as_unknown(self, reason: Reason) -> Refusal {
        Refusal::new(Execution::Unknown, reason, None, self.sent)
    }

    /// Takes the copies out of a request that gets its final answer, so that nothing is sent
    /// or said afterwards.
    pub fn finish(&mut self) -> Copies {
        mem::replace(self, Copies { sent: Vec::new(), is_finished: true })
    }
}

/// A copy that is out. Dropped, it stays out.
#[derive(Debug)]
#[must_use]
pub struct OutstandingCopy {
    index: usize,
}

impl OutstandingCopy {
    /// Takes how the attempt to which it went has ended.
    pub fn on_outcome(self, outcome: Outcome) -> Option<NotRunCopy> {
        outcome.certainly_not_run().then_some(NotRunCopy { index: self.index })
    }

    /// Takes what its holder says of it.
    pub fn on_reported_execution(self, word: Execution) -> Option<NotRunCopy> {
        (word == Execution::NotRun).then_some(NotRunCopy { index: self.index })
    }

    /// Takes it back, as no byte of it has left this process.
    pub fn unsent(self) -> NotRunCopy {
        NotRunCopy { index: self.index }
    }
}

/// A copy that was certainly not run and won't be.
#[derive(Debug)]
#[must_use]
pub struct NotRunCopy {
    index: usize,
}
