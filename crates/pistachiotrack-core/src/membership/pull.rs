//! Bulk sources of members: the platform's VM list and the member table of a peer, which is
//! read page by page.

use std::{net::SocketAddr, ops::Bound, time::Duration};

use super::{Actions, MemberState, Membership, MembershipAction};
use crate::{
    message::{Datagram, MAX_NAME_BYTES, Message, Update, encoded_bytes, room_for_updates},
    name::Name,
    time::Time,
    vm::{DEFAULT_CAPACITY, ListedVm, Vm, VmList},
};

/// A table is read again if at least one member in this many is dead: after a partition, but
/// not after the return of a single VM.
const PARTITION_DEAD_DIVISOR: usize = 8;
/// Maximum number of retries for a page before the read is aborted.
const MAX_RETRIES: u32 = 8;

/// State of reading a peer's member table.
#[derive(Clone, Debug, Default)]
pub(super) struct Pull {
    current: Option<TableRead>,
    last_started_at: Option<Time>,
}

#[derive(Clone, Debug)]
struct TableRead {
    peer: Name,
    after: Option<Name>,
    sent_at: Time,
    retries: u32,
}

impl Pull {
    /// Aborts the current read; the next one may start at once.
    pub(super) fn restart(&mut self) {
        self.current = None;
        self.last_started_at = None;
    }
}

impl Membership {
    /// Applies the platform's VM list: possible members and leaving marks.
    ///
    /// The list is not up to date. A listed VM is considered alive only after it responded to
    /// a probe, and a VM that responds needn't be listed. A list older than the last one is
    /// ignored.
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
            let expires_at = now + Duration::from_millis(self.settings.listed_timeout_ms);
            self.table.set_expiry(name, expires_at);
            self.table.queue_to_verify(name);
            actions.push(MembershipAction::StateChanged { vm: name.clone() });
        }
        let Some(entry) = self.table.entries.get_mut(name) else { return };
        entry.listed = true;
        if !entry.is_known() || entry.state == MemberState::Dead {
            entry.member.vm.peer_address = listed.peer_address;
            entry.member.vm.caller_address = listed.caller_address;
        }
        // The mark applies to the incarnation known when it was received: a replacement under
        // the same name must not inherit it from an outdated list.
        entry.leaving_mark = match (listed.leaving, entry.leaving_mark) {
            (false, _) => None,
            (true, Some(incarnation)) => Some(incarnation),
            (true, None) => Some(entry.incarnation()),
        };
        if self.table.update_visible_state(now, name) {
            actions.push(MembershipAction::StateChanged { vm: name.clone() });
        }
    }

    /// Reads the table of the first member found.
    pub(super) fn pull_from_first_peer(&mut self, now: Time, peer: &Name, actions: &mut Actions) {
        if self.pull.last_started_at.is_none() {
            self.pull_from(now, peer, actions);
        }
    }

    /// Reads the table of a member that is alive again if many members are dead: the other VMs
    /// on its side of a healed partition are found through it.
    pub(super) fn pull_after_partition(
        &mut self,
        now: Time,
        peer: &Name,
        state: MemberState,
        actions: &mut Actions,
    ) {
        let many_dead = self.table.dead.len() * PARTITION_DEAD_DIVISOR >= self.table.entries.len();
        let interval = Duration::from_millis(self.settings.table_interval_ms);
        let is_due = self.pull.last_started_at.is_none_or(|last| now.since(last) >= interval);
        if state == MemberState::Alive && many_dead && is_due {
            self.pull_from(now, peer, actions);
        }
    }

    fn pull_from(&mut self, now: Time, peer: &Name, actions: &mut Actions) {
        if self.pull.current.is_some() {
            return;
        }
        self.pull.last_started_at = Some(now);
        let pull = TableRead { peer: peer.clone(), after: None, sent_at: now, retries: 0 };
        self.pull.current = Some(pull);
        self.send_to(now, peer, Message::TableRequest { after: None }, actions);
    }

    /// Requests an overdue page again, from another member.
    pub(super) fn retry_overdue_pull(&mut self, now: Time, actions: &mut Actions) {
        let timeout = Duration::from_millis(self.settings.page_timeout_ms);
        let is_overdue =
            self.pull.current.as_ref().is_some_and(|pull| now.since(pull.sent_at) >= timeout);
        if !is_overdue {
            return;
        }
        let Some(mut pull) = self.pull.current.take() else { return };
        pull.retries += 1;
        if pull.retries > MAX_RETRIES {
            return;
        }
        pull.sent_at = now;
        if let Some(peer) = self.table.random_alive(1, None, &mut self.rng).pop() {
            pull.peer = peer;
        }
        let (peer, after) = (pull.peer.clone(), pull.after.clone());
        self.pull.current = Some(pull);
        self.send_to(now, &peer, Message::TableRequest { after }, actions);
    }

    /// Requests the page after the received one.
    pub(super) fn on_page(
        &mut self,
        now: Time,
        from: &Name,
        next: Option<Name>,
        actions: &mut Actions,
    ) {
        let Some(pull) = &mut self.pull.current else { return self.join.on_page(next) };
        if pull.peer != *from {
            return;
        }
        // A delayed or duplicated page must not move the read backwards.
        if next.is_some() && next <= pull.after {
            return;
        }
        if next.is_none() {
            self.pull.current = None;
            return;
        }
        pull.after.clone_from(&next);
        pull.sent_at = now;
        pull.retries = 0;
        self.send_to(now, from, Message::TableRequest { after: next }, actions);
    }

    /// Sends as many members after a name as fit into one datagram, in order of their names.
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
        // The size of `next` is estimated with this VM's name; the actual name is longer by
        // less than this.
        let mut room = room_for_updates(&empty).saturating_sub(MAX_NAME_BYTES);
        let mut updates = Vec::new();
        let mut next = None;
        for (_, entry) in self.table.entries.range((start, Bound::Unbounded)) {
            let visible = matches!(entry.state, MemberState::Alive | MemberState::Leaving);
            if !visible || !entry.is_known() {
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
