//! The timer service: one tick for all parts that subscribe to it.

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

use crate::clock::Clock;

/// Time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// What subscribers are told.
#[derive(Clone, Copy, Debug)]
pub(crate) enum TimerEvent {
    /// A tick.
    Tick(Time),
    /// The process was paused; sent before the first tick after the pause.
    Paused {
        /// Present moment.
        now: Time,
        /// Length of the pause.
        gap: Duration,
    },
}

/// Tells whether the process has just woken from a pause.
///
/// Failure guarded against: a VM that is paused between a decision and the write
/// that follows it sends a request long after its caller has given up. It shows
/// as a gap between ticks. The guard holds because the gate is asked by whoever
/// is about to write the first byte, and stays shut until the timer service has
/// seen the gap and told its subscribers.
#[derive(Clone, Debug)]
pub(crate) struct PauseGate {
    detector: Arc<Mutex<PauseDetector>>,
}

impl PauseGate {
    /// Creates a gate that shuts when ticks are `threshold` apart.
    pub(crate) fn new(now: Time, threshold: Duration) -> PauseGate {
        PauseGate { detector: Arc::new(Mutex::new(PauseDetector::new(now, threshold))) }
    }

    /// Returns whether the process was paused since the last tick.
    pub(crate) fn is_closed(&self, now: Time) -> bool {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner).is_stale(now)
    }

    /// Returns the last pause of the process, also one that just ends.
    pub(crate) fn pause_at(&self, now: Time) -> Option<Pause> {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner).pause_at(now)
    }

    fn on_tick(&self, now: Time) -> Option<Duration> {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner).on_tick(now)
    }
}

/// The actor that ticks.
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

/// Settings of the timer service.
pub(crate) struct TimerArgs {
    /// Clock that the ticks are read from.
    pub(crate) clock: Clock,
    /// Gate that the ticks keep open.
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

/// Adds a subscriber.
pub(crate) struct Subscribe(pub(crate) Recipient<TimerEvent>);

impl Message<Subscribe> for TimerService {
    type Reply = ();

    async fn handle(&mut self, message: Subscribe, _: &mut Context<Self, ()>) {
        self.subscribers.push(Subscriber { recipient: message.0, every_ticks: 1 });
    }
}

/// Adds a subscriber that is told of one tick in several, so that an idle daemon
/// wakes it less often; of pauses it is told as any other.
pub(crate) struct SubscribeWithInterval {
    /// The subscriber.
    pub(crate) recipient: Recipient<TimerEvent>,
    /// Time between two ticks that it is told of.
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
