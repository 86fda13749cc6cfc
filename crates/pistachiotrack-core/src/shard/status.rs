//! Status of a shard for the admin port.

use super::Shard;
use crate::{
    admin::EndpointStatus,
    health::{EjectReason, HealthState},
    name::Name,
    rate_limit::RateLimit,
    time::Time,
};

impl Shard {
    /// Returns the status of the endpoints for the admin port.
    pub fn endpoints(&self, now: Time) -> Vec<EndpointStatus> {
        let mode = self.pool.mode();
        self.pool
            .configured()
            .map(|entry| {
                let name = &entry.endpoint.name;
                let speeds = entry.relative_speeds(now);
                EndpointStatus {
                    service: self.id.service.clone(),
                    endpoint: name.clone(),
                    state: Name::from(state_name(self.health.state(name))),
                    in_flight: entry.in_flight,
                    limit: entry.limit,
                    rate_limit: entry.rate_limit().map(RateLimit::per_second),
                    refuses_ms: entry
                        .refuses_until()
                        .map(|until| until.since(now).as_millis() as u64),
                    relative_speed: speeds.map(|[below, _]| below),
                    relative_speed_nearly_full: speeds.map(|[_, nearly_full]| nearly_full),
                    evidence: self.health.evidence(name),
                    mode: Name::from(mode.as_str()),
                    reason: self
                        .health
                        .last_ejection_reason(name)
                        .map(EjectReason::as_str)
                        .map(Name::from),
                }
            })
            .collect()
    }
}

fn state_name(state: HealthState) -> &'static str {
    match state {
        HealthState::Healthy => "healthy",
        HealthState::Suspect => "suspect",
        HealthState::HeldByFloor => "held_by_floor",
        HealthState::Ejected => "ejected",
        HealthState::Trial => "trial",
        HealthState::SlowStart => "slow_start",
        HealthState::Draining => "draining",
    }
}
