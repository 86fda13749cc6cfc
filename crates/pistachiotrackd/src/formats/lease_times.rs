//! Times of the lease on the configuration.

use pistachiotrack_core::time::Time;

/// Times until which this VM may rely on its configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LeaseTimes {
    /// Latest time at which the configuration is known to have been the newest one.
    pub(crate) confirmed_at: Option<Time>,
    /// Time from which this VM doesn't offer itself to callers.
    pub(crate) withdraw_at: Option<Time>,
    /// Time from which requests with an API key are refused.
    pub(crate) expires_at: Option<Time>,
}
