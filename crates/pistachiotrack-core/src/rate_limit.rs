//! Rate limits that endpoints announce and that all VMs together keep to.

use std::{fmt, str::FromStr, time::Duration};

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::{name::Name, time::Time};

/// Idle time whose unused requests may be sent as a burst.
const MAX_BURST_TIME: Duration = Duration::from_millis(250);
/// Maximum random delay before a request that several VMs may send. It is several times the
/// delay of an update, so that most VMs learn which VM has sent before they send too.
const MAX_JITTER: Duration = Duration::from_millis(200);
/// Longest time for which requests that have been sent delay later ones. A count of another VM may be
/// wrong: an older one that arrives late looks like that of a VM that has restarted.
const MAX_DEBT: Duration = Duration::from_secs(60);
/// Minimum rate at which requests are sent, so that the end of a limit near zero is noticed.
const MIN_REQUESTS_PER_SECOND: f64 = 0.1;

/// Requests per second that an endpoint accepts from all VMs together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RateLimit {
    milli_per_second: u64,
}

/// Error for a text that isn't a valid rate limit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a valid number of requests per second")]
pub struct RateLimitError(String);

impl RateLimit {
    /// Returns the limit in requests per second.
    pub fn per_second(self) -> f64 {
        self.milli_per_second as f64 / 1_000.0
    }

    /// Returns the requests per second that VMs using `fraction` of the limit may send.
    pub fn allowed_per_second(self, fraction: f64) -> f64 {
        (self.per_second() * fraction).max(MIN_REQUESTS_PER_SECOND)
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

/// Update for other VMs about an endpoint with a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateUpdate {
    /// The limit.
    pub limit: RateLimit,
    /// Time since the request whose answer announced the limit was sent.
    pub age_ms: u32,
    /// Number of requests the sender has sent to the endpoint since it first learned of a limit.
    pub sent: u32,
}

/// Rate limiter of an endpoint, shared by all VMs.
///
/// Each VM counts the requests of all VMs and sends when the limit allows one more. VMs that
/// send at the same moment exceed the limit by a few requests, and later requests are delayed
/// accordingly.
#[derive(Clone, Debug)]
pub struct SharedRateLimiter {
    limit: Option<RateLimit>,
    /// When the request whose answer determines `limit` was sent.
    limit_requested_at: Time,
    /// Time at which the next request is within the limit.
    next_send_at: Time,
    /// Random delay added to `next_send_at`, to spread the VMs.
    jitter: Duration,
    /// Number of requests this VM has sent.
    sent: u32,
    /// Number of requests each other VM has sent, as last reported.
    peer_counts: FxHashMap<Name, u32>,
}

impl SharedRateLimiter {
    /// Creates the limiter when an endpoint first announces a limit, in the answer to a request
    /// sent at `sent_at`; `random` is a random number below 1.
    pub fn new(
        now: Time,
        sent_at: Time,
        limit: RateLimit,
        share: RateShare,
        random: f64,
    ) -> SharedRateLimiter {
        SharedRateLimiter {
            limit: Some(limit),
            limit_requested_at: sent_at,
            next_send_at: now,
            jitter: jitter(interval(limit, share), share, random),
            sent: 0,
            peer_counts: FxHashMap::default(),
        }
    }

    /// Returns the limit, if the endpoint still announces one.
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Records the limit, if any, in the answer to a request sent at `sent_at`; returns whether
    /// the limit changed. Answers may arrive in a different order than their requests were sent.
    pub fn on_answer(&mut self, sent_at: Time, limit: Option<RateLimit>) -> bool {
        if sent_at < self.limit_requested_at {
            return false;
        }
        self.limit_requested_at = sent_at;
        std::mem::replace(&mut self.limit, limit) != limit
    }

    /// Records a request that this VM sends; `random` is a random number below 1.
    pub fn on_sent(&mut self, now: Time, share: RateShare, random: f64) {
        self.sent = self.sent.wrapping_add(1);
        self.consume(now, 1, share, random);
    }

    /// Records the number of requests another VM has sent.
    pub fn on_peer_count(
        &mut self,
        now: Time,
        from: &Name,
        sent: u32,
        share: RateShare,
        random: f64,
    ) {
        let known = self.peer_counts.insert(from.clone(), sent);
        // On the first report of a VM only its last request is counted as new. A lower count than
        // before means that the VM restarted its count.
        let new_requests =
            known.map_or(sent.min(1), |known| sent.checked_sub(known).unwrap_or(sent));
        if new_requests > 0 {
            self.consume(now, new_requests, share, random);
        }
    }

    /// Returns whether this VM may send one more request.
    pub fn may_send(&self, now: Time, share: RateShare) -> bool {
        self.limit.is_none() || share.fraction > 0.0 && now >= self.next_send_at + self.jitter
    }

    /// Returns the update for the other VMs, if there is a limit.
    pub fn update(&self, now: Time) -> Option<RateUpdate> {
        let age_ms =
            u32::try_from(now.since(self.limit_requested_at).as_millis()).unwrap_or(u32::MAX);
        Some(RateUpdate { limit: self.limit?, age_ms, sent: self.sent })
    }

    fn consume(&mut self, now: Time, requests: u32, share: RateShare, random: f64) {
        let Some(limit) = self.limit else { return };
        let interval = interval(limit, share);
        let from = self.next_send_at.max(now.before(MAX_BURST_TIME));
        self.next_send_at = (from + interval * requests).min(now + MAX_DEBT);
        self.jitter = jitter(interval, share, random);
    }
}

/// Returns the time between two requests at the limit.
fn interval(limit: RateLimit, share: RateShare) -> Duration {
    Duration::from_secs_f64(1.0 / limit.allowed_per_second(share.fraction))
}

/// Returns a random delay, so that VMs don't all send at the same moment.
fn jitter(interval: Duration, share: RateShare, random: f64) -> Duration {
    let longest = if share.is_sole_sender { Duration::ZERO } else { MAX_JITTER.min(interval / 2) };
    longest.mul_f64(random)
}

/// Share of this VM in the rate limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateShare {
    /// Fraction of each limit that the visible VMs use; 0 if this VM sends nothing to endpoints
    /// with a limit.
    pub fraction: f64,
    /// Whether this VM is the only one that sends requests to the endpoints.
    pub is_sole_sender: bool,
}

impl Default for RateShare {
    fn default() -> RateShare {
        RateShare { fraction: 1.0, is_sole_sender: true }
    }
}
