//! Counters of the daemon, shown at the admin port and sent to statsd.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use cadence::{
    BufferedUdpMetricSink, Counted, MetricError, QueuingMetricSink, StatsdClient, Timed,
};
use pistachiotrack_core::{admin::Counter, name::Name, request::Class};

/// Prefix of every metric.
const PREFIX: &str = "pistachiotrack";
/// Metrics that may wait to be sent; more are dropped.
const QUEUED_METRICS: usize = 4_096;

/// What the daemon counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// A caller's request came in.
    Request,
    /// An endpoint's answer was passed on.
    Answer,
    /// A request was refused and was certainly not run.
    RefusedNotRun,
    /// A request was refused and may have run.
    RefusedUnknown,
    /// A caller went away before its answer began.
    CallerGone,
    /// A request was sent on to another VM.
    Forwarded,
    /// Sending a request on to another VM failed.
    ForwardFailed,
    /// A request was sent on once more, as its answer was long in coming.
    ForwardedAgain,
    /// A request of another VM came in.
    PeerRequest,
    /// A request was dispatched to an endpoint.
    Dispatch,
    /// An attempt was held back because its moment had passed.
    HeldBack,
    /// A health check was sent.
    Probe,
    /// A connection was turned away because too many are open.
    ConnectionRejected,
    /// A configuration was read and not accepted.
    ConfigRejected,
    /// A datagram of another dispatcher was of another version or deployment, or couldn't
    /// be read.
    ShardDatagramDropped,
    /// An endpoint broke a request's connection and takes no new ones.
    EndpointCrash,
}

impl Event {
    const ALL: [Event; 16] = [
        Event::Request,
        Event::Answer,
        Event::RefusedNotRun,
        Event::RefusedUnknown,
        Event::CallerGone,
        Event::Forwarded,
        Event::ForwardFailed,
        Event::ForwardedAgain,
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

/// The counters and where they are sent.
#[derive(Debug)]
pub(crate) struct Metrics {
    counters: [AtomicU64; Event::ALL.len()],
    statsd: Option<StatsdClient>,
}

impl Metrics {
    /// Creates the counters; they are sent to `statsd_address` if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be had.
    pub(crate) fn new(statsd_address: Option<SocketAddr>) -> Result<Metrics, MetricError> {
        let statsd = statsd_address.map(client).transpose()?;
        Ok(Metrics { counters: Default::default(), statsd })
    }

    /// Counts an event.
    pub(crate) fn count(&self, event: Event) {
        self.counters[event as usize].fetch_add(1, Ordering::Relaxed);
        if let Some(statsd) = &self.statsd {
            // A metric that can't be queued is lost; requests don't wait for it.
            let _ = statsd.count(event.name(), 1);
        }
    }

    /// Sends the latency of a request.
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
    let any = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(any)?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(address, socket)?;
    Ok(StatsdClient::from_sink(PREFIX, QueuingMetricSink::with_capacity(sink, QUEUED_METRICS)))
}
