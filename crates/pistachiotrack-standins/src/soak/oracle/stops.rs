//! Planned stops: requests that they interrupt, and processes that outlive their grace.

use super::{
    CLOSE_RACE_MS, FAULT_GRACE_MS, Invariant, PROPAGATION_LIMIT_MS, Process, RequestRecord,
    RunRecord,
};
use crate::{caller::RequestOutcome, work::WorkId};

/// Time after a stop began within which a request was sent that may be cut at the end of the grace.
const LATE_REQUEST_MS: u64 = 3_000;
/// Part of the grace at whose end a request may be cut.
const LAST_PART_DIVISOR: u64 = 6;
/// Time after the end of a request's time within which its connection may end for this reason.
const TIME_SLACK_MS: u64 = 1_000;

/// A period in which the timeouts of all routes were other than usual.
#[derive(Clone, Copy, Debug)]
pub struct ScaledTimeouts {
    /// Time at which they were published.
    pub from_ms: u64,
    /// Time at which the usual ones were published.
    pub until_ms: u64,
    /// The timeouts, as a percentage of the usual ones.
    pub percent: u32,
}

/// The time that a request spent at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointWork {
    /// Time at which it arrived.
    pub from_ms: u64,
    /// Time at which the endpoint had its answer or the VM had broken it off, if it did.
    pub until_ms: Option<u64>,
    /// Whether the endpoint had its answer.
    pub is_answered: bool,
}

impl EndpointWork {
    /// Returns whether the endpoint was at work when the caller's answer came at `at_ms`. What the VM
    /// broke off may have ended just before.
    fn lasts_until(&self, at_ms: u64) -> bool {
        let is_at_work = |until_ms: u64| match self.is_answered {
            true => until_ms > at_ms,
            false => until_ms + CLOSE_RACE_MS >= at_ms,
        };
        self.from_ms <= at_ms && self.until_ms.is_none_or(is_at_work)
    }
}

impl RunRecord {
    /// Returns what a planned stop, and no fault, did to a request that its VM had accepted.
    pub(super) fn interruption(&self, request: &RequestRecord) -> Option<&'static str> {
        let stop_ms = self.overlapping_stop(request, request.vm?)?;
        // A request that was forwarded ends with the grace of the VM that sent it to its endpoint.
        let forwarded = (request.outcome == RequestOutcome::Unknown)
            .then(|| self.overlapping_stop(request, self.deciding_vm(request)?))
            .flatten();
        if self.overlaps_fault(request.sent_ms, request.ended_ms)
            || self.overlaps_stall(request)
            || self.is_time_over(request)
            || self.ends_with_grace(request, forwarded.unwrap_or(stop_ms))
        {
            return None;
        }
        match request.outcome {
            RequestOutcome::Lost if self.was_accepted(request) => {
                Some("was interrupted by a planned stop")
            }
            RequestOutcome::Unknown
                if request.ended_ms >= stop_ms
                    && self.is_at_work(request.id, request.ended_ms)
                    && !self.overlaps_endpoint_cut(request) =>
            {
                Some("was at an endpoint when a planned stop refused it")
            }
            _ => None,
        }
    }

    /// Returns the time at which the last stop of a VM began that overlaps a request.
    fn overlapping_stop(&self, request: &RequestRecord, vm: usize) -> Option<u64> {
        let of_vm = self.processes.iter().filter(|process| process.vm == vm);
        let stops = of_vm.filter_map(|process| {
            let ended_ms = process.ended_ms.unwrap_or(u64::MAX);
            Some((process.stop_requested_ms?, ended_ms.saturating_add(CLOSE_RACE_MS)))
        });
        let overlapping =
            stops.filter(|(from, to)| *from <= request.ended_ms && request.sent_ms <= *to);
        overlapping.map(|(from, _)| from).max()
    }

    /// Returns whether the VM had read the whole request and did more than close its connection at
    /// the same moment. One that was sent behind another may never have been read.
    fn was_accepted(&self, request: &RequestRecord) -> bool {
        let waited = |whole_ms| request.ended_ms.saturating_sub(whole_ms) > CLOSE_RACE_MS;
        self.executions(request.id) > 0
            || self.endpoint_work.contains_key(&request.id)
            || (request.behind_until_ms.is_none() && request.whole_ms.is_some_and(waited))
    }

    /// Returns whether a request ended because its own time was over.
    fn is_time_over(&self, request: &RequestRecord) -> bool {
        let RequestRecord { sent_ms, ended_ms, deadline_ms, .. } = *request;
        let is_in_force = |scaled: &&ScaledTimeouts| {
            scaled.from_ms <= ended_ms && sent_ms <= scaled.until_ms + PROPAGATION_LIMIT_MS
        };
        let percents = self.scaled_timeouts.iter().filter(is_in_force).map(|it| it.percent);
        let time_ms = deadline_ms * u64::from(percents.min().unwrap_or(100).min(100)) / 100;
        let from_ms = sent_ms.max(request.behind_until_ms.unwrap_or(0));
        (time_ms..=time_ms + TIME_SLACK_MS).contains(&ended_ms.saturating_sub(from_ms))
    }

    /// Returns whether an endpoint was at work in the last part of the grace on a request that was
    /// sent early in it.
    fn ends_with_grace(&self, request: &RequestRecord, stop_ms: u64) -> bool {
        let grace_ms = self.stop_grace_ms;
        let last_part_ms = stop_ms + grace_ms - grace_ms / LAST_PART_DIVISOR;
        let sent_ms = request.whole_ms.unwrap_or(request.sent_ms);
        sent_ms <= stop_ms + LATE_REQUEST_MS
            && request.ended_ms >= last_part_ms
            && self.is_at_work(request.id, request.ended_ms)
    }

    /// Returns whether this process was held up meanwhile. Its callers read late what a VM had sent
    /// in time, its endpoints were silent, and its signals came late.
    fn overlaps_stall(&self, request: &RequestRecord) -> bool {
        self.stalls
            .iter()
            .any(|(from_ms, until_ms)| *from_ms <= request.ended_ms && request.sent_ms <= *until_ms)
    }

    /// Returns whether VMs lost their connections to endpoints. The VM that sent the request to its
    /// endpoint may be another than the one that took it.
    fn overlaps_endpoint_cut(&self, request: &RequestRecord) -> bool {
        self.endpoint_cuts.iter().any(|cut| {
            cut.from_ms <= request.ended_ms && request.sent_ms <= cut.until_ms + FAULT_GRACE_MS
        })
    }

    fn is_at_work(&self, id: WorkId, at_ms: u64) -> bool {
        let work = self.endpoint_work.get(&id);
        work.is_some_and(|work| work.iter().any(|it| it.lasts_until(at_ms)))
    }

    pub(super) fn check_graces(&self, report: &mut impl FnMut(Invariant, String)) {
        for Process { vm, number, stop_requested_ms, grace_ended_ms, .. } in &self.processes {
            let Some((stop_ms, end_ms)) = stop_requested_ms.zip(*grace_ended_ms) else { continue };
            if !self.overlaps_fault(stop_ms, end_ms) {
                let description = format!(
                    "vm={vm} process {number}, asked to stop at {stop_ms} ms, ran at {end_ms} ms"
                );
                report(Invariant::StopsInTime, description);
            }
        }
    }
}
