//! Distinguishes a broken network path of this VM from an endpoint that no VM reaches.

use std::{hash::BuildHasher, net::SocketAddr, sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use pistachiotrack_core::{
    health::PathAnswer, membership::MemberState, name::Name, reachability::AskedVms, vm::Vm,
};
use rustc_hash::FxBuildHasher;
use tokio::sync::watch;

use crate::{
    config::view::FleetView,
    formats::peer_message::{REACH_PATH, ReachRequest, ReachResponse},
    peers::peer_client,
};

/// Time limit for an answer.
const QUERY_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of VMs that are queried about an endpoint after a few didn't reach it.
const MANY_VMS: usize = 16;

/// Queries other VMs whether they reach an endpoint.
///
/// If only this VM's path to an endpoint is broken, the endpoint must not be ejected as faulty.
/// The queried VMs are in other data centres if there are any, and reach the endpoint by
/// other paths.
#[derive(Clone, Debug)]
pub(crate) struct PathCheck {
    me: Vm,
    view: watch::Receiver<Arc<FleetView>>,
}

impl PathCheck {
    /// Creates a check that queries the VMs of `view`.
    pub(crate) fn new(me: Vm, view: watch::Receiver<Arc<FleetView>>) -> PathCheck {
        PathCheck { me, view }
    }

    /// Queries the other VMs and returns their combined answer, with the first VM that reaches the
    /// endpoint, if any.
    pub(crate) async fn query(
        &self,
        endpoint: Name,
        address: SocketAddr,
        vms: AskedVms,
    ) -> (PathAnswer, Vec<Name>) {
        let Ok(request) = postcard::to_stdvec(&ReachRequest { endpoint, address }) else {
            return (PathAnswer::NoAnswer, Vec::new());
        };
        let mut queries: FuturesUnordered<_> = self
            .probing_vms(address, vms)
            .into_iter()
            .map(|vm| {
                let request = request.clone();
                async move { (query_vm(&vm, request).await, vm.name) }
            })
            .collect();
        let mut answer = PathAnswer::NoAnswer;
        while let Some((reply, relay)) = queries.next().await {
            match reply {
                Some(ReachResponse::Reached) => {
                    return (PathAnswer::ReachedByOthers, vec![relay]);
                }
                Some(ReachResponse::Unreachable) => answer = PathAnswer::UnreachableByOthers,
                Some(ReachResponse::Unknown) | None => {}
            }
        }
        (answer, Vec::new())
    }

    /// Returns the VMs to query, different ones for each endpoint and querying VM: a few from two data
    /// centres, not from this VM's own if there are others, or many of the remaining ones.
    fn probing_vms(&self, endpoint: SocketAddr, vms: AskedVms) -> Vec<Vm> {
        let view = Arc::clone(&self.view.borrow());
        let mut alive: Vec<&Vm> = view
            .members
            .iter()
            .filter(|member| member.state == MemberState::Alive && !member.is_cut_off)
            .map(|member| &member.vm)
            .collect();
        alive.sort_by_cached_key(|vm| {
            let hash = FxBuildHasher.hash_one((&self.me.name, endpoint, &vm.name));
            (vm.data_centre == self.me.data_centre, hash)
        });
        let Some(first) = alive.first().copied() else { return Vec::new() };
        let rest = &alive[1..];
        let second = rest.iter().find(|vm| vm.data_centre != first.data_centre).or(rest.first());
        let few: Vec<&Vm> = std::iter::once(first).chain(second.copied()).collect();
        match vms {
            AskedVms::Few => few.into_iter().cloned().collect(),
            AskedVms::Many => {
                let others = rest.iter().filter(|vm| few.iter().all(|asked| asked.name != vm.name));
                others.take(MANY_VMS).map(|vm| Vm::clone(vm)).collect()
            }
        }
    }
}

async fn query_vm(vm: &Vm, request: Vec<u8>) -> Option<ReachResponse> {
    let answer =
        peer_client::send_request(vm.peer_address, REACH_PATH, request, QUERY_TIMEOUT).await;
    postcard::from_bytes(&answer.ok()?).ok()
}
