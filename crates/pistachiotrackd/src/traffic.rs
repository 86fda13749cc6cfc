//! How much this VM says to and hears from others: what about, and how far away they are.

use std::sync::atomic::{AtomicU64, Ordering};

use pistachiotrack_core::{admin::Counter, name::Name};

/// What is said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Topic {
    /// Who is there.
    Membership,
    /// What dispatchers do and see.
    ShardUpdate,
    /// What a VM believes of the endpoints, and questions for it.
    ShardSnapshot,
    /// Requests that crash endpoints.
    Quarantine,
    /// Pulls of configurations and answers to them.
    Configuration,
    /// What an owner knew of a shard.
    HandOver,
    /// Whether another VM reaches an endpoint.
    Reach,
    /// Reads of the platform.
    Platform,
    /// Requests sent on to their owner, and the answers.
    Forwarded,
    /// Requests sent to endpoints, and the answers.
    Endpoint,
}

impl Topic {
    const ALL: [Topic; 10] = [
        Topic::Membership,
        Topic::ShardUpdate,
        Topic::ShardSnapshot,
        Topic::Quarantine,
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
            Topic::Quarantine => "quarantine",
            Topic::Configuration => "configuration",
            Topic::HandOver => "hand_over",
            Topic::Reach => "reach",
            Topic::Platform => "platform",
            Topic::Forwarded => "forwarded",
            Topic::Endpoint => "endpoint",
        }
    }

    /// Returns whether it is the fleet's own, and no request.
    fn is_control(self) -> bool {
        !matches!(self, Topic::Forwarded | Topic::Endpoint)
    }
}

/// Where the other end is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Locality {
    /// In this VM's data centre.
    Near,
    /// In another data centre.
    Far,
    /// Not known: a VM that is no member yet, or the platform.
    Unknown,
}

impl Locality {
    const ALL: [Locality; 3] = [Locality::Near, Locality::Far, Locality::Unknown];

    /// Returns the place of something in a data centre, seen from another one.
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
struct Count {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl Count {
    fn add(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// A count of messages for a collector of metrics.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkCount {
    /// What was said.
    pub(crate) topic: &'static str,
    /// Where the other end is.
    pub(crate) place: &'static str,
    /// Whether it was sent or received.
    pub(crate) direction: &'static str,
    messages: u64,
    bytes: u64,
}

impl LinkCount {
    /// Returns the number of messages.
    pub(crate) fn messages(&self) -> u64 {
        self.messages
    }

    /// Returns the length of their payload.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }
}

/// Counts messages and their payload, without the heads of HTTP, TCP and UDP.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    counts: [[[Count; Direction::ALL.len()]; Locality::ALL.len()]; Topic::ALL.len()],
}

impl Traffic {
    /// Counts a message that was sent.
    pub(crate) fn sent(&self, topic: Topic, place: Locality, bytes: usize) {
        self.count(topic, place, Direction::Sent).add(bytes);
    }

    /// Counts a message that was received.
    pub(crate) fn received(&self, topic: Topic, place: Locality, bytes: usize) {
        self.count(topic, place, Direction::Received).add(bytes);
    }

    fn count(&self, topic: Topic, place: Locality, direction: Direction) -> &Count {
        &self.counts[topic as usize][place as usize][direction as usize]
    }

    /// Returns the sums of all control messages for the admin port.
    pub(crate) fn counters(&self) -> [Counter; 3] {
        let (mut messages_sent, mut bytes_sent, mut bytes_received) = (0, 0, 0);
        for topic in Topic::ALL.into_iter().filter(|topic| topic.is_control()) {
            for place in Locality::ALL {
                let sent = self.count(topic, place, Direction::Sent);
                messages_sent += sent.messages.load(Ordering::Relaxed);
                bytes_sent += sent.bytes.load(Ordering::Relaxed);
                let received = self.count(topic, place, Direction::Received);
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

    /// Returns each count that is not 0.
    pub(crate) fn links(&self) -> Vec<LinkCount> {
        let mut links = Vec::new();
        for topic in Topic::ALL {
            for place in Locality::ALL {
                for direction in Direction::ALL {
                    let count = self.count(topic, place, direction);
                    let messages = count.messages.load(Ordering::Relaxed);
                    if messages > 0 {
                        links.push(LinkCount {
                            topic: topic.as_str(),
                            place: place.as_str(),
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
