//! Feature flags of the decision mechanisms, to measure the effect of each in experiments.

use serde::{Deserialize, Serialize};

/// Enabled mechanisms; all are enabled except in experiments.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FeatureFlags {
    /// Ranks endpoints by the estimated probability that a request fails.
    pub risk: bool,
    /// Gives immediate failures more weight than late ones.
    pub failure_times: bool,
    /// Sends a request to most endpoints every two seconds.
    pub coverage: bool,
    /// Sends such requests to all endpoints while many requests fail.
    pub strain: bool,
    /// Lets requests wait for endpoints with recent successes.
    pub patience: bool,
    /// Sends hedges of slow idempotent requests.
    pub hedges: bool,
    /// Abandons attempts of idempotent requests without an answer, and tries another endpoint.
    pub give_ups: bool,
    /// Sends some idempotent requests to endpoints with uncertain health.
    pub exploring: bool,
    /// Sends a request to new endpoints at once.
    pub joiners_first: bool,
    /// Prefers endpoints in this VM's data centre.
    pub home_first: bool,
    /// Divides the remaining retries among the VMs that need some.
    pub retry_shares: bool,
    /// Lets requests wait for a requested snapshot.
    pub picture_wait: bool,
    /// Lowers the concurrency limit of endpoints that shed requests.
    pub adaptive_limits: bool,
    /// Ejects endpoints with enough evidence of failure.
    pub ejection: bool,
    /// Increases the load of new and recovered endpoints gradually.
    pub slow_start: bool,
}

impl Default for FeatureFlags {
    fn default() -> FeatureFlags {
        FeatureFlags {
            risk: true,
            failure_times: true,
            coverage: true,
            strain: true,
            patience: true,
            hedges: true,
            give_ups: true,
            exploring: true,
            joiners_first: true,
            home_first: true,
            retry_shares: true,
            picture_wait: true,
            adaptive_limits: true,
            ejection: true,
            slow_start: true,
        }
    }
}
