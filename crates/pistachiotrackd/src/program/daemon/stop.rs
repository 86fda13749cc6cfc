//! Graceful stop of the daemon.

use std::time::Duration;

use pistachiotrack_core::{stop::StopSchedule, time::Time};

use super::Daemon;
use crate::membership::fleet::Leave;

/// Time for which a leaving daemon still serves after the lifetime of the entry
/// answers that list it, since other VMs learn of its leaving with a delay.
const ENTRY_MARGIN: Duration = Duration::from_secs(2);

/// Least time for the answers of what is still at work when the grace is nearly over, also if the
/// process lags behind its own timers.
const MIN_LAST_ANSWERS_TIME: Duration = Duration::from_millis(100);

/// Time after a pause within which signals that came during the pause have been read.
const SIGNAL_DELAY: Duration = Duration::from_millis(100);

/// A daemon that has announced that it is leaving and still serves callers that
/// hold its address.
#[must_use]
pub struct LeavingDaemon {
    daemon: Daemon,
    schedule: StopSchedule,
}

/// A daemon that accepts no further requests and finishes those in flight.
#[must_use]
pub struct StoppingDaemon {
    daemon: Daemon,
    schedule: StopSchedule,
}

impl Daemon {
    /// Stops gracefully: still serves while callers may hold this VM's address,
    /// then accepts no further requests and finishes those in flight.
    pub async fn stop(self) {
        self.leave().drain().await.finish().await;
    }

    /// Hands this VM's shards over and announces to the other VMs that it leaves.
    pub fn leave(self) -> LeavingDaemon {
        let grace = Duration::from_secs_f64(self.stop_grace_s);
        let schedule = StopSchedule::new(self.stop_began_at(), grace, self.entry_drain());
        self.schedule.send_replace(Some(schedule));
        // The fleet actor stops only with the process.
        let _ = self.fleet.tell(Leave).try_send();
        LeavingDaemon { daemon: self, schedule }
    }

    /// Returns the earliest time at which the signal to stop can have come: one that came during a
    /// pause of the process, however short, is read only after it.
    fn stop_began_at(&self) -> Time {
        let gate = &self.context.gate;
        let now = self.context.clock.now();
        let pause = gate.pause_at(now);
        let recent = pause.filter(|pause| now.since(pause.ended_at) < SIGNAL_DELAY);
        recent.map_or(gate.last_tick(), |pause| pause.began_at)
    }

    /// Returns how long callers may still use entry responses that list this VM.
    fn entry_drain(&self) -> Duration {
        let minimum = Duration::from_millis(self.context.settings.entry_drain_ms);
        let Some(active) = &self.context.view().active else { return minimum };
        minimum.max(Duration::from_millis(active.config.entry_lifetime_ms) + ENTRY_MARGIN)
    }
}

impl LeavingDaemon {
    /// Serves until the last entry response that lists this VM has expired, then
    /// accepts no further connections.
    pub async fn drain(self) -> StoppingDaemon {
        let LeavingDaemon { daemon, schedule } = self;
        let after_ms = |time: Time| time.since(schedule.began_at).as_millis();
        let context = &daemon.context;
        log::info!(
            "event=leaving accepts_until_ms={} answers_until_ms={} since_stop_ms={} \
             requests_in_flight={}",
            after_ms(schedule.accepts_until),
            after_ms(schedule.answers_until),
            after_ms(context.clock.now()),
            context.in_flight.len()
        );
        context.clock.sleep_until(schedule.accepts_until).await;
        daemon.stopping.send_replace(true);
        daemon.connections.close();
        log::info!(
            "event=listeners_closed since_stop_ms={} connections={} requests_in_flight={}",
            after_ms(context.clock.now()),
            daemon.connections.len(),
            context.in_flight.len()
        );
        StoppingDaemon { daemon, schedule }
    }
}

impl StoppingDaemon {
    /// Waits for requests in flight. Those that are still at work when the grace is nearly over are
    /// refused as possibly run; what can't be sent by the time of the exit is cut.
    pub async fn finish(self) {
        let StoppingDaemon { daemon, schedule } = self;
        let Daemon { context, connections, .. } = &daemon;
        let is_finished = tokio::select! {
            () = connections.wait() => true,
            () = context.clock.sleep_until(schedule.answers_until) => false,
        };
        if !is_finished {
            daemon.grace_over.send_replace(true);
            let exits_at = schedule.exits_at.max(context.clock.now() + MIN_LAST_ANSWERS_TIME);
            tokio::select! {
                () = connections.wait() => {}
                () = context.clock.sleep_until(exits_at) => {}
            }
        }
        let since_stop = context.clock.now().since(schedule.began_at);
        if connections.is_empty() {
            log::info!("event=stopped since_stop_ms={}", since_stop.as_millis());
            return;
        }
        context.in_flight.log_cut(since_stop);
        log::error!(
            "event=stopped connections_cut={} requests_cut={} since_stop_ms={}",
            connections.len(),
            context.in_flight.len(),
            since_stop.as_millis()
        );
    }
}
