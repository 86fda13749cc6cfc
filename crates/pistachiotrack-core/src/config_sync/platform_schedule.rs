//! Schedule of a VM's calls to the platform. It bounds the total rate of calls by all VMs.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::{config_sync::ConfigSyncSettings, time::Time};

/// Time after the expected end of a watch at which it counts as lost.
const WATCH_GRACE: Duration = Duration::from_secs(10);
const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// Factor by which the minimum retry delay exceeds the duration over which the first
/// reads are spread, because retries of list reads and of value reads coincide.
pub(super) const RETRY_SPREADS: u32 = 2;

/// The role in which a VM reads the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// One of the watchers of its data centre.
    Watcher,
    /// No other VM is known to be alive.
    Alone,
    /// As [`Role::Alone`], and the VM started without the VM list.
    Unlisted,
    /// Other VMs watch; this one has no configuration yet.
    Cold,
    /// Other VMs watch; this one has a configuration.
    Follower,
    /// Reads in place of a watcher that gets no response from the platform.
    Standby,
    /// Other VMs watch; no confirmation that the configuration is the newest one has reached
    /// this VM for so long that its lease would end soon.
    Renewing,
}

impl Role {
    /// Returns the role's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Role::Watcher => "watcher",
            Role::Alone => "alone",
            Role::Unlisted => "unlisted",
            Role::Cold => "cold",
            Role::Follower => "follower",
            Role::Standby => "standby",
            Role::Renewing => "renewing",
        }
    }
}

/// Delays after failed calls.
#[derive(Clone, Copy, Debug, Default)]
struct Backoff {
    /// Delay after the first failure; doubles with each further one.
    initial_ms: u64,
    max_ms: u64,
    /// Lower bound, which takes precedence over the other two.
    min_ms: u64,
    /// Whether the delay after the first failure counts from the start of the call: a watch that is
    /// cut after some time needs no further delay.
    first_from_start: bool,
}

/// The schedule of one VM's calls to the platform.
#[derive(Clone, Debug)]
pub(super) struct PlatformSchedule {
    settings: ConfigSyncSettings,
    /// Random position in 0..1 of this VM in every time span over which the fleet
    /// spreads calls that would otherwise start at the same moment.
    jitter_position: f64,
    started: Option<Time>,
    pending_since: Option<Time>,
    /// Start of the last call, whether it has ended or not.
    last_call_started: Time,
    /// Duration over which the fleet's calls are spread at its current size.
    spread_duration: Duration,
    backoff: Backoff,
    not_before: Time,
    failures: u32,
    last_response: Option<Time>,
    /// Last evidence that changes still reach this VM.
    last_confirmed: Time,
}

impl PlatformSchedule {
    pub(super) fn new(settings: ConfigSyncSettings, rng: &mut impl Rng) -> PlatformSchedule {
        PlatformSchedule {
            settings,
            jitter_position: rng.random(),
            started: None,
            pending_since: None,
            last_call_started: Time::ZERO,
            spread_duration: Duration::ZERO,
            backoff: Backoff::default(),
            not_before: Time::ZERO,
            failures: 0,
            last_response: None,
            last_confirmed: Time::ZERO,
        }
    }

    /// Returns whether a call starts now, and records its start.
    pub(super) fn start_call(
        &mut self,
        now: Time,
        role: Role,
        fleet_size: usize,
        rng: &mut impl Rng,
    ) -> bool {
        let started = *self.started.get_or_insert(now);
        self.last_confirmed = self.last_confirmed.max(started);
        self.spread_duration = spread_duration(fleet_size, self.settings.first_reads_per_second);
        self.backoff = self.backoff(role);
        if role == Role::Follower {
            // Failures as a standby must not delay its next turn as a standby.
            self.failures = 0;
            self.not_before = Time::ZERO;
        }
        self.expire_lost_watch(now, rng);
        if self.pending_since.is_some() || now < self.not_before {
            return false;
        }
        if now < self.earliest_call(started, role, fleet_size) {
            return false;
        }
        self.pending_since = Some(now);
        self.last_call_started = now;
        true
    }

    /// Records a response with a value, or the end of a watch without one.
    pub(super) fn on_response(&mut self, now: Time) {
        self.last_response = Some(now);
        self.last_confirmed = now;
        self.pending_since = None;
        // Without a gap, a platform that ends watches immediately would be called
        // in a loop.
        self.not_before = self.not_before.max(self.last_call_started + self.min_watch_gap());
    }

    /// Records that a value newer than the active one arrived.
    pub(super) fn on_newer(&mut self, now: Time) {
        self.failures = 0;
        self.not_before = now + Duration::from_millis(self.settings.change_gap_ms);
    }

    /// Records that the platform has nothing newer.
    pub(super) fn on_unchanged(&mut self) {
        self.failures = 0;
    }

    /// Records a call that failed or returned a value that can't be used.
    pub(super) fn on_failure(&mut self, now: Time, rng: &mut impl Rng) {
        self.pending_since = None;
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        let Backoff { initial_ms, max_ms, min_ms, first_from_start } = self.backoff;
        let delay_ms = initial_ms.saturating_mul(1 << doublings).min(max_ms).max(min_ms);
        let is_first = self.failures == 0;
        self.failures = self.failures.saturating_add(1);
        let jittered_ms = delay_ms as f64 * rng.random_range(0.5..1.5);
        let from = if is_first && first_from_start { self.last_call_started } else { now };
        self.not_before = now.max(from + Duration::from_millis(jittered_ms as u64));
    }

    /// Records that a newer version arrived from a peer.
    pub(super) fn on_peer_version(&mut self, now: Time) {
        self.last_confirmed = now;
    }

    /// Returns the time since the platform last responded to this VM.
    pub(super) fn time_since_response(&self, now: Time) -> Option<Duration> {
        self.last_response.map(|last_response| now.since(last_response))
    }

    /// Returns the end of the duration over which the first reads of the fleet are spread.
    pub(super) fn first_reads_end(&self) -> Time {
        self.started.unwrap_or(Time::ZERO) + self.spread_duration
    }

    /// Returns the longest expected time between two responses to a watcher that reaches
    /// the platform.
    pub(super) fn max_response_gap(&self) -> Duration {
        let ConfigSyncSettings { watch_timeout_ms, change_gap_ms, standby_margin_ms, .. } =
            self.settings;
        let watch =
            Duration::from_millis(watch_timeout_ms + change_gap_ms).max(self.min_watch_gap());
        watch + Duration::from_millis(standby_margin_ms)
    }

    fn min_watch_gap(&self) -> Duration {
        Duration::from_millis(self.settings.min_watch_gap_ms)
    }

    fn backoff(&self, role: Role) -> Backoff {
        let ConfigSyncSettings { min_backoff_ms, max_backoff_ms, .. } = self.settings;
        let regular = Backoff {
            initial_ms: min_backoff_ms,
            max_ms: max_backoff_ms,
            min_ms: 0,
            first_from_start: false,
        };
        match role {
            Role::Watcher | Role::Renewing => Backoff { first_from_start: true, ..regular },
            Role::Standby => Backoff {
                initial_ms: self.settings.standby_backoff_ms,
                max_ms: self.settings.unconfirmed_read_after_ms,
                ..regular
            },
            // Watchers that know peers are few. The whole fleet may have these roles at once,
            // and short retry delays of all its VMs would keep the platform overloaded.
            Role::Alone | Role::Unlisted | Role::Cold | Role::Follower => Backoff {
                min_ms: (self.spread_duration * RETRY_SPREADS).as_millis() as u64,
                ..regular
            },
        }
    }

    /// Returns the earliest start of the next call.
    fn earliest_call(&self, started: Time, role: Role, fleet_size: usize) -> Time {
        match role {
            // When the whole fleet starts at once, no VM knows another one that is
            // alive, and each acts as a watcher. All of them would call the platform
            // within the same second; spreading them keeps the calls within its rate.
            Role::Watcher | Role::Alone => {
                started + self.spread_duration.mul_f64(self.jitter_position)
            }
            // When all deployments start at once, the reads of VM lists use up the
            // platform's rate. A VM that has its list soon finds a peer, so hardly any
            // VM still has this role in the second time span.
            Role::Unlisted => started + self.spread_duration.mul_f64(1.0 + self.jitter_position),
            Role::Cold => {
                let wait = Duration::from_millis(self.settings.cold_read_after_ms);
                started + wait + self.spread_duration.mul_f64(self.jitter_position)
            }
            Role::Standby | Role::Renewing => started,
            // All watchers and standbys may be cut off from the platform while this VM
            // is not. The interval grows with the fleet, so that all followers together
            // call at a fixed rate whatever their number, also while the platform is
            // down and every call fails.
            Role::Follower => {
                let wait = Duration::from_millis(self.settings.unconfirmed_read_after_ms);
                let interval = spread_duration(fleet_size, self.settings.follower_reads_per_second);
                self.last_confirmed.max(self.last_call_started)
                    + wait.max(interval).mul_f64(1.0 + self.jitter_position)
            }
        }
    }

    /// Ends a watch whose connection is dead and which never reports its end.
    /// Otherwise no further watch would start and changes would stop arriving.
    fn expire_lost_watch(&mut self, now: Time, rng: &mut impl Rng) {
        let max_wait = Duration::from_millis(self.settings.watch_timeout_ms) + WATCH_GRACE;
        if self.pending_since.is_some_and(|started| now.since(started) > max_wait) {
            self.on_failure(now, rng);
        }
    }
}

/// Returns the duration over which `fleet_size` calls make the given rate.
pub(super) fn spread_duration(fleet_size: usize, per_second: f64) -> Duration {
    Duration::from_secs_f64(fleet_size as f64 / per_second.max(0.001))
}
