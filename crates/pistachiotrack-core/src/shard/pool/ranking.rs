//! Which endpoint comes first where endpoints are ranked by how likely they fail.

use std::time::Duration;

use rand::Rng;

use super::{EXPLORE_ONE_IN, Pick, PickCriteria, Pool, PoolEntry};
use crate::{health::Standing, shard::SelectionReason, time::Time};

/// Whether it was tried, rank of its risk, load and a random tie-break; the least
/// is chosen.
type RiskOrder = (bool, u64, u32, u32);

/// Part of the endpoints that get a request in any two seconds; users ask for seven
/// in ten, and VMs see each other's requests a little late.
const MIN_COVERED_PERCENT: usize = 72;
/// Time without a request after which an endpoint is overdue: sooner for a request
/// that may run again, so that one that must not run twice seldom tries it.
const OVERDUE_AFTER: (Duration, Duration) =
    (Duration::from_millis(1_400), Duration::from_millis(1_750));
/// Ranks that overdue endpoints take up, above all others.
const MAX_OVERDUE_RANK: u64 = 1_000;
/// Risk from which an endpoint is worth a look by a request that may run again.
const EXPLORE_MIN_RISK: f64 = 0.08;
/// Step of risks that count as alike: within one, load decides.
const RISK_STEP: f64 = 0.03;

/// Steps of risk that a request is put to rather than leave the data centre. What
/// crosses between data centres is paid for by the kilobyte: about a step's worth
/// for a booking, three for a lookup, which is answered elsewhere if it fails.
const REMOTE_PENALTY_STEPS: (u64, u64) = (1, 3);

impl Pool {
    /// Chooses the endpoint that is least likely to fail.
    ///
    /// Load: a third of the slots busy, endpoints in spells of some seconds in
    /// which three of four requests fail. Keeping the work on endpoints that have
    /// just answered meets fewer spells than spreading it, since each spell is
    /// found out by a failure. Requests that may run again look after the others.
    pub(super) fn pick_by_risk(&mut self, criteria: PickCriteria<'_>) -> Option<Pick> {
        let round = Round {
            is_exploring: self.mechanisms.exploring
                && criteria.idempotent
                && criteria.tried.is_empty()
                && self.rng.next_u32().is_multiple_of(EXPLORE_ONE_IN),
            overdue_since: self.overdue_since(&criteria),
        };
        let mut best: Option<(RiskOrder, &PoolEntry)> = None;
        for entry in self.endpoints.values() {
            let is_free = entry.is_free(criteria.now, self.rate_share);
            if !is_free || !is_eligible(entry, &criteria, &round) {
                continue;
            }
            let is_tried = criteria.tried.contains(&entry.endpoint.name);
            let rank = self.rank(entry, &criteria, &round);
            let busy = entry.in_flight + entry.peer_in_flight();
            let load = busy * 1000 / entry.endpoint.slots.max(1);
            let key = (is_tried, rank, load, self.rng.next_u32());
            if best.as_ref().is_none_or(|(best_key, _)| key < *best_key) {
                best = Some((key, entry));
            }
        }
        let (_, entry) = best?;
        Some(Pick::of(entry, selection_reason(entry, &criteria, &round)))
    }

    /// Returns the rank of an endpoint; the least comes first: one that joined,
    /// those that are overdue, then all others by risk. A request that explores
    /// takes the endpoint in doubt that was seen longest ago.
    fn rank(&self, entry: &PoolEntry, criteria: &PickCriteria<'_>, round: &Round) -> u64 {
        let risk_rank = self.risk_rank(entry, criteria.idempotent);
        if is_unused_newcomer(entry, criteria) {
            return 0;
        }
        if is_overdue(entry, criteria, round) {
            return 1 + risk_rank;
        }
        let is_trial = u64::from(entry.health_status == Standing::Trial);
        match (round.is_exploring, entry.risk >= EXPLORE_MIN_RISK) {
            (true, true) => MAX_OVERDUE_RANK + entry.last_seen.map_or(0, Time::as_millis),
            (true, false) => u64::MAX - 1 + is_trial,
            (false, _) => MAX_OVERDUE_RANK + risk_rank + is_trial,
        }
    }

    /// Returns since when an endpoint must have got nothing to come first; none
    /// while enough endpoints get work.
    ///
    /// Failure guarded against: the work stays on the endpoints that have just
    /// answered, and when these fail, or the VMs that used them, nobody knows the
    /// others. It shows as sound endpoints without work while requests fail. The
    /// guard holds because most endpoints get a request in any two seconds, the
    /// least likely to fail first, and all of them while much is lost: then the
    /// endpoints in use can't be the right ones.
    fn overdue_since(&self, criteria: &PickCriteria<'_>) -> Option<Time> {
        if !self.mechanisms.coverage {
            return None;
        }
        let after = if criteria.idempotent { OVERDUE_AFTER.0 } else { OVERDUE_AFTER.1 };
        let since = criteria.now.before(after);
        let usable = self.endpoints.values().filter(|entry| entry.accepts_work());
        let (mut all, mut covered) = (0, 0);
        for entry in usable {
            all += 1;
            covered += usize::from(entry.last_sent >= since);
        }
        let wanted_percent = if criteria.is_failure_rate_high { 100 } else { MIN_COVERED_PERCENT };
        (covered * 100 < all * wanted_percent).then_some(since)
    }

    fn risk_rank(&self, entry: &PoolEntry, idempotent: bool) -> u64 {
        let is_remote = self.mechanisms.home_first
            && self
                .local_data_centre
                .as_ref()
                .is_some_and(|local_data_centre| *local_data_centre != entry.endpoint.data_centre);
        let penalty = if idempotent { REMOTE_PENALTY_STEPS.1 } else { REMOTE_PENALTY_STEPS.0 };
        let distance = if is_remote { penalty } else { 0 };
        2 * ((entry.risk / RISK_STEP) as u64 + distance)
    }
}

/// What is the same for all endpoints while one is chosen.
struct Round {
    /// Whether the request looks at endpoints in doubt.
    is_exploring: bool,
    /// Endpoints that got nothing since then are overdue.
    overdue_since: Option<Time>,
}

fn selection_reason(
    entry: &PoolEntry,
    criteria: &PickCriteria<'_>,
    round: &Round,
) -> SelectionReason {
    if is_unused_newcomer(entry, criteria) {
        SelectionReason::Untried
    } else if is_overdue(entry, criteria, round) {
        SelectionReason::Overdue
    } else if round.is_exploring && entry.risk >= EXPLORE_MIN_RISK {
        SelectionReason::Explored
    } else {
        SelectionReason::Best
    }
}

fn is_eligible(entry: &PoolEntry, criteria: &PickCriteria<'_>, round: &Round) -> bool {
    let is_tried = criteria.tried.contains(&entry.endpoint.name);
    let is_trial = entry.health_status == Standing::Trial;
    let is_barred_trial = is_trial && (is_tried || !criteria.idempotent || !criteria.allow_trial);
    let is_overdue_or_unused =
        is_unused_newcomer(entry, criteria) || is_overdue(entry, criteria, round);
    let is_risky = entry.risk > criteria.max_risk && !is_overdue_or_unused && !round.is_exploring;
    (!is_tried || criteria.allow_already_tried) && !is_barred_trial && !is_risky
}

/// Returns whether an endpoint joined and nobody has tried it yet.
fn is_unused_newcomer(entry: &PoolEntry, criteria: &PickCriteria<'_>) -> bool {
    let is_idle = entry.in_flight + entry.peer_in_flight() == 0;
    entry.is_untried && is_idle && !criteria.tried.contains(&entry.endpoint.name)
}

/// Returns whether it is an endpoint's turn to get a request.
fn is_overdue(entry: &PoolEntry, criteria: &PickCriteria<'_>, round: &Round) -> bool {
    round.overdue_since.is_some_and(|since| entry.last_sent < since)
        && !criteria.tried.contains(&entry.endpoint.name)
}
