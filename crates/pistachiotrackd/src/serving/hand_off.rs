//! Requests that another VM serves because this one reaches no endpoint.

use std::sync::Arc;

use pistachiotrack_core::{
    copies::{Copies, Undispatched},
    hash,
    refusal::Reason,
    request::RequestId,
    steering,
    vm::Vm,
};

use crate::{
    formats::inbound::Inbound,
    request::{
        answer::{PendingRefusal, Served},
        forward::{self, Forwarded},
    },
    serving::{context::Context, local_dispatch},
    stats::metrics::Event,
};

/// Maximum number of VMs that a request is handed to, one after the other.
const MAX_SUBSTITUTES: usize = 3;

/// Serves a request of a shared service, on another VM while this one reaches no endpoint.
///
/// A request that this VM could not serve is handed over as well if it certainly was not run:
/// requests arrive before the VM has found out that it reaches no endpoint.
pub(crate) async fn serve(
    context: &Arc<Context>,
    inbound: Arc<Inbound>,
    request: Undispatched,
) -> Served {
    if !serves_itself(context, inbound.id) {
        return match hand_over(context, &inbound, request).await {
            Ok(served) => served,
            Err(request) => local_dispatch::serve(context, inbound, request.into()).await,
        };
    }
    let served = local_dispatch::serve(context, Arc::clone(&inbound), request.into()).await;
    let PendingRefusal { refusal, status } = match served.answer {
        Err(refused) if is_without_endpoint(&refused) && context.reach().is_cut_off() => refused,
        answer => return Served { answer, ..served },
    };
    let (reason, retry_after_ms) = (refusal.reason(), refusal.retry_after_ms());
    let request = match Undispatched::from_refusal(refusal) {
        Ok(request) => request,
        Err(refusal) => return Served::refused(PendingRefusal { refusal, status }),
    };
    match hand_over(context, &inbound, request).await {
        Ok(served) => served,
        Err(request) => Served::refused(request.refuse(reason, retry_after_ms)),
    }
}

/// Returns whether this VM serves a request itself: all, none while it reaches no endpoint, and a
/// growing share of them after that.
fn serves_itself(context: &Context, id: RequestId) -> bool {
    let fraction = context.reach().served_fraction(context.clock.now());
    hash::mix(id.0) as f64 / u64::MAX as f64 <= fraction && fraction > 0.0
}

/// Returns whether a request was refused because no endpoint could be reached in time.
fn is_without_endpoint(refused: &PendingRefusal) -> bool {
    matches!(
        refused.refusal.reason(),
        Reason::NoEndpoint | Reason::DeadlinePassed | Reason::WaitTooLong | Reason::QueueFull
    )
}

/// Hands a request to other VMs until one serves it or may have run it.
///
/// # Errors
///
/// Returns the request if it was not run and no VM is left to try.
async fn hand_over(
    context: &Arc<Context>,
    inbound: &Inbound,
    mut request: Undispatched,
) -> Result<Served, Undispatched> {
    for vm in substitutes(context, inbound) {
        if !inbound.body.is_available() || context.clock.now() >= inbound.deadline {
            break;
        }
        context.metrics.count(Event::HandedOver);
        let max_attempts = inbound.route.max_attempts;
        let forwarded =
            forward::send(&context.forwarder, &vm, inbound, max_attempts, request).await;
        let returned = match forwarded {
            Forwarded::Answered(served) => return Ok(served),
            Forwarded::Refused(refusal) if is_declined(refusal.reason()) => {
                Undispatched::from_refusal(refusal)
            }
            Forwarded::Refused(refusal) => Err(refusal),
            Forwarded::Failed { error, copies } => {
                log::info!(
                    "event=hand_over_failed request={} vm={} error={:?}",
                    inbound.fleet_id,
                    vm.name,
                    error.to_string()
                );
                let lost = |copies: Copies| copies.refuse(Reason::AnswerLost, None);
                copies.into_undispatched().map_err(lost)
            }
        };
        request = match returned {
            Ok(request) => request,
            Err(refusal) => return Ok(Served::refused(refusal)),
        };
    }
    Err(request)
}

/// Returns whether a VM has refused a request for a reason that another VM may not have.
fn is_declined(reason: Reason) -> bool {
    matches!(reason, Reason::NoEndpoint | Reason::Stopping)
}

fn substitutes(context: &Context, inbound: &Inbound) -> Vec<Vm> {
    let view = context.view();
    let service = &inbound.route.shard.service;
    let key = hash::mix(inbound.id.0);
    let vms =
        steering::substitutes(&view.ownership, &context.me, view.members.iter(), service, key);
    vms.into_iter().take(MAX_SUBSTITUTES).cloned().collect()
}
