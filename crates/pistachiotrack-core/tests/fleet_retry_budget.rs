//! A limit of retries that the dispatchers of a service keep together.

use std::{collections::VecDeque, time::Duration};

use pistachiotrack_core::{
    name::Name,
    retry::{CumulativeCounts, FleetRetryBudget, VisibleDispatchers},
    service::RetryLimit,
    time::Time,
};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const LIMIT: RetryLimit = RetryLimit { ratio: 0.2, slack: 62, window_ms: 10_000 };
const VMS: usize = 20;
const DISPATCHERS: usize = 6;
const STEP_MS: u64 = 10;
const STEPS: u64 = 5_000;
const START: Time = Time::from_millis(1_000_000);

/// What happens in one run.
#[derive(Clone, Debug)]
struct Run {
    seed: u64,
    requests_percent: u32,
    failed_percent: u32,
    lost_percent: u32,
    /// Time that news are on their way.
    late_ms: u64,
    /// Steps at which all VMs restart, more than a window apart.
    restarts: Vec<u64>,
    /// Steps at which one VM ceases to be a dispatcher and another becomes one.
    changes: Vec<u64>,
}

impl Arbitrary for Run {
    fn arbitrary(g: &mut Gen) -> Run {
        let below = |g: &mut Gen, bound: u64| u64::arbitrary(g) % bound;
        let first = below(g, STEPS);
        Run {
            seed: u64::arbitrary(g),
            requests_percent: 5 + below(g, 95) as u32,
            failed_percent: below(g, 101) as u32,
            lost_percent: below(g, 30) as u32,
            late_ms: 0,
            restarts: vec![first, first + 1_500],
            changes: (0..below(g, 8)).map(|_| below(g, STEPS)).collect(),
        }
    }
}

/// The VMs of a deployment, of which the members of `dispatchers` dispatch.
struct Fleet {
    budgets: Vec<FleetRetryBudget>,
    dispatchers: Vec<usize>,
    rng: Pcg32,
    lost_percent: u32,
    counts: u32,
    late_ms: u64,
    on_the_way: VecDeque<News>,
    sent: Vec<(Time, bool)>,
}

/// What a VM tells another, and when it arrives.
struct News {
    at: Time,
    from: Name,
    to: usize,
    total: CumulativeCounts,
}

impl Fleet {
    fn new(now: Time, run: &Run) -> Fleet {
        let mut fleet = Fleet {
            budgets: Vec::new(),
            dispatchers: (0..DISPATCHERS).collect(),
            rng: Pcg32::seed_from_u64(run.seed),
            lost_percent: run.lost_percent,
            counts: 0,
            late_ms: run.late_ms,
            on_the_way: VecDeque::new(),
            sent: Vec::new(),
        };
        fleet.restart(now);
        fleet
    }

    fn restart(&mut self, now: Time) {
        self.budgets.clear();
        for vm in 0..VMS {
            self.counts += 1;
            let mut budget = FleetRetryBudget::new(now, LIMIT, DISPATCHERS as u32, self.counts);
            budget.set_visible_dispatchers(now, self.view_of(vm));
            self.budgets.push(budget);
        }
    }

    fn view_of(&self, vm: usize) -> VisibleDispatchers {
        let count = self.dispatchers.len() as u32;
        VisibleDispatchers { count, is_member: self.dispatchers.contains(&vm) }
    }

    fn happens(&mut self, percent: u32) -> bool {
        self.rng.next_u32() % 100 < percent
    }

    /// Replaces a dispatcher by another VM, which asks a third for a picture.
    fn change(&mut self, now: Time) {
        let place = self.rng.next_u32() as usize % DISPATCHERS;
        let new = (0..VMS).find(|vm| !self.dispatchers.contains(vm)).unwrap();
        self.dispatchers[place] = new;
        for vm in 0..VMS {
            let view = self.view_of(vm);
            self.budgets[vm].set_visible_dispatchers(now, view);
        }
        let asked = self.dispatchers[(place + 1) % DISPATCHERS];
        if !self.happens(self.lost_percent) {
            let history = self.budgets[asked].history(now);
            self.budgets[new].on_history(now, &history);
        }
    }

    /// Takes in a request, and sends it once more if it fails.
    fn serve(&mut self, now: Time, failed_percent: u32) {
        let is_old_address = self.happens(10);
        let draw = self.rng.next_u32() as usize;
        let vm = match is_old_address {
            true => draw % VMS,
            false => self.dispatchers[draw % DISPATCHERS],
        };
        self.budgets[vm].on_request(now);
        self.sent.push((now, false));
        if self.happens(failed_percent) && self.budgets[vm].take(now) {
            self.sent.push((now, true));
        }
        let (from, total) = (Name::from(format!("vm-{vm}")), self.budgets[vm].total());
        for to in self.dispatchers.clone() {
            if to != vm && !self.happens(self.lost_percent) {
                let at = now + Duration::from_millis(self.late_ms);
                self.on_the_way.push_back(News { at, from: from.clone(), to, total });
            }
        }
        self.deliver(now);
    }

    fn deliver(&mut self, now: Time) {
        while self.on_the_way.front().is_some_and(|news| news.at <= now) {
            let Some(News { from, to, total, .. }) = self.on_the_way.pop_front() else { return };
            self.budgets[to].on_peer_counts(now, &from, total);
        }
    }

    /// Returns by how much the limit was exceeded in the worst window.
    fn excess(&self) -> f64 {
        let window = Duration::from_millis(LIMIT.window_ms);
        let mut worst = f64::MIN;
        for (index, (from, _)) in self.sent.iter().enumerate() {
            let in_window =
                self.sent[index..].iter().take_while(|(at, _)| at.since(*from) < window);
            let (mut requests, mut retries) = (0.0, 0.0);
            for (_, is_retry) in in_window {
                if *is_retry { retries += 1.0 } else { requests += 1.0 }
            }
            worst = worst.max(retries - LIMIT.ratio * requests - f64::from(LIMIT.slack));
        }
        worst
    }

    fn retries(&self) -> usize {
        self.sent.iter().filter(|(_, is_retry)| *is_retry).count()
    }
}

fn play(run: &Run) -> Fleet {
    let mut fleet = Fleet::new(START, run);
    for step in 0..STEPS {
        let now = START + Duration::from_millis(step * STEP_MS);
        if run.restarts.contains(&step) {
            fleet.restart(now);
        }
        if run.changes.contains(&step) {
            fleet.change(now);
        }
        if fleet.happens(run.requests_percent) {
            fleet.serve(now, run.failed_percent);
        }
    }
    fleet
}

/// Endpoints fail while VMs restart, change places and lose what they tell each
/// other. In no window may all of them together send more retries than allowed.
#[test]
fn all_vms_together_stay_within_the_limit() {
    fn property(run: Run) -> TestResult {
        match play(&run).excess() {
            excess if excess <= 0.0 => TestResult::passed(),
            excess => TestResult::error(format!("{excess:.1} retries too many in {run:?}")),
        }
    }
    let rng = Gen::from_size_and_seed(40, 23);
    QuickCheck::new().rng(rng).tests(60).quickcheck(property as fn(Run) -> TestResult);
}

/// All endpoints refuse six of ten bookings, and the links of the VMs are so full that
/// what they tell each other is 0.4 s on its way. Each VM takes what it believes
/// to be left, and together they send more retries than allowed.
#[test]
fn late_news_don_t_lead_to_too_many_retries() {
    for seed in 0..20 {
        let run = Run {
            seed,
            requests_percent: 100,
            failed_percent: 60,
            lost_percent: 5,
            late_ms: 400,
            restarts: Vec::new(),
            changes: Vec::new(),
        };
        let fleet = play(&run);
        assert!(fleet.excess() <= 0.0, "{:.1} retries too many, seed {seed}", fleet.excess());
    }
}

/// Half of all requests fail for a minute. Most of what is allowed must be used, as
/// each retry that isn't sent is a request that is lost.
#[test]
fn most_of_the_limit_can_be_used() {
    let run = Run {
        seed: 1,
        requests_percent: 60,
        failed_percent: 50,
        lost_percent: 0,
        late_ms: 0,
        restarts: Vec::new(),
        changes: Vec::new(),
    };
    let fleet = play(&run);
    let requests = fleet.sent.len() - fleet.retries();
    let windows = (STEPS * STEP_MS) as f64 / LIMIT.window_ms as f64;
    let allowed = LIMIT.ratio * requests as f64 + f64::from(LIMIT.slack) * windows;
    let used = fleet.retries() as f64 / allowed;
    assert!(used > 0.7, "{used:.2} of the allowed retries were used");
}

/// A booking service fails at one VM only, by a cut of its own paths. What the other
/// dispatchers don't need is there for it: it isn't held to a sixth.
#[test]
fn one_dispatcher_may_use_what_the_others_leave() {
    let informed = START + Duration::from_millis(LIMIT.window_ms);
    let mut budget = FleetRetryBudget::new(START, LIMIT, DISPATCHERS as u32, 1);
    budget.set_visible_dispatchers(
        START,
        VisibleDispatchers { count: DISPATCHERS as u32, is_member: true },
    );
    let taken = (0..100).take_while(|_| budget.take(informed)).count();
    assert!(taken > LIMIT.slack as usize / 2, "{taken} retries");
}

/// A network partition leaves a VM alone, and it takes itself for the only dispatcher.
/// The others use the limit too, so that it may only use its own part.
#[test]
fn a_dispatcher_that_is_alone_uses_its_part() {
    let informed = START + Duration::from_millis(LIMIT.window_ms);
    let mut budget = FleetRetryBudget::new(START, LIMIT, DISPATCHERS as u32, 1);
    budget.set_visible_dispatchers(START, VisibleDispatchers { count: 1, is_member: true });
    let taken = (0..100).take_while(|_| budget.take(informed)).count();
    assert!(taken <= LIMIT.slack as usize / DISPATCHERS, "{taken} retries");
}

/// A hedge only saves time. While endpoints fail, it must leave retries to requests
/// that would be lost without.
#[test]
fn hedges_leave_half_to_retries_that_save_a_request() {
    let informed = START + Duration::from_millis(LIMIT.window_ms);
    let mut budget = FleetRetryBudget::new(START, LIMIT, DISPATCHERS as u32, 1);
    budget.set_visible_dispatchers(
        START,
        VisibleDispatchers { count: DISPATCHERS as u32, is_member: true },
    );
    let hedges = (0..100).take_while(|_| budget.take_for_hedge(informed)).count();
    let retries = (0..100).take_while(|_| budget.take(informed)).count();
    assert!(hedges > 0 && retries >= hedges, "{hedges} hedges, {retries} retries");
}
