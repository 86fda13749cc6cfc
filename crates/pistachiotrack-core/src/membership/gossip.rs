//! Updates that wait to be passed on with other datagrams.

use std::collections::BTreeMap;

use crate::{
    message::{Update, encoded_bytes},
    name::Name,
    time::Time,
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
    queued_at: Time,
}

/// Bytes by which an update may grow while the time alive in it goes up.
const GROWTH_BYTES: usize = 4;

impl Queued {
    /// Returns the update as it has to be told at `now`.
    ///
    /// Owners change when a new VM has been alive for long enough. If the time
    /// spent in queues were left out, each VM would see that at another moment.
    fn as_of(&self, now: Time) -> Update {
        let mut update = self.update.clone();
        if let Some(place) = &mut update.place {
            let waited_ms = now.since(self.queued_at).as_millis() as u32;
            place.alive_ms = place.alive_ms.saturating_add(waited_ms);
        }
        update
    }
}

impl Gossip {
    /// Queues an update in place of an older one about the same member.
    pub(super) fn push(&mut self, now: Time, update: Update) {
        let bytes = encoded_bytes(&update) + GROWTH_BYTES;
        let queued = Queued { update, bytes, sent: 0, queued_at: now };
        self.updates.insert(queued.update.name.clone(), queued);
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
    pub(super) fn take(&mut self, now: Time, room: usize, limit: u32) -> Vec<Update> {
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
            taken.push(queued.as_of(now));
        }
        self.updates.retain(|_, queued| queued.sent < limit);
        taken
    }
}
