//! Quarantine of requests that crash the endpoints that run them.
//!
//! Every request in flight at an endpoint that crashes becomes suspected. VMs exchange their
//! crash counts, and a request is held back once enough endpoints have crashed while running
//! it. A complete answer clears a request. A held request is retried by one VM at a time, with
//! a growing delay, so that it is served again once it no longer crashes endpoints.

mod record;
mod settings;
mod update;

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rustc_hash::FxHashMap;

use self::record::Record;
pub use self::{settings::QuarantineSettings, update::CrashUpdate};
use crate::{
    admin::QuarantineStatus, fingerprint::Fingerprint, name::Name, shard::EndpointKey, time::Time,
};

/// Maximum number of updates in one datagram: an update takes about 80 of the 1,200 bytes.
pub const MAX_UPDATES_PER_DATAGRAM: usize = 12;

/// Decision on a request that is about to be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchDecision {
    /// The request is sent.
    Send,
    /// The request is sent as a trial; no other VM may send it until the trial has failed.
    Trial,
    /// The request is held back.
    Held {
        /// Time until the next trial.
        retry_after: Duration,
    },
}

/// Change of a request's quarantine state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// Endpoints crashed while running it, fewer than [`QuarantineSettings::max_crashes`].
    Suspected {
        /// Number of crashes.
        crashes: u32,
    },
    /// It is held back from now on, or still is after another crash.
    Held {
        /// Number of crashes.
        crashes: u32,
    },
    /// It got a complete answer and is no longer suspected.
    Cleared,
}

/// Updates to send to other VMs in one datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateBatch {
    /// For all VMs that dispatch requests of a service.
    ForDispatchers {
        /// The service.
        service: Name,
        /// The updates.
        updates: Vec<CrashUpdate>,
    },
    /// For randomly chosen VMs of the fleet.
    ForRandomVms {
        /// Number of VMs.
        count: usize,
        /// The updates.
        updates: Vec<CrashUpdate>,
    },
}

/// Crash records of requests, as known to this VM.
#[derive(Clone, Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    records: FxHashMap<Fingerprint, Record>,
    gossip_round: u64,
    rng: Pcg32,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new(settings: QuarantineSettings, seed: u64) -> Quarantine {
        let rng = Pcg32::seed_from_u64(seed);
        Quarantine { settings, records: FxHashMap::default(), gossip_round: 0, rng }
    }

    /// Returns whether there is no record of any request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether a request is suspected or held back.
    pub fn is_tracked(&self, request: Fingerprint) -> bool {
        self.records.get(&request).is_some_and(Record::has_crashes)
    }

    /// Returns the time until the next trial of a request that has just arrived, if it is held
    /// back until then.
    pub fn remaining_hold(&mut self, now: Time, request: Fingerprint) -> Option<Duration> {
        let record = self.records.get(&request)?;
        let retry_at = record.retry_at(&self.settings)?;
        (now < retry_at).then(|| self.retry_after(now, retry_at))
    }

    /// Decides whether a request may be sent to an endpoint; `may_run_trial` is set on the VM
    /// that is responsible for trials of the request.
    pub fn admit(
        &mut self,
        now: Time,
        request: Fingerprint,
        may_run_trial: bool,
    ) -> DispatchDecision {
        let Some(record) = self.records.get_mut(&request) else { return DispatchDecision::Send };
        let Some(retry_at) = record.retry_at(&self.settings) else { return DispatchDecision::Send };
        if may_run_trial && now >= retry_at {
            record.on_trial(now, &self.settings);
            return DispatchDecision::Trial;
        }
        DispatchDecision::Held { retry_after: self.retry_after(now, retry_at) }
    }

    /// Records that `endpoint` crashed while running a request of `service`.
    pub fn on_crash(
        &mut self,
        now: Time,
        request: Fingerprint,
        service: &Name,
        endpoint: EndpointKey,
    ) -> Option<QuarantineChange> {
        self.evict_for(request);
        let record = self.records.entry(request).or_insert_with(|| Record::new(now));
        let is_new = record.on_crash(now, service, endpoint, &self.settings);
        is_new.then(|| record.change(&self.settings))
    }

    /// Records that a request of `service` got a complete answer.
    pub fn on_answered(
        &mut self,
        now: Time,
        request: Fingerprint,
        service: &Name,
    ) -> Option<QuarantineChange> {
        let record = self.records.get_mut(&request).filter(|record| record.has_crashes())?;
        record.clear(now, service, &self.settings);
        Some(QuarantineChange::Cleared)
    }

    /// Merges another VM's update; returns the resulting change, and the newer state to send
    /// back if the other VM's state is outdated.
    pub fn on_update(
        &mut self,
        now: Time,
        update: &CrashUpdate,
    ) -> (Option<QuarantineChange>, Option<CrashUpdate>) {
        let request = update.request;
        if !self.records.contains_key(&request) && update.crashes.is_empty() {
            return (None, None);
        }
        self.evict_for(request);
        let record = self.records.entry(request).or_insert_with(|| Record::new(now));
        if record.is_newer_than(update) {
            return (None, Some(record.to_update(request)));
        }
        let was_tracked = record.has_crashes();
        let has_changed = record.merge(now, update, &self.settings);
        let change = match record.has_crashes() {
            true => Some(record.change(&self.settings)),
            false => was_tracked.then_some(QuarantineChange::Cleared),
        };
        (change.filter(|_| has_changed), None)
    }

    /// Removes expired records and returns the updates to send in this gossip round.
    pub fn on_gossip_round(&mut self, now: Time) -> Vec<UpdateBatch> {
        self.gossip_round += 1;
        let settings = &self.settings;
        self.records.retain(|_, record| !record.is_expired(now, settings));
        let mut batches = self.dispatcher_batches();
        let is_slow_round = self.gossip_round.is_multiple_of(u64::from(self.settings.slow_rounds));
        let recent = self.fleet_updates();
        let count = self.settings.fanout;
        batches.extend(
            datagram_chunks(recent).map(|updates| UpdateBatch::ForRandomVms { count, updates }),
        );
        if is_slow_round {
            let held = self.records.iter().filter(|(_, record)| record.is_held(&self.settings));
            let updates = held.map(|(request, record)| record.to_update(*request)).collect();
            batches.extend(
                datagram_chunks(updates)
                    .map(|updates| UpdateBatch::ForRandomVms { count: 1, updates }),
            );
        }
        batches
    }

    /// Returns updates with the state of all records.
    pub fn updates(&self) -> Vec<CrashUpdate> {
        self.records.iter().map(|(request, record)| record.to_update(*request)).collect()
    }

    /// Returns the records for the admin port.
    pub fn statuses(&self, now: Time) -> Vec<QuarantineStatus> {
        let mut statuses: Vec<QuarantineStatus> = self
            .records
            .iter()
            .filter(|(_, record)| record.has_crashes())
            .map(|(request, record)| record.status(now, *request, &self.settings))
            .collect();
        statuses.sort_by(|a, b| (b.crashes, &a.request).cmp(&(a.crashes, &b.request)));
        statuses
    }

    fn dispatcher_batches(&mut self) -> Vec<UpdateBatch> {
        let mut by_service: FxHashMap<Name, Vec<CrashUpdate>> = FxHashMap::default();
        let suspected = self.records.iter_mut().filter(|(_, record)| !record.is_fleet_wide());
        for (request, record) in suspected {
            let Some(service) = record.service().cloned() else { continue };
            if record.take_gossip_round() {
                by_service.entry(service).or_default().push(record.to_update(*request));
            }
        }
        let batches = by_service.into_iter().flat_map(|(service, updates)| {
            datagram_chunks(updates).map(move |updates| UpdateBatch::ForDispatchers {
                service: service.clone(),
                updates,
            })
        });
        batches.collect()
    }

    fn fleet_updates(&mut self) -> Vec<CrashUpdate> {
        let due = self.records.iter_mut().filter_map(|(request, record)| {
            (record.is_fleet_wide() && record.take_gossip_round())
                .then(|| record.to_update(*request))
        });
        due.collect()
    }

    /// Returns the time for the caller to wait, with random jitter so that callers don't retry
    /// at the same moment.
    fn retry_after(&mut self, now: Time, retry_at: Time) -> Duration {
        let min_wait = Duration::from_millis(self.settings.min_retry_after_ms);
        let wait = retry_at.since(now).max(min_wait);
        wait + wait.mul_f64(self.rng.random::<f64>() / 2.0)
    }

    /// Evicts a record if there is no room for one of `request`: one that isn't held before
    /// one that is, then the least recently changed.
    fn evict_for(&mut self, request: Fingerprint) {
        if self.records.len() < self.settings.max_records || self.records.contains_key(&request) {
            return;
        }
        let settings = &self.settings;
        let priority = |record: &Record| (record.is_held(settings), record.changed_at());
        let lowest =
            self.records.iter().min_by_key(|(request, record)| (priority(record), **request));
        if let Some(request) = lowest.map(|(request, _)| *request) {
            self.records.remove(&request);
        }
    }
}

/// Splits updates into chunks that fit into one datagram each.
fn datagram_chunks(updates: Vec<CrashUpdate>) -> impl Iterator<Item = Vec<CrashUpdate>> {
    let chunks: Vec<Vec<CrashUpdate>> =
        updates.chunks(MAX_UPDATES_PER_DATAGRAM).map(<[CrashUpdate]>::to_vec).collect();
    chunks.into_iter()
}
