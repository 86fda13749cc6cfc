//! Probes: own ones, those asked of relays and those made as a relay.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use super::{Actions, MemberState, Membership};
use crate::{
    message::{Identity, Message, Update},
    name::Name,
    time::Time,
};

/// An own probe that has not been answered yet.
#[derive(Clone, Debug)]
struct Probe {
    target: Name,
    address: SocketAddr,
    known_incarnation: u64,
    ask_at: Time,
    fail_at: Time,
    rounds: u32,
    nacks: usize,
}

/// A probe on behalf of another VM.
#[derive(Clone, Debug)]
struct Relay {
    origin: SocketAddr,
    sequence: u32,
    target: Name,
    nack_at: Option<Time>,
    end_at: Time,
}

/// Probes under way and the moments of the next ones.
#[derive(Clone, Debug)]
pub(super) struct Probes {
    own: BTreeMap<u32, Probe>,
    relays: BTreeMap<u32, Relay>,
    next_sequence: u32,
    next_at: Time,
    next_dead_at: Time,
    announce: bool,
}

/// Rounds in which other VMs are asked to probe a member that doesn't answer.
const ASKING_ROUNDS: u32 = 2;
/// Relayed probes under way at most, so that no flood of requests fills the
/// memory.
const MAX_RELAYS: usize = 256;

impl Probes {
    /// Creates the probes; sequence numbers start at a random one, so that a
    /// late answer to a predecessor on this address matches none of them.
    pub(super) fn new(now: Time, first_sequence: u32) -> Probes {
        Probes {
            own: BTreeMap::new(),
            relays: BTreeMap::new(),
            next_sequence: first_sequence,
            next_at: now,
            next_dead_at: now,
            announce: false,
        }
    }

    /// Drops all probes under way and has several members probed soon.
    pub(super) fn restart(&mut self, now: Time) {
        self.own.clear();
        self.relays.clear();
        self.next_at = now;
        self.announce = true;
    }

    fn sequence(&mut self) -> u32 {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.next_sequence
    }

    fn is_probing(&self, target: &Name) -> bool {
        self.own.values().any(|probe| probe.target == *target)
    }
}

impl Membership {
    /// Sends the probes of an interval when it is over.
    pub(super) fn probe_due(&mut self, now: Time, actions: &mut Actions) {
        if now >= self.probes.next_dead_at {
            let interval = Duration::from_millis(self.settings.dead_probe_interval_ms);
            self.probes.next_dead_at = now + interval;
            // Two sides of a healed partition hold each other for dead and would
            // never meet again; a rare probe of the dead finds the other side.
            if let Some(name) = self.table.random_dead(&mut self.rng) {
                self.probe(now, &name, actions);
            }
        }
        if now < self.probes.next_at {
            return;
        }
        self.probes.next_at = now + Duration::from_millis(self.settings.probe_interval_ms);
        if std::mem::take(&mut self.probes.announce) {
            let fanout = self.settings.leave_fanout;
            for name in self.table.random_alive(fanout, None, &mut self.rng) {
                self.probe(now, &name, actions);
            }
        }
        if let Some(name) = self.table.next_of_round(&mut self.rng) {
            self.probe(now, &name, actions);
        }
        self.verify_some(now, actions);
    }

    /// Probes the members that this VM itself accused, then those that wait.
    fn verify_some(&mut self, now: Time, actions: &mut Actions) {
        let accused: Vec<Name> = self
            .table
            .waiting
            .iter()
            .filter(|name| self.table.get(name).is_some_and(|entry| entry.own_suspicion))
            .take(self.settings.verify_burst)
            .cloned()
            .collect();
        let left = self.settings.verify_burst - accused.len();
        for name in accused {
            self.probe(now, &name, actions);
        }
        for _ in 0..left {
            let Some(name) = self.table.next_to_verify() else { break };
            self.probe(now, &name, actions);
        }
    }

    /// Probes a member unless a probe of it is under way.
    pub(super) fn probe(&mut self, now: Time, name: &Name, actions: &mut Actions) {
        let Some(entry) = self.table.get(name) else { return };
        // A dead one that answers tells anew since when it has been alive.
        let dead = entry.state == MemberState::Dead;
        let incarnation = if dead { 0 } else { entry.incarnation() };
        let address = entry.member.vm.peer_address;
        self.probe_at(now, name, address, incarnation, actions);
    }

    /// Probes a VM at an address.
    pub(super) fn probe_at(
        &mut self,
        now: Time,
        name: &Name,
        address: SocketAddr,
        known_incarnation: u64,
        actions: &mut Actions,
    ) {
        if self.probes.is_probing(name) {
            return;
        }
        let factor = self.health.factor();
        let ask = Duration::from_millis(self.settings.ack_timeout_ms) * factor;
        let fail = Duration::from_millis(self.settings.probe_timeout_ms) * factor;
        let sequence = self.probes.sequence();
        let probe = Probe {
            target: name.clone(),
            address,
            known_incarnation,
            ask_at: now + ask,
            fail_at: now + fail,
            rounds: 0,
            nacks: 0,
        };
        self.probes.own.insert(sequence, probe);
        let message = Message::Ping { sequence, target: name.clone(), known_incarnation };
        self.send_ping(now, name, address, message, actions);
    }

    /// Sends a ping with what its target is accused of, so that it can refute it
    /// in the answer at once.
    fn send_ping(
        &mut self,
        now: Time,
        name: &Name,
        address: SocketAddr,
        message: Message,
        actions: &mut Actions,
    ) {
        let accusation = self.accusation(now, name);
        self.send(address, message, accusation.into_iter().collect(), actions);
    }

    /// Asks relays where an answer is late, and ends probes and relays.
    pub(super) fn check_probes(&mut self, now: Time, actions: &mut Actions) {
        let late = |probe: &Probe| probe.rounds < ASKING_ROUNDS && now >= probe.ask_at;
        let asking: Vec<u32> =
            self.probes.own.iter().filter(|(_, probe)| late(probe)).map(|(id, _)| *id).collect();
        for sequence in asking {
            self.ask_relays(now, sequence, actions);
        }
        let failed: Vec<u32> = self
            .probes
            .own
            .iter()
            .filter(|(_, probe)| now >= probe.fail_at)
            .map(|(id, _)| *id)
            .collect();
        for sequence in failed {
            if let Some(probe) = self.probes.own.remove(&sequence) {
                self.on_failed_probe(now, &probe, actions);
            }
        }
        self.check_relays(now, actions);
    }

    fn ask_relays(&mut self, now: Time, sequence: u32, actions: &mut Actions) {
        let Some(probe) = self.probes.own.get_mut(&sequence) else { return };
        probe.rounds += 1;
        probe.ask_at =
            now + Duration::from_millis(self.settings.ack_timeout_ms) * self.health.factor();
        let Probe { target, address, known_incarnation, .. } = probe.clone();
        let state = self.table.get(&target).map(|entry| entry.state);
        if !matches!(state, Some(MemberState::Alive | MemberState::Suspect)) {
            return;
        }
        // A single lost datagram is the most frequent cause of a late answer.
        let message = Message::Ping { sequence, target: target.clone(), known_incarnation };
        self.send_ping(now, &target, address, message, actions);
        let count = self.settings.indirect_probes;
        let relays = self.table.random_alive(count, Some(&target), &mut self.rng);
        for relay in relays {
            let target = target.clone();
            let message = Message::PingRequest { sequence, target, address, known_incarnation };
            self.send_to(now, &relay, message, actions);
        }
    }

    fn on_failed_probe(&mut self, now: Time, probe: &Probe, actions: &mut Actions) {
        let Some(entry) = self.table.get(&probe.target) else { return };
        if entry.incarnation() != probe.known_incarnation {
            return;
        }
        let (state, waits) = (entry.state, entry.give_up_at.is_some());
        if state == MemberState::Leaving && !waits {
            let give_up_at = now + self.suspicion_time();
            self.table.give_up_at(&probe.target, give_up_at);
        }
        if state != MemberState::Alive {
            return;
        }
        // No relay said anything: the fault may well be on this VM's side.
        if probe.nacks == 0 {
            self.health.on_miss();
        }
        let give_up_at = now + self.suspicion_time();
        self.table.give_up_at(&probe.target, give_up_at);
        if let Some(entry) = self.table.entries.get_mut(&probe.target) {
            entry.own_suspicion = true;
            entry.direct = false;
        }
        self.set_state(now, &probe.target, MemberState::Suspect, actions);
        self.spread(now, &probe.target);
    }

    fn check_relays(&mut self, now: Time, actions: &mut Actions) {
        let mut nacks = Vec::new();
        self.probes.relays.retain(|_, relay| {
            if relay.nack_at.is_some_and(|at| now >= at) {
                relay.nack_at = None;
                nacks.push((relay.origin, relay.sequence));
            }
            now < relay.end_at
        });
        for (origin, sequence) in nacks {
            self.send(origin, Message::Nack { sequence }, Vec::new(), actions);
        }
    }

    /// Probes a member on behalf of another VM.
    pub(super) fn relay_ping(
        &mut self,
        now: Time,
        origin: SocketAddr,
        message: Message,
        actions: &mut Actions,
    ) {
        let Message::PingRequest { sequence, target, address, known_incarnation } = message else {
            return;
        };
        if self.probes.relays.len() >= MAX_RELAYS {
            return;
        }
        let own_sequence = self.probes.sequence();
        let relay = Relay {
            origin,
            sequence,
            target: target.clone(),
            nack_at: Some(now + Duration::from_millis(self.settings.ack_timeout_ms)),
            end_at: now + Duration::from_millis(self.settings.probe_timeout_ms),
        };
        self.probes.relays.insert(own_sequence, relay);
        let name = target.clone();
        let ping = Message::Ping { sequence: own_sequence, target, known_incarnation };
        self.send_ping(now, &name, address, ping, actions);
    }

    /// Takes an answer to an own probe; returns whether there is such a probe.
    pub(super) fn end_probe(&mut self, sequence: u32, target: &Name, direct: bool) -> bool {
        if self.probes.own.get(&sequence).is_none_or(|probe| probe.target != *target) {
            return false;
        }
        self.probes.own.remove(&sequence);
        self.health.on_answer();
        if let Some(entry) = self.table.entries.get_mut(target) {
            entry.direct = direct;
        }
        true
    }

    /// Notes that a relay has not heard the target either.
    pub(super) fn on_nack(&mut self, sequence: u32) {
        if let Some(probe) = self.probes.own.get_mut(&sequence) {
            probe.nacks += 1;
        }
    }

    /// Passes the answer to a relayed probe on.
    pub(super) fn pass_on(
        &mut self,
        sequence: u32,
        subject: &Identity,
        introduction: Option<&Update>,
        actions: &mut Actions,
    ) {
        if self.probes.relays.get(&sequence).is_none_or(|relay| relay.target != subject.name) {
            return;
        }
        let Some(relay) = self.probes.relays.remove(&sequence) else { return };
        let message = Message::RelayedAck {
            sequence: relay.sequence,
            subject: subject.clone(),
            introduction: introduction.cloned(),
        };
        self.send(relay.origin, message, Vec::new(), actions);
    }
}
