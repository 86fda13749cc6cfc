//! Settings of the quarantine.

use serde::Deserialize;

/// When a request is held back, and for how long.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuarantineSettings {
    /// Endpoints that end under a request before it is held back.
    pub max_crashes: u32,
    /// Time from the last crash to the first trial of a request that is held back.
    pub first_trial_ms: u64,
    /// How much longer each trial is waited for than the one before.
    pub trial_factor: u32,
    /// Time after the last crash for which a request that is not held back is suspected.
    pub suspect_ms: u64,
    /// Time after the last crash or trial after which any request is forgotten.
    pub forget_ms: u64,
    /// Shortest time that a caller is asked to wait.
    pub min_retry_after_ms: u64,
    /// Time within which an endpoint ends once only; what breaks then is the same crash.
    pub same_crash_ms: u64,
    /// Requests that are remembered.
    pub max_records: usize,
    /// Time between two rounds of telling other VMs.
    pub round_ms: u64,
    /// Rounds in which a change is told.
    pub fast_rounds: u32,
    /// VMs that are told of a change in each of these rounds.
    pub fanout: usize,
    /// One of so many rounds in which all that is held back is told to one more VM.
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
    /// Returns what is wrong with a setting: its name and the problem.
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
