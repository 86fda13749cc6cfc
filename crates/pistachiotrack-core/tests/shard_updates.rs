//! What dispatchers tell each other: how long it is, and that its age counts.

mod shared_support;

use std::time::Duration;

use pistachiotrack_core::{
    endpoint::incarnation_name,
    name::Name,
    ownership::ShardId,
    request::{BodyEnd, Outcome, Report},
    shard::{Shard, ShardMode, ShardSettings},
    time::Time,
};
use shared_support::{START, answer, booking, config, dispatched, pass_on, shard, told};

/// Operators of hundreds of VMs pay for bytes between data centres, and each request brings
/// two datagrams to each other dispatcher. Names that all of them know must not add to them.
#[test]
fn the_length_of_an_endpoint_s_name_costs_nothing() {
    let lengths = ["e", "i-2b3b66a64b-of-a-very-long-name"].map(|name| {
        let mut config = config(1);
        config.services[0].endpoints[0].name = incarnation_name(name, Some(1_796_285_640_001));
        let id = ShardId { service: Name::from("booking"), index: 0 };
        let settings = ShardSettings { mode: ShardMode::Shared, ..ShardSettings::default() };
        let mut shard = Shard::new(START, id, &config, settings);
        let (_, news) = answer(&mut shard, START, 1, 200);
        news.iter().map(|news| postcard::to_stdvec(news).unwrap().len()).collect::<Vec<_>>()
    });
    assert_eq!(lengths[0], lengths[1]);
    assert_eq!(lengths[0].len(), 1, "one datagram for an answer: {lengths:?}");
}

/// An endpoint begins to fail. One VM has found that out; then another one tells of a good
/// answer to a request of before, whose large body has only now ended. Taken for one to a
/// later request, it clears the endpoint, and the next bookings fail there.
#[test]
fn a_good_answer_that_is_told_late_clears_no_endpoint() {
    const LATENCY: Duration = Duration::from_millis(300);
    let (mut first, mut second) = (shard(1), shard(1));
    let good = dispatched(&first.on_request(START, booking(1, START))).unwrap();
    let found_at = START + Duration::from_millis(30);
    answer(&mut second, found_at, 2, 500);

    let answered = Outcome::Answered { status: 200, fresh_connection: true };
    first.on_outcome(START + LATENCY, good.attempt, answered, Report::default());
    let told_at = START + LATENCY + Duration::from_millis(60);
    let news = told(&first.on_body_end(told_at, good.attempt, BodyEnd::Complete));
    assert_eq!(news.len(), 1);
    let mut untold = second.clone();
    pass_on(&mut second, told_at, &news);
    let (told, untold) = (risk(&mut second, told_at), risk(&mut untold, told_at));
    assert_eq!(told, untold, "the risk that the next booking fails, in parts of a thousand");
}

/// Returns the risk of a booking that can't wait and goes where it can.
fn risk(shard: &mut Shard, at: Time) -> u16 {
    let mut late = booking(9, at);
    late.deadline = at + Duration::from_millis(10);
    let actions = shard.on_request(at, late);
    let at = at + Duration::from_millis(9);
    let sent = dispatched(&actions).or_else(|| dispatched(&shard.on_tick(at)));
    sent.expect("the booking is sent").selection.risk_permille
}
