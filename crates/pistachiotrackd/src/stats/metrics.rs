//! Counters of the daemon, exposed at the admin port and sent to statsd.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use cadence::{
    BufferedUdpMetricSink, Counted, MetricError, QueuingMetricSink, StatsdClient, Timed,
};
use pistachiotrack_core::{admin::Counter, name::Name, request::Class};

/// Prefix of every metric name.
const METRIC_PREFIX: &str = "pistachiotrack";
/// Maximum number of queued statsd metrics; further ones are dropped.
const MAX_QUEUED_METRICS: usize = 4_096;

/// Events that the daemon counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// A request was received from a caller.
    Request,
    /// An endpoint's response was returned to the caller.
    Answer,
    /// A request was refused and certainly not executed.
    RefusedNotRun,
    /// A request was refused and may have been executed.
    RefusedUnknown,
    /// A caller closed its connection before its response began.
    CallerGone,
    /// A request was forwarded to another VM.
    Forwarded,
    /// Forwarding a request to another VM failed.
    ForwardFailed,
    /// A request was forwarded a second time, since its response was late.
    ForwardedAgain,
    /// A request was handed to another VM because this one reaches no endpoint.
    HandedOver,
    /// A request arrived from another VM once more while it was being served.
    CopyJoined,
    /// A request was received from another VM.
    PeerRequest,
    /// A request was dispatched to an endpoint.
    Dispatch,
    /// An attempt wasn't sent because it was too late for it.
    HeldBack,
    /// A health check was sent.
    Probe,
    /// A connection was rejected because too many are open.
    ConnectionRejected,
    /// A configuration was read and rejected as invalid.
    ConfigRejected,
    /// A datagram from a dispatcher was dropped because it has another version or
    /// deployment, or can't be decoded.
    ShardDatagramDropped,
    /// An endpoint closed a request's connection and accepts no new ones.
    EndpointCrash,
}

impl Event {
    const ALL: [Event; 18] = [
        Event::Request,
        Event::Answer,
        Event::RefusedNotRun,
        Event::RefusedUnknown,
        Event::CallerGone,
        Event::Forwarded,
        Event::ForwardFailed,
        Event::ForwardedAgain,
        Event::HandedOver,
        Event::CopyJoined,
        Event::PeerRequest,
        Event::Dispatch,
        Event::HeldBack,
        Event::Probe,
        Event::ConnectionRejected,
        Event::ConfigRejected,
        Event::ShardDatagramDropped,
        Event::EndpointCrash,
    ];

    fn name(self) -> &'static str {
        match self {
            Event::Request => "requests",
            Event::Answer => "answers",
            Event::RefusedNotRun => "refused_not_run",
            Event::RefusedUnknown => "refused_unknown",
            Event::CallerGone => "callers_gone",
            Event::Forwarded => "forwarded",
            Event::ForwardFailed => "forward_failed",
            Event::ForwardedAgain => "forwarded_again",
            Event::HandedOver => "handed_over",
            Event::CopyJoined => "copies_joined",
            Event::PeerRequest => "peer_requests",
            Event::Dispatch => "dispatches",
            Event::HeldBack => "held_back",
            Event::Probe => "probes",
            Event::ConnectionRejected => "connections_turned_away",
            Event::ConfigRejected => "configs_rejected",
            Event::ShardDatagramDropped => "news_unused",
            Event::EndpointCrash => "endpoint_crashes",
        }
    }
}

/// The counters, and the statsd client that they are sent to.
#[derive(Debug)]
pub(crate) struct Metrics {
    counters: [AtomicU64; Event::ALL.len()],
    statsd: Option<StatsdClient>,
}

impl Metrics {
    /// Creates the counters; they are sent to `statsd_address` if it is set.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket can't be created.
    pub(crate) fn new(statsd_address: Option<SocketAddr>) -> Result<Metrics, MetricError> {
        let statsd = statsd_address.map(client).transpose()?;
        Ok(Metrics { counters: Default::default(), statsd })
    }

    /// Increments the counter of an event.
    pub(crate) fn count(&self, event: Event) {
        self.counters[event as usize].fetch_add(1, Ordering::Relaxed);
        if let Some(statsd) = &self.statsd {
            // A metric that can't be queued is dropped, so that requests don't wait for it.
            let _ = statsd.count(event.name(), 1);
        }
    }

    /// Sends the latency of a request to statsd.
    pub(crate) fn time(&self, class: Class, latency: Duration) {
        if let Some(statsd) = &self.statsd {
            let _ = statsd
                .time_with_tags("latency", latency)
                .with_tag("class", class.as_str())
                .try_send();
        }
    }

    /// Returns the counters for the admin port.
    pub(crate) fn counters(&self) -> Vec<Counter> {
        Event::ALL
            .into_iter()
            .map(|event| Counter {
                name: Name::from(event.name()),
                value: self.counters[event as usize].load(Ordering::Relaxed),
            })
            .collect()
    }
}

fn client(address: SocketAddr) -> Result<StatsdClient, MetricError> {
    let unspecified = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(unspecified)?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(address, socket)?;
    Ok(StatsdClient::from_sink(
        METRIC_PREFIX,
        QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS),
    ))
}
