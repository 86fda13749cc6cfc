//! What becomes of a configuration that the platform or a peer offers: it is compared with
//! the one in force, taken, held back for a moment, or rejected.

use std::time::Duration;

use super::{
    ConfigAction, ConfigSync, FirstValue, RejectedValue,
    store::{Offer, Verdict},
};
use crate::{
    config::{Config, ConfigError, ContentHash, MAX_ENCODED_BYTES},
    name::Name,
    time::Time,
};

impl ConfigSync {
    pub(super) fn take_peer_offer(
        &mut self,
        now: Time,
        peer: &Name,
        offer: Offer,
    ) -> Vec<ConfigAction> {
        let source = format!("peer {peer}");
        let (version, fingerprint) = (offer.config.version, offer.content.hash);
        if let Some(error) = self.problem(&source, &offer) {
            self.pulls.pause_peer(now, peer, &mut self.rng);
            self.pulls.refuse_version(now, version);
            return self.reject(now, Some(version), fingerprint, error);
        }
        let actions = self.compare(now, &source, offer);
        if actions.iter().any(|action| matches!(action, ConfigAction::InForce(_))) {
            self.platform.on_peer_change(now);
        } else {
            self.pulls.pause_peer(now, peer, &mut self.rng);
        }
        actions
    }

    pub(super) fn take_platform_value(&mut self, now: Time, value: &[u8]) -> Vec<ConfigAction> {
        let fingerprint = ContentHash::of_bytes(value);
        if self.is_rejected(now, fingerprint) {
            return Vec::new();
        }
        let parsed = Config::parse("platform", value);
        let config = match parsed {
            Ok(config) => config,
            Err(error) => return self.reject(now, version_of(value), fingerprint, error),
        };
        let Some(offer) = Offer::whole(config) else { return Vec::new() };
        self.take_platform_offer(now, fingerprint, offer)
    }

    /// Returns whether this was rejected before; if so, it isn't read again for a while.
    pub(super) fn is_rejected(&mut self, now: Time, fingerprint: ContentHash) -> bool {
        let known = self.rejected.as_mut().filter(|known| known.fingerprint == fingerprint);
        let Some(known) = known else { return false };
        known.hold_until = now + Duration::from_millis(self.settings.rejected_hold_ms);
        true
    }

    pub(super) fn take_platform_offer(
        &mut self,
        now: Time,
        fingerprint: ContentHash,
        offer: Offer,
    ) -> Vec<ConfigAction> {
        if let Some(error) = self.problem("platform", &offer) {
            return self.reject(now, Some(offer.config.version), fingerprint, error);
        }
        if self.version().is_some() {
            return self.compare(now, "platform", offer);
        }
        let grace = Duration::from_millis(self.settings.first_value_grace_ms);
        let until = self.first.as_ref().map_or(now + grace, |first| first.until);
        self.first = Some(FirstValue { offer, until });
        self.release_first(now)
    }

    pub(super) fn first_version(&self) -> Option<u64> {
        self.first.as_ref().map(|first| first.offer.config.version)
    }

    /// Puts the platform's first value in force unless a peer has a newer one.
    ///
    /// Failure guarded against: a platform that came back with an old value is
    /// the first that a new VM hears, and the VM serves by rules that the fleet
    /// has left. It shows as one VM at an older version than all others. The
    /// guard holds because the value waits until a peer's version is heard, the
    /// list shows nobody else, or the grace is over.
    pub(super) fn release_first(&mut self, now: Time) -> Vec<ConfigAction> {
        let alone = self.listed_vms.is_some_and(|listed| listed <= 1);
        let may_go = |first: &mut FirstValue| self.peer_heard || alone || now >= first.until;
        let Some(first) = self.first.take_if(may_go) else { return Vec::new() };
        let offered = first.offer.config.version;
        if self.version().is_none() && self.pulls.newest(now) > Some(offered) {
            let mut actions = vec![ConfigAction::Stale { offered }];
            actions.extend(self.pull(now));
            return actions;
        }
        self.compare(now, "platform", first.offer)
    }

    pub(super) fn problem(&self, source: &str, offer: &Offer) -> Option<ConfigError> {
        let config = &offer.config;
        // In force here and too long for the others, it would never reach them.
        if offer.content.encoded_bytes > MAX_ENCODED_BYTES {
            return Some(ConfigError {
                file: Name::from(source),
                field: "configuration".to_owned(),
                problem: format!(
                    "{} bytes long once encoded; at most {MAX_ENCODED_BYTES} are passed on",
                    offer.content.encoded_bytes
                ),
            });
        }
        if config.deployment != self.deployment {
            let (wanted, found) = (self.deployment.as_str(), config.deployment.as_str());
            return Some(ConfigError {
                file: Name::from(source),
                field: "deployment".to_owned(),
                problem: format!("{found:?} is not this deployment, {wanted:?}"),
            });
        }
        config.check(source).into_iter().next()
    }

    pub(super) fn compare(&mut self, now: Time, source: &str, offer: Offer) -> Vec<ConfigAction> {
        let version = offer.config.version;
        match self.store.verdict(&offer) {
            Verdict::Newer => self.accept(offer),
            Verdict::Same => Vec::new(),
            Verdict::Older => vec![ConfigAction::Stale { offered: version }],
            Verdict::Conflict => {
                let error = ConfigError {
                    file: Name::from(source),
                    field: "version".to_owned(),
                    problem: format!("{version} is in force with another content"),
                };
                self.reject(now, Some(version), offer.content.hash, error)
            }
        }
    }

    pub(super) fn accept(&mut self, offer: Offer) -> Vec<ConfigAction> {
        let config = self.store.accept(offer);
        let overtakes = |rejected: &RejectedValue| {
            rejected.version.is_none_or(|version| config.version > version)
        };
        if self.rejected.as_ref().is_some_and(overtakes) {
            self.rejected = None;
        }
        self.pulls.on_held(config.version);
        self.heard.take_if(|(version, _)| *version <= config.version);
        self.serving.on_newer();
        vec![ConfigAction::InForce(config)]
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

/// Returns the version of a value that can't be accepted, if it has one.
fn version_of(value: &[u8]) -> Option<u64> {
    #[derive(serde::Deserialize)]
    struct Version {
        version: u64,
    }
    serde_json::from_slice(value).ok().map(|Version { version }| version)
}
