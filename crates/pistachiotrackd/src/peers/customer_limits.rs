//! Keeps customers to their rate limits, together with the other VMs.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use kameo::{
    Actor,
    message::{Context as MessageContext, Message},
};
use pistachiotrack_core::{
    admin::CustomerUsage,
    customer::Customer,
    customer_limit::{
        CustomerCount, CustomerLimitSettings, CustomerLimiter, LimitGroup, OverLimit, UsageReport,
    },
    membership::MemberState,
    message::MAX_DATAGRAM_BYTES,
    name::Name,
    vm::Vm,
};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, sync::watch};

use crate::{
    config::view::{ActiveConfig, FleetView},
    formats::datagram::DatagramCodec,
    peers::udp,
    runtime::{clock::Clock, timer::TimerEvent},
    stats::traffic::{Locality, Topic, Traffic},
};

/// First byte of the datagrams with reports.
pub(crate) const USAGE_TAG: u8 = 0x92;
/// Shortest interval of reports.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Bytes that a datagram needs beside its counts.
const ENVELOPE_BYTES: usize = 200;
/// Bytes of a count beside the customer's name.
const COUNT_BYTES: usize = 16;

/// A report and its sender.
#[derive(Debug, Serialize, Deserialize)]
struct SentReport {
    from: Name,
    report: UsageReport,
}

/// Admits requests of customers, and exchanges reports with the other VMs.
#[derive(Debug)]
pub(crate) struct CustomerLimits {
    me: Vm,
    clock: Clock,
    codec: DatagramCodec,
    limiter: Mutex<CustomerLimiter>,
    socket: Arc<UdpSocket>,
    view: watch::Receiver<Arc<FleetView>>,
    traffic: Arc<Traffic>,
}

impl CustomerLimits {
    /// Creates limits without counts; reports are sent over the membership socket.
    pub(crate) fn new(
        me: Vm,
        deployment: &str,
        settings: CustomerLimitSettings,
        clock: Clock,
        socket: Arc<UdpSocket>,
        view: watch::Receiver<Arc<FleetView>>,
        traffic: Arc<Traffic>,
    ) -> CustomerLimits {
        let limiter = Mutex::new(CustomerLimiter::new(settings, rand::rng().random()));
        let codec = DatagramCodec::new(USAGE_TAG, deployment);
        CustomerLimits { me, clock, codec, limiter, socket, view, traffic }
    }

    /// Admits a request of a customer unless its limit is used up.
    ///
    /// # Errors
    ///
    /// Returns when the customer's tokens are back.
    pub(crate) fn admit(&self, customer: &Customer) -> Result<(), OverLimit> {
        let Some(limit) = customer.rate_limit else { return Ok(()) };
        let random = rand::rng().random();
        self.with(|limiter| limiter.admit(self.clock.now(), &customer.name, limit, random))
    }

    /// Returns the limits of the customers with recent requests and their use.
    pub(crate) fn usage(&self) -> Vec<CustomerUsage> {
        self.with(|limiter| limiter.usage())
    }

    /// Handles a datagram from another VM.
    pub(crate) fn receive(&self, from: SocketAddr, bytes: &[u8]) {
        let sent: SentReport = match self.codec.decode(bytes) {
            Ok(sent) => sent,
            Err(error) => {
                log::debug!("event=usage_unused from={from} error={:?}", error.to_string());
                return;
            }
        };
        let view = Arc::clone(&self.view.borrow());
        let Some(active) = view.active.as_ref().filter(|_| sent.from != self.me.name) else {
            return;
        };
        let limit_of = |name: &Name| active.index().customer(name)?.rate_limit;
        let now = self.clock.now();
        self.with(|limiter| limiter.on_report(now, &sent.from, &sent.report, limit_of));
    }

    /// Sends the report that is due, if any.
    fn send_report(&self) {
        let view = Arc::clone(&self.view.borrow());
        let Some(active) = &view.active else { return };
        let now = self.clock.now();
        if !self.with(|limiter| limiter.is_report_due(now)) {
            return;
        }
        let group = Group::of(&view, active, &self.me);
        let limit_group = group.limit_group(&self.me);
        let (report, subscribers) = self.with(|limiter| {
            limiter.set_group(limit_group);
            let subscribers: Vec<Name> = limiter.subscribers(now).cloned().collect();
            (limiter.report(now), subscribers)
        });
        let Some(report) = report else { return };
        let find = |name: &Name| view.members.iter().find(|member| member.vm.name == *name);
        let subscribers = subscribers.iter().filter_map(find).map(|member| &member.vm);
        let recipients: Vec<&Vm> = group.others(&self.me).chain(subscribers).collect();
        for report in split(report) {
            let sent = SentReport { from: self.me.name.clone(), report };
            let Some(bytes) = self.codec.encode(&sent) else { return };
            for vm in &recipients {
                let locality = Locality::of(&vm.data_centre, &self.me.data_centre);
                let label = (Topic::CustomerUsage, locality);
                udp::send(&self.socket, vm.peer_address, &bytes, &self.traffic, label);
            }
        }
    }

    fn with<T>(&self, change: impl FnOnce(&mut CustomerLimiter) -> T) -> T {
        change(&mut self.limiter.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// The VMs that most requests enter through.
struct Group<'a> {
    vms: BTreeMap<&'a Name, &'a Vm>,
    expected: usize,
}

impl<'a> Group<'a> {
    /// Returns the dispatchers of all services, or all VMs if services have owners: callers may
    /// use any of them then.
    fn of(view: &'a FleetView, active: &'a ActiveConfig, me: &'a Vm) -> Group<'a> {
        let config = &active.config;
        let dispatchers = config.services.iter();
        let dispatchers = dispatchers.flat_map(|service| view.ownership.dispatchers(&service.name));
        let vms: BTreeMap<&Name, &Vm> = dispatchers.map(|vm| (&vm.name, vm)).collect();
        if !vms.is_empty() {
            let per_data_centre =
                config.services.iter().map(|service| service.dispatchers_per_data_centre).max();
            let expected = per_data_centre.unwrap_or(0) as usize * config.data_centres.len();
            let expected = expected.max(vms.len());
            return Group { vms, expected };
        }
        let alive = view.members.iter().filter(|member| member.state != MemberState::Dead);
        let vms = alive.map(|member| &member.vm).chain([me]).map(|vm| (&vm.name, vm));
        let vms: BTreeMap<&Name, &Vm> = vms.collect();
        Group { expected: vms.len(), vms }
    }

    fn others(&self, me: &Vm) -> impl Iterator<Item = &'a Vm> {
        self.vms.values().copied().filter(move |vm| vm.name != me.name)
    }

    fn limit_group(&self, me: &Vm) -> LimitGroup {
        LimitGroup {
            expected: self.expected,
            is_member: self.vms.contains_key(&me.name),
            others: self.others(me).map(|vm| vm.name.clone()).collect(),
        }
    }
}

/// Splits a report into parts that fit into a datagram.
fn split(report: UsageReport) -> Vec<UsageReport> {
    let UsageReport { count_id, sequence, counts } = report;
    let mut parts: Vec<Vec<CustomerCount>> = vec![Vec::new()];
    let mut room = MAX_DATAGRAM_BYTES - ENVELOPE_BYTES;
    for count in counts {
        let bytes = count.customer.len() + COUNT_BYTES;
        if bytes > room {
            parts.push(Vec::new());
            room = MAX_DATAGRAM_BYTES - ENVELOPE_BYTES;
        }
        room = room.saturating_sub(bytes);
        parts.last_mut().expect("there is a first part").push(count);
    }
    parts.into_iter().map(|counts| UsageReport { count_id, sequence, counts }).collect()
}

/// Actor that sends the reports.
#[derive(Actor)]
pub(crate) struct UsageReporter(pub(crate) Arc<CustomerLimits>);

impl Message<TimerEvent> for UsageReporter {
    type Reply = ();

    async fn handle(&mut self, event: TimerEvent, _: &mut MessageContext<Self, ()>) {
        if let TimerEvent::Tick(_) = event {
            self.0.send_report();
        }
    }
}
