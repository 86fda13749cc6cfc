//! How much of its link a VM spends on answering others, and whom it has answered.

use std::{collections::VecDeque, time::Duration};

use rand::{Rng, seq::IteratorRandom};

use super::{
    ConfigSync,
    wire::{AnswerRef, Question},
};
use crate::{time::Time, vm::Vm};

/// Bytes that may be answered at once after a pause. A change of one endpoint, some
/// 300 bytes, thus goes to 200 VMs without any wait.
const BURST_BYTES: f64 = 64.0 * 1024.0;
/// Answered VMs remembered.
const MAX_SERVED: usize = 64;
/// Time after which a VM that was sent elsewhere asks again, on average: what an answer
/// of 64 kB takes on a link of 10 Mbit/s.
pub(super) const PUT_OFF: Duration = Duration::from_millis(50);
/// Answered VMs named to one that has to ask elsewhere.
const NAMED: usize = 8;

/// The answers of one VM about the version in force.
///
/// Failure guarded against: a large change is announced by one VM, all others ask
/// it, and its link is full for seconds. It shows as requests routed by the old
/// version, and as pulls without an answer. The guard holds because a VM answers no
/// more than its link carries and names VMs that it has answered: their number
/// doubles with each round.
#[derive(Clone, Debug)]
pub(super) struct Serving {
    bytes_per_second: f64,
    /// Bytes that may be answered now; below zero after a long answer.
    allowance_bytes: f64,
    updated: Time,
    served: VecDeque<Vm>,
}

impl Serving {
    pub(super) fn new(bytes_per_second: u64) -> Serving {
        Serving {
            bytes_per_second: bytes_per_second as f64,
            allowance_bytes: BURST_BYTES,
            updated: Time::ZERO,
            served: VecDeque::new(),
        }
    }

    /// Returns whether a VM may be answered now; otherwise it has to ask elsewhere.
    pub(super) fn is_free(&mut self, now: Time) -> bool {
        let refill = now.since(self.updated).as_secs_f64() * self.bytes_per_second;
        self.updated = now;
        self.allowance_bytes = (self.allowance_bytes + refill).min(BURST_BYTES);
        self.allowance_bytes > 0.0
    }

    /// Notes an answer that brings `asker` to the version in force.
    pub(super) fn note(&mut self, asker: Vm, bytes: usize) {
        self.allowance_bytes -= bytes as f64;
        self.served.retain(|vm| vm.name != asker.name);
        if self.served.len() == MAX_SERVED {
            self.served.pop_front();
        }
        self.served.push_back(asker);
    }

    /// Returns some of the VMs answered, other than `asker`.
    pub(super) fn served(&self, asker: &Vm, rng: &mut impl Rng) -> Vec<Vm> {
        self.served.iter().filter(|vm| vm.name != asker.name).cloned().sample(rng, NAMED)
    }

    /// Forgets whom it answered: they no longer have the version in force.
    pub(super) fn on_newer(&mut self) {
        self.served.clear();
    }
}

impl ConfigSync {
    /// Answers a peer's question, or sends the peer to others if this VM answers as
    /// many as its link carries.
    ///
    /// # Errors
    ///
    /// Returns an error if the question can't be decoded.
    pub fn answer(&mut self, now: Time, request: &[u8]) -> Result<Vec<u8>, postcard::Error> {
        let question: Question = postcard::from_bytes(request)?;
        let bytes = self.answer_to(&question).len();
        if bytes > 0 && !self.serving.is_free(now) {
            let version = self.version().unwrap_or_default();
            let holders = self.serving.served(&question.asker, &mut self.rng);
            return postcard::to_stdvec(&AnswerRef::Elsewhere { version, holders });
        }
        let encoded = postcard::to_stdvec(&self.answer_to(&question))?;
        if bytes > 0 {
            self.serving.note(question.asker, bytes);
        }
        Ok(encoded)
    }

    fn answer_to(&self, question: &Question) -> AnswerRef<'_> {
        if question.deployment != self.deployment {
            return AnswerRef::Nothing;
        }
        self.store.answer(question)
    }
}
