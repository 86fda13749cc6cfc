//! How a configuration gets to every VM: a few watch the platform, the others
//! pull from peers, and versions only go up.

mod candidates;
mod delta_log;
mod list_schedule;
mod payload;
mod platform_schedule;
mod pull_client;
mod pull_server;
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
    standby::HigherRanked,
    store::{ConfigCandidate, ConfigStore},
    wire::{PullRequest, PullResponse},
};
use crate::{
    config::{Config, ConfigError, ContentHash},
    membership::{Member, MemberState},
    name::Name,
    time::Time,
    vm::Vm,
};

/// What the caller of the spread has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigAction {
    /// Reads the platform's value, waiting for one newer than `after`. A watch
    /// that is still waiting is given up first.
    Watch {
        /// Version already held.
        after: Option<u64>,
    },
    /// Reads the platform's value if it is newer than `after`, without waiting
    /// for one. The answer is taken like that of a watch.
    Read {
        /// Version already held.
        after: Option<u64>,
    },
    /// Asks a peer for what is newer than the version held.
    Pull {
        /// The peer.
        vm: Vm,
        /// Encoded question.
        request: Vec<u8>,
    },
    /// A newer configuration is in force.
    Activate(Arc<Config>),
    /// A published configuration isn't valid; the old one stays in force.
    Rejected(ConfigError),
    /// A value older than the one in force was offered and left aside.
    Stale {
        /// Version offered.
        offered: u64,
    },
}

/// A version that this VM has heard of and doesn't hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionLag {
    /// The version.
    pub version: u64,
    /// Moment at which it was first heard of.
    pub since: Time,
    /// Peers known to hold a newer version than this VM.
    pub holder_count: usize,
    /// Peer that is being asked.
    pub pulling_from: Option<Name>,
}

/// The configuration of this VM and where to get a newer one.
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
    has_peer_contact: bool,
    role: Option<Role>,
    /// Oldest version heard of and not held, and when.
    missing_version: Option<(u64, Time)>,
}

/// The platform's value at a VM that has none yet and has heard no peer.
#[derive(Clone, Debug)]
struct FirstValue {
    candidate: ConfigCandidate,
    until: Time,
}

#[derive(Clone, Debug)]
struct RejectedValue {
    /// Version of the value, where it could be read.
    version: Option<u64>,
    fingerprint: ContentHash,
    error: ConfigError,
    hold_until: Time,
}

impl ConfigSync {
    /// Creates the spread of one deployment, without a configuration.
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
            has_peer_contact: false,
            role: None,
            missing_version: None,
        }
    }

    /// Notes how many VMs the platform lists, this one included, so that the
    /// first reads of a large fleet are spread before its members have found
    /// each other, and a VM that is alone doesn't wait for peers.
    pub fn on_listed_vms(&mut self, count: usize) {
        self.listed_vm_count = Some(count);
    }

    /// Does what is due.
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
            self.has_peer_contact |=
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
                // These are as many as the fleet; each waiting watch would take
                // one of the platform's calls for as long as it waits.
                Role::Cold | Role::Follower => ConfigAction::Read { after },
            });
        }
        actions
    }

    /// Takes the platform's answer to a watch; `None` if nothing newer came.
    pub fn on_platform_value(&mut self, now: Time, value: Option<&[u8]>) -> Vec<ConfigAction> {
        let Some(value) = value else {
            self.platform_schedule.on_response(now);
            self.platform_schedule.on_unchanged();
            return Vec::new();
        };
        self.on_newer_value(now, |sync| sync.take_platform_value(now, value))
    }

    /// Takes a configuration that this VM made of what it read on the platform.
    ///
    /// Failure guarded against: such a configuration is written out as a value of the
    /// platform would be, and refused for being longer than one may be, though all that
    /// was read was valid. It shows as confirmed changes that come into force nowhere.
    /// The guard holds because it never becomes a value: only what VMs pass on to each
    /// other has a limit, which no value of the platform can exceed.
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
            // A platform that sends an unusable value answers every watch at
            // once; without a wait the same megabyte would come in a loop.
            self.platform_schedule.on_failure(now, &mut self.rng);
        }
        actions
    }

    /// Notes that a watch failed.
    pub fn on_platform_error(&mut self, now: Time) {
        self.platform_schedule.on_failure(now, &mut self.rng);
    }

    /// Notes the version that a peer reports.
    pub fn on_peer_version(&mut self, now: Time, peer: &Vm, version: u64) -> Vec<ConfigAction> {
        self.has_peer_contact = true;
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

    /// Takes a peer's answer; `None` if it could not be had.
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

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.store.config()
    }

    /// Returns the version in force.
    pub fn version(&self) -> Option<u64> {
        self.store.config().map(|config| config.version)
    }

    /// Returns the content hash of the configuration in force.
    pub fn content_hash(&self) -> Option<ContentHash> {
        self.store.active_version().map(|(_, hash)| hash)
    }

    /// Returns why the newest published value isn't in force, if it isn't.
    pub fn last_error(&self) -> Option<&ConfigError> {
        self.rejected.as_ref().map(|rejected| &rejected.error)
    }

    /// Returns the time since the platform last answered this VM, or `None` if
    /// it never has; VMs that don't watch ask it rarely.
    pub fn time_since_platform_response(&self, now: Time) -> Option<Duration> {
        self.platform_schedule.time_since_response(now)
    }

    /// Returns why this VM reads the platform; `None` before the first tick.
    pub fn role(&self) -> Option<Role> {
        self.role
    }

    /// Returns the oldest version that this VM has heard of and doesn't hold.
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
        if self.reads_as_standby(now, higher_ranked) { Role::Standby } else { Role::Follower }
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

    /// Notes since when a newer version than the one held has been heard of.
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
        self.pull_client.wants_full |= self.version().is_none();
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
            base: self.store.active_version().filter(|_| !self.pull_client.wants_full),
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

    /// Turns a peer's answer into a configuration, or notes why it can't.
    fn candidate_from_response(&mut self, response: PullResponse) -> Option<ConfigCandidate> {
        match response {
            PullResponse::NoUpdate | PullResponse::Redirect { .. } => None,
            PullResponse::Full { hash, payload } => {
                ConfigCandidate::decode(&payload).filter(|candidate| candidate.summary.hash == hash)
            }
            PullResponse::Deltas(payloads) => {
                let candidate = self.store.apply_deltas(payloads);
                // The base differs from the peer's although the version is the
                // same, or the delta is damaged: only the whole value helps.
                self.pull_client.wants_full = candidate.is_none();
                candidate
            }
        }
    }
}

/// Returns the place of a VM among those that could watch; the largest do.
fn watch_score(deployment: &str, vm: &Vm) -> u64 {
    let seed = xxh3_64(deployment.as_bytes());
    xxh3_64_with_seed(vm.name.as_bytes(), seed)
}

fn decode_response(bytes: &[u8]) -> Option<PullResponse> {
    if bytes.len() > MAX_PULL_RESPONSE_BYTES {
        return None;
    }
    let (response, rest) = postcard::take_from_bytes(bytes).ok()?;
    rest.is_empty().then_some(response)
}
