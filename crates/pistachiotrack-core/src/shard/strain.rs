//! How much of a service's work is lost, as all its dispatchers see it.

use crate::{name::Name, time::Time};

/// Part of the requests not served from which on a service is strained: well above
/// the 3 to 5% that single endpoints' spells cost on an ordinary day, and below the
/// tenth from which on sound endpoints must not be left without work.
const STRAINED: f64 = 0.085;
/// Weight of one request: about the last 20 count, which one of six dispatchers of
/// 100 requests a second sees in a second.
const WEIGHT: f64 = 0.05;
const PARTS: f64 = 255.0;

/// The part of a service's requests that is not served.
///
/// One VM sees too few requests to tell a tenth from a twentieth within seconds, so
/// the dispatchers tell each other and the mean counts.
#[derive(Clone, Debug, Default)]
pub(super) struct Strain {
    own: f64,
    /// What the others tell, each with the last moment at which it counts.
    peers: Vec<(Name, f64, Time)>,
}

impl Strain {
    /// Notes whether a request of this VM was served in the end.
    pub(super) fn note(&mut self, served: bool) {
        let unserved = if served { 0.0 } else { 1.0 };
        self.own += WEIGHT * (unserved - self.own);
    }

    /// Takes what another VM tells.
    pub(super) fn on_peer(&mut self, peer: &Name, unserved: u8, until: Time) {
        self.peers.retain(|(other, ..)| other != peer);
        self.peers.push((peer.clone(), f64::from(unserved) / PARTS, until));
    }

    /// Returns this VM's own part, in parts of 255.
    pub(super) fn own(&self) -> u8 {
        (self.own * PARTS).round() as u8
    }

    /// Returns whether so much is lost that no endpoint may be left without work.
    pub(super) fn is_strained(&self, now: Time) -> bool {
        let peers = self.peers.iter().filter(|(.., until)| now < *until);
        let (mut sum, mut count) = (self.own, 1.0);
        for (_, unserved, _) in peers {
            sum += unserved;
            count += 1.0;
        }
        sum / count >= STRAINED
    }
}
