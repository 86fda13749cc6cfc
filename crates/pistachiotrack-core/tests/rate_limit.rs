//! Limits that endpoints name in requests a second, kept by several VMs in logical time.

mod shared_support;

use std::{collections::VecDeque, time::Duration};

use pistachiotrack_core::{
    name::Name,
    rate_limit::{RateLimit, RateNews, RateShare, SharedRate},
    request::{BodyEnd, Outcome, Report},
    retry::DispatchersInView,
    shard::{EndpointUpdate, Shard, ShardAction, ShardUpdate},
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use shared_support::{START, all_dispatched, booking, dispatched, endpoint_update, shard};

/// Time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How far a window may exceed what the limit allows: a factor, and requests besides.
const TOLERANCE: (f64, f64) = (1.5, 5.0);

fn limit(text: &str) -> RateLimit {
    text.parse().unwrap()
}

fn report(limit: Option<&str>) -> Report {
    Report { rate_limit: limit.map(|text| text.parse().unwrap()), ..Report::default() }
}

/// VMs that all want to send to one endpoint whenever they may.
struct Greedy {
    vms: Vec<SharedRate>,
    share: RateShare,
    delay: Duration,
    rng: Pcg64Mcg,
    /// What VMs were told and don't know yet: when it arrives, from whom, the count.
    on_the_way: VecDeque<(Time, usize, RateNews)>,
}

impl Greedy {
    fn new(count: usize, limit: RateLimit, delay: Duration, seed: u64) -> Greedy {
        let share = RateShare { part: 1.0, is_alone: count == 1 };
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut rate = || SharedRate::new(START, START, limit, share, rng.random());
        Greedy {
            vms: (0..count).map(|_| rate()).collect(),
            share,
            delay,
            rng,
            on_the_way: VecDeque::new(),
        }
    }

    /// Returns when requests were sent in a time.
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
                    let news = self.vms[vm].news(now).unwrap();
                    self.on_the_way.push_back((now + self.delay, vm, news));
                    sent.push(now);
                }
            }
        }
        sent
    }

    fn deliver(&mut self, now: Time) {
        while self.on_the_way.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, from, news)) = self.on_the_way.pop_front() else { return };
            let name = Name::from(format!("vm-{from}"));
            for (vm, rate) in self.vms.iter_mut().enumerate().filter(|(vm, _)| *vm != from) {
                let turn = Pcg64Mcg::seed_from_u64(now.as_micros() ^ vm as u64).random();
                rate.on_peer(now, &name, news.sent, self.share, turn);
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
fn vms_that_all_want_to_send_keep_a_limit_together() {
    let time = Duration::from_secs(30);
    for (vms, delay_ms) in [(1, 0), (6, 1), (6, 5), (10, 5), (34, 5)] {
        for text in ["0", "0.25", "1", "2.3", "10", "60"] {
            for seed in 0..5 {
                let delay = Duration::from_millis(delay_ms);
                let mut greedy = Greedy::new(vms, limit(text), delay, seed);
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
fn texts_that_name_no_limit_are_refused() {
    for text in ["", "many", "-1", "NaN", "inf", "1e999"] {
        assert!(text.parse::<RateLimit>().is_err(), "{text:?}");
    }
    assert_eq!(limit(" 2.5 ").per_second(), 2.5);
    assert!(limit("1e300").per_second() > 1e9);
}

#[test]
fn a_vm_that_is_no_dispatcher_leaves_a_limited_endpoint_to_the_others() {
    let guest = RateShare { part: 0.0, is_alone: false };
    let rate = SharedRate::new(START, START, limit("1000"), guest, 0.0);
    assert!(!rate.may_send(START + Duration::from_secs(60), guest));
}

#[test]
fn a_limit_ends_with_the_first_answer_that_names_none_and_was_asked_for_later() {
    let named_at = START + Duration::from_secs(1);
    let mut rate = SharedRate::new(named_at, named_at, limit("1"), RateShare::default(), 0.0);
    assert!(!rate.on_answer(START, None), "asked for before the limit was named");
    assert_eq!(rate.limit(), Some(limit("1")));
    assert!(rate.on_answer(named_at + Duration::from_millis(1), None));
    assert_eq!((rate.limit(), rate.news(named_at)), (None, None));
}

/// Sends a booking and has it answered; returns the endpoint and what the others are told.
fn serve(shard: &mut Shard, now: Time, id: u64, limit: Option<&str>) -> (Name, Vec<ShardUpdate>) {
    let mut actions = shard.on_request(now, booking(id, now));
    let sent = dispatched(&actions).expect("a slot is free");
    let outcome = Outcome::Answered { status: 200, fresh_connection: true };
    actions.extend(shard.on_outcome(now, sent.attempt, outcome, report(limit)));
    actions.extend(shard.on_body_end(now, sent.attempt, BodyEnd::Complete));
    (sent.endpoint, shared_support::broadcasts(&actions))
}

/// Returns a shard with one endpoint that is one of so many dispatchers.
fn dispatcher(in_view: u32, is_member: bool) -> Shard {
    let mut shard = shard(1);
    shard.set_dispatchers(START, DispatchersInView { count: in_view, is_member });
    shard
}

#[test]
fn what_another_vm_sends_uses_the_limit_up() {
    let mut shard = dispatcher(2, true);
    serve(&mut shard, START, 1, Some("1"));
    let now = START + Duration::from_secs(5);
    let mut told = endpoint_update("endpoint-0", 0, Default::default());
    for sent in [3, 8] {
        let rate = Some(RateNews { limit: limit("1"), age_ms: 0, sent });
        told.endpoints = vec![EndpointUpdate { rate, ..told.endpoints[0] }];
        shard.on_update(now, &Name::from("vm-02"), &told);
    }
    let soon = now + Duration::from_millis(500);
    assert_eq!(dispatched(&shard.on_request(soon, booking(2, soon))), None);
}

#[test]
fn other_vms_are_told_of_a_limit_and_of_its_end() {
    let mut shard = dispatcher(2, true);
    let (_, told) = serve(&mut shard, START, 1, Some("2.5"));
    let named = told.iter().flat_map(|news| &news.endpoints).find_map(|news| news.rate);
    assert_eq!(named.unwrap().limit, limit("2.5"));
    let mut other = dispatcher(2, true);
    let said = |shard: &mut Shard, now, told: &[ShardUpdate]| {
        let actions = shared_support::apply_updates(shard, now, told);
        actions.into_iter().find_map(|action| match action {
            ShardAction::RateLimit { limit, .. } => Some(limit),
            _ => None,
        })
    };
    assert_eq!(said(&mut other, START, &told), Some(Some(limit("2.5"))));
    let later = START + Duration::from_secs(3);
    let (_, told) = serve(&mut shard, later, 2, None);
    assert_eq!(said(&mut other, later, &told), Some(None));
}

#[test]
fn a_vm_that_begins_learns_limits_with_the_picture() {
    let mut shard = dispatcher(2, true);
    serve(&mut shard, START, 1, Some("1"));
    let picture = shard.snapshot(START);
    let mut begins = dispatcher(2, true);
    begins.on_snapshot(START, &picture);
    let status = begins.endpoints(START);
    assert_eq!(status[0].rate_limit, Some(1.0));
}

#[test]
fn a_service_whose_endpoints_all_name_limits_refuses_what_they_cannot_take_at_once() {
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
fn a_guest_refuses_at_once_where_all_endpoints_name_limits() {
    let mut guest = dispatcher(2, false);
    serve(&mut guest, START, 1, Some("1"));
    let now = START + Duration::from_secs(10);
    let actions = guest.on_request(now, booking(2, now));
    assert!(actions.iter().any(|action| matches!(action, ShardAction::Refuse { .. })));
}
