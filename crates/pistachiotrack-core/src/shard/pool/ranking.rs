//! Ranking of endpoints by the estimated probability that a request fails.

use std::time::Duration;

use rand::Rng;

use super::{Pick, PickCriteria, Pool, PoolEntry};
use crate::{health::HealthState, shard::SelectionReason, time::Time};

/// Sort key: whether the endpoint was already tried, rank of its risk, whether it is at the limit
/// of its best throughput, expected time in steps, load, and a random tie-break. The least is
/// selected.
type RiskOrder = (bool, u64, bool, i32, u32, u32);

/// Minimum share of the endpoints that get a request in any two seconds, failing ones included.
/// Users require seven in ten, and VMs see each other's requests with a small delay.
const MIN_COVERED_PERCENT: usize = 72;
/// Time without a request after which an endpoint is overdue, for requests that may run again and
/// for others. It is shorter for the first, so that a request that must not run twice is seldom
/// the one that tries an overdue endpoint.
const OVERDUE_AFTER: (Duration, Duration) =
    (Duration::from_millis(1_400), Duration::from_millis(1_750));
/// Time for which an endpoint whose last request failed is overdue later than others, for the same
/// two kinds of requests. Users count it as sound again two seconds after the failure.
const FAILED_DELAY: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(3));
/// How much later an endpoint is overdue for a VM whose last attempt didn't reach it, so that VMs with
/// a path to it come first.
const UNREACHED_DELAY: Duration = Duration::from_millis(600);
/// Time for which such a VM leaves the endpoint to the others in any case. It is shorter than the six
/// seconds after which users count an endpoint as sound that nobody has reached.
const UNREACHED_TIME: Duration = Duration::from_secs(5);
/// Highest rank of overdue endpoints, which come before all others.
const MAX_OVERDUE_RANK: u64 = 1_000;
/// Risk from which on requests that may run again explore an endpoint.
const EXPLORE_MIN_RISK: f64 = 0.08;
/// Width of the steps in which risks count as equal; within one step, load decides.
const RISK_STEP: f64 = 0.03;

/// Penalty, in risk steps, of endpoints in another data centre: for requests that must not run
/// twice, and for those that may. Traffic between data centres is paid for by the kilobyte, which
/// is worth about one step for a booking and three for a lookup, which is answered elsewhere if
/// it fails.
const REMOTE_PENALTY_STEPS: (u64, u64) = (1, 3);

impl Pool {
    /// Selects the endpoint with the lowest risk.
    ///
    /// This is meant for a load in which a third of the slots is busy and endpoints have episodes
    /// of some seconds in which three of four requests fail. Sending requests to endpoints that
    /// have answered recently meets fewer episodes than spreading them, since each episode is
    /// detected by a failure. Requests that may run again explore the other endpoints.
    pub(super) fn pick_by_risk(&mut self, criteria: PickCriteria<'_>) -> Option<Pick> {
        let context = SelectionContext {
            is_exploring: criteria.explores,
            coverage: self.feature_flags.coverage.then(|| self.coverage(&criteria)),
        };
        let mut best: Option<(RiskOrder, &PoolEntry)> = None;
        for entry in self.endpoints.values() {
            let is_free = entry.is_free(criteria.now, self.rate_share);
            if !is_free || !is_eligible(entry, &criteria, &context) {
                continue;
            }
            let is_tried = criteria.tried.contains(&entry.endpoint.name);
            let rank = self.rank(entry, &criteria, &context);
            let (busy, slots) = (entry.busy(), entry.endpoint.slots);
            let is_at_limit = entry.speed.is_at_limit(busy);
            let time = entry.speed.steps(busy, slots);
            let load = entry.speed.load_permille(busy, slots);
            let key = (is_tried, rank, is_at_limit, time, load, self.rng.next_u32());
            if best.as_ref().is_none_or(|(best_key, _)| key < *best_key) {
                best = Some((key, entry));
            }
        }
        let (_, entry) = best?;
        Some(Pick::of(entry, reason(entry, &criteria, &context)))
    }

    /// Returns the rank of an endpoint; the least comes first: newly added endpoints, then
    /// overdue ones, then all others by risk. A request that explores takes the endpoint with an
    /// elevated risk that was observed longest ago.
    fn rank(
        &self,
        entry: &PoolEntry,
        criteria: &PickCriteria<'_>,
        context: &SelectionContext,
    ) -> u64 {
        let risk_rank = self.risk_rank(entry, criteria.idempotent);
        if is_new_and_idle(entry, criteria) {
            return 0;
        }
        if is_overdue(entry, criteria, context) {
            return 1 + risk_rank;
        }
        let is_trial = u64::from(entry.health_state == HealthState::Trial);
        match (context.is_exploring, entry.risk >= EXPLORE_MIN_RISK) {
            (true, true) => MAX_OVERDUE_RANK + entry.last_observed_at.map_or(0, Time::as_millis),
            (true, false) => u64::MAX - 1 + is_trial,
            (false, _) => MAX_OVERDUE_RANK + risk_rank + is_trial,
        }
    }

    /// Returns which endpoints are overdue.
    ///
    /// If requests stayed on the endpoints that have answered recently, no VM would have
    /// observations of the others when these endpoints, or the VMs that used them, fail. When all
    /// VMs go down, endpoints with requests in flight fail them, and the healthy ones are those
    /// that were idle, however many had requests. Therefore each endpoint that may be healthy gets
    /// a request in any two seconds, and most of the others, those with the lowest risk first.
    /// While the failure rate is high, all of them do, since then the endpoints in use can't be
    /// the right ones.
    fn coverage(&self, criteria: &PickCriteria<'_>) -> Coverage {
        let (after, delay) = match criteria.idempotent {
            true => (OVERDUE_AFTER.0, FAILED_DELAY.0),
            false => (OVERDUE_AFTER.1, FAILED_DELAY.1),
        };
        let unused_since = criteria.now.before(after);
        let usable = self.endpoints.values().filter(|entry| entry.accepts_requests());
        let (mut all, mut covered) = (0, 0);
        for entry in usable {
            all += 1;
            covered += usize::from(entry.last_used_at() >= unused_since);
        }
        let wanted_percent = if criteria.is_failure_rate_high { 100 } else { MIN_COVERED_PERCENT };
        let includes_unsound = covered * 100 < all * wanted_percent;
        Coverage {
            unused_since,
            unreached_since: criteria.now.before(UNREACHED_TIME),
            failed_before: unused_since.before(delay),
            includes_unsound,
        }
    }

    fn risk_rank(&self, entry: &PoolEntry, idempotent: bool) -> u64 {
        let is_remote = self.feature_flags.local_endpoints_first
            && self
                .local_data_centre
                .as_ref()
                .is_some_and(|local_data_centre| *local_data_centre != entry.endpoint.data_centre);
        let penalty = if idempotent { REMOTE_PENALTY_STEPS.1 } else { REMOTE_PENALTY_STEPS.0 };
        let distance = if is_remote { penalty } else { 0 };
        2 * ((entry.risk / RISK_STEP) as u64 + distance)
    }
}

/// Parameters that are the same for all endpoints during one selection.
struct SelectionContext {
    /// Whether the request explores endpoints with an elevated risk.
    is_exploring: bool,
    /// Which endpoints are overdue; `None` without coverage.
    coverage: Option<Coverage>,
}

/// Which endpoints are overdue.
#[derive(Clone, Copy, Debug)]
struct Coverage {
    /// Endpoints without a request since then are overdue.
    unused_since: Time,
    /// Those that this VM hasn't reached since then are left to the others.
    unreached_since: Time,
    /// Those whose last request failed must have failed before then.
    failed_before: Time,
    /// Whether this includes those that failed later, and degraded ones.
    includes_unsound: bool,
}

impl Coverage {
    /// Returns since when an endpoint must have had no request to be overdue for this VM, unless it
    /// is left to the others.
    fn overdue_unless_used_since(self, entry: &PoolEntry) -> Option<Time> {
        match entry.usage.unreached_at {
            None => Some(self.unused_since),
            Some(at) if at < self.unreached_since => {
                Some(self.unused_since.before(UNREACHED_DELAY))
            }
            Some(_) => None,
        }
    }

    fn is_overdue(self, entry: &PoolEntry) -> bool {
        let has_failed_lately =
            entry.has_failed_last && entry.last_observed_at >= Some(self.failed_before);
        let may_be_sound = || !has_failed_lately && !entry.speed.is_degraded();
        let Some(unused_since) = self.overdue_unless_used_since(entry) else { return false };
        entry.last_used_at() < unused_since
            && entry.usage.sent_at < unused_since
            && (self.includes_unsound || may_be_sound())
    }
}

fn reason(
    entry: &PoolEntry,
    criteria: &PickCriteria<'_>,
    context: &SelectionContext,
) -> SelectionReason {
    if is_new_and_idle(entry, criteria) {
        SelectionReason::Untried
    } else if is_overdue(entry, criteria, context) {
        SelectionReason::Overdue
    } else if context.is_exploring && entry.risk >= EXPLORE_MIN_RISK {
        SelectionReason::Explored
    } else {
        SelectionReason::Best
    }
}

fn is_eligible(entry: &PoolEntry, criteria: &PickCriteria<'_>, context: &SelectionContext) -> bool {
    let is_tried = criteria.tried.contains(&entry.endpoint.name);
    let is_trial = entry.health_state == HealthState::Trial;
    let may_try = criteria.allow_trial && (criteria.idempotent || criteria.allow_trial_by_any);
    let is_barred_trial = is_trial && (is_tried || !may_try);
    let is_new_or_overdue =
        is_new_and_idle(entry, criteria) || is_overdue(entry, criteria, context);
    let is_risky = entry.risk > criteria.max_risk && !is_new_or_overdue && !context.is_exploring;
    (!is_tried || criteria.allow_already_tried) && !is_barred_trial && !is_risky
}

/// Returns whether an endpoint was added recently and no VM has tried it yet.
fn is_new_and_idle(entry: &PoolEntry, criteria: &PickCriteria<'_>) -> bool {
    let is_idle = entry.busy() == 0;
    entry.is_untried && is_idle && !criteria.tried.contains(&entry.endpoint.name)
}

/// Returns whether an endpoint is due to get a request.
fn is_overdue(entry: &PoolEntry, criteria: &PickCriteria<'_>, context: &SelectionContext) -> bool {
    context.coverage.is_some_and(|coverage| coverage.is_overdue(entry))
        && !criteria.tried.contains(&entry.endpoint.name)
}
