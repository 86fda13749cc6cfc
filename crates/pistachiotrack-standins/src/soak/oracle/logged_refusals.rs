//! Refusals and their lines in the logs.

use rustc_hash::{FxHashMap, FxHashSet};

use super::{RequestRecord, RunRecord};

/// Time from a decision until its line is written to the log.
const LOG_FLUSH_MS: u64 = 1_000;

/// The refusals that the VMs logged.
#[derive(Clone, Debug, Default)]
pub struct LoggedRefusals {
    /// Ids of the requests whose refusal was logged.
    pub request_ids: FxHashSet<Box<str>>,
    /// The VMs that refused requests which another VM had taken from a caller, by the requests' ids.
    pub decided_by: FxHashMap<Box<str>, Box<str>>,
    /// Whether a VM omitted log lines.
    pub has_omitted_lines: bool,
    /// Names of the VMs, which are the prefixes of their request ids.
    pub vms: Vec<String>,
}

impl LoggedRefusals {
    /// Adds the refusals in a log.
    pub fn read(&mut self, log: &str) {
        for line in log.lines() {
            let has = |pair: &str| line.split_whitespace().any(|word| word == pair);
            let request_id = line.split_whitespace().find_map(|word| word.strip_prefix("request="));
            if has("event=refused") && has("to=caller") {
                let decided_by =
                    line.split_whitespace().find_map(|word| word.strip_prefix("decided_by="));
                let decision = request_id.zip(decided_by);
                self.decided_by.extend(decision.map(|(id, vm)| (Box::from(id), Box::from(vm))));
                self.request_ids.extend(request_id.map(Box::from));
            }
            self.has_omitted_lines |= has("event=log_lines_left_out");
        }
    }
}

impl RunRecord {
    /// Returns the VM that refused a request, if it is known.
    pub(super) fn deciding_vm(&self, request: &RequestRecord) -> Option<usize> {
        let name = self.logged_refusals.decided_by.get(request.request_id.as_deref()?)?;
        self.logged_refusals.vms.iter().position(|vm| **vm == **name)
    }

    /// Returns whether a refusal was logged, or its line may be missing because a VM omitted
    /// lines or was killed before it wrote the line.
    pub(super) fn has_log_line(&self, request: &RequestRecord) -> bool {
        let Some(request_id) = request.request_id.as_deref() else { return false };
        let vm = self.logged_refusals.vms.iter().position(|vm| {
            request_id.strip_prefix(vm.as_str()).is_some_and(|rest| rest.starts_with('-'))
        });
        let was_killed = self.processes.iter().any(|process| {
            let unwritten = request.sent_ms..=request.ended_ms + LOG_FLUSH_MS;
            Some(process.vm) == vm && process.killed_ms.is_some_and(|at| unwritten.contains(&at))
        });
        self.logged_refusals.has_omitted_lines
            || was_killed
            || self.logged_refusals.request_ids.contains(request_id)
    }
}
