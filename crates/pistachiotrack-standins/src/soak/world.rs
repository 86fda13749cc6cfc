//! A run's deployment and what is done to it.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use pistachiotrack_core::{config::Config, request::Class};
use tokio::task::JoinSet;

use super::{
    clock::RunClock,
    oracle::{Left, Limited, Published},
    plan::{Absence, Event, Sickness, Step},
    vms::Vms,
};
use crate::{
    caller::{Caller, Operation},
    deployment::Deployment,
    endpoint::Endpoint,
    fault::Faults,
    link::{Link, Links, PLATFORM},
    load::WorkIds,
    platform::Availability,
};

/// Time after which operators mend a value that isn't valid.
const MEND_AFTER: Duration = Duration::from_millis(1_500);
/// Time between two sendings of a request that crashes endpoints.
const CRASHING_INTERVAL: Duration = Duration::from_millis(150);
/// A lookup that crashes the endpoint that runs it.
const CRASHING: Operation = Operation {
    customer: "timeliten",
    service: "centre-calendars",
    method: "GET",
    path: "/calendars/majorstuen?crash",
    class: Class::Interactive,
    non_idempotent: false,
    deadline_ms: 2_000,
    rate_per_s: 0.0,
};
const SILENT: Link = Link { silent: true, drop_share: 0.0, delay: Duration::ZERO };

/// A run's deployment and what is done to it.
#[derive(Debug)]
pub(super) struct World {
    pub(super) deployment: Deployment,
    pub(super) vms: Vms,
    links: Links,
    state: Mutex<State>,
    clock: RunClock,
    /// Addresses of the VMs for callers.
    addresses: Vec<SocketAddr>,
    ids: WorkIds,
}

#[derive(Debug)]
struct State {
    config: Config,
    published: Vec<Published>,
    left: Vec<Left>,
    /// Endpoints that name a limit now.
    limiting: BTreeSet<usize>,
    limited: Vec<Limited>,
    /// Directions that are cut, as often as something cuts them.
    cuts: Vec<(usize, usize)>,
    /// Faults of all links, as far as they hold.
    bad_links: Vec<Link>,
}

impl World {
    pub(super) fn new(
        deployment: Deployment,
        vms: Vms,
        links: Links,
        clock: RunClock,
        addresses: Vec<SocketAddr>,
        ids: WorkIds,
    ) -> World {
        let state = State {
            config: deployment.config.clone(),
            published: Vec::new(),
            left: Vec::new(),
            limiting: BTreeSet::new(),
            limited: Vec::new(),
            cuts: Vec::new(),
            bad_links: Vec::new(),
        };
        World { deployment, vms, links, state: Mutex::new(state), clock, addresses, ids }
    }

    /// Waits for a step's time, has it happen, and ends it when it is over.
    pub(super) async fn play(&self, step: &Step, vms: usize) {
        self.clock.wait_until_ms(step.at_ms).await;
        match &step.event {
            Event::Terminate { vm, restart_after_ms } => {
                self.vms.terminate(*vm, Duration::from_millis(*restart_after_ms));
            }
            Event::HangUp { vm } => self.vms.hang_up(*vm),
            Event::Kill { vms, restart_after_ms } => {
                let restart_after = Duration::from_millis(*restart_after_ms);
                vms.iter().for_each(|vm| self.vms.kill(*vm, restart_after));
            }
            Event::Pause { vm, for_ms } => {
                self.vms.pause(*vm);
                pause(*for_ms).await;
                self.vms.resume(*vm);
            }
            Event::Leave { endpoint, for_ms } => self.leave(*endpoint, *for_ms).await,
            Event::NameLimit { endpoint, tenths_per_second, for_ms } => {
                self.name_limit(*endpoint, f64::from(*tenths_per_second) / 10.0, *for_ms).await;
            }
            Event::CrashingRequest { for_ms } => self.send_crashing(*for_ms).await,
            Event::PublishInvalid => self.publish_invalid().await,
            Event::CutOneWay { from, to, for_ms } => self.cut(&[(*from, *to)], *for_ms).await,
            Event::CutOff { vm, for_ms } => {
                let others = (0..vms).filter(|other| other != vm);
                let cuts: Vec<(usize, usize)> =
                    others.flat_map(|other| [(*vm, other), (other, *vm)]).collect();
                self.cut(&cuts, *for_ms).await;
            }
            Event::CutOffPlatform { vm, for_ms } => {
                self.cut(&[(*vm, PLATFORM), (PLATFORM, *vm)], *for_ms).await;
            }
            Event::BadLinks { lost_percent, delay_ms, for_ms } => {
                let drop_share = f64::from(*lost_percent) / 100.0;
                let delay = Duration::from_millis(*delay_ms);
                self.spoil_links(Link { silent: false, drop_share, delay }, *for_ms).await;
            }
            Event::Sick { endpoint, how, for_ms } => {
                let endpoint = &self.deployment.endpoints[*endpoint];
                endpoint.set_faults(faults(*how));
                pause(*for_ms).await;
                endpoint.set_faults(Faults::default());
            }
            Event::PlatformAway { how, for_ms } => self.platform_away(*how, *for_ms).await,
        }
    }

    async fn platform_away(&self, how: Absence, for_ms: u64) {
        let platform = &self.deployment.platform;
        match how {
            Absence::Refusing => platform.set_availability(Availability::Refusing),
            Absence::Hanging => platform.set_availability(Availability::Hanging),
            Absence::Stale => platform.set_stale(true),
        }
        pause(for_ms).await;
        match how {
            Absence::Refusing | Absence::Hanging => platform.set_availability(Availability::Up),
            Absence::Stale => platform.set_stale(false),
        }
    }

    async fn leave(&self, endpoint: usize, for_ms: u64) {
        let name = self.deployment.endpoints[endpoint].name().to_owned();
        let from = Instant::now();
        if !self.publish(|config| mark(config, &name, true)) {
            return;
        }
        pause(for_ms).await;
        let until_ms = self.clock.now_ms();
        self.publish(|config| mark(config, &name, false));
        let arrivals_ms = self.arrivals_ms(endpoint, from);
        let from_ms = self.clock.ms(from);
        let left = Left { endpoint: name, from_ms, until_ms, arrivals_ms };
        self.lock().left.push(left);
    }

    async fn name_limit(&self, endpoint: usize, per_second: f64, for_ms: u64) {
        let limited = &self.deployment.endpoints[endpoint];
        if !self.lock().limiting.insert(endpoint) {
            return;
        }
        let from = Instant::now();
        limited.set_rate_limit(Some(per_second));
        pause(for_ms).await;
        let until_ms = self.clock.now_ms();
        limited.set_rate_limit(None);
        let arrivals_ms = self.arrivals_ms(endpoint, from);
        let endpoint_name = limited.name().to_owned();
        let mut state = self.lock();
        state.limiting.remove(&endpoint);
        state.limited.push(Limited { endpoint: endpoint_name, per_second, until_ms, arrivals_ms });
    }

    fn arrivals_ms(&self, endpoint: usize, since: Instant) -> Vec<u64> {
        let arrivals = self.deployment.endpoints[endpoint].arrivals_since(since);
        arrivals.into_iter().map(|at| self.clock.ms(at)).collect()
    }

    /// Sends a request that crashes endpoints to one VM after the other.
    async fn send_crashing(&self, for_ms: u64) {
        let until = Instant::now() + Duration::from_millis(for_ms);
        let mut sent = JoinSet::new();
        for address in self.addresses.iter().cycle() {
            if Instant::now() >= until {
                break;
            }
            let caller = Caller::direct(vec![*address]);
            let id = self.ids.next();
            sent.spawn(async move { caller.send(&CRASHING, id).await });
            tokio::time::sleep(CRASHING_INTERVAL).await;
        }
        sent.join_all().await;
    }

    async fn publish_invalid(&self) {
        {
            let mut state = self.lock();
            state.config.version += 1;
            let version = state.config.version;
            let value = format!("{{\"version\": {version}, \"services\": 3}}");
            self.deployment.platform.publish_bytes(version, value.into_bytes());
        }
        tokio::time::sleep(MEND_AFTER).await;
        self.publish(|_| {});
    }

    /// Publishes a change unless it would not be valid; returns whether it did.
    fn publish(&self, change: impl FnOnce(&mut Config)) -> bool {
        let mut state = self.lock();
        let mut config = state.config.clone();
        change(&mut config);
        config.version += 1;
        if !config.check("soak").is_empty() || self.deployment.platform.publish(&config).is_err() {
            return false;
        }
        let published = Published { at_ms: self.clock.now_ms(), version: config.version };
        state.published.push(published);
        state.config = config;
        true
    }

    async fn cut(&self, cuts: &[(usize, usize)], for_ms: u64) {
        self.lock().cuts.extend_from_slice(cuts);
        self.set_links();
        pause(for_ms).await;
        let mut state = self.lock();
        for cut in cuts {
            if let Some(position) = state.cuts.iter().position(|it| it == cut) {
                state.cuts.swap_remove(position);
            }
        }
        drop(state);
        self.set_links();
    }

    async fn spoil_links(&self, link: Link, for_ms: u64) {
        self.lock().bad_links.push(link);
        self.set_links();
        pause(for_ms).await;
        let mut state = self.lock();
        state.bad_links.retain(|it| *it != link);
        drop(state);
        self.set_links();
    }

    fn set_links(&self) {
        let state = self.lock();
        self.links.set_all(state.bad_links.last().copied().unwrap_or_default());
        for (from, to) in &state.cuts {
            self.links.set(*from, *to, SILENT);
        }
    }

    /// Returns endpoints that named a limit, and when the request that crashes endpoints ran.
    pub(super) fn endpoints_seen(&self) -> (Vec<Limited>, Vec<u64>) {
        let runs = self.deployment.endpoints.iter().flat_map(Endpoint::crash_runs);
        let mut runs_ms: Vec<u64> = runs.map(|at| self.clock.ms(at)).collect();
        runs_ms.sort_unstable();
        (self.lock().limited.clone(), runs_ms)
    }

    /// Returns what operators did.
    pub(super) fn published(&self) -> (Vec<Published>, Vec<Left>) {
        let state = self.lock();
        (state.published.clone(), state.left.clone())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn mark(config: &mut Config, endpoint: &str, leaving: bool) {
    let endpoints = config.services.iter_mut().flat_map(|service| &mut service.endpoints);
    endpoints.filter(|it| it.name.as_str() == endpoint).for_each(|it| it.leaving = leaving);
}

fn faults(how: Sickness) -> Faults {
    match how {
        Sickness::Gray => Faults::gray(),
        Sickness::Straggler => Faults::straggler(),
        Sickness::Hang => Faults::hang(),
        Sickness::Shed => Faults::shedding(),
        Sickness::SilentConnections => Faults::silent_connections(Instant::now()),
    }
}

async fn pause(for_ms: u64) {
    tokio::time::sleep(Duration::from_millis(for_ms)).await;
}
