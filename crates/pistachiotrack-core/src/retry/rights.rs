//! Rights to send retries.

use serde::{Deserialize, Serialize};

/// Rights to send retries, in thousandths of a retry, so that dispatchers can put together what each
/// has left of a small limit.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RetryRights(u32);

impl RetryRights {
    /// No rights.
    pub const NONE: RetryRights = RetryRights(0);
    /// The right to send one retry.
    pub const ONE_RETRY: RetryRights = RetryRights(1_000);

    /// Returns the rights for a number of retries, rounded down; none for a negative number.
    pub fn from_retries(retries: f64) -> RetryRights {
        RetryRights((retries * f64::from(RetryRights::ONE_RETRY.0)) as u32)
    }

    /// Returns the number of retries.
    pub fn retries(self) -> f64 {
        f64::from(self.0) / f64::from(RetryRights::ONE_RETRY.0)
    }

    /// Returns the sum.
    #[must_use]
    pub fn plus(self, other: RetryRights) -> RetryRights {
        RetryRights(self.0.saturating_add(other.0))
    }

    /// Returns the difference, at least none.
    #[must_use]
    pub fn minus(self, other: RetryRights) -> RetryRights {
        RetryRights(self.0.saturating_sub(other.0))
    }
}
