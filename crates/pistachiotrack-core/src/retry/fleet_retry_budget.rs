//! Retry limit that is shared by the dispatchers of a service.
//!
//! Each dispatcher reports to the others how much it has sent, so that each can compute how
//! many retries remain for all of them. Dividing the limit among them instead would leave most
//! of it unused, because failures come in bursts and not evenly at all VMs.

mod backlog;

use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use self::backlog::BacklogAllowance;
use super::send_window::{SendCounts, SlidingWindow};
use crate::{name::Name, service::RetryLimit, time::Time};

/// Fraction of the slack used by dispatchers that know the whole last window. The rest covers
/// what they don't know yet: two VMs taking the last retry at the same moment, datagrams in
/// transit, and dispatchers that have just started.
const SLACK_FRACTION: f64 = 0.75;
/// Fraction of the slack used by dispatchers that don't know the whole last window, as after a
/// restart of all VMs. Two restarts of all VMs in one window stay within the slack.
const UNKNOWN_WINDOW_SLACK_FRACTION: f64 = 0.1;
/// Fraction of the slack below which the remaining retries are divided among the VMs that need
/// some. Above it, a burst of failures at one VM may take any number: if retries were always
/// divided, they would come too late when endpoints fail in bursts.
const DIVIDE_BELOW_FRACTION: f64 = 0.6;
/// Time after its last retry during which another VM counts as needing more retries.
const RETRY_DEMAND_TIME: Duration = Duration::from_secs(2);
/// Time for which a VM's allowance is valid: over twice the delay of an update on a saturated
/// link, so that VMs that need retries at the same time don't take the same ones.
const ALLOWANCE_TIME: Duration = Duration::from_secs(1);
/// Number of updates that a dispatcher would usually have sent in the time after which it counts
/// as silent.
const MISSED_UPDATES: f64 = 6.0;
/// Updates that a dispatcher sends for each request: at its dispatch and at its answer.
const UPDATES_PER_REQUEST: f64 = 2.0;
/// Bounds of that time. Updates on a saturated link come within the first.
const SILENCE_RANGE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(2));
/// Number of windows for which a silent dispatcher may still be at work behind a partition.
const SILENCE_WINDOWS: u32 = 3;
/// Number of windows without an update after which a VM is removed.
const PEER_EXPIRY_WINDOWS: u32 = 10;

/// Total counts of what a VM has sent as a dispatcher.
///
/// Totals are sent instead of differences, so that the next datagram makes up for a lost one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CumulativeCounts {
    /// Random identifier of the count; it differs when the VM restarts its count.
    pub count_id: u32,
    /// Requests and retries sent.
    pub sent: SendCounts,
}

/// Counts reported by another VM.
#[derive(Clone, Debug)]
struct Peer {
    total: CumulativeCounts,
    last_update_at: Time,
    /// Time of the last update with a new retry.
    retried_at: Option<Time>,
    /// Its counts in the last window, if it has sent any: many VMs report none.
    window: Option<SlidingWindow>,
    /// Time without an update after which it counts as silent, if it sends requests.
    silent_after: Option<Duration>,
}

impl Peer {
    fn new(now: Time, total: CumulativeCounts) -> Peer {
        Peer { total, last_update_at: now, retried_at: None, window: None, silent_after: None }
    }

    fn record(&mut self, now: Time, limit: RetryLimit, added: SendCounts) {
        self.last_update_at = now;
        if added != SendCounts::default() {
            self.window
                .get_or_insert_with(|| SlidingWindow::new(now, window(limit)))
                .record(now, added);
        }
        if added.retries > 0 {
            self.retried_at = Some(now);
        }
        let requests = self.window.as_mut().map_or(0, |window| window.sum(now).requests);
        let updates = requests as f64 * UPDATES_PER_REQUEST;
        let missed = || window(limit).mul_f64(MISSED_UPDATES / updates);
        self.silent_after =
            (requests > 0).then(|| missed().clamp(SILENCE_RANGE.0, SILENCE_RANGE.1));
    }

    /// Returns whether no update has come for longer than usual.
    fn is_silent(&self, now: Time, limit: RetryLimit) -> bool {
        let silence = now.since(self.last_update_at);
        self.silent_after.is_some_and(|after| silence >= after)
            && silence < window(limit) * SILENCE_WINDOWS
    }
}

/// The dispatchers of a service that are visible to a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VisibleDispatchers {
    /// Number of dispatchers that this VM considers alive.
    pub count: u32,
    /// Whether this VM is one of them.
    pub is_member: bool,
}

/// Retry budget of one VM under a limit that all VMs share.
///
/// Failure guarded against: all VMs together send more retries than the endpoints can handle
/// (retry storm). It shows as load that grows while fewer requests are answered. The guard
/// holds because all dispatchers count each other's retries against one limit; a VM that is no
/// dispatcher, and whose retries the others don't count, earns each retry by its own requests;
/// a dispatcher that has fallen silent may be partitioned off and use what it has earned, so that
/// the others leave that to it; a VM that hears a minority of the dispatchers earns each retry by
/// its own requests from then on, since callers leave it for the others, where their requests earn
/// retries too; and while several VMs need retries, each takes only an allowance of the remaining
/// ones at a time, as the others may just have taken theirs.
#[derive(Clone, Debug)]
pub struct FleetRetryBudget {
    limit: RetryLimit,
    /// Expected number of dispatchers.
    expected: u32,
    visible: VisibleDispatchers,
    /// Most dispatchers that were visible at once, until that is too long ago.
    most_visible: u32,
    most_visible_until: Time,
    /// Requests that this VM had sent when it found itself in a minority of the dispatchers.
    requests_before_minority: Option<u64>,
    /// End of the first window in which this VM is a dispatcher, if it became one after the budget
    /// was created.
    joining_until: Option<Time>,
    /// Counts of this VM as a dispatcher.
    total: CumulativeCounts,
    peers: FxHashMap<Name, Peer>,
    /// Counts of this VM in the last window while it was no dispatcher.
    non_dispatcher_window: SlidingWindow,
    /// Counts of this VM in the last window as a dispatcher.
    own_window: SlidingWindow,
    /// Known counts of all dispatchers in the last window.
    fleet_window: SlidingWindow,
    /// Time from which on `fleet_window` covers a whole window.
    window_known_at: Time,
    created_at: Time,
    allowance: Allowance,
    backlog: BacklogAllowance,
    /// Whether the remaining retries are divided while several VMs need some.
    divides_remaining: bool,
}

/// Retries in a window.
#[derive(Clone, Copy, Debug)]
struct Usage {
    allowed: f64,
    spent: f64,
}

impl Usage {
    fn remaining(self) -> f64 {
        self.allowed - self.spent
    }
}

/// Part of the remaining retries that a VM may take within a short time.
#[derive(Clone, Copy, Debug, Default)]
struct Allowance {
    remaining: f64,
    valid_until: Time,
}

impl FleetRetryBudget {
    /// Creates a budget without any counts.
    ///
    /// `count_id` is a random number.
    pub fn new(now: Time, limit: RetryLimit, expected: u32, count_id: u32) -> FleetRetryBudget {
        FleetRetryBudget {
            limit,
            expected,
            visible: VisibleDispatchers::default(),
            most_visible: 0,
            most_visible_until: now,
            requests_before_minority: None,
            joining_until: None,
            total: CumulativeCounts { count_id, sent: SendCounts::default() },
            peers: FxHashMap::default(),
            non_dispatcher_window: SlidingWindow::new(now, window(limit)),
            own_window: SlidingWindow::new(now, window(limit)),
            fleet_window: SlidingWindow::new(now, window(limit)),
            window_known_at: now + window(limit),
            created_at: now,
            allowance: Allowance::default(),
            backlog: BacklogAllowance::default(),
            divides_remaining: true,
        }
    }

    /// Returns the expected number of dispatchers.
    pub fn expected(&self) -> u32 {
        self.expected
    }

    /// Sets whether the remaining retries are divided among VMs that need some.
    pub fn set_divides_remaining(&mut self, divides_remaining: bool) {
        self.divides_remaining = divides_remaining;
    }

    /// Sets the limit and the expected number of dispatchers.
    pub fn configure(&mut self, now: Time, limit: RetryLimit, expected: u32) {
        if window(limit) != window(self.limit) {
            self.non_dispatcher_window = SlidingWindow::new(now, window(limit));
            self.own_window = SlidingWindow::new(now, window(limit));
            self.fleet_window = SlidingWindow::new(now, window(limit));
            self.window_known_at = now + window(limit);
            for peer in self.peers.values_mut() {
                peer.window = None;
            }
        }
        self.limit = limit;
        self.expected = expected;
    }

    /// Sets the visible dispatchers; returns whether this VM has just become a dispatcher and
    /// must request a snapshot from another one.
    pub fn set_visible_dispatchers(&mut self, now: Time, visible: VisibleDispatchers) -> bool {
        let becomes_dispatcher = visible.is_member && !self.visible.is_member;
        if becomes_dispatcher {
            self.window_known_at = now + window(self.limit);
            self.joining_until = (now > self.created_at).then_some(self.window_known_at);
        }
        self.visible = visible;
        if visible.count >= self.most_visible || now >= self.most_visible_until {
            self.most_visible = visible.count;
            self.most_visible_until = now + window(self.limit) * SILENCE_WINDOWS;
        }
        becomes_dispatcher
    }

    /// Records the first sending of a request.
    pub fn on_request(&mut self, now: Time) {
        self.record(now, SendCounts { requests: 1, retries: 0 });
    }

    /// Records a retry that is sent regardless of the limit.
    pub fn record_retry(&mut self, now: Time) {
        self.record(now, SendCounts { requests: 0, retries: 1 });
    }

    /// Takes one retry from the budget and returns whether there was one.
    pub fn take(&mut self, now: Time) -> bool {
        let remaining = self.remaining(now);
        let is_available = remaining >= 1.0 && self.take_from_allowance(now, remaining);
        if is_available {
            self.record_retry(now);
        }
        is_available
    }

    /// Takes one retry from this VM's allowance if few retries remain and others need some too.
    fn take_from_allowance(&mut self, now: Time, remaining: f64) -> bool {
        let needs_retries = |peer: &&Peer| {
            peer.retried_at.is_some_and(|retried_at| now.since(retried_at) < RETRY_DEMAND_TIME)
        };
        let others = self.peers.values().filter(needs_retries).count();
        let is_ample = !self.divides_remaining
            || remaining >= f64::from(self.limit.slack) * DIVIDE_BELOW_FRACTION;
        if is_ample || others == 0 || !self.visible.is_member {
            return true;
        }
        if now >= self.allowance.valid_until {
            // An allowance below one retry is carried over, otherwise no VM could take any.
            let carried_over = self.allowance.remaining.min(1.0);
            let portion = remaining / (others + 1) as f64;
            self.allowance =
                Allowance { remaining: carried_over + portion, valid_until: now + ALLOWANCE_TIME };
        }
        let is_available = self.allowance.remaining >= 1.0;
        if is_available {
            self.allowance.remaining -= 1.0;
        }
        is_available
    }

    /// Takes a retry for a hedge, which only saves time, and returns whether there was one: half
    /// of the allowed retries are reserved for retries of failed requests.
    pub fn take_for_hedge(&mut self, now: Time) -> bool {
        self.has_spare_retries(now) && self.take(now)
    }

    /// Returns whether less than half of the allowed retries are used.
    pub fn has_spare_retries(&mut self, now: Time) -> bool {
        let usage = self.usage(now);
        usage.spent + 1.0 <= usage.allowed / 2.0
    }

    /// Returns the counts to report to the other VMs.
    pub fn total(&self) -> CumulativeCounts {
        self.total
    }

    /// Records the counts reported by another VM.
    ///
    /// Counts from before a VM's first report are part of the snapshot that a new dispatcher
    /// requests.
    pub fn on_peer_counts(&mut self, now: Time, from: &Name, total: CumulativeCounts) {
        let known = self.peers.get(from).map(|peer| peer.total);
        let (added, total) = match known {
            None => (SendCounts::default(), total),
            Some(known) if known.count_id != total.count_id => (total.sent, total),
            // A reordered datagram has smaller totals and adds nothing.
            Some(known) => {
                let sent = total.sent.max(known.sent);
                (sent.minus(known.sent), CumulativeCounts { sent, ..total })
            }
        };
        self.fleet_window.record(now, added);
        let limit = self.limit;
        let peer = match self.peers.get_mut(from) {
            Some(known) => known,
            None => self.add_peer(now, from.clone(), Peer::new(now, total)),
        };
        peer.total = total;
        peer.record(now, limit, added);
    }

    /// Returns the counts of the last window, newest step first: the requests of the dispatchers
    /// that this VM hears, and the retries of all; empty if it doesn't know the whole window.
    pub fn history(&mut self, now: Time) -> Vec<SendCounts> {
        if !self.is_window_known(now) {
            return Vec::new();
        }
        self.fleet_window.advance(now);
        let mut history: Vec<SendCounts> = self.fleet_window.steps.iter().copied().collect();
        for peer in self.peers.values_mut().filter(|peer| peer.is_silent(now, self.limit)) {
            let Some(window) = &mut peer.window else { continue };
            window.advance(now);
            for (step, silent) in history.iter_mut().zip(&window.steps) {
                step.requests = step.requests.saturating_sub(silent.requests);
            }
        }
        history
    }

    /// Merges another VM's counts of the last window.
    pub fn on_history(&mut self, now: Time, history: &[SendCounts]) {
        if history.is_empty() || !self.visible.is_member {
            return;
        }
        self.fleet_window.merge(now, history);
        self.window_known_at = self.window_known_at.min(now);
    }

    /// Adds a VM and removes those without recent updates, since replaced VMs get new names.
    fn add_peer(&mut self, now: Time, name: Name, peer: Peer) -> &mut Peer {
        let expiry = window(self.limit) * PEER_EXPIRY_WINDOWS;
        self.peers.retain(|_, known| now.since(known.last_update_at) < expiry);
        self.peers.entry(name).or_insert(peer)
    }

    fn record(&mut self, now: Time, sent: SendCounts) {
        if !self.visible.is_member {
            return self.non_dispatcher_window.record(now, sent);
        }
        self.fleet_window.record(now, sent);
        self.own_window.record(now, sent);
        self.total.sent = self.total.sent.plus(sent);
    }

    fn is_window_known(&self, now: Time) -> bool {
        self.visible.is_member && now >= self.window_known_at
    }

    /// Returns the number of retries that remain to this VM.
    fn remaining(&mut self, now: Time) -> f64 {
        let all = self.usage(now);
        if !self.visible.is_member {
            return all.remaining();
        }
        let (heard, heard_count) = self.usage_of_heard(now);
        let remaining = all.remaining().min(heard.remaining());
        if self.is_majority(heard_count) {
            self.requests_before_minority = None;
            return remaining;
        }
        let before = *self.requests_before_minority.get_or_insert(self.total.sent.requests);
        let sent = self.own_window.sum(now);
        let requests = sent.requests.min(self.total.sent.requests - before);
        let earned = self.earned(SendCounts { requests, ..sent });
        remaining.min(earned - sent.retries as f64)
    }

    /// Returns the usage by all VMs in the last window, as far as this one knows it.
    fn usage(&mut self, now: Time) -> Usage {
        if !self.visible.is_member {
            let sent = self.non_dispatcher_window.sum(now);
            return Usage { allowed: self.earned(sent), spent: sent.retries as f64 };
        }
        let sent = self.fleet_window.sum(now);
        let allowed = self.earned(sent) + self.slack(now, self.visible.count);
        Usage { allowed, spent: sent.retries as f64 }
    }

    /// Returns the usage by this VM and the dispatchers that it hears, and their number.
    fn usage_of_heard(&mut self, now: Time) -> (Usage, u32) {
        let mut sent = self.fleet_window.sum(now);
        let mut count = self.most_visible;
        for peer in self.peers.values_mut().filter(|peer| peer.is_silent(now, self.limit)) {
            count = count.saturating_sub(1);
            if let Some(window) = &mut peer.window {
                sent = sent.minus(window.sum(now));
            }
        }
        let count = count.min(self.visible.count);
        let allowed = self.earned(sent) + self.slack(now, count);
        (Usage { allowed, spent: sent.retries as f64 }, count)
    }

    /// Returns whether `count` dispatchers are most of those that were visible recently.
    fn is_majority(&self, count: u32) -> bool {
        count * 2 > self.most_visible
    }

    /// Returns the part of the slack that `count` dispatchers may use that see each other.
    ///
    /// Only a majority may use any, since the side of a partition that replaces the dispatchers
    /// of the other side uses all of it.
    fn slack(&self, now: Time, count: u32) -> f64 {
        // VMs may replace each other one after the other, or those behind a partition, and each
        // would add its own slack.
        let is_joining = self.joining_until.is_some_and(|until| now < until);
        let fraction = match (is_joining, self.is_window_known(now)) {
            (true, _) => 0.0,
            (false, true) => SLACK_FRACTION,
            (false, false) => UNKNOWN_WINDOW_SLACK_FRACTION,
        };
        if !self.is_majority(count) {
            return 0.0;
        }
        let present = f64::from(count) / f64::from(self.expected.max(1));
        f64::from(self.limit.slack) * fraction * present.min(1.0)
    }

    fn earned(&self, sent: SendCounts) -> f64 {
        self.limit.ratio * sent.requests as f64
    }
}

fn window(limit: RetryLimit) -> Duration {
    Duration::from_millis(limit.window_ms.max(1))
}
