//! The rows of the matrix: the faults and how they are injected.

use std::{
    sync::{Arc, atomic::Ordering, mpsc::Sender},
    time::{Duration, Instant},
};

use super::{
    endpoint::EndpointFault,
    testbed::{POLL_INTERVAL, SHORT_TIMEOUT, Testbed},
};
use crate::testenv::platform::PlatformFault;

/// A row of the matrix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    Endpoint(EndpointFault),
    CallerLinkSilent,
    PeerLinkSilent,
    EndpointLinkSilent,
    CutToEndpoint,
    CutFromEndpoint,
    CutToOwner,
    CutFromOwner,
    Partition,
    OwnerCrash,
    OwnerPause,
    ConfigDown,
    ConfigStale,
    ConfigOlder,
}

/// All faults with the names of their rows.
pub(crate) const FAULTS: [(&str, Fault); 24] = [
    ("gray endpoint", Fault::Endpoint(EndpointFault::Gray)),
    ("straggler", Fault::Endpoint(EndpointFault::Slow)),
    ("hang", Fault::Endpoint(EndpointFault::Hanging)),
    ("flapping", Fault::Endpoint(EndpointFault::Flapping)),
    ("endpoint draining", Fault::Endpoint(EndpointFault::Draining)),
    ("cold start", Fault::Endpoint(EndpointFault::ColdStart)),
    ("shedding", Fault::Endpoint(EndpointFault::Shedding)),
    ("lying load report", Fault::Endpoint(EndpointFault::WrongLoad)),
    ("answers late", Fault::Endpoint(EndpointFault::Late)),
    ("answers cut short", Fault::Endpoint(EndpointFault::TruncatesAnswers)),
    ("answers broken off", Fault::Endpoint(EndpointFault::ClosesWithoutAnswer)),
    ("silent caller-VM", Fault::CallerLinkSilent),
    ("silent VM-VM", Fault::PeerLinkSilent),
    ("silent VM-endpoint", Fault::EndpointLinkSilent),
    ("cut VM to endpoint", Fault::CutToEndpoint),
    ("cut endpoint to VM", Fault::CutFromEndpoint),
    ("cut VM to owner", Fault::CutToOwner),
    ("cut owner to VM", Fault::CutFromOwner),
    ("fleet partition", Fault::Partition),
    ("owner crash", Fault::OwnerCrash),
    ("owner pause", Fault::OwnerPause),
    ("config down", Fault::ConfigDown),
    ("config stale", Fault::ConfigStale),
    ("config older", Fault::ConfigOlder),
];

/// Longest pause of a VM.
const PAUSE_LIMIT: Duration = Duration::from_secs(4);

/// Index of the VM that owns the bookings.
pub(crate) const OWNER: usize = 0;
const OTHER_VM: usize = 1;

impl Fault {
    /// Returns the name of the row.
    pub(crate) fn name(self) -> &'static str {
        FAULTS.iter().find(|(_, fault)| *fault == self).map_or("?", |(name, _)| name)
    }

    /// Returns whether the fault is one of the owner's platform.
    pub(crate) fn is_config_fault(self) -> bool {
        matches!(self, Fault::ConfigDown | Fault::ConfigStale | Fault::ConfigOlder)
    }

    /// Returns whether the fault itself may close callers' connections or leave
    /// callers without an answer, whatever the VMs do.
    pub(crate) fn cuts_callers(self) -> bool {
        matches!(self, Fault::CallerLinkSilent | Fault::OwnerCrash)
    }

    /// Returns whether the fault itself may truncate an answer that has begun.
    pub(crate) fn cuts_answers(self) -> bool {
        use EndpointFault::{Hanging, Late, TruncatesAnswers};
        let is_endpoint_fault = matches!(self, Fault::Endpoint(Hanging | Late | TruncatesAnswers));
        is_endpoint_fault
            || self.cuts_callers()
            || self.is_link_fault()
            || self == Fault::OwnerPause
    }

    fn is_link_fault(self) -> bool {
        use Fault::{
            CutFromEndpoint, CutFromOwner, CutToEndpoint, CutToOwner, EndpointLinkSilent,
            Partition, PeerLinkSilent,
        };
        let at_endpoint = matches!(self, EndpointLinkSilent | CutToEndpoint | CutFromEndpoint);
        at_endpoint || matches!(self, PeerLinkSilent | CutToOwner | CutFromOwner | Partition)
    }

    /// Injects the fault.
    pub(crate) fn inject(self, testbed: &Arc<Testbed>) {
        match self {
            Fault::Endpoint(fault) => {
                testbed
                    .faulty_endpoints()
                    .iter()
                    .for_each(|index| testbed.endpoints[*index].add_fault(fault));
            }
            Fault::CallerLinkSilent => {
                *testbed.timeout.lock().unwrap() = SHORT_TIMEOUT;
                testbed.caller_links.iter().for_each(|link| link.faults.silence_open());
            }
            Fault::PeerLinkSilent => {
                testbed.peer_links.iter().for_each(|link| link.faults.silence_open());
            }
            Fault::EndpointLinkSilent => {
                testbed.endpoint_links.iter().for_each(|link| link.faults.silence_open());
            }
            Fault::CutToEndpoint => {
                for index in testbed.faulty_endpoints() {
                    testbed.endpoint_links[index]
                        .faults
                        .drop_to_target
                        .store(true, Ordering::SeqCst);
                }
            }
            Fault::CutFromEndpoint => {
                for index in testbed.faulty_endpoints() {
                    testbed.endpoint_links[index]
                        .faults
                        .drop_from_target
                        .store(true, Ordering::SeqCst);
                }
            }
            Fault::CutToOwner => cut(testbed, OTHER_VM, OWNER),
            Fault::CutFromOwner => cut(testbed, OWNER, OTHER_VM),
            Fault::Partition => {
                cut(testbed, OWNER, OTHER_VM);
                cut(testbed, OTHER_VM, OWNER);
            }
            Fault::OwnerCrash => {
                testbed.stopped_vms.lock().unwrap().push(OWNER);
                testbed.vms[OWNER].crash();
            }
            Fault::OwnerPause => {
                let resume = testbed.vms[OWNER].pause();
                tokio::spawn(resume_when_dead(Arc::clone(testbed), resume));
            }
            Fault::ConfigDown => testbed.platforms[OWNER].set_fault(PlatformFault::Unavailable),
            Fault::ConfigStale => {}
            Fault::ConfigOlder => {
                testbed.publish(OWNER, 1, None);
                testbed.platforms[OWNER].set_fault(PlatformFault::AnswersStale);
            }
        }
    }
}

/// Resumes a paused VM when the other one considers it dead, or after
/// [`PAUSE_LIMIT`]. It then has requests in flight and outdated state.
async fn resume_when_dead(testbed: Arc<Testbed>, resume: Sender<()>) {
    let start = Instant::now();
    while start.elapsed() < PAUSE_LIMIT && !testbed.considers_peer_dead(OTHER_VM).await {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    drop(resume);
}

/// Drops all data that one VM sends to the other one.
fn cut(testbed: &Testbed, from: usize, to: usize) {
    testbed.peer_links[to].faults.drop_to_target.store(true, Ordering::SeqCst);
    testbed.peer_links[from].faults.drop_from_target.store(true, Ordering::SeqCst);
}

/// Removes all faults that can be removed.
pub(crate) fn remove_faults(testbed: &Testbed) {
    testbed.endpoints.iter().for_each(|endpoint| endpoint.clear_faults());
    let links =
        testbed.endpoint_links.iter().chain(&testbed.peer_links).chain(&testbed.caller_links);
    links.for_each(|link| link.faults.pass());
    testbed.platforms.iter().for_each(|platform| platform.set_fault(PlatformFault::None));
}
