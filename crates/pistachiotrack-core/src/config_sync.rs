//! How a configuration gets to every VM: a few watch the platform, the others
//! pull from peers, and versions only go up.

use std::sync::Arc;

use crate::{
    config::{Config, ConfigError},
    membership::Member,
    name::Name,
    time::Time,
    vm::Vm,
};

/// Settings of the configuration's spread.
#[derive(Clone, Debug)]
pub struct ConfigSyncSettings {
    /// VMs of each data centre that watch the platform.
    pub watchers_per_data_centre: u32,
    /// Time after which a waiting watch is ended by the platform.
    pub watch_timeout_ms: u64,
}

impl Default for ConfigSyncSettings {
    fn default() -> ConfigSyncSettings {
        ConfigSyncSettings { watchers_per_data_centre: 2, watch_timeout_ms: 30_000 }
    }
}

/// What the caller of the spread has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigAction {
    /// Reads the platform's value, waiting for one newer than `after`.
    Watch {
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

/// The configuration of this VM and where to get a newer one.
#[derive(Clone, Debug)]
pub struct ConfigSync {
    config: Option<Arc<Config>>,
    watching: bool,
}

impl ConfigSync {
    /// Creates the spread of one deployment, without a configuration.
    pub fn new(_me: Vm, _deployment: Name, _settings: ConfigSyncSettings, _seed: u64) -> Self {
        ConfigSync { config: None, watching: false }
    }

    /// Does what is due.
    pub fn on_tick<'a>(
        &mut self,
        _now: Time,
        _members: impl Iterator<Item = &'a Member>,
    ) -> Vec<ConfigAction> {
        if self.watching {
            return Vec::new();
        }
        self.watching = true;
        vec![ConfigAction::Watch { after: self.version() }]
    }

    /// Takes the platform's answer to a watch; `None` if nothing newer came.
    pub fn on_platform_value(&mut self, _now: Time, value: Option<&[u8]>) -> Vec<ConfigAction> {
        self.watching = false;
        let Some(value) = value else { return Vec::new() };
        let config = match Config::parse("platform", value) {
            Ok(config) => config,
            Err(error) => return vec![ConfigAction::Rejected(error)],
        };
        if Some(config.version) <= self.version() {
            return vec![ConfigAction::Stale { offered: config.version }];
        }
        let config = Arc::new(config);
        self.config = Some(Arc::clone(&config));
        vec![ConfigAction::InForce(config)]
    }

    /// Notes that a watch failed.
    pub fn on_platform_error(&mut self, _now: Time) {
        self.watching = false;
    }

    /// Notes the version that a peer reports.
    pub fn on_peer_version(&mut self, _now: Time, _peer: &Vm, _version: u64) -> Vec<ConfigAction> {
        Vec::new()
    }

    /// Answers a peer's question.
    ///
    /// # Errors
    ///
    /// Returns an error if the question can't be decoded.
    pub fn answer(&self, _request: &[u8]) -> Result<Vec<u8>, postcard::Error> {
        Ok(Vec::new())
    }

    /// Takes a peer's answer; `None` if it could not be had.
    pub fn on_peer_answer(
        &mut self,
        _now: Time,
        _peer: &Name,
        _answer: Option<&[u8]>,
    ) -> Vec<ConfigAction> {
        Vec::new()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Returns the version in force.
    pub fn version(&self) -> Option<u64> {
        self.config.as_ref().map(|config| config.version)
    }
}
