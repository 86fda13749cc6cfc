//! What is kept when the registry has been restored from an older copy.
//!
//! A restored registry lacks its last writes until operators and endpoints repeat them. What was
//! in force stays so meanwhile: a newer operators' part, endpoints that aren't listed yet, and
//! that others have left.

use std::{collections::BTreeMap, time::Duration};

use super::{OperatorConfig, Registration, RegistryPosition, RegistryView};
use crate::{config::Config, name::Name, time::Time};

/// Time after which writes that a restored registry lacks, and that haven't been repeated, are
/// taken as withdrawn.
pub const RESTORE_HOLD: Duration = Duration::from_secs(10);
/// Time for which endpoints that have left are remembered: the age of a copy, and the time until
/// their registrations in it expire.
const REMOVED_MEMORY: Duration = Duration::from_secs(60);

/// What this VM knows from before the registry was restored.
#[derive(Clone, Debug, Default)]
pub(super) struct Restore {
    /// Until when the registry may lack writes that will be repeated.
    until: Option<Time>,
    /// The registry's operators' part while a newer one, which it has lost, stays in force.
    stored_operators: Option<Box<OperatorConfig>>,
    /// Endpoints that have left, by their keys.
    removed: BTreeMap<Name, Removed>,
}

#[derive(Clone, Debug)]
struct Removed {
    registration: Registration,
    at: Time,
}

impl Restore {
    /// Returns whether an operators' part stays in force that the registry has lost.
    pub(super) fn is_holding(&self) -> bool {
        self.stored_operators.is_some()
    }

    fn is_active(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Records that an endpoint has left.
    pub(super) fn record_removed(&mut self, now: Time, registration: &Registration) {
        self.removed.retain(|_, removed| now.since(removed.at) < REMOVED_MEMORY);
        let removed = Removed { registration: registration.clone(), at: now };
        self.removed.insert(registration.key.clone(), removed);
    }

    /// Returns whether a registration in a restored registry is older than what is known of the
    /// endpoint: that it is leaving, or has left.
    pub(super) fn is_outdated(
        &self,
        now: Time,
        known: Option<&Registration>,
        registration: &Registration,
    ) -> bool {
        if !self.is_active(now) {
            return false;
        }
        let left = self.removed.get(&registration.key).map(|removed| &removed.registration);
        let outdates = |known: &Registration| {
            known.endpoint.name == registration.endpoint.name
                && (known.sequence == 0 || registration.sequence <= known.sequence)
        };
        let is_leaving = |known: &&Registration| known.endpoint.leaving;
        match known.filter(is_leaving) {
            Some(known) => !registration.endpoint.leaving && outdates(known),
            None => known.is_none() && left.is_some_and(outdates),
        }
    }
}

impl RegistryView {
    /// Begins an era: the registry has been restored. All of the former era's revisions are
    /// lower than those of the new one, whatever their numbers.
    pub(super) fn begin_era(&mut self, now: Time, era: u64) {
        let has_content = self.operators.is_some() || !self.entries.is_empty();
        self.position = RegistryPosition { era, revision: 0 };
        self.incomplete_until = None;
        if has_content {
            self.restore.until = Some(now + RESTORE_HOLD);
            self.outages.on_replaced(now);
        }
    }

    /// Applies an operators' part of the registry, unless it is older than one that the registry
    /// has lost.
    pub(super) fn set_operators(&mut self, now: Time, operators: OperatorConfig) {
        let held = self.operators.as_ref().and_then(OperatorConfig::version);
        if self.restore.is_active(now) && operators.version().is_some_and(|it| Some(it) < held) {
            self.restore.stored_operators = Some(Box::new(operators));
        } else {
            self.restore.stored_operators = None;
            self.operators = Some(operators);
        }
    }

    /// Applies the registry's operators' part if the one that it lacks hasn't been repeated in
    /// time; otherwise returns when that time ends.
    pub(super) fn end_hold(&mut self, now: Time) -> Option<Time> {
        if !self.restore.is_active(now)
            && let Some(stored) = self.restore.stored_operators.take()
        {
            self.operators = Some(*stored);
        }
        self.restore.until.filter(|_| self.restore.is_holding())
    }

    /// Takes over what a configuration of an earlier era has and the restored registry, which is
    /// all that this VM has read, may lack.
    pub(super) fn carry_over(&mut self, now: Time, config: &Config) {
        let read = self.operators.as_ref().and_then(OperatorConfig::version);
        let Some(read) = read else { return };
        if config.operators_version.is_none_or(|earlier| earlier <= read) {
            return;
        }
        self.restore.until.get_or_insert(now + RESTORE_HOLD);
        if self.restore.is_active(now) {
            let stored = self.operators.take();
            self.operators = Some(OperatorConfig::from_config(config, stored.clone()));
            self.restore.stored_operators = stored.map(Box::new);
        }
    }
}
