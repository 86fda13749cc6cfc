//! How a configuration gets to every VM: a few watch the platform, the others
//! pull from peers, and versions only go up.

mod history;
mod list_reads;
mod offers;
mod packed;
mod platform;
mod pull;
mod serving;
mod settings;
mod standby;
mod store;
mod wire;

use std::{sync::Arc, time::Duration};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

pub use self::{
    list_reads::ListReads, platform::Role, settings::ConfigSyncSettings, wire::MAX_ANSWER_BYTES,
};
use self::{
    platform::PlatformSchedule,
    pull::{PullTimeouts, Pulls},
    serving::Serving,
    standby::Ahead,
    store::{Offer, Store},
    wire::{Answer, Question},
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
    InForce(Arc<Config>),
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
pub struct Behind {
    /// The version.
    pub version: u64,
    /// Moment at which it was first heard of.
    pub since: Time,
    /// Peers known to hold a newer version than this VM.
    pub holders: usize,
    /// Peer that is being asked.
    pub asking: Option<Name>,
}

/// The configuration of this VM and where to get a newer one.
#[derive(Clone, Debug)]
pub struct ConfigSync {
    me: Vm,
    deployment: Name,
    settings: ConfigSyncSettings,
    rng: Pcg64Mcg,
    store: Store,
    platform: PlatformSchedule,
    pulls: Pulls,
    serving: Serving,
    rejected: Option<RejectedValue>,
    listed_vms: Option<usize>,
    began_unlisted: Option<bool>,
    first: Option<FirstValue>,
    peer_heard: bool,
    role: Option<Role>,
    /// Oldest version heard of and not held, and when.
    heard: Option<(u64, Time)>,
}

/// The platform's value at a VM that has none yet and has heard no peer.
#[derive(Clone, Debug)]
struct FirstValue {
    offer: Offer,
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
        let platform = PlatformSchedule::new(settings.clone(), &mut rng);
        ConfigSync {
            me,
            deployment,
            serving: Serving::new(settings.answer_bytes_per_second),
            settings,
            rng,
            store: Store::default(),
            platform,
            pulls: Pulls::default(),
            rejected: None,
            listed_vms: None,
            began_unlisted: None,
            first: None,
            peer_heard: false,
            role: None,
            heard: None,
        }
    }

    /// Notes how many VMs the platform lists, this one included, so that the
    /// first reads of a large fleet are spread before its members have found
    /// each other, and a VM that is alone doesn't wait for peers.
    pub fn on_listed_vms(&mut self, count: usize) {
        self.listed_vms = Some(count);
    }

    /// Does what is due.
    pub fn on_tick<'a>(
        &mut self,
        now: Time,
        members: impl Iterator<Item = &'a Member>,
    ) -> Vec<ConfigAction> {
        let mut count = 0;
        let mut ahead = Ahead::default();
        let mut alone = true;
        let my_score = watch_score(&self.deployment, &self.me);
        for member in members {
            if member.vm.name == self.me.name {
                continue;
            }
            count += 1;
            alone &= member.state != MemberState::Alive;
            self.peer_heard |= member.state != MemberState::Dead && member.config_version.is_some();
            self.note_member(now, member);
            if self.is_near(member) && watch_score(&self.deployment, &member.vm) > my_score {
                ahead.note(member, self.may_watch(member));
            }
        }
        self.pulls.on_tick(now, &mut self.rng);
        let mut actions = self.release_first(now);
        actions.extend(self.pull(now));
        let unlisted = self.listed_vms.is_none();
        let began_unlisted = *self.began_unlisted.get_or_insert(unlisted);
        let role = match alone {
            true if began_unlisted && self.listed_vms != Some(1) => Role::Unlisted,
            true => Role::Alone,
            false => self.role(now, &ahead),
        };
        self.role = Some(role);
        let fleet_vms = self.fleet_vms(count);
        if self.platform.begin(now, role, fleet_vms, &mut self.rng) {
            let after = self.watch_after(now);
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
            self.platform.on_answer(now);
            self.platform.on_nothing_newer();
            return Vec::new();
        };
        self.on_newer_answer(now, |sync| sync.take_platform_value(now, value))
    }

    /// Takes a configuration that this VM made of what it read on the platform.
    ///
    /// Failure guarded against: such a configuration is written out as a value of the
    /// platform would be, and refused for being longer than one may be, though all that
    /// was read was valid. It shows as confirmed changes that come into force nowhere.
    /// The guard holds because it never becomes a value: only what VMs pass on to each
    /// other has a limit, which no value of the platform can exceed.
    pub fn on_platform_config(&mut self, now: Time, config: Config) -> Vec<ConfigAction> {
        self.on_newer_answer(now, |sync| {
            let Some(offer) = Offer::whole(config) else { return Vec::new() };
            let fingerprint = offer.content.hash;
            match sync.is_rejected(now, fingerprint) {
                true => Vec::new(),
                false => sync.take_platform_offer(now, fingerprint, offer),
            }
        })
    }

    fn on_newer_answer(
        &mut self,
        now: Time,
        take: impl FnOnce(&mut Self) -> Vec<ConfigAction>,
    ) -> Vec<ConfigAction> {
        self.platform.on_answer(now);
        let held_back = self.first_version();
        let actions = take(self);
        if actions.iter().any(|action| matches!(action, ConfigAction::InForce(_)))
            || self.first_version() > held_back
        {
            self.platform.on_newer(now);
        } else {
            // A platform that sends an unusable value answers every watch at
            // once; without a wait the same megabyte would come in a loop.
            self.platform.on_failure(now, &mut self.rng);
        }
        actions
    }

    /// Notes that a watch failed.
    pub fn on_platform_error(&mut self, now: Time) {
        self.platform.on_failure(now, &mut self.rng);
    }

    /// Notes the version that a peer reports.
    pub fn on_peer_version(&mut self, now: Time, peer: &Vm, version: u64) -> Vec<ConfigAction> {
        self.peer_heard = true;
        if Some(version) <= self.version() {
            self.pulls.forget(&peer.name);
            return Vec::new();
        }
        self.pulls.hear(now, peer, version, &mut self.rng);
        self.note_heard(now, version);
        let mut actions = self.release_first(now);
        actions.extend(self.pull(now));
        actions
    }

    /// Takes a peer's answer; `None` if it could not be had.
    pub fn on_peer_answer(
        &mut self,
        now: Time,
        peer: &Name,
        answer: Option<&[u8]>,
    ) -> Vec<ConfigAction> {
        self.pulls.on_end(peer);
        if answer.is_none() {
            self.pulls.mark_silent(peer);
        }
        let answer = answer.and_then(decode_answer);
        if let Some(Answer::Elsewhere { version, holders }) = answer {
            self.pulls.on_put_off(now, peer, version, &holders, &mut self.rng);
            return self.pull(now);
        }
        let offer = answer.and_then(|answer| self.open(answer));
        let mut actions = match offer {
            Some(offer) => self.take_peer_offer(now, peer, offer),
            None => {
                self.pulls.pause_peer(now, peer, &mut self.rng);
                Vec::new()
            }
        };
        actions.extend(self.pull(now));
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
    pub fn content(&self) -> Option<ContentHash> {
        self.store.held().map(|(_, content)| content)
    }

    /// Returns why the newest published value isn't in force, if it isn't.
    pub fn last_error(&self) -> Option<&ConfigError> {
        self.rejected.as_ref().map(|rejected| &rejected.error)
    }

    /// Returns the time since the platform last answered this VM, or `None` if
    /// it never has; VMs that don't watch ask it rarely.
    pub fn platform_silent_for(&self, now: Time) -> Option<Duration> {
        self.platform.silent_for(now)
    }

    /// Returns why this VM reads the platform; `None` before the first tick.
    pub fn role_now(&self) -> Option<Role> {
        self.role
    }

    /// Returns the oldest version that this VM has heard of and doesn't hold.
    pub fn behind(&self) -> Option<Behind> {
        let (version, since) = self.heard?;
        let (holders, asking) = (self.pulls.holders(), self.pulls.asking().cloned());
        Some(Behind { version, since, holders, asking })
    }

    fn role(&self, now: Time, ahead: &Ahead) -> Role {
        if ahead.alive < self.watchers() {
            return Role::Watcher;
        }
        if self.store.config().is_none() {
            return Role::Cold;
        }
        if self.stands_in(now, ahead) { Role::Standby } else { Role::Follower }
    }

    fn watchers(&self) -> u32 {
        self.settings.watchers_per_data_centre.max(1)
    }

    fn is_near(&self, member: &Member) -> bool {
        member.vm.data_centre == self.me.data_centre
    }

    fn may_watch(&self, member: &Member) -> bool {
        member.state == MemberState::Alive && self.is_near(member)
    }

    fn fleet_vms(&self, members: usize) -> usize {
        match self.listed_vms {
            Some(listed) => listed.max(members + 1),
            None => (members + 1).max(self.settings.assumed_fleet_vms as usize),
        }
    }

    fn watch_after(&self, now: Time) -> Option<u64> {
        let held_back = self.rejected.as_ref().filter(|rejected| now < rejected.hold_until);
        let rejected = held_back.and_then(|rejected| rejected.version);
        self.version().max(rejected).max(self.first_version())
    }

    /// Notes since when a newer version than the one held has been heard of.
    fn note_heard(&mut self, now: Time, version: u64) {
        let first = self.heard.get_or_insert((version, now));
        first.0 = first.0.min(version);
    }

    fn note_member(&mut self, now: Time, member: &Member) {
        match (member.state, member.config_version) {
            (MemberState::Dead, _) => self.pulls.forget(&member.vm.name),
            (MemberState::Alive | MemberState::Leaving, Some(version))
                if Some(version) > self.version() =>
            {
                self.pulls.note(now, &member.vm, version);
                self.note_heard(now, version);
            }
            _ => {}
        }
    }

    fn pull(&mut self, now: Time) -> Vec<ConfigAction> {
        self.pulls.whole |= self.version().is_none();
        let timeouts = PullTimeouts {
            early: Duration::from_millis(self.settings.delta_timeout_ms),
            late: Duration::from_millis(self.settings.pull_timeout_ms),
        };
        let near = &self.me.data_centre;
        let Some(vm) = self.pulls.begin(now, near, timeouts, &mut self.rng) else {
            return Vec::new();
        };
        let question = Question {
            deployment: self.deployment.clone(),
            asker: self.me.clone(),
            held: self.store.held().filter(|_| !self.pulls.whole),
            newer_than: self.version(),
        };
        match postcard::to_stdvec(&question) {
            Ok(request) => vec![ConfigAction::Pull { vm, request }],
            Err(_) => {
                self.pulls.on_end(&vm.name);
                Vec::new()
            }
        }
    }

    /// Turns a peer's answer into a configuration, or notes why it can't.
    fn open(&mut self, answer: Answer) -> Option<Offer> {
        match answer {
            Answer::Nothing | Answer::Elsewhere { .. } => None,
            Answer::Whole { content: hash, config } => {
                Offer::open(&config).filter(|offer| offer.content.hash == hash)
            }
            Answer::Deltas(encoded) => {
                let offer = self.store.open_deltas(encoded);
                // The base differs from the peer's although the version is the
                // same, or the delta is damaged: only the whole value helps.
                self.pulls.whole = offer.is_none();
                offer
            }
        }
    }
}

/// Returns the place of a VM among those that could watch; the largest do.
fn watch_score(deployment: &str, vm: &Vm) -> u64 {
    let seed = xxh3_64(deployment.as_bytes());
    xxh3_64_with_seed(vm.name.as_bytes(), seed)
}

fn decode_answer(bytes: &[u8]) -> Option<Answer> {
    if bytes.len() > MAX_ANSWER_BYTES {
        return None;
    }
    let (answer, rest) = postcard::take_from_bytes(bytes).ok()?;
    rest.is_empty().then_some(answer)
}
