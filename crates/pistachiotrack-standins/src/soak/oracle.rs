//! Test oracle: checks the invariants against what was observed from outside.
//!
//! It doesn't depend on the daemon's code. Its input is the callers' answers, the endpoints'
//! own counts of executions, the active configuration versions that VMs report, and the
//! injected events.

mod customers;
mod endpoint_cuts;
mod logged_refusals;
mod notices;
mod retries;
mod stops;

use std::fmt;

use rustc_hash::FxHashMap;

pub use self::{
    customers::{CUSTOMER_WINDOW_MS, TakenKey},
    endpoint_cuts::EndpointCutPeriod,
    logged_refusals::LoggedRefusals,
    notices::{NoticePeriod, REFUSAL_RETRY_AFTER_MS},
    retries::ServiceArrivals,
    stops::{EndpointWork, ScaledTimeouts},
};
use crate::{caller::RequestOutcome, work::WorkId};

/// Time limit within which a configuration becomes active on all VMs and an endpoint that
/// leaves stops receiving new requests, as planned for a fleet of full size.
pub const PROPAGATION_LIMIT_MS: u64 = 10_000;
/// Time limit after the last fault within which requests are served again.
pub const RECOVERY_LIMIT_MS: u64 = 15_000;
/// Share of the requests that must succeed after the recovery limit.
const RECOVERED_SUCCESS_SHARE: f64 = 0.25;
/// Time after a fault for which failures are still attributed to it, and time that VMs have
/// to exchange a crash record or a rate limit.
const FAULT_GRACE_MS: u64 = 3_000;
/// Time within which a request and the close of its connection may cross on the network.
const CLOSE_RACE_MS: u64 = 200;

/// Crashes after which a request is quarantined as their cause, and the number of runs that
/// are allowed after all VMs must have learned of the quarantine.
const CRASHES_BEFORE_QUARANTINE: usize = 3;
const MAX_LATE_RUNS: usize = 3;
/// Window over which requests to an endpoint with a rate limit are counted.
const LIMIT_WINDOW_MS: u64 = 4_000;
/// Tolerance above the rate limit: a factor and an absolute number of requests.
const LIMIT_TOLERANCE: (f64, f64) = (1.5, 5.0);

/// A property that must hold for users in every run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// A request that must not be repeated runs at most once.
    AtMostOnce,
    /// A request that was refused as not run has not run and never runs.
    NotRunIsTrue,
    /// A caller receives the complete answer to its own request or none.
    OwnAnswer,
    /// A planned stop interrupts no request.
    PlannedStop,
    /// A process that is asked to stop ends within its grace.
    StopsInTime,
    /// A VM's active configuration version never decreases while its process lives.
    NeverOlder,
    /// A published configuration becomes active on every VM in time.
    InForce,
    /// An endpoint that leaves receives no new requests after the propagation limit.
    Leaving,
    /// Requests are served again after the last fault.
    Recovery,
    /// A process doesn't exit unless it is stopped or killed.
    StaysUp,
    /// Each refusal is logged.
    RefusalLogged,
    /// A request that crashes endpoints is quarantined.
    CrashesHeldBack,
    /// An endpoint receives no more requests than its announced rate limit allows.
    LimitKept,
    /// No request with an API key that was taken away runs after the bound.
    TakenKeyStops,
    /// A customer runs no more requests than its rate limit allows.
    CustomerLimitKept,
    /// An endpoint that says that it leaves, or asks for no requests, gets none.
    NoticesKept,
    /// VMs that reach no endpoint serve their callers nearly as often as the others.
    EndpointCutBridged,
    /// A request runs no more often than its route allows attempts.
    AttemptsKept,
    /// All VMs together send a service no more retries than its limit allows.
    RetryLimitKept,
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// Description of the violation, with times since the start of the load.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.description)
    }
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Id of the work.
    pub id: WorkId,
    /// Service that it was for.
    pub service: &'static str,
    /// Whether the request must not be repeated.
    pub non_idempotent: bool,
    /// The VM, if the caller has a persistent connection.
    pub vm: Option<usize>,
    /// Time that the caller gives it, which is the usual timeout of its route.
    pub deadline_ms: u64,
    /// Time at which it was sent.
    pub sent_ms: u64,
    /// Time at which its last byte was sent, if it was.
    pub whole_ms: Option<u64>,
    /// Time at which the request before it ended, if it was sent behind one on its connection.
    pub behind_until_ms: Option<u64>,
    /// Time at which it ended.
    pub ended_ms: u64,
    /// Its outcome.
    pub outcome: RequestOutcome,
    /// Reason of the refusal, if it was refused.
    pub reason: Option<Box<str>>,
    /// The fleet's id of the request, if it was refused.
    pub request_id: Option<Box<str>>,
}

/// The active configuration version that a VM reported.
#[derive(Clone, Copy, Debug)]
pub struct ObservedVersion {
    /// Time of the event.
    pub at_ms: u64,
    /// The VM.
    pub vm: usize,
    /// Number of the VM's process, counted from 0.
    pub process: u32,
    /// The version, or `None` before the first one is active.
    pub version: Option<u64>,
}

/// The version of a valid configuration that was published.
#[derive(Clone, Copy, Debug)]
pub struct PublishedVersion {
    /// Time of the event.
    pub at_ms: u64,
    /// Its version.
    pub version: u64,
}

/// A period in which an endpoint was marked as leaving.
#[derive(Clone, Debug)]
pub struct LeavingPeriod {
    /// The endpoint.
    pub endpoint: String,
    /// Time at which it was marked.
    pub from_ms: u64,
    /// Time at which the mark was removed.
    pub until_ms: u64,
    /// Times at which requests arrived there.
    pub arrivals_ms: Vec<u64>,
}

/// A period in which an endpoint announced a rate limit.
#[derive(Clone, Debug)]
pub struct RateLimitPeriod {
    /// The endpoint.
    pub endpoint: String,
    /// Limit in requests per second, over all VMs.
    pub per_second: f64,
    /// Time at which it stopped announcing the limit.
    pub until_ms: u64,
    /// Times at which requests arrived; the first answer announced the limit.
    pub arrivals_ms: Vec<u64>,
}

/// A process of a VM.
#[derive(Clone, Copy, Debug)]
pub struct Process {
    /// The VM.
    pub vm: usize,
    /// Its number among the VM's processes, counted from 0.
    pub number: u32,
    /// Time at which it started.
    pub started_ms: u64,
    /// Time at which it was asked to stop.
    pub stop_requested_ms: Option<u64>,
    /// Time at which it was killed.
    pub killed_ms: Option<u64>,
    /// Time at which it was killed since the grace of its stop was over.
    pub grace_ended_ms: Option<u64>,
    /// Time at which its exit was noticed.
    pub ended_ms: Option<u64>,
    /// Whether it was killed or asked to stop.
    pub exit_expected: bool,
}

/// Everything that was observed in a run.
#[derive(Clone, Debug, Default)]
pub struct RunRecord {
    /// Requests that callers sent.
    pub requests: Vec<RequestRecord>,
    /// Number of times that endpoints began to run each piece of work.
    pub executions: FxHashMap<WorkId, u32>,
    /// The time that each request spent at endpoints.
    pub endpoint_work: FxHashMap<WorkId, Vec<EndpointWork>>,
    /// Time that a process has for a stop.
    pub stop_grace_ms: u64,
    /// Periods in which the routes had other timeouts.
    pub scaled_timeouts: Vec<ScaledTimeouts>,
    /// Arrivals at the endpoints of each service.
    pub service_arrivals: Vec<ServiceArrivals>,
    /// Attempts that a request may have.
    pub max_attempts: u32,
    /// Active configuration versions in the order in which they were observed.
    pub versions: Vec<ObservedVersion>,
    /// Published configurations in order.
    pub published: Vec<PublishedVersion>,
    /// Periods in which endpoints were leaving.
    pub leaving_periods: Vec<LeavingPeriod>,
    /// Periods in which endpoints announced a rate limit.
    pub rate_limit_periods: Vec<RateLimitPeriod>,
    /// Periods in which endpoints asked for no requests.
    pub notice_periods: Vec<NoticePeriod>,
    /// Periods in which VMs reached no endpoint.
    pub endpoint_cuts: Vec<EndpointCutPeriod>,
    /// Periods in which a VM couldn't reach the platform; it may serve no keyed requests then.
    pub platform_cuts: Vec<(u64, u64)>,
    /// API keys that were taken away.
    pub taken_keys: Vec<TakenKey>,
    /// Bound after which no key that was taken away may be served.
    pub key_limit_ms: u64,
    /// Periods in which the platform answered with old configurations. It can't be asked whether a
    /// key is still valid then.
    pub stale_platform: Vec<(u64, u64)>,
    /// Requests of a customer with a rate limit, with the times at which they were sent.
    pub flood: Vec<(WorkId, u64)>,
    /// Requests that this customer may run in [`CUSTOMER_WINDOW_MS`], with the tolerance.
    pub flood_window_limit: f64,
    /// Times at which endpoints began to run a request that crashes them, in order.
    pub crash_runs_ms: Vec<u64>,
    /// All processes of the VMs.
    pub processes: Vec<Process>,
    /// Start and end times of the faults.
    pub faults: Vec<(u64, u64)>,
    /// Start and end times of the faults other than requests that crash endpoints.
    pub vm_faults: Vec<(u64, u64)>,
    /// Start and end times of the periods in which the process of the soak itself was held up.
    pub stalls: Vec<(u64, u64)>,
    /// The refusals that the VMs logged.
    pub logged_refusals: LoggedRefusals,
    /// End of the load.
    pub end_ms: u64,
}

/// Returns all violations of invariants in a run.
pub fn violations(record: &RunRecord) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut report =
        |invariant, description: String| found.push(Violation { invariant, description });
    for request in &record.requests {
        if let Some((invariant, what)) = record.violated_by_request(request) {
            let RequestRecord { id, vm, sent_ms, ended_ms, outcome, reason, request_id, .. } =
                request;
            let request_id = request_id.as_deref().unwrap_or("unknown");
            let reason = reason.as_deref().unwrap_or("none");
            report(
                invariant,
                format!(
                    "work {} {what}: request={request_id} vm={vm:?} {sent_ms} to {ended_ms} ms \
                     {outcome:?} reason={reason} executions={}",
                    id.0,
                    record.executions(*id)
                ),
            );
        }
    }
    record.check_version_regressions(&mut report);
    record.check_version_propagation(&mut report);
    record.check_late_arrivals(&mut report);
    record.check_unexpected_exits(&mut report);
    record.check_graces(&mut report);
    record.check_late_crash_runs(&mut report);
    record.check_rate_limits(&mut report);
    record.check_notices(&mut report);
    record.check_endpoint_cuts(&mut report);
    record.check_taken_keys(&mut report);
    record.check_customer_limit(&mut report);
    record.check_retry_limits(&mut report);
    if let Some(description) = record.recovery_failure() {
        report(Invariant::Recovery, description);
    }
    found
}

impl RunRecord {
    fn executions(&self, id: WorkId) -> u32 {
        self.executions.get(&id).copied().unwrap_or(0)
    }

    /// Returns whether a fault or the grace time after it overlaps the given period.
    fn overlaps_fault(&self, from_ms: u64, to_ms: u64) -> bool {
        self.faults.iter().any(|(begin, end)| *begin <= to_ms && from_ms <= end + FAULT_GRACE_MS)
    }

    fn violated_by_request(&self, request: &RequestRecord) -> Option<(Invariant, &'static str)> {
        let executions = self.executions(request.id);
        match request.outcome {
            _ if request.non_idempotent && executions > 1 => {
                Some((Invariant::AtMostOnce, "ran more than once"))
            }
            _ if executions > self.max_attempts => {
                Some((Invariant::AttemptsKept, "ran more often than its attempts allow"))
            }
            RequestOutcome::RefusedNotRun | RequestOutcome::NoVm if executions > 0 => {
                Some((Invariant::NotRunIsTrue, "ran though it was refused as not run"))
            }
            RequestOutcome::WrongAnswer => Some((Invariant::OwnAnswer, "received another answer")),
            RequestOutcome::RefusedNotRun | RequestOutcome::Unknown
                if !self.has_log_line(request) =>
            {
                Some((Invariant::RefusalLogged, "was refused without a line in a log"))
            }
            _ => self.interruption(request).map(|what| (Invariant::PlannedStop, what)),
        }
    }

    fn check_version_regressions(&self, report: &mut impl FnMut(Invariant, String)) {
        let mut last: FxHashMap<(usize, u32), Option<u64>> = FxHashMap::default();
        for ObservedVersion { at_ms, vm, process, version } in self.versions.iter().copied() {
            let before = last.insert((vm, process), version).flatten();
            if version < before {
                let description =
                    format!("vm={vm} went from {before:?} to {version:?} at {at_ms} ms");
                report(Invariant::NeverOlder, description);
            }
        }
    }

    fn check_version_propagation(&self, report: &mut impl FnMut(Invariant, String)) {
        for PublishedVersion { at_ms, version } in self.published.iter().copied() {
            let due_ms = at_ms + PROPAGATION_LIMIT_MS;
            if due_ms > self.end_ms || self.overlaps_fault(at_ms, due_ms) {
                continue;
            }
            let ran_throughout = |process: &&Process| {
                process.started_ms <= at_ms
                    && process.stop_requested_ms.is_none_or(|at| at > due_ms)
                    && process.ended_ms.is_none_or(|at| at > due_ms)
            };
            for process in self.processes.iter().filter(ran_throughout) {
                let of_process = |seen: &&ObservedVersion| {
                    seen.vm == process.vm && seen.process == process.number && seen.at_ms <= due_ms
                };
                let newest = self.versions.iter().filter(of_process).filter_map(|it| it.version);
                let newest = newest.max();
                if newest < Some(version) {
                    let vm = process.vm;
                    report(
                        Invariant::InForce,
                        format!(
                            "vm={vm} had {newest:?} at {due_ms} ms; {version} since {at_ms} ms"
                        ),
                    );
                }
            }
        }
    }

    fn check_late_arrivals(&self, report: &mut impl FnMut(Invariant, String)) {
        for period in &self.leaving_periods {
            let due_ms = period.from_ms + PROPAGATION_LIMIT_MS;
            let late = period.arrivals_ms.iter().find(|at| (due_ms..period.until_ms).contains(at));
            if let Some(at_ms) = late.filter(|at_ms| !self.overlaps_fault(period.from_ms, **at_ms))
            {
                let LeavingPeriod { endpoint, from_ms, .. } = period;
                report(
                    Invariant::Leaving,
                    format!(
                        "{endpoint}, leaving since {from_ms} ms, received a request at {at_ms} ms"
                    ),
                );
            }
        }
    }

    fn check_unexpected_exits(&self, report: &mut impl FnMut(Invariant, String)) {
        for process in self.processes.iter().filter(|process| !process.exit_expected) {
            if let Some(ended_ms) = process.ended_ms {
                let Process { vm, number, .. } = process;
                report(
                    Invariant::StaysUp,
                    format!("vm={vm} process {number} ended at {ended_ms} ms"),
                );
            }
        }
    }

    /// Returns whether no VM started and no VM fault was active shortly before `at_ms`.
    fn is_fault_free(&self, at_ms: u64) -> bool {
        let since_ms = at_ms.saturating_sub(FAULT_GRACE_MS);
        let is_fault = |(from, to): &(u64, u64)| *from <= at_ms && since_ms <= *to;
        let is_start = |process: &Process| (since_ms..=at_ms).contains(&process.started_ms);
        !self.vm_faults.iter().any(is_fault) && !self.processes.iter().any(is_start)
    }

    fn check_late_crash_runs(&self, report: &mut impl FnMut(Invariant, String)) {
        let Some(third_crash_ms) = self.crash_runs_ms.get(CRASHES_BEFORE_QUARANTINE - 1) else {
            return;
        };
        let deadline_ms = third_crash_ms + FAULT_GRACE_MS;
        let late =
            self.crash_runs_ms.iter().filter(|at| **at > deadline_ms && self.is_fault_free(**at));
        let late_ms: Vec<u64> = late.copied().collect();
        if late_ms.len() > MAX_LATE_RUNS {
            let (count, first_ms) = (late_ms.len(), late_ms[0]);
            let description = format!(
                "third crash at {third_crash_ms} ms, {count} further runs from {first_ms} ms on, \
                 {MAX_LATE_RUNS} allowed"
            );
            report(Invariant::CrashesHeldBack, description);
        }
    }

    fn check_rate_limits(&self, report: &mut impl FnMut(Invariant, String)) {
        for RateLimitPeriod { endpoint, per_second, until_ms, arrivals_ms } in
            &self.rate_limit_periods
        {
            let Some(first_ms) = arrivals_ms.first() else { continue };
            let allowed = LIMIT_TOLERANCE.0 * per_second * (LIMIT_WINDOW_MS as f64 / 1_000.0)
                + LIMIT_TOLERANCE.1;
            let after_grace = arrivals_ms.iter().filter(|at| **at >= first_ms + FAULT_GRACE_MS);
            let worst = after_grace
                .map(|from| {
                    let window = *from..(from + LIMIT_WINDOW_MS).min(*until_ms);
                    let in_window = arrivals_ms.iter().filter(|at| window.contains(at));
                    (in_window.filter(|at| self.is_fault_free(**at)).count(), *from)
                })
                .max();
            if let Some((count, from_ms)) = worst.filter(|(count, _)| *count as f64 > allowed) {
                let description = format!(
                    "{endpoint}, limit {per_second} per second, received {count} requests from {from_ms} ms on, \
                     {allowed} allowed"
                );
                report(Invariant::LimitKept, description);
            }
        }
    }

    fn recovery_failure(&self) -> Option<String> {
        let last_fault_ms = self.faults.iter().map(|(_, end)| *end).max()?;
        let from_ms = last_fault_ms + RECOVERY_LIMIT_MS;
        let since = self.requests.iter().filter(|request| request.sent_ms >= from_ms);
        let (mut all, mut served) = (0_u32, 0_u32);
        for request in since {
            all += 1;
            served += u32::from(request.outcome == RequestOutcome::Ok);
        }
        let is_enough = f64::from(served) >= RECOVERED_SUCCESS_SHARE * f64::from(all);
        (!is_enough).then(|| format!("{served} of {all} requests served after {from_ms} ms"))
    }
}
