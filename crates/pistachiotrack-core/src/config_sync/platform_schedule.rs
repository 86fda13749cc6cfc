//! When to read the platform, so that all VMs together read little.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::{config_sync::ConfigSyncSettings, time::Time};

/// Time after which a watch that should have ended counts as lost.
const WATCH_GRACE: Duration = Duration::from_secs(10);
/// Shortest time between two watches that brought nothing newer.
const MIN_WATCH_GAP: Duration = Duration::from_secs(1);
const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// Times that the first reads are spread over in which all retries fall: those
/// of the list and those of the value come together.
pub(super) const RETRY_SPREADS: u32 = 2;

/// Why this VM reads the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It is one of its data centre's watchers.
    Watcher,
    /// It knows nobody alive.
    Alone,
    /// The same, and it began without the list that tells of others.
    Unlisted,
    /// Others watch; it has no configuration yet.
    Cold,
    /// Others watch; it has a configuration.
    Follower,
    /// It reads in place of a watcher that the platform doesn't answer.
    Standby,
}

impl Role {
    /// Returns the role's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Role::Watcher => "watcher",
            Role::Alone => "is_alone",
            Role::Unlisted => "unlisted",
            Role::Cold => "cold",
            Role::Follower => "follower",
            Role::Standby => "standby",
        }
    }
}

/// Waits after failed calls.
#[derive(Clone, Copy, Debug, Default)]
struct Backoff {
    /// After the first one; doubled by each further one.
    initial_ms: u64,
    max_ms: u64,
    /// Lower limit, whatever the others say.
    min_ms: u64,
}

/// The schedule of one VM's calls to the platform.
#[derive(Clone, Debug)]
pub(super) struct PlatformSchedule {
    settings: ConfigSyncSettings,
    /// This VM's place in every jittered wait that the whole fleet begins at
    /// the same moment.
    jitter_position: f64,
    started: Option<Time>,
    pending_since: Option<Time>,
    /// Beginning of the last watch, ended or not.
    last_call_started: Time,
    /// Time over which the fleet's calls are spread at its present size.
    spread_duration: Duration,
    backoff: Backoff,
    not_before: Time,
    failures: u32,
    last_response: Option<Time>,
    /// Last sign that changes still reach this VM.
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

    /// Returns whether a watch begins now, and notes that it does.
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
            // Failures as a standby must not delay the next time it stands in.
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

    /// Notes a value or the end of a watch without one.
    pub(super) fn on_response(&mut self, now: Time) {
        self.last_response = Some(now);
        self.last_confirmed = now;
        self.pending_since = None;
        // A platform that ends watches at once would be asked without pause.
        self.not_before = self.not_before.max(self.last_call_started + MIN_WATCH_GAP);
    }

    /// Notes that a value newer than the one held came.
    pub(super) fn on_newer(&mut self, now: Time) {
        self.failures = 0;
        self.not_before = now + Duration::from_millis(self.settings.change_gap_ms);
    }

    /// Notes that the platform knows nothing newer.
    pub(super) fn on_unchanged(&mut self) {
        self.failures = 0;
    }

    /// Notes a call that failed, or brought a value that can't be taken.
    pub(super) fn on_failure(&mut self, now: Time, rng: &mut impl Rng) {
        self.pending_since = None;
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        let Backoff { initial_ms, max_ms, min_ms } = self.backoff;
        let delay_ms = initial_ms.saturating_mul(1 << doublings).min(max_ms).max(min_ms);
        self.failures = self.failures.saturating_add(1);
        let jittered_ms = delay_ms as f64 * rng.random_range(0.5..1.5);
        self.not_before = now + Duration::from_millis(jittered_ms as u64);
    }

    /// Notes that a newer version came from a peer.
    pub(super) fn on_peer_version(&mut self, now: Time) {
        self.last_confirmed = now;
    }

    /// Returns the time since the platform last answered this VM.
    pub(super) fn time_since_response(&self, now: Time) -> Option<Duration> {
        self.last_response.map(|last_response| now.since(last_response))
    }

    /// Returns the end of the time over which the first reads of the fleet are spread.
    pub(super) fn first_reads_end(&self) -> Time {
        self.started.unwrap_or(Time::ZERO) + self.spread_duration
    }

    /// Returns the longest time between two answers to a watcher that reaches the platform.
    pub(super) fn max_response_gap(&self) -> Duration {
        let ConfigSyncSettings { watch_timeout_ms, change_gap_ms, standby_margin_ms, .. } =
            self.settings;
        let watch = Duration::from_millis(watch_timeout_ms + change_gap_ms).max(MIN_WATCH_GAP);
        watch + Duration::from_millis(standby_margin_ms)
    }

    fn backoff(&self, role: Role) -> Backoff {
        let ConfigSyncSettings { min_backoff_ms, max_backoff_ms, .. } = self.settings;
        let regular = Backoff { initial_ms: min_backoff_ms, max_ms: max_backoff_ms, min_ms: 0 };
        match role {
            Role::Watcher => regular,
            Role::Standby => Backoff {
                initial_ms: self.settings.standby_backoff_ms,
                max_ms: self.settings.unconfirmed_read_after_ms,
                min_ms: 0,
            },
            // A watcher that knows peers is one of a few. These may be as many as the fleet,
            // and short retries of all would keep the platform down.
            Role::Alone | Role::Unlisted | Role::Cold | Role::Follower => Backoff {
                min_ms: (self.spread_duration * RETRY_SPREADS).as_millis() as u64,
                ..regular
            },
        }
    }

    /// Returns the moment before which no read begins.
    fn earliest_call(&self, started: Time, role: Role, fleet_size: usize) -> Time {
        match role {
            // When the whole fleet starts at once, each VM knows nobody alive
            // and takes itself for a watcher. The platform would see all of
            // them in the same second; the spread keeps them under its rate.
            Role::Watcher | Role::Alone => {
                started + self.spread_duration.mul_f64(self.jitter_position)
            }
            // When all deployments start at once, the reads of lists fill the
            // platform's rate. A VM that has got its list finds a peer soon, so
            // hardly any VM is left for this second span of time.
            Role::Unlisted => started + self.spread_duration.mul_f64(1.0 + self.jitter_position),
            Role::Cold => {
                let wait = Duration::from_millis(self.settings.cold_read_after_ms);
                started + wait + self.spread_duration.mul_f64(self.jitter_position)
            }
            Role::Standby => started,
            // All watchers and standbys may be cut off from the platform while this VM
            // is not. The wait grows with the fleet, so that all followers
            // together call at a fixed rate whatever their number, also when
            // the platform is away and every call fails.
            Role::Follower => {
                let wait = Duration::from_millis(self.settings.unconfirmed_read_after_ms);
                let interval = spread_duration(fleet_size, self.settings.follower_reads_per_second);
                self.last_confirmed.max(self.last_call_started)
                    + wait.max(interval).mul_f64(1.0 + self.jitter_position)
            }
        }
    }

    /// A watch whose connection went silent never reports its end; without
    /// this no further watch would begin and changes would stop arriving.
    fn expire_lost_watch(&mut self, now: Time, rng: &mut impl Rng) {
        let max_wait = Duration::from_millis(self.settings.watch_timeout_ms) + WATCH_GRACE;
        if self.pending_since.is_some_and(|started| now.since(started) > max_wait) {
            self.on_failure(now, rng);
        }
    }
}

/// Returns the time in which `fleet_vms` calls make the given rate.
pub(super) fn spread_duration(fleet_size: usize, per_second: f64) -> Duration {
    Duration::from_secs_f64(fleet_size as f64 / per_second.max(0.001))
}
