//! Crash record of one request.

use std::time::Duration;

use super::{CrashUpdate, QuarantineChange, QuarantineSettings};
use crate::{
    admin::QuarantineStatus, fingerprint::Fingerprint, name::Name, shard::EndpointKey, time::Time,
};

/// Maximum number of endpoints kept per request; a request that crashed more is held anyway.
const MAX_ENDPOINTS: usize = 8;

/// Crashes of one endpoint under a request.
#[derive(Clone, Copy, Debug)]
struct EndpointCrashes {
    endpoint: EndpointKey,
    count: u8,
    /// Time at which this VM learned of the last of them.
    learned_at: Time,
}

/// Crash record of one request.
#[derive(Clone, Debug)]
pub(super) struct Record {
    generation: u32,
    crashes: Vec<EndpointCrashes>,
    trials: u8,
    /// Service of the crashes that this VM observed itself.
    service: Option<Name>,
    /// Time of the last change.
    changed_at: Time,
    /// Whether it was ever held back; all VMs may have a record of it then.
    was_ever_held: bool,
    gossip_rounds_left: u32,
}

impl Record {
    pub(super) fn new(now: Time) -> Record {
        Record {
            generation: 0,
            crashes: Vec::new(),
            trials: 0,
            service: None,
            changed_at: now,
            was_ever_held: false,
            gossip_rounds_left: 0,
        }
    }

    pub(super) fn has_crashes(&self) -> bool {
        !self.crashes.is_empty()
    }

    pub(super) fn changed_at(&self) -> Time {
        self.changed_at
    }

    pub(super) fn service(&self) -> Option<&Name> {
        self.service.as_ref()
    }

    pub(super) fn is_held(&self, settings: &QuarantineSettings) -> bool {
        self.crash_count() >= settings.max_crashes
    }

    /// Returns the time of the next trial of a held request.
    pub(super) fn retry_at(&self, settings: &QuarantineSettings) -> Option<Time> {
        let backoff = settings.trial_factor.saturating_pow(u32::from(self.trials));
        let wait = Duration::from_millis(settings.first_trial_ms).saturating_mul(backoff);
        self.is_held(settings).then(|| self.changed_at + wait)
    }

    pub(super) fn is_expired(&self, now: Time, settings: &QuarantineSettings) -> bool {
        let max_age_ms = match self.is_held(settings) {
            true => settings.forget_ms,
            false => settings.suspect_ms,
        };
        now.since(self.changed_at) >= Duration::from_millis(max_age_ms)
    }

    /// Records a crash; returns whether it is a new one.
    pub(super) fn on_crash(
        &mut self,
        now: Time,
        service: &Name,
        endpoint: EndpointKey,
        settings: &QuarantineSettings,
    ) -> bool {
        self.service = Some(service.clone());
        let same_crash = Duration::from_millis(settings.same_crash_ms);
        let known = self.crashes.iter().find(|known| known.endpoint == endpoint);
        if known.is_some_and(|known| now.since(known.learned_at) < same_crash) {
            return false;
        }
        let count = known.map_or(0, |known| known.count).saturating_add(1);
        let is_new = self.raise_count(now, endpoint, count);
        if is_new {
            self.on_change(now, settings);
        }
        is_new
    }

    /// Records the start of a trial.
    pub(super) fn on_trial(&mut self, now: Time, settings: &QuarantineSettings) {
        self.trials = self.trials.saturating_add(1);
        self.on_change(now, settings);
    }

    /// Removes all crashes and starts a new generation.
    pub(super) fn clear(&mut self, now: Time, service: &Name, settings: &QuarantineSettings) {
        self.service = Some(service.clone());
        self.generation += 1;
        self.crashes.clear();
        self.trials = 0;
        self.on_change(now, settings);
    }

    /// Returns whether the request was cleared here since the state in `update`.
    pub(super) fn is_newer_than(&self, update: &CrashUpdate) -> bool {
        self.generation > update.generation
    }

    /// Merges the state of another VM; returns whether anything changed.
    pub(super) fn merge(
        &mut self,
        now: Time,
        update: &CrashUpdate,
        settings: &QuarantineSettings,
    ) -> bool {
        let is_cleared = update.generation > self.generation;
        if is_cleared {
            self.generation = update.generation;
            self.crashes.clear();
            self.trials = 0;
        }
        let mut is_new = is_cleared;
        for (endpoint, count) in &update.crashes {
            is_new |= self.raise_count(now, *endpoint, *count);
        }
        if update.trials > self.trials {
            self.trials = update.trials;
            is_new = true;
        }
        if is_new {
            self.on_change(now, settings);
        }
        is_new
    }

    pub(super) fn to_update(&self, request: Fingerprint) -> CrashUpdate {
        let crashes = self.crashes.iter().map(|known| (known.endpoint, known.count)).collect();
        CrashUpdate { request, generation: self.generation, crashes, trials: self.trials }
    }

    /// Returns whether updates go to all VMs, as a held request may arrive at any of them.
    /// Before it is held, only the dispatchers of the service exchange their crash counts.
    pub(super) fn is_fleet_wide(&self) -> bool {
        self.was_ever_held
    }

    /// Uses up one gossip round; returns whether an update is due in it.
    pub(super) fn take_gossip_round(&mut self) -> bool {
        let is_due = self.gossip_rounds_left > 0;
        self.gossip_rounds_left = self.gossip_rounds_left.saturating_sub(1);
        is_due
    }

    pub(super) fn change(&self, settings: &QuarantineSettings) -> QuarantineChange {
        let crashes = self.crash_count();
        match self.is_held(settings) {
            true => QuarantineChange::Held { crashes },
            false => QuarantineChange::Suspected { crashes },
        }
    }

    pub(super) fn status(
        &self,
        now: Time,
        request: Fingerprint,
        settings: &QuarantineSettings,
    ) -> QuarantineStatus {
        let retry_at = self.retry_at(settings);
        QuarantineStatus {
            request: Name::from(request.to_string()),
            state: Name::from(if retry_at.is_some() { "held" } else { "suspected" }),
            crashes: self.crash_count(),
            trials: u32::from(self.trials),
            retry_after_ms: retry_at.map(|at| at.since(now).as_millis() as u64),
        }
    }

    fn crash_count(&self) -> u32 {
        self.crashes.iter().map(|known| u32::from(known.count)).sum()
    }

    /// Raises the crash count of an endpoint to `count`; returns whether it was lower.
    fn raise_count(&mut self, now: Time, endpoint: EndpointKey, count: u8) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|known| known.endpoint == endpoint) {
            let is_higher = count > known.count;
            if is_higher {
                (known.count, known.learned_at) = (count, now);
            }
            return is_higher;
        }
        if self.crashes.len() >= MAX_ENDPOINTS {
            return false;
        }
        self.crashes.push(EndpointCrashes { endpoint, count, learned_at: now });
        true
    }

    fn on_change(&mut self, now: Time, settings: &QuarantineSettings) {
        self.changed_at = now;
        self.was_ever_held |= self.is_held(settings);
        self.gossip_rounds_left = settings.fast_rounds;
    }
}
