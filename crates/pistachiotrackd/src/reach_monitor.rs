//! Detects that this VM reaches no endpoint, although other VMs do.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use kameo::{
    Actor,
    actor::{ActorRef, WeakActorRef},
    error::Infallible,
    message::{Context as MessageContext, Message},
};
use pistachiotrack_core::{
    health::PathAnswer,
    name::Name,
    reachability::{EndpointReach, ReachAction, Reachability},
};
use tokio::sync::watch;

use crate::{
    connection_pool::Listening,
    context::Context,
    fleet::{Fleet, SetCutOff},
    path_check::PathCheck,
    reach_view::ReachView,
    shard_actor::PathsRestored,
    timer::TimerEvent,
    view::ActiveConfig,
};

/// Time limit for a connection that is only tried: well below the time that a check takes.
const TRY_TIMEOUT: Duration = Duration::from_millis(400);

/// Arguments of the monitor.
pub(crate) struct ReachMonitorArgs {
    /// State shared by all parts of the daemon.
    pub(crate) context: Arc<Context>,
    /// The actor that reports to the other VMs.
    pub(crate) fleet: ActorRef<Fleet>,
    /// Queries other VMs.
    pub(crate) path_check: PathCheck,
    /// Channel that the state is published to.
    pub(crate) view: watch::Sender<ReachView>,
    /// Seed of the random choices.
    pub(crate) seed: u64,
}

/// The actor that detects that this VM reaches no endpoint.
pub(crate) struct ReachMonitor {
    context: Arc<Context>,
    fleet: ActorRef<Fleet>,
    path_check: PathCheck,
    view: watch::Sender<ReachView>,
    reachability: Reachability,
    config: Option<Arc<ActiveConfig>>,
    actor_ref: WeakActorRef<ReachMonitor>,
}

impl Actor for ReachMonitor {
    type Args = ReachMonitorArgs;
    type Error = Infallible;

    async fn on_start(
        args: ReachMonitorArgs,
        actor_ref: ActorRef<Self>,
    ) -> Result<Self, Infallible> {
        let ReachMonitorArgs { context, fleet, path_check, view, seed } = args;
        let reachability = Reachability::new(context.clock.now(), seed);
        let actor_ref = actor_ref.downgrade();
        Ok(ReachMonitor { context, fleet, path_check, view, reachability, config: None, actor_ref })
    }
}

/// Reports whether a connection to an endpoint was opened for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionTried {
    /// Address of the endpoint.
    pub(crate) address: SocketAddr,
    /// Whether it was.
    pub(crate) is_open: bool,
}

impl Message<ConnectionTried> for ReachMonitor {
    type Reply = ();

    async fn handle(&mut self, message: ConnectionTried, _: &mut MessageContext<Self, ()>) {
        let now = self.context.clock.now();
        let ConnectionTried { address, is_open } = message;
        let actions = match is_open {
            true => self.reachability.on_connected(now),
            false => self.reachability.on_connect_failed(now, address),
        };
        self.apply(actions);
    }
}

/// Reports whether an endpoint that the monitor tried is reached.
struct EndpointTried {
    address: SocketAddr,
    is_reached: bool,
}

impl Message<EndpointTried> for ReachMonitor {
    type Reply = ();

    async fn handle(&mut self, message: EndpointTried, _: &mut MessageContext<Self, ()>) {
        let EndpointTried { address, is_reached } = message;
        let now = self.context.clock.now();
        let actions = self.reachability.on_tried(now, address, is_reached);
        self.apply(actions);
    }
}

/// Reports whether other VMs reach an endpoint that this one doesn't.
struct VmsAnswered {
    is_reached: bool,
}

impl Message<VmsAnswered> for ReachMonitor {
    type Reply = ();

    async fn handle(&mut self, message: VmsAnswered, _: &mut MessageContext<Self, ()>) {
        let actions = self.reachability.on_vms_answered(message.is_reached);
        self.apply(actions);
    }
}

impl Message<TimerEvent> for ReachMonitor {
    type Reply = ();

    async fn handle(&mut self, event: TimerEvent, _: &mut MessageContext<Self, ()>) {
        self.update_endpoints();
        let actions = match event {
            TimerEvent::Tick(now) => self.reachability.on_tick(now),
            TimerEvent::Paused { .. } => {
                self.reachability.on_pause();
                Vec::new()
            }
        };
        self.apply(actions);
    }
}

impl ReachMonitor {
    fn update_endpoints(&mut self) {
        let view = self.context.view();
        let is_same = match (&self.config, &view.active) {
            (Some(known), Some(active)) => Arc::ptr_eq(known, active),
            (None, None) => true,
            _ => false,
        };
        if is_same {
            return;
        }
        self.config.clone_from(&view.active);
        let services = view.active.iter().flat_map(|active| &active.config.services);
        let endpoints = services.flat_map(|service| &service.endpoints);
        let mut addresses: Vec<SocketAddr> = endpoints.map(|endpoint| endpoint.address).collect();
        addresses.sort_unstable();
        addresses.dedup();
        self.reachability.set_endpoints(addresses);
    }

    fn apply(&mut self, actions: Vec<ReachAction>) {
        for action in actions {
            match action {
                ReachAction::TryEndpoints(addresses) => self.try_endpoints(addresses),
                ReachAction::AskVms(addresses) => self.ask_vms(addresses),
                ReachAction::Changed(reach) => self.on_changed(reach),
            }
        }
        let (reach, is_in_doubt) = (self.reachability.reach(), self.reachability.is_in_doubt());
        let view = ReachView { reach, is_in_doubt };
        self.view.send_if_modified(|published| {
            let is_modified = *published != view;
            *published = view;
            is_modified
        });
    }

    fn try_endpoints(&self, addresses: Vec<SocketAddr>) {
        for address in addresses {
            let Some(monitor) = self.actor_ref.upgrade() else { return };
            let pool = Arc::clone(&self.context.endpoints);
            tokio::spawn(async move {
                // A refusal shows nothing: a firewall may have sent it.
                let listening = tokio::time::timeout(TRY_TIMEOUT, pool.listening(address)).await;
                let is_reached = listening == Ok(Listening::Open);
                // The monitor stops only with the process.
                let _ = monitor.tell(EndpointTried { address, is_reached }).try_send();
            });
        }
    }

    fn ask_vms(&self, addresses: Vec<SocketAddr>) {
        let Some(monitor) = self.actor_ref.upgrade() else { return };
        let queries: FuturesUnordered<_> = addresses
            .into_iter()
            .filter_map(|address| Some((self.endpoint_at(address)?, address)))
            .map(|(endpoint, address)| {
                let check = self.path_check.clone();
                async move { check.query(endpoint, address).await.0 }
            })
            .collect();
        tokio::spawn(async move {
            let mut answers = queries;
            while let Some(answer) = answers.next().await {
                let is_reached = answer == PathAnswer::ReachedByOthers;
                // The monitor stops only with the process.
                let _ = monitor.tell(VmsAnswered { is_reached }).try_send();
            }
        });
    }

    fn endpoint_at(&self, address: SocketAddr) -> Option<Name> {
        let services = &self.config.as_ref()?.config.services;
        let mut endpoints = services.iter().flat_map(|service| &service.endpoints);
        endpoints.find(|endpoint| endpoint.address == address).map(|found| found.name.clone())
    }

    fn on_changed(&self, reach: EndpointReach) {
        log::warn!("event=endpoint_reach state={}", reach.as_str());
        // The fleet actor and the shards stop only with the process, or need no news then.
        let _ = self.fleet.tell(SetCutOff(reach.is_cut_off())).try_send();
        if matches!(reach, EndpointReach::Returning { .. }) {
            for (_, shard) in self.context.shards.running() {
                let _ = shard.tell(PathsRestored).try_send();
            }
        }
    }
}
