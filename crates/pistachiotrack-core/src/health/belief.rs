//! How likely an endpoint is in a spell in which most of its work fails.
//!
//! Endpoints fail grayly for some seconds and are well again, while their health
//! checks say nothing. The belief is that of a two-state Markov process that is
//! seen only through answers: each answer moves it, and time lets it fade to what
//! is known of any endpoint of the service.

use crate::{
    health::spells::{Sign, Spells, Watch},
    time::Time,
};

/// Bounds of the belief, so that a changed endpoint is noticed after few answers.
const BOUNDS: (f64, f64) = (0.002, 0.995);
/// Belief from which on an endpoint is taken to be in a spell, and below which the spell
/// is taken to be over: one lucky answer in a spell ends none.
const LIKELY: f64 = 0.5;
const UNLIKELY: f64 = 0.1;

/// How likely an endpoint is in a spell.
#[derive(Clone, Copy, Debug)]
pub(super) struct Belief {
    /// `None` while nothing is known of this endpoint.
    last: Option<Known>,
}

/// The belief at the last moment of which something is known.
#[derive(Clone, Copy, Debug)]
struct Known {
    in_spell: f64,
    at: Time,
    /// When the present spell was found out, if there is one.
    failing_since: Option<Time>,
}

impl Belief {
    /// Begins with what is known of any endpoint.
    pub(super) fn new() -> Belief {
        Belief { last: None }
    }

    /// Takes how a request that was sent at `started` ended at `now`.
    ///
    /// A good answer shows that the endpoint was well when it got the request.
    /// Failure guarded against: answers to requests of before a spell come one after
    /// the other while it lasts, and each clears the endpoint anew. It shows as half of
    /// the requests failing where one in ten was expected. The guard holds because an
    /// answer to what was sent before the spell was found out doesn't move the belief.
    pub(super) fn observe(&mut self, spells: &mut Spells, now: Time, started: Time, sign: Sign) {
        let failing_since = self.failing_since();
        if sign == Sign::Good && failing_since.is_some_and(|since| started < since) {
            return spells.learn(sign, 0.0);
        }
        let shown_at = if sign == Sign::Good { started } else { now };
        let after = spells.updated(self.in_spell(spells, shown_at), sign);
        spells.learn(sign, after);
        let is_failing = after >= if failing_since.is_some() { UNLIKELY } else { LIKELY };
        if let Some(last) = self.last {
            let time = shown_at.since(last.at);
            let was_failing = failing_since.is_some();
            spells.learn_rates(Watch { time, was_failing, is_failing });
        }
        self.last = Some(Known {
            in_spell: bounded(after),
            at: self.last.map_or(shown_at, |last| last.at.max(shown_at)),
            failing_since: is_failing.then(|| failing_since.unwrap_or(now)),
        });
    }

    /// Takes what another VM believed at a moment, if that is newer.
    pub(super) fn adopt(&mut self, in_spell: f64, at: Time) -> bool {
        if self.last.is_some_and(|last| last.at >= at) {
            return false;
        }
        let failing_since = (in_spell >= LIKELY).then_some(at);
        self.last = Some(Known { in_spell: bounded(in_spell), at, failing_since });
        true
    }

    /// Returns the belief and the moment that it is of, if anything is known.
    pub(super) fn last(&self) -> Option<(f64, Time)> {
        self.last.map(|last| (last.in_spell, last.at))
    }

    /// Returns how likely the endpoint is in a spell.
    pub(super) fn in_spell(&self, spells: &Spells, now: Time) -> f64 {
        match self.last {
            Some(last) => spells.faded(last.in_spell, now.since(last.at)),
            None => spells.usual(),
        }
    }

    fn failing_since(&self) -> Option<Time> {
        self.last.and_then(|last| last.failing_since)
    }
}

fn bounded(in_spell: f64) -> f64 {
    in_spell.clamp(BOUNDS.0, BOUNDS.1)
}
