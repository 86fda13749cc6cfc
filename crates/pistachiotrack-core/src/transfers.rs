//! Requests that other VMs have sent to this one, by which copies of the same request are
//! recognized.
//!
//! Failure guarded against: a VM whose request isn't answered for long sends it once more, and
//! the VM that gets both copies works on them as if they were two requests. The guard holds
//! because a copy joins the one that is being served, and begins with the attempts that are left
//! if that one has ended. A VM that may have forgotten the first copy doesn't run the second.

use std::{
    collections::{BTreeSet, hash_map::Entry},
    time::Duration,
};

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::{name::Name, prior_attempts::PriorAttempts, time::Time};

/// Time after a request's deadline for which it is kept on record.
const RECORD_GRACE: Duration = Duration::from_secs(1);
/// Time that a copy may take on its way.
const MAX_TRANSIT: Duration = Duration::from_secs(1);
/// Maximum number of requests on record.
const MAX_RECORDS: usize = 16_384;

/// Identifies a request among all that the VMs send to each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TransferId(pub Name);

/// Decision about a copy that has arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is served, with these attempts counted.
    Serve(PriorAttempts),
    /// Another copy is being served; this one gets its answer.
    Join,
    /// An earlier copy may have used all attempts.
    Refuse,
}

/// The requests that other VMs have sent to this one.
#[derive(Clone, Debug)]
pub struct Transfers {
    /// What became of each, none while it is being served.
    records: FxHashMap<TransferId, Option<PriorAttempts>>,
    expiries: BTreeSet<(Time, TransferId)>,
    /// Time since which all requests are on record that may be sent again.
    complete_since: Time,
}

impl Transfers {
    /// Creates the record of a process that starts at `now`.
    pub fn new(now: Time) -> Transfers {
        Transfers { records: FxHashMap::default(), expiries: BTreeSet::new(), complete_since: now }
    }

    /// Decides about a copy. `first_sent_ago` is the age of the first copy, if this is a further
    /// one, and `prior` what its sender knows of the request.
    pub fn on_arrival(
        &mut self,
        now: Time,
        id: &TransferId,
        first_sent_ago: Option<Duration>,
        deadline: Time,
        prior: PriorAttempts,
    ) -> Admission {
        self.forget_expired(now);
        match self.records.entry(id.clone()) {
            Entry::Occupied(mut record) => match record.get_mut().take() {
                None => Admission::Join,
                Some(mut ended) => {
                    ended.on_reported(prior);
                    Admission::Serve(ended)
                }
            },
            Entry::Vacant(record) => {
                let record_age = now.since(self.complete_since);
                if first_sent_ago.is_some_and(|ago| record_age < ago + MAX_TRANSIT) {
                    return Admission::Refuse;
                }
                record.insert(None);
                self.expiries.insert((deadline + RECORD_GRACE, id.clone()));
                self.forget_excess(now);
                Admission::Serve(prior)
            }
        }
    }

    /// Records that a request is no longer being served, and what became of it.
    pub fn on_end(&mut self, id: &TransferId, attempts: PriorAttempts) {
        if let Some(record) = self.records.get_mut(id) {
            *record = Some(attempts);
        }
    }

    fn forget_expired(&mut self, now: Time) {
        while let Some((expires_at, _)) = self.expiries.first() {
            if *expires_at > now {
                return;
            }
            self.forget_first();
        }
    }

    fn forget_excess(&mut self, now: Time) {
        while self.records.len() > MAX_RECORDS {
            self.forget_first();
            self.complete_since = now;
        }
    }

    fn forget_first(&mut self) {
        if let Some((_, id)) = self.expiries.pop_first() {
            self.records.remove(&id);
        }
    }
}
