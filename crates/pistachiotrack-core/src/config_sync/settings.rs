//! Settings of the configuration distribution.

use serde::Deserialize;

/// Settings of the configuration distribution.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConfigSyncSettings {
    /// Number of VMs per data centre that watch the platform.
    pub watchers_per_data_centre: u32,
    /// Number of VMs per data centre, ranked after the watchers, that read the platform
    /// while fewer watchers get a response. They are notified of each response to a
    /// watcher.
    pub standbys_per_data_centre: u32,
    /// Interval between the first calls of consecutive standbys.
    pub standby_step_ms: u64,
    /// Time by which a response to a watcher may be late before a standby reads.
    pub standby_margin_ms: u64,
    /// Delay after the first failed call of a standby. It doubles with each further failure,
    /// up to `unconfirmed_read_after_ms`, with jitter.
    pub standby_backoff_ms: u64,
    /// Time after which the platform ends a pending watch.
    pub watch_timeout_ms: u64,
    /// Minimum interval between the starts of two watches that return nothing newer.
    pub min_watch_gap_ms: u64,
    /// Timeout of a pull of deltas, after which another peer is queried.
    pub delta_timeout_ms: u64,
    /// Timeout of a pull of the full configuration, or of a pull after several timeouts.
    pub pull_timeout_ms: u64,
    /// Bandwidth that a VM spends on responses to pulls. Pulls beyond it are redirected
    /// to other VMs.
    pub answer_bytes_per_second: u64,
    /// Delay after the first failed call to the platform; doubles with each
    /// further failure, with jitter.
    pub min_backoff_ms: u64,
    /// Upper bound of that delay.
    pub max_backoff_ms: u64,
    /// Rate of first reads of the value, and also of the VM list, by all VMs of a
    /// deployment that start at once. All 121 deployments of 48 VMs share the platform's
    /// limit of 2,000 reads per second.
    pub first_reads_per_second: f64,
    /// Rate of reads by all VMs of the fleet that aren't watchers.
    pub follower_reads_per_second: f64,
    /// Time for which a VM without a configuration waits for the watchers.
    pub cold_read_after_ms: u64,
    /// Time without any change after which a VM that is neither watcher nor standby reads
    /// the platform once; longer in a large fleet.
    pub unconfirmed_read_after_ms: u64,
    /// Assumed size of the fleet while neither the VM list nor members are known.
    #[serde(skip, default = "assumed_fleet_vms")]
    pub assumed_fleet_vms: u32,
    /// Time for which a VM without a configuration holds the platform's first value
    /// until a peer has reported whether it has a newer one.
    pub first_value_grace_ms: u64,
    /// Delay after a newer value before the next watch starts, so that changes in quick
    /// succession are read together.
    pub change_gap_ms: u64,
    /// Time for which a rejected version isn't read again.
    pub rejected_hold_ms: u64,
}

impl Default for ConfigSyncSettings {
    fn default() -> ConfigSyncSettings {
        ConfigSyncSettings {
            watchers_per_data_centre: 2,
            standbys_per_data_centre: 16,
            standby_step_ms: 20,
            standby_margin_ms: 200,
            standby_backoff_ms: 2_000,
            watch_timeout_ms: 30_000,
            min_watch_gap_ms: 1_000,
            delta_timeout_ms: 500,
            pull_timeout_ms: 4_000,
            // 80% of a link of 10 Mbit/s, the slowest that VMs have.
            answer_bytes_per_second: 1_000_000,
            min_backoff_ms: 200,
            max_backoff_ms: 5_000,
            first_reads_per_second: 10.0,
            follower_reads_per_second: 20.0,
            cold_read_after_ms: 5_000,
            unconfirmed_read_after_ms: 60_000,
            assumed_fleet_vms: assumed_fleet_vms(),
            first_value_grace_ms: 1_000,
            change_gap_ms: 0,
            rejected_hold_ms: 60_000,
        }
    }
}

/// Fleet size that is assumed if the VM's settings don't give one.
fn assumed_fleet_vms() -> u32 {
    48
}
