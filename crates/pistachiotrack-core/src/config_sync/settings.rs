//! Settings of the configuration's spread.

use serde::Deserialize;

/// Settings of the configuration's spread.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConfigSyncSettings {
    /// VMs of each data centre that watch the platform.
    pub watchers_per_data_centre: u32,
    /// VMs of each data centre, after the watchers, that read the platform while fewer
    /// watchers are answered. They are told of each answer to a watcher.
    pub standbys_per_data_centre: u32,
    /// Time between the first calls of two standbys.
    pub standby_step_ms: u64,
    /// Time by which an answer to a watcher may be late before a standby reads.
    pub standby_margin_ms: u64,
    /// Wait after the first failed call of a standby; doubled by each further one, up to
    /// `unconfirmed_read_after_ms`, with jitter.
    pub standby_backoff_ms: u64,
    /// Time after which a waiting watch is ended by the platform.
    pub watch_timeout_ms: u64,
    /// Time after which a pull of deltas has failed and another peer is asked.
    pub delta_timeout_ms: u64,
    /// The same for a pull of the whole value, or after several failed ones.
    pub pull_timeout_ms: u64,
    /// Bytes a second that a VM spends on answering others; those that ask beyond
    /// it are sent elsewhere.
    pub answer_bytes_per_second: u64,
    /// Wait after the first failed call to the platform; doubled by each
    /// further one, with jitter.
    pub min_backoff_ms: u64,
    /// Longest such wait.
    pub max_backoff_ms: u64,
    /// First reads of the value, and of the list, by all VMs of one deployment
    /// when they start at once. The platform's 2,000 a second are for all 121
    /// deployments of 48 VMs.
    pub first_reads_per_second: f64,
    /// Reads of the whole fleet by VMs that don't watch.
    pub follower_reads_per_second: f64,
    /// Time that a VM without a configuration waits for the watchers.
    pub cold_read_after_ms: u64,
    /// Time without any change after which a VM that is neither watcher nor standby reads
    /// once; longer in a large fleet.
    pub unconfirmed_read_after_ms: u64,
    /// Size of the fleet while neither list nor members are known.
    #[serde(skip, default = "assumed_fleet_vms")]
    pub assumed_fleet_vms: u32,
    /// Time for which a VM without a configuration holds the platform's first
    /// value back to hear whether a peer has a newer one.
    pub first_value_grace_ms: u64,
    /// Time after a newer value before the next watch begins, so that changes in
    /// quick succession are read together.
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
            delta_timeout_ms: 500,
            pull_timeout_ms: 4_000,
            // Eight tenths of a link of 10 Mbit/s, the slowest that VMs have.
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

/// Size of the fleet where the settings of the VM don't say.
fn assumed_fleet_vms() -> u32 {
    48
}
