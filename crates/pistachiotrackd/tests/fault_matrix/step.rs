//! The columns of the matrix: the step at which a fault strikes.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::sync::{oneshot, watch};

use super::{
    caller::Sent,
    endpoint::{Hold, Sickness},
    fault::{Fault, OWNER},
    world::World,
};

/// A column of the matrix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    BeforeSend,
    HalfSent,
    Waiting,
    HalfAnswered,
    AtRetry,
    HandOver,
    ConfigChange,
    EndpointDrain,
    Shutdown,
}

/// All columns with their names.
pub(crate) const STEPS: [(&str, Step); 9] = [
    ("before send", Step::BeforeSend),
    ("half sent", Step::HalfSent),
    ("waiting", Step::Waiting),
    ("half answered", Step::HalfAnswered),
    ("at retry", Step::AtRetry),
    ("hand-over", Step::HandOver),
    ("config change", Step::ConfigChange),
    ("endpoint drain", Step::EndpointDrain),
    ("VM shutdown", Step::Shutdown),
];

/// Time after which an endpoint that leaves must get no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(4);

/// What a step leaves to the oracle.
#[derive(Default)]
pub(crate) struct Struck {
    /// Requests that were in flight when a VM was asked to stop.
    pub(crate) in_flight: Vec<Sent>,
    /// Version that must come into force.
    pub(crate) version: u64,
    /// Moment from which the sick endpoints must get no new work.
    pub(crate) left_at: Option<Instant>,
    /// Moment at which the faults were mended.
    pub(crate) mended_at: Option<Instant>,
    /// Ends when the VM has stopped.
    pub(crate) stopping: Option<oneshot::Receiver<()>>,
}

impl Step {
    /// Returns the name of the column.
    pub(crate) fn name(self) -> &'static str {
        STEPS.iter().find(|(_, step)| *step == self).map_or("?", |(name, _)| name)
    }

    /// Returns the time for which a VM asked to stop still serves callers.
    pub(crate) fn entry_drain_ms(self) -> u64 {
        if self == Step::HandOver { 1_000 } else { 0 }
    }

    /// Lets the faults strike at this step, with requests before and after.
    pub(crate) async fn strike(self, world: &Arc<World>, faults: &[Fault]) -> Struck {
        let mut struck = Struck { version: 2, ..Struck::default() };
        // The connections that a fault may hit are open before it strikes.
        world.finish(world.begin(None)).await;
        match self {
            Step::BeforeSend => arm(world, faults),
            Step::HalfSent => half_sent(world, faults).await,
            Step::Waiting => held(world, faults, Hold::BeforeAnswer).await,
            Step::HalfAnswered => held(world, faults, Hold::HalfAnswered).await,
            Step::AtRetry => held(world, faults, Hold::BeforeShed).await,
            Step::HandOver => {
                struck.stopping = Some(stop_owner(world));
                arm(world, faults);
            }
            Step::ConfigChange => {
                struck.version = 3;
                publish(world, faults, None);
            }
            Step::EndpointDrain => {
                struck.version = 3;
                for index in world.sick() {
                    world.endpoints[index].fall_sick(Sickness::Draining);
                }
                publish(world, faults, Some(0));
                struck.left_at = Some(Instant::now() + LEAVING_LIMIT);
            }
            Step::Shutdown => shutdown(world, faults, &mut struck).await,
        }
        if faults.contains(&Fault::Sick(Sickness::Draining)) {
            struck.left_at.get_or_insert(Instant::now() + LEAVING_LIMIT);
        }
        world.finish(world.begin(None)).await;
        while struck.left_at.is_some_and(|left_at| Instant::now() <= left_at) {
            world.finish(world.begin(None)).await;
            tokio::time::sleep(LEAVING_LIMIT / 10).await;
        }
        if struck.left_at.is_some() {
            world.finish(world.begin(None)).await;
        }
        struck
    }
}

fn arm(world: &Arc<World>, faults: &[Fault]) {
    faults.iter().for_each(|fault| fault.arm(world));
}

async fn half_sent(world: &Arc<World>, faults: &[Fault]) {
    let (held_back, receiver) = watch::channel(true);
    let before = world.seen();
    let batch = world.begin(Some(&receiver));
    world.until_seen(&batch, before).await;
    arm(world, faults);
    held_back.send_replace(false);
    world.finish(batch).await;
}

async fn held(world: &Arc<World>, faults: &[Fault], hold: Hold) {
    world.hold(hold);
    let batch = world.begin(None);
    world.until_held(&batch).await;
    arm(world, faults);
    world.hold(Hold::Nowhere);
    world.finish(batch).await;
}

fn stop_owner(world: &World) -> oneshot::Receiver<()> {
    world.gone.lock().unwrap().push(OWNER);
    world.vms[OWNER].stop()
}

/// Publishes a configuration while the faults strike: before them to one VM,
/// after them to the other, whose platform may be what fails.
fn publish(world: &Arc<World>, faults: &[Fault], leaving: Option<usize>) {
    world.publish(1 - OWNER, 3, leaving);
    arm(world, faults);
    if !faults.iter().any(|fault| fault.is_of_config()) {
        world.publish(OWNER, 3, leaving);
    }
}

async fn shutdown(world: &Arc<World>, faults: &[Fault], struck: &mut Struck) {
    world.hold(Hold::BeforeAnswer);
    let batch = world.begin(None);
    world.until_held(&batch).await;
    arm(world, faults);
    struck.stopping = Some(stop_owner(world));
    world.hold(Hold::Nowhere);
    struck.in_flight = world.finish(batch).await;
}
