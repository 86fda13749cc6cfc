//! The columns of the matrix: the step at which faults are injected.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::sync::{oneshot, watch};

use super::{
    caller::SentRequest,
    endpoint::{EndpointFault, Hold},
    fault::{Fault, OWNER},
    testbed::Testbed,
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

/// All steps with the names of their columns.
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

/// Time after which a draining endpoint must get no new requests.
const DRAIN_LIMIT: Duration = Duration::from_secs(4);

/// Records of a step that the oracle checks.
#[derive(Default)]
pub(crate) struct StepRecord {
    /// Requests that were in flight when a VM began to stop.
    pub(crate) in_flight: Vec<SentRequest>,
    /// Configuration version that must become active.
    pub(crate) version: u64,
    /// Time from which the draining endpoints must get no new requests.
    pub(crate) no_requests_from: Option<Instant>,
    /// Time at which the faults were removed.
    pub(crate) faults_removed_at: Option<Instant>,
    /// Completes when the VM has stopped.
    pub(crate) stopping: Option<oneshot::Receiver<()>>,
}

impl Step {
    /// Returns the name of the column.
    pub(crate) fn name(self) -> &'static str {
        STEPS.iter().find(|(_, step)| *step == self).map_or("?", |(name, _)| name)
    }

    /// Returns the time for which a stopping VM still accepts callers.
    pub(crate) fn entry_drain_ms(self) -> u64 {
        if self == Step::HandOver { 1_000 } else { 0 }
    }

    /// Injects the faults at this step, and sends requests before and after.
    pub(crate) async fn run(self, testbed: &Arc<Testbed>, faults: &[Fault]) -> StepRecord {
        let mut record = StepRecord { version: 2, ..StepRecord::default() };
        // Opens the connections that a fault may affect before it is injected.
        testbed.finish_batch(testbed.begin_batch(None)).await;
        match self {
            Step::BeforeSend => inject_all(testbed, faults),
            Step::HalfSent => inject_half_sent(testbed, faults).await,
            Step::Waiting => inject_while_held(testbed, faults, Hold::BeforeAnswer).await,
            Step::HalfAnswered => inject_while_held(testbed, faults, Hold::HalfAnswered).await,
            Step::AtRetry => inject_while_held(testbed, faults, Hold::BeforeShed).await,
            Step::HandOver => {
                record.stopping = Some(stop_owner(testbed));
                inject_all(testbed, faults);
            }
            Step::ConfigChange => {
                record.version = 3;
                publish(testbed, faults, None);
            }
            Step::EndpointDrain => {
                record.version = 3;
                for index in testbed.faulty_endpoints() {
                    testbed.endpoints[index].add_fault(EndpointFault::Draining);
                }
                publish(testbed, faults, Some(0));
                record.no_requests_from = Some(Instant::now() + DRAIN_LIMIT);
            }
            Step::Shutdown => inject_at_shutdown(testbed, faults, &mut record).await,
        }
        if faults.contains(&Fault::Endpoint(EndpointFault::Draining)) {
            record.no_requests_from.get_or_insert(Instant::now() + DRAIN_LIMIT);
        }
        testbed.finish_batch(testbed.begin_batch(None)).await;
        while record.no_requests_from.is_some_and(|from| Instant::now() <= from) {
            testbed.finish_batch(testbed.begin_batch(None)).await;
            tokio::time::sleep(DRAIN_LIMIT / 10).await;
        }
        if record.no_requests_from.is_some() {
            testbed.finish_batch(testbed.begin_batch(None)).await;
        }
        record
    }
}

fn inject_all(testbed: &Arc<Testbed>, faults: &[Fault]) {
    faults.iter().for_each(|fault| fault.inject(testbed));
}

async fn inject_half_sent(testbed: &Arc<Testbed>, faults: &[Fault]) {
    let (held_back, receiver) = watch::channel(true);
    let before = testbed.received_count();
    let batch = testbed.begin_batch(Some(&receiver));
    testbed.wait_until_received(&batch, before).await;
    inject_all(testbed, faults);
    held_back.send_replace(false);
    testbed.finish_batch(batch).await;
}

async fn inject_while_held(testbed: &Arc<Testbed>, faults: &[Fault], hold: Hold) {
    testbed.hold(hold);
    let batch = testbed.begin_batch(None);
    testbed.wait_until_held(&batch).await;
    inject_all(testbed, faults);
    testbed.hold(Hold::Nowhere);
    testbed.finish_batch(batch).await;
}

fn stop_owner(testbed: &Testbed) -> oneshot::Receiver<()> {
    testbed.stopped_vms.lock().unwrap().push(OWNER);
    testbed.vms[OWNER].stop()
}

/// Publishes a configuration around the injection of the faults: before it to one
/// VM, after it to the other one, unless the platform of that VM is what fails.
fn publish(testbed: &Arc<Testbed>, faults: &[Fault], leaving: Option<usize>) {
    testbed.publish(1 - OWNER, 3, leaving);
    inject_all(testbed, faults);
    if !faults.iter().any(|fault| fault.is_config_fault()) {
        testbed.publish(OWNER, 3, leaving);
    }
}

async fn inject_at_shutdown(testbed: &Arc<Testbed>, faults: &[Fault], record: &mut StepRecord) {
    testbed.hold(Hold::BeforeAnswer);
    let batch = testbed.begin_batch(None);
    testbed.wait_until_held(&batch).await;
    inject_all(testbed, faults);
    record.stopping = Some(stop_owner(testbed));
    testbed.hold(Hold::Nowhere);
    record.in_flight = testbed.finish_batch(batch).await;
}
