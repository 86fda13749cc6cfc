//! Trials of ejected endpoints by one of several dispatchers.

mod shared_support;

use std::time::Duration;

use pistachiotrack_core::{
    health::PathAnswer,
    request::{EndpointReport, Outcome, Request},
    retry::{RetryRights, RightsRequest, VisibleDispatchers},
    shard::{Shard, ShardAction},
    time::Time,
};
use shared_support::{START, all_dispatched, booking, dispatched, shard};

/// Returns how many endpoints are in a state.
fn count(shard: &Shard, now: Time, state: &str) -> usize {
    shard.endpoints(now).iter().filter(|endpoint| &*endpoint.state == state).count()
}

/// Returns a shard with an endpoint that is due for a trial.
fn shard_with_a_due_trial() -> (Shard, Time) {
    let mut shard = shard(3);
    shard.set_dispatchers(
        START,
        VisibleDispatchers { count: 2, is_member: true, ..VisibleDispatchers::default() },
    );
    let (mut now, mut id) = (START, 0);
    while count(&shard, now, "ejected") == 0 {
        now += Duration::from_millis(50);
        id += 1;
        assert!(id < 1_000, "no endpoint was ejected");
        for dispatch in all_dispatched(&shard.on_request(now, booking(id, now))) {
            let report = EndpointReport::default();
            let actions = shard.on_outcome(now, dispatch.attempt, Outcome::ConnectFailed, report);
            for action in actions {
                if let ShardAction::CheckPath { endpoint, .. } = action {
                    shard.on_path_answer(now, &endpoint, PathAnswer::UnreachableByOthers);
                }
            }
        }
    }
    // Its part of the slack is usable after a window.
    while now < START + Duration::from_secs(10) || count(&shard, now, "trial") == 0 {
        now += Duration::from_millis(25);
        assert!(now < START + Duration::from_secs(60), "no trial is due");
        shard.on_tick(now);
    }
    (shard, now)
}

/// A lookup that tries an ejected endpoint needs a retry if it fails there. None must begin while
/// this VM has no rights to send one, as after it gave all to another VM.
#[test]
fn no_trial_begins_without_a_retry() {
    let tries = |needed_by_peer: f64| {
        let (mut shard, now) = shard_with_a_due_trial();
        let rights = RetryRights::from_retries(needed_by_peer);
        // A VM keeps a small part of its rights each time.
        for id in 1..=3 {
            shard.on_rights_request(now, RightsRequest { id, rights });
        }
        let on_trial: Vec<_> = shard
            .endpoints(now)
            .into_iter()
            .filter(|endpoint| &*endpoint.state == "trial")
            .map(|endpoint| endpoint.endpoint)
            .collect();
        (5_000..5_010).any(|id| {
            let lookup = Request { idempotent: true, ..booking(id, now) };
            let sent = dispatched(&shard.on_request(now, lookup));
            sent.is_some_and(|sent| on_trial.contains(&sent.endpoint))
        })
    };
    assert!(tries(0.0), "no trial with all rights left");
    assert!(!tries(1_000.0), "a trial without a right");
}
