//! Relative speeds of the endpoints, for services with `endpoint_speed`.

use std::time::Duration;

use super::{Pool, PoolEntry};
use crate::{
    request::Class,
    shard::{
        EndedAttempt,
        speed::{DispatchConditions, EndpointSpeed, SnapshotSpeed, UsualTimes, is_nearly_full},
        state::AttemptState,
    },
    time::Time,
};

/// Interval at which the decay of all estimates is applied. It is short against their half-life,
/// and long against the time between two selections, which don't pay for it.
const DECAY_INTERVAL: Duration = Duration::from_millis(250);

/// What the estimates of all endpoints of a service have in common.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceSpeeds {
    is_enabled: bool,
    usual_times: UsualTimes,
    next_decay: Time,
    /// End of the last pause of this process.
    resumed_at: Time,
}

impl Pool {
    /// Switches the use of endpoint speeds on or off. Estimates from before are discarded.
    pub(in crate::shard) fn set_endpoint_speed(&mut self, is_enabled: bool) {
        if self.speeds.is_enabled == is_enabled {
            return;
        }
        self.speeds = ServiceSpeeds {
            is_enabled,
            resumed_at: self.speeds.resumed_at,
            ..ServiceSpeeds::default()
        };
        self.endpoints.values_mut().for_each(|entry| entry.speed = EndpointSpeed::default());
    }

    /// Records that this process was paused until `now`.
    pub(in crate::shard) fn on_pause(&mut self, now: Time) {
        self.speeds.resumed_at = now;
    }

    /// Returns the conditions of an attempt that is about to be dispatched, if speeds are estimated.
    /// Otherwise they would only add to the size of updates.
    pub(in crate::shard) fn dispatch_conditions(
        &self,
        name: &str,
        idempotent: bool,
    ) -> Option<DispatchConditions> {
        let entry = self.endpoints.get(name).filter(|_| self.speeds.is_enabled)?;
        let nearly_full = is_nearly_full(entry.busy() + 1, entry.endpoint.slots);
        Some(DispatchConditions { idempotent, nearly_full })
    }

    /// Returns the conditions of an attempt whose time is evidence about its endpoint's speed.
    ///
    /// It isn't if it includes a pause of this VM, or the way through a relay.
    pub(in crate::shard) fn speed_conditions(
        &self,
        state: &AttemptState,
    ) -> Option<DispatchConditions> {
        let is_evidence = state.relay.is_none() && state.dispatched_at >= self.speeds.resumed_at;
        state.conditions.filter(|_| is_evidence)
    }

    /// Records the time of a good answer to this VM.
    pub(in crate::shard) fn on_own_answer(
        &mut self,
        now: Time,
        state: &AttemptState,
        time: Duration,
    ) {
        if let Some(conditions) = self.speed_conditions(state) {
            self.record_speed(now, &state.endpoint, state.class, conditions, time);
        }
    }

    /// Records the time of a good answer to another VM.
    pub(in crate::shard) fn on_peer_answer(&mut self, now: Time, name: &str, ended: EndedAttempt) {
        if let Some(conditions) = ended.conditions {
            let time = Duration::from_micros(ended.latency_us);
            self.record_speed(now, name, ended.class, conditions, time);
        }
    }

    fn record_speed(
        &mut self,
        now: Time,
        name: &str,
        class: Class,
        conditions: DispatchConditions,
        time: Duration,
    ) {
        if !self.speeds.is_enabled {
            return;
        }
        if let Some(entry) = self.endpoints.get_mut(name) {
            entry.speed.record(now, &mut self.speeds.usual_times, class, conditions, time);
            entry.speed.refresh(now, entry.endpoint.slots);
        }
    }

    /// Applies the decay of all estimates if it is due.
    pub(super) fn decay_speeds(&mut self, now: Time) {
        if self.speeds.is_enabled && now >= self.speeds.next_decay {
            self.speeds.next_decay = now + DECAY_INTERVAL;
            for entry in self.endpoints.values_mut() {
                entry.speed.refresh(now, entry.endpoint.slots);
            }
        }
    }

    /// Returns the speed of an endpoint for a snapshot, if it is estimated.
    pub(in crate::shard) fn snapshot_speed(&self, now: Time, name: &str) -> Option<SnapshotSpeed> {
        self.endpoints.get(name).and_then(|entry| entry.speed.snapshot(now))
    }

    /// Adopts the speed of an endpoint from another VM's snapshot.
    pub(in crate::shard) fn adopt_speed(&mut self, now: Time, name: &str, speed: SnapshotSpeed) {
        if !self.speeds.is_enabled {
            return;
        }
        if let Some(entry) = self.endpoints.get_mut(name) {
            entry.speed.adopt(now, speed);
            entry.speed.refresh(now, entry.endpoint.slots);
        }
    }
}

impl PoolEntry {
    /// Returns how many requests all VMs have in flight.
    pub(super) fn busy(&self) -> u32 {
        self.in_flight.saturating_add(self.peer_in_flight())
    }

    /// Returns the speeds relative to the mean of the service, if they are estimated: while the
    /// endpoint isn't nearly full, and while it is.
    pub(in crate::shard) fn relative_speeds(&self, now: Time) -> Option<[f64; 2]> {
        self.speed.is_known().then(|| self.speed.ln_times(now).map(|ln_time| (-ln_time).exp()))
    }
}
