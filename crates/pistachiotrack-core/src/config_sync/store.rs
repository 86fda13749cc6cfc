//! The active configuration, and responses to pulls from it.

use std::{cell::OnceCell, cmp::Ordering, sync::Arc};

use crate::{
    config::{Config, ContentHash, ContentSummary, Delta},
    config_sync::{
        delta_log::{DeltaLog, EncodedDelta},
        payload::Payload,
        wire::{PullRequest, PullResponseRef},
    },
};

/// A decoded configuration offered by the platform or a peer.
#[derive(Clone, Debug)]
pub(super) struct ConfigCandidate {
    pub(super) config: Config,
    pub(super) summary: ContentSummary,
    /// The deltas that it was received as, to be forwarded unchanged.
    encoded_deltas: Vec<EncodedDelta>,
}

/// Result of comparing a candidate with the active configuration.
pub(super) enum VersionComparison {
    Newer,
    Same,
    Older,
    /// Same version, different content.
    Conflict,
}

/// The active configuration with its most recent deltas.
#[derive(Clone, Debug, Default)]
pub(super) struct ConfigStore {
    active: Option<ActiveConfig>,
    delta_log: DeltaLog,
}

#[derive(Clone, Debug)]
struct ActiveConfig {
    config: Arc<Config>,
    summary: ContentSummary,
    /// The full configuration for peers, encoded when a peer first requests it.
    encoded: OnceCell<Option<Payload>>,
}

impl ActiveConfig {
    fn encoded(&self) -> Option<&Payload> {
        let encode = || Payload::encode(&*self.config, self.config.operators_version);
        self.encoded.get_or_init(encode).as_ref()
    }
}

impl ConfigCandidate {
    /// Creates a candidate from a full configuration.
    pub(super) fn new(config: Config) -> Option<ConfigCandidate> {
        let summary = ContentSummary::of(&config).ok()?;
        Some(ConfigCandidate { config, summary, encoded_deltas: Vec::new() })
    }

    /// Decodes a full configuration received from a peer.
    pub(super) fn decode(payload: &Payload) -> Option<ConfigCandidate> {
        let (config, operators_version) = payload.decode_as::<Config>()?;
        ConfigCandidate::new(Config { operators_version, ..config })
    }
}

impl ConfigStore {
    pub(super) fn config(&self) -> Option<&Arc<Config>> {
        self.active.as_ref().map(|active| &active.config)
    }

    /// Returns version and content hash of the active configuration.
    pub(super) fn active_version(&self) -> Option<(u64, ContentHash)> {
        self.active.as_ref().map(|active| (active.config.version, active.summary.hash))
    }

    /// Returns the response to a peer of the same deployment.
    pub(super) fn respond(&self, request: &PullRequest) -> PullResponseRef<'_> {
        let newer = |active: &&ActiveConfig| Some(active.config.version) > request.newer_than;
        let Some(active) = self.active.as_ref().filter(newer) else {
            return PullResponseRef::NoUpdate;
        };
        let deltas = request.base.and_then(|(version, hash)| self.delta_log.since(version, hash));
        if let Some(deltas) = deltas
            && total_bytes(&deltas) < active.summary.encoded_bytes
        {
            return PullResponseRef::Deltas(deltas);
        }
        let full = |payload| PullResponseRef::Full { hash: active.summary.hash, payload };
        active.encoded().map_or(PullResponseRef::NoUpdate, full)
    }

    /// Applies encoded deltas to the active configuration, or returns `None` if they
    /// don't fit.
    pub(super) fn apply_deltas(&self, payloads: Vec<Payload>) -> Option<ConfigCandidate> {
        let active = self.active.as_ref()?;
        let decode = |payload: &Payload| {
            let (mut delta, operators_version) = payload.decode_as::<Delta>()?;
            delta.operators_version = operators_version;
            Some(delta)
        };
        let deltas: Vec<Delta> = payloads.iter().map(decode).collect::<Option<_>>()?;
        let encoded_deltas = deltas
            .iter()
            .zip(payloads)
            .map(|(delta, payload)| EncodedDelta::new(delta, payload))
            .collect();
        let (config, summary) =
            Delta::apply_all(deltas, &active.config, active.summary.hash).ok()?;
        Some(ConfigCandidate { config, summary, encoded_deltas })
    }

    /// Compares a candidate with the active configuration.
    pub(super) fn compare(&self, candidate: &ConfigCandidate) -> VersionComparison {
        let Some(active) = &self.active else { return VersionComparison::Newer };
        match candidate.config.version.cmp(&active.config.version) {
            Ordering::Greater => VersionComparison::Newer,
            Ordering::Less => VersionComparison::Older,
            Ordering::Equal if candidate.summary.hash == active.summary.hash => {
                VersionComparison::Same
            }
            Ordering::Equal => VersionComparison::Conflict,
        }
    }

    /// Activates a candidate.
    pub(super) fn activate(&mut self, candidate: ConfigCandidate) -> Arc<Config> {
        let ConfigCandidate { config, summary, encoded_deltas } = candidate;
        let config = Arc::new(config);
        if encoded_deltas.is_empty() {
            self.record_delta(&config, summary.hash);
        }
        encoded_deltas.into_iter().for_each(|delta| self.delta_log.push(delta));
        self.active =
            Some(ActiveConfig { config: Arc::clone(&config), summary, encoded: OnceCell::new() });
        config
    }

    fn record_delta(&mut self, config: &Config, hash: ContentHash) {
        let Some(active) = &self.active else { return };
        let delta = Delta::between(&active.config, active.summary.hash, config, hash);
        match Payload::encode(&delta, delta.operators_version) {
            Some(payload) => self.delta_log.push(EncodedDelta::new(&delta, payload)),
            None => self.delta_log.clear(),
        }
    }
}

fn total_bytes(deltas: &[&Payload]) -> usize {
    deltas.iter().map(|delta| delta.len()).sum()
}
