//! Configurations from a registry that has been restored from an older copy.

use crate::{
    config::Config,
    registry_view::{RESTORE_HOLD, RegistryPosition},
    time::Time,
};

/// Time in which operators may repeat what the restored registry lacks.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RestoreHold {
    /// Era of the registry since it was restored.
    era: Option<u64>,
    until: Option<Time>,
}

impl RestoreHold {
    /// Returns whether a configuration comes from a restored registry that lacks the operators'
    /// part that is active here.
    ///
    /// A VM that has just started has nothing but what the restored registry holds. Its
    /// configuration is of a later era, and the others would go back to an older one.
    pub(super) fn lacks_lost_writes(
        &mut self,
        now: Time,
        active: &Config,
        offered: &Config,
    ) -> bool {
        if offered.operators_version.is_none() {
            return false;
        }
        let offered_era = era(offered.version);
        if offered_era > era(active.version) && self.era != Some(offered_era) {
            self.era = Some(offered_era);
            self.until = Some(now + RESTORE_HOLD);
        }
        let is_held = self.until.is_some_and(|until| now < until);
        is_held && offered.operators_version < active.operators_version
    }
}

/// Returns whether a version was assembled from the registry before it was restored to the state
/// that `offered` shows.
pub(super) fn is_of_earlier_era(version: u64, offered: &Config) -> bool {
    offered.operators_version.is_some() && era(version) < era(offered.version)
}

fn era(version: u64) -> u64 {
    RegistryPosition::of_version(version).era
}
