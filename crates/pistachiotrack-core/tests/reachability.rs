//! Detection that a VM reaches no endpoint.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use pistachiotrack_core::{
    reachability::{AskedVms, EndpointReach, ReachAction, Reachability},
    time::Time,
};

const START: Time = Time::from_millis(1_000_000);
const STEP: Duration = Duration::from_millis(50);
const ENDPOINTS: u16 = 12;

fn endpoint(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + number))
}

/// A VM whose paths to endpoints work, hang or are refused.
struct Vm {
    reachability: Reachability,
    now: Time,
    /// Endpoints that this VM reaches.
    reached: Vec<SocketAddr>,
    /// Endpoints that the other VMs reach.
    reached_by_others: Vec<SocketAddr>,
    /// Whether the few VMs that are asked first reach none.
    are_few_cut_off: bool,
    /// Times at which many VMs were asked.
    many_asked_at: Vec<Time>,
    /// States with the time at which they began.
    changes: Vec<(Time, EndpointReach)>,
    next: u16,
}

impl Vm {
    fn new() -> Vm {
        let all: Vec<SocketAddr> = (0..ENDPOINTS).map(endpoint).collect();
        let mut reachability = Reachability::new(START, 7);
        reachability.set_endpoints(all.clone());
        Vm {
            reachability,
            now: START,
            reached: all.clone(),
            reached_by_others: all,
            are_few_cut_off: false,
            many_asked_at: Vec::new(),
            changes: Vec::new(),
            next: 0,
        }
    }

    fn cut_off(&mut self) {
        self.reached.clear();
    }

    fn heal(&mut self) {
        self.reached = (0..ENDPOINTS).map(endpoint).collect();
    }

    /// Opens a connection to the next endpoint for a request, in each step for `time`.
    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            let address = endpoint(self.next % ENDPOINTS);
            self.next += 1;
            let is_serving = self.reachability.reach().served_fraction(self.now) > 0.0;
            let actions = match self.reached.contains(&address) {
                _ if !is_serving => Vec::new(),
                true => self.reachability.on_connected(self.now),
                false => self.reachability.on_connect_failed(self.now, address),
            };
            self.apply(actions);
            let actions = self.reachability.on_tick(self.now);
            self.apply(actions);
        }
    }

    fn apply(&mut self, actions: Vec<ReachAction>) {
        for action in actions {
            let following = match action {
                ReachAction::TryEndpoints(addresses) => addresses
                    .into_iter()
                    .flat_map(|address| {
                        let is_reached = self.reached.contains(&address);
                        self.reachability.on_tried(self.now, address, is_reached)
                    })
                    .collect(),
                ReachAction::AskVms { endpoints, vms } => {
                    if vms == AskedVms::Many {
                        self.many_asked_at.push(self.now);
                    }
                    let reach_none = vms == AskedVms::Few && self.are_few_cut_off;
                    let answer = |address| {
                        let is_reached = !reach_none && self.reached_by_others.contains(&address);
                        self.reachability.on_vms_answered(self.now, address, is_reached)
                    };
                    endpoints.into_iter().flat_map(answer).collect()
                }
                ReachAction::Changed(reach) => {
                    self.changes.push((self.now, reach));
                    Vec::new()
                }
            };
            self.apply(following);
        }
    }

    fn cut_off_times(&self) -> Vec<Time> {
        let cut_off = self.changes.iter().filter(|(_, reach)| *reach == EndpointReach::CutOff);
        cut_off.map(|(at, _)| *at).collect()
    }
}

/// Guards against a VM that isn't cut off because the VMs that it asks first are cut off as well.
#[test]
fn a_vm_is_cut_off_within_a_second_if_only_a_few_vms_reach_endpoints() {
    let mut vm = Vm::new();
    vm.are_few_cut_off = true;
    vm.cut_off();
    let cut_at = vm.now;
    vm.run(Duration::from_secs(3));
    assert!(vm.cut_off_times()[0].since(cut_at) <= Duration::from_secs(1), "{:?}", vm.changes);
}

/// Guards against a VM that sends nothing itself and goes on taking requests from VMs that are cut off.
#[test]
fn a_vm_without_requests_is_cut_off_after_others_report_that_they_are() {
    let mut vm = Vm::new();
    vm.run(Duration::from_secs(1));
    vm.cut_off();
    vm.now += Duration::from_secs(1);
    let actions = vm.reachability.on_cut_off_vms(vm.now, 1);
    vm.apply(actions);
    assert_eq!(vm.changes.last().map(|(_, reach)| *reach), Some(EndpointReach::CutOff));
}

/// Guards against VMs that try endpoints all the while because some VM is cut off.
#[test]
fn a_vm_tries_endpoints_once_for_each_vm_that_is_cut_off() {
    let mut vm = Vm::new();
    vm.now += Duration::from_secs(1);
    assert!(!vm.reachability.on_cut_off_vms(vm.now, 1).is_empty());
    for _ in 0..20 {
        vm.now += Duration::from_secs(1);
        assert_eq!(vm.reachability.on_cut_off_vms(vm.now, 1), []);
    }
    assert!(!vm.reachability.on_cut_off_vms(vm.now, 2).is_empty());
}

/// Guards against VMs that all ask each other again and again while the endpoints are down.
#[test]
fn many_vms_are_asked_less_and_less_often_while_no_vm_reaches_an_endpoint() {
    let mut vm = Vm::new();
    vm.cut_off();
    vm.reached_by_others.clear();
    vm.run(Duration::from_secs(60));
    assert!(vm.many_asked_at.len() <= 6, "{:?}", vm.many_asked_at);
    assert_eq!(vm.changes, []);
}

/// Guards against a VM that goes on taking requests for seconds after it has lost all endpoints.
#[test]
fn a_vm_that_reaches_no_endpoint_is_cut_off_within_a_second() {
    let mut vm = Vm::new();
    vm.run(Duration::from_secs(3));
    assert_eq!(vm.changes, []);
    vm.cut_off();
    let cut_at = vm.now;
    vm.run(Duration::from_secs(1));
    assert_eq!(vm.cut_off_times().len(), 1);
    assert!(vm.cut_off_times()[0].since(cut_at) < Duration::from_secs(1));
    assert_eq!(vm.reachability.reach().served_fraction(vm.now), 0.0);
}

/// Guards against a VM that starts behind a partition and takes itself for sound.
#[test]
fn a_vm_that_has_never_reached_an_endpoint_is_cut_off() {
    let mut vm = Vm::new();
    vm.cut_off();
    vm.run(Duration::from_secs(1));
    assert_eq!(vm.reachability.reach(), EndpointReach::CutOff);
}

/// Guards against VMs that all give up their work because the endpoints are down for everybody.
#[test]
fn endpoints_that_no_vm_reaches_cut_no_vm_off() {
    let mut vm = Vm::new();
    vm.reached.clear();
    vm.reached_by_others.clear();
    vm.run(Duration::from_secs(10));
    assert_eq!(vm.changes, []);
    vm.heal();
    vm.run(Duration::from_secs(1));
    assert!(!vm.reachability.is_in_doubt());
}

/// Guards against a VM that hands its work over because it has lost its paths to some endpoints.
#[test]
fn a_vm_that_reaches_some_endpoints_is_not_cut_off() {
    let mut vm = Vm::new();
    vm.reached.truncate(usize::from(ENDPOINTS) / 3);
    vm.run(Duration::from_secs(20));
    assert_eq!(vm.changes, []);
}

/// Guards against a VM that takes all its requests back at once, or much later than it could.
#[test]
fn a_vm_takes_its_requests_back_within_seconds_and_not_all_at_once() {
    let mut vm = Vm::new();
    vm.cut_off();
    vm.run(Duration::from_secs(5));
    vm.heal();
    let healed_at = vm.now;
    let mut fractions = Vec::new();
    while vm.reachability.reach() != EndpointReach::Normal {
        vm.run(STEP);
        fractions.push(vm.reachability.reach().served_fraction(vm.now));
    }
    assert!(vm.now.since(healed_at) < Duration::from_secs(3));
    assert!(fractions.iter().filter(|fraction| (0.1..0.9).contains(*fraction)).count() > 5);
    assert!(fractions.is_sorted());
}

/// Guards against a VM that stays cut off because some endpoints are down for everybody.
#[test]
fn endpoints_that_are_down_do_not_keep_a_vm_cut_off() {
    for seed in 1..20 {
        let mut vm = Vm::new();
        vm.reachability = Reachability::new(START, seed);
        vm.reachability.set_endpoints((0..ENDPOINTS).map(endpoint).collect());
        vm.cut_off();
        vm.run(Duration::from_secs(2));
        vm.heal();
        vm.reached.truncate(usize::from(ENDPOINTS) * 3 / 4);
        vm.run(Duration::from_secs(6));
        assert_eq!(vm.reachability.reach(), EndpointReach::Normal, "seed {seed}");
    }
}

/// Guards against a VM at the edge of a partition that comes and goes many times.
#[test]
fn a_vm_whose_paths_come_and_go_stays_cut_off_for_longer_and_longer() {
    let mut vm = Vm::new();
    for _ in 0..15 {
        vm.cut_off();
        vm.run(Duration::from_secs(1));
        vm.heal();
        vm.run(Duration::from_secs(3));
    }
    let returned = vm.changes.iter().filter(|(_, reach)| *reach == EndpointReach::Normal).count();
    assert!(returned <= 3, "returned {returned} times in 60 s");
}

/// Guards against a VM that hands its work over because endpoints crash and start again: they were
/// down when it tried them, and up when another VM did.
#[test]
fn endpoints_that_crash_and_start_again_cut_no_vm_off() {
    let mut vm = Vm::new();
    for _ in 0..40 {
        vm.cut_off();
        let actions: Vec<ReachAction> = (0..3)
            .flat_map(|number| vm.reachability.on_connect_failed(vm.now, endpoint(number)))
            .collect();
        for action in actions {
            if let ReachAction::TryEndpoints(addresses) = action {
                for address in addresses {
                    vm.reachability.on_tried(vm.now, address, false);
                }
            }
        }
        vm.heal();
        for number in 0..2 {
            let tried_again = vm.reachability.on_vms_answered(vm.now, endpoint(number), true);
            vm.apply(tried_again);
        }
        vm.run(STEP);
    }
    assert_eq!(vm.changes, []);
}

/// Guards against a VM that gives up its work, which relays can do, for one broken path where no other
/// endpoint is up.
#[test]
fn one_endpoint_that_only_others_reach_cuts_no_vm_off() {
    let mut vm = Vm::new();
    vm.cut_off();
    vm.reached_by_others.truncate(1);
    vm.run(Duration::from_secs(10));
    assert_eq!(vm.changes, []);
}

/// Guards against a VM that a pause of its process cuts off: connections that it delayed fail.
#[test]
fn failures_during_a_pause_do_not_count() {
    let mut vm = Vm::new();
    vm.cut_off();
    for number in 0..2 {
        vm.reachability.on_connect_failed(START, endpoint(number));
    }
    vm.reachability.on_pause();
    assert_eq!(vm.reachability.on_connect_failed(START, endpoint(2)), []);
}

/// Most endpoints refuse this VM's connections. What a check tries is refused too, and must not start
/// the next check as soon as a connection to another endpoint has ended it, or the VM opens hundreds
/// of connections a second.
#[test]
fn refused_connections_of_a_check_do_not_start_the_next_one() {
    const DELAY: Duration = Duration::from_millis(1);
    const TIME: Duration = Duration::from_secs(10);
    let mut reachability = Reachability::new(START, 7);
    reachability.set_endpoints((0..ENDPOINTS).map(endpoint).collect());
    let is_open = |address: &SocketAddr| address.port().is_multiple_of(4);
    let mut results = VecDeque::new();
    let mut answers = Vec::new();
    let mut tried = 0;
    let mut now = START;
    let mut next = 0;
    while now < START + TIME {
        now += DELAY;
        let mut actions = Vec::new();
        for address in std::mem::take(&mut answers) {
            actions.extend(reachability.on_vms_answered(now, address, true));
        }
        for (address, is_try) in std::mem::take(&mut results) {
            // A refusal is reported by the connection and by the one who tried.
            actions.extend(match is_open(&address) {
                true => reachability.on_connected(now),
                false => reachability.on_connect_failed(now, address),
            });
            if is_try {
                actions.extend(reachability.on_tried(now, address, is_open(&address)));
            }
        }
        if now.as_millis().is_multiple_of(50) {
            results.push_back((endpoint(next % ENDPOINTS), false));
            next += 1;
            actions.extend(reachability.on_tick(now));
        }
        for action in actions {
            match action {
                ReachAction::TryEndpoints(addresses) => {
                    tried += addresses.len();
                    results.extend(addresses.into_iter().map(|address| (address, true)));
                }
                ReachAction::AskVms { endpoints, .. } => answers.extend(endpoints),
                ReachAction::Changed(_) => {}
            }
        }
        // Eight endpoints for each check and five again once other VMs reach them; one check a second.
        assert!(tried <= (8 + 5) * 10, "{tried} connections in {:?}", now.since(START));
    }
}
