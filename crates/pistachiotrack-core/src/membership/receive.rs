//! Handling of received datagrams: the sender's identity, the message and the updates about
//! members.

use std::{net::SocketAddr, time::Duration};

use super::{Actions, MemberState, Membership, MembershipAction, table};
use crate::{
    message::{Datagram, Identity, Message, Update},
    name::Name,
    time::Time,
};

/// Time alive after which all members are assumed to have received the update about a VM.
const ESTABLISHED_MS: u32 = 60_000;

/// Time after its start for which a VM may learn of the process before it at its address.
const PREDECESSOR_TIME: Duration = Duration::from_secs(10);

impl Membership {
    pub(super) fn receive(
        &mut self,
        now: Time,
        from: SocketAddr,
        datagram: Datagram,
        actions: &mut Actions,
    ) {
        let Datagram { sender, message, updates } = datagram;
        if sender.name == self.me.name {
            if sender.incarnation > self.me.incarnation {
                self.on_higher_incarnation(now, sender.incarnation, Some(from));
            }
            return;
        }
        if self.is_outdated(&sender) {
            self.notify_outdated(now, from, &sender, &message, actions);
            return;
        }
        let self_update = updates.iter().find(|update| is_self_update(update, &sender)).cloned();
        let verified = match message {
            Message::Ack { sequence } => self.complete_probe(sequence, &sender.name, true),
            _ => false,
        };
        self.on_identity(now, from, &sender, self_update.as_ref(), verified, actions);
        let established = if matches!(message, Message::TablePage { .. }) {
            updates.iter().filter(|update| is_established(update)).map(|u| u.name.clone()).collect()
        } else {
            Vec::new()
        };
        self.on_updates(now, &sender.name, updates, actions);
        // Other members already know what a new VM reads from the member table; gossiping it
        // again would cost a large fleet megabytes for each VM that joins.
        for name in &established {
            self.gossip.remove(name);
        }
        self.on_message(now, from, &sender, self_update.as_ref(), message, actions);
    }

    fn on_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        sender: &Identity,
        self_update: Option<&Update>,
        message: Message,
        actions: &mut Actions,
    ) {
        match message {
            Message::Ping { sequence, target, known_incarnation } => {
                // The address may have belonged to the target before.
                if target != self.me.name {
                    return;
                }
                let is_known = known_incarnation == self.me.incarnation;
                let updates = if is_known { Vec::new() } else { vec![self.self_update(now)] };
                self.send(from, Message::Ack { sequence }, updates, actions);
            }
            Message::Ack { sequence } => self.relay_ack(sequence, sender, self_update, actions),
            Message::PingRequest { .. } => self.relay_ping(now, from, message, actions),
            Message::RelayedAck { sequence, subject, self_update } => {
                if self.is_outdated(&subject)
                    || !self.complete_probe(sequence, &subject.name, false)
                {
                    return;
                }
                let self_update = self_update.filter(|update| is_self_update(update, &subject));
                self.on_identity(now, from, &subject, self_update.as_ref(), true, actions);
            }
            Message::Nack { sequence } => self.on_nack(sequence),
            Message::TableRequest { after } => self.send_page(now, from, after, actions),
            Message::TablePage { next } => self.on_page(now, &sender.name, next, actions),
            Message::EndpointReach { cut_off } => {
                self.on_reach_report(now, &sender.name, cut_off, actions);
            }
            Message::Leave | Message::Announce => {}
        }
    }

    /// Returns whether a newer incarnation of the VM is known.
    fn is_outdated(&self, identity: &Identity) -> bool {
        self.table
            .get(&identity.name)
            .is_some_and(|entry| entry.incarnation() > identity.incarnation)
    }

    /// Notifies a VM that was replaced while it was paused or disconnected.
    ///
    /// Without a response it would declare all members dead and own all shards itself.
    fn notify_outdated(
        &mut self,
        now: Time,
        from: SocketAddr,
        sender: &Identity,
        message: &Message,
        actions: &mut Actions,
    ) {
        let Message::Ping { sequence, .. } = *message else { return };
        let Some(entry) = self.table.get(&sender.name) else { return };
        let update = entry.update(now);
        self.send(from, Message::Nack { sequence }, vec![update], actions);
    }

    /// Handles the identity of a VM; `verified` if it responded to a probe of this VM.
    fn on_identity(
        &mut self,
        now: Time,
        from: SocketAddr,
        identity: &Identity,
        self_update: Option<&Update>,
        verified: bool,
        actions: &mut Actions,
    ) {
        let name = &identity.name;
        let known = self.table.get(name).map(|entry| entry.incarnation());
        if known != Some(identity.incarnation) {
            if !verified {
                self.probe_at(now, name, from, known.unwrap_or(0), actions);
            } else if let Some(self_update) = self_update {
                self.insert_verified(now, self_update, actions);
                self.on_config_report(now, identity, actions);
            }
            return;
        }
        self.on_known_identity(now, identity, self_update, verified, actions);
        self.on_config_report(now, identity, actions);
    }

    fn on_known_identity(
        &mut self,
        now: Time,
        identity: &Identity,
        self_update: Option<&Update>,
        verified: bool,
        actions: &mut Actions,
    ) {
        let name = &identity.name;
        let Some(entry) = self.table.entries.get_mut(name) else { return };
        let (state, is_refutation) = (entry.state, identity.refutation > entry.refutation);
        let was_dead = state == MemberState::Dead;
        if verified && is_refutation {
            entry.refutation = identity.refutation;
        }
        match state {
            MemberState::Alive | MemberState::Suspect if identity.leaving => {
                entry.refutation = entry.refutation.max(identity.refutation);
                self.set_state(now, name, MemberState::Leaving, actions);
                self.queue_update(now, name);
            }
            MemberState::Alive => {
                if verified && is_refutation {
                    self.queue_update(now, name);
                }
            }
            MemberState::Leaving => {
                if verified {
                    entry.expires_at = None;
                    self.table.expiring.remove(name);
                }
            }
            MemberState::Suspect | MemberState::Dead if verified && is_refutation => {
                let alive = !identity.leaving;
                let state = if alive { MemberState::Alive } else { MemberState::Leaving };
                self.set_state(now, name, state, actions);
                let details = self_update.and_then(|update| update.details.as_ref());
                if let Some(details) = details.filter(|_| was_dead) {
                    self.table.set_alive_since(name, now.before(millis(details.alive_ms)));
                }
                self.table.add_to_round(name, &mut self.rng);
                self.queue_update(now, name);
                self.pull_after_partition(now, name, state, actions);
            }
            // It sends datagrams but has not refuted the suspicion. The probe contains the
            // suspicion; a response proves both directions and refutes it.
            MemberState::Suspect | MemberState::Dead => {
                if is_refutation || verified || state == MemberState::Dead {
                    self.probe(now, name, actions);
                }
            }
        }
    }

    /// Adds a VM from the update about itself, or a newer incarnation of a known one.
    fn insert_verified(&mut self, now: Time, update: &Update, actions: &mut Actions) {
        let Some(details) = &update.details else { return };
        let name = &update.name;
        let entry = self.table.insert(now, table::vm(update, details), &mut self.rng);
        entry.refutation = update.refutation;
        entry.direct = true;
        self.table.set_alive_since(name, now.before(millis(details.alive_ms)));
        self.table.set_state(now, name, update.state);
        actions.push(MembershipAction::StateChanged { vm: name.clone() });
        self.queue_update(now, name);
        if update.state == MemberState::Alive {
            self.pull_from_first_peer(now, name, actions);
        }
    }

    /// Records the configuration version and the platform's last response that a member
    /// reports.
    fn on_config_report(&mut self, now: Time, identity: &Identity, actions: &mut Actions) {
        let Some(entry) = self.table.entries.get_mut(&identity.name) else { return };
        let responded_at = identity.platform_age_ms.map(|age_ms| now.before(millis(age_ms)));
        entry.member.last_platform_response = entry.member.last_platform_response.max(responded_at);
        let Some(version) = identity.config_version else { return };
        if entry.member.config_version == Some(version) {
            return;
        }
        entry.member.config_version = Some(version);
        actions.push(MembershipAction::ConfigVersion { vm: identity.name.clone(), version });
    }

    /// Applies the updates of a datagram.
    ///
    /// A VM that receives nothing suspects every member in turn while its own datagrams still
    /// arrive. Once it is suspected or dead itself, only its updates about this VM are used,
    /// which ends its false suspicions.
    fn on_updates(
        &mut self,
        now: Time,
        sender: &Name,
        updates: Vec<Update>,
        actions: &mut Actions,
    ) {
        let trusted = self
            .table
            .get(sender)
            .is_some_and(|entry| matches!(entry.state, MemberState::Alive | MemberState::Leaving));
        for update in updates {
            if update.name == self.me.name {
                self.on_update_about_self(now, &update);
            } else if trusted && update.name != *sender {
                self.on_update(now, &update, actions);
            }
        }
    }

    /// Refutes a suspicion against this VM, or detects that a newer incarnation replaced it.
    fn on_update_about_self(&mut self, now: Time, update: &Update) {
        if update.incarnation > self.me.incarnation {
            let address = match update.state {
                // A dead process replaces none.
                MemberState::Dead => Some(self.me.peer_address),
                _ => update.details.as_ref().map(|details| details.peer_address),
            };
            self.on_higher_incarnation(now, update.incarnation, address);
            return;
        }
        let is_suspicion = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        if update.incarnation < self.me.incarnation || !is_suspicion {
            return;
        }
        if update.refutation < self.refutation {
            // A pause increases the refutation number by itself, so a death declared during
            // it looks outdated. If it were ignored, this VM would continue as the owner of
            // shards that others took over.
            let is_declared_dead = |paused: &mut u32| {
                update.state == MemberState::Dead && update.refutation >= *paused
            };
            if self.refutation_before_pause.take_if(is_declared_dead).is_some() {
                self.alive_since = now;
            }
            return;
        }
        self.refutation = update.refutation.saturating_add(1);
        self.health.on_miss();
        if update.state == MemberState::Dead {
            self.alive_since = now;
        }
    }

    /// Handles a higher incarnation of this VM: that of a process that has replaced this one, or of
    /// the process before it, which was started while the clock was ahead.
    ///
    /// The process before had this one's address, so that it can't run any more; members that still know
    /// it would ignore this one. Only a process that has just started takes its place: one that
    /// was paused can itself have been replaced at its address. A suspicion has no address, and the
    /// members find out soon whether the suspected process is alive.
    fn on_higher_incarnation(&mut self, now: Time, incarnation: u64, address: Option<SocketAddr>) {
        let has_just_started = now.since(self.join.started) < PREDECESSOR_TIME;
        match address {
            Some(address) if has_just_started && address == self.me.peer_address => {
                self.me.incarnation = incarnation.saturating_add(1);
            }
            None if has_just_started => {}
            _ => self.superseded = true,
        }
    }

    fn on_update(&mut self, now: Time, update: &Update, actions: &mut Actions) {
        if !self.is_newer(update) {
            self.on_stale_update(now, update);
            return;
        }
        let name = &update.name;
        let known = self.table.get(name).map(|entry| entry.incarnation());
        if known == Some(update.incarnation) {
            self.apply_update(now, update, actions);
        } else if matches!(update.state, MemberState::Alive | MemberState::Leaving) {
            self.insert_verified(now, update, actions);
            if let Some(entry) = self.table.entries.get_mut(name) {
                entry.direct = false;
            }
        }
    }

    /// Handles an update that doesn't override the known state of its member.
    fn on_stale_update(&mut self, now: Time, update: &Update) {
        let state = self.table.get(&update.name).map(|entry| entry.state);
        match (update.state, state) {
            // Another VM reports a member as alive that is dead for this one: it is on the
            // other side of a healed partition, or the update is old. A probe by this VM
            // decides.
            (MemberState::Alive, Some(MemberState::Dead)) => {
                self.table.queue_to_verify(&update.name);
            }
            // The sender missed the refutation; no other VM may gossip it again.
            (MemberState::Dead, Some(MemberState::Alive)) => self.queue_update(now, &update.name),
            _ => {}
        }
    }

    fn apply_update(&mut self, now: Time, update: &Update, actions: &mut Actions) {
        let name = &update.name;
        let Some(entry) = self.table.entries.get_mut(name) else { return };
        let previous_state = entry.state;
        entry.refutation = update.refutation;
        if update.state == MemberState::Suspect {
            let expires_at = now + self.suspicion_time();
            self.table.set_expiry(name, expires_at);
        }
        self.set_state(now, name, update.state, actions);
        if previous_state == MemberState::Dead && update.state != MemberState::Dead {
            self.table.add_to_round(name, &mut self.rng);
            if let Some(details) = &update.details {
                self.table.set_alive_since(name, now.before(millis(details.alive_ms)));
            }
        }
        self.queue_update(now, name);
    }

    /// Returns whether an update overrides the known state of its member.
    ///
    /// Updates of a newer incarnation win. Within one, the higher refutation number wins, then
    /// the more severe state. Leaving is permanent: it wins over any suspicion, and only a
    /// death with the same or a higher refutation number ends it.
    fn is_newer(&self, update: &Update) -> bool {
        let entry = self.table.get(&update.name).filter(|entry| entry.is_known());
        let Some(entry) = entry else {
            let tombstone = self.table.tombstone(&update.name);
            return tombstone.is_none_or(|tombstone| {
                (update.incarnation, update.refutation)
                    > (tombstone.incarnation, tombstone.refutation)
            });
        };
        if update.incarnation != entry.incarnation() {
            return update.incarnation > entry.incarnation();
        }
        let is_later = update.refutation > entry.refutation;
        let is_same = update.refutation == entry.refutation;
        match (update.state, entry.state) {
            (MemberState::Leaving, MemberState::Alive | MemberState::Suspect) => true,
            (MemberState::Alive | MemberState::Suspect, MemberState::Leaving) => false,
            (MemberState::Leaving, MemberState::Leaving) => is_later,
            (MemberState::Dead, MemberState::Dead) => is_later,
            (MemberState::Dead, _) => is_later || is_same,
            (MemberState::Suspect, MemberState::Alive) => is_later || is_same,
            _ => is_later,
        }
    }

    /// Returns the suspicion against a member or its declared death, to be sent to it.
    pub(super) fn suspicion(&self, now: Time, name: &Name) -> Option<Update> {
        let Some(entry) = self.table.get(name).filter(|entry| entry.is_known()) else {
            let tombstone = self.table.tombstone(name)?;
            return Some(Update {
                name: name.clone(),
                incarnation: tombstone.incarnation,
                refutation: tombstone.refutation,
                state: MemberState::Dead,
                details: None,
            });
        };
        matches!(entry.state, MemberState::Suspect | MemberState::Dead).then(|| entry.update(now))
    }

    /// Converts an expired suspicion that was reported by others into one of this VM; returns
    /// whether it was reported by others.
    ///
    /// If datagrams are lost, this VM alone may have missed the refutation and would declare a
    /// VM dead that all others reach, so it probes the VM first. If the VM is dead, the
    /// suspecting VM's update arrives while this one still probes.
    fn adopt_reported_suspicion(&mut self, name: &Name) -> bool {
        let Some(entry) = self.table.entries.get_mut(name) else { return false };
        let reported =
            entry.state == MemberState::Suspect && entry.is_known() && !entry.own_suspicion;
        entry.own_suspicion |= reported;
        reported
    }

    /// Declares members dead whose time to respond has expired.
    pub(super) fn expire_unresponsive(&mut self, now: Time, actions: &mut Actions) {
        let expired: Vec<Name> = self
            .table
            .expiring
            .iter()
            .filter(|name| {
                let at = self.table.get(name).and_then(|entry| entry.expires_at);
                at.is_none_or(|at| now >= at)
            })
            .cloned()
            .collect();
        for name in expired {
            if self.adopt_reported_suspicion(&name) {
                let suspicion_time = self.suspicion_time();
                self.table.set_expiry(&name, now + suspicion_time);
                self.probe(now, &name, actions);
                continue;
            }
            self.set_state(now, &name, MemberState::Dead, actions);
            self.queue_update(now, &name);
        }
    }
}

fn millis(time_ms: u32) -> Duration {
    Duration::from_millis(u64::from(time_ms))
}

fn is_established(update: &Update) -> bool {
    update.details.as_ref().is_some_and(|details| details.alive_ms >= ESTABLISHED_MS)
}

fn is_self_update(update: &Update, identity: &Identity) -> bool {
    update.name == identity.name
        && update.incarnation == identity.incarnation
        && update.details.is_some()
        && matches!(update.state, MemberState::Alive | MemberState::Leaving)
}
