//! Snapshots of a shard's endpoints for a VM that has just started to dispatch.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{EndpointKey, Shard, ShardAction, SnapshotSpeed};
use crate::{
    health::{EndpointEstimate, LastObservation},
    name::Name,
    ownership::ShardId,
    rate_limit::RateUpdate,
    time::Time,
};

/// Time for which requests wait for a snapshot: some round trips between data centres of one
/// region. It bounds the cost of a snapshot that is lost or that no VM has.
const SNAPSHOT_WAIT: Duration = Duration::from_millis(20);
/// Endpoint estimates in one part of a snapshot: each takes at most 18 bytes of the 1,200 that a
/// datagram may have.
const ESTIMATES_PER_PART: usize = 40;
/// Rate limits of endpoints in one part: each takes about 25 bytes.
const RATE_LIMITS_PER_PART: usize = 32;
/// Leaving endpoints in one part: each takes 8 bytes.
const LEAVING_PER_PART: usize = 100;

/// A VM's view of a shard's endpoints, for a VM that has just started to dispatch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardSnapshot {
    /// The shard.
    pub shard: ShardId,
    /// Estimates of the endpoints that the VM has observed.
    pub estimates: Vec<SnapshotEstimate>,
    /// Endpoints that announce a rate limit.
    pub rate_limits: Vec<(EndpointKey, RateUpdate)>,
    /// Endpoints that have said that they are leaving.
    pub leaving: Vec<EndpointKey>,
}

/// A VM's estimate of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotEstimate {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The last observation of the endpoint.
    pub last_observation: LastObservation,
    /// Age of the observation.
    pub age_ms: u32,
    /// Speed of the endpoint, if the VM estimates it.
    pub speed: Option<SnapshotSpeed>,
}

impl ShardSnapshot {
    /// Creates a snapshot without any observations.
    pub fn empty(shard: ShardId) -> ShardSnapshot {
        ShardSnapshot { shard, estimates: Vec::new(), rate_limits: Vec::new(), leaving: Vec::new() }
    }

    /// Splits the snapshot into parts that fit into a datagram each; there is at least one, since
    /// the VM that requested the snapshot waits for it.
    ///
    /// Endpoints go by a key of fixed length. Their names grow with what the registry appends to
    /// them, and a part that is too long for a datagram is dropped by its receiver.
    pub fn into_parts(self) -> Vec<ShardSnapshot> {
        let ShardSnapshot { shard, estimates, rate_limits, leaving } = self;
        let empty = || ShardSnapshot::empty(shard.clone());
        let mut parts: Vec<ShardSnapshot> = estimates
            .chunks(ESTIMATES_PER_PART)
            .map(|part| ShardSnapshot { estimates: part.to_vec(), ..empty() })
            .collect();
        if parts.is_empty() {
            parts.push(empty());
        }
        let rate_limits = rate_limits.chunks(RATE_LIMITS_PER_PART);
        parts.extend(
            rate_limits.map(|part| ShardSnapshot { rate_limits: part.to_vec(), ..empty() }),
        );
        let leaving = leaving.chunks(LEAVING_PER_PART);
        parts.extend(leaving.map(|part| ShardSnapshot { leaving: part.to_vec(), ..empty() }));
        parts
    }
}

impl Shard {
    /// Returns a snapshot of this VM's view of the endpoints.
    pub fn snapshot(&mut self, now: Time) -> ShardSnapshot {
        let keyed = |estimate: EndpointEstimate| SnapshotEstimate {
            endpoint: EndpointKey::of(&estimate.endpoint),
            last_observation: estimate.last_observation,
            age_ms: estimate.age_ms,
            speed: self.pool.snapshot_speed(now, &estimate.endpoint),
        };
        let estimates = self.health.estimates(now).into_iter().map(keyed).collect();
        let rate_limits = self.pool.rate_limits(now);
        let leaving = self.pool.said_leaving(now).map(|name| EndpointKey::of(name)).collect();
        ShardSnapshot { shard: self.id.clone(), estimates, rate_limits, leaving }
    }

    /// Records that a snapshot was requested from other VMs. Requests wait until one arrives, or
    /// until none can be expected any more.
    ///
    /// A VM with few requests has no recent observations of the endpoints and would send a
    /// request to any of them, so that many of these requests would fail. A snapshot arrives
    /// within a round trip. It doesn't help in the first second after the loss of all VMs, when
    /// no VM has observations.
    pub fn on_snapshot_requested(&mut self, now: Time) {
        self.snapshot_deadline = self.feature_flags.snapshot_wait.then(|| now + SNAPSHOT_WAIT);
    }

    pub(super) fn awaits_snapshot(&self, now: Time) -> bool {
        self.snapshot_deadline.is_some_and(|due| now < due)
    }

    /// Applies another VM's snapshot, or a part of it. Endpoints that aren't in this VM's
    /// configuration are ignored.
    pub fn on_snapshot(&mut self, now: Time, snapshot: &ShardSnapshot) -> Vec<ShardAction> {
        if snapshot.shard != self.id {
            return Vec::new();
        }
        self.snapshot_deadline = None;
        let named = |estimate: &SnapshotEstimate| {
            let endpoint: Name = self.pool.endpoint_by_key(estimate.endpoint)?;
            let SnapshotEstimate { last_observation, age_ms, .. } = *estimate;
            Some(EndpointEstimate { endpoint, last_observation, age_ms })
        };
        let estimates: Vec<EndpointEstimate> =
            snapshot.estimates.iter().filter_map(named).collect();
        for estimate in &snapshot.estimates {
            if let (Some(speed), Some(name)) =
                (estimate.speed, self.pool.endpoint_by_key(estimate.endpoint))
            {
                self.pool.adopt_speed(now, &name, speed);
            }
        }
        let actions = self.health.on_estimates(now, &estimates);
        self.on_health_actions(now, actions);
        self.on_snapshot_rate_limits(now, &snapshot.rate_limits);
        self.on_snapshot_leaving(now, &snapshot.leaving);
        self.pool.refresh(now, &self.health);
        self.advance(now)
    }
}
