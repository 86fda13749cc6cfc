//! Settings of the lease on the configuration.

use std::time::Duration;

use serde::Deserialize;

use crate::config_sync::ConfigSyncSettings;

/// Part of the maximum age that is kept back for the granularity of clocks.
const MARGIN: Duration = Duration::from_millis(250);
/// Fraction of the maximum age after which a watch of the platform ends.
const WATCH_FRACTION: f64 = 0.09;
/// Fraction of the maximum age between the starts of two watches.
const WATCH_GAP_FRACTION: f64 = 0.1;
/// Fraction of the maximum age from which a VM also asks a VM other than its parent.
const SLOW_FRACTION: f64 = 0.25;
/// Fraction from which it asks several VMs, also in other data centres.
const LATE_FRACTION: f64 = 0.4;
/// Fractions between which it begins to read the platform itself.
const READ_FRACTIONS: (f64, f64) = (0.5, 0.7);
/// Fractions of the maximum age between which a VM without a lease begins to do so.
const FIRST_READ_FRACTIONS: (f64, f64) = (0.1, 0.3);
/// Fraction from which it doesn't offer itself to callers.
const WITHDRAW_FRACTION: f64 = 0.6;

/// Settings of the lease on the configuration.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConfigLeaseSettings {
    /// Time after a change of the configuration from which no VM may serve requests with an
    /// API key that it took away, also a VM that nobody reaches. `None`: API keys are checked
    /// with the configuration that a VM has, whatever its age.
    pub max_age_s: Option<f64>,
    /// Interval at which a VM asks another one for its last confirmation.
    pub query_interval_ms: u64,
    /// Number of VMs that ask the same one.
    pub fanout: u32,
}

impl Default for ConfigLeaseSettings {
    fn default() -> ConfigLeaseSettings {
        ConfigLeaseSettings { max_age_s: None, query_interval_ms: 300, fanout: 8 }
    }
}

impl ConfigLeaseSettings {
    /// Returns the first field with an invalid value, and what is wrong with it.
    pub fn problem(&self) -> Option<(&'static str, String)> {
        let minimum_s = 2.0 * MARGIN.as_secs_f64();
        if let Some(max_age_s) = self.max_age_s.filter(|age| *age <= minimum_s || age.is_nan()) {
            let problem = format!("{max_age_s} is not above {minimum_s}");
            return Some(("config_lease.max_age_s", problem));
        }
        if self.query_interval_ms == 0 {
            return Some(("config_lease.query_interval_ms", "0 is not above 0".to_owned()));
        }
        if self.fanout == 0 {
            return Some(("config_lease.fanout", "0 is not above 0".to_owned()));
        }
        None
    }

    /// Returns the duration of the lease from a confirmation on, if there is a lease.
    pub fn duration(&self) -> Option<Duration> {
        self.max_age().map(|max_age| max_age.saturating_sub(MARGIN))
    }

    /// Returns settings of the configuration distribution with which watches end often enough: a
    /// confirmation is as old as the request that it comes from.
    pub fn limit_watches(&self, settings: ConfigSyncSettings) -> ConfigSyncSettings {
        let Some(max_age) = self.max_age() else { return settings };
        let at_most =
            |value_ms: u64, fraction| value_ms.min(max_age.mul_f64(fraction).as_millis() as u64);
        ConfigSyncSettings {
            watch_timeout_ms: at_most(settings.watch_timeout_ms, WATCH_FRACTION),
            min_watch_gap_ms: at_most(settings.min_watch_gap_ms, WATCH_GAP_FRACTION),
            ..settings
        }
    }

    /// Returns the interval of queries.
    pub(super) fn query_interval(&self) -> Duration {
        Duration::from_millis(self.query_interval_ms)
    }

    /// Returns the age from which one more VM is asked.
    pub(super) fn slow_age(&self) -> Duration {
        self.fraction(SLOW_FRACTION)
    }

    /// Returns the age from which several VMs are asked.
    pub(super) fn late_age(&self) -> Duration {
        self.fraction(LATE_FRACTION)
    }

    /// Returns the age from which a VM at `position`, between 0 and 1, reads the platform. The
    /// VMs begin one after the other, so that the first answers reach the others in time.
    pub fn read_age(&self, position: f64) -> Duration {
        let (first, last) = READ_FRACTIONS;
        self.fraction(first + (last - first) * position)
    }

    /// Returns the time after which a VM at `position` that has never had a lease reads the
    /// platform.
    pub fn first_read_delay(&self, position: f64) -> Duration {
        let (first, last) = FIRST_READ_FRACTIONS;
        self.fraction(first + (last - first) * position)
    }

    /// Returns the age from which a VM doesn't offer itself to callers: the lease will end
    /// before they have used the answer.
    pub fn withdraw_age(&self) -> Duration {
        self.fraction(WITHDRAW_FRACTION)
    }

    fn max_age(&self) -> Option<Duration> {
        self.max_age_s.map(Duration::from_secs_f64)
    }

    fn fraction(&self, fraction: f64) -> Duration {
        self.max_age().unwrap_or(Duration::MAX).mul_f64(fraction)
    }
}
