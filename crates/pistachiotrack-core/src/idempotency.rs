//! Idempotency keys: deduplicates requests at the shard's owner.
//!
//! The table only has keys that this owner has seen, within its bounds. A repeat
//! without a record is answered with "unknown" and never run, because another
//! owner may have run the original request.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::{name::Name, request::RequestId, time::Time};

/// Largest response body that is stored for duplicates.
pub const MAX_STORED_BODY_BYTES: usize = 16 * 1024;

/// Response that is stored for duplicates of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `content-type` header, if any.
    pub content_type: Option<String>,
    /// The complete body.
    pub body: Vec<u8>,
}

/// Bounds of a key table.
#[derive(Clone, Debug)]
pub struct KeySettings {
    /// Maximum number of keys; the oldest finished one is evicted for a new one.
    pub max_keys: usize,
    /// Maximum total size of stored bodies; the oldest body is evicted for a
    /// new one, its key stays.
    pub max_body_bytes: usize,
    /// Time after which a finished key expires.
    pub max_age: Duration,
    /// Maximum time from the end of an answer's body until the answer is stored.
    pub store_grace: Duration,
    /// Maximum number of keys that are handed over, the newest first.
    pub max_hand_over_keys: usize,
    /// Maximum total size of stored bodies that are handed over.
    pub max_hand_over_bytes: usize,
}

impl Default for KeySettings {
    fn default() -> KeySettings {
        KeySettings {
            max_keys: 8_192,
            max_body_bytes: 2 * 1024 * 1024,
            max_age: Duration::from_secs(600),
            store_grace: Duration::from_millis(200),
            max_hand_over_keys: 1_024,
            max_hand_over_bytes: 256 * 1024,
        }
    }
}

/// A key that an owner hands over to its successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyHandOver {
    /// Customer that the key belongs to.
    pub customer: Name,
    /// The key.
    pub key: Name,
    /// Time since the request arrived.
    pub age_ms: u64,
    /// The stored answer; `None` if the outcome is unknown or the answer isn't stored.
    pub answer: Option<Arc<StoredAnswer>>,
}

/// Decision on a request with a key. The original is the first request with the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// This is the original and may run.
    Run,
    /// The original is in flight; this request waits for its answer.
    Join,
    /// The original has been answered.
    Replay(Arc<StoredAnswer>),
    /// The original may have run and its answer isn't stored.
    OutcomeUnknown,
    /// This is a repeat and there is no record of the original.
    NoRecord,
    /// All keys in the table are in flight; this one can't be added.
    TableFull,
}

type KeyId = (Name, Name);

#[derive(Clone, Debug)]
enum State {
    /// The original is in flight, or its answer isn't stored yet.
    InFlight {
        waiters: Vec<RequestId>,
    },
    Stored(Arc<StoredAnswer>),
    OutcomeUnknown,
}

#[derive(Clone, Debug)]
struct Record {
    received_at: Time,
    serial: u64,
    state: State,
}

/// Idempotency keys of one shard.
#[derive(Clone, Debug)]
pub struct KeyTable {
    settings: KeySettings,
    records: FxHashMap<KeyId, Record>,
    in_flight: FxHashMap<RequestId, KeyId>,
    /// Finished records, oldest first; an entry is stale if its serial differs
    /// from its record's.
    finished: VecDeque<(KeyId, u64)>,
    /// Records with a body, oldest first; stale entries as above.
    stored: VecDeque<(KeyId, u64)>,
    /// Requests whose answer is complete and may still be stored.
    awaiting_store: VecDeque<(Time, RequestId)>,
    body_bytes: usize,
    next_serial: u64,
}

impl KeyTable {
    /// Creates an empty table.
    pub fn new(settings: KeySettings) -> KeyTable {
        KeyTable {
            settings,
            records: FxHashMap::default(),
            in_flight: FxHashMap::default(),
            finished: VecDeque::new(),
            stored: VecDeque::new(),
            awaiting_store: VecDeque::new(),
            body_bytes: 0,
            next_serial: 0,
        }
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Decides on a request with a key.
    pub fn claim(
        &mut self,
        now: Time,
        customer: &Name,
        key: &Name,
        request: RequestId,
        repeat: bool,
    ) -> Claim {
        self.evict_expired(now);
        let id = (customer.clone(), key.clone());
        if let Some(record) = self.records.get_mut(&id) {
            return match &mut record.state {
                State::InFlight { waiters } => {
                    waiters.push(request);
                    Claim::Join
                }
                State::Stored(answer) => Claim::Replay(answer.clone()),
                State::OutcomeUnknown => Claim::OutcomeUnknown,
            };
        }
        if repeat {
            return Claim::NoRecord;
        }
        if self.records.len() >= self.settings.max_keys && !self.evict_oldest() {
            return Claim::TableFull;
        }
        let state = State::InFlight { waiters: Vec::new() };
        self.insert(now, id.clone(), state);
        self.in_flight.insert(request, id);
        Claim::Run
    }

    /// Records that the original was certainly not run; returns the requests
    /// that waited for it.
    pub fn on_not_run(&mut self, request: RequestId) -> Vec<RequestId> {
        let Some(id) = self.in_flight.remove(&request) else { return Vec::new() };
        match self.records.remove(&id).map(|record| record.state) {
            Some(State::InFlight { waiters }) => waiters,
            _ => Vec::new(),
        }
    }

    /// Records that the original may have run and its answer is lost; returns
    /// the requests that waited for it.
    pub fn on_answer_lost(&mut self, request: RequestId) -> Vec<RequestId> {
        self.finish(request, State::OutcomeUnknown)
    }

    /// Records that the answer of the original is complete; it may still be stored.
    pub fn on_answered(&mut self, now: Time, request: RequestId) {
        if self.in_flight.contains_key(&request) {
            self.awaiting_store.push_back((now, request));
        }
    }

    /// Stores the answer of the original; returns the requests that waited for it.
    pub fn on_stored(&mut self, request: RequestId, answer: &Arc<StoredAnswer>) -> Vec<RequestId> {
        if answer.body.len() > MAX_STORED_BODY_BYTES {
            return Vec::new();
        }
        let waiters = self.finish(request, State::Stored(answer.clone()));
        self.evict_bodies();
        waiters
    }

    /// Removes a waiting request whose caller has disconnected or whose deadline has passed.
    pub fn remove_waiter(&mut self, customer: &Name, key: &Name, request: RequestId) {
        let id = (customer.clone(), key.clone());
        if let Some(State::InFlight { waiters }) =
            self.records.get_mut(&id).map(|record| &mut record.state)
        {
            waiters.retain(|waiter| *waiter != request);
        }
    }

    /// Gives up on answers that were not stored in time; returns the requests
    /// that waited for them.
    pub fn on_tick(&mut self, now: Time) -> Vec<RequestId> {
        let mut waiters = Vec::new();
        while let Some((ended_at, request)) = self.awaiting_store.front().copied() {
            if now < ended_at + self.settings.store_grace {
                break;
            }
            self.awaiting_store.pop_front();
            waiters.extend(self.on_answer_lost(request));
        }
        self.evict_expired(now);
        waiters
    }

    /// Returns the keys to hand over to a successor, the newest first.
    ///
    /// A key whose original is still in flight is handed over without an
    /// answer, because the successor can't know the outcome.
    pub fn hand_over(&self, now: Time) -> Vec<KeyHandOver> {
        let mut records: Vec<_> = self.records.iter().collect();
        records.sort_by_key(|(_, record)| std::cmp::Reverse(record.serial));
        records.truncate(self.settings.max_hand_over_keys);
        let mut bytes_left = self.settings.max_hand_over_bytes;
        let mut keys = Vec::with_capacity(records.len());
        for ((customer, key), record) in records {
            let answer = match &record.state {
                State::Stored(answer) if answer.body.len() <= bytes_left => Some(answer.clone()),
                _ => None,
            };
            bytes_left -= answer.as_ref().map_or(0, |answer| answer.body.len());
            keys.push(KeyHandOver {
                customer: customer.clone(),
                key: key.clone(),
                age_ms: now.since(record.received_at).as_millis() as u64,
                answer,
            });
        }
        keys
    }

    /// Adds the keys of a predecessor; existing records are kept.
    pub fn on_hand_over(&mut self, now: Time, keys: &[KeyHandOver]) {
        for key in keys.iter().rev() {
            let id = (key.customer.clone(), key.key.clone());
            if self.records.contains_key(&id) {
                continue;
            }
            if self.records.len() >= self.settings.max_keys && !self.evict_oldest() {
                return;
            }
            let state = key.answer.clone().map_or(State::OutcomeUnknown, State::Stored);
            let received_at = now.before(Duration::from_millis(key.age_ms));
            self.insert_finished(received_at, id, state);
        }
        self.evict_bodies();
    }

    fn finish(&mut self, request: RequestId, state: State) -> Vec<RequestId> {
        let Some(id) = self.in_flight.remove(&request) else { return Vec::new() };
        let Some(record) = self.records.remove(&id) else { return Vec::new() };
        let State::InFlight { waiters } = record.state else { return Vec::new() };
        self.insert_finished(record.received_at, id, state);
        waiters
    }

    fn insert(&mut self, received_at: Time, id: KeyId, state: State) -> u64 {
        let serial = self.next_serial;
        self.next_serial += 1;
        self.records.insert(id, Record { received_at, serial, state });
        serial
    }

    fn insert_finished(&mut self, received_at: Time, id: KeyId, state: State) {
        let body_bytes = body_bytes(&state);
        let is_stored = matches!(state, State::Stored(_));
        let serial = self.insert(received_at, id.clone(), state);
        self.body_bytes += body_bytes;
        if is_stored {
            self.stored.push_back((id.clone(), serial));
        }
        self.finished.push_back((id, serial));
    }

    fn evict_expired(&mut self, now: Time) {
        while let Some((id, serial)) = self.finished.front() {
            let record = self.records.get(id).filter(|record| record.serial == *serial);
            if record.is_some_and(|record| now < record.received_at + self.settings.max_age) {
                break;
            }
            if record.is_none() {
                self.finished.pop_front();
            } else {
                self.evict_oldest();
            }
        }
        while let Some((id, serial)) = self.stored.front() {
            if self.records.get(id).is_some_and(|record| record.serial == *serial) {
                break;
            }
            self.stored.pop_front();
        }
    }

    /// Evicts the oldest finished key and returns whether there was one.
    fn evict_oldest(&mut self) -> bool {
        while let Some((id, serial)) = self.finished.pop_front() {
            if self.records.get(&id).is_none_or(|record| record.serial != serial) {
                continue;
            }
            if let Some(record) = self.records.remove(&id) {
                self.body_bytes -= body_bytes(&record.state);
            }
            return true;
        }
        false
    }

    fn evict_bodies(&mut self) {
        while self.body_bytes > self.settings.max_body_bytes {
            let Some((id, serial)) = self.stored.pop_front() else { return };
            let Some(record) = self.records.get_mut(&id) else { continue };
            if record.serial == serial {
                self.body_bytes -= body_bytes(&record.state);
                record.state = State::OutcomeUnknown;
            }
        }
    }
}

fn body_bytes(state: &State) -> usize {
    match state {
        State::Stored(answer) => answer.body.len(),
        _ => 0,
    }
}
