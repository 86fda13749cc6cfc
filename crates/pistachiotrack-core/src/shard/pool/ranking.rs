//! Which endpoint comes first where endpoints are ranked by how likely they fail.

use std::time::Duration;

use rand::Rng;

use super::{EXPLORE_ONE_IN, Pick, Pool, Slots, Wanted};
use crate::{health::HealthState, shard::Choice, time::Time};

/// Whether it was tried, rank of its risk, load and a random tie-break; the least
/// is chosen.
type RiskOrder = (bool, u64, u32, u32);

/// Part of the endpoints that get a request in any two seconds; users ask for seven
/// in ten, and VMs see each other's requests a little late.
const COVERED_PERCENT: usize = 72;
/// Time without a request after which an endpoint is overdue: sooner for a request
/// that may run again, so that one that must not run twice seldom tries it.
const OVERDUE_AFTER: (Duration, Duration) =
    (Duration::from_millis(1_400), Duration::from_millis(1_750));
/// Ranks that overdue endpoints take up, above all others.
const DUE_RANKS: u64 = 1_000;
/// Risk from which an endpoint is worth a look by a request that may run again.
const UNSURE_RISK: f64 = 0.08;
/// Step of risks that count as alike: within one, load decides.
const RISK_STEP: f64 = 0.03;

/// Steps of risk that a request is put to rather than leave the data centre. What
/// crosses between data centres is paid for by the kilobyte: about a step's worth
/// for a booking, three for a lookup, which is answered elsewhere if it fails.
const STEPS_TO_STAY: (u64, u64) = (1, 3);

impl Pool {
    /// Chooses the endpoint that is least likely to fail.
    ///
    /// Load: a third of the slots busy, endpoints in spells of some seconds in
    /// which three of four requests fail. Keeping the work on endpoints that have
    /// just answered meets fewer spells than spreading it, since each spell is
    /// found out by a failure. Requests that may run again look after the others.
    pub(super) fn pick_by_risk(&mut self, wanted: Wanted<'_>) -> Option<Pick> {
        let turn = Turn {
            explores: self.mechanisms.exploration
                && wanted.idempotent
                && wanted.tried.is_empty()
                && self.rng.next_u32().is_multiple_of(EXPLORE_ONE_IN),
            overdue_since: self.overdue_since(&wanted),
        };
        let mut best: Option<(RiskOrder, &Slots)> = None;
        for slots in self.slots.values() {
            let is_free = slots.is_free(wanted.now, self.rate_share);
            if !is_free || !may_take(slots, &wanted, &turn) {
                continue;
            }
            let is_tried = wanted.tried.contains(&slots.endpoint.name);
            let rank = self.rank(slots, &wanted, &turn);
            let busy = slots.in_flight + slots.peer_count();
            let load = busy * 1000 / slots.endpoint.slots.max(1);
            let key = (is_tried, rank, load, self.rng.next_u32());
            if best.as_ref().is_none_or(|(best_key, _)| key < *best_key) {
                best = Some((key, slots));
            }
        }
        let (_, slots) = best?;
        Some(Pick::of(slots, choice(slots, &wanted, &turn)))
    }

    /// Returns the rank of an endpoint; the least comes first: one that joined,
    /// those that are overdue, then all others by risk. A request that explores
    /// takes the endpoint in doubt that was seen longest ago.
    fn rank(&self, slots: &Slots, wanted: &Wanted<'_>, turn: &Turn) -> u64 {
        let risk_rank = self.risk_rank(slots, wanted.idempotent);
        if is_new(slots, wanted) {
            return 0;
        }
        if is_overdue(slots, wanted, turn) {
            return 1 + risk_rank;
        }
        let is_trial = u64::from(slots.standing == HealthState::Trial);
        match (turn.explores, slots.risk >= UNSURE_RISK) {
            (true, true) => DUE_RANKS + slots.last_seen.map_or(0, Time::as_millis),
            (true, false) => u64::MAX - 1 + is_trial,
            (false, _) => DUE_RANKS + risk_rank + is_trial,
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
    fn overdue_since(&self, wanted: &Wanted<'_>) -> Option<Time> {
        if !self.mechanisms.coverage {
            return None;
        }
        let after = if wanted.idempotent { OVERDUE_AFTER.0 } else { OVERDUE_AFTER.1 };
        let since = wanted.now.before(after);
        let in_work = self.slots.values().filter(|slots| slots.accepts_work());
        let (mut all, mut covered) = (0, 0);
        for slots in in_work {
            all += 1;
            covered += usize::from(slots.last_sent >= since);
        }
        let wanted_percent = if wanted.is_strained { 100 } else { COVERED_PERCENT };
        (covered * 100 < all * wanted_percent).then_some(since)
    }

    fn risk_rank(&self, slots: &Slots, idempotent: bool) -> u64 {
        let is_away = self.mechanisms.local_endpoints_first
            && self.home.as_ref().is_some_and(|home| *home != slots.endpoint.data_centre);
        let steps_to_stay = if idempotent { STEPS_TO_STAY.1 } else { STEPS_TO_STAY.0 };
        let distance = if is_away { steps_to_stay } else { 0 };
        2 * ((slots.risk / RISK_STEP) as u64 + distance)
    }
}

/// What is the same for all endpoints while one is chosen.
struct Turn {
    /// Whether the request looks at endpoints in doubt.
    explores: bool,
    /// Endpoints that got nothing since then are overdue.
    overdue_since: Option<Time>,
}

fn choice(slots: &Slots, wanted: &Wanted<'_>, turn: &Turn) -> Choice {
    if is_new(slots, wanted) {
        Choice::Untried
    } else if is_overdue(slots, wanted, turn) {
        Choice::Overdue
    } else if turn.explores && slots.risk >= UNSURE_RISK {
        Choice::Explored
    } else {
        Choice::Best
    }
}

fn may_take(slots: &Slots, wanted: &Wanted<'_>, turn: &Turn) -> bool {
    let is_tried = wanted.tried.contains(&slots.endpoint.name);
    let is_trial = slots.standing == HealthState::Trial;
    let is_unfit = is_trial && (is_tried || !wanted.idempotent || !wanted.may_try);
    let is_due = is_new(slots, wanted) || is_overdue(slots, wanted, turn);
    let is_risky = slots.risk > wanted.max_risk && !is_due && !turn.explores;
    (!is_tried || wanted.allow_tried) && !is_unfit && !is_risky
}

/// Returns whether an endpoint joined and nobody has tried it yet.
fn is_new(slots: &Slots, wanted: &Wanted<'_>) -> bool {
    let is_idle = slots.in_flight + slots.peer_count() == 0;
    slots.is_untried && is_idle && !wanted.tried.contains(&slots.endpoint.name)
}

/// Returns whether it is an endpoint's turn to get a request.
fn is_overdue(slots: &Slots, wanted: &Wanted<'_>, turn: &Turn) -> bool {
    turn.overdue_since.is_some_and(|since| slots.last_sent < since)
        && !wanted.tried.contains(&slots.endpoint.name)
}
