//! What logs and metrics tell of how this VM gets its configuration.

use std::time::Duration;

use kameo::message::{Context as MessageContext, Message};
use pistachiotrack_core::{
    config_sync::{ConfigSync, Role},
    time::Time,
};

use super::Fleet;

/// Time for which a version may be on its way without a line, and time between two lines.
const BEHIND_INTERVAL: Duration = Duration::from_millis(500);

/// Asks how this VM gets its configuration.
pub(crate) struct GetConfigStatus;

/// How this VM gets its configuration, and whether it can be used.
#[derive(Clone, Debug, Default, kameo::Reply)]
pub(crate) struct ConfigStatus {
    /// Why the newest published configuration was not accepted.
    pub(crate) error: Option<String>,
    /// Time since the platform's service last answered.
    pub(crate) platform_age_ms: Option<u64>,
    /// Time since this VM heard of a version that it doesn't hold.
    pub(crate) behind_ms: Option<u64>,
}

impl Message<GetConfigStatus> for Fleet {
    type Reply = ConfigStatus;

    async fn handle(
        &mut self,
        _: GetConfigStatus,
        _: &mut MessageContext<Self, ConfigStatus>,
    ) -> ConfigStatus {
        let now = self.context.clock.now();
        let behind = self.sync.version_lag();
        ConfigStatus {
            error: self.sync.last_error().map(ToString::to_string),
            platform_age_ms: self.sync.time_since_platform_response(now).map(millis),
            behind_ms: behind.map(|behind| millis(now.since(behind.since))),
        }
    }
}

/// What was last written of the configuration's spread.
#[derive(Debug, Default)]
pub(super) struct ConfigLog {
    role: Option<Role>,
    behind_told: Option<Time>,
}

impl ConfigLog {
    /// Writes a line when this VM begins or ceases to read the platform, and while it lacks
    /// a version that it has heard of.
    pub(super) fn on_tick(&mut self, now: Time, sync: &ConfigSync) {
        self.tell_role(now, sync);
        self.tell_behind(now, sync);
    }

    fn tell_role(&mut self, now: Time, sync: &ConfigSync) {
        let role = sync.role();
        if std::mem::replace(&mut self.role, role) == role {
            return;
        }
        if let Some(role) = role {
            log::info!(
                "event=config_role role={} platform_age_ms={:?}",
                role.as_str(),
                sync.time_since_platform_response(now).map(millis)
            );
        }
    }

    fn tell_behind(&mut self, now: Time, sync: &ConfigSync) {
        let Some(behind) = sync.version_lag() else { return };
        let told = self.behind_told.map_or(behind.since, |told| told.max(behind.since));
        if now.since(told) < BEHIND_INTERVAL {
            return;
        }
        self.behind_told = Some(now);
        log::warn!(
            "event=config_behind in_force={:?} heard={} behind_ms={} holders={} asking={}",
            sync.version(),
            behind.version,
            millis(now.since(behind.since)),
            behind.holder_count,
            behind.pulling_from.as_deref().unwrap_or("none")
        );
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
