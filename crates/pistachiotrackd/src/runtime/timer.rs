//! The timer service, which sends periodic ticks to its subscribers.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use kameo::{
    Actor,
    actor::{ActorRef, Recipient},
    error::Infallible,
    message::{Context, Message},
};
use pistachiotrack_core::{
    pause::{Pause, PauseDetector},
    time::Time,
};
use tokio::time::MissedTickBehavior;

use crate::runtime::clock::Clock;

/// Time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Events that are sent to subscribers.
#[derive(Clone, Copy, Debug)]
pub(crate) enum TimerEvent {
    /// A tick, with the current time.
    Tick(Time),
    /// The process was paused; sent before the first tick after the pause.
    Paused {
        /// Current time.
        now: Time,
        /// Length of the pause.
        gap: Duration,
    },
}

/// A gate that is closed after a pause of the process until the timer has handled it.
///
/// A VM that is paused between a dispatch decision and the write that follows would
/// send a request long after its caller gave up. A pause shows as a gap between
/// ticks. The gate is checked before the first byte of a request is written, and
/// stays closed until the timer service has detected the gap and notified its
/// subscribers.
#[derive(Clone, Debug)]
pub(crate) struct PauseGate {
    detector: Arc<Mutex<PauseDetector>>,
}

impl PauseGate {
    /// Creates a gate that closes when the last tick is `threshold` ago.
    pub(crate) fn new(now: Time, threshold: Duration) -> PauseGate {
        PauseGate { detector: Arc::new(Mutex::new(PauseDetector::new(now, threshold))) }
    }

    /// Returns whether the process was paused since the last tick, so that nothing may be sent.
    pub(crate) fn is_closed(&self, now: Time) -> bool {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner).is_stale(now)
    }

    /// Returns the last pause of the process, including one that no tick has ended yet.
    pub(crate) fn pause_at(&self, now: Time) -> Option<Pause> {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner).pause_at(now)
    }

    /// Returns the time of the last tick.
    pub(crate) fn last_tick(&self) -> Time {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner).last_tick()
    }

    fn on_tick(&self, now: Time) -> Option<Duration> {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner).on_tick(now)
    }
}

/// The actor that sends the ticks.
pub(crate) struct TimerService {
    clock: Clock,
    gate: PauseGate,
    subscribers: Vec<Subscriber>,
    ticks: u64,
}

struct Subscriber {
    recipient: Recipient<TimerEvent>,
    every_ticks: u64,
}

/// Arguments of the timer service.
pub(crate) struct TimerArgs {
    /// Clock that gives the time of the ticks.
    pub(crate) clock: Clock,
    /// Gate that the ticks update.
    pub(crate) gate: PauseGate,
}

impl Actor for TimerService {
    type Args = TimerArgs;
    type Error = Infallible;

    async fn on_start(args: TimerArgs, actor_ref: ActorRef<Self>) -> Result<Self, Infallible> {
        let timer = actor_ref.downgrade();
        tokio::spawn(async move {
            let mut interval = tokio::time::interval(TICK_INTERVAL);
            interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                interval.tick().await;
                let Some(timer) = timer.upgrade() else { break };
                if timer.tell(IntervalPassed).try_send().is_err() {
                    break;
                }
            }
        });
        Ok(TimerService { clock: args.clock, gate: args.gate, subscribers: Vec::new(), ticks: 0 })
    }
}

/// Adds a subscriber to every tick.
pub(crate) struct Subscribe(pub(crate) Recipient<TimerEvent>);

impl Message<Subscribe> for TimerService {
    type Reply = ();

    async fn handle(&mut self, message: Subscribe, _: &mut Context<Self, ()>) {
        self.subscribers.push(Subscriber { recipient: message.0, every_ticks: 1 });
    }
}

/// Adds a subscriber that receives ticks at a longer interval, so that it is woken
/// less often in an idle daemon. It receives all pauses.
pub(crate) struct SubscribeWithInterval {
    /// The subscriber.
    pub(crate) recipient: Recipient<TimerEvent>,
    /// Time between two ticks that are sent to it.
    pub(crate) interval: Duration,
}

impl Message<SubscribeWithInterval> for TimerService {
    type Reply = ();

    async fn handle(&mut self, message: SubscribeWithInterval, _: &mut Context<Self, ()>) {
        let ticks = message.interval.as_millis() / TICK_INTERVAL.as_millis();
        let every_ticks = (ticks as u64).max(1);
        self.subscribers.push(Subscriber { recipient: message.recipient, every_ticks });
    }
}

struct IntervalPassed;

impl Message<IntervalPassed> for TimerService {
    type Reply = ();

    async fn handle(&mut self, _: IntervalPassed, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        if let Some(gap) = self.gate.on_tick(now) {
            log::warn!("event=paused gap_ms={}", gap.as_millis());
            self.publish(TimerEvent::Paused { now, gap }, |_| true);
        }
        self.ticks += 1;
        let ticks = self.ticks;
        self.publish(TimerEvent::Tick(now), |every| ticks.is_multiple_of(every));
    }
}

impl TimerService {
    fn publish(&mut self, event: TimerEvent, is_due: impl Fn(u64) -> bool) {
        self.subscribers.retain(|subscriber| {
            !is_due(subscriber.every_ticks) || subscriber.recipient.tell(event).try_send().is_ok()
        });
    }
}
