//! Updates that wait to be passed on with other datagrams.

use std::collections::BTreeMap;

use crate::{
    message::{Update, encoded_bytes},
    name::Name,
};

/// Updates to pass on, one for each member, each a bounded number of times.
#[derive(Clone, Debug, Default)]
pub(super) struct Gossip {
    updates: BTreeMap<Name, Queued>,
}

#[derive(Clone, Debug)]
struct Queued {
    update: Update,
    bytes: usize,
    sent: u32,
}

impl Gossip {
    /// Queues an update in place of an older one about the same member.
    pub(super) fn push(&mut self, update: Update) {
        let bytes = encoded_bytes(&update);
        self.updates.insert(update.name.clone(), Queued { update, bytes, sent: 0 });
    }

    /// Forgets the update about a member.
    pub(super) fn remove(&mut self, name: &Name) {
        self.updates.remove(name);
    }

    /// Forgets all updates.
    pub(super) fn clear(&mut self) {
        self.updates.clear();
    }

    /// Takes the least sent updates that fit into `room` bytes; each leaves the
    /// queue after `limit` transmissions.
    pub(super) fn take(&mut self, room: usize, limit: u32) -> Vec<Update> {
        if self.updates.is_empty() {
            return Vec::new();
        }
        let mut queued: Vec<&mut Queued> = self.updates.values_mut().collect();
        queued.sort_by_key(|queued| queued.sent);
        let mut left = room;
        let mut taken = Vec::new();
        for queued in queued {
            if queued.bytes > left {
                continue;
            }
            left -= queued.bytes;
            queued.sent += 1;
            taken.push(queued.update.clone());
        }
        self.updates.retain(|_, queued| queued.sent < limit);
        taken
    }
}
