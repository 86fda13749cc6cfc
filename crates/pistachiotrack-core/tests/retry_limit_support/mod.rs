//! Retry budgets of a fleet whose VMs are cut off, paused, restarted and replaced, in logical
//! time.

pub(crate) mod history;

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use pistachiotrack_core::{
    membership::VisibleFleet,
    name::Name,
    retry::{
        FleetRetryBudget, PriorRetries, RetryRights, RightsGrant, RightsRequest, VisibleDispatchers,
    },
    time::Time,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use self::history::{History, LIMIT, START, STEP_MS, STEPS, SentTimes, Span, Trouble, VMS};

pub(crate) const DISPATCHERS: usize = 6;
/// VMs whose addresses are in the settings of all.
const SEEDS: [usize; 3] = [0, 7, 14];
/// Steps after which a VM notices that others are gone or back.
const DETECTION_STEPS: u64 = 200;
/// Steps for which a process that has just started knows no other VM.
const DISCOVERY_STEPS: u64 = 50;
/// Maximum number of retries of a request.
const MAX_RETRIES: usize = 4;
/// One in this many requests goes to a VM that is no dispatcher.
const STALE_ADDRESS_ONE_IN: u32 = 10;

#[derive(Clone, Debug)]
enum Message {
    Report { spare: RetryRights, known_vms: Option<u32> },
    Request(RightsRequest),
    Grant(RightsGrant),
}

struct Vm {
    budget: FleetRetryBudget,
    started_at: u64,
    runs: bool,
    paused_at: Option<u64>,
    /// Whether it has reached each VM lately.
    reached_at: Vec<u64>,
}

/// A datagram that has not arrived yet.
#[derive(Clone, Debug)]
struct InTransit {
    from: usize,
    to: usize,
    message: Message,
}

pub(crate) struct Fleet {
    history: History,
    vms: Vec<Vm>,
    /// VMs in the order in which they become dispatchers.
    ranks: Vec<usize>,
    rng: Pcg32,
    next_id: u32,
    in_transit: BinaryHeap<Reverse<(Time, usize)>>,
    messages: Vec<InTransit>,
    pub(crate) sent: SentTimes,
}

fn name(vm: usize) -> Name {
    Name::from(format!("vm-{vm}"))
}

fn is_in(vms: u32, vm: usize) -> bool {
    vms & (1 << vm) != 0
}

fn time(step: u64) -> Time {
    START + Duration::from_millis(step * STEP_MS)
}

impl Fleet {
    pub(crate) fn new(history: History) -> Fleet {
        let mut fleet = Fleet {
            rng: Pcg32::seed_from_u64(history.seed),
            history,
            vms: Vec::new(),
            ranks: (0..VMS).collect(),
            next_id: 1,
            in_transit: BinaryHeap::new(),
            messages: Vec::new(),
            sent: SentTimes::default(),
        };
        fleet.vms = (0..VMS).map(|_| fleet.start_vm(0)).collect();
        fleet
    }

    pub(crate) fn run(mut self) -> Fleet {
        for step in 0..STEPS {
            self.apply_troubles(step);
            self.look_around(step);
            self.deliver(step);
            if self.chance(self.history.requests_percent) {
                self.serve(step);
            }
        }
        self
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.next_u32() % 100 < percent
    }

    fn below(&mut self, bound: usize) -> usize {
        self.rng.next_u32() as usize % bound
    }

    fn start_vm(&mut self, step: u64) -> Vm {
        self.next_id += 1_000;
        let prior = if step == 0 { PriorRetries::None } else { PriorRetries::Unknown };
        let dispatchers = DISPATCHERS as u32;
        Vm {
            budget: FleetRetryBudget::new(time(step), LIMIT, dispatchers, self.next_id, prior),
            started_at: step,
            runs: true,
            paused_at: None,
            reached_at: vec![0; VMS],
        }
    }

    fn apply_troubles(&mut self, step: u64) {
        for trouble in self.history.troubles.clone() {
            match trouble {
                Trouble::Restart { vms, span } => self.restart(step, vms, span),
                Trouble::Replacement { vms, step: at } if at == step => self.replace(vms),
                Trouble::Pause { vms, span } => self.pause(step, vms, span),
                Trouble::Replacement { .. } | Trouble::Cut { .. } => {}
            }
        }
    }

    fn restart(&mut self, step: u64, vms: u32, span: Span) {
        for vm in (0..VMS).filter(|vm| is_in(vms, *vm)) {
            if step == span.from {
                self.vms[vm].runs = false;
            } else if step == span.until {
                self.vms[vm] = self.start_vm(step);
            }
        }
    }

    fn replace(&mut self, vms: u32) {
        for vm in (0..VMS).filter(|vm| is_in(vms, *vm)) {
            let (a, b) = (vm, self.below(VMS));
            self.ranks.swap(a, b);
        }
    }

    fn pause(&mut self, step: u64, vms: u32, span: Span) {
        for vm in (0..VMS).filter(|vm| is_in(vms, *vm)) {
            if step == span.from && self.vms[vm].runs {
                self.vms[vm].paused_at = Some(step);
            } else if step == span.until && self.vms[vm].paused_at.take().is_some() {
                self.resume(step, vm);
            }
        }
    }

    fn resume(&mut self, step: u64, vm: usize) {
        self.vms[vm].budget.on_pause(time(step));
    }

    fn is_active(&self, vm: usize) -> bool {
        self.vms[vm].runs && self.vms[vm].paused_at.is_none()
    }

    fn is_linked(&self, step: u64, a: usize, b: usize) -> bool {
        let separates = |trouble: &Trouble| match trouble {
            Trouble::Cut { vms, together, span } if span.contains(step) => {
                match (is_in(*vms, a), is_in(*vms, b)) {
                    (true, true) => !together,
                    (false, false) => false,
                    _ => true,
                }
            }
            _ => false,
        };
        self.is_active(a) && self.is_active(b) && !self.history.troubles.iter().any(separates)
    }

    /// Updates what each VM sees of the others.
    fn look_around(&mut self, step: u64) {
        if !step.is_multiple_of(10) {
            return;
        }
        for vm in 0..VMS {
            if !self.is_active(vm) || step < self.vms[vm].started_at + DISCOVERY_STEPS {
                continue;
            }
            for other in (0..VMS).filter(|other| *other != vm) {
                if self.is_linked(step, vm, other) {
                    self.vms[vm].reached_at[other] = step;
                }
            }
        }
        for vm in (0..VMS).filter(|vm| self.is_active(*vm)).collect::<Vec<_>>() {
            let dispatchers = self.dispatchers_seen_by(step, vm);
            let count = dispatchers.len() as u32;
            let is_member = dispatchers.contains(&vm);
            let visible =
                VisibleDispatchers { count, is_member, fleet: self.fleet_seen_by(step, vm) };
            let now = time(step);
            self.vms[vm].budget.set_visible_dispatchers(now, visible);
        }
    }

    fn is_seen_by(&self, step: u64, vm: usize, other: usize) -> bool {
        let reached_at = self.vms[vm].reached_at[other];
        other == vm || reached_at > 0 && step < reached_at + DETECTION_STEPS
    }

    fn dispatchers_seen_by(&self, step: u64, vm: usize) -> Vec<usize> {
        let seen = self.ranks.iter().copied().filter(|other| self.is_seen_by(step, vm, *other));
        seen.take(DISPATCHERS).collect()
    }

    fn fleet_seen_by(&self, step: u64, vm: usize) -> VisibleFleet {
        let live_vms = (0..VMS).filter(|other| self.is_seen_by(step, vm, *other)).count();
        let is_known = |other: &usize| *other == vm || self.vms[vm].reached_at[*other] > 0;
        let known_vms = (0..VMS).filter(is_known).count();
        let known_seeds = SEEDS.into_iter().filter(is_known).count();
        VisibleFleet {
            live_vms: live_vms as u32,
            known_vms: known_vms as u32,
            has_joined: known_seeds * 2 > SEEDS.len(),
        }
    }

    fn send(&mut self, step: u64, from: usize, to: usize, message: Message) {
        if !self.is_linked(step, from, to) || self.chance(self.history.lost_percent) {
            return;
        }
        let delay_ms = self.below(self.history.delay_ms as usize + 1) as u64;
        let at = time(step) + Duration::from_millis(delay_ms);
        self.in_transit.push(Reverse((at, self.messages.len())));
        self.messages.push(InTransit { from, to, message });
    }

    fn deliver(&mut self, step: u64) {
        let now = time(step);
        while self.in_transit.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((_, index))) = self.in_transit.pop() else { return };
            let InTransit { from, to, message } = self.messages[index].clone();
            if self.is_active(to) {
                self.receive(step, from, to, message);
            }
        }
    }

    fn receive(&mut self, step: u64, from: usize, to: usize, message: Message) {
        let now = time(step);
        match message {
            Message::Report { spare, known_vms } => {
                self.vms[to].budget.on_peer_spare(now, &name(from), spare);
                self.vms[to].budget.on_peer_known_vms(now, &name(from), known_vms);
            }
            Message::Request(request) => {
                let grant = self.vms[to].budget.on_rights_request(now, request);
                self.send(step, to, from, Message::Grant(grant));
            }
            Message::Grant(grant) => self.vms[to].budget.on_rights_grant(now, grant),
        }
    }

    /// Sends a request, and retries it while it fails.
    fn serve(&mut self, step: u64) {
        let now = time(step);
        self.sent.requests.push(now);
        let directory = self.below(VMS);
        let dispatchers = self.dispatchers_seen_by(step, directory);
        let is_stale = self.rng.next_u32().is_multiple_of(STALE_ADDRESS_ONE_IN);
        let vm = match is_stale {
            true => self.below(VMS),
            false => dispatchers[self.below(dispatchers.len())],
        };
        if !self.is_active(vm) {
            return;
        }
        self.vms[vm].budget.on_request(now);
        let failures = &self.history.failures;
        let failure = failures.iter().find(|(span, _)| span.contains(step));
        let percent = failure.map_or(0, |(_, percent)| *percent);
        for _ in 0..MAX_RETRIES {
            if !self.chance(percent) {
                break;
            }
            let is_sent = self.vms[vm].budget.take(now);
            self.report(step, vm);
            if !is_sent {
                break;
            }
            self.sent.retries.push(now);
        }
        self.report(step, vm);
    }

    /// Sends what a VM tells the others after each event.
    fn report(&mut self, step: u64, vm: usize) {
        let now = time(step);
        for (to, request) in self.vms[vm].budget.rights_requests(now, 0) {
            let to = (0..VMS).find(|other| name(*other) == to).unwrap();
            self.send(step, vm, to, Message::Request(request));
        }
        let spare = self.vms[vm].budget.spare(now);
        let known_vms = self.vms[vm].budget.known_vms();
        for to in self.dispatchers_seen_by(step, vm).into_iter().filter(|to| *to != vm) {
            self.send(step, vm, to, Message::Report { spare, known_vms });
        }
    }
}
