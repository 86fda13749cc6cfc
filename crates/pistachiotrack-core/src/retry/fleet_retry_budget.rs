//! A limit of retries that the dispatchers of a service keep together.
//!
//! Each dispatcher tells the others how much it has sent, so that each knows what
//! all of them have left. Dividing the limit instead leaves most of it unused:
//! failures come in bursts, at one VM more than at another.

use std::{collections::VecDeque, time::Duration};

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::{name::Name, service::RetryLimit, time::Time};

/// Steps into which a window is divided; one more is kept, so that a whole window
/// is covered at any moment.
const STEPS: usize = 20;
/// Part of the slack that dispatchers use that know the last window. The rest is
/// for what they don't know yet: two that take the last retry at the same moment,
/// datagrams on their way, and those that have just begun.
const INFORMED_PART: f64 = 0.75;
/// The same for dispatchers that don't know it, as when all VMs have just restarted.
/// Two restarts of all VMs in one window stay within the slack.
const UNINFORMED_PART: f64 = 0.1;
/// Part of the slack below which what is left is shared out. A burst of failures may
/// take what is above: shared out always, retries come too late where endpoints fail in
/// bursts.
const SHARED_OUT_PART: f64 = 0.6;
/// Time since its last retry for which another VM counts as one that needs more.
const IN_NEED_TIME: Duration = Duration::from_secs(2);
/// Time for which a VM's share of what is left lasts: over twice as long as news are on
/// their way where a link is full, so that VMs which all need retries don't take the same
/// ones.
const SHARE_TIME: Duration = Duration::from_secs(1);
/// Windows without a word after which a VM is forgotten.
const FORGOTTEN_AFTER_WINDOWS: u32 = 10;

/// Requests and retries that were sent to endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendCounts {
    /// Requests, each counted when it is sent for the first time.
    pub requests: u64,
    /// Times that a request was sent once more.
    pub retries: u64,
}

impl SendCounts {
    fn plus(self, other: SendCounts) -> SendCounts {
        SendCounts {
            requests: self.requests.saturating_add(other.requests),
            retries: self.retries.saturating_add(other.retries),
        }
    }

    fn minus(self, other: SendCounts) -> SendCounts {
        SendCounts {
            requests: self.requests.saturating_sub(other.requests),
            retries: self.retries.saturating_sub(other.retries),
        }
    }

    fn max(self, other: SendCounts) -> SendCounts {
        SendCounts {
            requests: self.requests.max(other.requests),
            retries: self.retries.max(other.retries),
        }
    }
}

/// All that a VM has sent as a dispatcher.
///
/// Totals instead of differences: a datagram that is lost is made up by the next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CumulativeCounts {
    /// Number that tells this count from one that the VM began anew.
    pub count_id: u32,
    /// What was sent.
    pub sent: SendCounts,
}

/// What is known of another VM.
#[derive(Clone, Copy, Debug)]
struct Peer {
    total: CumulativeCounts,
    heard_at: Time,
    /// Moment of the last word of a retry.
    retried_at: Option<Time>,
}

/// Which of a service's dispatchers a VM sees.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VisibleDispatchers {
    /// Dispatchers that this VM believes alive.
    pub count: u32,
    /// Whether this VM is one of them.
    pub is_member: bool,
}

/// The part of a limit of retries that one VM may use now.
///
/// Failure guarded against: all VMs together send more retries than the endpoints
/// can bear. It shows as load that grows while answers become fewer. The guard
/// holds because each retry of a dispatcher is counted by all of them against one
/// limit; a VM that is no dispatcher, which others don't hear of, earns each retry
/// by its own requests; one that is cut off sees fewer dispatchers than there should be
/// and takes the less of the slack; and while several need retries, each takes its share
/// of what is left at a time, as the others may just have taken theirs.
#[derive(Clone, Debug)]
pub struct FleetRetryBudget {
    limit: RetryLimit,
    /// Dispatchers that there should be.
    expected: u32,
    in_view: VisibleDispatchers,
    /// Whether this VM became a dispatcher later than it began to count.
    is_late: bool,
    /// What this VM has sent as a dispatcher.
    total: CumulativeCounts,
    peers: FxHashMap<Name, Peer>,
    /// What this VM has sent in the window while it was no dispatcher.
    apart: SentWindow,
    /// What all dispatchers are known to have sent in the window.
    all: SentWindow,
    /// Moment from which on `all` covers a whole window.
    informed_at: Time,
    began_at: Time,
    share: Share,
    /// Whether what is left is shared out while several need some.
    divides_remaining: bool,
}

/// What a VM may take of the retries that are left, for a short time.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    left: f64,
    until: Time,
}

impl FleetRetryBudget {
    /// Creates a budget that knows of nothing sent so far.
    ///
    /// `count_id` is a random number.
    pub fn new(now: Time, limit: RetryLimit, expected: u32, count_id: u32) -> FleetRetryBudget {
        FleetRetryBudget {
            limit,
            expected,
            in_view: VisibleDispatchers::default(),
            is_late: false,
            total: CumulativeCounts { count_id, sent: SendCounts::default() },
            peers: FxHashMap::default(),
            apart: SentWindow::new(now, limit),
            all: SentWindow::new(now, limit),
            informed_at: now + window(limit),
            began_at: now,
            share: Share::default(),
            divides_remaining: true,
        }
    }

    /// Returns the number of dispatchers that there should be.
    pub fn expected(&self) -> u32 {
        self.expected
    }

    /// Sets whether retries that are left are shared out.
    pub fn set_divides_remaining(&mut self, divides_remaining: bool) {
        self.divides_remaining = divides_remaining;
    }

    /// Takes a limit and the number of dispatchers that there should be.
    pub fn configure(&mut self, now: Time, limit: RetryLimit, expected: u32) {
        if window(limit) != window(self.limit) {
            self.apart = SentWindow::new(now, limit);
            self.all = SentWindow::new(now, limit);
            self.informed_at = now + window(limit);
        }
        self.limit = limit;
        self.expected = expected;
    }

    /// Takes which dispatchers this VM sees; returns whether it has just become one
    /// and has to ask the others for a picture.
    pub fn set_visible_dispatchers(&mut self, now: Time, in_view: VisibleDispatchers) -> bool {
        let begins = in_view.is_member && !self.in_view.is_member;
        if begins {
            self.informed_at = now + window(self.limit);
            self.is_late = now > self.began_at;
        }
        self.in_view = in_view;
        begins
    }

    /// Notes a request that is sent for the first time.
    pub fn on_request(&mut self, now: Time) {
        self.note(now, SendCounts { requests: 1, retries: 0 });
    }

    /// Notes a retry that is sent whatever the limit.
    pub fn record_retry(&mut self, now: Time) {
        self.note(now, SendCounts { requests: 0, retries: 1 });
    }

    /// Takes one retry from the budget and returns whether there was one.
    pub fn take(&mut self, now: Time) -> bool {
        let (allowed, spent) = self.state(now);
        let is_left = spent + 1.0 <= allowed && self.take_share(now, allowed - spent);
        if is_left {
            self.record_retry(now);
        }
        is_left
    }

    /// Takes one retry from this VM's share of what is left, if others need some too.
    fn take_share(&mut self, now: Time, left: f64) -> bool {
        let is_in_need = |peer: &&Peer| {
            peer.retried_at.is_some_and(|retried_at| now.since(retried_at) < IN_NEED_TIME)
        };
        let others = self.peers.values().filter(is_in_need).count();
        let is_plenty =
            !self.divides_remaining || left >= f64::from(self.limit.slack) * SHARED_OUT_PART;
        if is_plenty || others == 0 || !self.in_view.is_member {
            return true;
        }
        if now >= self.share.until {
            // A share below one retry is added to the next, or nobody would take any.
            let kept = self.share.left.min(1.0);
            let part = left / (others + 1) as f64;
            self.share = Share { left: kept + part, until: now + SHARE_TIME };
        }
        let is_left = self.share.left >= 1.0;
        if is_left {
            self.share.left -= 1.0;
        }
        is_left
    }

    /// Takes a retry that only saves time and returns whether there was one to
    /// spare: half of what is allowed is left to retries that save a request.
    pub fn take_for_hedge(&mut self, now: Time) -> bool {
        let (allowed, spent) = self.state(now);
        spent + 1.0 <= allowed / 2.0 && self.take(now)
    }

    /// Returns what this VM has to tell the others.
    pub fn total(&self) -> CumulativeCounts {
        self.total
    }

    /// Takes what another VM tells.
    ///
    /// What a VM had sent before this one first hears of it is in the picture that
    /// a dispatcher asks for when it begins.
    pub fn on_peer_counts(&mut self, now: Time, from: &Name, total: CumulativeCounts) {
        let known = self.peers.get(from).map(|peer| peer.total);
        let (news, total) = match known {
            None => (SendCounts::default(), total),
            Some(known) if known.count_id != total.count_id => (total.sent, total),
            // A datagram that was overtaken brings smaller totals and nothing new.
            Some(known) => {
                let sent = total.sent.max(known.sent);
                (sent.minus(known.sent), CumulativeCounts { sent, ..total })
            }
        };
        self.all.note(now, news);
        let retried_before = self.peers.get(from).and_then(|peer| peer.retried_at);
        let retried_at = if news.retries > 0 { Some(now) } else { retried_before };
        let peer = Peer { total, heard_at: now, retried_at };
        match self.peers.get_mut(from) {
            Some(known) => *known = peer,
            None => self.add_peer(now, from.clone(), peer),
        }
    }

    /// Returns what all dispatchers have sent in the last window, newest step
    /// first; nothing if this VM doesn't know.
    pub fn history(&mut self, now: Time) -> Vec<SendCounts> {
        if !self.is_informed(now) {
            return Vec::new();
        }
        self.all.advance(now);
        self.all.steps.iter().copied().collect()
    }

    /// Takes what another VM knows of the last window.
    pub fn on_history(&mut self, now: Time, history: &[SendCounts]) {
        if history.is_empty() || !self.in_view.is_member {
            return;
        }
        self.all.merge(now, history);
        self.informed_at = self.informed_at.min(now);
    }

    /// Adds a VM, and forgets those that have been silent for long: names change with
    /// every VM that is replaced.
    fn add_peer(&mut self, now: Time, name: Name, peer: Peer) {
        let forgotten_after = window(self.limit) * FORGOTTEN_AFTER_WINDOWS;
        self.peers.retain(|_, known| now.since(known.heard_at) < forgotten_after);
        self.peers.insert(name, peer);
    }

    fn note(&mut self, now: Time, sent: SendCounts) {
        if !self.in_view.is_member {
            return self.apart.note(now, sent);
        }
        self.all.note(now, sent);
        self.total.sent = self.total.sent.plus(sent);
    }

    fn is_informed(&self, now: Time) -> bool {
        self.in_view.is_member && now >= self.informed_at
    }

    /// Returns how many retries are allowed in a window and how many were sent.
    fn state(&mut self, now: Time) -> (f64, f64) {
        if !self.in_view.is_member {
            let sent = self.apart.sum(now);
            return (self.earned(sent), sent.retries as f64);
        }
        // One VM after the other may take another's place; each would add its part.
        let part = match (self.is_informed(now), self.is_late) {
            (true, _) => INFORMED_PART,
            (false, false) => UNINFORMED_PART,
            (false, true) => 0.0,
        };
        let in_view = f64::from(self.in_view.count) / f64::from(self.expected.max(1));
        let slack = f64::from(self.limit.slack) * part * in_view.min(1.0);
        let sent = self.all.sum(now);
        (self.earned(sent) + slack, sent.retries as f64)
    }

    fn earned(&self, sent: SendCounts) -> f64 {
        self.limit.ratio * sent.requests as f64
    }
}

/// What was sent in the last window.
#[derive(Clone, Debug)]
struct SentWindow {
    step: Duration,
    /// Newest first.
    steps: VecDeque<SendCounts>,
    newest_began_at: Time,
}

impl SentWindow {
    fn new(now: Time, limit: RetryLimit) -> SentWindow {
        SentWindow {
            step: window(limit) / STEPS as u32,
            steps: VecDeque::from(vec![SendCounts::default(); STEPS + 1]),
            newest_began_at: now,
        }
    }

    fn note(&mut self, now: Time, sent: SendCounts) {
        self.advance(now);
        if let Some(newest) = self.steps.front_mut() {
            *newest = newest.plus(sent);
        }
    }

    /// Returns the retries of a whole window or a little more, and the requests of a
    /// whole window or a little less.
    fn sum(&mut self, now: Time) -> SendCounts {
        self.advance(now);
        let sum = self.steps.iter().copied().fold(SendCounts::default(), SendCounts::plus);
        let oldest = self.steps.back().map_or(0, |step| step.requests);
        SendCounts { requests: sum.requests.saturating_sub(oldest), ..sum }
    }

    /// Takes what another VM has counted; a step may be off by one there.
    fn merge(&mut self, now: Time, others: &[SendCounts]) {
        self.advance(now);
        for (step, other) in self.steps.iter_mut().zip(others) {
            *step = step.max(*other);
        }
    }

    fn advance(&mut self, now: Time) {
        let mut passed = 0;
        while now.since(self.newest_began_at) >= self.step && passed <= STEPS {
            self.steps.pop_back();
            self.steps.push_front(SendCounts::default());
            self.newest_began_at += self.step;
            passed += 1;
        }
        if passed > STEPS {
            self.newest_began_at = now;
        }
    }
}

fn window(limit: RetryLimit) -> Duration {
    Duration::from_millis(limit.window_ms.max(1))
}
