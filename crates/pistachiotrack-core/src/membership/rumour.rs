//! What datagrams say: of their sender, of this VM and of others.

use std::{net::SocketAddr, time::Duration};

use super::{Actions, MemberState, Membership, MembershipAction, table};
use crate::{
    message::{Datagram, Identity, Message, Update},
    name::Name,
    time::Time,
};

/// Time for which a member must have been alive to be no news any more.
const NEWS_MS: u32 = 60_000;

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
            self.superseded |= sender.incarnation > self.me.incarnation;
            return;
        }
        if self.is_outdated(&sender) {
            self.tell_outdated(now, from, &sender, &message, actions);
            return;
        }
        let introduction = updates.iter().find(|update| introduces(update, &sender)).cloned();
        let verified = match message {
            Message::Ack { sequence } => self.end_probe(sequence, &sender.name, true),
            _ => false,
        };
        self.on_identity(now, from, &sender, introduction.as_ref(), verified, actions);
        let old_news = if matches!(message, Message::TablePage { .. }) {
            updates.iter().filter(|update| is_old_news(update)).map(|u| u.name.clone()).collect()
        } else {
            Vec::new()
        };
        self.on_updates(now, &sender.name, updates, actions);
        // What a new VM reads from the table everybody else knows already; passing
        // it on would cost a large fleet megabytes for each VM that joins.
        for name in &old_news {
            self.gossip.remove(name);
        }
        self.on_message(now, from, &sender, introduction.as_ref(), message, actions);
    }

    fn on_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        sender: &Identity,
        introduction: Option<&Update>,
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
                let updates = if is_known { Vec::new() } else { vec![self.introduction(now)] };
                self.send(from, Message::Ack { sequence }, updates, actions);
            }
            Message::Ack { sequence } => self.pass_on(sequence, sender, introduction, actions),
            Message::PingRequest { .. } => self.relay_ping(now, from, message, actions),
            Message::RelayedAck { sequence, subject, introduction } => {
                if self.is_outdated(&subject) || !self.end_probe(sequence, &subject.name, false) {
                    return;
                }
                let introduction = introduction.filter(|update| introduces(update, &subject));
                self.on_identity(now, from, &subject, introduction.as_ref(), true, actions);
            }
            Message::Nack { sequence } => self.on_nack(sequence),
            Message::TableRequest { after } => self.send_page(now, from, after, actions),
            Message::TablePage { next } => self.on_page(now, &sender.name, next, actions),
            Message::Leave | Message::Announce => {}
        }
    }

    /// Returns whether a newer incarnation of the VM is known.
    fn is_outdated(&self, identity: &Identity) -> bool {
        self.table
            .get(&identity.name)
            .is_some_and(|entry| entry.incarnation() > identity.incarnation)
    }

    /// Tells a VM that was replaced while it was paused or cut off.
    ///
    /// It would otherwise get no answer, hold everybody for dead and own all
    /// shards by itself.
    fn tell_outdated(
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

    /// Takes what a VM says of itself; `verified` if it answered an own probe.
    fn on_identity(
        &mut self,
        now: Time,
        from: SocketAddr,
        identity: &Identity,
        introduction: Option<&Update>,
        verified: bool,
        actions: &mut Actions,
    ) {
        let name = &identity.name;
        let known = self.table.get(name).map(|entry| entry.incarnation());
        if known != Some(identity.incarnation) {
            if !verified {
                self.probe_at(now, name, from, known.unwrap_or(0), actions);
            } else if let Some(introduction) = introduction {
                self.admit(now, introduction, actions);
                self.on_report(now, identity, actions);
            }
            return;
        }
        self.on_known_identity(now, identity, introduction, verified, actions);
        self.on_report(now, identity, actions);
    }

    fn on_known_identity(
        &mut self,
        now: Time,
        identity: &Identity,
        introduction: Option<&Update>,
        verified: bool,
        actions: &mut Actions,
    ) {
        let name = &identity.name;
        let Some(entry) = self.table.entries.get_mut(name) else { return };
        let (state, refutes) = (entry.state, identity.refutation > entry.refutation);
        let was_dead = state == MemberState::Dead;
        if verified && refutes {
            entry.refutation = identity.refutation;
        }
        match state {
            MemberState::Alive | MemberState::Suspect if identity.leaving => {
                entry.refutation = entry.refutation.max(identity.refutation);
                self.set_state(now, name, MemberState::Leaving, actions);
                self.spread(now, name);
            }
            MemberState::Alive => {
                if verified && refutes {
                    self.spread(now, name);
                }
            }
            MemberState::Leaving => {
                if verified {
                    entry.give_up_at = None;
                    self.table.waiting.remove(name);
                }
            }
            MemberState::Suspect | MemberState::Dead if verified && refutes => {
                let alive = !identity.leaving;
                let state = if alive { MemberState::Alive } else { MemberState::Leaving };
                self.set_state(now, name, state, actions);
                let place = introduction.and_then(|update| update.place.as_ref());
                if let Some(place) = place.filter(|_| was_dead) {
                    self.table.set_alive_since(name, now.before(millis(place.alive_ms)));
                }
                self.table.join_round(name, &mut self.rng);
                self.spread(now, name);
                self.pull_after_partition(now, name, state, actions);
            }
            // It is heard, but has not refuted the accusation. The probe carries
            // it; an answer proves both directions and refutes at once.
            MemberState::Suspect | MemberState::Dead => {
                if refutes || verified || state == MemberState::Dead {
                    self.probe(now, name, actions);
                }
            }
        }
    }

    /// Adds a VM that introduced itself, or a newer incarnation of a known one.
    fn admit(&mut self, now: Time, update: &Update, actions: &mut Actions) {
        let Some(place) = &update.place else { return };
        let name = &update.name;
        let entry = self.table.insert(now, table::vm(update, place), &mut self.rng);
        entry.refutation = update.refutation;
        entry.direct = true;
        self.table.set_alive_since(name, now.before(millis(place.alive_ms)));
        self.table.set_state(now, name, update.state);
        actions.push(MembershipAction::Changed { vm: name.clone() });
        self.spread(now, name);
        if update.state == MemberState::Alive {
            self.pull_first(now, name, actions);
        }
    }

    /// Takes what a member reports of the configuration.
    fn on_report(&mut self, now: Time, identity: &Identity, actions: &mut Actions) {
        let Some(entry) = self.table.entries.get_mut(&identity.name) else { return };
        let answered = identity.platform_age_ms.map(|age_ms| now.before(millis(age_ms)));
        entry.member.platform_answered = entry.member.platform_answered.max(answered);
        let Some(version) = identity.config_version else { return };
        if entry.member.config_version == Some(version) {
            return;
        }
        entry.member.config_version = Some(version);
        actions.push(MembershipAction::ConfigVersion { vm: identity.name.clone(), version });
    }

    /// Takes the statements of a datagram.
    ///
    /// A VM that hears nobody accuses everybody in turn while its datagrams still
    /// arrive. Once it is itself suspect or dead, only what it says about this VM
    /// is taken, so the accusations end with its own suspicion.
    fn on_updates(
        &mut self,
        now: Time,
        sender: &Name,
        updates: Vec<Update>,
        actions: &mut Actions,
    ) {
        let believed = self
            .table
            .get(sender)
            .is_some_and(|entry| matches!(entry.state, MemberState::Alive | MemberState::Leaving));
        for update in updates {
            if update.name == self.me.name {
                self.on_accusation(now, &update);
            } else if believed && update.name != *sender {
                self.on_update(now, &update, actions);
            }
        }
    }

    /// Refutes a suspicion against this VM, or learns of its successor.
    fn on_accusation(&mut self, now: Time, update: &Update) {
        if update.incarnation > self.me.incarnation {
            self.superseded = true;
            return;
        }
        let accuses = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        if update.incarnation < self.me.incarnation || !accuses {
            return;
        }
        if update.refutation < self.refutation {
            // A pause raises the refutation number by itself, so a death declared
            // meanwhile looks outdated. Left aside, it would have this VM go on as
            // the owner of shards that others took over.
            let died = |paused: &mut u32| {
                update.state == MemberState::Dead && update.refutation >= *paused
            };
            if self.paused_refutation.take_if(died).is_some() {
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

    fn on_update(&mut self, now: Time, update: &Update, actions: &mut Actions) {
        if !self.is_news(update) {
            self.on_stale_update(now, update);
            return;
        }
        let name = &update.name;
        let known = self.table.get(name).map(|entry| entry.incarnation());
        if known == Some(update.incarnation) {
            self.on_news(now, update, actions);
        } else if matches!(update.state, MemberState::Alive | MemberState::Leaving) {
            self.admit(now, update, actions);
            if let Some(entry) = self.table.entries.get_mut(name) {
                entry.direct = false;
            }
        }
    }

    /// Takes a statement that contradicts what is known without overruling it.
    fn on_stale_update(&mut self, now: Time, update: &Update) {
        let state = self.table.get(&update.name).map(|entry| entry.state);
        match (update.state, state) {
            // Somebody hears a member that this VM holds for dead: the other side
            // of a healed partition, or an old rumour. An own probe decides.
            (MemberState::Alive, Some(MemberState::Dead)) => {
                self.table.queue_to_verify(&update.name);
            }
            // Somebody missed the refutation; nobody else would tell it again.
            (MemberState::Dead, Some(MemberState::Alive)) => self.spread(now, &update.name),
            _ => {}
        }
    }

    fn on_news(&mut self, now: Time, update: &Update, actions: &mut Actions) {
        let name = &update.name;
        let Some(entry) = self.table.entries.get_mut(name) else { return };
        let was = entry.state;
        entry.refutation = update.refutation;
        if update.state == MemberState::Suspect {
            let give_up_at = now + self.suspicion_time();
            self.table.give_up_at(name, give_up_at);
        }
        self.set_state(now, name, update.state, actions);
        if was == MemberState::Dead && update.state != MemberState::Dead {
            self.table.join_round(name, &mut self.rng);
            if let Some(place) = &update.place {
                self.table.set_alive_since(name, now.before(millis(place.alive_ms)));
            }
        }
        self.spread(now, name);
    }

    /// Returns whether a statement goes beyond what is known of its member.
    ///
    /// Statements of a newer incarnation win. Within one, the higher refutation
    /// number wins, then the graver state. Leaving is for good: it wins over any
    /// suspicion, and only a death of its own refutation number or a later one
    /// ends it.
    fn is_news(&self, update: &Update) -> bool {
        let entry = self.table.get(&update.name).filter(|entry| entry.is_known());
        let Some(entry) = entry else {
            let stone = self.table.tombstone(&update.name);
            return stone.is_none_or(|stone| {
                (update.incarnation, update.refutation) > (stone.incarnation, stone.refutation)
            });
        };
        if update.incarnation != entry.incarnation() {
            return update.incarnation > entry.incarnation();
        }
        let later = update.refutation > entry.refutation;
        let same = update.refutation == entry.refutation;
        match (update.state, entry.state) {
            (MemberState::Leaving, MemberState::Alive | MemberState::Suspect) => true,
            (MemberState::Alive | MemberState::Suspect, MemberState::Leaving) => false,
            (MemberState::Leaving, MemberState::Leaving) => later,
            (MemberState::Dead, MemberState::Dead) => later,
            (MemberState::Dead, _) => later || same,
            (MemberState::Suspect, MemberState::Alive) => later || same,
            _ => later,
        }
    }

    /// Returns what a member is accused of, to be told to it.
    pub(super) fn accusation(&self, now: Time, name: &Name) -> Option<Update> {
        let Some(entry) = self.table.get(name).filter(|entry| entry.is_known()) else {
            let stone = self.table.tombstone(name)?;
            return Some(Update {
                name: name.clone(),
                incarnation: stone.incarnation,
                refutation: stone.refutation,
                state: MemberState::Dead,
                place: None,
            });
        };
        matches!(entry.state, MemberState::Suspect | MemberState::Dead).then(|| entry.update(now))
    }

    /// Turns a suspicion by hearsay that ran out into an own one; returns whether
    /// it was by hearsay.
    ///
    /// Where datagrams are lost, the refutation may have missed this VM alone. It
    /// would then declare a VM dead that all others hear. If the VM is dead, the
    /// accuser's word arrives while this VM still asks.
    fn doubts(&mut self, name: &Name) -> bool {
        let Some(entry) = self.table.entries.get_mut(name) else { return false };
        let hearsay =
            entry.state == MemberState::Suspect && entry.is_known() && !entry.own_suspicion;
        entry.own_suspicion |= hearsay;
        hearsay
    }

    /// Gives up members that have not been heard for too long.
    pub(super) fn check_waiting(&mut self, now: Time, actions: &mut Actions) {
        let over: Vec<Name> = self
            .table
            .waiting
            .iter()
            .filter(|name| {
                let at = self.table.get(name).and_then(|entry| entry.give_up_at);
                at.is_none_or(|at| now >= at)
            })
            .cloned()
            .collect();
        for name in over {
            if self.doubts(&name) {
                let patience = self.suspicion_time();
                self.table.give_up_at(&name, now + patience);
                self.probe(now, &name, actions);
                continue;
            }
            self.set_state(now, &name, MemberState::Dead, actions);
            self.spread(now, &name);
        }
    }
}

fn millis(time_ms: u32) -> Duration {
    Duration::from_millis(u64::from(time_ms))
}

fn is_old_news(update: &Update) -> bool {
    update.place.as_ref().is_some_and(|place| place.alive_ms >= NEWS_MS)
}

fn introduces(update: &Update, identity: &Identity) -> bool {
    update.name == identity.name
        && update.incarnation == identity.incarnation
        && update.place.is_some()
        && matches!(update.state, MemberState::Alive | MemberState::Leaving)
}
