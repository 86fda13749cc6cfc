//! Updates and snapshots between dispatchers: their size, and the age of what they report.

mod shared_support;

use std::time::Duration;

use pistachiotrack_core::{
    endpoint::incarnation_name,
    message::MAX_DATAGRAM_BYTES,
    name::Name,
    ownership::ShardId,
    request::{BodyEnd, EndpointReport, Outcome},
    shard::{Shard, ShardMode, ShardSettings},
    time::Time,
};
use shared_support::{
    START, answer, apply_updates, booking, broadcasts, config, dispatched, shard,
};

/// Operators of hundreds of VMs pay for traffic between data centres, and each request causes two
/// datagrams to each other dispatcher. Names that all VMs have in their configuration must not
/// add to their size.
#[test]
fn the_length_of_an_endpoint_name_does_not_change_the_update_size() {
    let lengths = ["e", "i-2b3b66a64b-of-a-very-long-name"].map(|name| {
        let mut config = config(1);
        config.services[0].endpoints[0].name = incarnation_name(name, Some(1_796_285_640_001));
        let id = ShardId { service: Name::from("booking"), index: 0 };
        let settings = ShardSettings { mode: ShardMode::Shared, ..ShardSettings::default() };
        let mut shard = Shard::new(START, id, &config, settings);
        let (_, updates) = answer(&mut shard, START, 1, 200);
        updates.iter().map(|update| postcard::to_stdvec(update).unwrap().len()).collect::<Vec<_>>()
    });
    assert_eq!(lengths[0], lengths[1]);
    assert_eq!(lengths[0].len(), 1, "one datagram for an answer: {lengths:?}");
}

/// An endpoint begins to fail, and one VM has detected it. Another VM then reports a success of
/// an earlier request whose large body has only just ended. If it counted as the success of a
/// later request, it would clear the endpoint, and the next bookings would fail there.
#[test]
fn a_late_report_of_an_earlier_success_clears_no_endpoint() {
    const LATENCY: Duration = Duration::from_millis(300);
    let (mut first, mut second) = (shard(1), shard(1));
    let earlier = dispatched(&first.on_request(START, booking(1, START))).unwrap();
    let found_at = START + Duration::from_millis(30);
    answer(&mut second, found_at, 2, 500);

    let answered = Outcome::Answered { status: 200, fresh_connection: true };
    first.on_outcome(START + LATENCY, earlier.attempt, answered, EndpointReport::default());
    let reported_at = START + LATENCY + Duration::from_millis(60);
    let updates = broadcasts(&first.on_body_end(reported_at, earlier.attempt, BodyEnd::Complete));
    assert_eq!(updates.len(), 1);
    let mut uninformed = second.clone();
    apply_updates(&mut second, reported_at, &updates);
    let (informed, uninformed) =
        (risk(&mut second, reported_at), risk(&mut uninformed, reported_at));
    assert_eq!(informed, uninformed, "risk that the next booking fails, in parts per thousand");
}

/// Returns the risk of a booking that can't wait for a low-risk endpoint.
fn risk(shard: &mut Shard, at: Time) -> u16 {
    let mut late = booking(9, at);
    late.deadline = at + Duration::from_millis(10);
    let actions = shard.on_request(at, late);
    let at = at + Duration::from_millis(9);
    let sent = dispatched(&actions).or_else(|| dispatched(&shard.on_tick(at)));
    sent.expect("the booking is sent").selection.risk_permille
}

/// A VM that has just started knows nothing of the endpoints and asks for a snapshot. If a part of
/// it is too long for a datagram, the VM drops it and sends its first bookings to endpoints that
/// the others know to fail.
#[test]
fn every_part_of_a_large_snapshot_fits_into_a_datagram_and_arrives() {
    const ENDPOINTS: u32 = 101;
    // The deployment, the sender and the length prefixes of a datagram.
    const HEADER_BYTES: usize = 64;
    let mut config = config(ENDPOINTS);
    for (index, endpoint) in config.services[0].endpoints.iter_mut().enumerate() {
        let name = format!("i-2b3b66a6{index:02x}");
        endpoint.name = incarnation_name(&name, Some(1_796_285_640_001));
    }
    config.services[0].shard_endpoints = ENDPOINTS;
    let id = ShardId { service: Name::from("booking"), index: 0 };
    let settings = ShardSettings { mode: ShardMode::Shared, ..ShardSettings::default() };
    let new_shard = || Shard::new(START, id.clone(), &config, settings.clone());
    let mut informed = new_shard();
    for request in 0..u64::from(ENDPOINTS) {
        let sent = dispatched(&informed.on_request(START, booking(request, START))).unwrap();
        let failed = Outcome::Answered { status: 500, fresh_connection: true };
        informed.on_outcome(START, sent.attempt, failed, EndpointReport::default());
        informed.on_body_end(START, sent.attempt, BodyEnd::Complete);
    }

    let parts = informed.snapshot(START).into_parts();
    let mut new = new_shard();
    for part in &parts {
        let length = postcard::to_stdvec(part).unwrap().len();
        assert!(length + HEADER_BYTES <= MAX_DATAGRAM_BYTES, "a part of {length} bytes");
        new.on_snapshot(START, part);
    }
    let known = new.snapshot(START).estimates.len();
    assert_eq!(known, informed.snapshot(START).estimates.len());
    assert!(known > 90, "{known} of {ENDPOINTS} endpoints were observed");
}
