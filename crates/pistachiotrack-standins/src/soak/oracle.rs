//! What the promises say of what was seen from outside.
//!
//! Nothing here knows the daemon: callers' answers, the endpoints' own count of what they
//! ran, the versions that VMs say are in force, and what was done to them.

use std::fmt;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::{caller::RequestOutcome, work::WorkId};

/// Time within which a change is in force everywhere, and an endpoint that leaves gets
/// nothing new any more: the plan for the whole size.
pub const PROPAGATION_LIMIT_MS: u64 = 10_000;
/// Time after the last fault within which requests are served again.
pub const RECOVERY_LIMIT_MS: u64 = 15_000;
/// Part of the requests that has to be served then.
const RECOVERED_SUCCESS_SHARE: f64 = 0.25;
/// Time after a fault for which its effects are held against it.
const FAULT_GRACE_MS: u64 = 3_000;
/// Time after its last byte for which a request may still cross the close of its
/// connection.
const CLOSE_RACE_MS: u64 = 200;

/// Crashes after which the request under which endpoints end counts as the cause, and how
/// often it may run later than all VMs have to know.
const CRASHES_BEFORE_QUARANTINE: usize = 3;
const MAX_LATE_RUNS: usize = 3;
/// Time over which requests to an endpoint that names a limit are counted.
const LIMIT_WINDOW_MS: u64 = 4_000;
/// How far they may exceed what the limit allows: a factor, and requests besides.
const LIMIT_TOLERANCE: (f64, f64) = (1.5, 5.0);

/// Time that a line needs from the decision to the log.
const LOG_FLUSH_MS: u64 = 1_000;

/// A invariant to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// A request that must not be repeated runs once at most.
    AtMostOnce,
    /// What is refused as not run has not run and never does.
    NotRunIsTrue,
    /// A caller gets the whole answer to its own request or none.
    OwnAnswer,
    /// A planned stop cuts no request.
    PlannedStop,
    /// A VM's configuration never gets older while its process lives.
    NeverOlder,
    /// A change is in force on every VM in time.
    InForce,
    /// An endpoint that leaves gets nothing new after a while.
    Leaving,
    /// Requests are served again after all faults.
    Recovery,
    /// A process doesn't end by itself.
    StaysUp,
    /// A refusal leaves its line in a log.
    RefusalLogged,
    /// A request that crashes endpoints is held back.
    CrashesHeldBack,
    /// An endpoint gets no more than the limit that it names.
    LimitKept,
}

/// A invariant that was report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// What was seen, with times from the beginning of the load.
    pub seen: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.seen)
    }
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The work.
    pub id: WorkId,
    /// Whether it must not be repeated.
    pub non_idempotent: bool,
    /// The VM, where the caller keeps a connection to one.
    pub vm: Option<usize>,
    /// Moment of sending.
    pub sent_ms: u64,
    /// Moment of the end.
    pub ended_ms: u64,
    /// What came of it.
    pub outcome: RequestOutcome,
    /// Identity within the fleet, if it was refused.
    pub request_id: Option<Box<str>>,
}

/// The version that a VM said was in force.
#[derive(Clone, Copy, Debug)]
pub struct VersionSeen {
    /// When.
    pub at_ms: u64,
    /// The VM.
    pub vm: usize,
    /// Number of the VM's process.
    pub process: u32,
    /// The version; `None` before the first one.
    pub version: Option<u64>,
}

/// A valid configuration that operators published.
#[derive(Clone, Copy, Debug)]
pub struct PublishedVersion {
    /// When.
    pub at_ms: u64,
    /// Its version.
    pub version: u64,
}

/// An endpoint while operators mark it as leaving, and the work that arrived there.
#[derive(Clone, Debug)]
pub struct LeavingPeriod {
    /// The endpoint.
    pub endpoint: String,
    /// When it was marked.
    pub from_ms: u64,
    /// When that was taken back.
    pub until_ms: u64,
    /// Moments at which work arrived.
    pub arrivals_ms: Vec<u64>,
}

/// An endpoint while it names a limit.
#[derive(Clone, Debug)]
pub struct RateLimitPeriod {
    /// The endpoint.
    pub endpoint: String,
    /// Requests a second that it takes from all VMs together.
    pub per_second: f64,
    /// When it ceased to name the limit.
    pub until_ms: u64,
    /// Moments at which work arrived meanwhile; the answer to the first named the limit first.
    pub arrivals_ms: Vec<u64>,
}

/// A process of a VM.
#[derive(Clone, Copy, Debug)]
pub struct Process {
    /// The VM.
    pub vm: usize,
    /// Its number.
    pub number: u32,
    /// When it started.
    pub started_ms: u64,
    /// When it was asked to stop.
    pub stop_requested_ms: Option<u64>,
    /// When it was killed.
    pub killed_ms: Option<u64>,
    /// When it had ended.
    pub ended_ms: Option<u64>,
    /// Whether it was killed, or asked to stop.
    pub exit_expected: bool,
}

/// What the VMs logged of refusals.
#[derive(Clone, Debug, Default)]
pub struct LoggedRefusals {
    /// Requests whose refusal has a line.
    pub requests: FxHashSet<Box<str>>,
    /// Whether lines were period out.
    pub has_omitted_lines: bool,
    /// Names of the VMs, which the identities of their requests begin with.
    pub vms: Vec<String>,
}

impl LoggedRefusals {
    /// Reads the lines of a log.
    pub fn read(&mut self, log: &str) {
        for line in log.lines() {
            let has = |pair: &str| line.split_whitespace().any(|word| word == pair);
            let request = line.split_whitespace().find_map(|word| word.strip_prefix("request="));
            if has("event=refused") && has("to=caller") {
                self.requests.extend(request.map(Box::from));
            }
            self.has_omitted_lines |= has("event=log_lines_left_out");
        }
    }
}

/// All that was seen of a run.
#[derive(Clone, Debug, Default)]
pub struct RunRecord {
    /// Requests.
    pub requests: Vec<RequestRecord>,
    /// How often each piece of work was begun.
    pub executions: FxHashMap<WorkId, u32>,
    /// Versions in force, in the order in which they were seen.
    pub versions: Vec<VersionSeen>,
    /// Configurations, in their order.
    pub published: Vec<PublishedVersion>,
    /// Endpoints that period.
    pub leaving_periods: Vec<LeavingPeriod>,
    /// Endpoints that named a limit.
    pub rate_limit_periods: Vec<RateLimitPeriod>,
    /// Moments at which endpoints began to run the request that crashes them, in their order.
    pub crash_runs_ms: Vec<u64>,
    /// Processes.
    pub processes: Vec<Process>,
    /// Faults, from and to.
    pub faults: Vec<(u64, u64)>,
    /// Those of VMs, of what is between them, and of endpoints by themselves.
    pub vm_faults: Vec<(u64, u64)>,
    /// What the VMs logged of refusals.
    pub logged: LoggedRefusals,
    /// End of the load.
    pub end_ms: u64,
}

/// Returns every invariant that was report.
pub fn violations(record: &RunRecord) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut report = |invariant, seen: String| found.push(Violation { invariant, seen });
    for request in &record.requests {
        if let Some((invariant, what)) = record.violated_by_request(request) {
            let RequestRecord { id, vm, sent_ms, ended_ms, outcome, request_id, .. } = request;
            let request_id = request_id.as_deref().unwrap_or("unknown");
            report(
                invariant,
                format!(
                    "work {} {what}: request={request_id} vm={vm:?} {sent_ms} to {ended_ms} ms \
                     {outcome:?}",
                    id.0
                ),
            );
        }
    }
    record.check_version_regressions(&mut report);
    record.check_version_propagation(&mut report);
    record.check_late_arrivals(&mut report);
    record.check_unexpected_exits(&mut report);
    record.check_late_crash_runs(&mut report);
    record.check_rate_limits(&mut report);
    if let Some(seen) = record.recovery_failure() {
        report(Invariant::Recovery, seen);
    }
    found
}

impl RunRecord {
    fn executions(&self, id: WorkId) -> u32 {
        self.executions.get(&id).copied().unwrap_or(0)
    }

    /// Returns whether a fault was at work, or had just been, between two moments.
    fn overlaps_fault(&self, from_ms: u64, to_ms: u64) -> bool {
        self.faults.iter().any(|(begin, end)| *begin <= to_ms && from_ms <= end + FAULT_GRACE_MS)
    }

    fn violated_by_request(&self, request: &RequestRecord) -> Option<(Invariant, &'static str)> {
        let executions = self.executions(request.id);
        match request.outcome {
            _ if request.non_idempotent && executions > 1 => {
                Some((Invariant::AtMostOnce, "ran more than once"))
            }
            RequestOutcome::RefusedNotRun | RequestOutcome::NoVm if executions > 0 => {
                Some((Invariant::NotRunIsTrue, "ran though it was refused as not run"))
            }
            RequestOutcome::WrongAnswer => Some((Invariant::OwnAnswer, "got another answer")),
            RequestOutcome::RefusedNotRun | RequestOutcome::Unknown
                if !self.has_log_line(request) =>
            {
                Some((Invariant::RefusalLogged, "was refused without a line in a log"))
            }
            RequestOutcome::Lost if self.is_interrupted_by_stop(request) => {
                Some((Invariant::PlannedStop, "was cut by a planned stop"))
            }
            _ => None,
        }
    }

    /// Returns whether the log has a refusal's line, or can't be held to it: lines were period
    /// out, or the VM was killed before it was written.
    fn has_log_line(&self, request: &RequestRecord) -> bool {
        let Some(request_id) = request.request_id.as_deref() else { return false };
        let vm = self.logged.vms.iter().position(|vm| {
            request_id.strip_prefix(vm.as_str()).is_some_and(|rest| rest.starts_with('-'))
        });
        let was_killed = self.processes.iter().any(|process| {
            let unwritten = request.sent_ms..=request.ended_ms + LOG_FLUSH_MS;
            Some(process.vm) == vm && process.killed_ms.is_some_and(|at| unwritten.contains(&at))
        });
        self.logged.has_omitted_lines || was_killed || self.logged.requests.contains(request_id)
    }

    /// Returns whether a planned stop, and nothing else, cut a request that was taken.
    fn is_interrupted_by_stop(&self, request: &RequestRecord) -> bool {
        let Some(vm) = request.vm else { return false };
        let was_accepted = self.executions(request.id) > 0
            || request.ended_ms.saturating_sub(request.sent_ms) > CLOSE_RACE_MS;
        let stops = self.processes.iter().filter(|process| process.vm == vm);
        let stops = stops.filter_map(|process| {
            let ended_ms = process.ended_ms.unwrap_or(u64::MAX);
            Some((process.stop_requested_ms?, ended_ms.saturating_add(CLOSE_RACE_MS)))
        });
        let mut overlapping =
            stops.filter(|(from, to)| *from <= request.ended_ms && request.sent_ms <= *to);
        was_accepted
            && overlapping.next().is_some()
            && !self.overlaps_fault(request.sent_ms, request.ended_ms)
    }

    fn check_version_regressions(&self, report: &mut impl FnMut(Invariant, String)) {
        let mut last: FxHashMap<(usize, u32), Option<u64>> = FxHashMap::default();
        for VersionSeen { at_ms, vm, process, version } in self.versions.iter().copied() {
            let before = last.insert((vm, process), version).flatten();
            if version < before {
                let seen = format!("vm={vm} went from {before:?} to {version:?} at {at_ms} ms");
                report(Invariant::NeverOlder, seen);
            }
        }
    }

    fn check_version_propagation(&self, report: &mut impl FnMut(Invariant, String)) {
        for PublishedVersion { at_ms, version } in self.published.iter().copied() {
            let due_ms = at_ms + PROPAGATION_LIMIT_MS;
            if due_ms > self.end_ms || self.overlaps_fault(at_ms, due_ms) {
                continue;
            }
            let lived = |process: &&Process| {
                process.started_ms <= at_ms
                    && process.stop_requested_ms.is_none_or(|at| at > due_ms)
                    && process.ended_ms.is_none_or(|at| at > due_ms)
            };
            for process in self.processes.iter().filter(lived) {
                let of_process = |seen: &&VersionSeen| {
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
                    format!("{endpoint}, leaving since {from_ms} ms, got work at {at_ms} ms"),
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

    /// Returns whether all VMs ran and heard each other for a while before `at_ms`.
    fn is_fault_free(&self, at_ms: u64) -> bool {
        let since_ms = at_ms.saturating_sub(FAULT_GRACE_MS);
        let is_fault = |(from, to): &(u64, u64)| *from <= at_ms && since_ms <= *to;
        let is_start = |process: &Process| (since_ms..=at_ms).contains(&process.started_ms);
        !self.vm_faults.iter().any(is_fault) && !self.processes.iter().any(is_start)
    }

    fn check_late_crash_runs(&self, report: &mut impl FnMut(Invariant, String)) {
        let Some(quarantined_ms) = self.crash_runs_ms.get(CRASHES_BEFORE_QUARANTINE - 1) else {
            return;
        };
        let deadline_ms = quarantined_ms + FAULT_GRACE_MS;
        let late =
            self.crash_runs_ms.iter().filter(|at| **at > deadline_ms && self.is_fault_free(**at));
        let late_ms: Vec<u64> = late.copied().collect();
        if late_ms.len() > MAX_LATE_RUNS {
            let (count, first_ms) = (late_ms.len(), late_ms[0]);
            let seen = format!(
                "third crash at {quarantined_ms} ms, {count} further runs from {first_ms} ms on, \
                 {MAX_LATE_RUNS} allowed"
            );
            report(Invariant::CrashesHeldBack, seen);
        }
    }

    fn check_rate_limits(&self, report: &mut impl FnMut(Invariant, String)) {
        for RateLimitPeriod { endpoint, per_second, until_ms, arrivals_ms } in
            &self.rate_limit_periods
        {
            let Some(first_ms) = arrivals_ms.first() else { continue };
            let allowed = LIMIT_TOLERANCE.0 * per_second * (LIMIT_WINDOW_MS as f64 / 1_000.0)
                + LIMIT_TOLERANCE.1;
            let known = arrivals_ms.iter().filter(|at| **at >= first_ms + FAULT_GRACE_MS);
            let worst = known
                .map(|from| {
                    let window = *from..(from + LIMIT_WINDOW_MS).min(*until_ms);
                    let in_window = arrivals_ms.iter().filter(|at| window.contains(at));
                    (in_window.filter(|at| self.is_fault_free(**at)).count(), *from)
                })
                .max();
            if let Some((count, from_ms)) = worst.filter(|(count, _)| *count as f64 > allowed) {
                let seen = format!(
                    "{endpoint}, limit {per_second} a second, got {count} from {from_ms} ms on, \
                     {allowed} allowed"
                );
                report(Invariant::LimitKept, seen);
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
