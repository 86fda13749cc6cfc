//! Switches of the mechanisms that decide, for trials of what each is worth.

use serde::{Deserialize, Serialize};

/// Which mechanisms are at work; all are, outside of trials.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FeatureFlags {
    /// Endpoints are ranked by the risk that a request fails.
    pub risk: bool,
    /// Failures at once tell more than late ones.
    pub failure_times: bool,
    /// Most endpoints get a request in any two seconds.
    pub coverage: bool,
    /// All endpoints do while much of the work is lost.
    pub strain: bool,
    /// Requests wait for proven endpoints.
    pub patience: bool,
    /// Slow requests that may run again are sent a second time.
    pub hedges: bool,
    /// Silent requests that may run again are given up for another endpoint.
    pub give_ups: bool,
    /// Some requests that may run again look at endpoints in doubt.
    pub exploring: bool,
    /// Endpoints that join get a request at once.
    pub joiners_first: bool,
    /// Endpoints of this VM's data centre come first.
    pub home_first: bool,
    /// Retries that are left are shared out.
    pub retry_shares: bool,
    /// Requests wait for a picture that was asked for.
    pub picture_wait: bool,
    /// Limits of endpoints fall when they shed.
    pub adaptive_limits: bool,
    /// Endpoints with enough evidence against them get no work.
    pub ejection: bool,
    /// Endpoints that join or come back get a growing share of work.
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
