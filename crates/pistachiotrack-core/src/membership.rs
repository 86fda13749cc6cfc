//! Membership: the VMs of the fleet and their states as this VM sees them.
//!
//! A SWIM-like protocol over datagrams: each VM probes one member per interval, requests
//! indirect probes from other VMs if it doesn't respond, and piggybacks updates about members
//! on its datagrams. A member is considered alive only after it responded to a probe of this
//! VM or of a VM that this one trusts, so after both directions worked; a datagram that
//! merely arrives proves one direction.

mod gossip;
mod join;
mod local_health;
mod probe;
mod pull;
mod reach;
mod receive;
mod settings;
mod table;
mod visible_fleet;

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use self::{
    gossip::Gossip, join::Join, local_health::LocalHealth, probe::Probes, pull::Pull,
    reach::ReachReports, table::Table,
};
pub use self::{settings::MembershipSettings, visible_fleet::VisibleFleet};
use crate::{
    message::{Codec, Datagram, DatagramError, Identity, Message, Update, room_for_updates},
    name::Name,
    time::Time,
    vm::Vm,
};

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Reachable in both directions.
    Alive,
    /// Doesn't respond to probes, not confirmed as dead. With incarnation 0: listed by the
    /// platform and has never responded.
    Suspect,
    /// Shutting down gracefully; gets no new requests.
    Leaving,
    /// Declared dead.
    Dead,
}

/// A member of the fleet.
#[derive(Clone, Debug)]
pub struct Member {
    /// The VM.
    pub vm: Vm,
    /// State as this VM sees it.
    pub state: MemberState,
    /// Time of the last state change; for a live member, the time since which it has not
    /// been dead.
    pub since: Time,
    /// Configuration version that the member last reported.
    pub config_version: Option<u64>,
    /// Time at which the platform's configuration service last responded to the member, as
    /// far as it has reported.
    pub last_platform_response: Option<Time>,
    /// Whether it has reported recently that it reaches no endpoint.
    pub is_cut_off: bool,
}

/// An action that the caller of [`Membership`] has to perform, or an event for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Sends a datagram.
    Send {
        /// Destination.
        to: SocketAddr,
        /// Encoded message.
        bytes: Vec<u8>,
    },
    /// The state of a member changed; [`Membership::member`] returns the new one.
    StateChanged {
        /// The member.
        vm: Name,
    },
    /// A member reported a configuration version.
    ConfigVersion {
        /// The member.
        vm: Name,
        /// Its configuration version.
        version: u64,
    },
}

/// The fleet as this VM sees it.
#[derive(Clone, Debug)]
pub struct Membership {
    me: Vm,
    settings: MembershipSettings,
    codec: Codec,
    rng: Pcg64Mcg,
    table: Table,
    gossip: Gossip,
    health: LocalHealth,
    probes: Probes,
    pull: Pull,
    join: Join,
    refutation: u32,
    alive_since: Time,
    /// Refutation number at the last tick.
    refutation_at_last_tick: u32,
    /// Refutation number before the last pause, until this VM receives an update that it was
    /// declared dead during it.
    refutation_before_pause: Option<u32>,
    leaving: bool,
    listed_leaving: bool,
    superseded: bool,
    config_version: Option<u64>,
    last_platform_response: Option<Time>,
    reach: ReachReports,
    list_version: u64,
    now: Time,
}

type Actions = Vec<MembershipAction>;

impl Membership {
    /// Creates the membership of `me`, which has no other members at first.
    pub fn new(now: Time, me: Vm, settings: MembershipSettings, seed: u64) -> Membership {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let probes = Probes::new(now, rng.random());
        Membership {
            codec: Codec::new(&settings.deployment),
            health: LocalHealth::new(settings.max_local_health),
            me,
            settings,
            rng,
            table: Table::default(),
            gossip: Gossip::default(),
            probes,
            pull: Pull::default(),
            join: Join::new(now),
            refutation: 0,
            alive_since: now,
            refutation_at_last_tick: 0,
            refutation_before_pause: None,
            leaving: false,
            listed_leaving: false,
            superseded: false,
            config_version: None,
            last_platform_response: None,
            reach: ReachReports::default(),
            list_version: 0,
            now,
        }
    }

    /// Handles a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram can't be decoded.
    pub fn on_datagram(
        &mut self,
        now: Time,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Result<Vec<MembershipAction>, postcard::Error> {
        self.now = now;
        let datagram = match self.codec.decode(bytes) {
            Ok(datagram) => datagram,
            Err(DatagramError::WrongDeployment) => return Ok(Vec::new()),
            Err(error) => return Err(error.into()),
        };
        let mut actions = Vec::new();
        if !self.superseded {
            self.receive(now, from, datagram, &mut actions);
            self.record_seen_seeds(&actions);
        }
        Ok(actions)
    }

    /// Performs the actions that are due; called by the timer service.
    pub fn on_tick(&mut self, now: Time) -> Vec<MembershipAction> {
        self.now = now;
        let mut actions = Vec::new();
        if self.superseded {
            return actions;
        }
        // This comes first, so that a member declared dead in this tick is still visible.
        self.table.forget(
            now,
            Duration::from_millis(self.settings.forget_ms),
            Duration::from_millis(self.settings.tombstone_ms),
        );
        self.process_probe_timeouts(now, &mut actions);
        self.expire_unresponsive(now, &mut actions);
        self.retry_overdue_pull(now, &mut actions);
        self.query_seeds_if_due(now, &mut actions);
        self.probe_if_due(now, &mut actions);
        self.report_reach_if_due(now, &mut actions);
        self.expire_reach_reports(now, &mut actions);
        self.refutation_at_last_tick = self.refutation;
        actions
    }

    /// Records that this process was paused for `gap`.
    ///
    /// After a pause all probes look unanswered and all suspicions look expired, though the
    /// cause was this VM. Their timers are restarted, queued updates from before the pause
    /// are dropped, and the refutation number is increased so that VMs that declared this
    /// one dead in the meantime verify it again.
    ///
    /// A VM that was declared dead during a pause must not continue as the owner of shards
    /// that others have taken over, or a shard has two owners for seconds. A VM that verifies
    /// this one as alive needn't report the declared death to it. Therefore any pause in
    /// which other VMs may have declared this one dead makes it settle again. Other VMs
    /// lengthen their suspicion time by their own health factor; this VM assumes the shortest
    /// time, that of healthy VMs.
    pub fn on_pause(&mut self, now: Time, gap: Duration) {
        if gap >= self.base_suspicion_time() {
            self.alive_since = now;
        }
        self.probes.restart(now);
        self.gossip.clear();
        self.pull.restart();
        // Datagrams received during the pause may be handled before it is detected, and a
        // suspicion among them increases the number too.
        self.refutation_before_pause = Some(self.refutation_at_last_tick);
        self.refutation += 1;
        let suspicion_time = self.suspicion_time();
        let expiring: Vec<Name> = self.table.expiring.iter().cloned().collect();
        for name in expiring {
            self.table.set_expiry(&name, now + suspicion_time);
        }
    }

    /// Announces to other members that this VM is shutting down gracefully.
    pub fn leave(&mut self, now: Time) -> Vec<MembershipAction> {
        self.now = now;
        let mut actions = Vec::new();
        self.leaving = true;
        let peers = self.table.random_alive(self.settings.leave_fanout, None, &mut self.rng);
        for peer in peers {
            self.send_to(now, &peer, Message::Leave, &mut actions);
        }
        actions
    }

    /// Announces this VM's configuration version and the time of the platform's last response
    /// to `recipients` and to members that, as far as known, have an older configuration.
    pub fn announce(&mut self, now: Time, recipients: Vec<Name>) -> Vec<MembershipAction> {
        self.now = now;
        let mut actions = Vec::new();
        let is_behind = |member: &Member| {
            member.state == MemberState::Alive && member.config_version < self.config_version
        };
        let behind = self.members().filter(|member| is_behind(member));
        let fanout = self.settings.announce_fanout;
        let behind = behind.take(fanout).map(|member| member.vm.name.clone());
        let receivers: BTreeSet<Name> = behind.chain(recipients).collect();
        for name in receivers {
            self.send_to(now, &name, Message::Announce, &mut actions);
        }
        actions
    }

    /// Replaces the seeds, the addresses of VMs through which this VM joins the fleet.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.settings.seeds = seeds;
    }

    /// Sets the configuration version that this VM reports.
    pub fn set_config_version(&mut self, version: u64) {
        self.config_version = Some(version);
    }

    /// Records that the platform's configuration service responded to this VM.
    pub fn on_platform_response(&mut self, now: Time) {
        self.last_platform_response = Some(now);
    }

    /// Returns the other members, including dead ones that have not been removed yet.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.entries.values().map(|entry| &entry.member)
    }

    /// Returns a member by name.
    pub fn member(&self, name: &Name) -> Option<&Member> {
        self.table.get(name).map(|entry| &entry.member)
    }

    /// Returns this VM.
    pub fn me(&self) -> &Vm {
        &self.me
    }

    /// Returns the time since which the other VMs have considered this VM alive, as far as
    /// known: its start, or when it last found out that it had been declared dead.
    pub fn alive_since(&self) -> Time {
        self.alive_since
    }

    /// Returns whether this VM is leaving, by itself or because the platform marked it.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.listed_leaving
    }

    /// Returns whether a newer incarnation runs under this VM's name; this one is ignored by
    /// the other members and should stop.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns whether the last response of a member came without a relay; if not, the path
    /// from this VM to it is broken though the member is alive.
    pub fn is_direct(&self, name: &Name) -> bool {
        self.table.get(name).is_some_and(|entry| entry.direct)
    }

    /// Returns the factor by which this VM lengthens its timeouts because it seems to be
    /// unhealthy itself; 1 if it is healthy.
    pub fn local_health_factor(&self) -> u32 {
        self.health.factor()
    }

    fn identity(&self) -> Identity {
        Identity {
            name: self.me.name.clone(),
            incarnation: self.me.incarnation,
            refutation: self.refutation,
            leaving: self.leaving,
            config_version: self.config_version,
            platform_age_ms: self.last_platform_response.map(|responded_at| {
                u32::try_from(self.now.since(responded_at).as_millis()).unwrap_or(u32::MAX)
            }),
        }
    }

    /// Returns the update about this VM for members that don't know it.
    fn self_update(&self, now: Time) -> Update {
        Update {
            name: self.me.name.clone(),
            incarnation: self.me.incarnation,
            refutation: self.refutation,
            state: if self.leaving { MemberState::Leaving } else { MemberState::Alive },
            details: Some(table::details(&self.me, now.since(self.alive_since))),
        }
    }

    fn send_to(&mut self, now: Time, name: &Name, message: Message, actions: &mut Actions) {
        let Some(entry) = self.table.get(name) else { return };
        let to = entry.member.vm.peer_address;
        let suspicion = self.suspicion(now, name);
        self.send(to, message, suspicion.into_iter().collect(), actions);
    }

    /// Sends a datagram with `updates` and as many queued updates as fit.
    fn send(
        &mut self,
        to: SocketAddr,
        message: Message,
        updates: Vec<Update>,
        actions: &mut Actions,
    ) {
        let mut datagram = Datagram { sender: self.identity(), message, updates };
        let room = room_for_updates(&datagram);
        let limit = self.settings.update_transmissions * (1 + self.log_fleet_size().ceil() as u32);
        datagram.updates.extend(self.gossip.take(self.now, room, limit));
        // This fails only for names near the maximum length; such a VM can't send datagrams.
        if let Ok(bytes) = self.codec.encode(&datagram) {
            actions.push(MembershipAction::Send { to, bytes });
        }
    }

    /// Returns the decimal logarithm of the fleet size, at least 1.
    fn log_fleet_size(&self) -> f64 {
        (self.table.live_count() as f64).log10().max(1.0)
    }

    fn suspicion_time(&self) -> Duration {
        self.base_suspicion_time() * self.health.factor()
    }

    fn base_suspicion_time(&self) -> Duration {
        let intervals = self.settings.suspicion_intervals * self.log_fleet_size();
        Duration::from_millis((intervals * self.settings.probe_interval_ms as f64) as u64)
    }

    fn set_state(&mut self, now: Time, name: &Name, state: MemberState, actions: &mut Actions) {
        if self.table.set_state(now, name, state) {
            actions.push(MembershipAction::StateChanged { vm: name.clone() });
        }
    }

    /// Queues an update about the current state of a member for gossip.
    fn queue_update(&mut self, now: Time, name: &Name) {
        if let Some(entry) = self.table.get(name).filter(|entry| entry.is_known()) {
            self.gossip.push(now, entry.update(now));
        }
    }
}
