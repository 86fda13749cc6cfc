//! Holds back requests that crash endpoints, together with the other VMs.

mod transport;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use kameo::{
    Actor,
    message::{Context as MessageContext, Message},
};
use pistachiotrack_core::{
    admin::QuarantineStatus,
    fingerprint::Fingerprint,
    name::Name,
    quarantine::{DispatchDecision, Quarantine, QuarantineChange, QuarantineSettings},
    shard::EndpointKey,
};

pub(crate) use self::transport::{QUARANTINE_TAG, QuarantineTransport};
use crate::{clock::Clock, inbound::Inbound, timer::TimerEvent};

/// Decides which requests are held back, and tells the other VMs.
#[derive(Debug)]
pub(crate) struct QuarantineManager {
    clock: Clock,
    known: Mutex<Quarantine>,
    /// Whether nothing is known, so that most requests need no fingerprint.
    is_empty: AtomicBool,
    link: QuarantineTransport,
}

impl QuarantineManager {
    /// Creates a gate that holds nothing back.
    pub(crate) fn new(
        clock: Clock,
        settings: QuarantineSettings,
        link: QuarantineTransport,
        seed: u64,
    ) -> QuarantineManager {
        let known = Mutex::new(Quarantine::new(settings, seed));
        QuarantineManager { clock, known, is_empty: AtomicBool::new(true), link }
    }

    /// Returns how long a request that has just come in is held back, if it is.
    pub(crate) fn held_for(&self, inbound: &Inbound) -> Option<Duration> {
        if self.is_empty.load(Ordering::Relaxed) {
            return None;
        }
        self.with(|known| known.remaining_hold(self.clock.now(), inbound.fingerprint()))
    }

    /// Decides about a request that is about to be sent to an endpoint.
    pub(crate) fn admit(&self, inbound: &Inbound) -> DispatchDecision {
        if self.is_empty.load(Ordering::Relaxed) {
            return DispatchDecision::Send;
        }
        let (request, service) = (inbound.fingerprint(), &inbound.route.shard.service);
        if !self.with(|known| known.is_tracked(request)) {
            return DispatchDecision::Send;
        }
        let may_try = self.link.is_placed_here(request, service);
        let admission = self.with(|known| known.admit(self.clock.now(), request, may_try));
        if admission == DispatchDecision::Trial {
            log::info!("event=request_tried request={} fingerprint={request}", inbound.fleet_id);
            self.tell();
        }
        admission
    }

    /// Notes that an endpoint ended while it ran a request.
    pub(crate) fn on_crash(&self, request: Fingerprint, service: &Name, endpoint: &Name) {
        let key = EndpointKey::of(endpoint);
        let change = self.with(|known| known.on_crash(self.clock.now(), request, service, key));
        let Some(change) = change else { return };
        log_change(request, change, &format!("endpoint={endpoint}"));
        self.tell();
    }

    /// Notes that a request brought a whole answer.
    pub(crate) fn on_answered(&self, inbound: &Inbound) {
        if self.is_empty.load(Ordering::Relaxed) {
            return;
        }
        let (request, service) = (inbound.fingerprint(), &inbound.route.shard.service);
        let change = self.with(|known| known.on_answered(self.clock.now(), request, service));
        let Some(change) = change else { return };
        log_change(request, change, &format!("request={}", inbound.fleet_id));
        self.tell();
    }

    /// Takes a datagram of another VM.
    pub(crate) fn receive(&self, from: SocketAddr, bytes: &[u8]) {
        let notes = match self.link.read(bytes) {
            Ok(notes) => notes,
            Err(error) => {
                log::debug!("event=quarantine_unused from={from} error={:?}", error.to_string());
                return;
            }
        };
        let mut newer = Vec::new();
        for note in notes {
            let taken = self.with(|known| known.on_update(self.clock.now(), &note));
            if let Some(change) = taken.0 {
                log_change(note.request, change, &format!("told_by={from}"));
            }
            newer.extend(taken.1);
        }
        if !newer.is_empty() {
            self.link.answer(from, newer);
        }
    }

    /// Returns what is known, for the admin port.
    pub(crate) fn statuses(&self) -> Vec<QuarantineStatus> {
        self.with(|known| known.statuses(self.clock.now()))
    }

    /// Tells other VMs what they have to know.
    fn tell(&self) {
        let tellings = self.with(|known| known.on_gossip_round(self.clock.now()));
        for telling in tellings {
            self.link.tell(telling);
        }
    }

    fn with<T>(&self, change: impl FnOnce(&mut Quarantine) -> T) -> T {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let result = change(&mut known);
        self.is_empty.store(known.is_empty(), Ordering::Relaxed);
        result
    }
}

fn log_change(request: Fingerprint, change: QuarantineChange, cause: &str) {
    match change {
        QuarantineChange::Suspected { crashes } => {
            log::warn!("event=request_suspected fingerprint={request} crashes={crashes} {cause}");
        }
        QuarantineChange::Held { crashes } => {
            log::warn!("event=request_held fingerprint={request} crashes={crashes} {cause}");
        }
        QuarantineChange::Cleared => {
            log::info!("event=request_cleared fingerprint={request} {cause}")
        }
    }
}

/// The actor that tells other VMs in rounds.
#[derive(Actor)]
pub(crate) struct QuarantineGossip(pub(crate) Arc<QuarantineManager>);

impl Message<TimerEvent> for QuarantineGossip {
    type Reply = ();

    async fn handle(&mut self, event: TimerEvent, _: &mut MessageContext<Self, ()>) {
        let is_due = !self.0.is_empty.load(Ordering::Relaxed);
        if let (TimerEvent::Tick(_), true) = (event, is_due) {
            self.0.tell();
        }
    }
}
