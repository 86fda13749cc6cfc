//! The deployment under test, and the injection of faults into it.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use pistachiotrack_core::{config::Config, endpoint_notice::EndpointNotice};
use tokio::task::JoinSet;

use super::{
    clock::RunClock,
    config_changes,
    customers::{self, SentLookup},
    oracle::{
        EndpointCutPeriod, LeavingPeriod, NoticePeriod, PublishedVersion, REFUSAL_RETRY_AFTER_MS,
        RateLimitPeriod, ScaledTimeouts, TakenKey,
    },
    plan::{EndpointCut, EndpointFault, Event, PlatformFault, Step},
    vms::VmProcesses,
};
use crate::{
    caller::{Caller, Operation},
    deployment::Deployment,
    endpoint::Endpoint,
    fault::Faults,
    link::{LinkFaults, Links, PLATFORM},
    load::WorkIds,
    platform::Availability,
    work_log::SlowWork,
    workload::CALENDAR_LOOKUP,
};

/// Time after which a valid configuration replaces an invalid one.
const INVALID_CONFIG_DURATION: Duration = Duration::from_millis(1_500);
/// Interval at which a VM is cut off from endpoints again, since a new process isn't.
const ENDPOINT_CUT_REFRESH: Duration = Duration::from_millis(250);
/// Time between two requests that crash endpoints.
const CRASH_REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// A lookup that crashes the endpoint that runs it.
const CRASH_REQUEST: Operation =
    Operation { path: "/calendars/majorstuen?crash", deadline_ms: 2_000, ..CALENDAR_LOOKUP };
const BLOCKED: LinkFaults = LinkFaults { blocked: true, drop_share: 0.0, delay: Duration::ZERO };

/// The deployment under test, into which a plan's steps inject faults.
#[derive(Debug)]
pub(super) struct Environment {
    pub(super) deployment: Deployment,
    pub(super) vms: VmProcesses,
    links: Links,
    state: Mutex<State>,
    clock: RunClock,
    /// Caller addresses of the VMs.
    addresses: Vec<SocketAddr>,
    ids: WorkIds,
}

#[derive(Debug)]
struct State {
    config: Config,
    published: Vec<PublishedVersion>,
    leaving_periods: Vec<LeavingPeriod>,
    /// Endpoints that currently announce a rate limit.
    limited_endpoints: BTreeSet<usize>,
    rate_limit_periods: Vec<RateLimitPeriod>,
    /// Endpoints that currently ask for no requests.
    noticed_endpoints: BTreeSet<usize>,
    notice_periods: Vec<NoticePeriod>,
    /// Whether VMs are cut off from endpoints now.
    has_endpoint_cut: bool,
    endpoint_cuts: Vec<EndpointCutPeriod>,
    scaled_timeouts: Vec<ScaledTimeouts>,
    /// Whether callers use the key that is taken away.
    uses_taken_key: bool,
    taken_keys: Vec<TakenKey>,
    /// Requests of the customer that floods.
    flood: Vec<SentLookup>,
    /// Blocked link directions; one entry for each event that blocks the direction.
    cut_directions: Vec<(usize, usize)>,
    /// Currently active faults that apply to all links.
    link_faults: Vec<LinkFaults>,
}

impl Environment {
    pub(super) fn new(
        deployment: Deployment,
        vms: VmProcesses,
        links: Links,
        clock: RunClock,
        addresses: Vec<SocketAddr>,
        ids: WorkIds,
    ) -> Environment {
        let state = State {
            config: deployment.config.clone(),
            published: Vec::new(),
            leaving_periods: Vec::new(),
            limited_endpoints: BTreeSet::new(),
            rate_limit_periods: Vec::new(),
            noticed_endpoints: BTreeSet::new(),
            notice_periods: Vec::new(),
            has_endpoint_cut: false,
            endpoint_cuts: Vec::new(),
            scaled_timeouts: Vec::new(),
            uses_taken_key: false,
            taken_keys: Vec::new(),
            flood: Vec::new(),
            cut_directions: Vec::new(),
            link_faults: Vec::new(),
        };
        Environment { deployment, vms, links, state: Mutex::new(state), clock, addresses, ids }
    }

    /// Waits for a step's start time, injects its event, and reverts it after its duration.
    pub(super) async fn run_step(&self, step: &Step, vms: usize) {
        self.clock.wait_until_ms(step.at_ms).await;
        match &step.event {
            Event::Terminate { vm, restart_after_ms, signal, repeat_after_ms } => {
                let restart_after = Duration::from_millis(*restart_after_ms);
                let process = self.vms.stop(*vm, *signal, restart_after);
                if let Some(repeat_after_ms) = repeat_after_ms {
                    sleep_ms(*repeat_after_ms).await;
                    self.vms.repeat_stop(*vm, process, *signal);
                }
            }
            Event::SlowWork { share_percent, up_to_ms, for_ms } => {
                let up_to = Duration::from_millis(*up_to_ms);
                let share = f64::from(*share_percent) / 100.0;
                self.slow_down(SlowWork { share, up_to }, *for_ms).await;
            }
            Event::ScaleTimeouts { percent, for_ms } => {
                self.scale_timeouts(*percent, *for_ms).await;
            }
            Event::HangUp { vm } => self.vms.hang_up(*vm),
            Event::Kill { vms, restart_after_ms } => {
                let restart_after = Duration::from_millis(*restart_after_ms);
                vms.iter().for_each(|vm| self.vms.kill(*vm, restart_after));
            }
            Event::Pause { vm, for_ms } => {
                self.vms.pause(*vm);
                sleep_ms(*for_ms).await;
                self.vms.resume(*vm);
            }
            Event::Leave { endpoint, for_ms } => self.drain_endpoint(*endpoint, *for_ms).await,
            Event::AnnounceRateLimit { endpoint, tenths_per_second, for_ms } => {
                self.announce_rate_limit(*endpoint, f64::from(*tenths_per_second) / 10.0, *for_ms)
                    .await;
            }
            Event::SayLeaving { endpoint, for_ms } => {
                self.send_notice(*endpoint, EndpointNotice::LEAVING, *for_ms).await;
            }
            Event::RefuseRequests { endpoint, for_ms } => {
                let retry_after = Duration::from_millis(REFUSAL_RETRY_AFTER_MS);
                let notice = EndpointNotice { leaving: false, retry_after: Some(retry_after) };
                self.send_notice(*endpoint, notice, *for_ms).await;
            }
            Event::CrashingRequest { for_ms } => self.send_crash_requests(*for_ms).await,
            Event::TakeKey { valid_ms, used_ms } => self.take_key(*valid_ms, *used_ms).await,
            Event::Flood { for_ms } => {
                let time = Duration::from_millis(*for_ms);
                let sent = customers::flood(&self.addresses, &self.ids, self.clock, time).await;
                self.lock().flood.extend(sent);
            }
            Event::PublishInvalid => self.publish_invalid().await,
            Event::CutOneWay { from, to, for_ms } => self.cut_links(&[(*from, *to)], *for_ms).await,
            Event::CutOff { vm, for_ms } => {
                let others = (0..vms).filter(|other| other != vm);
                let cut_directions: Vec<(usize, usize)> =
                    others.flat_map(|other| [(*vm, other), (other, *vm)]).collect();
                self.cut_links(&cut_directions, *for_ms).await;
            }
            Event::CutOffPlatform { vm, for_ms } => {
                self.cut_links(&[(*vm, PLATFORM), (PLATFORM, *vm)], *for_ms).await;
            }
            Event::CutOffEndpoints { vms, form, for_ms } => {
                self.cut_off_endpoints(vms, *form, *for_ms).await;
            }
            Event::DegradedLinks { lost_percent, delay_ms, for_ms } => {
                let drop_share = f64::from(*lost_percent) / 100.0;
                let delay = Duration::from_millis(*delay_ms);
                self.degrade_links(LinkFaults { blocked: false, drop_share, delay }, *for_ms).await;
            }
            Event::EndpointFault { endpoint, fault, for_ms } => {
                let endpoint = &self.deployment.endpoints[*endpoint];
                endpoint.set_faults(faults(*fault));
                sleep_ms(*for_ms).await;
                endpoint.set_faults(Faults::default());
            }
            Event::PlatformFault { fault, for_ms } => {
                self.interrupt_platform(*fault, *for_ms).await
            }
        }
    }

    async fn slow_down(&self, slow_work: SlowWork, for_ms: u64) {
        let endpoints = &self.deployment.endpoints;
        endpoints.iter().for_each(|endpoint| endpoint.set_slow_work(Some(slow_work)));
        sleep_ms(for_ms).await;
        endpoints.iter().for_each(|endpoint| endpoint.set_slow_work(None));
    }

    async fn scale_timeouts(&self, percent: u32, for_ms: u64) {
        let from_ms = self.clock.now_ms();
        let usual = &self.deployment.config.rules;
        if !self.publish(|config| config_changes::scale_timeouts(config, usual, percent)) {
            return;
        }
        sleep_ms(for_ms).await;
        self.publish(|config| config_changes::scale_timeouts(config, usual, 100));
        let until_ms = self.clock.now_ms();
        self.lock().scaled_timeouts.push(ScaledTimeouts { from_ms, until_ms, percent });
    }

    /// Returns the periods in which the timeouts of the routes were changed.
    pub(super) fn scaled_timeouts(&self) -> Vec<ScaledTimeouts> {
        self.lock().scaled_timeouts.clone()
    }

    async fn interrupt_platform(&self, fault: PlatformFault, for_ms: u64) {
        let platform = &self.deployment.platform;
        match fault {
            PlatformFault::Refusing => platform.set_availability(Availability::Refusing),
            PlatformFault::Hanging => platform.set_availability(Availability::Hanging),
            PlatformFault::Stale => platform.set_stale(true),
        }
        sleep_ms(for_ms).await;
        match fault {
            PlatformFault::Refusing | PlatformFault::Hanging => {
                platform.set_availability(Availability::Up)
            }
            PlatformFault::Stale => platform.set_stale(false),
        }
    }

    async fn drain_endpoint(&self, endpoint: usize, for_ms: u64) {
        let name = self.deployment.endpoints[endpoint].name().to_owned();
        let address = self.deployment.endpoints[endpoint].address();
        let from = Instant::now();
        if !self.publish(|config| config_changes::set_leaving(config, address, true)) {
            return;
        }
        sleep_ms(for_ms).await;
        let until_ms = self.clock.now_ms();
        self.publish(|config| config_changes::set_leaving(config, address, false));
        let arrivals_ms = self.arrivals_ms(endpoint, from);
        let from_ms = self.clock.ms(from);
        let period = LeavingPeriod { endpoint: name, from_ms, until_ms, arrivals_ms };
        self.lock().leaving_periods.push(period);
    }

    async fn announce_rate_limit(&self, endpoint: usize, per_second: f64, for_ms: u64) {
        let limited = &self.deployment.endpoints[endpoint];
        if !self.lock().limited_endpoints.insert(endpoint) {
            return;
        }
        let from = Instant::now();
        limited.set_rate_limit(Some(per_second));
        sleep_ms(for_ms).await;
        let until_ms = self.clock.now_ms();
        limited.set_rate_limit(None);
        let arrivals_ms = self.arrivals_ms(endpoint, from);
        let endpoint_name = limited.name().to_owned();
        let mut state = self.lock();
        state.limited_endpoints.remove(&endpoint);
        state.rate_limit_periods.push(RateLimitPeriod {
            endpoint: endpoint_name,
            per_second,
            until_ms,
            arrivals_ms,
        });
    }

    /// Lets an endpoint ask for no requests. One that leaves starts again afterwards.
    async fn send_notice(&self, endpoint: usize, notice: EndpointNotice, for_ms: u64) {
        let sender = &self.deployment.endpoints[endpoint];
        if !self.lock().noticed_endpoints.insert(endpoint) {
            return;
        }
        let from = Instant::now();
        sender.set_notice(notice);
        sleep_ms(for_ms).await;
        let until_ms = self.clock.now_ms();
        sender.set_notice(EndpointNotice::default());
        let arrivals_ms = self.arrivals_ms(endpoint, from);
        if notice.leaving {
            self.publish(|config| config_changes::rename(config, sender.address()));
        }
        let name = sender.name().to_owned();
        let mut state = self.lock();
        state.noticed_endpoints.remove(&endpoint);
        let leaving = notice.leaving;
        state.notice_periods.push(NoticePeriod { endpoint: name, leaving, until_ms, arrivals_ms });
    }

    fn arrivals_ms(&self, endpoint: usize, since: Instant) -> Vec<u64> {
        let arrivals = self.deployment.endpoints[endpoint].arrivals_since(since);
        arrivals.into_iter().map(|at| self.clock.ms(at)).collect()
    }

    /// Sends requests that crash endpoints to the VMs in turn.
    async fn send_crash_requests(&self, for_ms: u64) {
        let until = Instant::now() + Duration::from_millis(for_ms);
        let mut sent = JoinSet::new();
        for address in self.addresses.iter().cycle() {
            if Instant::now() >= until {
                break;
            }
            let caller = Caller::direct(vec![*address]);
            let id = self.ids.next();
            sent.spawn(async move { caller.send(&CRASH_REQUEST, id).await });
            tokio::time::sleep(CRASH_REQUEST_INTERVAL).await;
        }
        sent.join_all().await;
    }

    /// Lets callers use a key, takes it away while they go on, and records their requests. There is
    /// one such key: a second step would make it valid again for the requests of the first.
    async fn take_key(&self, valid_ms: u64, used_ms: u64) {
        if std::mem::replace(&mut self.lock().uses_taken_key, true) {
            return;
        }
        self.use_and_take_key(valid_ms, used_ms).await;
        self.lock().uses_taken_key = false;
    }

    async fn use_and_take_key(&self, valid_ms: u64, used_ms: u64) {
        if !self.publish(|config| customers::set_taken_key(config, true)) {
            return;
        }
        let time = Duration::from_millis(valid_ms + used_ms);
        let used = customers::use_taken_key(&self.addresses, &self.ids, self.clock, time);
        let taken = async {
            sleep_ms(valid_ms).await;
            self.publish(|config| customers::set_taken_key(config, false));
            self.clock.now_ms()
        };
        let (requests, taken_ms) = tokio::join!(used, taken);
        self.lock().taken_keys.push(TakenKey { taken_ms, requests });
    }

    async fn publish_invalid(&self) {
        {
            let mut state = self.lock();
            state.config.version += 1;
            let version = state.config.version;
            let value = format!("{{\"version\": {version}, \"services\": 3}}");
            self.deployment.platform.publish_bytes(version, value.into_bytes());
        }
        tokio::time::sleep(INVALID_CONFIG_DURATION).await;
        self.publish(|_| {});
    }

    /// Publishes a changed configuration if it is valid; returns whether it was published.
    fn publish(&self, change: impl FnOnce(&mut Config)) -> bool {
        let mut state = self.lock();
        let mut config = state.config.clone();
        change(&mut config);
        config.version += 1;
        if !config.check("soak").is_empty() || self.deployment.platform.publish(&config).is_err() {
            return false;
        }
        let published = PublishedVersion { at_ms: self.clock.now_ms(), version: config.version };
        state.published.push(published);
        state.config = config;
        true
    }

    async fn cut_links(&self, cut_directions: &[(usize, usize)], for_ms: u64) {
        self.lock().cut_directions.extend_from_slice(cut_directions);
        self.set_links();
        sleep_ms(for_ms).await;
        let mut state = self.lock();
        for direction in cut_directions {
            if let Some(position) = state.cut_directions.iter().position(|it| it == direction) {
                state.cut_directions.swap_remove(position);
            }
        }
        drop(state);
        self.set_links();
    }

    /// Cuts VMs off from all endpoints, unless another such step is under way. A process that
    /// starts meanwhile is cut off as well.
    async fn cut_off_endpoints(&self, vms: &[usize], form: EndpointCut, for_ms: u64) {
        if std::mem::replace(&mut self.lock().has_endpoint_cut, true) {
            return;
        }
        let from_ms = self.clock.now_ms();
        let until_ms = from_ms + for_ms;
        while self.clock.now_ms() < until_ms {
            self.vms.set_endpoint_paths(vms, form.admin_name()).await;
            tokio::time::sleep(ENDPOINT_CUT_REFRESH).await;
        }
        let until_ms = self.clock.now_ms();
        self.vms.set_endpoint_paths(vms, "none").await;
        let mut state = self.lock();
        state.has_endpoint_cut = false;
        state.endpoint_cuts.push(EndpointCutPeriod { vms: vms.to_vec(), from_ms, until_ms });
    }

    /// Returns the periods in which VMs were cut off from all endpoints.
    pub(super) fn endpoint_cuts(&self) -> Vec<EndpointCutPeriod> {
        self.lock().endpoint_cuts.clone()
    }

    async fn degrade_links(&self, link: LinkFaults, for_ms: u64) {
        self.lock().link_faults.push(link);
        self.set_links();
        sleep_ms(for_ms).await;
        let mut state = self.lock();
        state.link_faults.retain(|it| *it != link);
        drop(state);
        self.set_links();
    }

    fn set_links(&self) {
        let state = self.lock();
        self.links.set_all(state.link_faults.last().copied().unwrap_or_default());
        for (from, to) in &state.cut_directions {
            self.links.set(*from, *to, BLOCKED);
        }
    }

    /// Returns the periods in which endpoints announced a rate limit, and the times at which a
    /// request that crashes endpoints began to run.
    pub(super) fn endpoint_observations(&self) -> (Vec<RateLimitPeriod>, Vec<u64>) {
        let runs = self.deployment.endpoints.iter().flat_map(Endpoint::crash_runs);
        let mut runs_ms: Vec<u64> = runs.map(|at| self.clock.ms(at)).collect();
        runs_ms.sort_unstable();
        (self.lock().rate_limit_periods.clone(), runs_ms)
    }

    /// Returns the periods in which endpoints asked for no requests.
    pub(super) fn notice_periods(&self) -> Vec<NoticePeriod> {
        self.lock().notice_periods.clone()
    }

    /// Returns the keys that were taken away, and the requests of the customer that floods.
    pub(super) fn customer_observations(&self) -> (Vec<TakenKey>, Vec<SentLookup>) {
        let state = self.lock();
        (state.taken_keys.clone(), state.flood.clone())
    }

    /// Returns the published configurations and the periods in which endpoints were leaving.
    pub(super) fn operator_actions(&self) -> (Vec<PublishedVersion>, Vec<LeavingPeriod>) {
        let state = self.lock();
        (state.published.clone(), state.leaving_periods.clone())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn faults(fault: EndpointFault) -> Faults {
    match fault {
        EndpointFault::Gray => Faults::gray(),
        EndpointFault::Straggler => Faults::straggler(),
        EndpointFault::Hang => Faults::hang(),
        EndpointFault::Shed => Faults::shedding(),
        EndpointFault::SilentConnections => Faults::silent_connections(Instant::now()),
        EndpointFault::RepeatRefusals => Faults::repeating_refusals(),
        EndpointFault::MisleadingStatuses => Faults::misleading_statuses(),
    }
}

async fn sleep_ms(for_ms: u64) {
    tokio::time::sleep(Duration::from_millis(for_ms)).await;
}
