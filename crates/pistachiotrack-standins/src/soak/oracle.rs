//! What the promises say of what was seen from outside.
//!
//! Nothing here knows the daemon: callers' answers, the endpoints' own count of what they
//! ran, the versions that VMs say are in force, and what was done to them.

use std::fmt;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::{caller::Ending, work::WorkId};

/// Time within which a change is in force everywhere, and an endpoint that leaves gets
/// nothing new any more: the plan for the whole size.
pub const IN_FORCE_MS: u64 = 10_000;
/// Time after the last fault within which requests are served again.
pub const RECOVER_MS: u64 = 15_000;
/// Part of the requests that has to be served then.
const SERVED_AGAIN: f64 = 0.25;
/// Time after a fault for which its effects are held against it.
const SETTLE_MS: u64 = 3_000;
/// Time after its last byte for which a request may still cross the close of its
/// connection.
const CROSSING_MS: u64 = 200;

/// Crashes after which the request under which endpoints end counts as the cause, and how
/// often it may run later than all VMs have to know.
const CAUSE_CRASHES: usize = 3;
const LATE_CRASHES: usize = 3;
/// Time over which requests to an endpoint that names a limit are counted.
const LIMIT_WINDOW_MS: u64 = 4_000;
/// How far they may exceed what the limit allows: a factor, and requests besides.
const LIMIT_TOLERANCE: (f64, f64) = (1.5, 5.0);

/// Time that a line needs from the decision to the log.
const LOG_MS: u64 = 1_000;

/// A promise to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Promise {
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

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// What was seen, with times from the beginning of the load.
    pub seen: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.seen)
    }
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Asked {
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
    pub ending: Ending,
    /// Identity within the fleet, if it was refused.
    pub request: Option<Box<str>>,
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
pub struct Published {
    /// When.
    pub at_ms: u64,
    /// Its version.
    pub version: u64,
}

/// An endpoint while operators mark it as leaving, and the work that arrived there.
#[derive(Clone, Debug)]
pub struct Left {
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
pub struct Limited {
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
    pub asked_to_stop_ms: Option<u64>,
    /// When it was killed.
    pub killed_ms: Option<u64>,
    /// When it had ended.
    pub ended_ms: Option<u64>,
    /// Whether it was killed, or asked to stop.
    pub end_was_meant: bool,
}

/// What the VMs logged of refusals.
#[derive(Clone, Debug, Default)]
pub struct LoggedRefusals {
    /// Requests whose refusal has a line.
    pub requests: FxHashSet<Box<str>>,
    /// Whether lines were left out.
    pub is_cut: bool,
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
            self.is_cut |= has("event=log_lines_left_out");
        }
    }
}

/// All that was seen of a run.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Requests.
    pub asked: Vec<Asked>,
    /// How often each piece of work was begun.
    pub executions: FxHashMap<WorkId, u32>,
    /// Versions in force, in the order in which they were seen.
    pub versions: Vec<VersionSeen>,
    /// Configurations, in their order.
    pub published: Vec<Published>,
    /// Endpoints that left.
    pub left: Vec<Left>,
    /// Endpoints that named a limit.
    pub limited: Vec<Limited>,
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

/// Returns every promise that was broken.
pub fn violations(record: &Record) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut broken = |promise, seen: String| found.push(Violation { promise, seen });
    for asked in &record.asked {
        if let Some((promise, what)) = record.broken_by_request(asked) {
            let Asked { id, vm, sent_ms, ended_ms, ending, request, .. } = asked;
            let request = request.as_deref().unwrap_or("unknown");
            broken(
                promise,
                format!(
                    "work {} {what}: request={request} vm={vm:?} {sent_ms} to {ended_ms} ms \
                     {ending:?}",
                    id.0
                ),
            );
        }
    }
    record.older_versions(&mut broken);
    record.late_versions(&mut broken);
    record.late_arrivals(&mut broken);
    record.unmeant_ends(&mut broken);
    record.late_crashes(&mut broken);
    record.exceeded_limits(&mut broken);
    if let Some(seen) = record.not_recovered() {
        broken(Promise::Recovery, seen);
    }
    found
}

impl Record {
    fn executions(&self, id: WorkId) -> u32 {
        self.executions.get(&id).copied().unwrap_or(0)
    }

    /// Returns whether a fault was at work, or had just been, between two moments.
    fn disturbed(&self, from_ms: u64, to_ms: u64) -> bool {
        self.faults.iter().any(|(begin, end)| *begin <= to_ms && from_ms <= end + SETTLE_MS)
    }

    fn broken_by_request(&self, asked: &Asked) -> Option<(Promise, &'static str)> {
        let executions = self.executions(asked.id);
        match asked.ending {
            _ if asked.non_idempotent && executions > 1 => {
                Some((Promise::AtMostOnce, "ran more than once"))
            }
            Ending::RefusedNotRun | Ending::NoVm if executions > 0 => {
                Some((Promise::NotRunIsTrue, "ran though it was refused as not run"))
            }
            Ending::WrongAnswer => Some((Promise::OwnAnswer, "got another answer")),
            Ending::RefusedNotRun | Ending::Unknown if !self.has_line(asked) => {
                Some((Promise::RefusalLogged, "was refused without a line in a log"))
            }
            Ending::Lost if self.is_cut_by_stop(asked) => {
                Some((Promise::PlannedStop, "was cut by a planned stop"))
            }
            _ => None,
        }
    }

    /// Returns whether the log has a refusal's line, or can't be held to it: lines were left
    /// out, or the VM was killed before it was written.
    fn has_line(&self, asked: &Asked) -> bool {
        let Some(request) = asked.request.as_deref() else { return false };
        let vm = self.logged.vms.iter().position(|vm| {
            request.strip_prefix(vm.as_str()).is_some_and(|rest| rest.starts_with('-'))
        });
        let was_killed = self.processes.iter().any(|process| {
            let unwritten = asked.sent_ms..=asked.ended_ms + LOG_MS;
            Some(process.vm) == vm && process.killed_ms.is_some_and(|at| unwritten.contains(&at))
        });
        self.logged.is_cut || was_killed || self.logged.requests.contains(request)
    }

    /// Returns whether a planned stop, and nothing else, cut a request that was taken.
    fn is_cut_by_stop(&self, asked: &Asked) -> bool {
        let Some(vm) = asked.vm else { return false };
        let was_taken = self.executions(asked.id) > 0
            || asked.ended_ms.saturating_sub(asked.sent_ms) > CROSSING_MS;
        let stops = self.processes.iter().filter(|process| process.vm == vm);
        let stops = stops.filter_map(|process| {
            let ended_ms = process.ended_ms.unwrap_or(u64::MAX);
            Some((process.asked_to_stop_ms?, ended_ms.saturating_add(CROSSING_MS)))
        });
        let mut at_work =
            stops.filter(|(from, to)| *from <= asked.ended_ms && asked.sent_ms <= *to);
        was_taken && at_work.next().is_some() && !self.disturbed(asked.sent_ms, asked.ended_ms)
    }

    fn older_versions(&self, broken: &mut impl FnMut(Promise, String)) {
        let mut last: FxHashMap<(usize, u32), Option<u64>> = FxHashMap::default();
        for VersionSeen { at_ms, vm, process, version } in self.versions.iter().copied() {
            let before = last.insert((vm, process), version).flatten();
            if version < before {
                let seen = format!("vm={vm} went from {before:?} to {version:?} at {at_ms} ms");
                broken(Promise::NeverOlder, seen);
            }
        }
    }

    fn late_versions(&self, broken: &mut impl FnMut(Promise, String)) {
        for Published { at_ms, version } in self.published.iter().copied() {
            let due_ms = at_ms + IN_FORCE_MS;
            if due_ms > self.end_ms || self.disturbed(at_ms, due_ms) {
                continue;
            }
            let lived = |process: &&Process| {
                process.started_ms <= at_ms
                    && process.asked_to_stop_ms.is_none_or(|at| at > due_ms)
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
                    broken(
                        Promise::InForce,
                        format!(
                            "vm={vm} had {newest:?} at {due_ms} ms; {version} since {at_ms} ms"
                        ),
                    );
                }
            }
        }
    }

    fn late_arrivals(&self, broken: &mut impl FnMut(Promise, String)) {
        for left in &self.left {
            let due_ms = left.from_ms + IN_FORCE_MS;
            let late = left.arrivals_ms.iter().find(|at| (due_ms..left.until_ms).contains(at));
            if let Some(at_ms) = late.filter(|at_ms| !self.disturbed(left.from_ms, **at_ms)) {
                let Left { endpoint, from_ms, .. } = left;
                broken(
                    Promise::Leaving,
                    format!("{endpoint}, leaving since {from_ms} ms, got work at {at_ms} ms"),
                );
            }
        }
    }

    fn unmeant_ends(&self, broken: &mut impl FnMut(Promise, String)) {
        for process in self.processes.iter().filter(|process| !process.end_was_meant) {
            if let Some(ended_ms) = process.ended_ms {
                let Process { vm, number, .. } = process;
                broken(
                    Promise::StaysUp,
                    format!("vm={vm} process {number} ended at {ended_ms} ms"),
                );
            }
        }
    }

    /// Returns whether all VMs ran and heard each other for a while before `at_ms`.
    fn is_calm(&self, at_ms: u64) -> bool {
        let since_ms = at_ms.saturating_sub(SETTLE_MS);
        let is_fault = |(from, to): &(u64, u64)| *from <= at_ms && since_ms <= *to;
        let is_start = |process: &Process| (since_ms..=at_ms).contains(&process.started_ms);
        !self.vm_faults.iter().any(is_fault) && !self.processes.iter().any(is_start)
    }

    fn late_crashes(&self, broken: &mut impl FnMut(Promise, String)) {
        let Some(third_ms) = self.crash_runs_ms.get(CAUSE_CRASHES - 1) else { return };
        let known_ms = third_ms + SETTLE_MS;
        let late = self.crash_runs_ms.iter().filter(|at| **at > known_ms && self.is_calm(**at));
        let late_ms: Vec<u64> = late.copied().collect();
        if late_ms.len() > LATE_CRASHES {
            let (count, first_ms) = (late_ms.len(), late_ms[0]);
            let seen = format!(
                "third crash at {third_ms} ms, {count} further runs from {first_ms} ms on, \
                 {LATE_CRASHES} allowed"
            );
            broken(Promise::CrashesHeldBack, seen);
        }
    }

    fn exceeded_limits(&self, broken: &mut impl FnMut(Promise, String)) {
        for Limited { endpoint, per_second, until_ms, arrivals_ms } in &self.limited {
            let Some(first_ms) = arrivals_ms.first() else { continue };
            let allowed = LIMIT_TOLERANCE.0 * per_second * (LIMIT_WINDOW_MS as f64 / 1_000.0)
                + LIMIT_TOLERANCE.1;
            let known = arrivals_ms.iter().filter(|at| **at >= first_ms + SETTLE_MS);
            let worst = known
                .map(|from| {
                    let window = *from..(from + LIMIT_WINDOW_MS).min(*until_ms);
                    let in_window = arrivals_ms.iter().filter(|at| window.contains(at));
                    (in_window.filter(|at| self.is_calm(**at)).count(), *from)
                })
                .max();
            if let Some((count, from_ms)) = worst.filter(|(count, _)| *count as f64 > allowed) {
                let seen = format!(
                    "{endpoint}, limit {per_second} a second, got {count} from {from_ms} ms on, \
                     {allowed} allowed"
                );
                broken(Promise::LimitKept, seen);
            }
        }
    }

    fn not_recovered(&self) -> Option<String> {
        let last_fault_ms = self.faults.iter().map(|(_, end)| *end).max()?;
        let from_ms = last_fault_ms + RECOVER_MS;
        let since = self.asked.iter().filter(|asked| asked.sent_ms >= from_ms);
        let (mut all, mut served) = (0_u32, 0_u32);
        for asked in since {
            all += 1;
            served += u32::from(asked.ending == Ending::Ok);
        }
        let is_enough = f64::from(served) >= SERVED_AGAIN * f64::from(all);
        (!is_enough).then(|| format!("{served} of {all} requests served after {from_ms} ms"))
    }
}
