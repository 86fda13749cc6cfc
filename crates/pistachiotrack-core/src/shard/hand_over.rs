//! State transfer from a shard's owner to its successor.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Shard, ShardAction};
use crate::{
    health::HealthHandOver, idempotency::KeyHandOver, name::Name, ownership::ShardId, time::Time,
};

/// Multiple of the average slot time for which a predecessor's requests count against their
/// endpoints.
const PREDECESSOR_SLOT_TIME_FACTOR: u32 = 2;

/// State that an owner transfers to its successor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardHandOver {
    /// The shard.
    pub shard: ShardId,
    /// Health of the endpoints.
    pub health: Vec<HealthHandOver>,
    /// Requests still in flight by endpoint.
    pub in_flight: Vec<(Name, u32)>,
    /// Average time for which a request occupies its slot, if known.
    #[serde(default)]
    pub average_slot_time_us: Option<u64>,
    /// Idempotency keys on record, newest first, up to a maximum size.
    #[serde(default)]
    pub keys: Vec<KeyHandOver>,
    /// Endpoints that have said that they are leaving.
    #[serde(default)]
    pub leaving: Vec<Name>,
}

impl Shard {
    /// Returns the state for a successor.
    pub fn hand_over(&self, now: Time) -> ShardHandOver {
        ShardHandOver {
            shard: self.id.clone(),
            health: self.health.hand_over(now),
            in_flight: self
                .pool
                .in_flight_by_endpoint()
                .map(|(name, count)| (name.clone(), count))
                .collect(),
            average_slot_time_us: self
                .slot_time
                .value()
                .map(|slot_time| slot_time.as_micros() as u64),
            keys: self.keys.hand_over(now),
            leaving: self.pool.said_leaving(now).cloned().collect(),
        }
    }

    /// Applies the state of a predecessor.
    ///
    /// Its requests in flight count against their endpoints until about twice the average slot
    /// time has passed.
    pub fn on_hand_over(&mut self, now: Time, from: &ShardHandOver) -> Vec<ShardAction> {
        if from.shard != self.id {
            return Vec::new();
        }
        let actions = self.health.on_hand_over(now, &from.health);
        self.on_health_actions(now, actions);
        self.keys.on_hand_over(now, &from.keys);
        for endpoint in &from.leaving {
            self.on_peer_said_leaving(now, endpoint);
        }
        if let (None, Some(slot_time_us)) = (self.slot_time.value(), from.average_slot_time_us) {
            self.slot_time.seed(Duration::from_micros(slot_time_us));
        }
        let allowance = self
            .slot_time
            .value()
            .map_or(self.takeover_grace, |slot_time| slot_time * PREDECESSOR_SLOT_TIME_FACTOR);
        let until = now + allowance.min(self.takeover_grace);
        for (endpoint, in_flight) in &from.in_flight {
            self.pool.set_predecessor_in_flight(endpoint, *in_flight, until);
        }
        self.pool.halve_limits_until(now);
        self.pool.refresh(now, &self.health);
        self.advance(now)
    }
}
