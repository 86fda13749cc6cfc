//! Tells a broken path of this VM from an endpoint that nobody reaches.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future::join_all;
use pistachiotrack_core::{
    health::PathAnswer,
    membership::{Member, MemberState},
    name::Name,
    vm::Vm,
};
use tokio::sync::watch;

use crate::{
    peer_client,
    peer_message::{REACH_PATH, ReachAnswer, ReachQuestion},
    view::FleetView,
};

/// VMs that are asked.
const WITNESSES: usize = 2;
/// Time allowed for an answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);

/// Asks VMs elsewhere whether they reach an endpoint.
///
/// Failure guarded against: this VM's path to an endpoint is cut while the rest
/// of the fleet reaches it, and the endpoint is ejected as sick. It shows as
/// connections that fail from one VM only. The guard holds because the witnesses
/// are in other data centres where there are any, and reach the endpoint by
/// other paths.
#[derive(Clone, Debug)]
pub(crate) struct PathCheck {
    me: Vm,
    view: watch::Receiver<Arc<FleetView>>,
}

impl PathCheck {
    /// Creates a check that asks the VMs of `view`.
    pub(crate) fn new(me: Vm, view: watch::Receiver<Arc<FleetView>>) -> PathCheck {
        PathCheck { me, view }
    }

    /// Asks the witnesses and sums their answers up.
    pub(crate) async fn ask(&self, endpoint: Name, address: SocketAddr) -> PathAnswer {
        let Ok(question) = postcard::to_stdvec(&ReachQuestion { endpoint, address }) else {
            return PathAnswer::NoAnswer;
        };
        let asked = self.witnesses().into_iter().map(|vm| {
            let question = question.clone();
            async move { ask_one(&vm, question).await }
        });
        sum_up(&join_all(asked).await)
    }

    fn witnesses(&self) -> Vec<Vm> {
        let view = Arc::clone(&self.view.borrow());
        let mut alive: Vec<&Member> =
            view.members.iter().filter(|member| member.state == MemberState::Alive).collect();
        alive.sort_by_key(|member| member.vm.data_centre == self.me.data_centre);
        alive.into_iter().take(WITNESSES).map(|member| member.vm.clone()).collect()
    }
}

async fn ask_one(vm: &Vm, question: Vec<u8>) -> Option<ReachAnswer> {
    let answer = peer_client::ask(vm.peer_address, REACH_PATH, question, ASK_TIMEOUT).await;
    postcard::from_bytes(&answer.ok()?).ok()
}

fn sum_up(answers: &[Option<ReachAnswer>]) -> PathAnswer {
    if answers.contains(&Some(ReachAnswer::Reached)) {
        return PathAnswer::ReachedByOthers;
    }
    if answers.contains(&Some(ReachAnswer::Unreachable)) {
        return PathAnswer::UnreachableByOthers;
    }
    PathAnswer::NoAnswer
}
