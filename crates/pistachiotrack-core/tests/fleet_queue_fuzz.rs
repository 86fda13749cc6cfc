//! Random arrivals, losses, pauses and partitions of several dispatchers with a queue over the
//! fleet.

mod fleet_queue_support;

use std::time::Duration;

use fleet_queue_support::{Arrival, Fleet, FleetSettings, MAX_UNUSED, START};
use pistachiotrack_core::request::Class;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

const VMS: usize = 4;

#[derive(Clone, Debug)]
enum Step {
    Requests { vm: u8, class: u8, count: u8, service_ms: u8, time_ms: u16 },
    Wait { ms: u8 },
    Pause { vm: u8, ms: u16 },
    Partition { groups: u8 },
    Loss { percent: u8 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 32 {
            0..=15 => Step::Requests {
                vm: u8::arbitrary(g),
                class: u8::arbitrary(g),
                count: u8::arbitrary(g) % 16,
                service_ms: u8::arbitrary(g),
                time_ms: u16::arbitrary(g) % 3_000,
            },
            16..=27 => Step::Wait { ms: u8::arbitrary(g) },
            28 | 29 => Step::Pause { vm: u8::arbitrary(g), ms: u16::arbitrary(g) % 2_000 },
            30 => Step::Partition { groups: u8::arbitrary(g) },
            _ => Step::Loss { percent: u8::arbitrary(g) % 60 },
        }
    }
}

fn arrivals(steps: &[Step]) -> Vec<Arrival> {
    let mut at = START;
    let mut arrivals = Vec::new();
    for step in steps {
        match *step {
            Step::Requests { vm, class, count, service_ms, time_ms } => {
                let arrival = Arrival {
                    at,
                    vm: usize::from(vm) % VMS,
                    kind: 0,
                    class: Class::ALL[usize::from(class) % Class::ALL.len()],
                    service: Duration::from_millis(10 + u64::from(service_ms)),
                    time: Duration::from_millis(100 + u64::from(time_ms)),
                };
                arrivals.extend((0..count).map(|_| arrival));
            }
            Step::Wait { ms } => at += Duration::from_millis(u64::from(ms)),
            _ => {}
        }
    }
    arrivals
}

fn run_history(steps: Vec<Step>) -> TestResult {
    let settings =
        FleetSettings { vms: VMS, endpoints: 3, slots: 2, loss: 0.1, ..FleetSettings::default() };
    let mut fleet = Fleet::new(settings, &arrivals(&steps));
    let mut at = START;
    for step in &steps {
        match *step {
            Step::Requests { .. } => {}
            Step::Wait { ms } => {
                at += Duration::from_millis(u64::from(ms));
                fleet.run_until(at);
            }
            Step::Pause { vm, ms } => {
                fleet.pause(usize::from(vm) % VMS, Duration::from_millis(u64::from(ms)));
            }
            Step::Partition { groups } => {
                (0..VMS).for_each(|vm| fleet.group[vm] = groups >> vm & 1);
            }
            Step::Loss { percent } => fleet.settings.loss = f64::from(percent) / 100.0,
        }
    }
    fleet.run_until(at + Duration::from_secs(10));
    for record in &fleet.records {
        if record.finals != 1 || record.runs > 1 {
            return TestResult::error(format!("{record:?}"));
        }
    }
    if fleet.longest_unused > MAX_UNUSED {
        return TestResult::error(format!("a slot was unused for {:?}", fleet.longest_unused));
    }
    TestResult::passed()
}

/// A slot that is left to a peer is lost if the peer doesn't use it: it has died, is paused, or
/// its summary is late. A request must neither be forgotten nor be run twice meanwhile.
#[test]
fn no_request_is_lost_or_run_twice_and_no_slot_stays_unused() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 0xf1ee_7c0e))
        .tests(200)
        .max_tests(200)
        .quickcheck(run_history as fn(Vec<Step>) -> TestResult);
}
