//! Copies of a request on their way, and what may be said of the request because of them.
//!
//! Failure guarded against: one copy of a request is refused while another one is at an
//! endpoint, and the refusal is passed on as the request's. Callers repeat what was refused
//! as not run, so that it shows as a doubled booking. The guard holds because
//! [`Execution::NotRun`] is said by [`Held`] alone, which a request stops being with its
//! first copy and becomes again only when each copy has come back.
//!
//! ```compile_fail
//! use pistachiotrack_core::{copies::Held, name::Name, refusal::Reason, time::Time};
//!
//! let held = Held::on_arrival();
//! let (copies, copy) = held.send(Name::from("endpoint-1"), Time::ZERO);
//! held.refuse(Reason::QueueFull, None); // `held` has moved into `copies`
//! ```
//!
//! ```compile_fail
//! use pistachiotrack_core::{copies::Held, name::Name, refusal::Reason, time::Time};
//!
//! let (copies, copy) = Held::on_arrival().send(Name::from("endpoint-1"), Time::ZERO);
//! copies.refuse_not_run(Reason::QueueFull, None); // there is no such thing
//! ```

use std::mem;

use crate::{
    name::Name,
    refusal::{Execution, Reason, Refusal, Verdict},
    request::Outcome,
    time::Time,
};

/// A request of which no copy is out.
#[derive(Debug)]
#[must_use]
pub struct Held {
    sent: Vec<SentTo>,
}

impl Held {
    /// Takes a request that this process has just read from its connection; nothing else
    /// makes one.
    pub fn on_arrival() -> Held {
        Held { sent: Vec::new() }
    }

    /// Refuses the request as not run; it can't be sent afterwards.
    pub fn refuse(self, reason: Reason, retry_after_ms: Option<u64>) -> Refusal {
        Refusal::new(Execution::NotRun, reason, retry_after_ms, self.sent)
    }

    /// Sends a copy to an endpoint or a VM.
    pub fn send(self, to: Name, now: Time) -> (Copies, SentCopy) {
        let mut copies = Copies::from(self);
        let copy = copies.send(to, now);
        (copies, copy)
    }
}

/// Where a copy of a request went, and whether it came back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentTo {
    /// Name of the endpoint or VM.
    pub to: Name,
    /// Moment of sending.
    pub at: Time,
    /// Whether it is certain that the copy was not run and won't be.
    pub is_back: bool,
}

/// A request of which copies may be out.
#[derive(Debug)]
#[must_use]
pub struct Copies {
    sent: Vec<SentTo>,
    /// Whether the final answer has been given.
    is_finished: bool,
}

impl From<Held> for Copies {
    fn from(held: Held) -> Copies {
        Copies { sent: held.sent, is_finished: false }
    }
}

impl Copies {
    /// Sends a copy to an endpoint or a VM.
    pub fn send(&mut self, to: Name, now: Time) -> SentCopy {
        self.sent.push(SentTo { to, at: now, is_back: false });
        SentCopy { index: self.sent.len() - 1 }
    }

    /// Takes a copy back.
    pub fn take_back(&mut self, copy: ReturnedCopy) {
        if let Some(sent) = self.sent.get_mut(copy.index) {
            sent.is_back = true;
        }
    }

    /// Returns whether no copy is out and no final answer has been given.
    pub fn all_are_back(&self) -> bool {
        !self.is_finished && self.sent.iter().all(|sent| sent.is_back)
    }

    /// Returns the request as one without copies.
    ///
    /// # Errors
    ///
    /// Returns the copies again if one is out, or if the request was answered.
    pub fn settle(self) -> Result<Held, Copies> {
        if self.all_are_back() { Ok(Held { sent: self.sent }) } else { Err(self) }
    }

    /// Refuses the request, as not run only if every copy has come back.
    pub fn refuse(self, reason: Reason, retry_after_ms: Option<u64>) -> Refusal {
        match self.settle() {
            Ok(held) => held.refuse(reason, retry_after_ms),
            Err(copies) => copies.refuse_as_unknown(reason),
        }
    }

    /// Refuses the request as a decision says; as not run only if that is so here too.
    pub fn refuse_by(self, verdict: Verdict) -> Refusal {
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
pub struct SentCopy {
    index: usize,
}

impl SentCopy {
    /// Takes how the attempt to which it went has ended.
    pub fn on_outcome(self, outcome: Outcome) -> Option<ReturnedCopy> {
        outcome.certainly_not_run().then_some(ReturnedCopy { index: self.index })
    }

    /// Takes what its holder says of it.
    pub fn on_word(self, word: Execution) -> Option<ReturnedCopy> {
        (word == Execution::NotRun).then_some(ReturnedCopy { index: self.index })
    }

    /// Takes it back, as no byte of it has left this process.
    pub fn unsent(self) -> ReturnedCopy {
        ReturnedCopy { index: self.index }
    }
}

/// A copy that was certainly not run and won't be.
#[derive(Debug)]
#[must_use]
pub struct ReturnedCopy {
    index: usize,
}
