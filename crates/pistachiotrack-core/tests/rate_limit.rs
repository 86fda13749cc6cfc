//! Rate limits announced by endpoints, kept by several VMs in simulated time.

mod shared_support;

use std::{collections::VecDeque, time::Duration};

use pistachiotrack_core::{
    name::Name,
    rate_limit::{RateLimit, RateShare, RateUpdate, SharedRateLimiter},
    request::{BodyEnd, EndpointReport, Outcome},
    retry::VisibleDispatchers,
    shard::{EndpointUpdate, Shard, ShardAction, ShardUpdate},
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use shared_support::{START, all_dispatched, booking, dispatched, endpoint_update, shard};

/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Allowed excess in a window: a factor of the limit, and additional requests.
const TOLERANCE: (f64, f64) = (1.5, 5.0);

fn limit(text: &str) -> RateLimit {
    text.parse().unwrap()
}

fn report(limit: Option<&str>) -> EndpointReport {
    EndpointReport {
        rate_limit: limit.map(|text| text.parse().unwrap()),
        ..EndpointReport::default()
    }
}

/// VMs that all send to one endpoint whenever they are allowed to.
struct GreedyVms {
    vms: Vec<SharedRateLimiter>,
    share: RateShare,
    delay: Duration,
    rng: Pcg64Mcg,
    /// Updates in transit: arrival time, sending VM, update.
    in_transit: VecDeque<(Time, usize, RateUpdate)>,
}

impl GreedyVms {
    fn new(count: usize, limit: RateLimit, delay: Duration, seed: u64) -> GreedyVms {
        let share = RateShare { fraction: 1.0, is_sole_sender: count == 1 };
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut limiter = || SharedRateLimiter::new(START, START, limit, share, rng.random());
        GreedyVms {
            vms: (0..count).map(|_| limiter()).collect(),
            share,
            delay,
            rng,
            in_transit: VecDeque::new(),
        }
    }

    /// Runs for `time` and returns when requests were sent.
    fn run(&mut self, time: Duration) -> Vec<Time> {
        let mut sent = Vec::new();
        let tick = Duration::from_millis(20);
        let phases: Vec<u64> = (0..self.vms.len()).map(|_| self.rng.random_range(0..20)).collect();
        for ms in 0..time.as_millis() as u64 {
            let now = START + Duration::from_millis(ms);
            self.deliver(now);
            for (vm, phase) in phases.iter().enumerate() {
                let is_tick = (ms + phase).is_multiple_of(tick.as_millis() as u64);
                if is_tick && self.vms[vm].may_send(now, self.share) {
                    self.vms[vm].on_sent(now, self.share, self.rng.random());
                    let update = self.vms[vm].update(now).unwrap();
                    self.in_transit.push_back((now + self.delay, vm, update));
                    sent.push(now);
                }
            }
        }
        sent
    }

    fn deliver(&mut self, now: Time) {
        while self.in_transit.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, from, update)) = self.in_transit.pop_front() else { return };
            let name = Name::from(format!("vm-{from}"));
            for (vm, limiter) in self.vms.iter_mut().enumerate().filter(|(vm, _)| *vm != from) {
                let random = Pcg64Mcg::seed_from_u64(now.as_micros() ^ vm as u64).random();
                limiter.on_peer_count(now, &name, update.sent, self.share, random);
            }
        }
    }
}

fn busiest_window(sent: &[Time]) -> usize {
    let in_window =
        |start: Time| sent.iter().filter(|at| **at >= start && **at < start + WINDOW).count();
    sent.iter().map(|start| in_window(*start)).max().unwrap_or_default()
}

#[test]
fn greedy_vms_keep_the_limit_together() {
    let time = Duration::from_secs(30);
    for (vms, delay_ms) in [(1, 0), (6, 1), (6, 5), (10, 5), (34, 5)] {
        for text in ["0", "0.25", "1", "2.3", "10", "60"] {
            for seed in 0..5 {
                let delay = Duration::from_millis(delay_ms);
                let mut greedy = GreedyVms::new(vms, limit(text), delay, seed);
                let sent = greedy.run(time);
                let per_second = limit(text).per_second();
                let allowed = TOLERANCE.0 * per_second * WINDOW.as_secs_f64() + TOLERANCE.1;
                let most = busiest_window(&sent);
                let case = format!("{vms} VMs, {delay:?}, limit {text}, seed {seed}");
                assert!(most as f64 <= allowed, "{case}: {most} in a window, {allowed} allowed");
                let used = sent.len() as f64 / time.as_secs_f64();
                assert!(used >= 0.6 * per_second, "{case}: {used} a second of {per_second}");
            }
        }
    }
}

#[test]
fn invalid_limits_are_rejected() {
    for text in ["", "many", "-1", "NaN", "inf", "1e999"] {
        assert!(text.parse::<RateLimit>().is_err(), "{text:?}");
    }
    assert_eq!(limit(" 2.5 ").per_second(), 2.5);
    assert!(limit("1e300").per_second() > 1e9);
}

#[test]
fn vm_that_is_no_dispatcher_does_not_send_to_limited_endpoints() {
    let non_dispatcher = RateShare { fraction: 0.0, is_sole_sender: false };
    let rate = SharedRateLimiter::new(START, START, limit("1000"), non_dispatcher, 0.0);
    assert!(!rate.may_send(START + Duration::from_secs(60), non_dispatcher));
}

#[test]
fn limit_ends_with_a_later_request_answered_without_one() {
    let announced_at = START + Duration::from_secs(1);
    let mut rate =
        SharedRateLimiter::new(announced_at, announced_at, limit("1"), RateShare::default(), 0.0);
    assert!(!rate.on_answer(START, None), "requested before the answer with the limit");
    assert_eq!(rate.limit(), Some(limit("1")));
    assert!(rate.on_answer(announced_at + Duration::from_millis(1), None));
    assert_eq!((rate.limit(), rate.update(announced_at)), (None, None));
}

/// Sends a booking and answers it; returns the endpoint and the updates for other VMs.
fn serve(shard: &mut Shard, now: Time, id: u64, limit: Option<&str>) -> (Name, Vec<ShardUpdate>) {
    let mut actions = shard.on_request(now, booking(id, now));
    let sent = dispatched(&actions).expect("a slot is free");
    let outcome = Outcome::Answered { status: 200, fresh_connection: true };
    actions.extend(shard.on_outcome(now, sent.attempt, outcome, report(limit)));
    actions.extend(shard.on_body_end(now, sent.attempt, BodyEnd::Complete));
    (sent.endpoint, shared_support::broadcasts(&actions))
}

/// Returns a shard with one endpoint on a VM that sees `visible` dispatchers.
fn dispatcher(visible: u32, is_member: bool) -> Shard {
    let mut shard = shard(1);
    shard.set_dispatchers(
        START,
        VisibleDispatchers { count: visible, is_member, ..VisibleDispatchers::default() },
    );
    shard
}

#[test]
fn requests_of_other_vms_count_towards_the_limit() {
    let mut shard = dispatcher(2, true);
    serve(&mut shard, START, 1, Some("1"));
    let now = START + Duration::from_secs(5);
    let mut update = endpoint_update("endpoint-0", 0, Default::default());
    for sent in [3, 8] {
        let rate = Some(RateUpdate { limit: limit("1"), age_ms: 0, sent });
        update.endpoints = vec![EndpointUpdate { rate, ..update.endpoints[0] }];
        shard.on_update(now, &Name::from("vm-02"), &update);
    }
    let soon = now + Duration::from_millis(500);
    assert_eq!(dispatched(&shard.on_request(soon, booking(2, soon))), None);
}

#[test]
fn limit_and_its_end_are_broadcast() {
    let mut shard = dispatcher(2, true);
    let (_, updates) = serve(&mut shard, START, 1, Some("2.5"));
    let rate =
        updates.iter().flat_map(|update| &update.endpoints).find_map(|endpoint| endpoint.rate);
    assert_eq!(rate.unwrap().limit, limit("2.5"));
    let mut other = dispatcher(2, true);
    let limit_change = |shard: &mut Shard, now, updates: &[ShardUpdate]| {
        let actions = shared_support::apply_updates(shard, now, updates);
        actions.into_iter().find_map(|action| match action {
            ShardAction::RateLimit { limit, .. } => Some(limit),
            _ => None,
        })
    };
    assert_eq!(limit_change(&mut other, START, &updates), Some(Some(limit("2.5"))));
    let later = START + Duration::from_secs(3);
    let (_, updates) = serve(&mut shard, later, 2, None);
    assert_eq!(limit_change(&mut other, later, &updates), Some(None));
}

#[test]
fn new_dispatcher_learns_limits_from_the_snapshot() {
    let mut shard = dispatcher(2, true);
    serve(&mut shard, START, 1, Some("1"));
    let snapshot = shard.snapshot(START);
    let mut new_dispatcher = dispatcher(2, true);
    new_dispatcher.on_snapshot(START, &snapshot);
    let status = new_dispatcher.endpoints(START);
    assert_eq!(status[0].rate_limit, Some(1.0));
}

#[test]
fn requests_over_the_limits_of_all_endpoints_are_refused_at_once() {
    let mut shard = dispatcher(2, true);
    serve(&mut shard, START, 1, Some("1"));
    let now = START + Duration::from_secs(10);
    let mut refused = 0;
    for id in 2..10 {
        let actions = shard.on_request(now, booking(id, now));
        refused += actions
            .iter()
            .filter(|action| matches!(action, ShardAction::Refuse { refusal, .. } if refusal.retry_after_ms.is_some()))
            .count();
        assert!(all_dispatched(&actions).len() <= 1);
    }
    assert!(refused >= 6, "{refused} of 8 refused at once");
}

#[test]
fn non_dispatcher_refuses_at_once_if_all_endpoints_have_limits() {
    let mut non_dispatcher = dispatcher(2, false);
    serve(&mut non_dispatcher, START, 1, Some("1"));
    let now = START + Duration::from_secs(10);
    let actions = non_dispatcher.on_request(now, booking(2, now));
    assert!(actions.iter().any(|action| matches!(action, ShardAction::Refuse { .. })));
}
