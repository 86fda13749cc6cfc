//! Faults and changes while retries are held, one at a time.
//!
//! The retry limit allows each of six dispatchers one retry in two seconds.

mod held_retries_support;
mod shared_support;

use std::time::Duration;

use held_retries_support::{held_config, held_shard};
use pistachiotrack_core::{
    config::Config,
    endpoint_notice::EndpointNotice,
    refusal::{Execution, Reason, RefusalDecision},
    request::{BodyEnd, Class, EndpointReport, Outcome, Request, RequestId},
    retry::VisibleDispatchers,
    service::RetryLimit,
    shard::{Dispatch, Shard, ShardAction},
    time::Time,
};
use shared_support::{START, all_dispatched, booking, dispatched, end};

const LIMIT: RetryLimit = RetryLimit { ratio: 0.0, slack: 12, window_ms: 2_000 };

struct Stand {
    config: Config,
    shard: Shard,
    now: Time,
    next_id: u64,
}

fn refusals(actions: &[ShardAction]) -> Vec<(RequestId, RefusalDecision)> {
    let refusal = |action: &ShardAction| match action {
        ShardAction::Refuse { request, refusal } => Some((*request, *refusal)),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

impl Stand {
    fn new(change: impl FnOnce(&mut Config)) -> Stand {
        let mut config = held_config(3);
        config.services[0].retry_limit = Some(LIMIT);
        change(&mut config);
        let shard = held_shard(&config, 3, 6);
        let mut stand = Stand { config, shard, now: START, next_id: 1 };
        stand.advance(5_000);
        stand
    }

    /// Returns a stand that has just used its retry.
    fn without_retries() -> Stand {
        let mut stand = Stand::new(|_| {});
        let first = stand.send(10_000, |_| {});
        assert!(dispatched(&stand.shed(&first)).is_some(), "the first retry is sent at once");
        stand
    }

    fn advance(&mut self, ms: u64) -> Vec<ShardAction> {
        let mut actions = Vec::new();
        for _ in 0..ms / 10 {
            self.now += Duration::from_millis(10);
            actions.extend(self.shard.on_tick(self.now));
        }
        actions
    }

    fn send(&mut self, deadline_ms: u64, change: impl FnOnce(&mut Request)) -> Dispatch {
        let mut request = booking(self.next_id, self.now);
        self.next_id += 1;
        request.deadline = self.now + Duration::from_millis(deadline_ms);
        change(&mut request);
        dispatched(&self.shard.on_request(self.now, request)).expect("a slot is free")
    }

    fn shed(&mut self, dispatch: &Dispatch) -> Vec<ShardAction> {
        let report = EndpointReport::default();
        self.shard.on_outcome(self.now, dispatch.attempt, Outcome::Shed, report)
    }

    /// Sends a request that is refused by its endpoint and held.
    fn hold(&mut self, deadline_ms: u64, change: impl FnOnce(&mut Request)) -> RequestId {
        let dispatch = self.send(deadline_ms, change);
        let actions = self.shed(&dispatch);
        assert!(dispatched(&actions).is_none() && refusals(&actions).is_empty(), "{actions:?}");
        dispatch.request
    }

    fn held(&self) -> u64 {
        self.shard.held_retries().held
    }

    fn configure(&mut self, change: impl FnOnce(&mut Config)) -> Vec<ShardAction> {
        change(&mut self.config);
        let mut actions = self.shard.on_config(self.now, &self.config);
        actions.extend(self.advance(100));
        actions
    }
}

/// The limit has nothing left when an endpoint refuses a request that has most of its time. It
/// must wait for the next retry, and get it.
#[test]
fn a_request_is_sent_when_the_limit_allows_it() {
    let mut stand = Stand::without_retries();
    let id = stand.hold(10_000, |_| {});
    assert!(dispatched(&stand.advance(1_900)).is_none());
    let sent = dispatched(&stand.advance(600)).expect("the first retry no longer counts");
    assert_eq!(sent.request, id);
    assert_eq!((stand.held(), stand.shard.held_retries().held_total), (0, 1));
}

/// Without the flag the request is refused at once, as before.
#[test]
fn without_the_flag_nothing_is_held() {
    let mut stand = Stand::new(|config| config.services[0].contention.hold_retries = false);
    let first = stand.send(10_000, |_| {});
    assert!(dispatched(&stand.shed(&first)).is_some());
    let second = stand.send(10_000, |_| {});
    let (_, refusal) = refusals(&stand.shed(&second))[0];
    assert_eq!((refusal.execution, refusal.reason), (Execution::NotRun, Reason::QueueFull));
    assert!(refusal.retry_after_ms.unwrap() <= 30);
    assert_eq!(stand.shard.held_retries(), Default::default());
}

/// A request whose time is over before the next retry must not wait for it in vain. Its caller is
/// told when there will be one.
#[test]
fn a_request_with_too_little_time_is_refused_at_once_with_an_honest_hint() {
    let mut stand = Stand::without_retries();
    let dispatch = stand.send(1_500, |_| {});
    let (id, refusal) = refusals(&stand.shed(&dispatch))[0];
    assert_eq!(id, dispatch.request);
    assert_eq!((refusal.execution, refusal.reason), (Execution::NotRun, Reason::WaitTooLong));
    let hint_ms = refusal.retry_after_ms.unwrap();
    assert!((2_000..=3_300).contains(&hint_ms), "{hint_ms}");
    assert_eq!(stand.shard.held_retries().refused_total, 1);
}

/// A more urgent request takes the retry that a held one waited for, which is then too late. That
/// one must be refused then and not at its deadline.
#[test]
fn a_displaced_request_is_refused_when_it_is_displaced() {
    let mut stand = Stand::without_retries();
    let displaced = stand.hold(3_000, |request| request.class = Class::Batch);
    let urgent = stand.send(4_000, |request| request.class = Class::Interactive);
    let refused = refusals(&stand.shed(&urgent));
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].0, displaced);
    assert_eq!(refused[0].1.execution, Execution::NotRun);
    let sent = dispatched(&stand.advance(2_500)).unwrap();
    assert_eq!(sent.request, urgent.request);
}

/// Of two requests of a class the one with less time left is sent first, also if it came later.
#[test]
fn the_request_with_the_least_time_is_sent_first() {
    let mut stand = Stand::without_retries();
    stand.hold(10_000, |_| {});
    let short = stand.hold(3_000, |_| {});
    assert_eq!(dispatched(&stand.advance(2_500)).unwrap().request, short);
}

/// Held requests wait for retries only: a new one is sent at once.
#[test]
fn held_requests_delay_no_new_ones() {
    let mut stand = Stand::without_retries();
    stand.hold(10_000, |_| {});
    stand.send(10_000, |_| {});
}

/// The caller of a held request disconnects. It must not be sent, and the next one gets its retry.
#[test]
fn a_held_request_whose_caller_disconnects_is_dropped() {
    let mut stand = Stand::without_retries();
    let gone = stand.hold(10_000, |_| {});
    let next = stand.hold(11_000, |_| {});
    let actions = stand.shard.on_cancel(stand.now, gone);
    assert!(refusals(&actions).is_empty());
    assert_eq!(stand.held(), 1);
    let sent: Vec<RequestId> =
        all_dispatched(&stand.advance(6_000)).iter().map(|dispatch| dispatch.request).collect();
    assert_eq!(sent, [next]);
}

/// The process is paused past the deadlines of held requests. Those are refused first, and nothing
/// is sent before the process has seen what else happened meanwhile.
#[test]
fn after_a_pause_held_requests_out_of_time_are_refused_and_nothing_is_sent() {
    let mut stand = Stand::without_retries();
    let late = stand.hold(3_000, |_| {});
    let other = stand.hold(10_000, |_| {});
    stand.now += Duration::from_millis(4_000);
    let actions = stand.shard.on_pause(stand.now, Duration::from_millis(4_000));
    assert!(dispatched(&actions).is_none());
    let refused = refusals(&actions);
    assert_eq!((refused.len(), refused[0].0), (1, late));
    assert_eq!(refused[0].1.execution, Execution::NotRun);
    // Another VM may have replaced this one and used its part of the slack.
    assert!(dispatched(&stand.advance(1_900)).is_none());
    assert_eq!(dispatched(&stand.advance(200)).unwrap().request, other);
}

/// Operators lower the limit. Requests that can't be sent any more are refused at once.
#[test]
fn a_lower_limit_refuses_what_it_no_longer_allows() {
    let mut stand = Stand::without_retries();
    let id = stand.hold(10_000, |_| {});
    let actions = stand.configure(|config| {
        config.services[0].retry_limit = Some(RetryLimit { slack: 0, ..LIMIT })
    });
    assert_eq!(refusals(&actions)[0].0, id);
    assert_eq!(stand.held(), 0);
}

/// Operators switch the mechanism on and off while the VM runs. Requests that are held when it is
/// switched off must not be forgotten.
#[test]
fn the_flag_takes_effect_at_run_time() {
    let mut stand = Stand::without_retries();
    let id = stand.hold(10_000, |_| {});
    let actions = stand.configure(|config| config.services[0].contention.hold_retries = false);
    assert_eq!(refusals(&actions)[0].0, id);
    let dispatch = stand.send(10_000, |_| {});
    assert_eq!(refusals(&stand.shed(&dispatch)).len(), 1);
    stand.configure(|config| config.services[0].contention.hold_retries = true);
    stand.hold(10_000, |_| {});
}

/// All endpoints leave. Held requests are refused as queued ones are, not at their deadline.
#[test]
fn held_requests_are_refused_when_all_endpoints_leave() {
    let mut stand = Stand::without_retries();
    let id = stand.hold(10_000, |_| {});
    let names: Vec<_> =
        stand.config.services[0].endpoints.iter().map(|endpoint| endpoint.name.clone()).collect();
    let mut actions = Vec::new();
    for name in names {
        actions.extend(stand.shard.on_notice(stand.now, &name, EndpointNotice::LEAVING));
    }
    let refused = refusals(&actions);
    assert_eq!((refused[0].0, refused[0].1.reason), (id, Reason::NoEndpoint));
}

/// The VM is stopped: it ceases to be a dispatcher, and has no part in the retries of the others.
/// Its held requests must not wait until the stop cuts their connections.
#[test]
fn a_planned_stop_refuses_held_requests() {
    let mut stand = Stand::without_retries();
    let id = stand.hold(15_000, |_| {});
    stand.shard.set_dispatchers(
        stand.now,
        VisibleDispatchers { count: 6, is_member: false, ..VisibleDispatchers::default() },
    );
    let refused = refusals(&stand.advance(100));
    assert_eq!((refused[0].0, refused[0].1.execution), (id, Execution::NotRun));
    assert!(refused[0].1.retry_after_ms.unwrap() <= 3_000, "{refused:?}");
}

/// A partition leaves this VM with a minority of the dispatchers: the budget grants less, and what
/// it no longer allows is refused.
#[test]
fn held_requests_are_refused_in_a_minority() {
    let mut stand = Stand::without_retries();
    let id = stand.hold(10_000, |_| {});
    stand.shard.set_dispatchers(
        stand.now,
        VisibleDispatchers { count: 2, is_member: true, ..VisibleDispatchers::default() },
    );
    assert_eq!(refusals(&stand.advance(100))[0].0, id);
}

/// Endpoints that are full don't recover within a millisecond. From the second refusal on, a
/// request waits between half of its backoff and all of it, also with retries left, and is given
/// up after twelve attempts.
#[test]
fn a_request_backs_off_between_refusals() {
    let ample = RetryLimit { ratio: 0.0, slack: 1_200, window_ms: 10_000 };
    let mut stand = Stand::new(|config| config.services[0].retry_limit = Some(ample));
    stand.advance(10_000);
    let mut dispatch = stand.send(20_000, |_| {});
    let mut waits_ms = Vec::new();
    let refusal = loop {
        let mut actions = stand.shed(&dispatch);
        let shed_at = stand.now;
        while dispatched(&actions).is_none() && refusals(&actions).is_empty() {
            stand.now += Duration::from_millis(1);
            actions = stand.shard.on_tick(stand.now);
        }
        match dispatched(&actions) {
            Some(next) => dispatch = next,
            None => break refusals(&actions)[0].1,
        }
        waits_ms.push(stand.now.since(shed_at).as_millis() as u64);
    };
    assert_eq!(waits_ms.len(), 11, "{waits_ms:?}");
    assert_eq!(waits_ms[0], 0);
    for (index, wait_ms) in waits_ms[1..].iter().enumerate() {
        let backoff_ms = (20 << index).min(1_000);
        assert!((backoff_ms / 2..=backoff_ms + 1).contains(wait_ms), "{waits_ms:?}");
    }
    assert_eq!(refusal.execution, Execution::NotRun);
}

/// A lookup meets several endpoints with gray failures. It is tried again while attempts and budget
/// allow, and never held for that.
#[test]
fn failure_statuses_are_retried_while_the_budget_allows() {
    let attempts = |hold_retries: bool, slack: u32| {
        let limit = RetryLimit { ratio: 0.0, slack, window_ms: 10_000 };
        let mut stand = Stand::new(|config| {
            config.services[0].retry_limit = Some(limit);
            config.services[0].contention.hold_retries = hold_retries;
        });
        stand.advance(10_000);
        let mut next = vec![stand.send(10_000, |request| request.idempotent = true)];
        let mut attempts = 0;
        while let Some(dispatch) = next.pop() {
            attempts += 1;
            next = end(&mut stand.shard, stand.now, &dispatch, 503);
        }
        assert_eq!(stand.held(), 0);
        attempts
    };
    assert_eq!(attempts(false, 1_200), 2);
    assert_eq!(attempts(true, 1_200), 3);
    assert_eq!(attempts(true, 12), 2);
    assert_eq!(attempts(true, 0), 1);
}

/// A lookup is slow while a booking waits for a retry. A hedge would take the retry that the
/// booking needs.
#[test]
fn no_hedge_is_sent_while_a_request_is_held() {
    let hedges = |holds: bool| {
        let limit = RetryLimit { ratio: 0.0, slack: 240, window_ms: 10_000 };
        let mut stand = Stand::new(|config| config.services[0].retry_limit = Some(limit));
        stand.advance(10_000);
        for _ in 0..40 {
            let dispatch = stand.send(1_000, |_| {});
            stand.now += Duration::from_millis(5);
            let outcome = Outcome::Answered { status: 200, fresh_connection: true };
            let report = EndpointReport::default();
            stand.shard.on_outcome(stand.now, dispatch.attempt, outcome, report);
            stand.shard.on_body_end(stand.now, dispatch.attempt, BodyEnd::Complete);
        }
        if holds {
            let mut dispatch = stand.send(10_000, |_| {});
            for _ in 0..4 {
                let mut actions = stand.shed(&dispatch);
                while dispatched(&actions).is_none() {
                    actions = stand.advance(10);
                }
                dispatch = dispatched(&actions).unwrap();
            }
            // The fifth backoff is at least 80 ms.
            stand.shed(&dispatch);
            assert_eq!(stand.held(), 1);
        }
        stand.send(1_000, |request| {
            request.idempotent = true;
            request.hedge = true;
        });
        all_dispatched(&stand.advance(60)).len()
    };
    assert_eq!((hedges(false), hedges(true)), (1, 0));
}
