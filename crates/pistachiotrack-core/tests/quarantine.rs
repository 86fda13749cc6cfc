//! Requests that crash endpoints, as several VMs see them in logical time.

use std::time::Duration;

use pistachiotrack_core::{
    fingerprint::Fingerprint,
    message::MAX_DATAGRAM_BYTES,
    name::Name,
    quarantine::{
        Admission, Change, CrashNote, MAX_NOTES, Quarantine, QuarantineSettings, Telling,
    },
    shard::EndpointKey,
    time::Time,
};
use quickcheck::{Arbitrary, Gen, quickcheck};
use rand::{RngExt, SeedableRng, seq::IteratorRandom};
use rand_pcg::Pcg64Mcg;

/// Time in which all VMs have to know that a request is held back.
const SPREAD: Duration = Duration::from_secs(3);
/// Part of the datagrams that are lost.
const LOSS: f64 = 0.05;

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

/// Returns a quarantine that holds back request 1 since `now`.
fn holding(now: Time) -> Quarantine {
    let mut quarantine = quarantine(1);
    for number in 0..3 {
        quarantine.on_crash(now, request(1), &service(), endpoint(number));
    }
    quarantine
}

fn is_held(quarantine: &mut Quarantine, now: Time, request: Fingerprint) -> bool {
    matches!(quarantine.admit(now, request, false), Admission::Held { .. })
}

/// Returns all notes that are due in a round.
fn notes(quarantine: &mut Quarantine, now: Time) -> Vec<CrashNote> {
    let tellings = quarantine.on_round(now).into_iter();
    tellings
        .flat_map(|telling| match telling {
            Telling::Dispatchers { notes, .. } | Telling::Some { notes, .. } => notes,
        })
        .collect()
}

#[test]
fn a_request_is_held_back_from_the_third_crash_on() {
    let mut quarantine = quarantine(1);
    let now = Time::from_millis(5_000);
    let mut crash = |number| quarantine.on_crash(now, request(1), &service(), endpoint(number));
    assert_eq!(crash(1), Some(Change::Suspected { crashes: 1 }));
    assert_eq!(crash(1), None, "the same crash, seen by another of its requests");
    assert_eq!(crash(2), Some(Change::Suspected { crashes: 2 }));
    assert_eq!(crash(3), Some(Change::Held { crashes: 3 }));
    assert!(is_held(&mut quarantine, now, request(1)));
    assert!(!is_held(&mut quarantine, now, request(2)));
}

#[test]
fn an_endpoint_that_starts_again_under_its_name_counts_again() {
    let mut quarantine = quarantine(1);
    for second in 0..3 {
        let now = Time::from_millis(2_000 * second);
        quarantine.on_crash(now, request(1), &service(), endpoint(1));
    }
    assert!(is_held(&mut quarantine, Time::from_millis(4_000), request(1)));
}

#[test]
fn a_whole_answer_clears_a_request_on_vms_that_hold_it_back() {
    let now = Time::from_millis(1_000);
    let (mut one, mut other) = (holding(now), holding(now));
    assert_eq!(one.on_answered(now, request(1), &service()), Some(Change::Cleared));
    for note in notes(&mut one, now) {
        assert_eq!(other.on_note(now, &note).0, Some(Change::Cleared));
    }
    assert!(!is_held(&mut other, now, request(1)));
}

#[test]
fn a_vm_that_missed_a_clearance_is_told_when_it_tells_of_the_crashes() {
    let now = Time::from_millis(1_000);
    let (mut cleared, mut behind) = (holding(now), holding(now));
    cleared.on_answered(now, request(1), &service());
    for note in notes(&mut behind, now) {
        let (change, newer) = cleared.on_note(now, &note);
        assert_eq!(change, None);
        behind.on_note(now, &newer.expect("what the other VM lacks"));
    }
    assert!(!is_held(&mut behind, now, request(1)));
}

#[test]
fn trials_are_up_to_one_vm_and_each_is_waited_for_longer() {
    let settings = QuarantineSettings::default();
    let mut now = Time::from_millis(1_000);
    let mut quarantine = holding(now);
    let mut wait = Duration::from_millis(settings.first_trial_ms);
    for _ in 0..3 {
        now += wait;
        assert!(is_held(&mut quarantine, now, request(1)), "not up to this VM");
        assert_eq!(quarantine.admit(now, request(1), true), Admission::Trial);
        assert!(matches!(quarantine.admit(now, request(1), true), Admission::Held { .. }));
        wait *= settings.trial_factor;
    }
}

#[test]
fn a_held_request_is_told_when_its_next_trial_is_due_at_the_earliest() {
    let now = Time::from_millis(1_000);
    let mut quarantine = holding(now);
    let first_trial = Duration::from_millis(QuarantineSettings::default().first_trial_ms);
    let wait = quarantine.held_for(now, request(1)).expect("held back");
    assert!(wait >= first_trial && wait <= first_trial * 2, "{wait:?}");
    assert_eq!(quarantine.held_for(now + first_trial, request(1)), None);
}

#[test]
fn many_requests_under_which_endpoints_end_push_out_no_held_one() {
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
fn what_is_old_is_forgotten() {
    let settings = QuarantineSettings::default();
    let mut quarantine = holding(Time::ZERO);
    quarantine.on_crash(Time::ZERO, request(2), &service(), endpoint(1));
    let suspected = Time::from_millis(settings.suspect_ms);
    quarantine.on_round(suspected);
    assert!(!quarantine.knows(request(2)) && quarantine.knows(request(1)));
    quarantine.on_round(Time::from_millis(settings.forget_ms));
    assert!(quarantine.is_empty());
}

#[test]
fn as_many_notes_as_travel_together_fit_into_a_datagram() {
    let crashes = (0..8).map(|number| (endpoint(number), u8::MAX)).collect();
    let trials = u8::MAX;
    let note = CrashNote { request: request(1), generation: u32::MAX, crashes, trials };
    let notes = vec![note; MAX_NOTES];
    let bytes = postcard::to_stdvec(&(0x90_u8, u64::MAX, notes)).unwrap();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
}

/// Sends `notes` to random VMs, some in vain, and returns the answers to those who are behind.
fn tell(vms: &mut [Quarantine], now: Time, rng: &mut Pcg64Mcg, to: usize, notes: &[CrashNote]) {
    for target in (0..vms.len()).sample(rng, to) {
        if rng.random::<f64>() >= LOSS {
            notes.iter().for_each(|note| drop(vms[target].on_note(now, note)));
        }
    }
}

/// Returns the time until all VMs of a fleet hold a request back whose crashes three of its
/// dispatchers saw, one each.
fn spread(vm_count: usize, dispatchers: usize, seed: u64) -> Duration {
    let settings = QuarantineSettings::default();
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut vms: Vec<_> = (0..vm_count as u64).map(quarantine).collect();
    let begun = Time::from_millis(1_000);
    for (number, vm) in vms.iter_mut().take(3).enumerate() {
        vm.on_crash(begun, request(1), &service(), endpoint(number as u64));
    }
    let mut now = begun;
    while now.since(begun) < SPREAD * 2 {
        for teller in 0..vm_count {
            for telling in vms[teller].on_round(now) {
                match telling {
                    Telling::Dispatchers { notes, .. } => {
                        tell(&mut vms[..dispatchers], now, &mut rng, dispatchers, &notes);
                    }
                    Telling::Some { vms: to, notes } => tell(&mut vms, now, &mut rng, to, &notes),
                }
            }
        }
        now += Duration::from_millis(settings.round_ms);
        if vms.iter_mut().all(|vm| is_held(vm, now, request(1))) {
            break;
        }
    }
    now.since(begun)
}

#[test]
fn all_vms_of_a_large_fleet_hold_a_request_back_in_time() {
    for (vm_count, dispatchers, seeds) in [(44, 6, 5), (293, 10, 5), (5_800, 34, 1)] {
        let slowest = (0..seeds).map(|seed| spread(vm_count, dispatchers, seed)).max().unwrap();
        assert!(slowest < SPREAD, "{vm_count} VMs: {slowest:?}");
    }
}

/// Something that happens at one of the VMs.
#[derive(Clone, Copy, Debug)]
enum Step {
    Crash { vm: usize, endpoint: u64 },
    Answer { vm: usize },
    Trial { vm: usize },
    Tell { from: usize, to: usize },
}

const VMS: usize = 3;

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let vm = usize::arbitrary(g) % VMS;
        match u8::arbitrary(g) % 8 {
            0..=3 => Step::Crash { vm, endpoint: u64::arbitrary(g) % 4 },
            4 => Step::Answer { vm },
            5 => Step::Trial { vm },
            _ => Step::Tell { from: vm, to: usize::arbitrary(g) % VMS },
        }
    }
}

/// Tells `to` all that `from` knows, and takes the answer.
fn exchange(vms: &mut [Quarantine], now: Time, from: usize, to: usize) {
    for note in vms[from].notes() {
        if let (_, Some(newer)) = vms[to].on_note(now, &note) {
            vms[from].on_note(now, &newer);
        }
    }
}

quickcheck! {
    fn vms_that_told_each_other_all_agree(steps: Vec<Step>) -> bool {
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
                Step::Tell { from, to } => exchange(&mut vms, now, from, to),
            }
        }
        for _ in 0..2 {
            for from in 0..VMS {
                (0..VMS).for_each(|to| exchange(&mut vms, now, from, to));
            }
        }
        let state = |vm: &Quarantine| -> Vec<CrashNote> {
            let mut notes = vm.notes();
            notes.retain(|note| !note.crashes.is_empty());
            notes.iter_mut().for_each(|note| note.crashes.sort_unstable());
            notes
        };
        vms.iter().all(|vm| state(vm) == state(&vms[0]))
    }
}
