//! What endpoints ask of a VM, and every way on which a shard learns of it.

mod shared_support;

use std::time::Duration;

use pistachiotrack_core::{
    endpoint_notice::{EndpointNotice, EndpointNotices},
    name::Name,
    ownership::ShardId,
    request::{BodyEnd, EndpointReport, Outcome},
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

fn new_shard(notices: EndpointNotices) -> Shard {
    let id = ShardId { service: Name::from("booking"), index: 0 };
    let settings = ShardSettings { mode: ShardMode::Shared, notices, ..ShardSettings::default() };
    Shard::new(START, id, &config(3), settings)
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
    assert!(notices.record(START, &Name::from(LEAVER), EndpointNotice::LEAVING));
    assert!(!notices.record(START, &Name::from(LEAVER), EndpointNotice::LEAVING));
    assert_unused(&mut new_shard(notices), START);
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
