//! Requests that crash the endpoints that run them, and are held back.
//!
//! A request whose endpoint ended while it ran is a suspect; so is all else that ran there.
//! VMs add up what they see, and hold a request back once several endpoints have ended under
//! it. A whole answer clears a request. One that is held back is tried again now and then, by
//! one VM at a time and each time later, so that it is served once it does no harm any more.

mod note;
mod record;
mod settings;

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rustc_hash::FxHashMap;

use self::record::Record;
pub use self::{note::CrashNote, settings::QuarantineSettings};
use crate::{
    admin::QuarantineStatus, fingerprint::Fingerprint, name::Name, shard::EndpointKey, time::Time,
};

/// Most records in one datagram: each takes some 80 bytes of the 1,200 that one may have.
pub const MAX_NOTES: usize = 12;

/// What becomes of a request that is about to be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is sent.
    Send,
    /// It is sent as a trial; no other VM may send it until that has failed.
    Trial,
    /// It is held back.
    Held {
        /// Time until it is tried again.
        retry_after: Duration,
    },
}

/// What changed about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Endpoints ended under it, fewer than it takes to hold it back.
    Suspected {
        /// How many.
        crashes: u32,
    },
    /// It is held back from now on, or goes on to be after another crash.
    Held {
        /// Endpoints that ended under it.
        crashes: u32,
    },
    /// It brought a whole answer, and is like any other again.
    Cleared,
}

/// Notes that other VMs have to be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Telling {
    /// For all VMs that dispatch for a service.
    Dispatchers {
        /// The service.
        service: Name,
        /// What they are told.
        notes: Vec<CrashNote>,
    },
    /// For some VMs of the fleet, whichever.
    Some {
        /// How many.
        vms: usize,
        /// What they are told.
        notes: Vec<CrashNote>,
    },
}

/// What this VM knows of requests that crash endpoints.
#[derive(Clone, Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    records: FxHashMap<Fingerprint, Record>,
    round: u64,
    rng: Pcg32,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new(settings: QuarantineSettings, seed: u64) -> Quarantine {
        let rng = Pcg32::seed_from_u64(seed);
        Quarantine { settings, records: FxHashMap::default(), round: 0, rng }
    }

    /// Returns whether no request is suspected or held back.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether a request is suspected or held back.
    pub fn knows(&self, request: Fingerprint) -> bool {
        self.records.get(&request).is_some_and(Record::has_crashes)
    }

    /// Returns how long a request that has just come is held back, if it is: until its next
    /// trial.
    pub fn held_for(&mut self, now: Time, request: Fingerprint) -> Option<Duration> {
        let record = self.records.get(&request)?;
        let retry_at = record.retry_at(&self.settings)?;
        (now < retry_at).then(|| self.retry_after(now, retry_at))
    }

    /// Decides about a request that is about to be sent to an endpoint; `may_try` says
    /// whether trials of it are up to this VM.
    pub fn admit(&mut self, now: Time, request: Fingerprint, may_try: bool) -> Admission {
        let Some(record) = self.records.get_mut(&request) else { return Admission::Send };
        let Some(retry_at) = record.retry_at(&self.settings) else { return Admission::Send };
        if may_try && now >= retry_at {
            record.on_trial(now, &self.settings);
            return Admission::Trial;
        }
        Admission::Held { retry_after: self.retry_after(now, retry_at) }
    }

    /// Notes that `endpoint` ended while it ran a request of `service`.
    pub fn on_crash(
        &mut self,
        now: Time,
        request: Fingerprint,
        service: &Name,
        endpoint: EndpointKey,
    ) -> Option<Change> {
        self.make_room(request);
        let record = self.records.entry(request).or_insert_with(|| Record::new(now));
        let is_new = record.on_crash(now, service, endpoint, &self.settings);
        is_new.then(|| record.change(&self.settings))
    }

    /// Notes that a request of `service` brought a whole answer.
    pub fn on_answered(
        &mut self,
        now: Time,
        request: Fingerprint,
        service: &Name,
    ) -> Option<Change> {
        let record = self.records.get_mut(&request).filter(|record| record.has_crashes())?;
        record.clear(now, service, &self.settings);
        Some(Change::Cleared)
    }

    /// Takes what another VM knows of a request; returns what changed here, and what the
    /// other VM lacks, if it is behind.
    pub fn on_note(&mut self, now: Time, note: &CrashNote) -> (Option<Change>, Option<CrashNote>) {
        let request = note.request;
        if !self.records.contains_key(&request) && note.crashes.is_empty() {
            return (None, None);
        }
        self.make_room(request);
        let record = self.records.entry(request).or_insert_with(|| Record::new(now));
        if record.is_ahead_of(note) {
            return (None, Some(record.note(request)));
        }
        let was = record.has_crashes();
        let has_changed = record.merge(now, note, &self.settings);
        let change = match record.has_crashes() {
            true => Some(record.change(&self.settings)),
            false => was.then_some(Change::Cleared),
        };
        (change.filter(|_| has_changed), None)
    }

    /// Forgets what is old and returns what other VMs have to be told in this round.
    pub fn on_round(&mut self, now: Time) -> Vec<Telling> {
        self.round += 1;
        let settings = &self.settings;
        self.records.retain(|_, record| !record.is_old(now, settings));
        let mut tellings = self.tell_dispatchers();
        let is_slow_round = self.round.is_multiple_of(u64::from(self.settings.slow_rounds));
        let fast = self.notes_for_fleet();
        let vms = self.settings.fanout;
        tellings.extend(parts(fast).map(|notes| Telling::Some { vms, notes }));
        if is_slow_round {
            let held = self.records.iter().filter(|(_, record)| record.is_held(&self.settings));
            let notes = held.map(|(request, record)| record.note(*request)).collect();
            tellings.extend(parts(notes).map(|notes| Telling::Some { vms: 1, notes }));
        }
        tellings
    }

    /// Returns all that is known, as other VMs are told.
    pub fn notes(&self) -> Vec<CrashNote> {
        self.records.iter().map(|(request, record)| record.note(*request)).collect()
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

    fn tell_dispatchers(&mut self) -> Vec<Telling> {
        let mut by_service: FxHashMap<Name, Vec<CrashNote>> = FxHashMap::default();
        let suspected = self.records.iter_mut().filter(|(_, record)| !record.is_for_fleet());
        for (request, record) in suspected {
            let Some(service) = record.service().cloned() else { continue };
            if record.take_round() {
                by_service.entry(service).or_default().push(record.note(*request));
            }
        }
        let told = by_service.into_iter().flat_map(|(service, notes)| {
            parts(notes).map(move |notes| Telling::Dispatchers { service: service.clone(), notes })
        });
        told.collect()
    }

    fn notes_for_fleet(&mut self) -> Vec<CrashNote> {
        let due = self.records.iter_mut().filter_map(|(request, record)| {
            (record.is_for_fleet() && record.take_round()).then(|| record.note(*request))
        });
        due.collect()
    }

    /// Returns the time that a caller is asked to wait, which spreads the callers.
    fn retry_after(&mut self, now: Time, retry_at: Time) -> Duration {
        let least = Duration::from_millis(self.settings.min_retry_after_ms);
        let wait = retry_at.since(now).max(least);
        wait + wait.mul_f64(self.rng.random::<f64>() / 2.0)
    }

    /// Forgets the record that matters least if there is no room for one more.
    fn make_room(&mut self, request: Fingerprint) {
        if self.records.len() < self.settings.max_records || self.records.contains_key(&request) {
            return;
        }
        let settings = &self.settings;
        let rank = |record: &Record| (record.is_held(settings), record.changed());
        let least = self.records.iter().min_by_key(|(request, record)| (rank(record), **request));
        if let Some(request) = least.map(|(request, _)| *request) {
            self.records.remove(&request);
        }
    }
}

/// Cuts notes into parts that fit into a datagram each.
fn parts(notes: Vec<CrashNote>) -> impl Iterator<Item = Vec<CrashNote>> {
    let parts: Vec<Vec<CrashNote>> = notes.chunks(MAX_NOTES).map(<[CrashNote]>::to_vec).collect();
    parts.into_iter()
}
