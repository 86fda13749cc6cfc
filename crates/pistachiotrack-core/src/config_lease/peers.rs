//! Queries to other VMs for their last confirmation.
//!
//! The VMs of a data centre form a tree: the watchers of the platform at its root, and each other
//! VM asks its parent. The confirmations of a few reads thus reach any number of VMs, while each
//! VM answers a fixed number of others. A VM whose confirmation is late also asks random ones.

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng, seq::IteratorRandom};
use serde::{Deserialize, Serialize};

use super::{ConfigLeaseSettings, Confirmation};
use crate::{time::Time, vm::Vm};

/// Interval of queries while there is no lease.
const URGENT_INTERVAL: Duration = Duration::from_millis(100);
/// Number of random VMs of the data centre that are asked when a confirmation is late.
const LATE_NEAR_VMS: usize = 2;
/// Number of random VMs of the whole fleet that are asked then.
const LATE_FAR_VMS: usize = 1;
/// Time after which an unanswered query is forgotten.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Message between VMs about confirmations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// Asks for the last confirmation.
    Query {
        /// Number repeated in the answer.
        sequence: u32,
    },
    /// Answers a query.
    Answer {
        /// Number of the query.
        sequence: u32,
        /// Active version of the sender.
        version: u64,
        /// Time since the sender's last confirmation.
        age_us: u64,
    },
}

/// A query to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseQuery {
    /// Recipient.
    pub vm: Vm,
    /// Number of the query.
    pub sequence: u32,
}

/// The other live VMs, from which the recipients of queries are selected.
#[derive(Clone, Debug, Default)]
pub struct LeasePeers<'a> {
    /// VMs of this VM's data centre that rank before it, the first one first.
    pub before: Vec<&'a Vm>,
    /// Further VMs of the data centre.
    pub after: Vec<&'a Vm>,
    /// VMs of other data centres.
    pub far: Vec<&'a Vm>,
}

/// Queries of one VM.
#[derive(Clone, Debug)]
pub struct PeerQueries {
    settings: ConfigLeaseSettings,
    next_sequence: u32,
    next_query_at: Time,
    /// Times at which unanswered queries were sent.
    pending: BTreeMap<u32, Time>,
}

impl PeerQueries {
    /// Creates the state without queries. Sequence numbers start at a random value, so that an
    /// answer to an earlier process on this address matches none of them.
    pub fn new(settings: ConfigLeaseSettings, rng: &mut impl Rng) -> PeerQueries {
        PeerQueries {
            settings,
            next_sequence: rng.next_u32(),
            next_query_at: Time::ZERO,
            pending: BTreeMap::new(),
        }
    }

    /// Returns whether queries are due.
    pub fn is_due(&self, now: Time) -> bool {
        now >= self.next_query_at
    }

    /// Returns the queries that are due; `age` is the time since the last confirmation, and the
    /// first `watchers` VMs of a data centre read the platform themselves.
    pub fn on_tick(
        &mut self,
        now: Time,
        age: Option<Duration>,
        watchers: usize,
        peers: &LeasePeers<'_>,
        rng: &mut impl Rng,
    ) -> Vec<LeaseQuery> {
        if !self.is_due(now) {
            return Vec::new();
        }
        let is_valid = age < self.settings.duration();
        let interval = if age.is_some() && is_valid {
            self.settings.query_interval()
        } else {
            URGENT_INTERVAL
        };
        self.next_query_at = now + interval;
        self.pending.retain(|_, sent_at| now.since(*sent_at) < QUERY_TIMEOUT);
        let near = || peers.before.iter().chain(&peers.after).copied();
        let mut recipients: Vec<&Vm> = self.parent(watchers, peers).into_iter().collect();
        let age = age.unwrap_or(Duration::MAX);
        if age >= self.settings.late_age() {
            recipients.extend(near().sample(rng, LATE_NEAR_VMS));
            recipients.extend(peers.far.iter().copied().sample(rng, LATE_FAR_VMS));
        } else if age >= self.settings.slow_age() {
            recipients.extend(near().choose(rng));
        }
        recipients.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        recipients.dedup_by(|a, b| a.name == b.name);
        recipients.into_iter().map(|vm| self.query(now, vm)).collect()
    }

    /// Returns the confirmation in an answer, which is counted from when its query was sent.
    pub fn on_answer(&mut self, sequence: u32, version: u64, age_us: u64) -> Option<Confirmation> {
        let sent_at = self.pending.remove(&sequence)?;
        Some(Confirmation { version, at: sent_at.before(Duration::from_micros(age_us)) })
    }

    fn query(&mut self, now: Time, vm: &Vm) -> LeaseQuery {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.pending.insert(self.next_sequence, now);
        LeaseQuery { vm: vm.clone(), sequence: self.next_sequence }
    }

    fn parent<'a>(&self, watchers: usize, peers: &LeasePeers<'a>) -> Option<&'a Vm> {
        let rank = peers.before.len();
        let below_root = rank.checked_sub(watchers)?;
        peers.before.get(below_root / self.settings.fanout as usize).copied()
    }
}
