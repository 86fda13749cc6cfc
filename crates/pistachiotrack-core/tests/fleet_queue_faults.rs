//! Failures of the queue over the fleet, one by one.

mod shared_support;

use std::time::Duration;

use pistachiotrack_core::{
    name::Name,
    ownership::ShardId,
    request::{Class, Request},
    retry::RetryRights,
    shard::{
        ClassSummary, PeerQueues, QueueHead, QueueSummary, RequestCounts, Shard, ShardMode,
        ShardSettings, ShardUpdate, SlotDecision,
    },
    time::Time,
};
use shared_support::{START, all_dispatched, booking, broadcasts, config, dispatched, end};

const SUMMARY_TTL: Duration = Duration::from_secs(1);

fn name(vm: u32) -> Name {
    Name::from(format!("vm-{vm:02}"))
}

fn fleet_config(endpoints: u32, fleet_queue: bool) -> pistachiotrack_core::config::Config {
    let mut config = config(endpoints);
    config.services[0].contention.fleet_queue = fleet_queue;
    config
}

fn shard(fleet_queue: bool) -> Shard {
    let id = ShardId { service: Name::from("booking"), index: 0 };
    let settings = ShardSettings { mode: ShardMode::Shared, ..ShardSettings::default() };
    let mut shard = Shard::new(START, id, &fleet_config(1, fleet_queue), settings);
    shard.set_dispatcher_names(&name(5), &(0..6).map(name).collect::<Vec<_>>());
    shard
}

fn summary(sequence: u32, class: Class, queued: u16, used_permille: u16) -> QueueSummary {
    let mut summary = QueueSummary { sequence, ..QueueSummary::default() };
    summary.classes[class as usize] = ClassSummary { queued, used_permille };
    summary
}

fn update(queue: Option<QueueSummary>) -> ShardUpdate {
    ShardUpdate {
        shard: ShardId { service: Name::from("booking"), index: 0 },
        request_counts: RequestCounts::default(),
        spare_retries: RetryRights::NONE,
        known_vms: Some(1),
        endpoints: Vec::new(),
        queue,
    }
}

fn request(id: u64, now: Time) -> Request {
    Request { deadline: now + Duration::from_secs(4), ..booking(id, now) }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn head(class: Class, used_permille: u16) -> QueueHead {
    QueueHead { class, used_permille, time_left: Duration::from_secs(1) }
}

/// A VM dies with queued requests. Its peers must not leave slots to it for longer than 50 ms,
/// and not at all once its summary has expired.
#[test]
fn a_dead_vm_delays_others_for_a_short_time_only() {
    let mut shard = shard(true);
    let queue = summary(1, Class::Interactive, 100, 500);
    shard.on_update(START, &name(0), &update(Some(queue)));
    assert_eq!(dispatched(&shard.on_request(START, request(1, START))), None);
    let until = shard.deferred_until().unwrap();
    assert_eq!(until, START + ms(50));
    assert_eq!(dispatched(&shard.on_tick(START + ms(49))), None);
    assert!(dispatched(&shard.on_tick(until)).is_some());
    let later = START + SUMMARY_TTL;
    assert!(dispatched(&shard.on_request(later, request(2, later))).is_some());
}

/// With few requests ahead, a long deferral would leave slots idle for nothing.
#[test]
fn the_deferral_grows_with_the_requests_ahead() {
    for (queued, expected_ms) in [(1, 0), (2, 10), (3, 10), (4, 20), (8, 40), (1_000, 50)] {
        let mut shard = shard(true);
        let queue = summary(1, Class::Interactive, queued, 500);
        shard.on_update(START, &name(0), &update(Some(queue)));
        let actions = shard.on_request(START, request(1, START));
        let until = shard.deferred_until().unwrap_or(START);
        assert_eq!(until, START + ms(expected_ms), "{queued} queued");
        assert_eq!(dispatched(&actions).is_some(), expected_ms == 0);
    }
}

/// A VM that resumes after a pause holds summaries from before it. They say nothing any more.
#[test]
fn summaries_from_before_a_pause_are_dropped() {
    let mut shard = shard(true);
    let queue = summary(1, Class::Interactive, 100, 500);
    shard.on_update(START, &name(0), &update(Some(queue)));
    assert_eq!(shard.fleet_queue_status(START).unwrap().queued_at_peers, 100);
    let resumed = START + ms(1_500);
    assert!(dispatched(&shard.on_pause(resumed, ms(1_500))).is_none());
    assert_eq!(shard.fleet_queue_status(resumed).unwrap().queued_at_peers, 0);
    assert!(dispatched(&shard.on_request(resumed, request(1, resumed))).is_some());
}

/// A deferral that began before a pause has lasted for longer than 50 ms afterwards, although the
/// peers had no 50 ms to use the slot.
#[test]
fn a_pause_does_not_count_as_a_deferral() {
    let mut shard = shard(true);
    let queue = summary(1, Class::Interactive, 100, 500);
    shard.on_update(START, &name(0), &update(Some(queue)));
    shard.on_request(START, request(1, START));
    let resumed = START + ms(500);
    shard.on_pause(resumed, ms(500));
    assert_eq!(dispatched(&shard.on_tick(resumed)), None);
    assert_eq!(shard.deferred_until(), Some(resumed + ms(50)));
}

/// Datagrams are reordered and duplicated. An overtaken summary must not replace the later one,
/// and a duplicate must not prolong it.
#[test]
fn overtaken_and_duplicated_summaries_are_ignored() {
    let mut peers = PeerQueues::default();
    peers.on_summary(START, &name(0), summary(u32::MAX, Class::Standard, 9, 0));
    peers.on_summary(START, &name(0), summary(0, Class::Standard, 5, 0));
    peers.on_summary(START, &name(0), summary(u32::MAX, Class::Standard, 9, 0));
    assert_eq!(peers.queued_up_to(START, Class::Batch), 5);
    peers.on_summary(START + ms(900), &name(0), summary(0, Class::Standard, 5, 0));
    assert_eq!(peers.queued_up_to(START + SUMMARY_TTL, Class::Batch), 0);
}

/// A VM restarts, and its sequence numbers begin with a lower one. Its summaries count again as
/// soon as the one from before the restart has expired.
#[test]
fn summaries_of_a_restarted_vm_count_after_the_old_one_has_expired() {
    let mut peers = PeerQueues::default();
    peers.on_summary(START, &name(0), summary(900, Class::Standard, 9, 0));
    peers.on_summary(START + ms(999), &name(0), summary(5, Class::Standard, 4, 0));
    let later = START + SUMMARY_TTL;
    assert_eq!(peers.queued_up_to(later, Class::Batch), 0);
    peers.on_summary(later, &name(0), summary(6, Class::Standard, 4, 0));
    assert_eq!(peers.queued_up_to(later, Class::Batch), 4);
}

/// A VM that is no dispatcher any more sends no further summaries to the others.
#[test]
fn a_vm_that_is_no_dispatcher_any_more_is_dropped() {
    let mut peers = PeerQueues::default();
    peers.on_summary(START, &name(1), summary(1, Class::Standard, 5, 0));
    peers.on_summary(START, &name(2), summary(1, Class::Standard, 3, 0));
    peers.set_dispatchers(&name(0), &[name(0), name(2)]);
    assert_eq!(peers.queued_up_to(START, Class::Batch), 3);
    peers.on_summary(START, &name(1), summary(2, Class::Standard, 5, 0));
    assert_eq!(peers.queued_up_to(START, Class::Batch), 3);
}

/// A VM's memory is bounded whatever the number of VMs that send summaries.
#[test]
fn at_most_64_peers_are_recorded() {
    let mut peers = PeerQueues::default();
    (0..100).for_each(|vm| peers.on_summary(START, &name(vm), summary(1, Class::Standard, 1, 0)));
    assert_eq!(peers.queued_up_to(START, Class::Batch), 64);
}

/// Two VMs with the same view of the queues must not both defer, nor both dispatch first.
#[test]
fn class_then_used_time_then_name_decide_the_order() {
    let mut peers = PeerQueues::default();
    peers.set_dispatchers(&name(2), &(0..4).map(name).collect::<Vec<_>>());
    peers.on_summary(START, &name(1), summary(1, Class::Standard, 1, 400));
    peers.on_summary(START, &name(3), summary(1, Class::Standard, 1, 400));
    assert_eq!(peers.requests_ahead(START, &head(Class::Interactive, 0)), 0);
    assert_eq!(peers.requests_ahead(START, &head(Class::Standard, 401)), 0);
    assert_eq!(peers.requests_ahead(START, &head(Class::Standard, 400)), 1);
    assert_eq!(peers.requests_ahead(START, &head(Class::Standard, 399)), 2);
    assert_eq!(peers.requests_ahead(START, &head(Class::Batch, 900)), 2);
}

/// A request that is nearly out of time would be refused at the end of the deferral.
#[test]
fn a_request_with_little_time_left_is_not_deferred() {
    let mut peers = PeerQueues::default();
    peers.on_summary(START, &name(1), summary(1, Class::Interactive, 100, 400));
    let free = [(pistachiotrack_core::shard::EndpointKey::of("endpoint-0"), 1)];
    let mut urgent = head(Class::Standard, 900);
    assert_ne!(peers.may_dispatch(START, &urgent, &free), SlotDecision::Dispatch);
    urgent.time_left = ms(49);
    assert_eq!(peers.may_dispatch(START, &urgent, &free), SlotDecision::Dispatch);
}

/// All VMs start at once and know of no queue. They must not wait for summaries.
#[test]
fn without_summaries_every_vm_dispatches_at_once() {
    let mut shard = shard(true);
    assert!(dispatched(&shard.on_request(START, request(1, START))).is_some());
}

/// An update of a VM with the flag off has no summary, and must not look like an empty queue.
#[test]
fn an_update_without_a_summary_changes_nothing() {
    let mut shard = shard(true);
    let queue = summary(1, Class::Standard, 7, 500);
    shard.on_update(START, &name(0), &update(Some(queue)));
    shard.on_update(START, &name(0), &update(None));
    assert_eq!(shard.fleet_queue_status(START).unwrap().queued_at_peers, 7);
}

/// With the flag off, a VM decides as before: it ignores summaries and sends none.
#[test]
fn with_the_flag_off_summaries_are_ignored_and_not_sent() {
    let mut shard = shard(false);
    let queue = summary(1, Class::Interactive, 1_000, 500);
    shard.on_update(START, &name(0), &update(Some(queue)));
    let mut actions = shard.on_request(START, request(1, START));
    assert!(dispatched(&actions).is_some());
    assert_eq!(shard.queue_wait(START), Duration::ZERO);
    assert_eq!(shard.fleet_queue_status(START), None);
    (2..8).for_each(|id| actions.extend(shard.on_request(START, request(id, START))));
    actions.extend(shard.on_tick(START + ms(200)));
    assert!(broadcasts(&actions).iter().all(|update| update.queue.is_none()));
}

/// With the flag off, the same events lead to the same actions whether or not peers send
/// summaries.
#[test]
fn with_the_flag_off_summaries_change_no_decision() {
    let (mut with, mut without) = (shard(false), shard(false));
    let mut running = Vec::new();
    for step in 0..400_u32 {
        let now = START + ms(7 * u64::from(step));
        let queue = summary(step, Class::Interactive, 500, 900);
        let mut actions = with.on_update(now, &name(0), &update(Some(queue)));
        let mut expected = without.on_update(now, &name(0), &update(None));
        let id = u64::from(step);
        if step % 3 == 0 {
            actions.extend(with.on_request(now, request(id, now)));
            expected.extend(without.on_request(now, request(id, now)));
        } else if step % 10 == 1 && !running.is_empty() {
            let first: pistachiotrack_core::shard::Dispatch = running.remove(0);
            let found = end(&mut with, now, &first, 200);
            assert_eq!(format!("{found:?}"), format!("{:?}", end(&mut without, now, &first, 200)));
            running.extend(found);
        } else {
            actions.extend(with.on_tick(now));
            expected.extend(without.on_tick(now));
        }
        assert_eq!(format!("{actions:?}"), format!("{expected:?}"), "step {step}");
        assert_eq!(with.queue_wait(now), without.queue_wait(now));
        running.extend(all_dispatched(&actions));
    }
}

/// A lost summary is made up for by the next one. Peers defer to a queue that has become empty
/// unless they are told.
#[test]
fn summaries_are_sent_periodically_and_once_when_the_queue_is_empty() {
    let mut shard = shard(true);
    let mut running = Vec::new();
    for id in 0..3 {
        running.extend(all_dispatched(&shard.on_request(START, request(id, START))));
    }
    let queued = |updates: &[ShardUpdate]| -> Vec<u16> {
        let summaries = updates.iter().filter_map(|update| update.queue);
        summaries.map(|queue| queue.classes[Class::Standard as usize].queued).collect()
    };
    let mut sent = Vec::new();
    for tick in 1..=25 {
        sent.extend(queued(&broadcasts(&shard.on_tick(START + ms(20 * tick)))));
    }
    assert_eq!(sent, [1; 5], "in half a second");
    let now = START + ms(510);
    let updates: Vec<u16> =
        queued(&broadcasts(&shard.on_cancel(now, pistachiotrack_core::request::RequestId(2))));
    assert_eq!(updates, [0]);
    assert!(queued(&broadcasts(&shard.on_tick(now + ms(200)))).is_empty());
    end(&mut shard, now, &running[0], 200);
}

/// Operators switch the flag at run time. Queued requests are dispatched at once when it is
/// switched off, and peers no longer defer to them.
#[test]
fn the_flag_can_be_switched_at_run_time() {
    let mut shard = shard(false);
    shard.on_config(START, &fleet_config(1, true));
    let queue = summary(1, Class::Interactive, 100, 500);
    shard.on_update(START, &name(0), &update(Some(queue)));
    assert_eq!(dispatched(&shard.on_request(START, request(1, START))), None);
    let actions = shard.on_config(START, &fleet_config(1, false));
    assert!(dispatched(&actions).is_some());
    assert_eq!(broadcasts(&actions).last().unwrap().queue.map(|it| it.is_empty()), Some(true));
    assert_eq!(shard.deferred_until(), None);
}

/// The class of a route changes in a shortage. Queued requests keep the class that they were
/// admitted with, or their place in the queue would change.
#[test]
fn queued_requests_keep_their_class_when_the_configuration_changes() {
    let mut shard = shard(true);
    (0..3).for_each(|id| drop(shard.on_request(START, request(id, START))));
    shard.on_config(START, &fleet_config(1, true));
    let updates = broadcasts(&shard.on_tick(START + ms(200)));
    let queue = updates.last().unwrap().queue.unwrap();
    assert_eq!(queue.classes.map(|class| class.queued), [0, 1, 0]);
}

/// A request that can't be served in time is refused on arrival. Were the peers' queues not
/// counted, it would be refused at its deadline.
#[test]
fn the_expected_wait_counts_requests_at_peers() {
    let mut shard = shard(true);
    let first = all_dispatched(&shard.on_request(START, request(1, START)));
    let now = START + ms(300);
    end(&mut shard, now, &first[0], 200);
    assert_eq!(shard.queue_wait(now), Duration::ZERO);
    shard.on_update(now, &name(0), &update(Some(summary(1, Class::Standard, 19, 500))));
    // Twenty requests of 300 ms in two slots.
    assert_eq!(shard.queue_wait(now), ms(3_000));
    let mut actions = Vec::new();
    let short = Request { deadline: now + Duration::from_secs(2), ..booking(2, now) };
    actions.extend(shard.on_request(now, short));
    let is_refused = actions
        .iter()
        .any(|action| matches!(action, pistachiotrack_core::shard::ShardAction::Refuse { .. }));
    assert!(is_refused, "{actions:?}");
}

/// Each update carries a summary. Its size must not depend on the number of customers, and a link
/// of 10 Mbit/s carries thousands of them a second.
#[test]
fn a_summary_takes_few_bytes() {
    let mut queue = summary(20_000, Class::Standard, 100, 900);
    queue.classes[0] = ClassSummary { queued: 5, used_permille: 300 };
    queue.classes[2] = ClassSummary { queued: 120, used_permille: 990 };
    assert!(postcard::to_stdvec(&queue).unwrap().len() <= 12);
}
