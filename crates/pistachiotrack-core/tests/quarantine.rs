//! Quarantine of requests that crash endpoints, on several VMs in simulated time.

use std::time::Duration;

use pistachiotrack_core::{
    fingerprint::Fingerprint,
    message::MAX_DATAGRAM_BYTES,
    name::Name,
    quarantine::{
        CrashUpdate, DispatchDecision, MAX_UPDATES_PER_DATAGRAM, Quarantine, QuarantineChange,
        QuarantineSettings, UpdateBatch,
    },
    shard::EndpointKey,
    time::Time,
};
use quickcheck::{Arbitrary, Gen, quickcheck};
use rand::{RngExt, SeedableRng, seq::IteratorRandom};
use rand_pcg::Pcg64Mcg;

/// Time within which all VMs must hold a request back.
const MAX_SPREAD_TIME: Duration = Duration::from_secs(3);
/// Fraction of datagrams that are lost.
const LOSS_RATE: f64 = 0.05;

fn request(number: u64) -> Fingerprint {
    Fingerprint::of([&number.to_le_bytes()[..]])
}

fn service() -> Name {
    Name::from("search")
}

fn endpoint(number: u64) -> EndpointKey {
    EndpointKey::of(&format!("endpoint-{number}"))
}

fn quarantine(seed: u64) -> Quarantine {
    Quarantine::new(QuarantineSettings::default(), seed)
}

/// Returns a quarantine that has held back request 1 since `now`.
fn quarantine_holding_request_1(now: Time) -> Quarantine {
    let mut quarantine = quarantine(1);
    for number in 0..3 {
        quarantine.on_crash(now, request(1), &service(), endpoint(number));
    }
    quarantine
}

fn is_held(quarantine: &mut Quarantine, now: Time, request: Fingerprint) -> bool {
    matches!(quarantine.admit(now, request, false), DispatchDecision::Held { .. })
}

/// Returns all updates that are due in a gossip round.
fn updates(quarantine: &mut Quarantine, now: Time) -> Vec<CrashUpdate> {
    let batches = quarantine.on_gossip_round(now).into_iter();
    batches
        .flat_map(|batch| match batch {
            UpdateBatch::ForDispatchers { updates, .. }
            | UpdateBatch::ForRandomVms { updates, .. } => updates,
        })
        .collect()
}

#[test]
fn request_is_held_after_three_crashes() {
    let mut quarantine = quarantine(1);
    let now = Time::from_millis(5_000);
    let mut crash = |number| quarantine.on_crash(now, request(1), &service(), endpoint(number));
    assert_eq!(crash(1), Some(QuarantineChange::Suspected { crashes: 1 }));
    assert_eq!(crash(1), None, "the same crash, reported by another request");
    assert_eq!(crash(2), Some(QuarantineChange::Suspected { crashes: 2 }));
    assert_eq!(crash(3), Some(QuarantineChange::Held { crashes: 3 }));
    assert!(is_held(&mut quarantine, now, request(1)));
    assert!(!is_held(&mut quarantine, now, request(2)));
}

#[test]
fn restarted_endpoint_counts_as_another_crash() {
    let mut quarantine = quarantine(1);
    for second in 0..3 {
        let now = Time::from_millis(2_000 * second);
        quarantine.on_crash(now, request(1), &service(), endpoint(1));
    }
    assert!(is_held(&mut quarantine, Time::from_millis(4_000), request(1)));
}

#[test]
fn complete_answer_clears_a_request_on_all_vms() {
    let now = Time::from_millis(1_000);
    let (mut first, mut second) =
        (quarantine_holding_request_1(now), quarantine_holding_request_1(now));
    assert_eq!(first.on_answered(now, request(1), &service()), Some(QuarantineChange::Cleared));
    for update in updates(&mut first, now) {
        assert_eq!(second.on_update(now, &update).0, Some(QuarantineChange::Cleared));
    }
    assert!(!is_held(&mut second, now, request(1)));
}

#[test]
fn outdated_update_is_answered_with_the_clearance() {
    let now = Time::from_millis(1_000);
    let (mut cleared, mut outdated) =
        (quarantine_holding_request_1(now), quarantine_holding_request_1(now));
    cleared.on_answered(now, request(1), &service());
    for update in updates(&mut outdated, now) {
        let (change, newer) = cleared.on_update(now, &update);
        assert_eq!(change, None);
        outdated.on_update(now, &newer.expect("a newer state for the outdated VM"));
    }
    assert!(!is_held(&mut outdated, now, request(1)));
}

#[test]
fn trials_run_on_one_vm_with_growing_delays() {
    let settings = QuarantineSettings::default();
    let mut now = Time::from_millis(1_000);
    let mut quarantine = quarantine_holding_request_1(now);
    let mut wait = Duration::from_millis(settings.first_trial_ms);
    for _ in 0..3 {
        now += wait;
        assert!(is_held(&mut quarantine, now, request(1)), "not responsible for trials");
        assert_eq!(quarantine.admit(now, request(1), true), DispatchDecision::Trial);
        assert!(matches!(quarantine.admit(now, request(1), true), DispatchDecision::Held { .. }));
        wait *= settings.trial_factor;
    }
}

#[test]
fn retry_delay_is_not_before_the_next_trial() {
    let now = Time::from_millis(1_000);
    let mut quarantine = quarantine_holding_request_1(now);
    let first_trial = Duration::from_millis(QuarantineSettings::default().first_trial_ms);
    let wait = quarantine.remaining_hold(now, request(1)).expect("held back");
    assert!(wait >= first_trial && wait <= first_trial * 2, "{wait:?}");
    assert_eq!(quarantine.remaining_hold(now + first_trial, request(1)), None);
}

#[test]
fn suspected_requests_do_not_evict_held_ones() {
    let settings = QuarantineSettings { max_records: 8, ..QuarantineSettings::default() };
    let mut quarantine = Quarantine::new(settings, 1);
    let now = Time::from_millis(1_000);
    for number in 0..3 {
        quarantine.on_crash(now, request(0), &service(), endpoint(number));
    }
    for number in 1..1_000 {
        let now = now + Duration::from_millis(number);
        quarantine.on_crash(now, request(number), &service(), endpoint(number));
    }
    assert_eq!(quarantine.statuses(now).len(), 8);
    assert!(is_held(&mut quarantine, now, request(0)));
}

#[test]
fn old_records_expire() {
    let settings = QuarantineSettings::default();
    let mut quarantine = quarantine_holding_request_1(Time::ZERO);
    quarantine.on_crash(Time::ZERO, request(2), &service(), endpoint(1));
    let suspected = Time::from_millis(settings.suspect_ms);
    quarantine.on_gossip_round(suspected);
    assert!(!quarantine.is_tracked(request(2)) && quarantine.is_tracked(request(1)));
    quarantine.on_gossip_round(Time::from_millis(settings.forget_ms));
    assert!(quarantine.is_empty());
}

#[test]
fn largest_updates_fit_into_a_datagram() {
    let crashes = (0..8).map(|number| (endpoint(number), u8::MAX)).collect();
    let trials = u8::MAX;
    let update = CrashUpdate { request: request(1), generation: u32::MAX, crashes, trials };
    let updates = vec![update; MAX_UPDATES_PER_DATAGRAM];
    let bytes = postcard::to_stdvec(&(0x90_u8, u64::MAX, updates)).unwrap();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
}

/// Sends `updates` to `to` random VMs; some are lost, and answers are dropped.
fn gossip(
    vms: &mut [Quarantine],
    now: Time,
    rng: &mut Pcg64Mcg,
    to: usize,
    updates: &[CrashUpdate],
) {
    for target in (0..vms.len()).sample(rng, to) {
        if rng.random::<f64>() >= LOSS_RATE {
            updates.iter().for_each(|update| drop(vms[target].on_update(now, update)));
        }
    }
}

/// Returns the time until all VMs hold back a request of which three dispatchers have seen one
/// crash each.
fn spread_time(vm_count: usize, dispatchers: usize, seed: u64) -> Duration {
    let settings = QuarantineSettings::default();
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut vms: Vec<_> = (0..vm_count as u64).map(quarantine).collect();
    let start = Time::from_millis(1_000);
    for (number, vm) in vms.iter_mut().take(3).enumerate() {
        vm.on_crash(start, request(1), &service(), endpoint(number as u64));
    }
    let mut now = start;
    while now.since(start) < MAX_SPREAD_TIME * 2 {
        for sender in 0..vm_count {
            for batch in vms[sender].on_gossip_round(now) {
                match batch {
                    UpdateBatch::ForDispatchers { updates, .. } => {
                        gossip(&mut vms[..dispatchers], now, &mut rng, dispatchers, &updates);
                    }
                    UpdateBatch::ForRandomVms { count: to, updates } => {
                        gossip(&mut vms, now, &mut rng, to, &updates)
                    }
                }
            }
        }
        now += Duration::from_millis(settings.round_ms);
        if vms.iter_mut().all(|vm| is_held(vm, now, request(1))) {
            break;
        }
    }
    now.since(start)
}

#[test]
fn large_fleet_holds_a_request_in_time() {
    for (vm_count, dispatchers, seeds) in [(44, 6, 5), (293, 10, 5), (5_800, 34, 1)] {
        let slowest =
            (0..seeds).map(|seed| spread_time(vm_count, dispatchers, seed)).max().unwrap();
        assert!(slowest < MAX_SPREAD_TIME, "{vm_count} VMs: {slowest:?}");
    }
}

/// Event at one of the VMs.
#[derive(Clone, Copy, Debug)]
enum Step {
    Crash { vm: usize, endpoint: u64 },
    Answer { vm: usize },
    Trial { vm: usize },
    Exchange { from: usize, to: usize },
}

const VMS: usize = 3;

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let vm = usize::arbitrary(g) % VMS;
        match u8::arbitrary(g) % 8 {
            0..=3 => Step::Crash { vm, endpoint: u64::arbitrary(g) % 4 },
            4 => Step::Answer { vm },
            5 => Step::Trial { vm },
            _ => Step::Exchange { from: vm, to: usize::arbitrary(g) % VMS },
        }
    }
}

/// Sends all updates of `from` to `to`, and the newer states back.
fn exchange(vms: &mut [Quarantine], now: Time, from: usize, to: usize) {
    for update in vms[from].updates() {
        if let (_, Some(newer)) = vms[to].on_update(now, &update) {
            vms[from].on_update(now, &newer);
        }
    }
}

quickcheck! {
    fn vms_agree_after_exchanging_updates(steps: Vec<Step>) -> bool {
        let mut vms: Vec<_> = (0..VMS as u64).map(quarantine).collect();
        let mut now = Time::from_millis(1_000);
        for step in steps {
            now += Duration::from_millis(700);
            match step {
                Step::Crash { vm, endpoint: number } => {
                    vms[vm].on_crash(now, request(1), &service(), endpoint(number));
                }
                Step::Answer { vm } => {
                    vms[vm].on_answered(now, request(1), &service());
                }
                Step::Trial { vm } => {
                    vms[vm].admit(now + Duration::from_secs(100_000), request(1), true);
                }
                Step::Exchange { from, to } => exchange(&mut vms, now, from, to),
            }
        }
        for _ in 0..2 {
            for from in 0..VMS {
                (0..VMS).for_each(|to| exchange(&mut vms, now, from, to));
            }
        }
        let state = |vm: &Quarantine| -> Vec<CrashUpdate> {
            let mut updates = vm.updates();
            updates.retain(|update| !update.crashes.is_empty());
            updates.iter_mut().for_each(|update| update.crashes.sort_unstable());
            updates
        };
        vms.iter().all(|vm| state(vm) == state(&vms[0]))
    }
}
