//! Counts of sent and received messages, by topic and by locality of the other end.

use std::sync::atomic::{AtomicU64, Ordering};

use pistachiotrack_core::{admin::Counter, name::Name};

/// Topic of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Topic {
    /// Fleet membership.
    Membership,
    /// State updates between dispatchers.
    ShardUpdate,
    /// Snapshots of a shard's state, and requests for them.
    ShardSnapshot,
    /// Rights to send retries, and requests for them.
    RetryRights,
    /// Updates about requests that crash endpoints.
    Quarantine,
    /// Confirmations that the configuration is the newest one.
    Lease,
    /// Reports of what VMs have admitted for customers.
    CustomerUsage,
    /// Configuration pulls and their responses.
    Configuration,
    /// Hand-overs of a shard's state.
    HandOver,
    /// Checks whether another VM can reach an endpoint.
    Reach,
    /// Reads of the platform.
    Platform,
    /// Requests forwarded to the owner of their shard, and the responses.
    Forwarded,
    /// Requests to endpoints, and the responses.
    Endpoint,
}

impl Topic {
    const ALL: [Topic; 13] = [
        Topic::Membership,
        Topic::ShardUpdate,
        Topic::ShardSnapshot,
        Topic::RetryRights,
        Topic::Quarantine,
        Topic::Lease,
        Topic::CustomerUsage,
        Topic::Configuration,
        Topic::HandOver,
        Topic::Reach,
        Topic::Platform,
        Topic::Forwarded,
        Topic::Endpoint,
    ];

    fn as_str(self) -> &'static str {
        match self {
            Topic::Membership => "membership",
            Topic::ShardUpdate => "news",
            Topic::ShardSnapshot => "picture",
            Topic::RetryRights => "retry_rights",
            Topic::Quarantine => "quarantine",
            Topic::Lease => "lease",
            Topic::CustomerUsage => "customer_usage",
            Topic::Configuration => "configuration",
            Topic::HandOver => "hand_over",
            Topic::Reach => "reach",
            Topic::Platform => "platform",
            Topic::Forwarded => "forwarded",
            Topic::Endpoint => "endpoint",
        }
    }

    /// Returns whether messages of this topic are control traffic of the fleet, not requests.
    fn is_control(self) -> bool {
        !matches!(self, Topic::Forwarded | Topic::Endpoint)
    }
}

/// Locality of the other end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Locality {
    /// In this VM's data centre.
    Near,
    /// In another data centre.
    Far,
    /// Unknown: a VM that is no member yet, or the platform.
    Unknown,
}

impl Locality {
    const ALL: [Locality; 3] = [Locality::Near, Locality::Far, Locality::Unknown];

    /// Returns the locality of something in `data_centre` relative to the data centre `from`.
    pub(crate) fn of(data_centre: &str, from: &str) -> Locality {
        if data_centre == from { Locality::Near } else { Locality::Far }
    }

    fn as_str(self) -> &'static str {
        match self {
            Locality::Near => "near",
            Locality::Far => "far",
            Locality::Unknown => "unknown",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Sent,
    Received,
}

impl Direction {
    const ALL: [Direction; 2] = [Direction::Sent, Direction::Received];

    fn as_str(self) -> &'static str {
        match self {
            Direction::Sent => "sent",
            Direction::Received => "received",
        }
    }
}

#[derive(Debug, Default)]
struct LinkCounter {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl LinkCounter {
    fn add(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Count of messages of one topic, locality and direction, for the metrics.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkCount {
    /// Topic label.
    pub(crate) topic: &'static str,
    /// Locality label.
    pub(crate) locality: &'static str,
    /// Direction label: sent or received.
    pub(crate) direction: &'static str,
    messages: u64,
    bytes: u64,
}

impl LinkCount {
    /// Returns the number of messages.
    pub(crate) fn messages(&self) -> u64 {
        self.messages
    }

    /// Returns the total length of their payloads.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }
}

/// Counts messages and their payload bytes, without the headers of HTTP, TCP and UDP.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    counts: [[[LinkCounter; Direction::ALL.len()]; Locality::ALL.len()]; Topic::ALL.len()],
}

impl Traffic {
    /// Records a sent message.
    pub(crate) fn sent(&self, topic: Topic, locality: Locality, bytes: usize) {
        self.count(topic, locality, Direction::Sent).add(bytes);
    }

    /// Records a received message.
    pub(crate) fn received(&self, topic: Topic, locality: Locality, bytes: usize) {
        self.count(topic, locality, Direction::Received).add(bytes);
    }

    fn count(&self, topic: Topic, locality: Locality, direction: Direction) -> &LinkCounter {
        &self.counts[topic as usize][locality as usize][direction as usize]
    }

    /// Returns the totals of the control traffic for the admin port.
    pub(crate) fn counters(&self) -> [Counter; 3] {
        let (mut messages_sent, mut bytes_sent, mut bytes_received) = (0, 0, 0);
        for topic in Topic::ALL.into_iter().filter(|topic| topic.is_control()) {
            for locality in Locality::ALL {
                let sent = self.count(topic, locality, Direction::Sent);
                messages_sent += sent.messages.load(Ordering::Relaxed);
                bytes_sent += sent.bytes.load(Ordering::Relaxed);
                let received = self.count(topic, locality, Direction::Received);
                bytes_received += received.bytes.load(Ordering::Relaxed);
            }
        }
        [
            ("control_messages_sent", messages_sent),
            ("control_bytes_sent", bytes_sent),
            ("control_bytes_received", bytes_received),
        ]
        .map(|(name, value)| Counter { name: Name::from(name), value })
    }

    /// Returns all non-zero counts.
    pub(crate) fn links(&self) -> Vec<LinkCount> {
        let mut links = Vec::new();
        for topic in Topic::ALL {
            for locality in Locality::ALL {
                for direction in Direction::ALL {
                    let count = self.count(topic, locality, direction);
                    let messages = count.messages.load(Ordering::Relaxed);
                    if messages > 0 {
                        links.push(LinkCount {
                            topic: topic.as_str(),
                            locality: locality.as_str(),
                            direction: direction.as_str(),
                            messages,
                            bytes: count.bytes.load(Ordering::Relaxed),
                        });
                    }
                }
            }
        }
        links
    }
}
