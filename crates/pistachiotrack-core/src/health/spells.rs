//! What spells of gray failure look like at a service, learned from its endpoints.
//!
//! Endpoints fail grayly in different ways: some answer with a status, some reset the
//! connection, some fail after the work is done. Which of these is the sign of a spell,
//! how often spells begin and how long they last is counted for each service, starting
//! from a weak prior: signs by how likely the endpoint was in a spell as it gave them,
//! spells as they are found out and end.
//!
//! Against one fixed rate of failures for all kinds of them, fewer requests that must not
//! run again fail.

use std::time::Duration;

use crate::request::{FIRST_FAILURE_STATUS, Outcome};

/// Part of the usual time of a good answer within which a failure came at once: the
/// endpoint didn't work on the request.
const AT_ONCE_PART: f64 = 0.2;
/// Weight of one good answer in the usual time: about the last 50 count.
const USUAL_WEIGHT: f64 = 0.02;

/// Number of signs.
const SIGNS: usize = 6;
/// How often each sign is expected in a spell and outside of one before any was seen,
/// in the order of [`Sign`]. Failures at once tell most, late ones little: wrong here,
/// they are corrected by the first dozens of attempts.
const PRIOR_IN_SPELL: [f64; SIGNS] = [0.20, 0.30, 0.08, 0.30, 0.08, 0.04];
const PRIOR_OUTSIDE: [f64; SIGNS] = [0.965, 0.004, 0.015, 0.004, 0.006, 0.006];
/// Attempts that the prior counts as.
const PRIOR_ATTEMPTS: (f64, f64) = (10.0, 100.0);
/// Attempts that are remembered: enough for rates of a hundredth outside of spells, and
/// few enough to follow a service that changes within a minute of its work.
const REMEMBERED_ATTEMPTS: (f64, f64) = (300.0, 2_000.0);

/// Mean time between two spells of an endpoint and mean length of one before any was
/// seen, in seconds, and the time for which the prior counts.
const PRIOR_GAP_S: f64 = 40.0;
const PRIOR_SPELL_S: f64 = 8.0;
const PRIOR_TIME_S: f64 = 40.0;
/// Time of endpoints under watch that is remembered, in seconds.
const REMEMBERED_TIME_S: f64 = 400.0;
/// Bounds of the rates, in events a second, so that few observations don't make a spell
/// last forever or a moment.
const BEGIN_RATES: (f64, f64) = (0.002, 0.2);
const END_RATES: (f64, f64) = (0.02, 1.0);
/// Longest gap between two observations that tells about rates: within a longer one a
/// spell may have come and gone.
const MAX_GAP: Duration = Duration::from_secs(2);

/// What an attempt shows of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sign {
    /// A good answer.
    Good,
    /// A failure status, before the endpoint can have done the work.
    FailedAtOnce,
    /// A failure status after the work.
    FailedLate,
    /// A broken connection, before the endpoint can have done the work.
    BrokenAtOnce,
    /// A broken connection after a while.
    BrokenLate,
    /// No answer in time.
    Silent,
}

/// How an attempt ended, as far as it tells of gray failure.
#[derive(Clone, Copy, Debug)]
pub(super) enum End {
    Answered { status: u16 },
    Broken,
    Silent,
}

impl End {
    /// That no connection opened says nothing, as the request can go elsewhere.
    pub(super) fn of(outcome: Outcome) -> Option<End> {
        match outcome {
            Outcome::Answered { status, .. } => Some(End::Answered { status }),
            Outcome::Broken { .. } => Some(End::Broken),
            Outcome::TimedOut { .. } => Some(End::Silent),
            Outcome::Shed
            | Outcome::ConnectFailed
            | Outcome::Misdirected
            | Outcome::NotSent
            | Outcome::RelayFailed { .. }
            | Outcome::Cancelled => None,
        }
    }
}

/// Time for which an endpoint was under watch, from one observation to the next.
#[derive(Clone, Copy, Debug)]
pub(super) struct Watch {
    /// Time between the two.
    pub(super) time: Duration,
    /// Whether the endpoint was taken to be in a spell before, and after.
    pub(super) was_failing: bool,
    pub(super) is_failing: bool,
}

/// What is known of a service's spells.
#[derive(Clone, Debug)]
pub(super) struct Spells {
    in_spell: Counts,
    outside: Counts,
    begins: Rate,
    ends: Rate,
    /// Usual time of a good answer, in seconds.
    usual_s: Option<f64>,
    /// Whether failures at once are told from late ones.
    tells_times: bool,
}

impl Spells {
    /// Begins with the prior.
    pub(super) fn new(tells_times: bool) -> Spells {
        let rate = |mean_s: f64| Rate { events: PRIOR_TIME_S / mean_s, time_s: PRIOR_TIME_S };
        Spells {
            in_spell: Counts::new(PRIOR_IN_SPELL, PRIOR_ATTEMPTS.0, REMEMBERED_ATTEMPTS.0),
            outside: Counts::new(PRIOR_OUTSIDE, PRIOR_ATTEMPTS.1, REMEMBERED_ATTEMPTS.1),
            begins: rate(PRIOR_GAP_S),
            ends: rate(PRIOR_SPELL_S),
            usual_s: None,
            tells_times,
        }
    }

    /// Returns what an attempt shows; a good answer tells how long answers take.
    pub(super) fn sign(&mut self, end: End, took: Duration) -> Sign {
        let usual_s = self.usual_s.unwrap_or(f64::MAX);
        let is_at_once = !self.tells_times || took.as_secs_f64() <= usual_s * AT_ONCE_PART;
        match end {
            End::Answered { status } if status < FIRST_FAILURE_STATUS => {
                let took_s = took.as_secs_f64();
                let usual_s = self.usual_s.get_or_insert(took_s);
                *usual_s += USUAL_WEIGHT * (took_s - *usual_s);
                Sign::Good
            }
            End::Answered { .. } if is_at_once => Sign::FailedAtOnce,
            End::Answered { .. } => Sign::FailedLate,
            End::Broken if is_at_once => Sign::BrokenAtOnce,
            End::Broken => Sign::BrokenLate,
            End::Silent => Sign::Silent,
        }
    }

    /// Returns how likely an endpoint of which nothing is known is in a spell.
    pub(super) fn usual(&self) -> f64 {
        let (begins, ends) = self.rates();
        begins / (begins + ends)
    }

    /// Returns a belief after a time without any sign.
    pub(super) fn faded(&self, in_spell: f64, gap: Duration) -> f64 {
        let (begins, ends) = self.rates();
        let usual = begins / (begins + ends);
        usual + (in_spell - usual) * (-(begins + ends) * gap.as_secs_f64()).exp()
    }

    /// Returns the belief after a sign.
    pub(super) fn updated(&self, in_spell: f64, sign: Sign) -> f64 {
        let weight = in_spell * self.in_spell.part(sign);
        weight / (weight + (1.0 - in_spell) * self.outside.part(sign))
    }

    /// Returns how likely the next request fails, by how likely its endpoint is in a
    /// spell.
    pub(super) fn risk(&self, in_spell: f64) -> f64 {
        in_spell * self.in_spell.failures() + (1.0 - in_spell) * self.outside.failures()
    }

    /// Returns how likely a request fails at an endpoint that is certainly well.
    pub(super) fn least_risk(&self) -> f64 {
        self.outside.failures()
    }

    /// Learns from a sign, by how likely the endpoint was in a spell as it gave it.
    pub(super) fn learn(&mut self, sign: Sign, in_spell: f64) {
        self.in_spell.add(sign, in_spell);
        self.outside.add(sign, 1.0 - in_spell);
    }

    /// Learns how often spells begin and end.
    pub(super) fn learn_rates(&mut self, watch: Watch) {
        if watch.time > MAX_GAP {
            return;
        }
        let rate = if watch.was_failing { &mut self.ends } else { &mut self.begins };
        let events = if watch.was_failing == watch.is_failing { 0.0 } else { 1.0 };
        rate.add(events, watch.time.as_secs_f64());
    }

    fn rates(&self) -> (f64, f64) {
        (
            self.begins.value().clamp(BEGIN_RATES.0, BEGIN_RATES.1),
            self.ends.value().clamp(END_RATES.0, END_RATES.1),
        )
    }
}

/// How often each sign was seen; old attempts fade.
#[derive(Clone, Debug)]
struct Counts {
    seen: [f64; SIGNS],
    all: f64,
    remembered: f64,
}

impl Counts {
    fn new(prior: [f64; SIGNS], attempts: f64, remembered: f64) -> Counts {
        Counts { seen: prior.map(|part| part * attempts), all: attempts, remembered }
    }

    fn part(&self, sign: Sign) -> f64 {
        self.seen[sign as usize] / self.all
    }

    fn failures(&self) -> f64 {
        1.0 - self.part(Sign::Good)
    }

    fn add(&mut self, sign: Sign, weight: f64) {
        self.seen[sign as usize] += weight;
        self.all += weight;
        if self.all > self.remembered {
            let kept = self.remembered / self.all;
            self.seen.iter_mut().for_each(|seen| *seen *= kept);
            self.all = self.remembered;
        }
    }
}

/// Events in a time under watch; old ones fade.
#[derive(Clone, Copy, Debug)]
struct Rate {
    events: f64,
    time_s: f64,
}

impl Rate {
    fn value(&self) -> f64 {
        self.events / self.time_s
    }

    fn add(&mut self, events: f64, time_s: f64) {
        self.events += events;
        self.time_s += time_s;
        if self.time_s > REMEMBERED_TIME_S {
            self.events *= REMEMBERED_TIME_S / self.time_s;
            self.time_s = REMEMBERED_TIME_S;
        }
    }
}
