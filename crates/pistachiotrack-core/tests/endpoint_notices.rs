//! What endpoints ask of a VM, and every way on which a shard learns of it.

mod shared_support;

use std::time::Duration;

use pistachiotrack_core::{
    config::Config,
    endpoint_notice::{EndpointNotice, EndpointNotices, NoticeChange},
    name::Name,
    ownership::ShardId,
    refusal::Execution,
    request::{BodyEnd, Class, EndpointReport, Outcome, Request},
    shard::{Shard, ShardAction, ShardMode, ShardSettings},
    time::Time,
};
use shared_support::{START, booking, broadcasts, config, dispatched, shard};

const LEAVER: &str = "endpoint-0";

/// Returns the endpoints that the next requests are sent to.
fn used(shard: &mut Shard, now: Time) -> Vec<Name> {
    let send = |id| dispatched(&shard.on_request(now, booking(id, now)));
    (100..104).filter_map(send).map(|dispatch| dispatch.endpoint).collect()
}

fn assert_unused(shard: &mut Shard, now: Time) {
    let used = used(shard, now);
    assert!(!used.is_empty());
    assert!(used.iter().all(|endpoint| endpoint.as_str() != LEAVER), "{used:?}");
}

fn leave(shard: &mut Shard) {
    shard.on_notice(START, &Name::from(LEAVER), EndpointNotice::LEAVING);
}

fn new_shard(config: &Config, notices: EndpointNotices) -> Shard {
    let id = ShardId { service: Name::from("booking"), index: 0 };
    let settings = ShardSettings { mode: ShardMode::Shared, notices, ..ShardSettings::default() };
    Shard::new(START, id, config, settings)
}

/// Guards against an endpoint that gets requests again as its registration, still marked as ready,
/// lapses and comes back.
#[test]
fn a_leaving_endpoint_that_is_configured_again_gets_no_requests() {
    let mut shard = shard(3);
    leave(&mut shard);
    let mut without = config(3);
    without.services[0].endpoints.retain(|endpoint| endpoint.name.as_str() != LEAVER);
    shard.on_config(START, &without);
    shard.on_config(START, &config(3));
    assert_unused(&mut shard, START);
}

/// Guards against a notice that is forgotten when its shard stops on this VM.
#[test]
fn a_shard_starts_with_the_notices_on_record() {
    let mut notices = EndpointNotices::default();
    let mut record = || notices.record(START, &Name::from(LEAVER), EndpointNotice::LEAVING);
    assert_eq!(record(), Some(NoticeChange::New));
    assert_eq!(record(), None);
    assert_unused(&mut new_shard(&config(3), notices), START);
}

/// Guards against a leaving endpoint that counts toward the floor, so that no ejected one replaces
/// it.
#[test]
fn a_leaving_endpoint_is_out_of_rotation() {
    let mut shard = shard(3);
    leave(&mut shard);
    let status = shard.endpoints(START);
    let leaver = status.iter().find(|status| status.endpoint.as_str() == LEAVER).unwrap();
    assert_eq!(leaver.state.as_str(), "draining");
}

/// Guards against requests that reach a leaving endpoint since another answer, to a request sent
/// before, doesn't say so.
#[test]
fn a_later_answer_without_a_notice_withdraws_nothing() {
    let mut shard = shard(1);
    let dispatch = dispatched(&shard.on_request(START, booking(1, START))).unwrap();
    leave(&mut shard);
    let outcome = Outcome::Answered { status: 200, fresh_connection: true };
    shard.on_outcome(START, dispatch.attempt, outcome, EndpointReport::default());
    shard.on_body_end(START, dispatch.attempt, BodyEnd::Complete);
    let refused = shard.on_request(START, booking(2, START));
    assert!(refused.iter().any(|action| matches!(action, ShardAction::Refuse { .. })));
}

/// Guards against VMs that go on sending until each of them has got an answer of its own.
#[test]
fn other_vms_learn_that_an_endpoint_leaves() {
    let mut first = shard(3);
    let request = dispatched(&first.on_request(START, booking(1, START))).unwrap();
    first.on_notice(START, &request.endpoint, EndpointNotice::LEAVING);
    let outcome = Outcome::Answered { status: 200, fresh_connection: true };
    first.on_outcome(START, request.attempt, outcome, EndpointReport::default());
    let updates = broadcasts(&first.on_body_end(START, request.attempt, BodyEnd::Complete));
    let mut by_update = shard(3);
    let actions = by_update.on_update(START, &Name::from("vm-1"), &updates[0]);
    let notice = EndpointNotice::LEAVING;
    let endpoint = request.endpoint.clone();
    assert!(actions.contains(&ShardAction::Notice { endpoint, notice }));
    let mut by_snapshot = shard(3);
    by_snapshot.on_snapshot(START, &first.snapshot(START));
    let mut by_hand_over = shard(3);
    by_hand_over.on_hand_over(START, &first.hand_over(START));
    for mut other in [by_update, by_snapshot, by_hand_over] {
        assert!(!used(&mut other, START).contains(&request.endpoint));
    }
}

/// Guards against an endpoint that is shut out although it has started again: its new incarnation
/// has another name.
#[test]
fn a_new_incarnation_gets_requests() {
    let mut shard = shard(1);
    leave(&mut shard);
    let mut restarted = config(1);
    restarted.services[0].endpoints[0].name = Name::from("endpoint-0@2");
    shard.on_config(START, &restarted);
    assert_eq!(used(&mut shard, START).first().map(Name::as_str), Some("endpoint-0@2"));
}

#[test]
fn a_record_is_dropped_in_the_end() {
    let mut notices = EndpointNotices::default();
    notices.record(START, &Name::from(LEAVER), EndpointNotice::LEAVING);
    let later = START + Duration::from_secs(3_600);
    assert!(!notices.is_leaving(later, LEAVER));
    notices.record(later, &Name::from("another"), EndpointNotice::LEAVING);
    assert_eq!(notices.leaving(START).count(), 1);
}

fn refuse_for(shard: &mut Shard, endpoint: usize, time: Duration) -> Vec<ShardAction> {
    let endpoint = Name::from(format!("endpoint-{endpoint}"));
    let notice = EndpointNotice { leaving: false, retry_after: Some(time) };
    shard.on_notice(START, &endpoint, notice)
}

/// Returns the refusals among the actions: the request, and the time after which it may come back.
fn refusals(actions: &[ShardAction]) -> Vec<(u64, Option<u64>)> {
    let refusal = |action: &ShardAction| match action {
        ShardAction::Refuse { request, refusal } => {
            assert_eq!(refusal.execution, Execution::NotRun);
            Some((request.0, refusal.retry_after_ms))
        }
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

/// Guards against requests to an endpoint that wants none for a time, or none after it.
#[test]
fn an_endpoint_gets_no_requests_for_the_time_that_it_asked_for() {
    for ms in (0..=3_000).step_by(100) {
        let mut shard = shard(3);
        refuse_for(&mut shard, 0, Duration::from_secs(3));
        refuse_for(&mut shard, 0, Duration::from_secs(1));
        let now = START + Duration::from_millis(ms);
        shard.on_tick(now);
        let is_used = used(&mut shard, now).iter().any(|endpoint| endpoint.as_str() == LEAVER);
        assert_eq!(is_used, ms == 3_000, "{ms} ms");
    }
}

#[test]
fn the_status_shows_the_time_without_requests() {
    let mut shard = shard(2);
    refuse_for(&mut shard, 0, Duration::from_secs(3));
    let refuses_ms = shard.endpoints(after(1_000)).into_iter().map(|status| status.refuses_ms);
    assert_eq!(refuses_ms.collect::<Vec<_>>(), [Some(2_000), None]);
}

/// Guards against requests that are refused although an endpoint takes them soon enough.
#[test]
fn a_request_waits_for_the_end_of_a_short_time_without_endpoints() {
    let mut shard = shard(1);
    refuse_for(&mut shard, 0, Duration::from_millis(200));
    assert_eq!(shard.on_request(START, booking(1, START)), []);
    let early = START + Duration::from_millis(180);
    assert_eq!(dispatched(&shard.on_tick(early)), None);
    let end = START + Duration::from_millis(200);
    assert!(dispatched(&shard.on_tick(end)).is_some());
}

/// Guards against requests that are held until their deadline although no endpoint will take them.
#[test]
fn requests_that_no_endpoint_takes_in_time_are_refused_at_once() {
    let mut shard = shard(2);
    refuse_for(&mut shard, 0, Duration::from_secs(30));
    let slots = u64::from(shared_support::SLOTS);
    let queued = slots..slots + 3;
    for id in 0..queued.end {
        shard.on_request(START, booking(id, START));
    }
    let refused = refusals(&refuse_for(&mut shard, 1, Duration::from_secs(20)));
    assert!(queued.eq(refused.iter().map(|(id, _)| *id)), "{refused:?}");
    let new = refusals(&shard.on_request(START, booking(90, START)));
    for (_, retry_after_ms) in refused.into_iter().chain(new) {
        assert!((20_000..=30_000).contains(&retry_after_ms.unwrap()), "{retry_after_ms:?}");
    }
}

/// Guards against VMs that keep away from an endpoint which has asked another VM alone.
#[test]
fn a_time_without_requests_is_not_passed_on() {
    let mut first = shard(2);
    refuse_for(&mut first, 0, Duration::from_secs(3));
    let mut other = shard(2);
    other.on_snapshot(START, &first.snapshot(START));
    other.on_hand_over(START, &first.hand_over(START));
    assert!(used(&mut other, START).iter().any(|endpoint| endpoint.as_str() == LEAVER));
}

/// Guards against a request that is held until its deadline, as one that can wait is ahead of it in
/// the queue.
#[test]
fn a_request_that_can_wait_does_not_hold_up_one_that_can_not() {
    let mut shard = shard(1);
    for id in 0..u64::from(shared_support::SLOTS) {
        shard.on_request(START, booking(id, START));
    }
    let patient =
        Request { class: Class::Interactive, deadline: after(10_000), ..booking(10, START) };
    let urgent = Request { class: Class::Batch, deadline: after(1_000), ..booking(11, START) };
    shard.on_request(START, patient);
    shard.on_request(START, urgent);
    let refused = refusals(&refuse_for(&mut shard, 0, Duration::from_secs(2)));
    assert_eq!(refused.iter().map(|(id, _)| *id).collect::<Vec<_>>(), [11]);
}

/// Guards against a request that is refused since the only endpoint has shed it, although the
/// endpoint takes it soon enough.
#[test]
fn a_shed_request_waits_for_its_only_endpoint() {
    let mut config = config(1);
    config.services[0].retry_limit = None;
    let mut shard = new_shard(&config, EndpointNotices::default());
    let dispatch = dispatched(&shard.on_request(START, booking(1, START))).unwrap();
    refuse_for(&mut shard, 0, Duration::from_millis(200));
    let report = EndpointReport::default();
    let actions = shard.on_outcome(START, dispatch.attempt, Outcome::Shed, report);
    assert_eq!(refusals(&actions), []);
    assert!(dispatched(&shard.on_tick(after(200))).is_some());
}

/// Guards against requests that are admitted to a queue which is not emptied for a time, and then
/// expire in it.
#[test]
fn admission_adds_the_time_without_endpoints_to_the_expected_wait() {
    let mut shard = shard(1);
    for id in 0..20 {
        let dispatch = dispatched(&shard.on_request(START, booking(id, START))).unwrap();
        let outcome = Outcome::Answered { status: 200, fresh_connection: true };
        shard.on_outcome(after(100), dispatch.attempt, outcome, EndpointReport::default());
        shard.on_body_end(after(100), dispatch.attempt, BodyEnd::Complete);
    }
    let request = |id, ms| Request { deadline: after(ms), ..booking(id, START) };
    for id in 100..112 {
        shard.on_request(START, request(id, 10_000));
    }
    refuse_for(&mut shard, 0, Duration::from_secs(1));
    assert_eq!(refusals(&shard.on_request(START, request(200, 2_500))), []);
    assert_eq!(refusals(&shard.on_request(START, request(201, 1_500))).len(), 1);
}

fn after(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}
