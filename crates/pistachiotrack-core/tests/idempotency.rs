//! Bounds of the idempotency key table.

use std::{sync::Arc, time::Duration};

use pistachiotrack_core::{
    idempotency::{Claim, KeySettings, KeyTable, MAX_STORED_BODY_BYTES, StoredAnswer},
    name::Name,
    request::RequestId,
    time::Time,
};

fn table(settings: KeySettings) -> KeyTable {
    KeyTable::new(settings)
}

fn claim(table: &mut KeyTable, now: Time, id: u64, key: u64) -> Claim {
    let key = Name::from(format!("k{key}"));
    table.claim(now, &Name::from("a"), &key, RequestId(id), false)
}

fn answer(bytes: usize) -> Arc<StoredAnswer> {
    Arc::new(StoredAnswer { status: 200, content_type: None, body: vec![7; bytes] })
}

// A full table evicts the oldest answered key, but never a key whose request is in flight: a
// duplicate of it would run concurrently.
#[test]
fn oldest_finished_key_is_evicted() {
    let mut table = table(KeySettings { max_keys: 2, ..KeySettings::default() });
    assert_eq!(claim(&mut table, Time::ZERO, 1, 1), Claim::Run);
    assert_eq!(claim(&mut table, Time::ZERO, 2, 2), Claim::Run);
    assert_eq!(claim(&mut table, Time::ZERO, 3, 3), Claim::TableFull);
    table.on_stored(RequestId(2), &answer(1));
    assert_eq!(claim(&mut table, Time::ZERO, 4, 3), Claim::Run);
    assert_eq!(claim(&mut table, Time::ZERO, 5, 1), Claim::Join);
    assert_eq!(table.len(), 2);
}

// Stored bodies are bounded, as they would fill a small VM's memory. The oldest body is evicted, but
// its key stays: a duplicate is answered with "unknown" and not run.
#[test]
fn bodies_are_bounded_and_their_keys_stay() {
    let mut table = table(KeySettings { max_body_bytes: 100, ..KeySettings::default() });
    for id in 1..=3 {
        assert_eq!(claim(&mut table, Time::ZERO, id, id), Claim::Run);
        table.on_stored(RequestId(id), &answer(40));
    }
    assert_eq!(claim(&mut table, Time::ZERO, 4, 1), Claim::OutcomeUnknown);
    assert_eq!(claim(&mut table, Time::ZERO, 5, 3), Claim::Replay(answer(40)));
}

// An answer over the size limit isn't stored. Its duplicates are answered with "unknown" when the
// time to store it is over.
#[test]
fn large_answer_is_not_stored() {
    let mut table = table(KeySettings::default());
    claim(&mut table, Time::ZERO, 1, 1);
    assert_eq!(claim(&mut table, Time::ZERO, 2, 1), Claim::Join);
    table.on_answered(Time::ZERO, RequestId(1));
    table.on_stored(RequestId(1), &answer(MAX_STORED_BODY_BYTES + 1));
    assert_eq!(table.on_tick(Time::from_millis(1_000)), [RequestId(2)]);
    assert_eq!(claim(&mut table, Time::from_millis(1_000), 3, 1), Claim::OutcomeUnknown);
}

// Old keys expire; a repeat then has no record and isn't run.
#[test]
fn old_keys_expire() {
    let settings = KeySettings { max_age: Duration::from_secs(1), ..KeySettings::default() };
    let mut table = table(settings);
    claim(&mut table, Time::ZERO, 1, 1);
    table.on_stored(RequestId(1), &answer(1));
    let later = Time::from_millis(1_500);
    table.on_tick(later);
    assert!(table.is_empty());
    let key = Name::from("k1");
    let repeat = table.claim(later, &Name::from("a"), &key, RequestId(2), true);
    assert_eq!(repeat, Claim::NoRecord);
}

// A hand-over must fit into a message: the newest keys go first, and answers beyond the size limit
// are left out while their keys are kept.
#[test]
fn hand_over_is_bounded_and_keeps_the_newest() {
    let settings =
        KeySettings { max_hand_over_keys: 2, max_hand_over_bytes: 50, ..KeySettings::default() };
    let mut old = table(settings);
    for id in 1..=3 {
        claim(&mut old, Time::ZERO, id, id);
        old.on_stored(RequestId(id), &answer(40));
    }
    let mut new = table(KeySettings::default());
    let now = Time::from_millis(9_000);
    new.on_hand_over(now, &old.hand_over(Time::from_millis(10)));
    assert_eq!(claim(&mut new, now, 11, 3), Claim::Replay(answer(40)));
    assert_eq!(claim(&mut new, now, 12, 2), Claim::OutcomeUnknown);
    assert_eq!(new.len(), 2);
}
