//! Holds requests that crash endpoints in quarantine, together with the other VMs.

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
use crate::{
    formats::inbound::Inbound,
    runtime::{clock::Clock, timer::TimerEvent},
};

/// Decides which requests are held, and sends updates to the other VMs.
#[derive(Debug)]
pub(crate) struct QuarantineManager {
    clock: Clock,
    quarantine: Mutex<Quarantine>,
    /// Whether no request is tracked, so that most requests need no fingerprint.
    is_empty: AtomicBool,
    transport: QuarantineTransport,
}

impl QuarantineManager {
    /// Creates a manager without any records.
    pub(crate) fn new(
        clock: Clock,
        settings: QuarantineSettings,
        transport: QuarantineTransport,
        seed: u64,
    ) -> QuarantineManager {
        let quarantine = Mutex::new(Quarantine::new(settings, seed));
        QuarantineManager { clock, quarantine, is_empty: AtomicBool::new(true), transport }
    }

    /// Returns the remaining hold time of a received request, if it is held.
    pub(crate) fn remaining_hold(&self, inbound: &Inbound) -> Option<Duration> {
        if self.is_empty.load(Ordering::Relaxed) {
            return None;
        }
        self.with(|quarantine| quarantine.remaining_hold(self.clock.now(), inbound.fingerprint()))
    }

    /// Returns whether a request may be sent to an endpoint.
    pub(crate) fn admit(&self, inbound: &Inbound) -> DispatchDecision {
        if self.is_empty.load(Ordering::Relaxed) {
            return DispatchDecision::Send;
        }
        let (request, service) = (inbound.fingerprint(), &inbound.route.shard.service);
        if !self.with(|quarantine| quarantine.is_tracked(request)) {
            return DispatchDecision::Send;
        }
        let may_try = self.transport.is_trial_owner(request, service);
        let decision = self.with(|quarantine| quarantine.admit(self.clock.now(), request, may_try));
        if decision == DispatchDecision::Trial {
            log::info!("event=request_tried request={} fingerprint={request}", inbound.fleet_id);
            self.send_updates();
        }
        decision
    }

    /// Records that an endpoint crashed while it ran a request.
    pub(crate) fn on_crash(&self, request: Fingerprint, service: &Name, endpoint: &Name) {
        let key = EndpointKey::of(endpoint);
        let change =
            self.with(|quarantine| quarantine.on_crash(self.clock.now(), request, service, key));
        let Some(change) = change else { return };
        log_change(request, change, &format!("endpoint={endpoint}"));
        self.send_updates();
    }

    /// Records that a request got a complete answer.
    pub(crate) fn on_answered(&self, inbound: &Inbound) {
        if self.is_empty.load(Ordering::Relaxed) {
            return;
        }
        let (request, service) = (inbound.fingerprint(), &inbound.route.shard.service);
        let change =
            self.with(|quarantine| quarantine.on_answered(self.clock.now(), request, service));
        let Some(change) = change else { return };
        log_change(request, change, &format!("request={}", inbound.fleet_id));
        self.send_updates();
    }

    /// Handles a datagram from another VM.
    pub(crate) fn receive(&self, from: SocketAddr, bytes: &[u8]) {
        let updates = match self.transport.read(bytes) {
            Ok(updates) => updates,
            Err(error) => {
                log::debug!("event=quarantine_unused from={from} error={:?}", error.to_string());
                return;
            }
        };
        let mut newer = Vec::new();
        for update in updates {
            let applied = self.with(|quarantine| quarantine.on_update(self.clock.now(), &update));
            if let Some(change) = applied.0 {
                log_change(update.request, change, &format!("told_by={from}"));
            }
            newer.extend(applied.1);
        }
        if !newer.is_empty() {
            self.transport.reply(from, newer);
        }
    }

    /// Returns the status of all records, for the admin port.
    pub(crate) fn statuses(&self) -> Vec<QuarantineStatus> {
        self.with(|quarantine| quarantine.statuses(self.clock.now()))
    }

    /// Sends the due updates to other VMs.
    fn send_updates(&self) {
        let batches = self.with(|quarantine| quarantine.on_gossip_round(self.clock.now()));
        for batch in batches {
            self.transport.send_batch(batch);
        }
    }

    fn with<T>(&self, change: impl FnOnce(&mut Quarantine) -> T) -> T {
        let mut quarantine = self.quarantine.lock().unwrap_or_else(PoisonError::into_inner);
        let result = change(&mut quarantine);
        self.is_empty.store(quarantine.is_empty(), Ordering::Relaxed);
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

/// Actor that sends updates to other VMs in gossip rounds.
#[derive(Actor)]
pub(crate) struct QuarantineGossip(pub(crate) Arc<QuarantineManager>);

impl Message<TimerEvent> for QuarantineGossip {
    type Reply = ();

    async fn handle(&mut self, event: TimerEvent, _: &mut MessageContext<Self, ()>) {
        let is_due = !self.0.is_empty.load(Ordering::Relaxed);
        if let (TimerEvent::Tick(_), true) = (event, is_due) {
            self.0.send_updates();
        }
    }
}
