//! Promises of the queue over the fleet under twice the load that the endpoints can serve, against
//! one queue with complete information and the same slots.

mod fleet_queue_support;

use std::time::Duration;

use fleet_queue_support::{Arrival, Fleet, FleetSettings, Record, START, oracle, served_share};
use pistachiotrack_core::request::Class;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Length of the overload of several classes.
const LOAD_TIME: Duration = Duration::from_secs(14);
/// Length of the overload's beginning that doesn't count: the service time isn't known yet.
const WARM_UP: Duration = Duration::from_secs(2);
/// Shares of the callers that use each VM if all kinds of callers use the same ones.
const VM_WEIGHTS: [f64; 6] = [0.35, 0.25, 0.15, 0.1, 0.1, 0.05];

/// A kind of request.
struct Kind {
    class: Class,
    service_ms: u64,
    time_ms: u64,
    /// Share of the requests.
    share: f64,
    /// Shares of its callers that use each VM.
    vm_weights: [f64; 6],
}

/// Returns arrivals of twice the load that the endpoints' slots can serve.
fn overload(kinds: &[Kind], slots: u32, load_time: Duration, seed: u64) -> Vec<Arrival> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mean_ms: f64 = kinds.iter().map(|kind| kind.share * kind.service_ms as f64).sum();
    let per_ms = 2.0 * f64::from(slots) / mean_ms;
    let mut arrivals = Vec::new();
    let mut at_ms = 0.0;
    while at_ms < load_time.as_millis() as f64 {
        at_ms += -(1.0 - rng.random::<f64>()).ln() / per_ms;
        let kind = choose(kinds.iter().map(|kind| kind.share), rng.random());
        let vary = rng.random_range(0.8..1.2);
        arrivals.push(Arrival {
            at: START + Duration::from_micros((at_ms * 1_000.0) as u64),
            vm: choose(kinds[kind].vm_weights.into_iter(), rng.random()),
            kind,
            class: kinds[kind].class,
            service: Duration::from_millis(kinds[kind].service_ms).mul_f64(vary),
            time: Duration::from_millis(kinds[kind].time_ms),
        });
    }
    arrivals
}

fn choose(shares: impl Iterator<Item = f64>, random: f64) -> usize {
    let mut left = random;
    let mut last = 0;
    for (index, share) in shares.enumerate() {
        last = index;
        if left < share {
            break;
        }
        left -= share;
    }
    last
}

fn run(settings: FleetSettings, arrivals: &[Arrival]) -> Vec<Record> {
    let mut fleet = Fleet::new(settings, arrivals);
    let last = arrivals.iter().map(|arrival| arrival.at + arrival.time).max().unwrap();
    fleet.run_until(last + Duration::from_secs(1));
    println!("{} updates without endpoints until {last:?}", fleet.bare_updates);
    fleet.records
}

fn is_counted(arrival: &Arrival) -> bool {
    arrival.at >= START + WARM_UP
}

fn classes(vm_weights: [[f64; 6]; 3]) -> [Kind; 3] {
    let kind = |class: Class, service_ms, time_ms, share| {
        let vm_weights = vm_weights[class as usize];
        Kind { class, service_ms, time_ms, share, vm_weights }
    };
    [
        kind(Class::Interactive, 200, 4_000, 0.3),
        kind(Class::Standard, 250, 4_500, 0.4),
        kind(Class::Batch, 300, 5_000, 0.3),
    ]
}

fn class_shares(records: &[Record]) -> Vec<f64> {
    let share = |class| served_share(records, |it| is_counted(it) && it.class == class);
    Class::ALL.into_iter().map(share).collect()
}

/// Checks the served shares of the classes against the oracle's.
fn check_classes(vm_weights: [[f64; 6]; 3], seeds: std::ops::RangeInclusive<u64>) {
    let mut faults = Vec::new();
    for seed in seeds {
        let arrivals = overload(&classes(vm_weights), 36, LOAD_TIME, seed);
        let best = class_shares(&oracle(&arrivals, 36));
        let settings = FleetSettings { seed, cut_off: Some(5), ..FleetSettings::default() };
        let off = FleetSettings { fleet_queue: false, ..settings.clone() };
        let off = class_shares(&run(off, &arrivals));
        let shares = class_shares(&run(settings, &arrivals));
        println!("seed {seed}: oracle {best:.3?} fleet queue {shares:.3?} without {off:.3?}");
        let is_ordered = shares.is_sorted_by(|urgent, other| urgent >= other);
        if shares[0] < best[0] - 0.02 || !is_ordered {
            faults.push((seed, shares, best));
        }
    }
    assert!(faults.is_empty(), "seed, shares and the oracle's: {faults:.3?}");
}

/// Six dispatchers with unequal numbers of callers order their own queues only. The busiest one
/// refuses urgent requests while the others serve batch requests from theirs.
#[test]
fn the_most_urgent_class_is_served_as_from_one_queue() {
    check_classes([VM_WEIGHTS; 3], 1..=3);
}

/// Most callers with urgent requests use one VM, and the others have batch requests queued. Each
/// VM that sees a free slot first would take it for its own request, so that the VM with the
/// urgent ones gets a sixth of the slots.
#[test]
fn urgent_requests_at_one_vm_precede_batch_requests_at_others() {
    let at_one = [0.8, 0.04, 0.04, 0.04, 0.04, 0.04];
    let at_others = [0.05, 0.25, 0.2, 0.2, 0.15, 0.15];
    check_classes([at_one, at_others, at_others], 1..=3);
}

/// Requests of one class differ in length and deadline. If their times left were compared, those
/// with short deadlines would always precede the others.
#[test]
fn kinds_of_one_class_are_served_equally() {
    // Lengths and deadlines of requests of the two deployments, and endpoints for a load that is
    // several times longer than the longest deadline.
    let deployments =
        [([(160, 4_000), (310, 5_000)], 12, 14), ([(160, 6_000), (540, 20_000)], 4, 60)];
    let mut differences = Vec::new();
    for (index, (deployment, endpoints, load_s)) in deployments.into_iter().enumerate() {
        for seed in 1..=2 {
            let kinds = deployment.map(|(service_ms, time_ms)| Kind {
                class: Class::Standard,
                service_ms,
                time_ms,
                share: 0.5,
                vm_weights: VM_WEIGHTS,
            });
            let arrivals = overload(&kinds, endpoints * 3, Duration::from_secs(load_s), seed);
            let shares = |records: &[Record]| {
                [0, 1].map(|kind| served_share(records, |it| is_counted(it) && it.kind == kind))
            };
            let best = shares(&oracle(&arrivals, endpoints as usize * 3));
            let settings =
                FleetSettings { seed, endpoints, cut_off: Some(5), ..FleetSettings::default() };
            let off = FleetSettings { fleet_queue: false, ..settings.clone() };
            let without = shares(&run(off, &arrivals));
            let found = shares(&run(settings, &arrivals));
            println!(
                "deployment {index} seed {seed}: oracle {best:.3?} fleet queue {found:.3?} \
                 without {without:.3?}"
            );
            differences.push((found[0] - found[1]).abs());
        }
    }
    assert!(differences.iter().all(|difference| *difference <= 0.05), "{differences:.3?}");
}
