//! Feature flags of the decision mechanisms, to measure the effect of each in experiments.

use serde::{Deserialize, Serialize};

/// Enabled mechanisms; all are enabled except in experiments.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FeatureFlags {
    /// Ranks endpoints by the estimated probability that a request fails.
    #[serde(rename = "risk")]
    pub risk_ranking: bool,
    /// Gives immediate failures more weight than late ones.
    pub failure_times: bool,
    /// Sends a request to most endpoints every two seconds.
    pub coverage: bool,
    /// Sends such requests to all endpoints while many requests fail.
    #[serde(rename = "strain")]
    pub coverage_on_failures: bool,
    /// Lets requests wait for endpoints with recent successes.
    #[serde(rename = "patience")]
    pub wait_for_proven_endpoints: bool,
    /// Sends hedges of slow idempotent requests.
    pub hedges: bool,
    /// Abandons attempts of idempotent requests without an answer, and tries another endpoint.
    #[serde(rename = "give_ups")]
    pub attempt_abandonment: bool,
    /// Sends some idempotent requests to endpoints with uncertain health.
    #[serde(rename = "exploring")]
    pub exploration: bool,
    /// Sends a request to new endpoints at once.
    #[serde(rename = "joiners_first")]
    pub new_endpoints_first: bool,
    /// Prefers endpoints in this VM's data centre.
    #[serde(rename = "home_first")]
    pub local_endpoints_first: bool,
    /// Asks other VMs for rights to send retries.
    pub retry_exchange: bool,
    /// Lets requests wait for a requested snapshot.
    #[serde(rename = "picture_wait")]
    pub snapshot_wait: bool,
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
            risk_ranking: true,
            failure_times: true,
            coverage: true,
            coverage_on_failures: true,
            wait_for_proven_endpoints: true,
            hedges: true,
            attempt_abandonment: true,
            exploration: true,
            new_endpoints_first: true,
            local_endpoints_first: true,
            retry_exchange: true,
            snapshot_wait: true,
            adaptive_limits: true,
            ejection: true,
            slow_start: true,
        }
    }
}
