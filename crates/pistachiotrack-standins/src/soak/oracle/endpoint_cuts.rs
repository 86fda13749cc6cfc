//! VMs that reach no endpoint.

use super::{Invariant, RequestRecord, RunRecord};
use crate::caller::RequestOutcome;

/// Time after the beginning of a cut within which VMs may find out.
const DETECTION_MS: u64 = 3_000;
/// Failed requests that are allowed: an absolute number and a share of all requests.
const ALLOWED_FAILURES: (f64, f64) = (10.0, 0.02);
/// Share of the success rate of other VMs that a VM must reach.
const MIN_RELATIVE_SUCCESS: f64 = 2.0 / 3.0;

/// A period in which VMs reached no endpoint.
#[derive(Clone, Debug)]
pub struct EndpointCutPeriod {
    /// The VMs.
    pub vms: Vec<usize>,
    /// Beginning.
    pub from_ms: u64,
    /// End.
    pub until_ms: u64,
}

impl RunRecord {
    pub(super) fn check_endpoint_cuts(&self, report: &mut impl FnMut(Invariant, String)) {
        for cut in &self.endpoint_cuts {
            let from_ms = cut.from_ms + DETECTION_MS;
            let is_excused = |(from, to): &(u64, u64)| *from <= cut.until_ms && cut.from_ms <= *to;
            if self.overlaps_fault(cut.from_ms, cut.until_ms)
                || self.platform_cuts.iter().any(is_excused)
            {
                continue;
            }
            let is_counted = |request: &&RequestRecord| {
                (from_ms..cut.until_ms).contains(&request.sent_ms) && !self.overlaps_stop(request)
            };
            let counted: Vec<&RequestRecord> = self.requests.iter().filter(is_counted).collect();
            let of = |is_cut_off: bool| {
                let of_vms = counted.iter().filter(|request| {
                    request.vm.is_some_and(|vm| cut.vms.contains(&vm) == is_cut_off)
                });
                let (mut all, mut served) = (0.0, 0.0);
                for request in of_vms {
                    all += 1.0;
                    served += f64::from(u8::from(request.outcome == RequestOutcome::Ok));
                }
                (served, all)
            };
            let ((served, all), (others_served, others)) = (of(true), of(false));
            let allowed = ALLOWED_FAILURES.0 + ALLOWED_FAILURES.1 * (all + others);
            let is_worse = served * others < MIN_RELATIVE_SUCCESS * others_served * all;
            if is_worse && all - served > allowed {
                let description = format!(
                    "VMs {:?}, cut off from {} to {} ms, served {served} of {all} requests, the \
                     others {others_served} of {others}",
                    cut.vms, cut.from_ms, cut.until_ms
                );
                report(Invariant::EndpointCutBridged, description);
            }
        }
    }

    /// Returns whether the VM of a request was stopping, down or starting.
    fn overlaps_stop(&self, request: &RequestRecord) -> bool {
        let of_vm = self.processes.iter().filter(|process| Some(process.vm) == request.vm);
        !of_vm.into_iter().any(|process| {
            process.started_ms + DETECTION_MS <= request.sent_ms
                && process.stop_requested_ms.is_none_or(|at| at > request.ended_ms)
                && process.ended_ms.is_none_or(|at| at > request.ended_ms)
        })
    }
}
