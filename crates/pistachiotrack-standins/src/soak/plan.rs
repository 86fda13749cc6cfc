//! Plans of soak runs: generated from a seed, written and read as JSON.

mod generator;

use std::{fs, path::Path};

use anyhow::Context;
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
    /// How VMs stop; without it, in the default time of the daemon.
    #[serde(default)]
    pub stops: Option<Stops>,
    /// Events with their times, in any order.
    pub steps: Vec<Step>,
}

/// How VMs stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stops {
    /// Time that a process has for a stop; it is killed afterwards.
    pub grace_s: u32,
    /// Lifetime of entry addresses, for which callers use a VM that stops.
    pub entry_lifetime_ms: u64,
    /// Shortest time for which a VM that stops still accepts connections.
    pub entry_drain_ms: u64,
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
        /// The signal.
        #[serde(default)]
        signal: StopSignal,
        /// Time until the signal is sent once more, if it is.
        #[serde(default)]
        repeat_after_ms: Option<u64>,
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
    /// The work of a part of the requests lasts long at all endpoints, within the time that the
    /// request has.
    SlowWork {
        /// Percentage of the requests.
        share_percent: u32,
        /// Longest time that the work lasts.
        up_to_ms: u64,
        /// Duration.
        for_ms: u64,
    },
    /// The timeouts of all routes are changed for a time.
    ScaleTimeouts {
        /// The timeouts, as a percentage of the usual ones.
        percent: u32,
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

/// Signals that stop a VM gracefully.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopSignal {
    /// SIGTERM.
    #[default]
    Terminate,
    /// SIGINT.
    Interrupt,
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
    /// Half of the requests are refused, and some of the refusals are sent a second time, late.
    RepeatRefusals,
    /// Half of the requests are run and answered with statuses that often mean that a request was not
    /// run, some without the ID of the request.
    MisleadingStatuses,
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

/// Largest number of VMs with proxied links. A proxy holds a file descriptor for each VM that
/// sends to it, and 200 VMs exceeded the limit of 20,000 descriptors of a process.
pub const MAX_PROXIED_VMS: usize = 120;
impl Plan {
    /// Generates a plan from a seed.
    pub fn new(seed: u64, vms: usize, seconds: u64, endpoints: usize) -> Plan {
        let steps = generator::steps(seed, vms, seconds, endpoints);
        Plan::with_steps(seed, vms, seconds, steps)
    }

    /// Generates a plan from a seed that has no faults, only stops in series with what overlaps them:
    /// faults excuse what happens beside them.
    pub fn of_stops(seed: u64, vms: usize, seconds: u64) -> Plan {
        Plan::with_steps(seed, vms, seconds, generator::stop_steps(seed, vms, seconds))
    }

    fn with_steps(seed: u64, vms: usize, seconds: u64, steps: Vec<Step>) -> Plan {
        let dispatchers_per_data_centre = if seed.is_multiple_of(2) { 0 } else { 2 };
        let stops = Some(generator::stops(seed));
        Plan { seed, vms, dispatchers_per_data_centre, seconds, stops, steps }
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
            | Event::SlowWork { .. }
            | Event::ScaleTimeouts { .. }
            | Event::PublishInvalid => None,
        }
    }
}
