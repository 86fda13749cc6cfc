//! Rate limits of customers that all VMs keep to together, without shared state.
//!
//! Each VM holds a token bucket for a customer and takes from it what it admits itself and what
//! the others report to have admitted. A VM that isn't heard is assumed to admit its share, by
//! which the others refill their buckets more slowly, and its share of the tokens that there were
//! when it was last heard. That VM hears nobody either and does the same. The parts of a divided
//! fleet thus stay within the limit together.

mod bucket;
mod report;

use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::Deserialize;

use self::bucket::Bucket;
pub use self::report::{CustomerCount, UsageReport};
use crate::{admin::CustomerUsage, customer::CustomerRateLimit, name::Name, time::Time};

/// Time without a report after which a VM is assumed to admit its share.
const SILENCE: Duration = Duration::from_millis(700);
/// Interval of reports while no limit is nearly used up.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of reports without any count, which show that this VM is heard.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Number of reports in which a changed count is repeated, in case one is lost.
const REPORT_REPEATS: u8 = 3;
/// Time after its last report for which the reports are sent to a VM outside the group.
const SUBSCRIPTION_TIME: Duration = Duration::from_secs(2);
/// Share of a VM outside the group that hears none of its members, as a fraction of the share
/// of a member.
const OUTSIDER_FRACTION: f64 = 0.5;
/// Fraction of the slack by which buckets are deeper than the burst. The rest covers what VMs
/// admit before they hear of each other.
const DEPTH_FRACTION: f64 = 0.2;
/// Fraction of its shares that a minority of the group uses. The others may have replaced its
/// members by now.
const MINORITY_FRACTION: f64 = 0.5;

/// Settings of the limits.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CustomerLimitSettings {
    /// Requests by which a customer may exceed its limit within some seconds.
    pub slack_requests: f64,
}

impl Default for CustomerLimitSettings {
    fn default() -> CustomerLimitSettings {
        CustomerLimitSettings { slack_requests: 10.0 }
    }
}

impl CustomerLimitSettings {
    /// Returns the first field with an invalid value, and what is wrong with it.
    pub fn problem(&self) -> Option<(&'static str, String)> {
        let is_valid = self.slack_requests.is_finite() && self.slack_requests >= 0.0;
        let problem = || format!("{} is not a number from 0 on", self.slack_requests);
        (!is_valid).then(|| ("customer_limit.slack_requests", problem()))
    }

    /// Returns the part of the slack by which buckets are deeper than the burst.
    fn depth(&self) -> f64 {
        self.slack_requests * DEPTH_FRACTION
    }
}

/// The VMs that most requests enter through and that report to each other.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LimitGroup {
    /// Number of VMs that the group has when no VM is missing.
    pub expected: usize,
    /// Whether this VM is a member.
    pub is_member: bool,
    /// The other members.
    pub others: Vec<Name>,
}

/// What another VM has reported.
#[derive(Clone, Debug, Default)]
struct Peer {
    count_id: u32,
    sequence: u32,
    heard_at: Time,
    admitted: FxHashMap<Name, u64>,
    /// Tokens that it is assumed to have taken since it fell silent.
    assumed: Option<FxHashMap<Name, f64>>,
}

/// Why a request isn't admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverLimit {
    /// Time after which the customer's tokens are back.
    pub retry_after: Duration,
}

/// The limits of all customers, as one VM keeps them.
#[derive(Clone, Debug)]
pub struct CustomerLimiter {
    settings: CustomerLimitSettings,
    /// Random identifier of the counts; it differs when this VM restarts its count.
    count_id: u32,
    group: LimitGroup,
    buckets: FxHashMap<Name, Bucket>,
    peers: FxHashMap<Name, Peer>,
    reported_at: Time,
    /// Number of the last report.
    sequence: u32,
}

impl CustomerLimiter {
    /// Creates a limiter without counts. `count_id` is a random number.
    pub fn new(settings: CustomerLimitSettings, count_id: u32) -> CustomerLimiter {
        CustomerLimiter {
            settings,
            count_id,
            group: LimitGroup::default(),
            buckets: FxHashMap::default(),
            peers: FxHashMap::default(),
            reported_at: Time::ZERO,
            sequence: 0,
        }
    }

    /// Sets the VMs that report to each other.
    pub fn set_group(&mut self, group: LimitGroup) {
        self.group = group;
    }

    /// Returns whether no customer with a limit has sent a request lately.
    pub fn is_idle(&self) -> bool {
        self.buckets.is_empty() && self.peers.is_empty()
    }

    /// Admits a request of a customer, or returns when its tokens are back; `random` is a random
    /// number below 1.
    ///
    /// # Errors
    ///
    /// Returns an error if the limit is used up.
    pub fn admit(
        &mut self,
        now: Time,
        customer: &Name,
        limit: CustomerRateLimit,
        random: f64,
    ) -> Result<(), OverLimit> {
        let share = self.share(now);
        let vms = self.group.expected.max(1);
        let bucket = self.bucket(now, customer, limit);
        bucket.refill(now, share);
        match bucket.take() {
            true => Ok(()),
            false => Err(OverLimit { retry_after: bucket.retry_after(now, vms, random) }),
        }
    }

    /// Returns the limits of the customers with recent requests and their use, sorted by name.
    pub fn usage(&self) -> Vec<CustomerUsage> {
        let mut usage: Vec<CustomerUsage> =
            self.buckets.iter().map(|(customer, bucket)| bucket.usage(customer)).collect();
        usage.sort_by(|a, b| a.customer.cmp(&b.customer));
        usage
    }

    /// Returns whether a report may be due.
    ///
    /// While a limit is nearly used up, it always is: a VM that doesn't know what the others have
    /// just admitted refuses other requests than a single bucket would.
    pub fn is_report_due(&self, now: Time) -> bool {
        let is_urgent = || self.buckets.values().any(Bucket::is_urgent);
        !self.is_idle() && (now.since(self.reported_at) >= REPORT_INTERVAL || is_urgent())
    }

    /// Returns the report that is due, if any.
    pub fn report(&mut self, now: Time) -> Option<UsageReport> {
        if !self.is_report_due(now) {
            return None;
        }
        self.take_for_silent_vms(now);
        let share = self.share(now);
        let mut counts = Vec::new();
        self.buckets.retain(|customer, bucket| {
            bucket.refill(now, share);
            if bucket.take_unreported() {
                counts.push(bucket.count(now, customer));
            }
            !bucket.is_forgettable(now)
        });
        self.peers.retain(|_, peer| now.since(peer.heard_at) < SUBSCRIPTION_TIME * 2);
        let is_heartbeat_due = self.group.is_member
            && !self.is_idle()
            && now.since(self.reported_at) >= HEARTBEAT_INTERVAL;
        if counts.is_empty() && !is_heartbeat_due {
            return None;
        }
        self.reported_at = now;
        self.sequence += 1;
        Some(UsageReport { count_id: self.count_id, sequence: self.sequence, counts })
    }

    /// Returns the VMs outside the group that are to get the reports too.
    pub fn subscribers(&self, now: Time) -> impl Iterator<Item = &Name> {
        let is_subscribed = move |(name, peer): &(&Name, &Peer)| {
            now.since(peer.heard_at) < SUBSCRIPTION_TIME && !self.group.others.contains(name)
        };
        self.peers.iter().filter(is_subscribed).map(|(name, _)| name)
    }

    /// Handles a report; `limit_of` returns the limit of a customer.
    pub fn on_report(
        &mut self,
        now: Time,
        from: &Name,
        report: &UsageReport,
        limit_of: impl Fn(&Name) -> Option<CustomerRateLimit>,
    ) {
        let share = self.share(now);
        let vms = self.group.expected.max(1) as f64;
        let peer = self.peers.entry(from.clone()).or_default();
        if peer.count_id != report.count_id {
            *peer = Peer { count_id: report.count_id, ..Peer::default() };
        } else if report.sequence < peer.sequence {
            return;
        }
        peer.sequence = report.sequence;
        for (customer, tokens) in peer.assumed.take().unwrap_or_default() {
            if let Some(bucket) = self.buckets.get_mut(&customer) {
                bucket.credit(tokens);
            }
        }
        // While it wasn't heard, its share was kept back.
        let kept_back = match peer.heard_at {
            Time::ZERO => Duration::ZERO,
            heard_at => now.since(heard_at).saturating_sub(SILENCE),
        };
        peer.heard_at = now;
        for count in &report.counts {
            let known = peer.admitted.insert(count.customer.clone(), count.admitted);
            // Without an earlier count, or with a higher one from before the other VM forgot the
            // customer, only the recent requests are known.
            let new = known
                .and_then(|known| count.admitted.checked_sub(known))
                .unwrap_or(u64::from(count.last_second));
            let Some(limit) = limit_of(&count.customer).filter(|_| new > 0) else { continue };
            let reserved = kept_back.as_secs_f64() * limit.requests_per_second / vms;
            let slack = self.settings.depth();
            let bucket = self
                .buckets
                .entry(count.customer.clone())
                .or_insert_with(|| Bucket::new(now, limit, slack));
            bucket.refill(now, share);
            bucket.debit((new as f64 - reserved).max(0.0));
        }
    }

    /// Takes the share of the tokens that members of the group may have used since they were last
    /// heard.
    fn take_for_silent_vms(&mut self, now: Time) {
        let vms = self.group.expected.max(1) as f64;
        for name in &self.group.others {
            let Some(peer) = self.peers.get_mut(name) else { continue };
            if peer.assumed.is_some() || now.since(peer.heard_at) < SILENCE {
                continue;
            }
            let assumed = peer.assumed.insert(FxHashMap::default());
            for (customer, bucket) in &mut self.buckets {
                let tokens = bucket.recent_tokens() / vms;
                bucket.debit(tokens);
                assumed.insert(customer.clone(), tokens);
            }
        }
    }

    fn bucket(&mut self, now: Time, customer: &Name, limit: CustomerRateLimit) -> &mut Bucket {
        let slack = self.settings.depth();
        let bucket =
            self.buckets.entry(customer.clone()).or_insert_with(|| Bucket::new(now, limit, slack));
        bucket.set_limit(limit, slack);
        bucket
    }

    /// Returns the fraction of each limit with which this VM refills its buckets: the shares of
    /// the members that are heard, and its own.
    fn share(&self, now: Time) -> f64 {
        let is_heard = |name: &&Name| {
            self.peers.get(*name).is_some_and(|peer| now.since(peer.heard_at) < SILENCE)
        };
        let heard = self.group.others.iter().filter(is_heard).count();
        let expected = self.group.expected.max(1) as f64;
        let members = heard + usize::from(self.group.is_member);
        if members == 0 {
            return OUTSIDER_FRACTION / expected;
        }
        let fraction = (members as f64 / expected).min(1.0);
        if fraction < 0.5 { fraction * MINORITY_FRACTION } else { fraction }
    }
}
