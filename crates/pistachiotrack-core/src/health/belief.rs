//! How likely an endpoint is in a spell in which most of its work fails.
//!
//! Endpoints fail grayly for some seconds and are well again, while their health
//! checks say nothing. The belief is that of a two-state Markov process that is
//! seen only through answers: each answer moves it, and time lets it fade to what
//! is known of any endpoint.

use crate::time::Time;

/// Mean length of a spell, and of the time between two, in seconds. Spells of 4
/// to 15 s were seen at a third of the endpoints; the belief depends little on
/// either figure.
const MEAN_SPELL_S: f64 = 10.0;
const MEAN_GAP_S: f64 = 30.0;
/// Part of the work that fails in a spell and outside of one: 0.75 and 0.012 were
/// seen; the values between them keep one answer from deciding too much.
const FAILS_IN_SPELL: f64 = 0.65;
const FAILS_OUTSIDE: f64 = 0.02;
/// Bounds of the belief, so that a changed endpoint is noticed after few answers.
const BOUNDS: (f64, f64) = (0.002, 0.98);

/// How likely an endpoint is in a spell.
#[derive(Clone, Copy, Debug)]
pub(super) struct Belief {
    in_spell: f64,
    at: Time,
}

impl Belief {
    /// Begins with what is known of any endpoint.
    pub(super) fn new(now: Time) -> Belief {
        Belief { in_spell: MEAN_SPELL_S / (MEAN_SPELL_S + MEAN_GAP_S), at: now }
    }

    /// Takes an answer of the endpoint.
    pub(super) fn observe(&mut self, now: Time, failed: bool) {
        let before = self.in_spell_at(now);
        let (in_spell, outside) = match failed {
            true => (FAILS_IN_SPELL, FAILS_OUTSIDE),
            false => (1.0 - FAILS_IN_SPELL, 1.0 - FAILS_OUTSIDE),
        };
        let weight = before * in_spell;
        let after = weight / (weight + (1.0 - before) * outside);
        self.in_spell = after.clamp(BOUNDS.0, BOUNDS.1);
        self.at = self.at.max(now);
    }

    /// Takes what another VM believed at a moment.
    pub(super) fn adopt(&mut self, in_spell: f64, at: Time) {
        self.in_spell = in_spell.clamp(BOUNDS.0, BOUNDS.1);
        self.at = at;
    }

    /// Returns the belief at the moment of the last answer.
    pub(super) fn in_spell(&self) -> f64 {
        self.in_spell
    }

    /// Returns how likely the next request to the endpoint fails.
    pub(super) fn risk(&self, now: Time) -> f64 {
        let in_spell = self.in_spell_at(now);
        in_spell * FAILS_IN_SPELL + (1.0 - in_spell) * FAILS_OUTSIDE
    }

    /// Returns the belief faded to `now`.
    fn in_spell_at(&self, now: Time) -> f64 {
        let usual = MEAN_SPELL_S / (MEAN_SPELL_S + MEAN_GAP_S);
        let rate = 1.0 / MEAN_SPELL_S + 1.0 / MEAN_GAP_S;
        let kept = (-rate * now.since(self.at).as_secs_f64()).exp();
        usual + (self.in_spell - usual) * kept
    }
}
