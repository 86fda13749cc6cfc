//! Distribution of the configuration to every VM: a few VMs watch the platform, the
//! others pull from peers, and a VM's version never decreases.

mod candidates;
mod delta_log;
mod list_schedule;
mod payload;
mod platform_schedule;
mod pull_client;
mod pull_server;
mod restore;
mod settings;
mod standby;
mod store;
mod wire;

use std::{sync::Arc, time::Duration};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

pub use self::{
    list_schedule::ListReadSchedule, platform_schedule::Role, settings::ConfigSyncSettings,
    wire::MAX_PULL_RESPONSE_BYTES,
};
use self::{
    platform_schedule::PlatformSchedule,
    pull_client::{PullClient, PullTimeouts},
    pull_server::PullServer,
    restore::RestoreHold,
    standby::HigherRanked,
    store::{ConfigCandidate, ConfigStore},
    wire::{PullRequest, PullResponse, decode_response},
};
use crate::{
    config::{Config, ConfigError, ContentHash},
    config_lease::LeasePeers,
    membership::{Member, MemberState},
    name::Name,
    time::Time,
    vm::Vm,
};

/// An action that the caller of [`ConfigSync`] performs.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigAction {
    /// Starts a long poll of the platform for a value newer than `after`. Cancels
    /// a watch that is still pending.
    Watch {
        /// Newest version known.
        after: Option<u64>,
    },
    /// Reads the platform's value once if it is newer than `after`. The result is
    /// reported like that of a watch.
    Read {
        /// Newest version known.
        after: Option<u64>,
    },
    /// Requests newer versions from a peer.
    Pull {
        /// Peer to send the request to.
        vm: Vm,
        /// Encoded request.
        request: Vec<u8>,
    },
    /// Applies a newer configuration, which is active from now on.
    Activate(Arc<Config>),
    /// Reports that a published configuration is invalid; the active one stays.
    Rejected(ConfigError),
    /// Reports that a value older than the active one was offered and ignored.
    Stale {
        /// Version of the ignored value.
        offered: u64,
    },
}

/// A version that peers have reported and that this VM doesn't have yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionLag {
    /// Oldest such version.
    pub version: u64,
    /// Time at which such a version was first reported.
    pub since: Time,
    /// Number of peers known to hold a newer version than this VM.
    pub holder_count: usize,
    /// Peer that a pull is in flight to.
    pub pulling_from: Option<Name>,
}

/// The active configuration of this VM, and the state of its synchronization.
#[derive(Clone, Debug)]
pub struct ConfigSync {
    me: Vm,
    deployment: Name,
    settings: ConfigSyncSettings,
    rng: Pcg64Mcg,
    store: ConfigStore,
    platform_schedule: PlatformSchedule,
    pull_client: PullClient,
    pull_server: PullServer,
    rejected: Option<RejectedValue>,
    listed_vm_count: Option<usize>,
    started_without_list: Option<bool>,
    first_value: Option<FirstValue>,
    has_peer_version: bool,
    role: Option<Role>,
    /// Time from which this VM reads the platform to renew its lease; `None` without a lease.
    renew_at: Option<Time>,
    /// Oldest version reported by peers and not active here, and the time of the
    /// first such report.
    missing_version: Option<(u64, Time)>,
    restore_hold: RestoreHold,
}

/// The platform's value at a VM without a configuration, held until a peer's
/// version is known.
#[derive(Clone, Debug)]
struct FirstValue {
    candidate: ConfigCandidate,
    until: Time,
}

#[derive(Clone, Debug)]
struct RejectedValue {
    /// Version of the value, if it could be parsed.
    version: Option<u64>,
    fingerprint: ContentHash,
    error: ConfigError,
    hold_until: Time,
}

impl ConfigSync {
    /// Creates the synchronization of one deployment, without a configuration.
    pub fn new(me: Vm, deployment: Name, settings: ConfigSyncSettings, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let platform_schedule = PlatformSchedule::new(settings.clone(), &mut rng);
        ConfigSync {
            me,
            deployment,
            pull_server: PullServer::new(settings.answer_bytes_per_second),
            settings,
            rng,
            store: ConfigStore::default(),
            platform_schedule,
            pull_client: PullClient::default(),
            rejected: None,
            listed_vm_count: None,
            started_without_list: None,
            first_value: None,
            has_peer_version: false,
            role: None,
            renew_at: None,
            missing_version: None,
            restore_hold: RestoreHold::default(),
        }
    }

    /// Records how many VMs the platform lists, including this one.
    ///
    /// The first reads of a large fleet are thereby spread over time before its
    /// VMs have discovered each other, and a VM that is listed alone doesn't wait
    /// for peers.
    pub fn on_listed_vms(&mut self, count: usize) {
        self.listed_vm_count = Some(count);
    }

    /// Runs all timers and returns the actions that are due.
    pub fn on_tick<'a>(
        &mut self,
        now: Time,
        members: impl Iterator<Item = &'a Member>,
    ) -> Vec<ConfigAction> {
        let mut count = 0;
        let mut higher_ranked = HigherRanked::default();
        let mut is_alone = true;
        let my_score = watch_score(&self.deployment, &self.me);
        for member in members {
            if member.vm.name == self.me.name {
                continue;
            }
            count += 1;
            is_alone &= member.state != MemberState::Alive;
            self.has_peer_version |=
                member.state != MemberState::Dead && member.config_version.is_some();
            self.update_from_member(now, member);
            if self.in_same_data_centre(member)
                && watch_score(&self.deployment, &member.vm) > my_score
            {
                higher_ranked.add(member, self.is_watcher_candidate(member));
            }
        }
        self.pull_client.on_tick(now, &mut self.rng);
        let mut actions = self.activate_first_value(now);
        actions.extend(self.start_pull(now));
        let unlisted = self.listed_vm_count.is_none();
        let started_without_list = *self.started_without_list.get_or_insert(unlisted);
        let role = match is_alone {
            true if started_without_list && self.listed_vm_count != Some(1) => Role::Unlisted,
            true => Role::Alone,
            false => self.determine_role(now, &higher_ranked),
        };
        self.role = Some(role);
        let fleet_size = self.fleet_size(count);
        if self.platform_schedule.start_call(now, role, fleet_size, &mut self.rng) {
            let after = self.newest_known_version(now);
            actions.push(match role {
                Role::Watcher | Role::Standby | Role::Alone | Role::Unlisted => {
                    ConfigAction::Watch { after }
                }
                // All VMs of the fleet may have these roles at once. Each pending watch
                // would occupy one of the platform's calls for as long as it waits.
                Role::Cold | Role::Follower | Role::Renewing => ConfigAction::Read { after },
            });
        }
        actions
    }

    /// Handles the platform's response to a watch or read; `None` if it has
    /// nothing newer.
    pub fn on_platform_value(&mut self, now: Time, value: Option<&[u8]>) -> Vec<ConfigAction> {
        let Some(value) = value else {
            self.platform_schedule.on_response(now);
            self.platform_schedule.on_unchanged();
            return Vec::new();
        };
        self.on_newer_value(now, |sync| sync.take_platform_value(now, value))
    }

    /// Handles a configuration that this VM assembled from what it read on the
    /// platform.
    ///
    /// The limit on the size of a platform value doesn't apply to it. Encoded as
    /// such a value, an assembled configuration could exceed the limit and be
    /// rejected although everything read was valid, so that confirmed changes
    /// would never become active. Only the limit on what VMs send each other
    /// applies, which no value of the platform can exceed.
    pub fn on_platform_config(&mut self, now: Time, config: Config) -> Vec<ConfigAction> {
        self.on_newer_value(now, |sync| {
            let Some(candidate) = ConfigCandidate::new(config) else { return Vec::new() };
            let fingerprint = candidate.summary.hash;
            match sync.extend_rejection(now, fingerprint) {
                true => Vec::new(),
                false => sync.take_platform_candidate(now, fingerprint, candidate),
            }
        })
    }

    fn on_newer_value(
        &mut self,
        now: Time,
        take: impl FnOnce(&mut Self) -> Vec<ConfigAction>,
    ) -> Vec<ConfigAction> {
        self.platform_schedule.on_response(now);
        let previous_version = self.first_value_version();
        let actions = take(self);
        if actions.iter().any(|action| matches!(action, ConfigAction::Activate(_)))
            || self.first_value_version() > previous_version
        {
            self.platform_schedule.on_newer(now);
        } else {
            // A platform with an unusable value answers every watch immediately.
            // Without a delay the same megabyte would be read in a loop.
            self.platform_schedule.on_failure(now, &mut self.rng);
        }
        actions
    }

    /// Records that a call to the platform failed.
    pub fn on_platform_error(&mut self, now: Time) {
        self.platform_schedule.on_failure(now, &mut self.rng);
    }

    /// Records the version that a peer reports.
    pub fn on_peer_version(&mut self, now: Time, peer: &Vm, version: u64) -> Vec<ConfigAction> {
        self.has_peer_version = true;
        if Some(version) <= self.version() {
            self.pull_client.forget(&peer.name);
            return Vec::new();
        }
        self.pull_client.on_announcement(now, peer, version, &mut self.rng);
        self.record_missing_version(now, version);
        let mut actions = self.activate_first_value(now);
        actions.extend(self.start_pull(now));
        actions
    }

    /// Handles a peer's response to a pull; `None` if there was none.
    pub fn on_pull_response(
        &mut self,
        now: Time,
        peer: &Name,
        response: Option<&[u8]>,
    ) -> Vec<ConfigAction> {
        self.pull_client.on_finished(peer);
        if response.is_none() {
            self.pull_client.mark_unresponsive(peer);
        }
        let response = response.and_then(decode_response);
        if let Some(PullResponse::Redirect { version, holders }) = response {
            self.pull_client.on_redirect(now, peer, version, &holders, &mut self.rng);
            return self.start_pull(now);
        }
        let candidate = response.and_then(|response| self.candidate_from_response(response));
        let mut actions = match candidate {
            Some(candidate) => self.take_peer_candidate(now, peer, candidate),
            None => {
                self.pull_client.back_off_unusable(now, peer, &mut self.rng);
                Vec::new()
            }
        };
        actions.extend(self.start_pull(now));
        actions
    }

    /// Returns the active configuration.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.store.config()
    }

    /// Returns the active version.
    pub fn version(&self) -> Option<u64> {
        self.store.config().map(|config| config.version)
    }

    /// Returns the content hash of the active configuration.
    pub fn content_hash(&self) -> Option<ContentHash> {
        self.store.active_version().map(|(_, hash)| hash)
    }

    /// Returns why the newest published value was rejected, if it was.
    pub fn last_error(&self) -> Option<&ConfigError> {
        self.rejected.as_ref().map(|rejected| &rejected.error)
    }

    /// Returns the time since the platform last responded to this VM, or `None`
    /// if it never has. VMs that aren't watchers rarely call it.
    pub fn time_since_platform_response(&self, now: Time) -> Option<Duration> {
        self.platform_schedule.time_since_response(now)
    }

    /// Sets the time from which this VM reads the platform to renew its lease on the
    /// configuration even as a follower; `None` without a lease.
    pub fn set_renew_at(&mut self, renew_at: Option<Time>) {
        self.renew_at = renew_at;
    }

    /// Returns the other live VMs, ranked as they watch the platform.
    pub fn lease_peers<'a>(&self, members: impl Iterator<Item = &'a Member>) -> LeasePeers<'a> {
        let my_score = watch_score(&self.deployment, &self.me);
        let mut peers = LeasePeers::default();
        let mut before: Vec<(u64, &Vm)> = Vec::new();
        for member in members.filter(|member| member.state == MemberState::Alive) {
            let score = watch_score(&self.deployment, &member.vm);
            match self.in_same_data_centre(member) {
                false => peers.far.push(&member.vm),
                true if score > my_score => before.push((score, &member.vm)),
                true => peers.after.push(&member.vm),
            }
        }
        before.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
        peers.before = before.into_iter().map(|(_, vm)| vm).collect();
        peers
    }

    /// Returns the number of VMs of each data centre that watch the platform.
    pub fn watchers_per_data_centre(&self) -> usize {
        self.watcher_count() as usize
    }

    /// Returns the role in which this VM reads the platform; `None` before the
    /// first tick.
    pub fn role(&self) -> Option<Role> {
        self.role
    }

    /// Returns the oldest version that peers have reported and this VM doesn't
    /// have.
    pub fn version_lag(&self) -> Option<VersionLag> {
        let (version, since) = self.missing_version?;
        let (holder_count, pulling_from) =
            (self.pull_client.holder_count(), self.pull_client.current_peer().cloned());
        Some(VersionLag { version, since, holder_count, pulling_from })
    }

    fn determine_role(&self, now: Time, higher_ranked: &HigherRanked) -> Role {
        if higher_ranked.alive_count < self.watcher_count() {
            return Role::Watcher;
        }
        if self.store.config().is_none() {
            return Role::Cold;
        }
        if self.reads_as_standby(now, higher_ranked) {
            return Role::Standby;
        }
        match self.renew_at {
            Some(renew_at) if now >= renew_at => Role::Renewing,
            _ => Role::Follower,
        }
    }

    fn watcher_count(&self) -> u32 {
        self.settings.watchers_per_data_centre.max(1)
    }

    fn in_same_data_centre(&self, member: &Member) -> bool {
        member.vm.data_centre == self.me.data_centre
    }

    fn is_watcher_candidate(&self, member: &Member) -> bool {
        member.state == MemberState::Alive && self.in_same_data_centre(member)
    }

    fn fleet_size(&self, members: usize) -> usize {
        match self.listed_vm_count {
            Some(listed) => listed.max(members + 1),
            None => (members + 1).max(self.settings.assumed_fleet_vms as usize),
        }
    }

    fn newest_known_version(&self, now: Time) -> Option<u64> {
        let held_rejection = self.rejected.as_ref().filter(|rejected| now < rejected.hold_until);
        let rejected = held_rejection.and_then(|rejected| rejected.version);
        self.version().max(rejected).max(self.first_value_version())
    }

    /// Records that a version newer than the active one exists, and since when.
    fn record_missing_version(&mut self, now: Time, version: u64) {
        let first = self.missing_version.get_or_insert((version, now));
        first.0 = first.0.min(version);
    }

    fn update_from_member(&mut self, now: Time, member: &Member) {
        match (member.state, member.config_version) {
            (MemberState::Dead, _) => self.pull_client.forget(&member.vm.name),
            (MemberState::Alive | MemberState::Leaving, Some(version))
                if Some(version) > self.version() =>
            {
                self.pull_client.record_holder(now, &member.vm, version);
                self.record_missing_version(now, version);
            }
            _ => {}
        }
    }

    fn start_pull(&mut self, now: Time) -> Vec<ConfigAction> {
        self.pull_client.needs_full |= self.version().is_none();
        let timeouts = PullTimeouts {
            delta: Duration::from_millis(self.settings.delta_timeout_ms),
            full: Duration::from_millis(self.settings.pull_timeout_ms),
        };
        let data_centre = &self.me.data_centre;
        let Some(vm) = self.pull_client.start(now, data_centre, timeouts, &mut self.rng) else {
            return Vec::new();
        };
        let pull = PullRequest {
            deployment: self.deployment.clone(),
            requester: self.me.clone(),
            base: self.store.active_version().filter(|_| !self.pull_client.needs_full),
            newer_than: self.version(),
        };
        match postcard::to_stdvec(&pull) {
            Ok(request) => vec![ConfigAction::Pull { vm, request }],
            Err(_) => {
                self.pull_client.on_finished(&vm.name);
                Vec::new()
            }
        }
    }

    /// Decodes the configuration in a peer's response. If deltas can't be applied,
    /// the next request asks for the full configuration.
    fn candidate_from_response(&mut self, response: PullResponse) -> Option<ConfigCandidate> {
        match response {
            PullResponse::NoUpdate | PullResponse::Redirect { .. } => None,
            PullResponse::Full { hash, payload } => {
                ConfigCandidate::decode(&payload).filter(|candidate| candidate.summary.hash == hash)
            }
            PullResponse::Deltas(payloads) => {
                let candidate = self.store.apply_deltas(payloads);
                // Either the base differs from the peer's under the same version, or
                // the delta is damaged. Only the full configuration helps.
                self.pull_client.needs_full = candidate.is_none();
                candidate
            }
        }
    }
}

/// Returns the rendezvous score of a VM. The alive VMs of a data centre with the
/// highest scores are its watchers.
fn watch_score(deployment: &str, vm: &Vm) -> u64 {
    let seed = xxh3_64(deployment.as_bytes());
    xxh3_64_with_seed(vm.name.as_bytes(), seed)
}
