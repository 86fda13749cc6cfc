//! Retry limit that is shared by the dispatchers of a service.

use std::{collections::VecDeque, time::Duration};

use pistachiotrack_core::{
    name::Name,
    retry::{
        FleetRetryBudget, PriorRetries, RetryRights, RightsGrant, RightsRequest, VisibleDispatchers,
    },
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

/// Parameters of one simulated run.
#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    requests_percent: u32,
    failed_percent: u32,
    lost_percent: u32,
    /// Delay of an update.
    delay_ms: u64,
    /// Steps at which all VMs restart, more than a window apart.
    restarts: Vec<u64>,
    /// Steps at which another VM replaces a dispatcher.
    replacements: Vec<u64>,
    partition: Option<Partition>,
}

/// Some dispatchers lose their links to all other VMs, while callers and endpoints reach them.
#[derive(Clone, Copy, Debug)]
struct Partition {
    from_step: u64,
    until_step: u64,
    /// Number of dispatchers that are partitioned off, each on its own.
    dispatchers: usize,
}

/// Steps after which the VMs notice a partition or its end.
const DETECTION_STEPS: u64 = 200;

impl Partition {
    fn holds_at(&self, step: u64) -> bool {
        (self.from_step..self.until_step).contains(&step)
    }

    fn separates(&self, a: usize, b: usize) -> bool {
        a != b && (a < self.dispatchers || b < self.dispatchers)
    }
}

impl Arbitrary for Scenario {
    fn arbitrary(g: &mut Gen) -> Scenario {
        let below = |g: &mut Gen, bound: u64| u64::arbitrary(g) % bound;
        let first = below(g, STEPS);
        Scenario {
            seed: u64::arbitrary(g),
            requests_percent: 5 + below(g, 95) as u32,
            failed_percent: below(g, 101) as u32,
            lost_percent: below(g, 30) as u32,
            delay_ms: 0,
            restarts: vec![first, first + 1_500],
            replacements: (0..below(g, 8)).map(|_| below(g, STEPS)).collect(),
            partition: None,
        }
    }
}

/// The VMs of a deployment; those in `dispatchers` are dispatchers.
struct Fleet {
    budgets: Vec<FleetRetryBudget>,
    dispatchers: Vec<usize>,
    rng: Pcg32,
    lost_percent: u32,
    next_request_id: u32,
    delay_ms: u64,
    in_transit: VecDeque<Datagram>,
    sent: Vec<(Time, bool)>,
    /// The partition, while it holds.
    partition: Option<Partition>,
}

/// Datagram from one VM to another, with its arrival time.
struct Datagram {
    at: Time,
    from: usize,
    to: usize,
    content: Content,
}

enum Content {
    Spare(RetryRights),
    Request(RightsRequest),
    Grant(RightsGrant),
}

fn name(vm: usize) -> Name {
    Name::from(format!("vm-{vm}"))
}

impl Fleet {
    fn new(now: Time, scenario: &Scenario) -> Fleet {
        let mut fleet = Fleet {
            budgets: Vec::new(),
            dispatchers: (0..DISPATCHERS).collect(),
            rng: Pcg32::seed_from_u64(scenario.seed),
            lost_percent: scenario.lost_percent,
            next_request_id: 0,
            delay_ms: scenario.delay_ms,
            in_transit: VecDeque::new(),
            sent: Vec::new(),
            partition: None,
        };
        fleet.start(now, PriorRetries::None);
        fleet
    }

    fn start(&mut self, now: Time, prior: PriorRetries) {
        self.budgets.clear();
        for vm in 0..VMS {
            self.next_request_id += 1_000;
            let (dispatchers, id) = (DISPATCHERS as u32, self.next_request_id);
            let mut budget = FleetRetryBudget::new(now, LIMIT, dispatchers, id, prior);
            budget.set_visible_dispatchers(now, self.visible_to(vm));
            self.budgets.push(budget);
        }
    }

    fn visible_to(&self, vm: usize) -> VisibleDispatchers {
        let count = self.dispatchers.len() as u32;
        VisibleDispatchers {
            count,
            is_member: self.dispatchers.contains(&vm),
            ..VisibleDispatchers::default()
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.next_u32() % 100 < percent
    }

    /// Replaces a dispatcher by another VM.
    fn replace_dispatcher(&mut self, now: Time) {
        let index = self.rng.next_u32() as usize % DISPATCHERS;
        let new = (0..VMS).find(|vm| !self.dispatchers.contains(vm)).unwrap();
        self.dispatchers[index] = new;
        for vm in 0..VMS {
            let visible = self.visible_to(vm);
            self.budgets[vm].set_visible_dispatchers(now, visible);
        }
    }

    /// Sets what the VMs see of each other after they have noticed a partition: each VM that is cut
    /// off sees only itself, and the others replace it.
    fn detect_partition(&mut self, now: Time, partition: Partition) {
        for vm in 0..partition.dispatchers {
            let visible =
                VisibleDispatchers { count: 1, is_member: true, ..VisibleDispatchers::default() };
            self.budgets[vm].set_visible_dispatchers(now, visible);
        }
        let count = DISPATCHERS as u32;
        for new in DISPATCHERS..DISPATCHERS + partition.dispatchers {
            let visible =
                VisibleDispatchers { count, is_member: true, ..VisibleDispatchers::default() };
            self.budgets[new].set_visible_dispatchers(now, visible);
            self.dispatchers.push(new);
        }
    }

    /// Sets what the VMs see of each other after they have noticed the end of a partition.
    fn detect_end(&mut self, now: Time) {
        self.dispatchers = (0..DISPATCHERS).collect();
        for vm in 0..VMS {
            let visible = self.visible_to(vm);
            self.budgets[vm].set_visible_dispatchers(now, visible);
        }
    }

    /// Sends a request, and retries it if it fails.
    fn serve(&mut self, now: Time, failed_percent: u32) {
        let is_stale_address = self.chance(10);
        let draw = self.rng.next_u32() as usize;
        let vm = match is_stale_address {
            true => draw % VMS,
            false => self.dispatchers[draw % self.dispatchers.len()],
        };
        self.budgets[vm].on_request(now);
        self.sent.push((now, false));
        if self.chance(failed_percent) && self.budgets[vm].take(now) {
            self.sent.push((now, true));
        }
        self.report(now, vm);
    }

    /// Sends a request at a VM whose endpoints fail it each time.
    fn fail(&mut self, now: Time, vm: usize) {
        self.budgets[vm].on_request(now);
        self.sent.push((now, false));
        for _ in 0..4 {
            if self.budgets[vm].take(now) {
                self.sent.push((now, true));
            }
            self.report(now, vm);
        }
    }

    /// Sends what a VM tells the others after each event.
    fn report(&mut self, now: Time, vm: usize) {
        for (to, request) in self.budgets[vm].rights_requests(now, 0) {
            let to = (0..VMS).find(|other| name(*other) == to).unwrap();
            self.send(now, vm, to, Content::Request(request));
        }
        let spare = self.budgets[vm].spare(now);
        for to in self.dispatchers.clone() {
            self.send(now, vm, to, Content::Spare(spare));
        }
        self.deliver(now);
    }

    fn send(&mut self, now: Time, from: usize, to: usize, content: Content) {
        let is_cut = self.partition.is_some_and(|partition| partition.separates(from, to));
        if to != from && !is_cut && !self.chance(self.lost_percent) {
            let at = now + Duration::from_millis(self.delay_ms);
            self.in_transit.push_back(Datagram { at, from, to, content });
        }
    }

    fn deliver(&mut self, now: Time) {
        while self.in_transit.front().is_some_and(|datagram| datagram.at <= now) {
            let Some(Datagram { from, to, content, .. }) = self.in_transit.pop_front() else {
                return;
            };
            match content {
                Content::Spare(spare) => self.budgets[to].on_peer_spare(now, &name(from), spare),
                Content::Request(request) => {
                    let grant = self.budgets[to].on_rights_request(now, request);
                    self.send(now, to, from, Content::Grant(grant));
                }
                Content::Grant(grant) => self.budgets[to].on_rights_grant(now, grant),
            }
        }
    }

    /// Returns by how much the limit was exceeded in the worst window that ends within the run.
    /// The requests of a later window have not been sent yet.
    fn excess(&self) -> f64 {
        let window = Duration::from_millis(LIMIT.window_ms);
        let end = START + Duration::from_millis(STEPS * STEP_MS);
        let mut worst = f64::MIN;
        let begins = self.sent.iter().take_while(|(from, _)| *from + window <= end);
        for (index, (from, _)) in begins.enumerate() {
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

/// Returns a scenario in which nothing happens.
fn calm() -> Scenario {
    Scenario {
        seed: 1,
        requests_percent: 60,
        failed_percent: 0,
        lost_percent: 0,
        delay_ms: 0,
        restarts: Vec::new(),
        replacements: Vec::new(),
        partition: None,
    }
}

fn simulate(scenario: &Scenario) -> Fleet {
    let mut fleet = Fleet::new(START, scenario);
    for step in 0..STEPS {
        let now = START + Duration::from_millis(step * STEP_MS);
        if scenario.restarts.contains(&step) {
            fleet.start(now, PriorRetries::Unknown);
        }
        if scenario.replacements.contains(&step) {
            fleet.replace_dispatcher(now);
        }
        if let Some(partition) = scenario.partition {
            fleet.partition = Some(partition).filter(|partition| partition.holds_at(step));
            if step == partition.from_step + DETECTION_STEPS {
                fleet.detect_partition(now, partition);
            } else if step == partition.until_step + DETECTION_STEPS {
                fleet.detect_end(now);
            }
        }
        let is_calm = scenario.partition.is_some_and(|partition| step < partition.from_step);
        if fleet.chance(scenario.requests_percent) {
            fleet.serve(now, if is_calm { 0 } else { scenario.failed_percent });
        }
    }
    fleet
}

/// Property: while endpoints fail, VMs restart and replace each other, and updates are lost, all
/// VMs together never send more retries in a window than allowed.
#[test]
fn all_vms_together_stay_within_the_limit() {
    fn property(scenario: Scenario) -> TestResult {
        match simulate(&scenario).excess() {
            excess if excess <= 0.0 => TestResult::passed(),
            excess => TestResult::error(format!("{excess:.1} retries too many in {scenario:?}")),
        }
    }
    let rng = Gen::from_size_and_seed(40, 23);
    QuickCheck::new().rng(rng).tests(60).quickcheck(property as fn(Scenario) -> TestResult);
}

/// Endpoints fail 60 % of the requests, and updates take 0.4 s because links are saturated. Each VM
/// would take the retries that remain by its outdated counts, and together they would exceed the
/// limit.
#[test]
fn delayed_updates_do_not_exceed_the_limit() {
    for seed in 0..20 {
        let scenario = Scenario {
            seed,
            requests_percent: 100,
            failed_percent: 60,
            lost_percent: 5,
            delay_ms: 400,
            restarts: Vec::new(),
            replacements: Vec::new(),
            partition: None,
        };
        let fleet = simulate(&scenario);
        assert!(fleet.excess() <= 0.0, "{:.1} retries too many, seed {seed}", fleet.excess());
    }
}

/// Half of all requests fail for 50 s. Most of the allowed retries must be used, as each retry that isn't
/// sent is a failed request.
#[test]
fn most_of_the_limit_can_be_used() {
    let fleet = simulate(&Scenario { failed_percent: 50, ..calm() });
    let requests = fleet.sent.len() - fleet.retries();
    let windows = (STEPS * STEP_MS) as f64 / LIMIT.window_ms as f64;
    let allowed = LIMIT.ratio * requests as f64 + f64::from(LIMIT.slack) * windows;
    let used = fleet.retries() as f64 / allowed;
    assert!(used > 0.7, "{used:.2} of the allowed retries were used");
}

/// Only one VM needs retries, because its network paths are broken. It may use what the other
/// dispatchers don't need and isn't limited to a sixth.
#[test]
fn one_dispatcher_may_use_retries_not_needed_by_others() {
    let window_known = START + Duration::from_millis(LIMIT.window_ms);
    let mut fleet = Fleet::new(START, &calm());
    let mut taken = 0;
    for step in 0..100 {
        let now = window_known + Duration::from_millis(step * STEP_MS);
        for vm in 0..DISPATCHERS {
            taken += usize::from(vm == 0 && fleet.budgets[vm].take(now));
            fleet.report(now, vm);
        }
    }
    assert!(taken > LIMIT.slack as usize / 2, "{taken} retries");
}

/// Endpoints fail at one VM all of a sudden. It must get nine tenths of the retries that are left to
/// all VMs while a retry still helps, though each VM has only its own.
#[test]
fn a_burst_of_failures_at_one_vm_gets_the_retries_of_all() {
    let mut fleet = Fleet::new(START, &Scenario { delay_ms: 4, ..calm() });
    let burst = START + Duration::from_secs(25);
    for step in 0..2_900 {
        let now = START + Duration::from_millis(step * STEP_MS);
        match now >= burst && step % 4 == 0 {
            true => fleet.fail(now, 0),
            false => fleet.serve(now, 0),
        }
    }
    let requests = fleet.sent.iter().filter(|(at, is_retry)| {
        !is_retry && *at < burst && burst.since(*at) <= Duration::from_millis(LIMIT.window_ms)
    });
    let left = LIMIT.ratio * requests.count() as f64 + f64::from(LIMIT.slack) * 0.75;
    let share = fleet.retries() as f64 / left;
    assert!(share >= 0.9, "{share:.2} of {left:.0} retries");
}

/// An answer arrives twice, or so late that the VM that gave the rights has them again. They would
/// be used twice in one window.
#[test]
fn a_repeated_or_late_answer_gives_no_rights() {
    let now = START + Duration::from_millis(LIMIT.window_ms);
    let usable = |arrivals: &[Duration]| {
        let mut fleet = Fleet::new(START, &calm());
        while fleet.budgets[0].take(now) {}
        let spare = RetryRights::from_retries(3.0);
        fleet.budgets[0].on_peer_spare(now, &name(1), spare);
        let requests = fleet.budgets[0].rights_requests(now, 0);
        let [(_, request)] = requests[..] else { panic!("{requests:?}") };
        let grant = fleet.budgets[1].on_rights_request(now, request);
        assert_eq!(grant.rights, spare);
        for after in arrivals {
            fleet.budgets[0].on_rights_grant(now + *after, grant);
        }
        let last = now + arrivals.last().copied().unwrap_or_default();
        (0..10).take_while(|_| fleet.budgets[0].take(last)).count()
    };
    let soon = Duration::from_millis(5);
    assert_eq!(usable(&[]), 0);
    assert_eq!(usable(&[soon]), 3);
    assert_eq!(usable(&[soon, soon * 2]), 3);
    assert_eq!(usable(&[Duration::from_secs(2)]), 0);
}

/// A VM is partitioned off and sees itself as the only dispatcher. As the others use the limit too,
/// it may use its own part only.
#[test]
fn partitioned_dispatcher_uses_only_its_part() {
    let window_known = START + Duration::from_millis(LIMIT.window_ms);
    let mut budget = FleetRetryBudget::new(START, LIMIT, DISPATCHERS as u32, 1, PriorRetries::None);
    budget.set_visible_dispatchers(
        START,
        VisibleDispatchers { count: 1, is_member: true, ..VisibleDispatchers::default() },
    );
    let taken = (0..100).take_while(|_| budget.take(window_known)).count();
    assert!(taken <= LIMIT.slack as usize / DISPATCHERS, "{taken} retries");
}

/// Endpoints begin to fail when dispatchers are partitioned off from the other VMs. Each side would
/// use the retries that both have earned before.
#[test]
fn partitioned_dispatchers_do_not_use_the_same_retries() {
    let mut worst = (f64::MIN, None);
    for seed in 0..12 {
        for dispatchers in [1, 2, 3] {
            let partition = Partition { from_step: 1_500, until_step: 2_500, dispatchers };
            let scenario = Scenario {
                seed,
                requests_percent: 90,
                failed_percent: if seed < 6 { 40 } else { 70 },
                lost_percent: 0,
                delay_ms: 0,
                restarts: Vec::new(),
                replacements: Vec::new(),
                partition: Some(partition),
            };
            let excess = simulate(&scenario).excess();
            if excess > worst.0 {
                worst = (excess, Some(scenario));
            }
        }
    }
    assert!(worst.0 <= 0.0, "{:.1} retries too many in {:?}", worst.0, worst.1);
}

/// Hedges only save time. While endpoints fail, they must leave half of the retries to requests that
/// would fail without one.
#[test]
fn hedges_leave_half_of_the_retries_to_failed_requests() {
    let window_known = START + Duration::from_millis(LIMIT.window_ms);
    let mut budget = FleetRetryBudget::new(START, LIMIT, DISPATCHERS as u32, 1, PriorRetries::None);
    budget.set_visible_dispatchers(
        START,
        VisibleDispatchers {
            count: DISPATCHERS as u32,
            is_member: true,
            ..VisibleDispatchers::default()
        },
    );
    let hedges = (0..100).take_while(|_| budget.take_for_hedge(window_known)).count();
    let retries = (0..100).take_while(|_| budget.take(window_known)).count();
    assert!(hedges > 0 && retries >= hedges, "{hedges} hedges, {retries} retries");
}
