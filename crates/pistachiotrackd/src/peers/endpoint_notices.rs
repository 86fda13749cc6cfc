//! What endpoints ask of this VM: the record that all its shards share.
//!
//! A shard may stop and start again, and a VM passes on answers to requests that its shards did not
//! send. The record therefore belongs to the VM, and its shards follow it.

use std::sync::{Arc, Mutex, PoisonError};

use kameo::actor::{Recipient, WeakRecipient};
use pistachiotrack_core::{
    endpoint_notice::{EndpointNotice, EndpointNotices, NoticeChange},
    name::Name,
};
use rustc_hash::FxHashMap;

use crate::runtime::clock::Clock;

/// Reports what an endpoint asks of this VM.
pub(crate) struct EndpointNoticed {
    /// The endpoint.
    pub(crate) endpoint: Name,
    /// What it asks.
    pub(crate) notice: EndpointNotice,
}

/// How this VM learned of a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoticeSource {
    /// In an answer to a request.
    Answer,
    /// In an answer to a health check.
    Probe,
    /// In an answer to a request that it relayed for another VM.
    Relay,
    /// In an answer to a request that it forwarded to another VM.
    Forward,
    /// In an update of another VM.
    Peer,
}

impl NoticeSource {
    fn as_str(self) -> &'static str {
        match self {
            NoticeSource::Answer => "answer",
            NoticeSource::Probe => "probe",
            NoticeSource::Relay => "relay",
            NoticeSource::Forward => "forward",
            NoticeSource::Peer => "peer",
        }
    }
}

/// Record of the notices of all endpoints.
#[derive(Debug)]
pub(crate) struct NoticeTable {
    clock: Clock,
    services: Mutex<FxHashMap<Name, ServiceNotices>>,
}

#[derive(Debug, Default)]
struct ServiceNotices {
    notices: EndpointNotices,
    /// Shards of the service that run on this VM.
    shards: Vec<WeakRecipient<EndpointNoticed>>,
}

impl NoticeTable {
    /// Creates an empty record.
    pub(crate) fn new(clock: Clock) -> NoticeTable {
        NoticeTable { clock, services: Mutex::default() }
    }

    /// Sends notices of a service's endpoints to a shard from now on; returns those on record.
    pub(crate) fn subscribe(
        &self,
        service: &Name,
        shard: &Recipient<EndpointNoticed>,
    ) -> EndpointNotices {
        self.with_service(service, |service| {
            service.shards.retain(|shard| shard.upgrade().is_some());
            service.shards.push(shard.downgrade());
            service.notices.clone()
        })
    }

    /// Returns the gate that requests to an endpoint pass.
    pub(crate) fn gate(self: &Arc<Self>, service: &Name, endpoint: &Name) -> EndpointGate {
        let notices = Arc::clone(self);
        EndpointGate { notices, service: service.clone(), endpoint: endpoint.clone() }
    }

    /// Records a notice and sends it to the shards of the service.
    ///
    /// A shard receives it before any outcome that is reported to it afterwards.
    pub(crate) fn record(
        &self,
        service: &Name,
        endpoint: &Name,
        notice: EndpointNotice,
        source: NoticeSource,
    ) {
        if notice.is_empty() {
            return;
        }
        let now = self.clock.now();
        let change = self.with_service(service, |service| {
            let change = service.notices.record(now, endpoint, notice);
            if change.is_some() {
                service.send(endpoint, notice);
            }
            change
        });
        if change == Some(NoticeChange::New) {
            let source = source.as_str();
            log::info!(
                "event=endpoint_notice service={service} endpoint={endpoint} {notice} \
                 source={source}"
            );
        }
    }

    /// Returns what an endpoint has asked for and still holds.
    pub(crate) fn holding(&self, service: &Name, endpoint: &str) -> EndpointNotice {
        let services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let notices = services.get(service).map(|service| &service.notices);
        notices.map(|notices| notices.holding(self.clock.now(), endpoint)).unwrap_or_default()
    }

    fn with_service<T>(&self, service: &Name, change: impl FnOnce(&mut ServiceNotices) -> T) -> T {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(service) = services.get_mut(service) {
            return change(service);
        }
        change(services.entry(service.clone()).or_default())
    }
}

impl ServiceNotices {
    fn send(&self, endpoint: &Name, notice: EndpointNotice) {
        for shard in self.shards.iter().filter_map(WeakRecipient::upgrade) {
            // A stopped shard needs no notice; it gets the record when it starts again.
            let _ = shard.tell(EndpointNoticed { endpoint: endpoint.clone(), notice }).try_send();
        }
    }
}

/// Checks just before a request is sent that its endpoint accepts requests from this VM: the
/// endpoint may have asked for none while the request waited for a connection.
#[derive(Clone, Debug)]
pub(crate) struct EndpointGate {
    notices: Arc<NoticeTable>,
    service: Name,
    /// The endpoint.
    pub(crate) endpoint: Name,
}

impl EndpointGate {
    /// Checks whether a request may be sent.
    ///
    /// # Errors
    ///
    /// Returns what the endpoint has asked for.
    pub(crate) fn check(&self) -> Result<(), EndpointNotice> {
        let notice = self.notices.holding(&self.service, &self.endpoint);
        if notice.is_empty() { Ok(()) } else { Err(notice) }
    }

    /// Records a notice of the endpoint.
    pub(crate) fn record(&self, notice: EndpointNotice, source: NoticeSource) {
        self.notices.record(&self.service, &self.endpoint, notice, source);
    }
}
