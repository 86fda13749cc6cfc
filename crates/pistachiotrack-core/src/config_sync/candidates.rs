//! Handling of configurations offered by the platform or a peer: each is compared with
//! the active one and then activated, held for a short time, or rejected.

use std::time::Duration;

use super::{
    ConfigAction, ConfigSync, FirstValue, RejectedValue,
    restore::is_of_earlier_era,
    store::{ConfigCandidate, VersionComparison},
};
use crate::{
    config::{Config, ConfigError, ContentHash, MAX_ENCODED_BYTES},
    name::Name,
    time::Time,
};

impl ConfigSync {
    pub(super) fn take_peer_candidate(
        &mut self,
        now: Time,
        peer: &Name,
        candidate: ConfigCandidate,
    ) -> Vec<ConfigAction> {
        let source = format!("peer {peer}");
        let (version, fingerprint) = (candidate.config.version, candidate.summary.hash);
        if let Some(error) = self.validate(&source, &candidate) {
            self.pull_client.back_off_unusable(now, peer, &mut self.rng);
            self.pull_client.back_off_version(now, version);
            return self.reject(now, Some(version), fingerprint, error);
        }
        let actions = self.apply_candidate(now, &source, candidate);
        if actions.iter().any(|action| matches!(action, ConfigAction::Activate(_))) {
            self.platform_schedule.on_peer_version(now);
        } else {
            self.pull_client.back_off_unusable(now, peer, &mut self.rng);
        }
        actions
    }

    pub(super) fn take_platform_value(&mut self, now: Time, value: &[u8]) -> Vec<ConfigAction> {
        let fingerprint = ContentHash::of_bytes(value);
        if self.extend_rejection(now, fingerprint) {
            return Vec::new();
        }
        let parsed = Config::parse("platform", value);
        let config = match parsed {
            Ok(config) => config,
            Err(error) => return self.reject(now, version_of(value), fingerprint, error),
        };
        let Some(candidate) = ConfigCandidate::new(config) else { return Vec::new() };
        self.take_platform_candidate(now, fingerprint, candidate)
    }

    /// Returns whether the value was rejected before. If so, extends the time for
    /// which it isn't read again.
    pub(super) fn extend_rejection(&mut self, now: Time, fingerprint: ContentHash) -> bool {
        let known = self.rejected.as_mut().filter(|known| known.fingerprint == fingerprint);
        let Some(known) = known else { return false };
        known.hold_until = now + Duration::from_millis(self.settings.rejected_hold_ms);
        true
    }

    pub(super) fn take_platform_candidate(
        &mut self,
        now: Time,
        fingerprint: ContentHash,
        candidate: ConfigCandidate,
    ) -> Vec<ConfigAction> {
        if let Some(error) = self.validate("platform", &candidate) {
            return self.reject(now, Some(candidate.config.version), fingerprint, error);
        }
        if self.version().is_some() {
            return self.apply_candidate(now, "platform", candidate);
        }
        let grace = Duration::from_millis(self.settings.first_value_grace_ms);
        let until = self.first_value.as_ref().map_or(now + grace, |first| first.until);
        self.first_value = Some(FirstValue { candidate, until });
        self.activate_first_value(now)
    }

    /// Returns the version of the platform's first value while it is held back.
    pub fn first_value_version(&self) -> Option<u64> {
        self.first_value.as_ref().map(|first| first.candidate.config.version)
    }

    /// Activates the platform's first value unless a peer has a newer version.
    ///
    /// A platform that was restored with an old value may respond to a new VM
    /// before any peer. The VM would then route by rules that the fleet has
    /// replaced, at an older version than all others. So the value is held until
    /// a peer's version is known, the list shows no other VM, or the grace period
    /// is over. If the peers' versions are of an earlier era, the registry has been restored and
    /// may lack what they have.
    pub(super) fn activate_first_value(&mut self, now: Time) -> Vec<ConfigAction> {
        let is_alone = self.listed_vm_count.is_some_and(|listed| listed <= 1);
        let is_released =
            |first: &mut FirstValue| self.has_peer_version || is_alone || now >= first.until;
        let Some(first) = self.first_value.take_if(is_released) else { return Vec::new() };
        let offered = first.candidate.config.version;
        let newest_peer_version = self.pull_client.newest_available(now);
        let is_older = newest_peer_version > Some(offered)
            || newest_peer_version
                .is_some_and(|version| is_of_earlier_era(version, &first.candidate.config));
        if self.version().is_none() && is_older {
            let mut actions = vec![ConfigAction::Stale { offered }];
            actions.extend(self.start_pull(now));
            return actions;
        }
        self.apply_candidate(now, "platform", first.candidate)
    }

    pub(super) fn validate(
        &self,
        source: &str,
        candidate: &ConfigCandidate,
    ) -> Option<ConfigError> {
        let config = &candidate.config;
        // A configuration that is too long to be sent to peers must not become
        // active on this VM alone.
        if candidate.summary.encoded_bytes > MAX_ENCODED_BYTES {
            return Some(ConfigError {
                file: Name::from(source),
                field: "configuration".to_owned(),
                problem: format!(
                    "{} bytes long once encoded; the maximum is {MAX_ENCODED_BYTES}",
                    candidate.summary.encoded_bytes
                ),
            });
        }
        if config.deployment != self.deployment {
            let (expected, found) = (self.deployment.as_str(), config.deployment.as_str());
            return Some(ConfigError {
                file: Name::from(source),
                field: "deployment".to_owned(),
                problem: format!("{found:?} is not this deployment, {expected:?}"),
            });
        }
        config.check(source).into_iter().next()
    }

    pub(super) fn apply_candidate(
        &mut self,
        now: Time,
        source: &str,
        candidate: ConfigCandidate,
    ) -> Vec<ConfigAction> {
        let version = candidate.config.version;
        if let Some(active) = self.store.config()
            && self.restore_hold.lacks_lost_writes(now, active, &candidate.config)
        {
            return vec![ConfigAction::Stale { offered: version }];
        }
        match self.store.compare(&candidate) {
            VersionComparison::Newer => self.activate(candidate),
            VersionComparison::Same => Vec::new(),
            VersionComparison::Older => vec![ConfigAction::Stale { offered: version }],
            VersionComparison::Conflict => {
                let error = ConfigError {
                    file: Name::from(source),
                    field: "version".to_owned(),
                    problem: format!("{version} is active with different content"),
                };
                self.reject(now, Some(version), candidate.summary.hash, error)
            }
        }
    }

    pub(super) fn activate(&mut self, candidate: ConfigCandidate) -> Vec<ConfigAction> {
        let config = self.store.activate(candidate);
        let supersedes = |rejected: &RejectedValue| {
            rejected.version.is_none_or(|version| config.version > version)
        };
        if self.rejected.as_ref().is_some_and(supersedes) {
            self.rejected = None;
        }
        self.pull_client.on_activated(config.version);
        self.missing_version.take_if(|(version, _)| *version <= config.version);
        self.pull_server.on_activated();
        vec![ConfigAction::Activate(config)]
    }

    pub(super) fn reject(
        &mut self,
        now: Time,
        version: Option<u64>,
        fingerprint: ContentHash,
        error: ConfigError,
    ) -> Vec<ConfigAction> {
        let hold_until = now + Duration::from_millis(self.settings.rejected_hold_ms);
        let known = self.rejected.as_ref().is_some_and(|it| it.fingerprint == fingerprint);
        self.rejected =
            Some(RejectedValue { version, fingerprint, error: error.clone(), hold_until });
        if known { Vec::new() } else { vec![ConfigAction::Rejected(error)] }
    }
}

/// Returns the version of a value that can't be accepted, if it can be parsed.
fn version_of(value: &[u8]) -> Option<u64> {
    #[derive(serde::Deserialize)]
    struct Version {
        version: u64,
    }
    serde_json::from_slice(value).ok().map(|Version { version }| version)
}
