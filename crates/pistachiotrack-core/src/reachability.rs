//! Whether this VM reaches the endpoints at all.
//!
//! Failure guarded against: a VM that callers and other VMs reach, and that reaches no endpoint
//! itself, takes requests and refuses them while other VMs could serve them. It shows as
//! connections that fail to all endpoints of all services at once. The guard holds because such
//! a VM hands its requests over, and because no VM concludes that from its own failures alone:
//! other VMs have to reach endpoints that this one doesn't. If the endpoints themselves are
//! down, no VM hands anything over.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::time::Time;

/// Number of failed connections in a row after which this VM checks whether it reaches any
/// endpoint.
const FAILURES_TO_CHECK: u32 = 3;
/// The same after which a VM that has only just reached endpoints again is cut off. Single
/// endpoints may be down all the while.
const FAILURES_ON_RETURN: u32 = 5;
/// Time without an open connection after a failed one after which some endpoints are tried. A VM
/// whose endpoints all look bad may send nothing by which it would find out.
const UNCONFIRMED_TIME: Duration = Duration::from_millis(500);
/// Time for which a failed connection counts.
const FAILURE_TTL: Duration = Duration::from_secs(5);
/// Number of other endpoints that are tried in a check.
const CHECKED_ENDPOINTS: usize = 8;
/// Number of endpoints that other VMs are asked about in a check.
const ASKED_ENDPOINTS: usize = 5;
/// Number of these that other VMs must reach: a single one may have a broken path of its own.
const MIN_REACHED_BY_OTHERS: usize = 2;
/// Time after which a check without a result ends; it allows for three connections that hang, one
/// after the other: of the VMs that are asked first, of those asked next, and of this one.
const CHECK_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Minimum time between two checks that ask many VMs. It doubles while no VM reaches the endpoints.
const MIN_MANY_INTERVAL: Duration = Duration::from_secs(1);
/// Upper bound of that time.
const MAX_MANY_INTERVAL: Duration = Duration::from_secs(32);
/// Minimum time between the starts of two checks. While some endpoints refuse connections, those
/// that a check itself tries would otherwise start the next one as soon as another endpoint has
/// ended it, again and again.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a VM that reaches no endpoint tries some again.
const TRY_INTERVAL: Duration = Duration::from_millis(250);
/// Number of endpoints that it tries each time.
const TRIED_ENDPOINTS: usize = 2;
/// Number of connections after which endpoints count as reached again.
const SUCCESSES_TO_RETURN: u32 = 4;
/// Time within which a VM takes its requests back, a growing share of them. It doubles with each
/// further partition, so that a VM at the edge of one doesn't come and go.
const RETURN_TIME: Duration = Duration::from_secs(1);
/// Number of partitions after which that time no longer grows.
const MAX_DOUBLINGS: u32 = 4;
/// Time after which a past partition no longer counts.
const FORGET_TIME: Duration = Duration::from_secs(30);

/// Whether this VM reaches endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointReach {
    /// It does, or doesn't know otherwise.
    Normal,
    /// It reaches none, and other VMs do.
    CutOff,
    /// It has just reached some again.
    Returning {
        /// Time of the first connection.
        since: Time,
        /// Time after which it serves all its requests.
        until: Time,
    },
}

impl EndpointReach {
    /// Returns whether other VMs should serve requests in place of this one.
    pub fn is_cut_off(self) -> bool {
        self != EndpointReach::Normal
    }

    /// Returns the fraction of its requests that this VM serves itself.
    pub fn served_fraction(self, now: Time) -> f64 {
        match self {
            EndpointReach::Normal => 1.0,
            EndpointReach::CutOff => 0.0,
            EndpointReach::Returning { since, until } => {
                now.since(since).as_secs_f64() / until.since(since).as_secs_f64()
            }
        }
    }

    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            EndpointReach::Normal => "normal",
            EndpointReach::CutOff => "cut-off",
            EndpointReach::Returning { .. } => "returning",
        }
    }
}

/// An action that the caller of [`Reachability`] has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReachAction {
    /// Opens a connection to each endpoint and reports the results with
    /// [`Reachability::on_tried`].
    TryEndpoints(Vec<SocketAddr>),
    /// Asks other VMs whether they reach these endpoints, and reports the results with
    /// [`Reachability::on_vms_answered`].
    AskVms {
        /// The endpoints.
        endpoints: Vec<SocketAddr>,
        /// Number of VMs to ask about each.
        vms: AskedVms,
    },
    /// The state has changed.
    Changed(EndpointReach),
}

/// Number of VMs that are asked about an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AskedVms {
    /// A few of them.
    Few,
    /// Many others: the few may be cut off as well.
    Many,
}

/// A check whether this VM reaches any endpoint.
#[derive(Clone, Debug)]
struct Check {
    started_at: Time,
    /// Endpoints that other VMs are asked about.
    asked: Vec<SocketAddr>,
    /// Number of endpoints whose result is outstanding.
    outstanding: usize,
    /// Number of endpoints about which no answer has arrived.
    unanswered: usize,
    /// Endpoints that other VMs reach.
    reached_by_others: BTreeSet<SocketAddr>,
    has_asked_many: bool,
}

impl Check {
    fn is_overdue(&self, now: Time) -> bool {
        now.since(self.started_at) >= CHECK_TIMEOUT
    }
}

/// Detects that this VM reaches no endpoint, and when it does again.
///
/// Only new connections count: open ones can live on while no new one can be opened, and a
/// request that needs a new one fails then.
#[derive(Clone, Debug)]
pub struct Reachability {
    reach: EndpointReach,
    endpoints: Vec<SocketAddr>,
    /// Endpoints to which no connection opened since one last opened to any.
    failed: BTreeMap<SocketAddr, Time>,
    /// Number of failed connections since then.
    failures: u32,
    check: Option<Check>,
    /// Time before which no other check starts.
    next_check_at: Time,
    /// Time before which no check asks many VMs.
    next_many_at: Time,
    many_interval: Duration,
    next_try_at: Time,
    last_connected_at: Time,
    /// Number of other VMs that report that they reach no endpoint.
    cut_off_vms: usize,
    successes: u32,
    /// Number of recent partitions.
    partitions: u32,
    returned_at: Time,
    rng: Pcg64Mcg,
}

impl Reachability {
    /// Creates the state of a VM that has not tried any endpoint.
    pub fn new(now: Time, seed: u64) -> Reachability {
        Reachability {
            reach: EndpointReach::Normal,
            endpoints: Vec::new(),
            failed: BTreeMap::new(),
            failures: 0,
            check: None,
            next_check_at: now,
            next_many_at: now,
            many_interval: MIN_MANY_INTERVAL,
            next_try_at: now,
            last_connected_at: now,
            cut_off_vms: 0,
            successes: 0,
            partitions: 0,
            returned_at: now,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Returns whether this VM reaches endpoints.
    pub fn reach(&self) -> EndpointReach {
        self.reach
    }

    /// Returns whether this VM may reach no endpoint, so that its broken connections say nothing
    /// about them.
    pub fn is_in_doubt(&self) -> bool {
        self.reach.is_cut_off() || self.check.is_some()
    }

    /// Sets the endpoints of all services.
    pub fn set_endpoints(&mut self, endpoints: Vec<SocketAddr>) {
        self.failed.retain(|address, _| endpoints.contains(address));
        self.endpoints = endpoints;
    }

    /// Handles that a connection to an endpoint was opened.
    pub fn on_connected(&mut self, now: Time) -> Vec<ReachAction> {
        self.forget_failures();
        self.many_interval = MIN_MANY_INTERVAL;
        self.last_connected_at = now;
        if self.reach != EndpointReach::CutOff {
            return Vec::new();
        }
        self.successes += 1;
        if self.successes < SUCCESSES_TO_RETURN.min(self.endpoints.len().max(1) as u32) {
            return Vec::new();
        }
        let doublings = self.partitions.saturating_sub(1).min(MAX_DOUBLINGS);
        let until = now + RETURN_TIME * (1 << doublings);
        self.change(EndpointReach::Returning { since: now, until })
    }

    /// Handles that no connection to an endpoint could be opened.
    pub fn on_connect_failed(&mut self, now: Time, endpoint: SocketAddr) -> Vec<ReachAction> {
        if !self.endpoints.contains(&endpoint) || self.reach == EndpointReach::CutOff {
            return Vec::new();
        }
        self.failed.retain(|_, failed_at| now.since(*failed_at) < FAILURE_TTL);
        if self.failed.is_empty() {
            self.failures = 0;
            self.next_try_at = now + UNCONFIRMED_TIME;
        }
        self.failures += 1;
        self.failed.insert(endpoint, now);
        if self.reach.is_cut_off() {
            let is_cut_off = self.failures >= FAILURES_ON_RETURN;
            return if is_cut_off { self.cut_off(now) } else { Vec::new() };
        }
        if self.failures < FAILURES_TO_CHECK || now < self.next_check_at {
            return Vec::new();
        }
        if self.check.as_ref().is_some_and(|check| !check.is_overdue(now)) {
            return Vec::new();
        }
        self.start_check(now)
    }

    /// Handles the result of [`ReachAction::TryEndpoints`] for one endpoint.
    pub fn on_tried(&mut self, now: Time, endpoint: SocketAddr, reached: bool) -> Vec<ReachAction> {
        if reached {
            return self.on_connected(now);
        }
        if let Some(check) = &mut self.check {
            check.outstanding = check.outstanding.saturating_sub(1);
        }
        let mut actions = self.conclude_check(now);
        actions.extend(self.on_connect_failed(now, endpoint));
        actions
    }

    /// Handles the result of [`ReachAction::AskVms`]: whether another VM reaches an endpoint that
    /// this one didn't.
    ///
    /// This one tries again then: an endpoint that crashes and starts again may have been down when
    /// it tried, and up when the other VM did.
    pub fn on_vms_answered(
        &mut self,
        now: Time,
        endpoint: SocketAddr,
        reached: bool,
    ) -> Vec<ReachAction> {
        let Some(check) = &mut self.check else { return Vec::new() };
        check.unanswered = check.unanswered.saturating_sub(1);
        let is_new = reached && check.reached_by_others.insert(endpoint);
        if is_new && check.reached_by_others.len() == MIN_REACHED_BY_OTHERS {
            check.outstanding += check.asked.len();
            return vec![ReachAction::TryEndpoints(check.asked.clone())];
        }
        let is_open = check.reached_by_others.len() < MIN_REACHED_BY_OTHERS;
        if check.unanswered > 0 || !is_open || check.has_asked_many || now < self.next_many_at {
            return Vec::new();
        }
        check.has_asked_many = true;
        let reached = &check.reached_by_others;
        let endpoints: Vec<SocketAddr> =
            check.asked.iter().filter(|asked| !reached.contains(asked)).copied().collect();
        check.unanswered = endpoints.len();
        self.next_many_at = now + self.many_interval;
        self.many_interval = (self.many_interval * 2).min(MAX_MANY_INTERVAL);
        vec![ReachAction::AskVms { endpoints, vms: AskedVms::Many }]
    }

    /// Handles the number of other VMs that report that they reach no endpoint.
    ///
    /// If it grows, and this VM has opened no connection lately, it tries some endpoints. Requests that
    /// others hand to it may wait for slots that only seem taken, so that none of its own fails.
    pub fn on_cut_off_vms(&mut self, now: Time, count: usize) -> Vec<ReachAction> {
        let is_growing = count > self.cut_off_vms;
        let is_idle = now.since(self.last_connected_at) >= UNCONFIRMED_TIME;
        if !is_growing || !is_idle || self.reach.is_cut_off() || now < self.next_check_at {
            // What doesn't lead to a try now counts as growth later.
            self.cut_off_vms = self.cut_off_vms.min(count);
            return Vec::new();
        }
        self.cut_off_vms = count;
        vec![ReachAction::TryEndpoints(self.sample(FAILURES_TO_CHECK as usize))]
    }

    /// Handles a pause of this process: connections that it delayed are no evidence.
    pub fn on_pause(&mut self) {
        self.forget_failures();
    }

    fn forget_failures(&mut self) {
        self.failed.clear();
        self.failures = 0;
        self.check = None;
    }

    /// Performs the work that is due.
    pub fn on_tick(&mut self, now: Time) -> Vec<ReachAction> {
        match self.reach {
            EndpointReach::Normal => {
                self.check.take_if(|check| check.is_overdue(now));
                if self.partitions > 0 && now.since(self.returned_at) >= FORGET_TIME {
                    self.partitions = 0;
                }
                let is_unconfirmed = (1..FAILURES_TO_CHECK).contains(&self.failures);
                if !is_unconfirmed || now < self.next_try_at {
                    return Vec::new();
                }
                self.next_try_at = now + CHECK_INTERVAL;
                vec![ReachAction::TryEndpoints(self.sample(TRIED_ENDPOINTS))]
            }
            EndpointReach::Returning { until, .. } if now >= until => {
                self.returned_at = now;
                self.change(EndpointReach::Normal)
            }
            EndpointReach::CutOff | EndpointReach::Returning { .. } => {
                if now < self.next_try_at {
                    return Vec::new();
                }
                self.next_try_at = now + TRY_INTERVAL;
                vec![ReachAction::TryEndpoints(self.sample(TRIED_ENDPOINTS))]
            }
        }
    }

    fn start_check(&mut self, now: Time) -> Vec<ReachAction> {
        self.next_check_at = now + CHECK_INTERVAL;
        let tried = self.sample(CHECKED_ENDPOINTS);
        let mut failed: Vec<(Time, SocketAddr)> =
            self.failed.iter().map(|(address, at)| (*at, *address)).collect();
        failed.sort_unstable_by(|a, b| b.cmp(a));
        let mut asked: Vec<SocketAddr> = failed.into_iter().map(|(_, address)| address).collect();
        asked.extend(tried.iter().filter(|address| !self.failed.contains_key(address)));
        asked.truncate(ASKED_ENDPOINTS);
        self.check = Some(Check {
            started_at: now,
            asked: asked.clone(),
            outstanding: tried.len(),
            unanswered: asked.len(),
            reached_by_others: BTreeSet::new(),
            has_asked_many: false,
        });
        let ask = ReachAction::AskVms { endpoints: asked, vms: AskedVms::Few };
        vec![ReachAction::TryEndpoints(tried), ask]
    }

    fn conclude_check(&mut self, now: Time) -> Vec<ReachAction> {
        let is_confirmed = self.check.as_ref().is_some_and(|check| {
            check.outstanding == 0 && check.reached_by_others.len() >= MIN_REACHED_BY_OTHERS
        });
        if is_confirmed && self.reach == EndpointReach::Normal {
            return self.cut_off(now);
        }
        Vec::new()
    }

    fn cut_off(&mut self, now: Time) -> Vec<ReachAction> {
        self.partitions += 1;
        self.successes = 0;
        self.forget_failures();
        self.next_try_at = now + TRY_INTERVAL;
        self.change(EndpointReach::CutOff)
    }

    fn change(&mut self, reach: EndpointReach) -> Vec<ReachAction> {
        self.reach = reach;
        vec![ReachAction::Changed(reach)]
    }

    /// Returns some endpoints, those without a failed connection first.
    fn sample(&mut self, count: usize) -> Vec<SocketAddr> {
        let mut ranked: Vec<(bool, u64, SocketAddr)> = self
            .endpoints
            .iter()
            .map(|endpoint| (self.failed.contains_key(endpoint), self.rng.random(), *endpoint))
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().take(count).map(|(.., endpoint)| endpoint).collect()
    }
}
