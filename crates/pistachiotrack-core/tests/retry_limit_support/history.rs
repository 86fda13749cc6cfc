//! Random histories of a fleet, and the retries and requests that it sends.

use std::time::Duration;

use pistachiotrack_core::{service::RetryLimit, time::Time};
use quickcheck::{Arbitrary, Gen};

pub(crate) const LIMIT: RetryLimit = RetryLimit { ratio: 0.2, slack: 62, window_ms: 10_000 };
pub(crate) const VMS: usize = 20;
pub(crate) const STEP_MS: u64 = 10;
pub(crate) const STEPS: u64 = 6_000;
pub(crate) const START: Time = Time::from_millis(1_000_000);

/// A span of steps.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Span {
    pub(crate) from: u64,
    pub(crate) until: u64,
}

impl Span {
    pub(crate) fn contains(self, step: u64) -> bool {
        (self.from..self.until).contains(&step)
    }
}

/// Something that happens to VMs; `vms` is a set of bits.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Trouble {
    /// The VMs lose their links to all others, or to all but each other.
    Cut { vms: u32, together: bool, span: Span },
    /// The processes stand still.
    Pause { vms: u32, span: Span },
    /// The processes end at the beginning of the span and start at its end.
    Restart { vms: u32, span: Span },
    /// The VMs exchange their ranks with others, so that dispatchers are replaced.
    Replacement { vms: u32, step: u64 },
}

/// Parameters of one run.
#[derive(Clone, Debug)]
pub(crate) struct History {
    pub(crate) seed: u64,
    pub(crate) requests_percent: u32,
    pub(crate) lost_percent: u32,
    /// Greatest delay of a datagram.
    pub(crate) delay_ms: u64,
    /// Times at which endpoints fail, and the percentage of requests that do.
    pub(crate) failures: Vec<(Span, u32)>,
    pub(crate) troubles: Vec<Trouble>,
}

fn below(g: &mut Gen, bound: u64) -> u64 {
    u64::arbitrary(g) % bound
}

fn span(g: &mut Gen, max_steps: u64) -> Span {
    let from = below(g, STEPS);
    Span { from, until: from + 20 + below(g, max_steps) }
}

/// Returns some VMs: a few, half or all.
fn vms(g: &mut Gen) -> u32 {
    let random = u32::arbitrary(g);
    let vms = match below(g, 4) {
        0 => random & u32::arbitrary(g) & u32::arbitrary(g),
        1 => random,
        2 => random | u32::arbitrary(g),
        _ => u32::MAX,
    };
    vms & ((1 << VMS) - 1)
}

fn trouble(g: &mut Gen) -> Trouble {
    let vms = vms(g);
    match below(g, 5) {
        0 | 1 => Trouble::Cut { vms, together: bool::arbitrary(g), span: span(g, 2_000) },
        2 => Trouble::Pause { vms, span: span(g, 1_500) },
        3 => Trouble::Restart { vms, span: span(g, 100) },
        _ => Trouble::Replacement { vms, step: below(g, STEPS) },
    }
}

impl History {
    /// Adds a series of restarts of some VMs while most requests fail.
    pub(crate) fn with_restarts_in_series(mut self, g: &mut Gen) -> History {
        let vms = vms(g);
        let interval = 100 + below(g, 900);
        let first = below(g, STEPS / 2);
        let down_steps = 1 + below(g, 50);
        self.failures.push((Span { from: first, until: first + 2_500 }, 60 + below(g, 40) as u32));
        for restart in 0..5 {
            let from = first + 500 + restart * interval;
            self.troubles
                .push(Trouble::Restart { vms, span: Span { from, until: from + down_steps } });
        }
        self
    }

    /// Returns a long partition, in which some VMs of one side or all of them are restarted before endpoints fail.
    pub(crate) fn of_restart_in_partition(g: &mut Gen, whole_side: bool) -> History {
        let side = u32::arbitrary(g) & ((1 << VMS) - 1);
        let one_vm = side & side.wrapping_neg();
        let restarted = if whole_side { side } else { side & u32::arbitrary(g) & !one_vm };
        let until = STEPS - 500;
        History {
            failures: vec![(Span { from: 2_400, until }, 100)],
            troubles: vec![
                Trouble::Cut { vms: side, together: true, span: Span { from: 300, until } },
                Trouble::Restart { vms: restarted, span: Span { from: 1_000, until: 1_020 } },
            ],
            ..History::arbitrary(g)
        }
    }

    /// Removes all partitions.
    pub(crate) fn without_cuts(mut self) -> History {
        self.troubles.retain(|trouble| !matches!(trouble, Trouble::Cut { .. }));
        self
    }
}

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> History {
        let failure = |g: &mut Gen| (span(g, 1_500), 20 + below(g, 81) as u32);
        History {
            seed: u64::arbitrary(g),
            requests_percent: 10 + below(g, 91) as u32,
            lost_percent: below(g, 30) as u32,
            delay_ms: below(g, 4) * below(g, 100),
            failures: (0..1 + below(g, 3)).map(|_| failure(g)).collect(),
            troubles: (0..1 + below(g, 4)).map(|_| trouble(g)).collect(),
        }
    }
}

/// Times of the requests and retries that were sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentTimes {
    pub(crate) requests: Vec<Time>,
    pub(crate) retries: Vec<Time>,
}

fn count(times: &[Time], from: Time, until: Time) -> usize {
    times.partition_point(|at| *at < until) - times.partition_point(|at| *at < from)
}

impl SentTimes {
    /// Returns by how much the limit was exceeded in the worst window.
    ///
    /// Of the requests in a window, in the one before it and in the one half a window before it,
    /// the most count.
    pub(crate) fn excess(&self) -> f64 {
        let window = Duration::from_millis(LIMIT.window_ms);
        let excess = |from: &Time| {
            let requests = [Duration::ZERO, window / 2, window].map(|earlier| {
                let from = from.before(earlier);
                count(&self.requests, from, from + window)
            });
            let requests = requests.into_iter().max().unwrap_or(0);
            let allowed = LIMIT.ratio * requests as f64 + f64::from(LIMIT.slack);
            count(&self.retries, *from, *from + window) as f64 - allowed
        };
        self.retries.iter().map(excess).fold(f64::MIN, f64::max)
    }
}
