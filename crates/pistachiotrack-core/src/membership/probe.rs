//! Probes: direct ones, indirect ones through relays, and those sent as a relay for others.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use super::{Actions, MemberState, Membership};
use crate::{
    message::{Identity, Message, Update},
    name::Name,
    time::Time,
};

/// An outstanding probe of this VM.
#[derive(Clone, Debug)]
struct Probe {
    target: Name,
    address: SocketAddr,
    known_incarnation: u64,
    indirect_at: Time,
    fails_at: Time,
    rounds: u32,
    nacks: usize,
}

/// An outstanding probe on behalf of another VM.
#[derive(Clone, Debug)]
struct RelayedProbe {
    origin: SocketAddr,
    sequence: u32,
    target: Name,
    nack_at: Option<Time>,
    expires_at: Time,
}

/// Outstanding probes and the times of the next ones.
#[derive(Clone, Debug)]
pub(super) struct Probes {
    own: BTreeMap<u32, Probe>,
    relays: BTreeMap<u32, RelayedProbe>,
    next_sequence: u32,
    next_probe_at: Time,
    next_dead_probe_at: Time,
    burst_pending: bool,
}

/// Number of rounds of indirect probes for a member that doesn't respond.
const INDIRECT_ROUNDS: u32 = 2;
/// Maximum number of outstanding relayed probes, which limits the memory that a flood of
/// requests can use.
const MAX_RELAYED_PROBES: usize = 256;

impl Probes {
    /// Creates the state without probes. Sequence numbers start at a random value, so that a
    /// late response to a previous VM on this address matches none of them.
    pub(super) fn new(now: Time, first_sequence: u32) -> Probes {
        Probes {
            own: BTreeMap::new(),
            relays: BTreeMap::new(),
            next_sequence: first_sequence,
            next_probe_at: now,
            next_dead_probe_at: now,
            burst_pending: false,
        }
    }

    /// Drops all outstanding probes and schedules a burst of probes of several members.
    pub(super) fn restart(&mut self, now: Time) {
        self.own.clear();
        self.relays.clear();
        self.next_probe_at = now;
        self.burst_pending = true;
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
    /// Sends the probes of the next interval if it is due.
    pub(super) fn probe_if_due(&mut self, now: Time, actions: &mut Actions) {
        if now >= self.probes.next_dead_probe_at {
            let interval = Duration::from_millis(self.settings.dead_probe_interval_ms);
            self.probes.next_dead_probe_at = now + interval;
            // The two sides of a healed partition consider each other dead and would never
            // reconnect without an occasional probe of dead members.
            if let Some(name) = self.table.random_dead(&mut self.rng) {
                self.probe(now, &name, actions);
            }
        }
        if now < self.probes.next_probe_at {
            return;
        }
        self.probes.next_probe_at = now + Duration::from_millis(self.settings.probe_interval_ms);
        if std::mem::take(&mut self.probes.burst_pending) {
            let fanout = self.settings.leave_fanout;
            for name in self.table.random_alive(fanout, None, &mut self.rng) {
                self.probe(now, &name, actions);
            }
        }
        if let Some(name) = self.table.next_of_round(&mut self.rng) {
            self.probe(now, &name, actions);
        }
        self.probe_unverified(now, actions);
    }

    /// Probes the members that this VM itself suspects, then those queued for verification.
    fn probe_unverified(&mut self, now: Time, actions: &mut Actions) {
        let suspected: Vec<Name> = self
            .table
            .expiring
            .iter()
            .filter(|name| self.table.get(name).is_some_and(|entry| entry.own_suspicion))
            .take(self.settings.verify_burst)
            .cloned()
            .collect();
        let remaining = self.settings.verify_burst - suspected.len();
        for name in suspected {
            self.probe(now, &name, actions);
        }
        for _ in 0..remaining {
            let Some(name) = self.table.next_to_verify() else { break };
            self.probe(now, &name, actions);
        }
    }

    /// Probes a member unless a probe of it is outstanding.
    pub(super) fn probe(&mut self, now: Time, name: &Name, actions: &mut Actions) {
        let Some(entry) = self.table.get(name) else { return };
        // With incarnation 0 a dead member that responds adds an update about itself, which
        // states since when it has been alive.
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
        let indirect_after = Duration::from_millis(self.settings.ack_timeout_ms) * factor;
        let fail_after = Duration::from_millis(self.settings.probe_timeout_ms) * factor;
        let sequence = self.probes.sequence();
        let probe = Probe {
            target: name.clone(),
            address,
            known_incarnation,
            indirect_at: now + indirect_after,
            fails_at: now + fail_after,
            rounds: 0,
            nacks: 0,
        };
        self.probes.own.insert(sequence, probe);
        let message = Message::Ping { sequence, target: name.clone(), known_incarnation };
        self.send_ping(now, name, address, message, actions);
    }

    /// Sends a ping with the suspicion against its target, if any, so that the target can
    /// refute it in the response.
    fn send_ping(
        &mut self,
        now: Time,
        name: &Name,
        address: SocketAddr,
        message: Message,
        actions: &mut Actions,
    ) {
        let suspicion = self.suspicion(now, name);
        self.send(address, message, suspicion.into_iter().collect(), actions);
    }

    /// Sends indirect probes for overdue responses, and ends expired probes.
    pub(super) fn process_probe_timeouts(&mut self, now: Time, actions: &mut Actions) {
        let is_overdue = |probe: &Probe| probe.rounds < INDIRECT_ROUNDS && now >= probe.indirect_at;
        let overdue: Vec<u32> = self
            .probes
            .own
            .iter()
            .filter(|(_, probe)| is_overdue(probe))
            .map(|(id, _)| *id)
            .collect();
        for sequence in overdue {
            self.send_indirect_probes(now, sequence, actions);
        }
        let failed: Vec<u32> = self
            .probes
            .own
            .iter()
            .filter(|(_, probe)| now >= probe.fails_at)
            .map(|(id, _)| *id)
            .collect();
        for sequence in failed {
            if let Some(probe) = self.probes.own.remove(&sequence) {
                self.on_failed_probe(now, &probe, actions);
            }
        }
        self.process_relay_timeouts(now, actions);
    }

    fn send_indirect_probes(&mut self, now: Time, sequence: u32, actions: &mut Actions) {
        let Some(probe) = self.probes.own.get_mut(&sequence) else { return };
        probe.rounds += 1;
        probe.indirect_at =
            now + Duration::from_millis(self.settings.ack_timeout_ms) * self.health.factor();
        let Probe { target, address, known_incarnation, .. } = probe.clone();
        let state = self.table.get(&target).map(|entry| entry.state);
        if !matches!(state, Some(MemberState::Alive | MemberState::Suspect)) {
            return;
        }
        // The direct ping is repeated: a single lost datagram is the most frequent cause of a
        // missing response.
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
        let (state, has_expiry) = (entry.state, entry.expires_at.is_some());
        if state == MemberState::Leaving && !has_expiry {
            let expires_at = now + self.suspicion_time();
            self.table.set_expiry(&probe.target, expires_at);
        }
        if state != MemberState::Alive {
            return;
        }
        // No relay responded either, so the fault may be on this VM's side.
        if probe.nacks == 0 {
            self.health.on_miss();
        }
        let expires_at = now + self.suspicion_time();
        self.table.set_expiry(&probe.target, expires_at);
        if let Some(entry) = self.table.entries.get_mut(&probe.target) {
            entry.own_suspicion = true;
            entry.direct = false;
        }
        self.set_state(now, &probe.target, MemberState::Suspect, actions);
        self.queue_update(now, &probe.target);
    }

    fn process_relay_timeouts(&mut self, now: Time, actions: &mut Actions) {
        let mut nacks = Vec::new();
        self.probes.relays.retain(|_, relay| {
            if relay.nack_at.is_some_and(|at| now >= at) {
                relay.nack_at = None;
                nacks.push((relay.origin, relay.sequence));
            }
            now < relay.expires_at
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
        if self.probes.relays.len() >= MAX_RELAYED_PROBES {
            return;
        }
        let own_sequence = self.probes.sequence();
        let relay = RelayedProbe {
            origin,
            sequence,
            target: target.clone(),
            nack_at: Some(now + Duration::from_millis(self.settings.ack_timeout_ms)),
            expires_at: now + Duration::from_millis(self.settings.probe_timeout_ms),
        };
        self.probes.relays.insert(own_sequence, relay);
        let name = target.clone();
        let ping = Message::Ping { sequence: own_sequence, target, known_incarnation };
        self.send_ping(now, &name, address, ping, actions);
    }

    /// Completes a probe with a response; returns whether such a probe was outstanding.
    pub(super) fn complete_probe(&mut self, sequence: u32, target: &Name, direct: bool) -> bool {
        if self.probes.own.get(&sequence).is_none_or(|probe| probe.target != *target) {
            return false;
        }
        self.probes.own.remove(&sequence);
        self.health.on_response();
        if let Some(entry) = self.table.entries.get_mut(target) {
            entry.direct = direct;
        }
        true
    }

    /// Records that a relay got no response from the target either.
    pub(super) fn on_nack(&mut self, sequence: u32) {
        if let Some(probe) = self.probes.own.get_mut(&sequence) {
            probe.nacks += 1;
        }
    }

    /// Forwards the response to a relayed probe to its origin.
    pub(super) fn relay_ack(
        &mut self,
        sequence: u32,
        subject: &Identity,
        self_update: Option<&Update>,
        actions: &mut Actions,
    ) {
        if self.probes.relays.get(&sequence).is_none_or(|relay| relay.target != subject.name) {
            return;
        }
        let Some(relay) = self.probes.relays.remove(&sequence) else { return };
        let message = Message::RelayedAck {
            sequence: relay.sequence,
            subject: subject.clone(),
            self_update: self_update.cloned(),
        };
        self.send(relay.origin, message, Vec::new(), actions);
    }
}
