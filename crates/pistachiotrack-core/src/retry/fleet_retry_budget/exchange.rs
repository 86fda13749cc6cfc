//! Exchange of retry rights with other dispatchers.

use std::{collections::VecDeque, time::Duration};

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::{name::Name, retry::RetryRights, time::Time};

/// Time after which a request for rights counts as lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after its last update from which on a VM is not asked any more.
const SPARE_MAX_AGE: Duration = Duration::from_secs(5);

/// Resolution of the times until which given rights count. It bounds their number.
const GIVEN_STEP_MS: u64 = 100;

/// Request for rights to send retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RightsRequest {
    /// Number that the answer repeats.
    pub id: u32,
    /// Rights that are needed.
    pub rights: RetryRights,
}

/// Rights that a dispatcher has given to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RightsGrant {
    /// Number of the request.
    pub id: u32,
    /// Rights that the asking VM may use; the giving one no longer can.
    pub rights: RetryRights,
}

/// What another dispatcher would give.
#[derive(Clone, Copy, Debug)]
struct PeerSpare {
    rights: RetryRights,
    updated_at: Time,
    /// Time of the request that it hasn't answered yet.
    asked_at: Option<Time>,
}

/// A request that hasn't been answered yet.
#[derive(Clone, Debug)]
struct OpenRequest {
    id: u32,
    to: Name,
    rights: RetryRights,
    sent_at: Time,
}

/// Rights that count or are valid until a time.
type Dated = VecDeque<(Time, RetryRights)>;

/// Rights that were given to other VMs and received from them.
#[derive(Clone, Debug)]
pub(super) struct Exchange {
    next_id: u32,
    peers: FxHashMap<Name, PeerSpare>,
    open: Vec<OpenRequest>,
    /// Rights that this VM has given, by the time until which they count.
    given: Dated,
    /// Rights that it has received and not used, by the time until which they are valid.
    received: Dated,
}

impl Exchange {
    pub(super) fn new(first_request_id: u32) -> Exchange {
        Exchange {
            next_id: first_request_id,
            peers: FxHashMap::default(),
            open: Vec::new(),
            given: VecDeque::new(),
            received: VecDeque::new(),
        }
    }

    /// Records the rights that another VM would give.
    pub(super) fn on_peer_spare(&mut self, now: Time, from: &Name, rights: RetryRights) {
        if let Some(peer) = self.peers.get_mut(from) {
            (peer.rights, peer.updated_at) = (rights, now);
            return;
        }
        // Replaced VMs get new names.
        self.peers.retain(|_, peer| now.since(peer.updated_at) < SPARE_MAX_AGE);
        self.peers.insert(from.clone(), PeerSpare { rights, updated_at: now, asked_at: None });
    }

    /// Returns requests for `needed` retries, less what has been requested already: to the VMs that
    /// can spare most, one to each at a time.
    pub(super) fn requests(&mut self, now: Time, needed: f64) -> Vec<(Name, RightsRequest)> {
        self.open.retain(|open| now.since(open.sent_at) < ANSWER_TIMEOUT);
        let requested = self.open.iter().fold(RetryRights::NONE, |sum, open| sum.plus(open.rights));
        let mut missing = RetryRights::from_retries(needed).minus(requested);
        let mut requests = Vec::new();
        while missing > RetryRights::NONE {
            let Some((to, spare)) = self.richest_peer(now) else { break };
            let rights = missing.min(spare);
            missing = missing.minus(rights);
            let request = self.request(now, &to, rights);
            requests.push((to, request));
        }
        requests
    }

    /// Returns the VM that can spare most of those that aren't being asked.
    fn richest_peer(&self, now: Time) -> Option<(Name, RetryRights)> {
        let is_free = |peer: &PeerSpare| {
            peer.asked_at.is_none_or(|at| now.since(at) >= ANSWER_TIMEOUT)
                && now.since(peer.updated_at) < SPARE_MAX_AGE
                && peer.rights > RetryRights::NONE
        };
        let free = self.peers.iter().filter(|(_, peer)| is_free(peer));
        let (name, peer) = free.max_by_key(|(name, peer)| (peer.rights, (*name).clone()))?;
        Some((name.clone(), peer.rights))
    }

    fn request(&mut self, now: Time, to: &Name, rights: RetryRights) -> RightsRequest {
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        if let Some(peer) = self.peers.get_mut(to) {
            peer.rights = peer.rights.minus(rights);
            peer.asked_at = Some(now);
        }
        self.open.push(OpenRequest { id, to: to.clone(), rights, sent_at: now });
        RightsRequest { id, rights }
    }

    /// Records rights that another VM has given. An answer that comes too late, or twice, gives
    /// nothing.
    pub(super) fn on_grant(&mut self, now: Time, grant: RightsGrant, validity: Duration) {
        let Some(index) = self.open.iter().position(|open| open.id == grant.id) else { return };
        let open = self.open.swap_remove(index);
        if let Some(peer) = self.peers.get_mut(&open.to) {
            peer.asked_at = None;
            if grant.rights < open.rights {
                peer.rights = RetryRights::NONE;
            }
        }
        // The giving VM counts them from a later time, since it gave them after it was asked.
        let valid_until = open.sent_at + validity;
        if now < valid_until {
            self.received.push_back((valid_until, grant.rights.min(open.rights)));
        }
    }

    /// Records rights that this VM gives; they count against its own until `until`, or shortly
    /// after it.
    pub(super) fn give(&mut self, until: Time, rights: RetryRights) {
        let until = Time::from_millis((until.as_millis() / GIVEN_STEP_MS + 1) * GIVEN_STEP_MS);
        match self.given.back_mut() {
            Some((last, sum)) if *last == until => *sum = sum.plus(rights),
            _ => self.given.push_back((until, rights)),
        }
    }

    /// Returns the rights that this VM has given and that still count.
    pub(super) fn given(&mut self, now: Time) -> RetryRights {
        sum_at(now, &mut self.given)
    }

    /// Returns how many of them no longer count at a later time.
    pub(super) fn given_until(&self, time: Time) -> RetryRights {
        let ended = self.given.iter().take_while(|(until, _)| *until <= time);
        ended.fold(RetryRights::NONE, |sum, (_, rights)| sum.plus(*rights))
    }

    /// Returns the rights that this VM has received, may use and hasn't used.
    pub(super) fn received(&mut self, now: Time) -> RetryRights {
        sum_at(now, &mut self.received)
    }

    /// Uses received rights, those that end first, and returns how many are missing.
    pub(super) fn use_received(&mut self, now: Time, needed: RetryRights) -> RetryRights {
        sum_at(now, &mut self.received);
        let mut missing = needed;
        while missing > RetryRights::NONE {
            let Some((_, rights)) = self.received.front_mut() else { break };
            let used = missing.min(*rights);
            missing = missing.minus(used);
            *rights = rights.minus(used);
            if *rights == RetryRights::NONE {
                self.received.pop_front();
            }
        }
        missing
    }
}

/// Removes the rights whose time has ended and returns the sum of the others.
fn sum_at(now: Time, dated: &mut Dated) -> RetryRights {
    dated.retain(|(until, _)| *until > now);
    dated.iter().fold(RetryRights::NONE, |sum, (_, rights)| sum.plus(*rights))
}
