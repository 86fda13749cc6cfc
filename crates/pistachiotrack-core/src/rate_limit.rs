//! Limits that endpoints name in requests a second.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Requests a second that an endpoint takes from all VMs together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RateLimit {
    milli_per_second: u64,
}

/// A text that names no limit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no number of requests a second")]
pub struct RateLimitError(String);

impl RateLimit {
    /// Returns the requests a second.
    pub fn per_second(self) -> f64 {
        self.milli_per_second as f64 / 1_000.0
    }
}

impl FromStr for RateLimit {
    type Err = RateLimitError;

    fn from_str(text: &str) -> Result<RateLimit, RateLimitError> {
        let per_second: f64 = text.trim().parse().map_err(|_| RateLimitError(text.to_owned()))?;
        if !per_second.is_finite() || per_second < 0.0 {
            return Err(RateLimitError(text.to_owned()));
        }
        Ok(RateLimit { milli_per_second: (per_second * 1_000.0).round() as u64 })
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}
