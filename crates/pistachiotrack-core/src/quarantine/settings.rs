//! Settings of the quarantine.

use serde::Deserialize;

/// Thresholds, delays and gossip parameters of the quarantine.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuarantineSettings {
    /// Number of crashes from which on a request is held back.
    pub max_crashes: u32,
    /// Time from the last crash to the first trial of a held request.
    pub first_trial_ms: u64,
    /// Factor by which the delay grows with each trial.
    pub trial_factor: u32,
    /// Time after the last crash for which a request that isn't held stays suspected.
    pub suspect_ms: u64,
    /// Time after the last crash or trial after which the record of a held request is removed.
    pub forget_ms: u64,
    /// Minimum retry delay sent to callers.
    pub min_retry_after_ms: u64,
    /// Time within which further failures of an endpoint count as the same crash.
    pub same_crash_ms: u64,
    /// Maximum number of records.
    pub max_records: usize,
    /// Time between two gossip rounds.
    pub round_ms: u64,
    /// Number of gossip rounds in which a change is sent.
    pub fast_rounds: u32,
    /// Number of random VMs to which a change is sent in each of these rounds.
    pub fanout: usize,
    /// Every so many gossip rounds, all held requests are sent to one random VM.
    pub slow_rounds: u32,
}

impl Default for QuarantineSettings {
    fn default() -> QuarantineSettings {
        QuarantineSettings {
            max_crashes: 3,
            first_trial_ms: 10_000,
            trial_factor: 6,
            suspect_ms: 600_000,
            forget_ms: 3_600_000,
            min_retry_after_ms: 1_000,
            same_crash_ms: 1_000,
            max_records: 1_024,
            round_ms: 240,
            fast_rounds: 8,
            fanout: 4,
            slow_rounds: 2,
        }
    }
}

impl QuarantineSettings {
    /// Returns the name of the first invalid setting and what is wrong with it.
    pub fn problem(&self) -> Option<(&'static str, String)> {
        let positive = [
            ("quarantine.max_crashes", u64::from(self.max_crashes)),
            ("quarantine.first_trial_ms", self.first_trial_ms),
            ("quarantine.trial_factor", u64::from(self.trial_factor)),
            ("quarantine.max_records", self.max_records as u64),
            ("quarantine.round_ms", self.round_ms),
            ("quarantine.fast_rounds", u64::from(self.fast_rounds)),
            ("quarantine.fanout", self.fanout as u64),
            ("quarantine.slow_rounds", u64::from(self.slow_rounds)),
        ];
        let (field, _) = positive.into_iter().find(|(_, value)| *value == 0)?;
        Some((field, "0 is not above 0".to_owned()))
    }
}
