//! Limits that endpoints name in requests a second, and that all VMs keep together.

use std::{fmt, str::FromStr, time::Duration};

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::{name::Name, time::Time};

/// Time without requests that an endpoint makes up for at once.
const MAX_BURST_TIME: Duration = Duration::from_millis(250);
/// Longest random wait for a random that several VMs may take. It is several times as long as
/// update are on their way, so that most VMs hear who took it.
const MAX_JITTER: Duration = Duration::from_millis(200);
/// Least rate at which an endpoint is asked, so that a limit near zero can be seen to end.
const MIN_REQUESTS_PER_SECOND: f64 = 0.1;

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

    /// Returns the requests a second that are sent where VMs use `fraction` of the limit.
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

/// What a VM tells others of an endpoint that names a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateUpdate {
    /// The limit.
    pub limit: RateLimit,
    /// Time since the request was sent whose answer named it.
    pub age_ms: u32,
    /// Requests that the sender has sent to the endpoint since it first knew of a limit.
    pub sent: u32,
}

/// The requests that may be sent to an endpoint that names a limit.
///
/// Each VM counts what all VMs send, and sends when the limit leaves room for one more. VMs
/// that send at the same moment exceed it by a few requests, which are then waited for.
#[derive(Clone, Debug)]
pub struct SharedRateLimiter {
    limit: Option<RateLimit>,
    /// When the request was sent whose answer is the newest word on the limit.
    limit_sent_at: Time,
    /// Moment up to which what was sent uses the limit up.
    next_send_at: Time,
    jitter: Duration,
    /// Requests that this VM has sent.
    sent: u32,
    /// Requests that the others have sent, as far as they told.
    peer_counts: FxHashMap<Name, u32>,
}

impl SharedRateLimiter {
    /// Creates the count of an endpoint that names its first limit, in the answer to a
    /// request that was sent at `sent_at`; `random` is a random number below 1.
    pub fn new(
        now: Time,
        sent_at: Time,
        limit: RateLimit,
        share: RateShare,
        random: f64,
    ) -> SharedRateLimiter {
        SharedRateLimiter {
            limit: Some(limit),
            limit_sent_at: sent_at,
            next_send_at: now,
            jitter: jitter(interval(limit, share), share, random),
            sent: 0,
            peer_counts: FxHashMap::default(),
        }
    }

    /// Returns the limit, if the endpoint still names one.
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Takes what an answer says to a request that was sent at `sent_at`; returns whether the
    /// limit changed. Answers may come in another order than they were asked for.
    pub fn on_answer(&mut self, sent_at: Time, limit: Option<RateLimit>) -> bool {
        if sent_at < self.limit_sent_at {
            return false;
        }
        self.limit_sent_at = sent_at;
        std::mem::replace(&mut self.limit, limit) != limit
    }

    /// Notes a request that this VM sends; `random` is a random number below 1.
    pub fn on_sent(&mut self, now: Time, share: RateShare, random: f64) {
        self.sent = self.sent.wrapping_add(1);
        self.consume(now, 1, share, random);
    }

    /// Takes what another VM has sent.
    pub fn on_peer_count(
        &mut self,
        now: Time,
        from: &Name,
        sent: u32,
        share: RateShare,
        random: f64,
    ) {
        let known = self.peer_counts.insert(from.clone(), sent);
        // Of a VM that is heard of for the first time, only the last request is new. A count that
        // has gone down was begun anew.
        let update = known.map_or(sent.min(1), |known| sent.checked_sub(known).unwrap_or(sent));
        if update > 0 {
            self.consume(now, update, share, random);
        }
    }

    /// Returns whether this VM may send one more request.
    pub fn may_send(&self, now: Time, share: RateShare) -> bool {
        self.limit.is_none() || share.fraction > 0.0 && now >= self.next_send_at + self.jitter
    }

    /// Returns what the other VMs are told.
    pub fn update(&self, now: Time) -> Option<RateUpdate> {
        let age_ms = u32::try_from(now.since(self.limit_sent_at).as_millis()).unwrap_or(u32::MAX);
        Some(RateUpdate { limit: self.limit?, age_ms, sent: self.sent })
    }

    fn consume(&mut self, now: Time, requests: u32, share: RateShare, random: f64) {
        let Some(limit) = self.limit else { return };
        let interval = interval(limit, share);
        let from = self.next_send_at.max(now.before(MAX_BURST_TIME));
        self.next_send_at = from + interval * requests;
        self.jitter = jitter(interval, share, random);
    }
}

/// Returns the time that one request uses up.
fn interval(limit: RateLimit, share: RateShare) -> Duration {
    Duration::from_secs_f64(1.0 / limit.allowed_per_second(share.fraction))
}

/// Returns how long this VM leaves a random to others, so that not all take it at once.
fn jitter(interval: Duration, share: RateShare, random: f64) -> Duration {
    let longest = if share.is_sole_sender { Duration::ZERO } else { MAX_JITTER.min(interval / 2) };
    longest.mul_f64(random)
}

/// How this VM takes fraction in keeping limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateShare {
    /// Part of each limit that the VMs in view use, 0 if this VM sends nothing to endpoints
    /// that name one.
    pub fraction: f64,
    /// Whether no other VM sends requests to the endpoints.
    pub is_sole_sender: bool,
}

impl Default for RateShare {
    fn default() -> RateShare {
        RateShare { fraction: 1.0, is_sole_sender: true }
    }
}
