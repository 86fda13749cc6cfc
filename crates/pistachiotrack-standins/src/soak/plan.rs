//! Plans of soak runs: generated from a seed, written and read as JSON.

use std::{fs, path::Path};

use anyhow::Context;
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// The size, duration and events of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of the plan and of the load.
    pub seed: u64,
    /// Number of VMs.
    pub vms: usize,
    /// Concurrent dispatchers in each data centre; 0 selects a single owner.
    pub dispatchers_per_data_centre: u32,
    /// Time for which callers send requests.
    pub seconds: u64,
    /// Events with their times, in any order.
    pub steps: Vec<Step>,
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Time since the start of the load.
    pub at_ms: u64,
    /// The event.
    pub event: Event,
}

/// Events that a plan can contain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// A VM is stopped gracefully and restarted after its exit.
    Terminate {
        /// The VM.
        vm: usize,
        /// Time from its exit to its restart.
        restart_after_ms: u64,
    },
    /// A VM receives SIGHUP and reloads its settings.
    HangUp {
        /// The VM.
        vm: usize,
    },
    /// The operators' configuration marks an endpoint as leaving for a time.
    Leave {
        /// Index of the endpoint among all endpoints.
        endpoint: usize,
        /// Duration.
        for_ms: u64,
    },
    /// An endpoint announces a rate limit for a time.
    #[serde(rename = "name_limit")]
    AnnounceRateLimit {
        /// Index of the endpoint among all endpoints.
        endpoint: usize,
        /// The limit, in tenths of a request per second.
        tenths_per_second: u32,
        /// Duration.
        for_ms: u64,
    },
    /// An endpoint says for a time that it leaves, and then starts again under another name.
    SayLeaving {
        /// Index of the endpoint among all endpoints.
        endpoint: usize,
        /// Duration.
        for_ms: u64,
    },
    /// An endpoint refuses all requests for a time, and asks each VM for none.
    RefuseRequests {
        /// Index of the endpoint among all endpoints.
        endpoint: usize,
        /// Duration.
        for_ms: u64,
    },
    /// One VM can't reach the platform; the other VMs can.
    CutOffPlatform {
        /// The VM.
        vm: usize,
        /// Duration.
        for_ms: u64,
    },
    /// Some VMs reach no endpoint; callers, the platform and other VMs reach them.
    CutOffEndpoints {
        /// The VMs.
        vms: Vec<usize>,
        /// What becomes of their connections to endpoints.
        #[serde(rename = "how")]
        form: EndpointCut,
        /// Duration.
        for_ms: u64,
    },
    /// Callers use an API key that is taken away while they go on.
    TakeKey {
        /// Time for which the key is valid.
        valid_ms: u64,
        /// Time for which it is used afterwards.
        used_ms: u64,
    },
    /// A customer with a rate limit sends many times what it may.
    Flood {
        /// Duration.
        for_ms: u64,
    },
    /// An invalid configuration is published.
    PublishInvalid,
    /// VMs are killed and restarted.
    Kill {
        /// The VMs.
        vms: Vec<usize>,
        /// Time from their exit to their restart.
        restart_after_ms: u64,
    },
    /// A VM's process is paused.
    Pause {
        /// The VM.
        vm: usize,
        /// Duration.
        for_ms: u64,
    },
    /// All traffic from one VM to another is dropped; the reverse direction works.
    CutOneWay {
        /// The sending VM.
        from: usize,
        /// The receiving VM.
        to: usize,
        /// Duration.
        for_ms: u64,
    },
    /// All traffic between a VM and all other VMs is dropped.
    CutOff {
        /// The VM.
        vm: usize,
        /// Duration.
        for_ms: u64,
    },
    /// Datagrams between VMs are dropped at random, and all traffic is delayed.
    #[serde(rename = "bad_links")]
    DegradedLinks {
        /// Percentage of the datagrams that are dropped.
        lost_percent: u32,
        /// Added delay.
        delay_ms: u64,
        /// Duration.
        for_ms: u64,
    },
    /// An endpoint is faulty.
    #[serde(rename = "sick")]
    EndpointFault {
        /// Index of the endpoint among all endpoints.
        endpoint: usize,
        /// The kind of fault.
        #[serde(rename = "how")]
        fault: EndpointFault,
        /// Duration.
        for_ms: u64,
    },
    /// A request that crashes the endpoints that run it is sent repeatedly.
    CrashingRequest {
        /// Duration.
        for_ms: u64,
    },
    /// The platform's services fail.
    #[serde(rename = "platform_away")]
    PlatformFault {
        /// The kind of fault.
        #[serde(rename = "how")]
        fault: PlatformFault,
        /// Duration.
        for_ms: u64,
    },
}

/// What becomes of the connections from a VM that reaches no endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointCut {
    /// Open connections break, and new ones are refused.
    Refused,
    /// Open connections break, and new ones get no answer.
    Silent,
    /// Open connections live on, and new ones are refused.
    NewRefused,
}

impl EndpointCut {
    /// Returns the name that the daemon's admin port uses.
    pub fn admin_name(self) -> &'static str {
        match self {
            EndpointCut::Refused => "refused",
            EndpointCut::Silent => "silent",
            EndpointCut::NewRefused => "new-refused",
        }
    }
}

/// Faults of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointFault {
    /// All requests fail while the health check passes.
    Gray,
    /// Requests are slow.
    Straggler,
    /// Requests and health checks are accepted and never answered.
    Hang,
    /// All requests are refused.
    Shed,
    /// Open connections become silent; new connections work.
    SilentConnections,
}

/// Faults of the platform's services.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformFault {
    /// Requests are refused with status 503.
    Refusing,
    /// Requests are not answered.
    Hanging,
    /// Answers contain the configuration before the newest one.
    Stale,
}

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
/// Time before the end of the load in which no event starts.
const FINAL_QUIET_MS: u64 = 5_000;
/// Largest number of VMs with proxied links. A proxy holds a file descriptor for each VM that
/// sends to it, and 200 VMs exceeded the limit of 20,000 descriptors of a process.
pub const MAX_PROXIED_VMS: usize = 120;
/// One in this many kill events kills all VMs.
const KILL_ALL_ONE_IN: u32 = 15;

impl Plan {
    /// Generates a plan from a seed.
    pub fn new(seed: u64, vms: usize, seconds: u64, endpoints: usize) -> Plan {
        let mut generator = PlanGenerator {
            random: Pcg64Mcg::seed_from_u64(seed),
            vms,
            endpoints,
            steps: Vec::new(),
        };
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
        generator.steps.sort_by_key(|step| step.at_ms);
        let dispatchers_per_data_centre = if seed.is_multiple_of(2) { 0 } else { 2 };
        Plan { seed, vms, dispatchers_per_data_centre, seconds, steps: generator.steps }
    }

    /// Reads a plan from a file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file and its invalid field.
    pub fn read(file: &Path, endpoints: usize) -> anyhow::Result<Plan> {
        let json = fs::read(file).with_context(|| file.display().to_string())?;
        let plan: Plan =
            serde_json::from_slice(&json).with_context(|| file.display().to_string())?;
        if let Some(problem) = plan.problem(endpoints) {
            anyhow::bail!("{}: {problem}", file.display());
        }
        Ok(plan)
    }

    fn problem(&self, endpoints: usize) -> Option<String> {
        if self.vms == 0 || self.seconds == 0 {
            return Some(format!("vms: {}, seconds: {}: not above 0", self.vms, self.seconds));
        }
        self.steps.iter().enumerate().find_map(|(index, step)| {
            if step.event.needs_link_proxies() && self.vms > MAX_PROXIED_VMS {
                let vms = self.vms;
                return Some(format!(
                    "steps[{index}]: link faults need at most {MAX_PROXIED_VMS} VMs, not {vms}"
                ));
            }
            let vm = step.event.vms().into_iter().find(|vm| *vm >= self.vms);
            let endpoint = step.event.endpoint().filter(|endpoint| *endpoint >= endpoints);
            let vm = vm.map(|vm| format!("steps[{index}]: vm {vm} is not below {}", self.vms));
            vm.or(endpoint.map(|endpoint| {
                format!("steps[{index}].endpoint: {endpoint} is not below {endpoints}")
            }))
        })
    }
}

impl Event {
    /// Returns the VMs that the event affects.
    pub fn vms(&self) -> Vec<usize> {
        match self {
            Event::Terminate { vm, .. }
            | Event::HangUp { vm }
            | Event::Pause { vm, .. }
            | Event::CutOff { vm, .. }
            | Event::CutOffPlatform { vm, .. } => vec![*vm],
            Event::CutOneWay { from, to, .. } => vec![*from, *to],
            Event::Kill { vms, .. } | Event::CutOffEndpoints { vms, .. } => vms.clone(),
            _ => Vec::new(),
        }
    }

    /// Returns whether the event affects links, which requires proxies on them.
    fn needs_link_proxies(&self) -> bool {
        matches!(
            self,
            Event::CutOneWay { .. }
                | Event::CutOff { .. }
                | Event::CutOffPlatform { .. }
                | Event::DegradedLinks { .. }
        )
    }

    fn endpoint(&self) -> Option<usize> {
        match self {
            Event::Leave { endpoint, .. }
            | Event::AnnounceRateLimit { endpoint, .. }
            | Event::SayLeaving { endpoint, .. }
            | Event::RefuseRequests { endpoint, .. }
            | Event::EndpointFault { endpoint, .. } => Some(*endpoint),
            _ => None,
        }
    }

    /// Returns the duration of a fault, or `None` for a planned event.
    pub fn fault_ms(&self) -> Option<u64> {
        match self {
            Event::Kill { restart_after_ms, .. } => Some(*restart_after_ms),
            Event::Pause { for_ms, .. }
            | Event::CutOneWay { for_ms, .. }
            | Event::CutOff { for_ms, .. }
            | Event::DegradedLinks { for_ms, .. }
            | Event::EndpointFault { for_ms, .. }
            | Event::CrashingRequest { for_ms }
            | Event::PlatformFault { for_ms, .. } => Some(*for_ms),
            Event::Terminate { .. }
            | Event::HangUp { .. }
            | Event::Leave { .. }
            | Event::AnnounceRateLimit { .. }
            | Event::SayLeaving { .. }
            | Event::RefuseRequests { .. }
            | Event::CutOffPlatform { .. }
            | Event::CutOffEndpoints { .. }
            | Event::TakeKey { .. }
            | Event::Flood { .. }
            | Event::PublishInvalid => None,
        }
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
            0..5 => Event::Terminate { vm, restart_after_ms: self.random.random_range(50..2_000) },
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
