//! Forecast of the retries that a VM may send.

use super::{FleetRetryBudget, window};
use crate::{
    retry::{
        RetryForecast,
        send_history::{RETRY_STEPS, STEPS},
    },
    time::Time,
};

/// Steps that a forecast covers: three windows, which exceeds the deadlines of callers.
const FORECAST_STEPS: usize = 3 * RETRY_STEPS;

impl FleetRetryBudget {
    /// Returns when this VM will have rights of its own for how many retries, if it goes on getting
    /// as many requests as it does.
    ///
    /// The mean rate of a window would be wrong in both directions: after a burst of retries,
    /// none becomes available for the rest of the window, and then as many as in the burst.
    pub fn forecast(&mut self, now: Time) -> RetryForecast {
        let remaining = self.remaining(now);
        let balance = self.allowed(now) - self.used(now);
        let received = self.exchange.received(now).retries();
        let (slack, earned_per_step) = (self.slack(now), self.earned_per_step(now));
        let step = self.history.step();
        let mut available = vec![remaining];
        for shift in 1..FORECAST_STEPS {
            let at = self.history.newest_started_at() + step * shift as u32;
            let released = self.history.released_after(shift).plus(self.exchange.given_until(at));
            let sent_again =
                shift.checked_sub(RETRY_STEPS).map_or(0.0, |earlier| available[earlier].floor());
            let earned = earned_per_step * self.growing_steps(now, shift);
            let slack_gained = self.slack(at) - slack;
            let free = balance + received + released.retries() + sent_again + earned + slack_gained;
            available.push(free.max(available[shift - 1]));
        }
        let started_at = self.history.newest_started_at();
        let later = available.iter().enumerate().skip(1);
        let mut points = vec![(now, remaining)];
        points.extend(later.map(|(shift, retries)| (started_at + step * shift as u32, *retries)));
        let forecast = RetryForecast::new(points);
        // A VM that ceases to be a dispatcher, as in a planned stop, has few rights left, but its
        // callers go to the others, where all retries of a window are available again after it.
        match self.visible.is_member {
            true => forecast,
            false => forecast.with_fallback(now + window(self.limit)),
        }
    }

    /// Returns what the requests of a step earn.
    fn earned_per_step(&mut self, now: Time) -> f64 {
        let requests = self.history.last_requests(now);
        self.earned(requests) / self.history.known_steps(now).clamp(1, STEPS) as f64
    }

    /// Returns how many more steps earn rights after `shift` steps than now, because the process has
    /// just started.
    fn growing_steps(&self, now: Time, shift: usize) -> f64 {
        (self.history.earning_steps(now, shift) - self.history.earning_steps(now, 0)) as f64
    }
}
