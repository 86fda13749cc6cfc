//! Lease on the configuration: the time for which this VM may act as if its configuration were
//! the newest one.
//!
//! Failure guarded against: an operator takes an API key away, and a VM that the change can't
//! reach serves the key on. The lease holds because it is counted from a moment at which the
//! platform is known to have had nothing newer: the time before this VM asked it, or before this
//! VM asked a peer, less the age that the peer reports. No clock of another VM and no time on
//! the way is part of it, so that a delayed message or a paused process only shortens it.

mod peers;
mod settings;

use std::{collections::VecDeque, time::Duration};

pub use self::{
    peers::{LeaseMessage, LeasePeers, LeaseQuery, PeerQueries},
    settings::ConfigLeaseSettings,
};
use crate::time::Time;

/// Maximum number of confirmations kept for versions that aren't active yet.
const MAX_PENDING: usize = 8;

/// Evidence that at a time no configuration newer than a version existed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// The version.
    pub version: u64,
    /// The time on the clock of this VM.
    pub at: Time,
}

/// The lease of one VM.
#[derive(Clone, Debug, Default)]
pub struct ConfigLease {
    /// Active version.
    version: Option<u64>,
    /// Latest time at which the active version is known to have been the newest one.
    confirmed_at: Option<Time>,
    /// Confirmations of versions that aren't active yet, in ascending order of both fields.
    pending: VecDeque<Confirmation>,
}

impl ConfigLease {
    /// Records a confirmation.
    ///
    /// A version that isn't active here yet may take a key away, so its confirmation counts
    /// only once the version is active.
    pub fn on_confirmation(&mut self, confirmation: Confirmation) {
        if Some(confirmation.version) <= self.version {
            self.confirmed_at = self.confirmed_at.max(Some(confirmation.at));
            return;
        }
        let is_covered = |other: &Confirmation| {
            other.version <= confirmation.version && other.at >= confirmation.at
        };
        if self.pending.iter().any(is_covered) {
            return;
        }
        self.pending
            .retain(|other| other.version < confirmation.version || other.at > confirmation.at);
        let index = self.pending.partition_point(|other| other.version < confirmation.version);
        self.pending.insert(index, confirmation);
        self.pending.truncate(MAX_PENDING);
    }

    /// Records that a version became active.
    pub fn on_active(&mut self, version: u64) {
        self.version = self.version.max(Some(version));
        while let Some(confirmation) = self.pending.pop_front_if(|next| next.version <= version) {
            self.confirmed_at = self.confirmed_at.max(Some(confirmation.at));
        }
    }

    /// Returns the latest time at which the active version is known to have been the newest.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    /// Returns the time since the last confirmation, if there is one.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }
}
