//! Which VMs of the fleet are alive, as this VM sees it.
//!
//! A SWIM-like protocol over datagrams: each VM probes one member per interval,
//! asks others to probe it when it doesn't answer, and passes statements about
//! members on with its datagrams. A member counts as alive only when it answered
//! a probe, so when it was heard both ways, by this VM or by one that this VM
//! believes; a datagram that merely arrives proves one direction.

mod gossip;
mod join;
mod local_health;
mod probe;
mod pull;
mod rumour;
mod settings;
mod table;

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

pub use self::settings::MembershipSettings;
use self::{
    gossip::Gossip, join::Join, local_health::LocalHealth, probe::Probes, pull::Pull, table::Table,
};
use crate::{
    message::{Codec, Datagram, DatagramError, Identity, Message, Update, room_for_updates},
    name::Name,
    time::Time,
    vm::Vm,
};

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Heard in both directions.
    Alive,
    /// Not heard; others are asked. With incarnation 0: listed by the platform
    /// and never heard.
    Suspect,
    /// Stopping gracefully; gets no new work.
    Leaving,
    /// Gone.
    Dead,
}

/// A member of the fleet.
#[derive(Clone, Debug)]
pub struct Member {
    /// The VM.
    pub vm: Vm,
    /// State as this VM sees it.
    pub state: MemberState,
    /// Moment of the last change of state; for a member that is alive, the moment
    /// since which it has not been dead.
    pub since: Time,
    /// Configuration version that the member last reported.
    pub config_version: Option<u64>,
    /// Moment at which the platform's configuration service last answered the member, as far
    /// as it has told.
    pub platform_answered: Option<Time>,
}

/// What the caller of the membership has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Sends a datagram.
    Send {
        /// Destination.
        to: SocketAddr,
        /// Encoded message.
        bytes: Vec<u8>,
    },
    /// A member changed its state; `members` shows the new one.
    Changed {
        /// The member.
        vm: Name,
    },
    /// A member reported a configuration version.
    ConfigVersion {
        /// The member.
        vm: Name,
        /// Version it holds.
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
    ticked_refutation: u32,
    /// Refutation number before the last pause, until this VM learns that it was
    /// declared dead meanwhile.
    paused_refutation: Option<u32>,
    leaving: bool,
    listed_leaving: bool,
    superseded: bool,
    config_version: Option<u64>,
    platform_answered: Option<Time>,
    list_version: u64,
    now: Time,
}

type Actions = Vec<MembershipAction>;

impl Membership {
    /// Creates the membership of `me`, alone at first.
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
            ticked_refutation: 0,
            paused_refutation: None,
            leaving: false,
            listed_leaving: false,
            superseded: false,
            config_version: None,
            platform_answered: None,
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
            Err(DatagramError::Deployment) => return Ok(Vec::new()),
            Err(error) => return Err(error.into()),
        };
        let mut actions = Vec::new();
        if !self.superseded {
            self.receive(now, from, datagram, &mut actions);
        }
        Ok(actions)
    }

    /// Does what is due; called by the timer service.
    pub fn on_tick(&mut self, now: Time) -> Vec<MembershipAction> {
        self.now = now;
        let mut actions = Vec::new();
        if self.superseded {
            return actions;
        }
        // First, so that a member just declared dead is still shown as such.
        self.table.forget(
            now,
            Duration::from_millis(self.settings.forget_ms),
            Duration::from_millis(self.settings.tombstone_ms),
        );
        self.check_probes(now, &mut actions);
        self.check_waiting(now, &mut actions);
        self.check_pull(now, &mut actions);
        self.join_due(now, &mut actions);
        self.probe_due(now, &mut actions);
        self.ticked_refutation = self.refutation;
        actions
    }

    /// Notes that this process was paused for `gap`.
    ///
    /// After a pause all probes look unanswered and all suspicions look run out,
    /// though it was this VM that was away. Their timers start anew, rumours of
    /// the old time are dropped, and the refutation number goes up so that
    /// whoever declared this VM dead meanwhile verifies it again.
    ///
    /// Failure guarded against: a VM wakes up and goes on as owner of what others
    /// have taken over. It shows as two owners of a shard for seconds. Whoever
    /// verifies the VM as alive need not tell it of its death, so the guard holds
    /// without being told: a pause in which the others may have declared this VM
    /// dead has it settle anew. How long they wait is for their own health to
    /// lengthen, so this VM reckons with well ones.
    pub fn on_pause(&mut self, now: Time, gap: Duration) {
        if gap >= self.suspicion_time_of_the_well() {
            self.alive_since = now;
        }
        self.probes.restart(now);
        self.gossip.clear();
        self.pull.restart();
        // Datagrams that came in during the pause may be taken before it is
        // noticed, and a suspicion among them raises the number too.
        self.paused_refutation = Some(self.ticked_refutation);
        self.refutation += 1;
        let patience = self.suspicion_time();
        let waiting: Vec<Name> = self.table.waiting.iter().cloned().collect();
        for name in waiting {
            self.table.give_up_at(&name, now + patience);
        }
    }

    /// Tells the others that this VM is stopping gracefully.
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

    /// Tells `listeners`, and members that hold an older configuration as far as is known,
    /// what this VM reports: its version, and when the platform last answered it.
    pub fn announce(&mut self, now: Time, listeners: Vec<Name>) -> Vec<MembershipAction> {
        self.now = now;
        let mut actions = Vec::new();
        let is_behind = |member: &Member| {
            member.state == MemberState::Alive && member.config_version < self.config_version
        };
        let behind = self.members().filter(|member| is_behind(member));
        let fanout = self.settings.announce_fanout;
        let behind = behind.take(fanout).map(|member| member.vm.name.clone());
        let told: BTreeSet<Name> = behind.chain(listeners).collect();
        for name in told {
            self.send_to(now, &name, Message::Announce, &mut actions);
        }
        actions
    }

    /// Changes the addresses of VMs that may know the fleet.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.settings.seeds = seeds;
    }

    /// Sets the configuration version that this VM reports.
    pub fn set_config_version(&mut self, version: u64) {
        self.config_version = Some(version);
    }

    /// Notes that the platform's configuration service has answered this VM.
    pub fn on_platform_answer(&mut self, now: Time) {
        self.platform_answered = Some(now);
    }

    /// Returns the other members, dead ones included while they are remembered.
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

    /// Returns the moment since which the others have counted this VM as alive,
    /// as far as it knows: its start, or when it last learned that it had been
    /// declared dead.
    pub fn alive_since(&self) -> Time {
        self.alive_since
    }

    /// Returns whether this VM leaves, by itself or by the platform's mark.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.listed_leaving
    }

    /// Returns whether a newer daemon runs under this VM's name; this one is
    /// ignored by the others and should stop.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns whether a member's last answer came without a relay; if not, this
    /// VM's own path to it is broken though the member is alive.
    pub fn is_direct(&self, name: &Name) -> bool {
        self.table.get(name).is_some_and(|entry| entry.direct)
    }

    /// Returns the factor by which this VM lengthens its timeouts because it
    /// seems to be ill itself; 1 when it is well.
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
            platform_age_ms: self.platform_answered.map(|answered| {
                u32::try_from(self.now.since(answered).as_millis()).unwrap_or(u32::MAX)
            }),
        }
    }

    /// Returns how this VM introduces itself to one that doesn't know it.
    fn introduction(&self, now: Time) -> Update {
        Update {
            name: self.me.name.clone(),
            incarnation: self.me.incarnation,
            refutation: self.refutation,
            state: if self.leaving { MemberState::Leaving } else { MemberState::Alive },
            place: Some(table::place(&self.me, now.since(self.alive_since))),
        }
    }

    fn send_to(&mut self, now: Time, name: &Name, message: Message, actions: &mut Actions) {
        let Some(entry) = self.table.get(name) else { return };
        let to = entry.member.vm.peer_address;
        let accusation = self.accusation(now, name);
        self.send(to, message, accusation.into_iter().collect(), actions);
    }

    /// Sends a datagram with `updates` and as many queued ones as fit.
    fn send(
        &mut self,
        to: SocketAddr,
        message: Message,
        updates: Vec<Update>,
        actions: &mut Actions,
    ) {
        let mut datagram = Datagram { sender: self.identity(), message, updates };
        let room = room_for_updates(&datagram);
        let limit = self.settings.update_transmissions * (1 + self.scale().ceil() as u32);
        datagram.updates.extend(self.gossip.take(self.now, room, limit));
        // Only a name near the limits can make this fail; such a VM stays unheard.
        if let Ok(bytes) = self.codec.encode(&datagram) {
            actions.push(MembershipAction::Send { to, bytes });
        }
    }

    /// Returns the decimal logarithm of the fleet's size, at least 1.
    fn scale(&self) -> f64 {
        (self.table.live_count() as f64).log10().max(1.0)
    }

    fn suspicion_time(&self) -> Duration {
        self.suspicion_time_of_the_well() * self.health.factor()
    }

    fn suspicion_time_of_the_well(&self) -> Duration {
        let intervals = self.settings.suspicion_intervals * self.scale();
        Duration::from_millis((intervals * self.settings.probe_interval_ms as f64) as u64)
    }

    fn set_state(&mut self, now: Time, name: &Name, state: MemberState, actions: &mut Actions) {
        if self.table.set_state(now, name, state) {
            actions.push(MembershipAction::Changed { vm: name.clone() });
        }
    }

    /// Passes on what this VM now believes of a member.
    fn spread(&mut self, now: Time, name: &Name) {
        if let Some(entry) = self.table.get(name).filter(|entry| entry.is_known()) {
            self.gossip.push(now, entry.update(now));
        }
    }
}
