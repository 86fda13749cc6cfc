//! The rows of the matrix: what goes wrong, and how it is armed.

use std::{
    sync::{Arc, atomic::Ordering, mpsc::Sender},
    time::{Duration, Instant},
};

use super::{
    endpoint::Sickness,
    world::{LOOK_INTERVAL, SHORT_PATIENCE, World},
};
use crate::testenv::platform::PlatformFault;

/// A row of the matrix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    Sick(Sickness),
    CallerLegSilent,
    PeerLegSilent,
    EndpointLegSilent,
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

/// All rows with their names.
pub(crate) const FAULTS: [(&str, Fault); 24] = [
    ("gray endpoint", Fault::Sick(Sickness::Gray)),
    ("straggler", Fault::Sick(Sickness::Straggles)),
    ("hang", Fault::Sick(Sickness::Hangs)),
    ("flapping", Fault::Sick(Sickness::Flaps)),
    ("endpoint draining", Fault::Sick(Sickness::Draining)),
    ("cold start", Fault::Sick(Sickness::Cold)),
    ("shedding", Fault::Sick(Sickness::Sheds)),
    ("lying load report", Fault::Sick(Sickness::Lies)),
    ("answers late", Fault::Sick(Sickness::Late)),
    ("answers cut short", Fault::Sick(Sickness::CutsShort)),
    ("answers broken off", Fault::Sick(Sickness::BreaksOff)),
    ("silent caller-VM", Fault::CallerLegSilent),
    ("silent VM-VM", Fault::PeerLegSilent),
    ("silent VM-endpoint", Fault::EndpointLegSilent),
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

/// The VM that owns the bookings.
pub(crate) const OWNER: usize = 0;
const OTHER: usize = 1;

impl Fault {
    /// Returns the name of the row.
    pub(crate) fn name(self) -> &'static str {
        FAULTS.iter().find(|(_, fault)| *fault == self).map_or("?", |(name, _)| name)
    }

    /// Returns whether the owner's platform is what is at fault.
    pub(crate) fn is_of_config(self) -> bool {
        matches!(self, Fault::ConfigDown | Fault::ConfigStale | Fault::ConfigOlder)
    }

    /// Returns whether callers may be cut off or left without an answer by the
    /// fault itself, whatever the VMs do.
    pub(crate) fn cuts_callers(self) -> bool {
        matches!(self, Fault::CallerLegSilent | Fault::OwnerCrash)
    }

    /// Returns whether an answer that has begun may be cut by the fault itself.
    pub(crate) fn cuts_answers(self) -> bool {
        use Sickness::{CutsShort, Hangs, Late};
        let sick = matches!(self, Fault::Sick(Hangs | Late | CutsShort));
        sick || self.cuts_callers() || self.is_of_leg() || self == Fault::OwnerPause
    }

    fn is_of_leg(self) -> bool {
        use Fault::{
            CutFromEndpoint, CutFromOwner, CutToEndpoint, CutToOwner, EndpointLegSilent, Partition,
            PeerLegSilent,
        };
        let of_endpoint = matches!(self, EndpointLegSilent | CutToEndpoint | CutFromEndpoint);
        of_endpoint || matches!(self, PeerLegSilent | CutToOwner | CutFromOwner | Partition)
    }

    /// Lets the fault strike.
    pub(crate) fn arm(self, world: &Arc<World>) {
        match self {
            Fault::Sick(sickness) => {
                world.sick().iter().for_each(|index| world.endpoints[*index].fall_sick(sickness));
            }
            Fault::CallerLegSilent => {
                *world.patience.lock().unwrap() = SHORT_PATIENCE;
                world.caller_legs.iter().for_each(|leg| leg.switches.silence_open());
            }
            Fault::PeerLegSilent => {
                world.peer_legs.iter().for_each(|leg| leg.switches.silence_open());
            }
            Fault::EndpointLegSilent => {
                world.endpoint_legs.iter().for_each(|leg| leg.switches.silence_open());
            }
            Fault::CutToEndpoint => {
                for index in world.sick() {
                    world.endpoint_legs[index].switches.drop_forth.store(true, Ordering::SeqCst);
                }
            }
            Fault::CutFromEndpoint => {
                for index in world.sick() {
                    world.endpoint_legs[index].switches.drop_back.store(true, Ordering::SeqCst);
                }
            }
            Fault::CutToOwner => cut(world, OTHER, OWNER),
            Fault::CutFromOwner => cut(world, OWNER, OTHER),
            Fault::Partition => {
                cut(world, OWNER, OTHER);
                cut(world, OTHER, OWNER);
            }
            Fault::OwnerCrash => {
                world.gone.lock().unwrap().push(OWNER);
                world.vms[OWNER].crash();
            }
            Fault::OwnerPause => {
                let resume = world.vms[OWNER].pause();
                tokio::spawn(resume_late(Arc::clone(world), resume));
            }
            Fault::ConfigDown => world.platforms[OWNER].set_fault(PlatformFault::Unavailable),
            Fault::ConfigStale => {}
            Fault::ConfigOlder => {
                world.publish(OWNER, 1, None);
                world.platforms[OWNER].set_fault(PlatformFault::AnswersStale);
            }
        }
    }
}

/// Lets a paused VM go on when the other one has given it up, or after a while,
/// with requests in flight at it and old facts in its memory.
async fn resume_late(world: Arc<World>, resume: Sender<()>) {
    let start = Instant::now();
    while start.elapsed() < PAUSE_LIMIT && !world.is_given_up(OTHER).await {
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    drop(resume);
}

/// Drops everything that one VM sends to the other one.
fn cut(world: &World, from: usize, to: usize) {
    world.peer_legs[to].switches.drop_forth.store(true, Ordering::SeqCst);
    world.peer_legs[from].switches.drop_back.store(true, Ordering::SeqCst);
}

/// Mends all that can be mended.
pub(crate) fn disarm(world: &World) {
    world.endpoints.iter().for_each(|endpoint| endpoint.heal());
    let legs = world.endpoint_legs.iter().chain(&world.peer_legs).chain(&world.caller_legs);
    legs.for_each(|leg| leg.switches.pass());
    world.platforms.iter().for_each(|platform| platform.set_fault(PlatformFault::None));
}
