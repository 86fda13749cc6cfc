//! Held retries under random loads.

mod held_retries_support;
mod shared_support;

use held_retries_support::{Fleet, Load, Refusing};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

#[derive(Clone, Debug)]
struct RandomLoad(Load);

impl Arbitrary for RandomLoad {
    fn arbitrary(g: &mut Gen) -> RandomLoad {
        let mut below = |bound: u64| u64::arbitrary(g) % bound;
        let begin_ms = below(12_000);
        let refusing = match below(2) {
            0 => Refusing::Percent(20 + below(80)),
            _ => Refusing::Beyond(1 + below(4) as u32),
        };
        RandomLoad(Load {
            dispatchers: 1 + below(6) as u32,
            endpoints: 2 + below(4) as u32,
            per_second: 20 + below(60),
            deadline_ms: 500 + below(15_000),
            refusing,
            episode_ms: (begin_ms, begin_ms + 1_000 + below(9_000)),
            arrivals_ms: 24_000,
            end_ms: 42_000,
            gone_percent: below(10),
            broken_percent: below(5),
            failed_percent: below(5),
            pause_ms: (below(2) == 0).then(|| 10_000 + below(10_000)),
            update_delay_ms: 1 + below(100),
            seed: below(u64::MAX),
        })
    }
}

fn run(RandomLoad(load): RandomLoad) -> TestResult {
    let fleet = Fleet::new(load).run();
    for (id, record) in &fleet.records {
        if record.ends != u32::from(!record.is_gone) {
            return TestResult::error(format!("request {id} has {} results", record.ends));
        }
        if !record.idempotent && record.runs > 1 {
            return TestResult::error(format!("request {id} ran {} times", record.runs));
        }
    }
    let held: u64 = fleet.vms.iter().map(|vm| vm.held_retries().held).sum();
    if held > 0 {
        return TestResult::error(format!("{held} requests are held at the end"));
    }
    match fleet.sent.excess() {
        excess if excess > 0.0 => TestResult::error(format!("{excess} retries over the limit")),
        _ => TestResult::passed(),
    }
}

/// No request is lost, gets two results or, unless it may, runs twice, and the retry limit is kept,
/// while callers leave, connections break, endpoints fail and a VM is paused.
#[test]
fn no_request_is_lost_or_run_twice_and_the_limit_is_kept() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 1))
        .tests(60)
        .quickcheck(run as fn(RandomLoad) -> TestResult);
}
