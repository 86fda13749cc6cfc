//! Retry limit that is shared by the dispatchers of a service.
//!
//! Each VM has rights of its own to send retries: what its requests have earned, and as a
//! dispatcher its part of the slack. A VM that needs more asks other dispatchers, which take from
//! their own rights before they answer. What is lost on the way is never used, so that VMs that
//! are cut off, paused or restarted can only leave rights unused. Without the exchange, most of
//! the limit would remain unused, because failures come in bursts and not evenly at all VMs.

mod demand;
mod exchange;
mod fleet_size;
mod forecast;
mod slack_part;

use std::time::Duration;

pub use self::exchange::{RightsGrant, RightsRequest};
use self::{demand::Demand, exchange::Exchange, fleet_size::FleetSize, slack_part::SlackPart};
use super::{PriorRetries, RetryRights, send_history::SendHistory};
use crate::{membership::VisibleFleet, name::Name, service::RetryLimit, time::Time};

/// Fraction of the slack that the dispatchers use. The rest covers retries that are sent some time
/// after they were counted.
const USED_SLACK_FRACTION: f64 = 0.9;
/// Fraction of its rights that a VM keeps when others ask for them, for its own next failure.
const KEPT_FRACTION: f64 = 0.05;

/// The dispatchers of a service that are visible to a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VisibleDispatchers {
    /// Number of dispatchers that this VM considers alive.
    pub count: u32,
    /// Whether this VM is one of them.
    pub is_member: bool,
    /// The part of the fleet that this VM sees.
    pub fleet: VisibleFleet,
}

/// Retry budget of one VM under a limit that all VMs share.
///
/// Failure guarded against: all VMs together send more retries than the endpoints can handle
/// (retry storm). It shows as load that grows while fewer requests are answered. The guard
/// holds because the rights of all VMs together stay within the limit, whatever they know of each
/// other. A process that has just started earns none for a window, in which retries of the process
/// before it still count, and sends only what others hand over to it.
///
/// VMs on two sides of a partition may both see themselves as the dispatchers, as others replace
/// those that are gone. They therefore have the part of the slack that corresponds to the part of
/// the fleet that they see. They have none if they see only a minority of the expected dispatchers,
/// or if neither they nor a dispatcher that they see has joined through most of the seeds: they
/// can't know then how large the fleet is. A larger part than before can only be used after a whole
/// window, since a VM that this one replaces may just have used it.
#[derive(Clone, Debug)]
pub struct FleetRetryBudget {
    limit: RetryLimit,
    /// Expected number of dispatchers.
    expected: u32,
    visible: VisibleDispatchers,
    fleet_size: FleetSize,
    slack_part: SlackPart,
    history: SendHistory,
    exchange: Exchange,
    demand: Demand,
    /// Whether this VM asks others for rights.
    exchanges_rights: bool,
}

impl FleetRetryBudget {
    /// Creates a budget without any rights.
    ///
    /// `first_request_id` is a random number.
    pub fn new(
        now: Time,
        limit: RetryLimit,
        expected: u32,
        first_request_id: u32,
        prior: PriorRetries,
    ) -> FleetRetryBudget {
        FleetRetryBudget {
            limit,
            expected,
            visible: VisibleDispatchers::default(),
            fleet_size: FleetSize::default(),
            slack_part: SlackPart::default(),
            history: SendHistory::new(now, window(limit), prior),
            exchange: Exchange::new(first_request_id),
            demand: Demand::default(),
            exchanges_rights: true,
        }
    }

    /// Returns the expected number of dispatchers.
    pub fn expected(&self) -> u32 {
        self.expected
    }

    /// Sets whether this VM asks others for rights.
    pub fn set_exchanges_rights(&mut self, exchanges_rights: bool) {
        self.exchanges_rights = exchanges_rights;
    }

    /// Sets the limit and the expected number of dispatchers.
    pub fn configure(&mut self, now: Time, limit: RetryLimit, expected: u32) {
        if window(limit) != window(self.limit) {
            self.history = SendHistory::new(now, window(limit), PriorRetries::Unknown);
        }
        self.limit = limit;
        self.expected = expected;
        self.set_visible_dispatchers(now, self.visible);
    }

    /// Sets the visible dispatchers; returns whether this VM has just become a dispatcher and
    /// must request a snapshot from another one.
    pub fn set_visible_dispatchers(&mut self, now: Time, visible: VisibleDispatchers) -> bool {
        let becomes_dispatcher = visible.is_member && !self.visible.is_member;
        self.visible = visible;
        self.update_slack_part(now);
        becomes_dispatcher
    }

    /// Returns the number of VMs to report to the other dispatchers, if this VM has joined the fleet.
    pub fn known_vms(&self) -> Option<u32> {
        let VisibleFleet { known_vms, has_joined, .. } = self.visible.fleet;
        has_joined.then_some(known_vms)
    }

    /// Records how many VMs another dispatcher knows.
    pub fn on_peer_known_vms(&mut self, now: Time, from: &Name, known_vms: Option<u32>) {
        self.fleet_size.record(now, from, known_vms);
        self.update_slack_part(now);
    }

    /// Records that this process was paused: others may have replaced this VM meanwhile.
    pub fn on_pause(&mut self, now: Time) {
        self.slack_part.reset(now);
    }

    /// Records the first sending of a request.
    pub fn on_request(&mut self, now: Time) {
        self.history.record_request(now);
    }

    /// Takes one retry from the budget and returns whether there was one.
    pub fn take(&mut self, now: Time) -> bool {
        let is_available = self.has_retry(now);
        if is_available {
            self.use_retry(now);
        }
        self.demand.record(now);
        is_available
    }

    /// Takes one retry for a request that waits for it and returns whether there was one. It is tried
    /// again and again, so that a refusal doesn't count as another retry that is needed.
    pub fn take_for_held(&mut self, now: Time) -> bool {
        self.has_retry(now) && self.take(now)
    }

    /// Takes one retry for a hedge, which only saves time, and returns whether there was one: half
    /// of the allowed retries are reserved for retries of failed requests.
    pub fn take_for_hedge(&mut self, now: Time) -> bool {
        self.has_spare_retries(now) && self.take(now)
    }

    /// Returns whether this VM may send a retry.
    pub fn has_retry(&mut self, now: Time) -> bool {
        self.remaining(now) >= 1.0
    }

    /// Returns whether less than half of what this VM has itself is used.
    pub fn has_spare_retries(&mut self, now: Time) -> bool {
        let used = self.used(now);
        used + 1.0 <= self.allowed(now) / 2.0
    }

    /// Returns the rights to report to the other dispatchers: those that this VM would give.
    pub fn spare(&mut self, now: Time) -> RetryRights {
        let own = self.own_remaining(now);
        let kept = (own * KEPT_FRACTION).max(self.demand.recent(now) as f64);
        RetryRights::from_retries(own - kept)
    }

    /// Records the rights that another dispatcher would give.
    pub fn on_peer_spare(&mut self, now: Time, from: &Name, spare: RetryRights) {
        self.exchange.on_peer_spare(now, from, spare);
    }

    /// Returns requests for rights to send to other dispatchers, if this VM will need more than
    /// it has: for as many retries as it has lately needed, and for `held` requests that wait.
    pub fn rights_requests(&mut self, now: Time, held: usize) -> Vec<(Name, RightsRequest)> {
        if !self.visible.is_member || !self.exchanges_rights {
            return Vec::new();
        }
        let needed = (self.demand.recent(now) + held) as f64 - self.remaining(now);
        if needed <= 0.0 { Vec::new() } else { self.exchange.requests(now, needed) }
    }

    /// Gives another VM rights that it has asked for, as far as this one can spare them.
    pub fn on_rights_request(&mut self, now: Time, request: RightsRequest) -> RightsGrant {
        let rights = request.rights.min(self.spare(now));
        let validity = self.grant_validity();
        // The other VM may use them until then, and they count for a window after that.
        self.exchange.give(now + validity + window(self.limit), rights);
        RightsGrant { id: request.id, rights }
    }

    /// Records rights that another VM has given.
    pub fn on_rights_grant(&mut self, now: Time, grant: RightsGrant) {
        let validity = self.grant_validity();
        self.exchange.on_grant(now, grant, validity);
    }

    /// Returns the time for which given rights may be used.
    fn grant_validity(&self) -> Duration {
        self.history.step() * 2
    }

    fn use_retry(&mut self, now: Time) {
        let own = self.exchange.use_received(now, RetryRights::ONE_RETRY);
        self.history.record_used(now, own);
    }

    /// Returns the number of retries that this VM may send.
    fn remaining(&mut self, now: Time) -> f64 {
        self.own_remaining(now) + self.exchange.received(now).retries()
    }

    /// Returns how many of them it hasn't received from others.
    fn own_remaining(&mut self, now: Time) -> f64 {
        let used = self.used(now);
        (self.allowed(now) - used).max(0.0)
    }

    /// Returns what the requests of this VM have earned, and its part of the slack.
    fn allowed(&mut self, now: Time) -> f64 {
        let requests = self.history.earning_requests(now);
        self.earned(requests) + self.slack(now)
    }

    fn used(&mut self, now: Time) -> f64 {
        self.history.used(now).plus(self.exchange.given(now)).retries()
    }

    fn slack(&self, now: Time) -> f64 {
        self.slack_part.smallest(now, window(self.limit))
    }

    fn update_slack_part(&mut self, now: Time) {
        self.slack_part.forget(now, window(self.limit));
        self.slack_part.set(now, self.current_slack_part());
    }

    /// Returns the part of the slack that this VM may have by what it sees of the fleet now.
    fn current_slack_part(&self) -> f64 {
        let VisibleDispatchers { count, is_member, fleet } = self.visible;
        let Some(known_vms) = self.known_vms().max(self.fleet_size.largest()) else { return 0.0 };
        if !is_member || count * 2 <= self.expected {
            return 0.0;
        }
        let live_vms = fleet.live_vms.max(1);
        let fleet_vms = known_vms.max(live_vms);
        // VMs that this one doesn't see may have replaced dispatchers as often as those it sees.
        let dispatchers = f64::from(count) * f64::from(fleet_vms) / f64::from(live_vms);
        let dispatchers = dispatchers.max(f64::from(self.expected));
        f64::from(self.limit.slack) * USED_SLACK_FRACTION / dispatchers
    }

    fn earned(&self, requests: u64) -> f64 {
        self.limit.ratio * requests as f64
    }
}

fn window(limit: RetryLimit) -> Duration {
    Duration::from_millis(limit.window_ms.max(1))
}
