//! Detects that this VM reaches no endpoint, although other VMs do.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use kameo::{
    Actor,
    actor::{ActorRef, Recipient, WeakActorRef},
    error::Infallible,
    message::{Context as MessageContext, Message},
};
use pistachiotrack_core::{
    health::PathAnswer,
    name::Name,
    reachability::{AskedVms, EndpointReach, ReachAction, Reachability},
};
use tokio::sync::watch;

use crate::{
    config::view::{ActiveConfig, FleetView},
    connections::connection_pool::{ConnectionPool, ConnectionTried, Listening},
    formats::reach_view::ReachView,
    peers::path_check::PathCheck,
    runtime::{clock::Clock, timer::TimerEvent},
    shards::{shard_actor::PathsRestored, shard_table::ShardTable},
};

/// Time limit for a connection that is only tried: well below the time that a check takes.
const TRY_TIMEOUT: Duration = Duration::from_millis(400);

/// Arguments of the monitor.
pub(crate) struct ReachMonitorArgs {
    /// Clock of the process.
    pub(crate) clock: Clock,
    /// Latest snapshot of the fleet.
    pub(crate) fleet_view: watch::Receiver<Arc<FleetView>>,
    /// Connections to endpoints.
    pub(crate) endpoints: Arc<ConnectionPool>,
    /// Shards that learn when the paths are restored.
    pub(crate) shards: Arc<ShardTable>,
    /// Gets each change, for the other VMs.
    pub(crate) fleet: Recipient<SetCutOff>,
    /// Queries other VMs.
    pub(crate) path_check: PathCheck,
    /// Channel that the state is published to.
    pub(crate) view: watch::Sender<ReachView>,
    /// Seed of the random choices.
    pub(crate) seed: u64,
}

/// Sets whether this VM reaches no endpoint.
pub(crate) struct SetCutOff(pub(crate) bool);

/// The actor that detects that this VM reaches no endpoint.
pub(crate) struct ReachMonitor {
    clock: Clock,
    fleet_view: watch::Receiver<Arc<FleetView>>,
    endpoints: Arc<ConnectionPool>,
    shards: Arc<ShardTable>,
    fleet: Recipient<SetCutOff>,
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
        Ok(ReachMonitor {
            reachability: Reachability::new(args.clock.now(), args.seed),
            clock: args.clock,
            fleet_view: args.fleet_view,
            endpoints: args.endpoints,
            shards: args.shards,
            fleet: args.fleet,
            path_check: args.path_check,
            view: args.view,
            config: None,
            actor_ref: actor_ref.downgrade(),
        })
    }
}

impl Message<ConnectionTried> for ReachMonitor {
    type Reply = ();

    async fn handle(&mut self, message: ConnectionTried, _: &mut MessageContext<Self, ()>) {
        let now = self.clock.now();
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
        let now = self.clock.now();
        let actions = self.reachability.on_tried(now, address, is_reached);
        self.apply(actions);
    }
}

/// Reports whether other VMs reach an endpoint that this one doesn't.
struct VmsAnswered {
    address: SocketAddr,
    is_reached: bool,
}

impl Message<VmsAnswered> for ReachMonitor {
    type Reply = ();

    async fn handle(&mut self, message: VmsAnswered, _: &mut MessageContext<Self, ()>) {
        let VmsAnswered { address, is_reached } = message;
        let now = self.clock.now();
        let actions = self.reachability.on_vms_answered(now, address, is_reached);
        self.apply(actions);
    }
}

impl Message<TimerEvent> for ReachMonitor {
    type Reply = ();

    async fn handle(&mut self, event: TimerEvent, _: &mut MessageContext<Self, ()>) {
        self.update_endpoints();
        let actions = match event {
            TimerEvent::Tick(now) => {
                let mut actions = self.reachability.on_tick(now);
                actions.extend(self.reachability.on_cut_off_vms(now, self.cut_off_vms()));
                actions
            }
            TimerEvent::Paused { .. } => {
                self.reachability.on_pause();
                Vec::new()
            }
        };
        self.apply(actions);
    }
}

impl ReachMonitor {
    /// Returns the number of other VMs that report that they reach no endpoint.
    fn cut_off_vms(&self) -> usize {
        self.fleet_view.borrow().members.iter().filter(|member| member.is_cut_off).count()
    }

    fn update_endpoints(&mut self) {
        let view = Arc::clone(&self.fleet_view.borrow());
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
                ReachAction::AskVms { endpoints, vms } => self.ask_vms(endpoints, vms),
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
            let pool = Arc::clone(&self.endpoints);
            tokio::spawn(async move {
                // A refusal shows nothing: a firewall may have sent it.
                let listening = tokio::time::timeout(TRY_TIMEOUT, pool.try_address(address)).await;
                let is_reached = listening == Ok(Listening::Open);
                // The monitor stops only with the process.
                let _ = monitor.tell(EndpointTried { address, is_reached }).try_send();
            });
        }
    }

    fn ask_vms(&self, addresses: Vec<SocketAddr>, vms: AskedVms) {
        let Some(monitor) = self.actor_ref.upgrade() else { return };
        let queries: FuturesUnordered<_> = addresses
            .into_iter()
            .filter_map(|address| Some((self.endpoint_at(address)?, address)))
            .map(|(endpoint, address)| {
                let check = self.path_check.clone();
                async move { (address, check.query(endpoint, address, vms).await.0) }
            })
            .collect();
        tokio::spawn(async move {
            let mut answers = queries;
            while let Some((address, answer)) = answers.next().await {
                let is_reached = answer == PathAnswer::ReachedByOthers;
                // The monitor stops only with the process.
                let _ = monitor.tell(VmsAnswered { address, is_reached }).try_send();
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
            for (_, shard) in self.shards.running() {
                let _ = shard.tell(PathsRestored).try_send();
            }
        }
    }
}
