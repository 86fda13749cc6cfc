//! Ways to learn of many members at once: the platform's list and the member
//! table of a peer, read page by page.

use std::{net::SocketAddr, ops::Bound, time::Duration};

use super::{Actions, MemberState, Membership, MembershipAction};
use crate::{
    message::{Datagram, MAX_NAME_BYTES, Message, Update, encoded_bytes, room_for_updates},
    name::Name,
    time::Time,
    vm::{DEFAULT_CAPACITY, ListedVm, Vm, VmList},
};

/// A table is read again when one member in this many is dead: after a
/// partition, not after the return of a single VM.
const PARTITION_SHARE: usize = 8;
/// Pages that may stay unanswered before a read is given up.
const MAX_RETRIES: u32 = 8;

/// Reading of a peer's member table.
#[derive(Clone, Debug, Default)]
pub(super) struct Pull {
    under_way: Option<UnderWay>,
    last_at: Option<Time>,
}

#[derive(Clone, Debug)]
struct UnderWay {
    peer: Name,
    after: Option<Name>,
    sent_at: Time,
    retries: u32,
}

impl Pull {
    /// Ends a read under way; the next one may start at once.
    pub(super) fn restart(&mut self) {
        self.under_way = None;
        self.last_at = None;
    }
}

impl Membership {
    /// Takes the platform's list: seeds and leaving marks.
    ///
    /// The list lags behind reality. A VM on it is a candidate until it answers a
    /// probe, and a VM that answers needs no list. An older list than the last
    /// one is left aside.
    pub fn on_vm_list(&mut self, now: Time, list: &VmList) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        if list.version < self.list_version {
            return actions;
        }
        self.list_version = list.version;
        for entry in self.table.entries.values_mut() {
            entry.listed = false;
        }
        self.listed_leaving = false;
        for listed in &list.vms {
            if listed.name == self.me.name {
                self.listed_leaving = listed.leaving;
            } else {
                self.on_listed(now, listed, &mut actions);
            }
        }
        actions
    }

    fn on_listed(&mut self, now: Time, listed: &ListedVm, actions: &mut Actions) {
        let name = &listed.name;
        if self.table.get(name).is_none() {
            self.table.insert(now, listed_vm(listed), &mut self.rng);
            let give_up_at = now + Duration::from_millis(self.settings.listed_timeout_ms);
            self.table.give_up_at(name, give_up_at);
            self.table.queue_to_verify(name);
            actions.push(MembershipAction::Changed { vm: name.clone() });
        }
        let Some(entry) = self.table.entries.get_mut(name) else { return };
        entry.listed = true;
        if !entry.is_known() || entry.state == MemberState::Dead {
            entry.member.vm.peer_address = listed.peer_address;
            entry.member.vm.caller_address = listed.caller_address;
        }
        // The mark is about the incarnation known when it came: a VM replaced
        // under the same name must not inherit it from a list that lags.
        entry.leaving_mark = match (listed.leaving, entry.leaving_mark) {
            (false, _) => None,
            (true, Some(incarnation)) => Some(incarnation),
            (true, None) => Some(entry.incarnation()),
        };
        if self.table.show(now, name) {
            actions.push(MembershipAction::Changed { vm: name.clone() });
        }
    }

    /// Reads the table of the first member met.
    pub(super) fn pull_first(&mut self, now: Time, peer: &Name, actions: &mut Actions) {
        if self.pull.last_at.is_none() {
            self.pull_from(now, peer, actions);
        }
    }

    /// Reads the table of a member met again when many are dead: the others of
    /// its side of a healed partition are found through it.
    pub(super) fn pull_after_partition(
        &mut self,
        now: Time,
        peer: &Name,
        state: MemberState,
        actions: &mut Actions,
    ) {
        let many = self.table.dead.len() * PARTITION_SHARE >= self.table.entries.len();
        let interval = Duration::from_millis(self.settings.table_interval_ms);
        let rested = self.pull.last_at.is_none_or(|last| now.since(last) >= interval);
        if state == MemberState::Alive && many && rested {
            self.pull_from(now, peer, actions);
        }
    }

    fn pull_from(&mut self, now: Time, peer: &Name, actions: &mut Actions) {
        if self.pull.under_way.is_some() {
            return;
        }
        self.pull.last_at = Some(now);
        let pull = UnderWay { peer: peer.clone(), after: None, sent_at: now, retries: 0 };
        self.pull.under_way = Some(pull);
        self.send_to(now, peer, Message::TableRequest { after: None }, actions);
    }

    /// Asks again, and another member, when a page doesn't come.
    pub(super) fn check_pull(&mut self, now: Time, actions: &mut Actions) {
        let timeout = Duration::from_millis(self.settings.page_timeout_ms);
        let late =
            self.pull.under_way.as_ref().is_some_and(|pull| now.since(pull.sent_at) >= timeout);
        if !late {
            return;
        }
        let Some(mut pull) = self.pull.under_way.take() else { return };
        pull.retries += 1;
        if pull.retries > MAX_RETRIES {
            return;
        }
        pull.sent_at = now;
        if let Some(peer) = self.table.random_alive(1, None, &mut self.rng).pop() {
            pull.peer = peer;
        }
        let (peer, after) = (pull.peer.clone(), pull.after.clone());
        self.pull.under_way = Some(pull);
        self.send_to(now, &peer, Message::TableRequest { after }, actions);
    }

    /// Asks for the page after the one that came.
    pub(super) fn on_page(
        &mut self,
        now: Time,
        from: &Name,
        next: Option<Name>,
        actions: &mut Actions,
    ) {
        let Some(pull) = &mut self.pull.under_way else { return self.join.on_page(next) };
        if pull.peer != *from {
            return;
        }
        // A page that came late or twice must not send the reader back.
        if next.is_some() && next <= pull.after {
            return;
        }
        if next.is_none() {
            self.pull.under_way = None;
            return;
        }
        pull.after.clone_from(&next);
        pull.sent_at = now;
        pull.retries = 0;
        self.send_to(now, from, Message::TableRequest { after: next }, actions);
    }

    /// Sends as many members after a name as fit into one datagram.
    pub(super) fn send_page(
        &mut self,
        now: Time,
        to: SocketAddr,
        after: Option<Name>,
        actions: &mut Actions,
    ) {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let message = Message::TablePage { next: Some(self.me.name.clone()) };
        let empty = Datagram { sender: self.identity(), message, updates: Vec::new() };
        // The next name is longer than this VM's own by less than this.
        let mut room = room_for_updates(&empty).saturating_sub(MAX_NAME_BYTES);
        let mut updates = Vec::new();
        let mut next = None;
        for (_, entry) in self.table.entries.range((start, Bound::Unbounded)) {
            let shown = matches!(entry.state, MemberState::Alive | MemberState::Leaving);
            if !shown || !entry.is_known() {
                continue;
            }
            let update = entry.update(now);
            let bytes = encoded_bytes(&update);
            if bytes > room {
                next = updates.last().map(|last: &Update| last.name.clone());
                break;
            }
            room -= bytes;
            updates.push(update);
        }
        self.send(to, Message::TablePage { next }, updates, actions);
    }
}

fn listed_vm(listed: &ListedVm) -> Vm {
    Vm {
        name: listed.name.clone(),
        data_centre: listed.data_centre.clone(),
        incarnation: 0,
        caller_address: listed.caller_address,
        peer_address: listed.peer_address,
        capacity: DEFAULT_CAPACITY,
    }
}
