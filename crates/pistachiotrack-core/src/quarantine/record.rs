//! What is known of one request.

use std::time::Duration;

use super::{Change, CrashNote, QuarantineSettings};
use crate::{
    admin::QuarantineStatus, fingerprint::Fingerprint, name::Name, shard::EndpointKey, time::Time,
};

/// Endpoints that are remembered of a request; one that crashed more is held back anyway.
const MAX_ENDPOINTS: usize = 8;

/// Crashes of one endpoint under a request.
#[derive(Clone, Copy, Debug)]
struct EndpointCrashes {
    endpoint: EndpointKey,
    count: u8,
    /// Moment at which this VM learned of the last of them.
    learned: Time,
}

/// What is known of one request.
#[derive(Clone, Debug)]
pub(super) struct Record {
    generation: u32,
    crashes: Vec<EndpointCrashes>,
    trials: u8,
    /// Service of the crashes that this VM saw itself.
    service: Option<Name>,
    /// Moment of the last change.
    changed: Time,
    /// Whether it was ever held back, so that all VMs may know of it.
    was_held: bool,
    rounds_left: u32,
}

impl Record {
    pub(super) fn new(now: Time) -> Record {
        Record {
            generation: 0,
            crashes: Vec::new(),
            trials: 0,
            service: None,
            changed: now,
            was_held: false,
            rounds_left: 0,
        }
    }

    pub(super) fn has_crashes(&self) -> bool {
        !self.crashes.is_empty()
    }

    pub(super) fn changed(&self) -> Time {
        self.changed
    }

    pub(super) fn service(&self) -> Option<&Name> {
        self.service.as_ref()
    }

    pub(super) fn is_held(&self, settings: &QuarantineSettings) -> bool {
        self.crash_count() >= settings.max_crashes
    }

    /// Returns when a request that is held back may be tried again.
    pub(super) fn retry_at(&self, settings: &QuarantineSettings) -> Option<Time> {
        let longer = settings.trial_factor.saturating_pow(u32::from(self.trials));
        let wait = Duration::from_millis(settings.first_trial_ms).saturating_mul(longer);
        self.is_held(settings).then(|| self.changed + wait)
    }

    pub(super) fn is_old(&self, now: Time, settings: &QuarantineSettings) -> bool {
        let kept_ms = match self.is_held(settings) {
            true => settings.forget_ms,
            false => settings.suspect_ms,
        };
        now.since(self.changed) >= Duration::from_millis(kept_ms)
    }

    /// Notes a crash; returns whether it is a new one.
    pub(super) fn on_crash(
        &mut self,
        now: Time,
        service: &Name,
        endpoint: EndpointKey,
        settings: &QuarantineSettings,
    ) -> bool {
        self.service = Some(service.clone());
        let same = Duration::from_millis(settings.same_crash_ms);
        let known = self.crashes.iter().find(|known| known.endpoint == endpoint);
        if known.is_some_and(|known| now.since(known.learned) < same) {
            return false;
        }
        let count = known.map_or(0, |known| known.count).saturating_add(1);
        let is_new = self.raise(now, endpoint, count);
        if is_new {
            self.on_change(now, settings);
        }
        is_new
    }

    /// Notes that the request is tried again.
    pub(super) fn on_trial(&mut self, now: Time, settings: &QuarantineSettings) {
        self.trials = self.trials.saturating_add(1);
        self.on_change(now, settings);
    }

    /// Forgets all crashes.
    pub(super) fn clear(&mut self, now: Time, service: &Name, settings: &QuarantineSettings) {
        self.service = Some(service.clone());
        self.generation += 1;
        self.crashes.clear();
        self.trials = 0;
        self.on_change(now, settings);
    }

    /// Returns whether `note` is older than a clearance known here.
    pub(super) fn is_ahead_of(&self, note: &CrashNote) -> bool {
        self.generation > note.generation
    }

    /// Takes what another VM knows; returns whether it was news.
    pub(super) fn merge(
        &mut self,
        now: Time,
        note: &CrashNote,
        settings: &QuarantineSettings,
    ) -> bool {
        let is_cleared = note.generation > self.generation;
        if is_cleared {
            self.generation = note.generation;
            self.crashes.clear();
            self.trials = 0;
        }
        let mut is_news = is_cleared;
        for (endpoint, count) in &note.crashes {
            is_news |= self.raise(now, *endpoint, *count);
        }
        if note.trials > self.trials {
            self.trials = note.trials;
            is_news = true;
        }
        if is_news {
            self.on_change(now, settings);
        }
        is_news
    }

    pub(super) fn note(&self, request: Fingerprint) -> CrashNote {
        let crashes = self.crashes.iter().map(|known| (known.endpoint, known.count)).collect();
        CrashNote { request, generation: self.generation, crashes, trials: self.trials }
    }

    /// Returns whether all VMs are told of it, as the request may come to any. Before, those
    /// that dispatch for the service add up what each of them sees.
    pub(super) fn is_for_fleet(&self) -> bool {
        self.was_held
    }

    /// Returns whether other VMs are to be told in this round.
    pub(super) fn take_round(&mut self) -> bool {
        let is_due = self.rounds_left > 0;
        self.rounds_left = self.rounds_left.saturating_sub(1);
        is_due
    }

    pub(super) fn change(&self, settings: &QuarantineSettings) -> Change {
        let crashes = self.crash_count();
        match self.is_held(settings) {
            true => Change::Held { crashes },
            false => Change::Suspected { crashes },
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

    /// Takes that an endpoint crashed so often; returns whether that is more than known.
    fn raise(&mut self, now: Time, endpoint: EndpointKey, count: u8) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|known| known.endpoint == endpoint) {
            let is_more = count > known.count;
            if is_more {
                (known.count, known.learned) = (count, now);
            }
            return is_more;
        }
        if self.crashes.len() >= MAX_ENDPOINTS {
            return false;
        }
        self.crashes.push(EndpointCrashes { endpoint, count, learned: now });
        true
    }

    fn on_change(&mut self, now: Time, settings: &QuarantineSettings) {
        self.changed = now;
        self.was_held |= self.is_held(settings);
        self.rounds_left = settings.fast_rounds;
    }
}
