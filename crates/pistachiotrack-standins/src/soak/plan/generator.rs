//! Random events of a plan.

use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;

use super::{
    EndpointCut, EndpointFault, Event, MAX_PROXIED_VMS, PlatformFault, Step, StopSignal, Stops,
};

/// Phase boundaries in tenths of a run: planned events only, then faults in addition, then
/// planned events only, in which the fleet has to recover.
const FAULTS_START_TENTHS: u64 = 3;
const FAULTS_END_TENTHS: u64 = 6;
/// Mean time between two planned events, and between two faults.
const MEAN_PLANNED_GAP_MS: u64 = 900;
const MEAN_FAULT_GAP_MS: u64 = 700;
/// Mean time between two events of customers. They are drawn from a generator of their own, so
/// that the other events of a seed don't depend on them.
const MEAN_CUSTOMER_GAP_MS: u64 = 15_000;
/// Mean time between two notices of endpoints, and what the seed is combined with for the generator
/// that draws them, for the same reason.
const MEAN_NOTICE_GAP_MS: u64 = 5_000;
const NOTICE_SEED: u64 = 0x6e6f_7469_6365;
/// The same for VMs that are cut off from endpoints.
const MEAN_ENDPOINT_CUT_GAP_MS: u64 = 9_000;
const ENDPOINT_CUT_SEED: u64 = 0x7061_7468;
/// The same for endpoints that repeat refusals.
const MEAN_REPEAT_GAP_MS: u64 = 3_000;
const REPEAT_SEED: u64 = 0x7265_7065_6174;
/// The same for endpoints that answer with misleading statuses.
const MEAN_MISLEADING_GAP_MS: u64 = 3_000;
const MISLEADING_SEED: u64 = 0x7374_6174_7573;
/// The same for stops in series and what overlaps them.
const MEAN_SERIES_GAP_MS: u64 = 6_000;
const MEAN_TIMEOUTS_GAP_MS: u64 = 3_000;
const STOP_SEED: u64 = 0x7374_6f70;
/// Percentages of the requests whose work lasts, in plans with faults and in plans of stops.
const SLOW_PERCENT: std::ops::Range<u32> = 5..20;
const SLOW_PERCENT_OF_STOPS: std::ops::Range<u32> = 20..50;
/// Times that processes have for a stop.
const GRACES_S: [u32; 2] = [6, 10];
/// Lifetimes of entry addresses.
const ENTRY_LIFETIMES_MS: [u64; 2] = [1_000, 5_000];
const ENTRY_DRAIN_MS: u64 = 2_500;
/// Time before the end of the load in which no event starts.
const FINAL_QUIET_MS: u64 = 5_000;
/// One in this many kill events kills all VMs.
const KILL_ALL_ONE_IN: u32 = 15;

/// Returns the steps of a plan, in order.
pub(super) fn steps(seed: u64, vms: usize, seconds: u64, endpoints: usize) -> Vec<Step> {
    let mut generator =
        PlanGenerator { random: Pcg64Mcg::seed_from_u64(seed), vms, endpoints, steps: Vec::new() };
    let total_ms = seconds * 1_000;
    let end_ms = total_ms.saturating_sub(FINAL_QUIET_MS);
    generator.add_events(0, end_ms, MEAN_PLANNED_GAP_MS, PlanGenerator::planned_event);
    let faults = (total_ms * FAULTS_START_TENTHS / 10, total_ms * FAULTS_END_TENTHS / 10);
    generator.add_events(faults.0, faults.1, MEAN_FAULT_GAP_MS, PlanGenerator::fault_event);
    generator.random = Pcg64Mcg::seed_from_u64(!seed);
    generator.add_events(0, end_ms, MEAN_CUSTOMER_GAP_MS, PlanGenerator::customer_event);
    generator.random = Pcg64Mcg::seed_from_u64(seed ^ NOTICE_SEED);
    generator.add_events(0, end_ms, MEAN_NOTICE_GAP_MS, PlanGenerator::notice_event);
    generator.random = Pcg64Mcg::seed_from_u64(seed ^ ENDPOINT_CUT_SEED);
    generator.add_events(0, end_ms, MEAN_ENDPOINT_CUT_GAP_MS, PlanGenerator::endpoint_cut);
    generator.random = Pcg64Mcg::seed_from_u64(seed ^ REPEAT_SEED);
    let repeats = PlanGenerator::repeated_refusals;
    generator.add_events(faults.0, faults.1, MEAN_REPEAT_GAP_MS, repeats);
    generator.random = Pcg64Mcg::seed_from_u64(seed ^ MISLEADING_SEED);
    let misleading = PlanGenerator::misleading_statuses;
    generator.add_events(faults.0, faults.1, MEAN_MISLEADING_GAP_MS, misleading);
    generator.random = Pcg64Mcg::seed_from_u64(seed ^ STOP_SEED);
    generator.add_stops(total_ms, SLOW_PERCENT);
    generator.steps.sort_by_key(|step| step.at_ms);
    generator.steps
}

/// Returns the steps of a plan that has no faults, in order.
pub(super) fn stop_steps(seed: u64, vms: usize, seconds: u64) -> Vec<Step> {
    let random = Pcg64Mcg::seed_from_u64(seed ^ STOP_SEED);
    let mut generator = PlanGenerator { random, vms, endpoints: 0, steps: Vec::new() };
    generator.add_stops(seconds * 1_000, SLOW_PERCENT_OF_STOPS);
    generator.steps.sort_by_key(|step| step.at_ms);
    generator.steps
}

/// Returns how the VMs of a plan stop.
pub(super) fn stops(seed: u64) -> Stops {
    let mut random = Pcg64Mcg::seed_from_u64(!(seed ^ STOP_SEED));
    Stops {
        grace_s: GRACES_S[random.random_range(0..GRACES_S.len())],
        entry_lifetime_ms: ENTRY_LIFETIMES_MS[random.random_range(0..ENTRY_LIFETIMES_MS.len())],
        entry_drain_ms: ENTRY_DRAIN_MS,
    }
}

struct PlanGenerator {
    random: Pcg64Mcg,
    vms: usize,
    endpoints: usize,
    steps: Vec<Step>,
}

impl PlanGenerator {
    fn add_events(
        &mut self,
        from_ms: u64,
        to_ms: u64,
        gap_ms: u64,
        event: fn(&mut PlanGenerator) -> Event,
    ) {
        let mut at_ms = from_ms;
        loop {
            at_ms += self.random.random_range(1..2 * gap_ms);
            if at_ms >= to_ms {
                return;
            }
            let event = event(self);
            self.steps.push(Step { at_ms, event });
        }
    }

    fn vm(&mut self) -> usize {
        self.random.random_range(0..self.vms)
    }

    fn endpoint(&mut self) -> usize {
        self.random.random_range(0..self.endpoints)
    }

    fn planned_event(&mut self) -> Event {
        let vm = self.vm();
        match self.random.random_range(0..13) {
            0..5 => Event::Terminate {
                vm,
                restart_after_ms: self.random.random_range(50..2_000),
                signal: StopSignal::Terminate,
                repeat_after_ms: None,
            },
            5..7 => Event::HangUp { vm },
            7..9 => Event::Leave {
                endpoint: self.endpoint(),
                for_ms: self.random.random_range(500..20_000),
            },
            9 => Event::PublishInvalid,
            10 if self.vms <= MAX_PROXIED_VMS => {
                Event::CutOffPlatform { vm, for_ms: self.random.random_range(8_000..20_000) }
            }
            _ => Event::AnnounceRateLimit {
                endpoint: self.endpoint(),
                tenths_per_second: self.random.random_range(5..50),
                for_ms: self.random.random_range(8_000..25_000),
            },
        }
    }

    /// Adds work that lasts, stops in series and changes of the routes' timeouts.
    fn add_stops(&mut self, total_ms: u64, slow_percent: std::ops::Range<u32>) {
        let event = Event::SlowWork {
            share_percent: self.random.random_range(slow_percent),
            up_to_ms: self.random.random_range(2_000..10_000),
            for_ms: total_ms,
        };
        self.steps.push(Step { at_ms: 0, event });
        let end_ms = total_ms.saturating_sub(FINAL_QUIET_MS);
        self.add_events(0, end_ms, MEAN_TIMEOUTS_GAP_MS, PlanGenerator::scaled_timeouts);
        let mut at_ms = self.random.random_range(0..MEAN_SERIES_GAP_MS / 2);
        while at_ms < end_ms {
            at_ms = self.add_series(at_ms) + self.random.random_range(0..2 * MEAN_SERIES_GAP_MS);
        }
    }

    /// Stops up to all VMs but one, one after the other, with further signals beside some of the
    /// stops. Returns the time of the last stop.
    fn add_series(&mut self, mut at_ms: u64) -> u64 {
        let first = self.vm();
        let count = self.random.random_range(1..self.vms.max(2));
        let gap_ms = self.random.random_range(500..1_500);
        for vm in (first..first + count).map(|vm| vm % self.vms) {
            let signal = match self.random.random_range(0..4) {
                0 => StopSignal::Interrupt,
                _ => StopSignal::Terminate,
            };
            let repeats = self.random.random_range(0..3) == 0;
            let repeat_after_ms = repeats.then(|| self.random.random_range(1..5_000));
            let restart_after_ms = self.random.random_range(50..1_000);
            let event = Event::Terminate { vm, restart_after_ms, signal, repeat_after_ms };
            self.steps.push(Step { at_ms, event });
            if self.random.random_range(0..3) == 0 {
                let at_ms = at_ms + self.random.random_range(0..4_000);
                self.steps.push(Step { at_ms, event: Event::HangUp { vm } });
            }
            at_ms += gap_ms;
        }
        at_ms
    }

    fn scaled_timeouts(&mut self) -> Event {
        Event::ScaleTimeouts {
            percent: self.random.random_range(40..160),
            for_ms: self.random.random_range(500..5_000),
        }
    }

    fn customer_event(&mut self) -> Event {
        match self.random.random_range(0..3) {
            0 => Event::Flood { for_ms: self.random.random_range(3_000..12_000) },
            _ => Event::TakeKey {
                valid_ms: self.random.random_range(500..3_000),
                used_ms: self.random.random_range(6_000..10_000),
            },
        }
    }

    fn notice_event(&mut self) -> Event {
        let endpoint = self.endpoint();
        let for_ms = self.random.random_range(6_000..15_000);
        match self.random.random_range(0..2) {
            0 => Event::SayLeaving { endpoint, for_ms },
            _ => Event::RefuseRequests { endpoint, for_ms },
        }
    }

    fn repeated_refusals(&mut self) -> Event {
        self.endpoint_spell(EndpointFault::RepeatRefusals)
    }

    fn misleading_statuses(&mut self) -> Event {
        self.endpoint_spell(EndpointFault::MisleadingStatuses)
    }

    fn endpoint_spell(&mut self, fault: EndpointFault) -> Event {
        let endpoint = self.endpoint();
        Event::EndpointFault { endpoint, fault, for_ms: self.random.random_range(3_000..8_000) }
    }

    /// Cuts off half of the VMs, all but one, or a single one.
    fn endpoint_cut(&mut self) -> Event {
        let forms = [EndpointCut::Refused, EndpointCut::Silent, EndpointCut::NewRefused];
        let form = *forms.choose(&mut self.random).unwrap_or(&EndpointCut::Refused);
        let count = match self.random.random_range(0..3) {
            0 => self.vms / 2,
            1 => self.vms - 1,
            _ => 1,
        };
        let first = self.vm();
        let vms = (0..count).map(|offset| (first + offset) % self.vms).collect();
        Event::CutOffEndpoints { vms, form, for_ms: self.random.random_range(4_000..9_000) }
    }

    fn fault_event(&mut self) -> Event {
        loop {
            let event = self.random_fault();
            if self.vms <= MAX_PROXIED_VMS || !event.needs_link_proxies() {
                return event;
            }
        }
    }

    fn random_fault(&mut self) -> Event {
        let vm = self.vm();
        let for_ms = self.random.random_range(200..5_000);
        match self.random.random_range(0..13) {
            0..2 => self.kill(vm, for_ms),
            2..4 => Event::Pause { vm, for_ms },
            4..6 => Event::CutOneWay { from: vm, to: self.vm(), for_ms },
            6 => Event::CutOff { vm, for_ms },
            7 => Event::DegradedLinks {
                lost_percent: self.random.random_range(1..30),
                delay_ms: self.random.random_range(0..50),
                for_ms,
            },
            12 => Event::CrashingRequest { for_ms: self.random.random_range(3_000..15_000) },
            8..10 => {
                let faults = [
                    EndpointFault::Gray,
                    EndpointFault::Straggler,
                    EndpointFault::Hang,
                    EndpointFault::Shed,
                    EndpointFault::SilentConnections,
                ];
                let fault = *faults.choose(&mut self.random).unwrap_or(&EndpointFault::Gray);
                Event::EndpointFault { endpoint: self.endpoint(), fault, for_ms }
            }
            _ => {
                let faults =
                    [PlatformFault::Refusing, PlatformFault::Hanging, PlatformFault::Stale];
                let fault = *faults.choose(&mut self.random).unwrap_or(&PlatformFault::Refusing);
                Event::PlatformFault { fault, for_ms }
            }
        }
    }

    fn kill(&mut self, vm: usize, restart_after_ms: u64) -> Event {
        let all = self.random.random_range(0..KILL_ALL_ONE_IN) == 0;
        let vms = if all { (0..self.vms).collect() } else { vec![vm] };
        Event::Kill { vms, restart_after_ms }
    }
}
