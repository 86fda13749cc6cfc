//! The lease on the configuration: confirmations from the platform and from other VMs.

use std::{net::SocketAddr, time::Duration};

use kameo::message::{Context as MessageContext, Message};
use pistachiotrack_core::{
    config_lease::{
        ConfigLease, ConfigLeaseSettings, Confirmation, LeaseMessage, LeaseQuery, PeerQueries,
    },
    time::Time,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::sync::watch;

use super::Fleet;
use crate::{
    formats::{datagram::DatagramCodec, lease_times::LeaseTimes},
    peers::udp,
    stats::traffic::{Locality, Topic},
};

/// First byte of the datagrams about confirmations.
pub(crate) const LEASE_TAG: u8 = 0x91;

/// The lease, and the queries that renew it.
pub(super) struct LeaseKeeper {
    settings: ConfigLeaseSettings,
    lease: ConfigLease,
    queries: PeerQueries,
    /// Confirmation of a first value that isn't active yet.
    held: Option<Confirmation>,
    codec: DatagramCodec,
    rng: SmallRng,
    /// Position of this VM, from 0 to 1, among those that read the platform to renew the lease.
    read_position: f64,
    /// Time since which the configuration has required API keys.
    needed_since: Option<Time>,
    times: watch::Sender<LeaseTimes>,
    is_lost: bool,
}

impl LeaseKeeper {
    pub(super) fn new(
        settings: ConfigLeaseSettings,
        deployment: &str,
        times: watch::Sender<LeaseTimes>,
        seed: u64,
    ) -> LeaseKeeper {
        let mut rng = SmallRng::seed_from_u64(seed);
        LeaseKeeper {
            queries: PeerQueries::new(settings.clone(), &mut rng),
            settings,
            lease: ConfigLease::default(),
            held: None,
            codec: DatagramCodec::new(LEASE_TAG, deployment),
            read_position: rng.random(),
            rng,
            needed_since: None,
            times,
            is_lost: false,
        }
    }

    /// Records a confirmation of a first value that isn't active yet. It counts if the value
    /// becomes active, and not if peers turn out to have a newer one.
    pub(super) fn hold(&mut self, confirmation: Option<Confirmation>) {
        self.held = confirmation.or(self.held);
    }

    /// Records that a version became active.
    pub(super) fn on_active(&mut self, version: u64) {
        self.lease.on_active(version);
        let held = self.held.take().filter(|held| held.version == version);
        held.into_iter().for_each(|held| self.lease.on_confirmation(held));
        self.publish();
    }

    /// Records that nothing newer than a version existed at a time.
    pub(super) fn on_confirmation(&mut self, confirmation: Confirmation) {
        self.lease.on_confirmation(confirmation);
        self.publish();
    }

    /// Returns the time from which this VM reads the platform to renew the lease.
    fn renew_at(&mut self, now: Time) -> Time {
        let needed_since = *self.needed_since.get_or_insert(now);
        match self.lease.confirmed_at() {
            Some(confirmed_at) => confirmed_at + self.settings.read_age(self.read_position),
            None => needed_since + self.settings.first_read_delay(self.read_position),
        }
    }

    fn publish(&self) {
        let Some(duration) = self.settings.duration() else { return };
        let confirmed_at = self.lease.confirmed_at();
        let times = LeaseTimes {
            confirmed_at,
            withdraw_at: confirmed_at.map(|at| at + self.settings.withdraw_age()),
            expires_at: confirmed_at.map(|at| at + duration),
        };
        self.times.send_if_modified(|current| std::mem::replace(current, times) != times);
    }

    /// Logs when the lease is lost and regained.
    fn log_state(&mut self, now: Time) {
        let age = self.lease.age(now);
        let is_lost = age >= self.settings.duration();
        if std::mem::replace(&mut self.is_lost, is_lost) == is_lost {
            return;
        }
        let age_ms = age.as_ref().map(Duration::as_millis);
        match is_lost {
            true => log::warn!("event=config_lease_lost confirmed_age_ms={age_ms:?}"),
            false => log::info!("event=config_lease_regained confirmed_age_ms={age_ms:?}"),
        }
    }
}

impl Fleet {
    /// Sends the queries that are due, if the configuration requires API keys.
    pub(super) fn renew_lease(&mut self, now: Time) {
        if !self.needs_lease() {
            return;
        }
        self.lease.log_state(now);
        self.sync.set_renew_at(Some(self.lease.renew_at(now)));
        if !self.lease.queries.is_due(now) {
            return;
        }
        let keeper = &mut self.lease;
        let peers = self.sync.lease_peers(self.membership.members());
        let watchers = self.sync.watchers_per_data_centre();
        let age = keeper.lease.age(now);
        let queries = keeper.queries.on_tick(now, age, watchers, &peers, &mut keeper.rng);
        for LeaseQuery { vm, sequence } in queries {
            let locality = Locality::of(&vm.data_centre, &self.me.data_centre);
            self.send_lease(vm.peer_address, locality, LeaseMessage::Query { sequence });
        }
    }

    fn needs_lease(&self) -> bool {
        let is_keyed =
            || self.active.as_ref().is_some_and(|active| active.config.api_keys_required);
        self.lease.settings.max_age_s.is_some() && is_keyed()
    }

    fn send_lease(&self, to: SocketAddr, locality: Locality, message: LeaseMessage) {
        let Some(bytes) = self.lease.codec.encode(&message) else { return };
        udp::send(&self.socket, to, &bytes, &self.traffic, (Topic::Lease, locality));
    }

    fn answer_query(&self, from: SocketAddr, sequence: u32) {
        let age = self.lease.lease.age(self.clock.now());
        let (Some(version), Some(age)) = (self.sync.version(), age) else { return };
        let age_us = age.as_micros() as u64;
        let locality = self.view.borrow().locality(from);
        self.send_lease(from, locality, LeaseMessage::Answer { sequence, version, age_us });
    }
}

/// A datagram about confirmations.
pub(crate) struct LeaseDatagram {
    /// Sender.
    pub(crate) from: SocketAddr,
    /// Encoded message.
    pub(crate) bytes: Vec<u8>,
}

impl Message<LeaseDatagram> for Fleet {
    type Reply = ();

    async fn handle(&mut self, datagram: LeaseDatagram, _: &mut MessageContext<Self, ()>) {
        let LeaseDatagram { from, bytes } = datagram;
        match self.lease.codec.decode(&bytes) {
            Ok(LeaseMessage::Query { sequence }) => self.answer_query(from, sequence),
            Ok(LeaseMessage::Answer { sequence, version, age_us }) => {
                let confirmation = self.lease.queries.on_answer(sequence, version, age_us);
                if let Some(confirmation) = confirmation {
                    self.lease.on_confirmation(confirmation);
                }
            }
            Err(error) => {
                log::debug!("event=lease_unused from={from} error={:?}", error.to_string());
            }
        }
    }
}
