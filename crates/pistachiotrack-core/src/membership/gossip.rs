//! Queue of updates to piggyback on outgoing datagrams.

use std::collections::BTreeMap;

use crate::{
    message::{Update, encoded_bytes},
    name::Name,
    time::Time,
};

/// Updates to gossip, at most one for each member, each sent a limited number of times.
#[derive(Clone, Debug, Default)]
pub(super) struct Gossip {
    updates: BTreeMap<Name, Queued>,
}

#[derive(Clone, Debug)]
struct Queued {
    update: Update,
    bytes: usize,
    sent: u32,
    queued_at: Time,
}

/// Maximum number of bytes by which an update grows in the queue as its `alive_ms` increases.
const MAX_GROWTH_BYTES: usize = 4;

impl Queued {
    /// Returns the update with `alive_ms` as of `now`.
    ///
    /// Shard owners change when a new VM has been alive for long enough. Without adding the
    /// time spent in queues, each VM would see that at a different time.
    fn as_of(&self, now: Time) -> Update {
        let mut update = self.update.clone();
        if let Some(details) = &mut update.details {
            let queued_ms = now.since(self.queued_at).as_millis() as u32;
            details.alive_ms = details.alive_ms.saturating_add(queued_ms);
        }
        update
    }
}

impl Gossip {
    /// Queues an update, replacing an older one about the same member.
    pub(super) fn push(&mut self, now: Time, update: Update) {
        let bytes = encoded_bytes(&update) + MAX_GROWTH_BYTES;
        let queued = Queued { update, bytes, sent: 0, queued_at: now };
        self.updates.insert(queued.update.name.clone(), queued);
    }

    /// Removes the update about a member.
    pub(super) fn remove(&mut self, name: &Name) {
        self.updates.remove(name);
    }

    /// Removes all updates.
    pub(super) fn clear(&mut self) {
        self.updates.clear();
    }

    /// Returns the least often sent updates that fit into `room` bytes; each is removed after
    /// `limit` transmissions.
    pub(super) fn take(&mut self, now: Time, room: usize, limit: u32) -> Vec<Update> {
        if self.updates.is_empty() {
            return Vec::new();
        }
        let mut queued: Vec<&mut Queued> = self.updates.values_mut().collect();
        queued.sort_by_key(|queued| queued.sent);
        let mut remaining_room = room;
        let mut taken = Vec::new();
        for queued in queued {
            if queued.bytes > remaining_room {
                continue;
            }
            remaining_room -= queued.bytes;
            queued.sent += 1;
            taken.push(queued.as_of(now));
        }
        self.updates.retain(|_, queued| queued.sent < limit);
        taken
    }
}
